//! A connection as the order of turns sees it: its kind, what its reads cost, and where it waits.

use super::throttle::RecentMessages;

/// Work of a read besides its content: the system call, and waking the connection's task.
const TURN_WORK: u64 = 16;
/// A preferred connection is charged with its work divided by this.
const PREFERRED_WEIGHT: u64 = 8;
/// Number of bytes that cost as much as one message.
const BYTES_PER_WORK: u64 = 1024;
/// Expected work of the first read of a connection: that of one request.
const FIRST_READ_WORK: u64 = TURN_WORK + 1;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SourceId(pub u64);

/// Kinds of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    Client,
    /// An executor or the event bus. Each frees work of the driver, so it does not wait while the driver is behind.
    Peer,
}

/// What one read contained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCost {
    pub bytes: usize,
    pub messages: u32,
    /// Messages of a client among them that lead to no work for an executor: malformed and refused requests, health
    /// checks.
    pub unproductive: u32,
}

impl ReadCost {
    /// Returns the work of the read. One message counts 1.
    pub fn work(&self) -> u64 {
        TURN_WORK + u64::from(self.messages) + self.bytes as u64 / BYTES_PER_WORK
    }
}

/// The place of a waiting connection: by the expected end of its read, then in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub expected_finish: u64,
    pub order: u64,
    pub start: u64,
    pub id: SourceId,
}

/// The lines in which connections wait; each is served in its own order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    Clients,
    /// Clients that are preferred. They are served in one order with the other clients, and also while those are not.
    PreferredClients,
    Peers,
    Limited,
}

/// The account of a connection.
#[derive(Debug)]
pub struct Source {
    pub kind: SourceKind,
    /// It gets a greater share than others of its kind.
    pub is_preferred: bool,
    /// Virtual time at which the last turn started, and up to which the source is paid for.
    pub start: u64,
    pub finish: u64,
    /// Work of the last read, which is expected of the next one.
    pub last_work: u64,
    pub waiting: Option<(Line, Place)>,
    pub unproductive: RecentMessages,
    pub is_limited: bool,
}

impl Source {
    /// Creates the account of a connection that has not read yet.
    pub fn new(kind: SourceKind) -> Source {
        Source {
            kind,
            is_preferred: false,
            start: 0,
            finish: 0,
            last_work: FIRST_READ_WORK,
            waiting: None,
            unproductive: RecentMessages::default(),
            is_limited: false,
        }
    }

    /// Returns what the source is charged with for this work.
    pub fn charge_of(&self, work: u64) -> u64 {
        if self.is_preferred {
            work.div_ceil(PREFERRED_WEIGHT)
        } else {
            work
        }
    }
}
