//! Statistics of a process's replica, for gauges.

/// Counters since the start, and the replica's current state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Whether this process's replica leads.
    pub is_leader: bool,
    /// Whether this replica votes: it lost no state, or has recovered the state that it lost.
    pub is_voter: bool,
    /// The current leader, as far as this replica knows.
    pub leader: Option<u64>,
    pub term: u64,
    /// Index of the last entry in this replica's log, and of the last entry that was purged after a snapshot.
    pub last_entry: u64,
    pub purged: u64,
    /// Open sessions at this replica.
    pub sessions: usize,
    /// Lease grants sent.
    pub promised: u64,
    /// Entries proposed, and the changes in these entries.
    pub proposals: u64,
    pub changes: u64,
    /// Session messages that this replica received and sent.
    pub messages_received: u64,
    pub messages_sent: u64,
}
