//! Fleet membership of a process: starts its sessions with the replicas, connects each session to a front end, and stops
//! the sessions after the front ends.

use stagehoist_cluster_state::{AllocationLimits, LeaseTerms, Pool, PoolSize, Reservation, GUARANTEED_SHARE};
use stagehoist_config::{Config, Fleet};
use stagehoist_consensus::{ConsensusError, Options, ReplicaOptions, Running, Session, Timing};
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::fleet::{retirements, PeerInquiry, SessionHandle, SessionReport};
use std::path::PathBuf;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Lower bound, in microseconds, on the time within which a leader in normal operation hears from a majority.
const MIN_QUORUM_TIMEOUT: i64 = 250_000;

/// Minimum interval between two computations of the permit allocation, in microseconds.
const ALLOCATION_INTERVAL: i64 = 10_000;

/// Returns the member name of a front end of this process.
fn member_name(fleet: &Fleet, number: u32) -> String {
    format!("{}/{number}", fleet.member)
}

/// Converts the configuration of a fleet into the options of the consensus package.
pub fn consensus_options(config: &Config, fleet: &Fleet) -> Options {
    let pool = |pool: &stagehoist_config::Pool| Pool {
        name: pool.name.clone(),
        functions: pool.functions.clone(),
        size: pool.permits.map_or(PoolSize::ByWorkers, PoolSize::Permits),
        reservations: pool
            .reservations
            .iter()
            .map(|(tenant, permits)| Reservation { tenant: tenant.clone(), permits: *permits })
            .collect(),
    };
    let replica_options = |settings: &stagehoist_config::ReplicaSettings| ReplicaOptions {
        number: settings.number,
        listen: settings.listen.clone(),
        store: PathBuf::from(&settings.store),
    };
    Options {
        replicas: fleet.keepers.clone(),
        replica: fleet.keep.as_ref().map(replica_options),
        terms: LeaseTerms {
            lease: fleet.view_lease,
            drift_ppm: (fleet.drift * 1e6).round() as u32,
            quorum: (fleet.view_lease / 4).max(MIN_QUORUM_TIMEOUT),
            tombstone_retention: fleet.remember,
        },
        edition: fleet.pools_edition,
        pools: fleet.pools.iter().map(pool).collect(),
        allocation: (!fleet.pools.is_empty()).then(|| AllocationLimits {
            front_ends: config.fleet_front_ends,
            guaranteed_share: GUARANTEED_SHARE,
            longest_run: config.longest_attempt(),
            interval: ALLOCATION_INTERVAL,
        }),
        members: (0..config.front_ends).map(|number| member_name(fleet, number)).collect(),
        session_folder: fleet.folder.as_ref().map(PathBuf::from),
        seed: config.seed,
        timing: Timing::default(),
    }
}

/// The running sessions of a process and the tasks that serve them.
pub struct FleetMembership {
    running: Running,
    tasks: JoinSet<()>,
}

/// Starts the sessions and connects each to a front end. Must be called inside a runtime, because it spawns tasks.
pub fn start(
    config: &Config,
    fleet: &Fleet,
    clock: Clock,
) -> Result<(FleetMembership, Vec<Option<SessionHandle>>), ConsensusError> {
    let mut running =
        stagehoist_consensus::start(consensus_options(config, fleet), Arc::new(move || clock.now()))?;
    let mut tasks = JoinSet::new();
    let (mut session_handles, mut sessions) = (Vec::new(), std::mem::take(&mut running.sessions));
    for number in 0..config.front_ends {
        let Some(mut session) = sessions.remove(&member_name(fleet, number)) else {
            session_handles.push(None);
            continue;
        };
        if let (0, Some(file)) = (number, &fleet.retirements) {
            let (status, retire) = (session.status.clone(), session.retire.clone());
            tasks.spawn(retirements::follow(config.clone(), PathBuf::from(file), status, retire));
        }
        let (report_sender, reports) = watch::channel(SessionReport::default());
        let peer_inquiry = config.marks.as_ref().map(|_| {
            // The replacement receiver that stays in the session never receives an event: its sender is dropped.
            let inquiry_events = std::mem::replace(&mut session.inquiry_events, mpsc::channel(1).1);
            PeerInquiry { requests: session.inquiries.clone(), events: inquiry_events }
        });
        session_handles.push(Some(SessionHandle {
            status: session.status.clone(),
            report: report_sender,
            inquiry: peer_inquiry,
        }));
        tasks.spawn(forward_reports(reports, session));
    }
    Ok((FleetMembership { running, tasks }, session_handles))
}

/// Converts each report of a front end and forwards it to the session, until the front end has ended.
async fn forward_reports(mut reports: watch::Receiver<SessionReport>, session: Session) {
    while reports.changed().await.is_ok() {
        let SessionReport { confirmed, ready_capacity: ready_lanes, demand } =
            reports.borrow_and_update().clone();
        session.report.send_replace(stagehoist_consensus::SessionReport {
            confirmed,
            ready_capacity: ready_lanes,
            demand,
        });
    }
    // The session's channels stay open until the members leave, so that the last report remains in force.
    std::future::pending::<()>().await;
}

impl FleetMembership {
    /// Deregisters the members and stops the sessions. To be called after the front ends have drained.
    pub async fn stop(mut self) {
        let running = self.running;
        // Blocks until a thread has ended.
        let stopped = tokio::task::spawn_blocking(move || running.stop()).await;
        if let Err(e) = stopped {
            tracing::error!(error = %e, "replica and session service failed during shutdown");
        }
        self.tasks.shutdown().await;
    }
}
