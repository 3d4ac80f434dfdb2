//! Limits a replica's participation after it lost its store.
//!
//! A replica may have lost a vote, or entries that count as committed because it stored them. Let `bound` be the
//! highest term in which it participated. It rejects every leader of a term up to `bound` and every vote request until
//! it has applied an entry of a leader of a later term.
//!
//! This replica does not vote, and before the loss it knew of no term above `bound`. So a majority formed by the
//! other replicas elected that leader. Each entry that was committed with this replica's help up to `bound` was also
//! stored by a member of that majority when it voted, so the leader's log has all of these entries. Once this replica
//! has applied an entry of that leader's term, its log has them too, and it participates without limits.

use crate::types::LogId;
use std::sync::{Arc, Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Whether a replica takes part in elections and replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is not known yet whether the replica lost its vote and log, or up to which term.
    Undecided,
    Returning {
        /// Upper bound of the terms in which the replica participated before it lost its store.
        bound: u64,
    },
    Open,
}

/// Shared by the tasks of the replica's one thread.
#[derive(Clone, Debug)]
pub struct Participation(Arc<Mutex<State>>);

impl Participation {
    /// Creates a handle with this state.
    pub fn new(state: State) -> Participation {
        Participation(Arc::new(Mutex::new(state)))
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state for all holders of this handle.
    pub fn set(&self, state: State) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Whether the replica may grant votes.
    pub fn may_vote(&self) -> bool {
        self.state() == State::Open
    }

    /// Whether the replica may follow a leader of this term.
    pub fn may_follow(&self, term: u64) -> bool {
        match self.state() {
            State::Undecided => false,
            State::Returning { bound } => term > bound,
            State::Open => true,
        }
    }

    /// Whether a returning replica has recovered what it lost.
    pub fn has_recovered(&self, applied: Option<LogId>) -> bool {
        match self.state() {
            State::Returning { bound } => applied.is_some_and(|l| l.leader_id.term > bound),
            _ => false,
        }
    }
}
