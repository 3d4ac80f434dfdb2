//! Agreement on the cluster state between processes, and a front end's session with the leader.
//!
//! Three or five processes keep the cluster state: openraft over a log and snapshots in redb. Tasks own their
//! sockets and state and
//! talk by messages, on a thread of their own ([`start`]); a front end's driver reads [`Session::status`]
//! and never waits.
//!
//! What a replica acknowledged is on its disk. One that lost its store, or finds it older than a file beside
//! it tells, is
//! brought back without a second vote in any term (`replica::participation`); how a store is judged stands in
//! `store::open`.
#![forbid(unsafe_code)]

mod error;
mod frames;
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

/// The process's monotonic clock, the one its front ends go by.
pub type Now = Arc<dyn Fn() -> Micros + Send + Sync>;

/// What a process is notified of the fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Every replica by its number, as this process reaches it.
    pub replicas: BTreeMap<u64, String>,
    /// Where this process is a replica itself: its number, the address it listens on, the folder of its store.
    pub replica: Option<ReplicaOptions>,
    pub terms: LeaseTerms,
    pub edition: u64,
    pub pools: Vec<Pool>,
    /// How permits of pools are allocated while this process's replica leads; none: they are not.
    pub allocation: Option<AllocationLimits>,
    /// Front ends of this process by name, each a member with a session of its own.
    pub members: Vec<String>,
    /// Folder in which the last incarnation and view of each member are kept; none: it is asked of the
    /// replicas alone.
    pub session_folder: Option<PathBuf>,
    pub seed: u64,
    pub timing: Timing,
}

/// The replica that this process runs.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    pub number: u64,
    pub listen: String,
    pub store: PathBuf,
}

/// How quickly replicas notice that the leader is gone, in milliseconds, and how long their logs grow; alike at all
/// replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    pub heartbeat_ms: u64,
    /// An election begins after a time drawn between these without word from the leader.
    pub election_ms: (u64, u64),
    /// Entries between two snapshots, and those kept behind the last for a replica that is a little late.
    pub log: (u64, u64),
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { heartbeat_ms: 100, election_ms: (400, 800), log: (2000, 500) }
    }
}

/// What a front end's driver tells its session; the newest counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SessionReport {
    pub confirmed: Version,
    pub ready_capacity: u32,
    pub demand: Vec<Demand>,
}

/// One front end's ends of its session.
pub struct Session {
    pub status: watch::Receiver<ClusterStatus>,
    /// This run, once it has joined.
    pub member: watch::Receiver<Option<Member>>,
    pub report: watch::Sender<SessionReport>,
    /// Retirements asked for; one that is known already changes nothing.
    pub retire: mpsc::Sender<Retirement>,
    /// Questions about messages that are delivered again, and answers to others'.
    pub inquiries: mpsc::Sender<InquiryMessage>,
    pub inquiry_events: mpsc::Receiver<InquiryEvent>,
}
