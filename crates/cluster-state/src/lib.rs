//! The cluster state that the processes of one fleet share, and the decisions based on it, without I/O.
//!
//! - [`state`]: the commands that replicas agree on ([`Command`]) and the resulting [`ClusterState`]: members with
//!   incarnations, tombstones of retired functions, pools with reservations.
//! - [`bounds`]: maximum sizes of the cluster state.
//! - [`leader`]: the leader's unreplicated state and decisions: sessions, leases, when a retirement is in
//!   force.
//! - [`inquiry`]: inquiries between front ends about redelivered messages.
//! - [`wire`]: the messages between a front end and the leader.
//! - [`allocation`]: permits allocated from reported demand, in addition to the guaranteed minimums.
//! - [`lease`]: the front end's side of a session: the view and permits it holds, and when they expire by its own clock.
//!
//! Times are microseconds of the local monotonic clock of the process that makes the call. Clocks of two processes are not
//! synchronized: the holder of a lease counts it from when it sent the request, the leader counts it from when it granted
//! it, and [`LeaseTerms::drift_ppm`] bounds the difference in clock rate. The clock must keep running while its process is
//! stopped.
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

/// A time on a process's monotonic clock, or a duration, in microseconds.
pub type Micros = i64;

/// A version of the cluster state: the number of the last applied change.
pub type Version = u64;

/// Lease settings, identical in all processes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct LeaseTerms {
    /// How long a view and the permits allocated with it are valid without another grant from the leader.
    pub lease: Micros,
    /// Maximum difference in rate between two clocks, in parts per million.
    pub drift_ppm: u32,
    /// Maximum time since the last responses of a majority during which a leader still grants leases.
    pub quorum: Micros,
    /// How long a tombstone is retained after every member confirmed it. No message may be older than this.
    pub tombstone_retention: Micros,
}

impl LeaseTerms {
    /// Returns how long the holder relies on a lease, counted from when it sent the request.
    pub fn holder_span(&self) -> Micros {
        self.lease - self.drift(self.lease)
    }

    /// Returns how long the leader counts a lease as valid, counted from when it granted the lease.
    pub fn grantor_span(&self) -> Micros {
        self.lease + self.drift(self.lease)
    }

    /// Returns how long a new leader counts leases of earlier leaders as valid. The previous leader granted no lease
    /// later than `quorum` after a majority responded to it, and that majority elected the new leader after that response.
    pub fn takeover_wait(&self) -> Micros {
        self.grantor_span() + self.quorum + self.drift(self.quorum)
    }

    pub(crate) fn drift(&self, span: Micros) -> Micros {
        span * Micros::from(self.drift_ppm) / 1_000_000 + 1
    }
}
