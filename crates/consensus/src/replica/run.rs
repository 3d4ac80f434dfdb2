//! Creates a replica's components and starts its tasks.

use super::formation::join_or_form;
use super::listener::accept_connections;
use super::membership::{maintain_membership, yield_term};
use super::network::Peers;
use super::participation::{Participation, State};
use super::peer_handler::PeerHandler;
use super::service::{run_service, ServiceContext, MAX_QUEUED_MESSAGES};
use crate::frames::{MAX_ENTRIES, MAX_SNAPSHOT_PART};
use crate::statistics::Statistics;
use crate::store::{Start, StateMachine, Store};
use crate::types::Raft;
use crate::{ConsensusError, Now, Options};
use openraft::{Config, SnapshotPolicy};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Resources that are opened before the replica's thread starts.
pub struct Parts {
    pub number: u64,
    pub store: Store,
    pub start: Start,
    pub listener: std::net::TcpListener,
}

/// Starts a replica's tasks.
pub async fn run(
    options: &Options,
    parts: Parts,
    now: Now,
    statistics_sender: watch::Sender<Statistics>,
    tasks: &mut JoinSet<()>,
) -> Result<Raft, ConsensusError> {
    let consensus_error = |e: &dyn std::fmt::Display| ConsensusError::Agreement(e.to_string());
    let Parts { number, store, start, listener } = parts;
    let timing = options.timing;
    let participation = Participation::new(match start {
        Start::Intact => State::Open,
        Start::Returning(Some(bound)) => State::Returning { bound },
        Start::Pristine | Start::Returning(None) => State::Undecided,
    });
    let config = Config {
        cluster_name: "stagehoist".into(),
        heartbeat_interval: timing.heartbeat_ms,
        election_timeout_min: timing.election_ms.0,
        election_timeout_max: timing.election_ms.1,
        install_snapshot_timeout: 5000,
        snapshot_max_chunk_size: MAX_SNAPSHOT_PART as u64,
        max_payload_entries: MAX_ENTRIES,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(timing.log.0),
        max_in_snapshot_log_to_keep: timing.log.1,
        replication_lag_threshold: 2 * timing.log.0,
        enable_elect: start == Start::Intact,
        ..Config::default()
    };
    let config = Arc::new(config.validate().map_err(|e| consensus_error(&e))?);
    let pause = Duration::from_millis(timing.heartbeat_ms);
    let peers = Peers::start(number, &options.replicas, pause, tasks);
    let (machine, applied) = StateMachine::new(store.clone()).map_err(|e| consensus_error(&e))?;
    let raft = Raft::new(number, config, peers.clone(), store.clone(), machine).await;
    let raft = raft.map_err(|e| consensus_error(&e))?;
    let listener = tokio::net::TcpListener::from_std(listener)
        .map_err(|source| ConsensusError::Listen { address: String::new(), source })?;
    let (messages, message_receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (term_raise_sender, term_raise_receiver) = mpsc::channel(8);
    let handler = PeerHandler {
        raft: raft.clone(),
        participation: participation.clone(),
        term_raises: term_raise_sender,
    };
    let context = ServiceContext {
        number,
        raft: raft.clone(),
        participation: participation.clone(),
        applied: applied.clone(),
        now,
        terms: options.terms,
        allocation: options.allocation,
        statistics: statistics_sender,
    };
    let numbers: BTreeSet<u64> = options.replicas.keys().copied().collect();
    tasks.spawn(accept_connections(listener, number, handler, messages));
    tasks.spawn(run_service(context, message_receiver));
    tasks.spawn(yield_term(raft.clone(), term_raise_receiver));
    tasks.spawn(maintain_membership(raft.clone(), numbers.clone(), peers.clone()));
    tasks.spawn(join_or_form(start, numbers, store, raft.clone(), participation, peers, applied));
    Ok(raft)
}
