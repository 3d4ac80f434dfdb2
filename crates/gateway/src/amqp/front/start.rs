//! Before the first endpoint list nothing is consumed: a call that nobody can run waits better in its
//! queue, where other front ends take it, than in a refusal.

use super::*;

impl Front {
    /// Consumes nothing before [`Front::on_endpoints_ready`], or before this time where no list comes. Is called before
    /// the first connection.
    pub fn await_endpoints(&mut self, until: Micros) {
        self.list_by = Some(until);
    }

    /// Whether all stands but the first list, and messages wait for that alone.
    pub fn awaits_endpoints(&self) -> bool {
        self.phase == Phase::Awaiting
    }

    /// The first endpoint list came.
    pub fn on_endpoints_ready(&mut self, now: Micros) {
        if self.list_by.take().is_some() && self.phase == Phase::Awaiting {
            self.begin(now);
        }
    }

    /// When the wait for the list ends without one; only while it holds anything up.
    pub(super) fn endpoints_due(&self) -> Option<Micros> {
        self.list_by.filter(|_| self.phase == Phase::Awaiting)
    }

    /// The channel stands and confirms: consumes, or waits for the list.
    pub(super) fn on_channel_open(&mut self, now: Micros) {
        if self.list_by.is_some_and(|by| now < by) {
            tracing::info!("waits for the first list of workers");
            self.phase = Phase::Awaiting;
        } else {
            self.consume_without_endpoints(now);
        }
    }

    /// Waited long enough: calls are answered as they can be, in the end by refusals.
    pub(super) fn consume_without_endpoints(&mut self, now: Micros) {
        if self.list_by.take().is_some() {
            tracing::warn!("no list of workers came in time; consumes without");
        }
        self.begin(now);
    }

    fn begin(&mut self, now: Micros) {
        (self.phase, self.is_open) = (Phase::Setup, true);
        if self.draining {
            return;
        }
        // A window over the whole channel, as one consumer's can't be changed while it stands.
        let free = self.config.consume.iter().any(|c| c.prefetch.is_none());
        self.window = free.then(|| Window::new(now));
        if let Some(count) = self.window.as_ref().map(Window::requested) {
            self.qos(count, true);
        }
        let consumed: Vec<usize> = self.consumed().collect();
        consumed.into_iter().for_each(|index| self.consume(index, now));
    }
}
