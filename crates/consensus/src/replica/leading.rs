//! Decides when a replica that Raft considers the leader may serve sessions as the leader.
//!
//! A leader that is killed and restarts before another replica is elected is the leader again immediately, in its old
//! term and without an election. Its log may contain entries that were committed, shown to members and acted on, while
//! its applied state is as old as the last write of it. A lease granted on that state would confirm a view that the
//! replica's previous run had already replaced: a partitioned front end would treat a retired function as not retired.

#[cfg(test)]
mod tests;

/// Term and index of an entry.
pub type EntryPosition = (u64, u64);

/// The entry up to which the cluster state must be applied, while Raft considers this replica the leader of a term.
#[derive(Debug, Default)]
pub struct Leading {
    from: Option<EntryPosition>,
}

impl Leading {
    /// Whether this replica may lead now. `elected`: Raft considers it the leader of this term; `logged`: the last index
    /// of its log; `applied`: the last entry applied to its cluster state.
    pub fn may_lead(
        &mut self,
        elected: bool,
        term: u64,
        logged: Option<u64>,
        applied: Option<EntryPosition>,
    ) -> bool {
        if !elected {
            self.from = None;
            return false;
        }
        let from = match self.from {
            Some(from) if from.0 == term => from,
            _ => *self.from.insert((term, logged.unwrap_or(0))),
        };
        // Requires both an applied entry of the replica's own term and all entries that its log had when the term began.
        applied.is_some_and(|applied| applied.0 == term && applied.1 >= from.1)
    }
}
