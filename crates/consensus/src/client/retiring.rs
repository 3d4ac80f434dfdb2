//! Retirements that the record does not show yet: proposed again until it does, or refuses them for good.

#[cfg(test)]
mod tests;

use rand::{Rng, RngExt};
use stagehoist_cluster_state::{Retirement, View};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Retirements asked for that the view does not show yet.
const RETIRES_MOST: usize = 1024;
/// Time between two proposals made again: doubled with each that brings nothing, as where the record is full, so
/// that a fleet that waits for room costs the leader little.
const AGAIN: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Until the next, where one of those that waited was taken: a record with room takes them one after the other.
const NEXT: Duration = Duration::from_millis(50);

pub(super) struct Retiring {
    open: VecDeque<Retirement>,
    pause: Duration,
    at: Instant,
    tombstones: usize,
    /// Some were proposed again.
    waits: bool,
    /// Whether it was told that these wait.
    is_told: bool,
}

impl Retiring {
    pub(super) fn new() -> Retiring {
        let at = Instant::now();
        Retiring { open: VecDeque::new(), pause: AGAIN.0, at, tombstones: 0, waits: false, is_told: false }
    }

    /// On a new connection: what went out on the one before may be lost.
    pub(super) fn begin(&mut self) {
        (self.pause, self.at) = (AGAIN.0, Instant::now());
    }

    pub(super) fn has_room(&self) -> bool {
        self.open.len() < RETIRES_MOST
    }

    /// When [`Retiring::again`] is due.
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
    pub(super) fn again(&mut self, random: &mut impl Rng) -> Option<Retirement> {
        self.waits = true;
        self.pause = (self.pause * 2).min(AGAIN.1);
        self.at = Instant::now() + self.pause * random.random_range(50..=100) / 100;
        let retirement = self.open.pop_front()?;
        self.open.push_back(retirement.clone());
        if self.pause == AGAIN.1 && !std::mem::replace(&mut self.is_told, true) {
            tracing::warn!(target: "stagehoist_consensus", event = "retirement", waiting = self.open.len(),
                function = %retirement.function, generation = retirement.generation,
                "not taken by the record yet, and not in force; proposed again until it is");
        }
        Some(retirement)
    }

    /// The record refused it for good.
    pub(super) fn refused(&mut self, function: &str, generation: u32) {
        self.open.retain(|r| r.function != function || r.generation != generation);
    }

    /// What a view shows is done; where it took some, or has fewer than before, there is room.
    pub(super) fn shown(&mut self, view: &View, random: &mut impl Rng) {
        let before = self.open.len();
        self.open.retain(|r| view.retired(&r.function, r.generation).is_none());
        let tombstones = std::mem::replace(&mut self.tombstones, view.tombstones.len());
        let took = self.open.len() < before;
        if took || view.tombstones.len() < tombstones {
            self.pause = AGAIN.0;
            let pause = if took && self.waits { NEXT } else { self.pause };
            let soon = Instant::now() + pause * random.random_range(50..=100) / 100;
            self.at = self.at.min(soon);
        }
        self.is_told &= !self.open.is_empty();
        self.waits &= !self.open.is_empty();
    }
}
