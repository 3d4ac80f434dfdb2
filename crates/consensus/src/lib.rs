//! Replication of the cluster state between processes, and a front end's session with the leader.
//!
//! Three or five processes replicate the cluster state: openraft over a log and snapshots in redb. Each task owns
//! its socket and state, and tasks exchange messages, all on a dedicated thread ([`start`]). A front end's driver
//! reads [`Session::status`] and never blocks.
//!
//! Whatever a replica acknowledged is on its disk. A replica that lost its store, or whose store is older than the
//! guard file beside it records, rejoins without voting twice in any term (`replica::participation`). `store::open`
//! describes how a store is checked.
#![forbid(unsafe_code)]

mod error;
mod frames;
mod listener;
mod replica;
mod session;
mod session_file;
mod start;
mod statistics;
mod store;
#[cfg(test)]
mod tests;
mod types;

pub use error::ConsensusError;
pub use start::{start, Running};
pub use statistics::Statistics;

use stagehoist_cluster_state::{
    AllocationLimits, ClusterStatus, Demand, InquiryEvent, InquiryMessage, LeaseTerms, Member, Micros, Pool,
    Retirement, Version,
};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// The process's monotonic clock, which its front ends also use.
pub type Now = Arc<dyn Fn() -> Micros + Send + Sync>;

/// Configuration of a process's replica and sessions.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address at which this process reaches each replica, by replica number.
    pub replicas: BTreeMap<u64, String>,
    /// The replica that this process runs; `None`: it runs none.
    pub replica: Option<ReplicaOptions>,
    pub terms: LeaseTerms,
    pub edition: u64,
    pub pools: Vec<Pool>,
    /// Limits for allocating pool permits while this process's replica leads; `None`: permits are not allocated.
    pub allocation: Option<AllocationLimits>,
    /// Names of the front ends in this process; each is a member with its own session.
    pub members: Vec<String>,
    /// Folder that stores the last incarnation and view of each member; `None`: nothing is stored, and the
    /// replicas provide them.
    pub session_folder: Option<PathBuf>,
    pub seed: u64,
    pub timing: Timing,
}

/// A replica's number, the address it listens on and the folder of its store.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    pub number: u64,
    pub listen: String,
    pub store: PathBuf,
}

/// Timing of leader failure detection, in milliseconds, and limits of the log length. All replicas must use the
/// same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    pub heartbeat_ms: u64,
    /// A replica starts an election after receiving nothing from the leader for a random time between these two.
    pub election_ms: (u64, u64),
    /// Entries between two snapshots, and entries retained before the last snapshot for replicas that lag slightly.
    pub log: (u64, u64),
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { heartbeat_ms: 100, election_ms: (400, 800), log: (2000, 500) }
    }
}

/// State that a front end's driver reports through its session; only the newest report is used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SessionReport {
    pub confirmed: Version,
    pub ready_capacity: u32,
    pub demand: Vec<Demand>,
}

/// A front end's channels to its session.
pub struct Session {
    pub status: watch::Receiver<ClusterStatus>,
    /// The member that this run joined as; `None` until it has joined.
    pub member: watch::Receiver<Option<Member>>,
    pub report: watch::Sender<SessionReport>,
    /// Requests for retirements; a retirement that is already known has no effect.
    pub retire: mpsc::Sender<Retirement>,
    /// Inquiries about redelivered messages, and answers to the inquiries of other front ends.
    pub inquiries: mpsc::Sender<InquiryMessage>,
    pub inquiry_events: mpsc::Receiver<InquiryEvent>,
}
