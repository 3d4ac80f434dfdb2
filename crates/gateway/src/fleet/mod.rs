//! A front end as part of a fleet: what it knows of retired functions, and what it tells the replicas. Off where the
//! configuration has no fleet: nothing here exists then.
//!
//! - [`retirement_gate`]: what may be taken, sent and answered, without I/O; [`names`]: generations by inner names.
//! - [`pool_admission`]: calls of pools wait for permits.
//! - [`egress`]: the gate at the sockets, and answers on their way out.
//! - [`membership`]: which view is confirmed, and which workers may have copies.
//! - [`recovery`]: the stages after a loss of everything; [`shutdown_marker`]: whether the last run left in order.
//! - [`retirements`], [`retirement_states`]: the watched file of retired functions, and the file beside it.

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

/// What a front end tells its session with the replicas; the newest counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionReport {
    /// The newest view that holds here: nothing under its tombstones is in progress or on its way out.
    pub confirmed: Version,
    pub ready_capacity: u32,
    pub demand: Vec<Demand>,
}

/// A driver's ends of its session with the replicas; it never waits for it.
pub struct SessionHandle {
    pub status: watch::Receiver<ClusterStatus>,
    pub report: watch::Sender<SessionReport>,
    /// Where attempts are recorded.
    pub inquiry: Option<PeerInquiry>,
}

/// A front end's way to ask others about messages, and to be asked.
pub struct PeerInquiry {
    pub requests: mpsc::Sender<InquiryMessage>,
    pub events: mpsc::Receiver<InquiryEvent>,
}

impl SessionHandle {
    /// The next word of the replicas; None once the session ended.
    pub async fn next(&mut self) -> Option<ClusterStatus> {
        self.status.changed().await.ok()?;
        Some(self.status.borrow_and_update().clone())
    }
}

/// Waits until the cluster status is here, at most so long: nothing is consumed before. After that functions that are not
/// strict are served by what is known.
pub async fn await_first_status(status: Option<watch::Receiver<ClusterStatus>>, clock: Clock, most: Micros) {
    let limit = Duration::from_micros(most.max(0) as u64);
    let word = async {
        match status {
            Some(mut status) => status.wait_for(|s| !s.is_stale(clock.now())).await.is_ok(),
            None => false,
        }
    };
    match tokio::time::timeout(limit, word).await {
        Ok(true) => tracing::info!("cluster status received"),
        _ => tracing::warn!(
            ms = most / 1000,
            "no cluster status yet; functions that are not strict are served"
        ),
    }
}

/// Tells a session, where there is something new.
pub fn publish_report(session: &watch::Sender<SessionReport>, told: SessionReport) {
    session.send_if_modified(|last| {
        if last.confirmed != told.confirmed {
            tracing::info!(version = told.confirmed, "confirmed");
        }
        let inputs = *last != told;
        *last = told;
        inputs
    });
}
