//! Retirements that the cluster state does not show yet: proposed again until it does, or refuses them for good.

#[cfg(test)]
mod tests;

use rand::{Rng, RngExt};
use stagehoist_cluster_state::{ClusterView, Retirement};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Retirements asked for that the view does not show yet.
const MAX_RETIREMENTS: usize = 1024;
/// Time between two proposals made again: doubled with each that brings nothing, as where the cluster state is full, so
/// that a fleet that waits for room costs the leader little.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Until the next, where one of those that waited was taken: a record with room takes them one after the other.
const NEXT_PAUSE: Duration = Duration::from_millis(50);

pub(super) struct RetirementQueue {
    open: VecDeque<Retirement>,
    pause: Duration,
    at: Instant,
    tombstones: usize,
    /// Some were proposed again.
    is_waiting: bool,
    /// Whether it was reported that these wait.
    is_reported: bool,
}

impl RetirementQueue {
    pub(super) fn new() -> RetirementQueue {
        let at = Instant::now();
        RetirementQueue {
            open: VecDeque::new(),
            pause: RETRY_PAUSES.0,
            at,
            tombstones: 0,
            is_waiting: false,
            is_reported: false,
        }
    }

    /// On a new connection: what went out on the one before may be lost.
    pub(super) fn begin(&mut self) {
        (self.pause, self.at) = (RETRY_PAUSES.0, Instant::now());
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.open.len() < MAX_RETIREMENTS
    }

    /// When [`RetirementQueue::next_due`] is due.
    pub(super) fn due(&self) -> Option<Instant> {
        (!self.open.is_empty()).then_some(self.at)
    }

    /// It was proposed for the first time.
    pub(super) fn proposed(&mut self, retirement: Retirement) {
        if self.open.is_empty() {
            self.begin();
            self.at += self.pause;
        }
        self.open.push_back(retirement);
    }

    /// The next to be proposed again, one after the other.
    pub(super) fn next_due(&mut self, random: &mut impl Rng) -> Option<Retirement> {
        self.is_waiting = true;
        self.pause = (self.pause * 2).min(RETRY_PAUSES.1);
        self.at = Instant::now() + self.pause * random.random_range(50..=100) / 100;
        let retirement = self.open.pop_front()?;
        self.open.push_back(retirement.clone());
        if self.pause == RETRY_PAUSES.1 && !std::mem::replace(&mut self.is_reported, true) {
            tracing::warn!(target: "stagehoist_consensus", event = "retirement", waiting = self.open.len(),
                function = %retirement.function, generation = retirement.generation,
                "not taken by the record yet, and not in force; proposed again until it is");
        }
        Some(retirement)
    }

    /// The cluster state refused it for good.
    pub(super) fn on_rejected(&mut self, function: &str, generation: u32) {
        self.open.retain(|r| r.function != function || r.generation != generation);
    }

    /// What a view shows is done; where it took some, or has fewer than before, there is room.
    pub(super) fn on_view(&mut self, view: &ClusterView, random: &mut impl Rng) {
        let before = self.open.len();
        self.open.retain(|r| view.retired(&r.function, r.generation).is_none());
        let tombstones = std::mem::replace(&mut self.tombstones, view.tombstones.len());
        let took = self.open.len() < before;
        if took || view.tombstones.len() < tombstones {
            self.pause = RETRY_PAUSES.0;
            let pause = if took && self.is_waiting { NEXT_PAUSE } else { self.pause };
            let soon = Instant::now() + pause * random.random_range(50..=100) / 100;
            self.at = self.at.min(soon);
        }
        self.is_reported &= !self.open.is_empty();
        self.is_waiting &= !self.open.is_empty();
    }
}
