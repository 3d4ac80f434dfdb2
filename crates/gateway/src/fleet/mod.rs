//! The fleet part of a front end: what it knows of retired functions, and what it reports to the replicas. It does
//! not exist if the configuration has no fleet.
//!
//! - [`retirement_gate`]: decides which calls may be accepted, sent and answered, without I/O; [`names`]: internal
//!   names of generations.
//! - [`pool_admission`]: calls of pools wait for permits.
//! - [`egress`]: applies the gate where data is written to sockets, and tracks answers on their way to callers.
//! - [`membership`]: which view is confirmed, and which workers may have copies of functions.
//! - [`recovery`]: the recovery phases after a loss of the whole fleet; [`shutdown_marker`]: whether the last run
//!   shut down in order.
//! - [`retirements`], [`retirement_states`]: the watched file of retired functions, and the file with their states.

pub mod egress;
pub mod membership;
pub mod names;
pub mod pool_admission;
mod priority;
pub mod recovery;
pub mod retirement_gate;
pub mod retirement_states;
pub mod retirements;
pub mod shutdown_marker;

pub use egress::{CheckedAnswer, EgressCheck, EgressPermit};
pub use membership::FleetMembership;
pub use pool_admission::PoolAdmission;
pub use recovery::FleetRecovery;
pub use retirement_gate::{ClosedReason, Retired, RetirementGate};
pub use shutdown_marker::ShutdownMarker;

use crate::clock::Clock;
use stagehoist::Micros;
use stagehoist_cluster_state::{ClusterStatus, Demand, InquiryEvent, InquiryMessage, Version};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// What a front end reports to its session with the replicas; only the newest report counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionReport {
    /// The newest view confirmed here: no call under its tombstones is in progress and no answer to one is being
    /// sent.
    pub confirmed: Version,
    pub ready_capacity: u32,
    pub demand: Vec<Demand>,
}

/// A driver's channels to its session with the replicas; the driver never waits for the session.
pub struct SessionHandle {
    pub status: watch::Receiver<ClusterStatus>,
    pub report: watch::Sender<SessionReport>,
    /// Set if attempts are recorded.
    pub inquiry: Option<PeerInquiry>,
}

/// The channels on which a front end asks its peers about messages and is asked by them.
pub struct PeerInquiry {
    pub requests: mpsc::Sender<InquiryMessage>,
    pub events: mpsc::Receiver<InquiryEvent>,
}

impl SessionHandle {
    /// Returns the next cluster status; `None` once the session has ended.
    pub async fn next(&mut self) -> Option<ClusterStatus> {
        self.status.changed().await.ok()?;
        Some(self.status.borrow_and_update().clone())
    }
}

/// Waits for the cluster status, at most for this time. Nothing is consumed before the wait ends. After that,
/// functions that are not strict are served according to the last known state.
pub async fn await_first_status(
    status: Option<watch::Receiver<ClusterStatus>>,
    clock: Clock,
    limit_us: Micros,
) {
    let limit = Duration::from_micros(limit_us.max(0) as u64);
    let received = async {
        match status {
            Some(mut status) => status.wait_for(|s| !s.is_stale(clock.now())).await.is_ok(),
            None => false,
        }
    };
    match tokio::time::timeout(limit, received).await {
        Ok(true) => tracing::info!("cluster status received"),
        _ => tracing::warn!(
            ms = limit_us / 1000,
            "no cluster status received yet; serving functions that are not strict"
        ),
    }
}

/// Publishes a report to the session if it differs from the last one.
pub fn publish_report(session: &watch::Sender<SessionReport>, report: SessionReport) {
    session.send_if_modified(|last| {
        if last.confirmed != report.confirmed {
            tracing::info!(version = report.confirmed, "version of the cluster view confirmed");
        }
        let is_changed = *last != report;
        *last = report;
        is_changed
    });
}
