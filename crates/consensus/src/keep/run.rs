//! Puts a keeper together.

use super::desk::{desk, Tools, NOTES_MOST};
use super::form::form;
use super::gate::{Gate, State};
use super::host::Host;
use super::listen::listen;
use super::peer::Peers;
use super::tend::{tend, yield_term};
use crate::figures::Figures;
use crate::frames::{ENTRIES_MOST, PART_MOST};
use crate::kinds::Raft;
use crate::store::{Machine, Start, Store};
use crate::{KeeperError, Now, Options};
use openraft::{Config, SnapshotPolicy};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// What was opened before the keeper's thread began.
pub struct Parts {
    pub number: u64,
    pub store: Store,
    pub start: Start,
    pub listener: std::net::TcpListener,
}

/// Starts a keeper's tasks.
pub async fn run(
    options: &Options,
    parts: Parts,
    now: Now,
    figures: watch::Sender<Figures>,
    tasks: &mut JoinSet<()>,
) -> Result<Raft, KeeperError> {
    let agreement = |e: &dyn std::fmt::Display| KeeperError::Agreement(e.to_string());
    let Parts { number, store, start, listener } = parts;
    let pace = options.pace;
    let gate = Gate::new(match start {
        Start::Known => State::Open,
        Start::Returning(Some(bound)) => State::Returning { bound },
        Start::Pristine | Start::Returning(None) => State::Undecided,
    });
    let config = Config {
        cluster_name: "stagehoist".into(),
        heartbeat_interval: pace.heartbeat_ms,
        election_timeout_min: pace.election_ms.0,
        election_timeout_max: pace.election_ms.1,
        install_snapshot_timeout: 5000,
        snapshot_max_chunk_size: PART_MOST as u64,
        max_payload_entries: ENTRIES_MOST,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(pace.log.0),
        max_in_snapshot_log_to_keep: pace.log.1,
        replication_lag_threshold: 2 * pace.log.0,
        enable_elect: start == Start::Known,
        ..Config::default()
    };
    let config = Arc::new(config.validate().map_err(|e| agreement(&e))?);
    let pause = Duration::from_millis(pace.heartbeat_ms);
    let peers = Peers::start(number, &options.keepers, pause, tasks);
    let (machine, applied) = Machine::new(store.clone()).map_err(|e| agreement(&e))?;
    let raft = Raft::new(number, config, peers.clone(), store.clone(), machine).await;
    let raft = raft.map_err(|e| agreement(&e))?;
    let listener = tokio::net::TcpListener::from_std(listener)
        .map_err(|source| KeeperError::Listen { address: String::new(), source })?;
    let (notes, noted) = mpsc::channel(NOTES_MOST);
    let (raise, raised) = mpsc::channel(8);
    let host = Host { raft: raft.clone(), gate: gate.clone(), raise };
    let tools = Tools {
        own: number,
        raft: raft.clone(),
        gate: gate.clone(),
        applied: applied.clone(),
        now,
        terms: options.terms,
        dealing: options.dealing,
        figures,
    };
    let numbers: BTreeSet<u64> = options.keepers.keys().copied().collect();
    tasks.spawn(listen(listener, number, host, notes));
    tasks.spawn(desk(tools, noted));
    tasks.spawn(yield_term(raft.clone(), raised));
    tasks.spawn(tend(raft.clone(), numbers.clone(), peers.clone()));
    tasks.spawn(form(start, numbers, store, raft.clone(), gate, peers, applied));
    Ok(raft)
}
