//! Nothing is consumed before the first endpoint list. A call that no known worker can run had better wait in its
//! queue, where other front ends can consume it, than be refused.

use super::*;

impl Front {
    /// Delays consuming until [`Front::on_endpoints_ready`], or until this time if no list is received. To be called
    /// before the first connection.
    pub fn await_endpoints(&mut self, until: Micros) {
        self.endpoints_deadline = Some(until);
    }

    /// Returns whether the channel is open and only the first endpoint list is missing.
    pub fn awaits_endpoints(&self) -> bool {
        self.phase == Phase::Awaiting
    }

    /// The first endpoint list was received.
    pub fn on_endpoints_ready(&mut self, now: Micros) {
        if self.endpoints_deadline.take().is_some() && self.phase == Phase::Awaiting {
            self.start_consuming(now);
        }
    }

    /// Returns when the wait for the list ends without one; `None` unless consuming is delayed by it.
    pub(super) fn endpoints_due(&self) -> Option<Micros> {
        self.endpoints_deadline.filter(|_| self.phase == Phase::Awaiting)
    }

    /// The channel is open: starts consuming, or waits for the list.
    pub(super) fn on_channel_open(&mut self, now: Micros) {
        if self.endpoints_deadline.is_some_and(|deadline| now < deadline) {
            tracing::info!("waiting for the first worker list");
            self.phase = Phase::Awaiting;
        } else {
            self.consume_without_endpoints(now);
        }
    }

    /// The wait for the list ended. Starts consuming without one; calls that can't be served are refused in the end.
    pub(super) fn consume_without_endpoints(&mut self, now: Micros) {
        if self.endpoints_deadline.take().is_some() {
            tracing::warn!("no worker list received in time; consuming without one");
        }
        self.start_consuming(now);
    }

    fn start_consuming(&mut self, now: Micros) {
        (self.phase, self.is_open) = (Phase::Setup, true);
        if self.draining {
            return;
        }
        // The window applies to the whole channel, because the prefetch of an existing consumer can't be changed.
        let needs_window = self.config.consume.iter().any(|c| c.prefetch.is_none());
        self.window = needs_window.then(|| Window::new(now));
        if let Some(count) = self.window.as_ref().map(Window::requested) {
            self.qos(count, true);
        }
        let consumed: Vec<usize> = self.consumed().collect();
        consumed.into_iter().for_each(|index| self.consume(index, now));
    }
}
