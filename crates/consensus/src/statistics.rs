//! Figures of a process's part in the agreement, for gauges.

/// Counts since the start, and how things stand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// This process's replica leads.
    pub is_leader: bool,
    /// This replica votes: it lost nothing, or what it lost has come back.
    pub is_voter: bool,
    /// The replica that leads, as far as this one knows.
    pub leader: Option<u64>,
    pub term: u64,
    /// Numbers of the last entry of this replica's log, and of the last that a snapshot took the place of.
    pub last_entry: u64,
    pub purged: u64,
    /// Sessions at this replica.
    pub sessions: usize,
    /// Promises given.
    pub promised: u64,
    /// Entries proposed, and the changes in them.
    pub proposals: u64,
    pub changes: u64,
    /// Messages of sessions at this replica, in and out.
    pub messages_received: u64,
    pub messages_sent: u64,
}
