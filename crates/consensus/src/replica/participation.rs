//! What a replica may take part in, after it lost what it knew.
//!
//! A replica may have forgotten a vote, or entries that count as agreed on because it held them. Let `bound`
//! be the highest term it
//! took part in. It refuses every leader of a term up to `bound` and every request for its vote, until it
//! has applied
//! an entry of a leader of a later term. That leader was elected without it (it does not vote, and before
//! the loss it knew of no
//! such term), so by a majority of the others; each entry that was agreed on with this replica's help up to
//! `bound` was also held
//! by one of that majority when it voted. So that leader's log had them all, and so has this replica's once
//! it applied
//! an entry of that leader's own. From then on it is a replica like any other.

use crate::types::LogId;
use std::sync::{Arc, Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Whether a replica takes part in elections and replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not yet known what was lost.
    Undecided,
    Returning {
        bound: u64,
    },
    Open,
}

/// Shared by the tasks of the replica's one thread.
#[derive(Clone, Debug)]
pub struct Participation(Arc<Mutex<State>>);

impl Participation {
    /// A replica in this state.
    pub fn new(state: State) -> Participation {
        Participation(Arc::new(Mutex::new(state)))
    }

    /// The present state.
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

    /// Whether a leader of this term may be followed.
    pub fn may_follow(&self, term: u64) -> bool {
        match self.state() {
            State::Undecided => false,
            State::Returning { bound } => term > bound,
            State::Open => true,
        }
    }

    /// Whether what was lost has come back by now.
    pub fn is_back(&self, applied: Option<LogId>) -> bool {
        match self.state() {
            State::Returning { bound } => applied.is_some_and(|l| l.leader_id.term > bound),
            _ => false,
        }
    }
}
