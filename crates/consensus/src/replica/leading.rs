//! From when a replica that Raft counts as the leader may lead its sessions.
//!
//! One that was killed and comes back before another was elected is the leader again at once, in its old term and without an
//! election. Its log has entries that were agreed on, shown to members and perhaps acted on, while its record stands where it
//! was last written. What it promised by that record would vouch for a view that its own earlier run overtook: a front end
//! that was cut off would take a function that is retired for one that is not.

#[cfg(test)]
mod tests;

/// Term and place of an entry.
pub type At = (u64, u64);

/// How far the cluster state must come, while Raft counts this replica as the leader of a term.
#[derive(Debug, Default)]
pub struct Leading {
    from: Option<At>,
}

impl Leading {
    /// Whether it may lead now. `elected`: Raft counts it as the leader of this term; `logged`: the last place of its log;
    /// `applied`: the last entry in its record.
    pub fn may(&mut self, elected: bool, term: u64, logged: Option<u64>, applied: Option<At>) -> bool {
        if !elected {
            self.from = None;
            return false;
        }
        let from = match self.from {
            Some(from) if from.0 == term => from,
            _ => *self.from.insert((term, logged.unwrap_or(0))),
        };
        // Both: an entry of its own term, and all that its log had when it began.
        applied.is_some_and(|applied| applied.0 == term && applied.1 >= from.1)
    }
}
