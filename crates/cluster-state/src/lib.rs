//! The cluster state that the processes of one fleet share, and the decisions around it, without I/O.
//!
//! - [`state`]: what replicas agree on ([`Command`]) and what it comes to ([`ClusterState`]): members with
//!   incarnations, tombstones of retired functions, pools with reservations.
//! - [`bounds`]: how much of each.
//! - [`leader`]: what only the leader knows and decides: sessions, leases, when a retirement is in
//!   force.
//! - [`inquiry`]: what front ends ask each other about messages that are delivered again.
//! - [`wire`]: what a front end and the leader say to each other.
//! - [`allocation`]: permits allocated from reported demand, beside the guaranteed minimums.
//! - [`lease`]: a front end's side of its session: what it holds, and until when by its own clock.
//!
//! Times are microseconds of the monotonic clock of whoever is called. Two processes' clocks never agree: a
//! promise is counted by its holder from when it asked, and by its giver from when it gave, with
//! the drift of [`LeaseTerms::drift_ppm`] between. The clock must go on while its process is stopped.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod allocation;
mod apply;
pub mod bounds;
pub mod inquiry;
pub mod leader;
pub mod lease;
pub mod state;
pub mod wire;

pub use allocation::{guaranteed_permits, AllocationLimits, PermitAllocator, GUARANTEED_SHARE};
pub use inquiry::{InquiryEvent, InquiryMessage, InquiryRounds, MessageKey, MessageKnowledge};
pub use leader::Leader;
pub use lease::{ClusterStatus, LeaseHolder};
pub use state::{
    ClusterState, ClusterView, Command, CommandOutcome, Member, MemberRun, Pool, PoolSize, Reservation,
    Retirement, RetirementMode, Tombstone, TombstoneState,
};
pub use wire::{Demand, Grant, PermitGrant, Report, SessionRequest, SessionResponse, PROTOCOL};

/// Microseconds of somebody's monotonic clock, or of a span.
pub type Micros = i64;

/// A position in the cluster state: the number of the change that was last applied.
pub type Version = u64;

/// What all processes of a fleet are told alike about promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct LeaseTerms {
    /// How long a view and the permits allocated with it may be relied on without word from the leader.
    pub lease: Micros,
    /// Most that two clocks differ in rate, in parts of a million.
    pub drift_ppm: u32,
    /// Longest time since a majority last answered a leader in which it still gives promises.
    pub quorum: Micros,
    /// How long a tombstone is kept once every member confirmed it: no message may be older.
    pub tombstone_retention: Micros,
}

impl LeaseTerms {
    /// How long the holder relies on a promise, from when it asked for it.
    pub fn holder_span(&self) -> Micros {
        self.lease - self.drift(self.lease)
    }

    /// How long the giver counts a promise as standing, from when it gave it.
    pub fn grantor_span(&self) -> Micros {
        self.lease + self.drift(self.lease)
    }

    /// How long a new leader counts promises of earlier leaders as standing: the last one gave none later
    /// than `quorum` after a majority answered it, and that majority elected the new one after that answer.
    pub fn takeover_wait(&self) -> Micros {
        self.grantor_span() + self.quorum + self.drift(self.quorum)
    }

    pub(crate) fn drift(&self, span: Micros) -> Micros {
        span * Micros::from(self.drift_ppm) / 1_000_000 + 1
    }
}
