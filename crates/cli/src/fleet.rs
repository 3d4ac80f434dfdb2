//! A process as part of a fleet: its sessions with the replicas started, tied to its front ends, and ended after them.

use stagehoist_cluster_state::{AllocationLimits, LeaseTerms, Pool, PoolSize, Reservation, GUARANTEED_SHARE};
use stagehoist_config::{Config, Fleet};
use stagehoist_consensus::{ConsensusError, Options, ReplicaOptions, Running, Session, Timing};
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::fleet::{retirements, PeerInquiry, SessionHandle, SessionReport};
use std::path::PathBuf;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// The least time in which a leader that is at ease hears of a majority, in microseconds.
const QUORUM_LEAST: i64 = 250_000;

/// How often it is reckoned anew at most who should have how many permits, in microseconds.
const DEAL_EVERY: i64 = 10_000;

/// The name of a front end of this process among the members.
fn member(fleet: &Fleet, number: u32) -> String {
    format!("{}/{number}", fleet.member)
}

/// What the replica's part is given.
pub fn options(config: &Config, fleet: &Fleet) -> Options {
    let pool = |pool: &stagehoist_config::Pool| Pool {
        name: pool.name.clone(),
        functions: pool.functions.clone(),
        size: pool.permits.map_or(PoolSize::ByWorkers, PoolSize::Permits),
        reservations: pool
            .reservations
            .iter()
            .map(|(tenant, lanes)| Reservation { tenant: tenant.clone(), permits: *lanes })
            .collect(),
    };
    let keep = |keep: &stagehoist_config::ReplicaSettings| ReplicaOptions {
        number: keep.number,
        listen: keep.listen.clone(),
        store: PathBuf::from(&keep.store),
    };
    Options {
        replicas: fleet.keepers.clone(),
        replica: fleet.keep.as_ref().map(keep),
        terms: LeaseTerms {
            lease: fleet.view_lease,
            drift_ppm: (fleet.drift * 1e6).round() as u32,
            quorum: (fleet.view_lease / 4).max(QUORUM_LEAST),
            tombstone_retention: fleet.remember,
        },
        edition: fleet.pools_edition,
        pools: fleet.pools.iter().map(pool).collect(),
        allocation: (!fleet.pools.is_empty()).then(|| AllocationLimits {
            front_ends: config.fleet_front_ends,
            guaranteed_share: GUARANTEED_SHARE,
            longest_run: config.longest_attempt(),
            interval: DEAL_EVERY,
        }),
        members: (0..config.front_ends).map(|number| member(fleet, number)).collect(),
        session_folder: fleet.folder.as_ref().map(PathBuf::from),
        seed: config.seed,
        timing: Timing::default(),
    }
}

/// The sessions of a process, and the tasks beside them.
pub struct Joined {
    running: Running,
    tasks: JoinSet<()>,
}

/// Starts the sessions and ties each to a front end; must be called inside a runtime, whose tasks do the rest.
pub fn start(
    config: &Config,
    fleet: &Fleet,
    clock: Clock,
) -> Result<(Joined, Vec<Option<SessionHandle>>), ConsensusError> {
    let mut running = stagehoist_consensus::start(options(config, fleet), Arc::new(move || clock.now()))?;
    let mut tasks = JoinSet::new();
    let (mut links, mut sessions) = (Vec::new(), std::mem::take(&mut running.sessions));
    for number in 0..config.front_ends {
        let Some(mut session) = sessions.remove(&member(fleet, number)) else {
            links.push(None);
            continue;
        };
        if let (0, Some(file)) = (number, &fleet.retirements) {
            let (standing, retire) = (session.status.clone(), session.retire.clone());
            tasks.spawn(retirements::follow(config.clone(), PathBuf::from(file), standing, retire));
        }
        let (told, news) = watch::channel(SessionReport::default());
        let others = config.marks.as_ref().map(|_| {
            // Nobody says anything by the end that stays with the session.
            let heard = std::mem::replace(&mut session.inquiry_events, mpsc::channel(1).1);
            PeerInquiry { requests: session.inquiries.clone(), events: heard }
        });
        links.push(Some(SessionHandle { status: session.status.clone(), report: told, inquiry: others }));
        tasks.spawn(pass_on(news, session));
    }
    Ok((Joined { running, tasks }, links))
}

/// What a front end tells, in the replica's words, until the front end ended.
async fn pass_on(mut news: watch::Receiver<SessionReport>, session: Session) {
    while news.changed().await.is_ok() {
        let SessionReport { confirmed, ready_capacity: ready_lanes, demand } =
            news.borrow_and_update().clone();
        session.report.send_replace(stagehoist_consensus::SessionReport {
            confirmed,
            ready_capacity: ready_lanes,
            demand,
        });
    }
    // The session's ends are kept until the members leave: what was given last stands.
    std::future::pending::<()>().await;
}

impl Joined {
    /// Members leave in order; after their front ends have drained.
    pub async fn stop(mut self) {
        let running = self.running;
        // Ends a thread, and so waits.
        let stopped = tokio::task::spawn_blocking(move || running.stop()).await;
        if let Err(e) = stopped {
            tracing::error!(error = %e, "the keeper's part failed while it ended");
        }
        self.tasks.shutdown().await;
    }
}
