//! Remembers the ids of calls that may have had an effect and must not have it twice, without I/O. Ids are new with every
//! request, so one that comes again is refused as long as it is remembered.

use stagehoist::Micros;
use std::collections::{HashSet, VecDeque};

#[cfg(test)]
mod tests;

/// How long an id is remembered, and the maximum number of them.
const RETENTION: Micros = 60_000_000;
const MAX_IDS: usize = 16_384;

#[derive(Debug)]
struct RecentId {
    id: u64,
    ended_at: Micros,
}

/// The ids of calls that ended recently.
#[derive(Debug, Default)]
pub struct RecentIds {
    ids: HashSet<u64>,
    /// The oldest first.
    ended: VecDeque<RecentId>,
}

impl RecentIds {
    /// Remembers the id of a call that ended. If there is no room, the oldest one is forgotten.
    pub fn insert(&mut self, id: u64, now: Micros) {
        if !self.ids.insert(id) {
            return;
        }
        self.ended.push_back(RecentId { id, ended_at: now });
        if self.ended.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Whether a call with this id ended recently.
    pub fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Forgets the ids whose retention is over.
    pub fn purge(&mut self, now: Micros) {
        while self.ended.front().is_some_and(|oldest| now - oldest.ended_at >= RETENTION) {
            self.forget_oldest();
        }
        if self.ended.is_empty() {
            self.ids.shrink_to_fit();
            self.ended.shrink_to_fit();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.ended.pop_front() {
            self.ids.remove(&oldest.id);
        }
    }
}
