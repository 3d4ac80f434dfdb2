//! Retirements that the view does not contain yet. Each is proposed again until the view contains it or it is
//! rejected permanently.

#[cfg(test)]
mod tests;

use rand::{Rng, RngExt};
use stagehoist_cluster_state::{ClusterView, Retirement};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of requested retirements that the view does not contain yet.
const MAX_RETIREMENTS: usize = 1024;
/// Minimum and maximum time between two retries. It doubles with each unsuccessful retry (for example while the
/// cluster state is full), so that a fleet waiting for capacity puts little load on the leader.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Time until the next retry after a waiting retirement was accepted: a cluster state with capacity accepts them one
/// after another.
const NEXT_PAUSE: Duration = Duration::from_millis(50);

pub(super) struct RetirementQueue {
    queue: VecDeque<Retirement>,
    pause: Duration,
    at: Instant,
    tombstones: usize,
    /// Whether any were proposed again.
    is_waiting: bool,
    /// Whether the wait was logged.
    is_reported: bool,
}

impl RetirementQueue {
    pub(super) fn new() -> RetirementQueue {
        let at = Instant::now();
        RetirementQueue {
            queue: VecDeque::new(),
            pause: RETRY_PAUSES.0,
            at,
            tombstones: 0,
            is_waiting: false,
            is_reported: false,
        }
    }

    /// Restarts the retries on a new connection, as proposals sent on the previous one may be lost.
    pub(super) fn begin(&mut self) {
        (self.pause, self.at) = (RETRY_PAUSES.0, Instant::now());
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.queue.len() < MAX_RETIREMENTS
    }

    /// When [`RetirementQueue::next_due`] is due.
    pub(super) fn due(&self) -> Option<Instant> {
        (!self.queue.is_empty()).then_some(self.at)
    }

    /// Queues a retirement that was just proposed for the first time.
    pub(super) fn proposed(&mut self, retirement: Retirement) {
        if self.queue.is_empty() {
            self.begin();
            self.at += self.pause;
        }
        self.queue.push_back(retirement);
    }

    /// Returns the next retirement to propose again, in rotation.
    pub(super) fn next_due(&mut self, random: &mut impl Rng) -> Option<Retirement> {
        self.is_waiting = true;
        self.pause = (self.pause * 2).min(RETRY_PAUSES.1);
        self.at = Instant::now() + self.pause * random.random_range(50..=100) / 100;
        let retirement = self.queue.pop_front()?;
        self.queue.push_back(retirement.clone());
        if self.pause == RETRY_PAUSES.1 && !std::mem::replace(&mut self.is_reported, true) {
            tracing::warn!(target: "stagehoist_consensus", event = "retirement", waiting = self.queue.len(),
                function = %retirement.function, generation = retirement.generation,
                "retirement not accepted into the cluster state yet and not in force; retrying until it is accepted");
        }
        Some(retirement)
    }

    /// Removes a retirement that was rejected permanently.
    pub(super) fn on_rejected(&mut self, function: &str, generation: u32) {
        self.queue.retain(|r| r.function != function || r.generation != generation);
    }

    /// Removes the retirements that a view contains. If the view contains a queued retirement, or has fewer
    /// tombstones than the previous view, the cluster state has capacity, so the next retry is sooner.
    pub(super) fn on_view(&mut self, view: &ClusterView, random: &mut impl Rng) {
        let before = self.queue.len();
        self.queue.retain(|r| view.retired(&r.function, r.generation).is_none());
        let tombstones = std::mem::replace(&mut self.tombstones, view.tombstones.len());
        let was_accepted = self.queue.len() < before;
        if was_accepted || view.tombstones.len() < tombstones {
            self.pause = RETRY_PAUSES.0;
            let pause = if was_accepted && self.is_waiting { NEXT_PAUSE } else { self.pause };
            let next_at = Instant::now() + pause * random.random_range(50..=100) / 100;
            self.at = self.at.min(next_at);
        }
        self.is_reported &= !self.queue.is_empty();
        self.is_waiting &= !self.queue.is_empty();
    }
}
