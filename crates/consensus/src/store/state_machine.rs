//! The replicated state machine: applies entries to the cluster state, and writes and installs its snapshots.

use super::{key, to_raft_error, Store, StoreError, StoreResult};
use crate::types::{Applied, BatchOutcome, Entry, LogId, Members, RaftStorageError, TypeConfig, MAX_CHANGES};
use openraft::storage::RaftStateMachine;
use openraft::{EntryPayload, OptionalSend, RaftSnapshotBuilder, Snapshot, SnapshotMeta};
use redb::Durability;
use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::ClusterState;
use std::io::Cursor;
use std::sync::Arc;
use tokio::sync::watch;

type Meta = SnapshotMeta<u64, openraft::EmptyNode>;

/// The content of a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct State {
    pub(super) last: Option<LogId>,
    members: Members,
    pub(super) state: ClusterState,
}

/// The replicated state machine, as Raft drives it.
pub struct StateMachine {
    store: Store,
    state: State,
    applied: watch::Sender<Applied>,
}

impl StateMachine {
    /// Loads the applied state from the store.
    pub fn new(store: Store) -> StoreResult<(StateMachine, watch::Receiver<Applied>)> {
        let state: State = store.get(key::STATE)?.unwrap_or_default();
        let (applied_sender, applied) = watch::channel(state.applied());
        Ok((StateMachine { store, state, applied: applied_sender }, applied))
    }
}

impl State {
    fn applied(&self) -> Applied {
        Applied { last: self.last, state: Arc::new(self.state.clone()) }
    }

    pub(super) fn apply(&mut self, entry: Entry) -> BatchOutcome {
        self.last = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Blank => BatchOutcome(Vec::new()),
            // Each change has a unique number. The state is published only after the whole entry is applied.
            EntryPayload::Normal(batch) => {
                let numbers = entry.log_id.index * MAX_CHANGES..;
                BatchOutcome(numbers.zip(&batch.0).map(|(n, c)| self.state.apply(n, c)).collect())
            }
            EntryPayload::Membership(members) => {
                self.members = Members::new(Some(entry.log_id), members);
                BatchOutcome(Vec::new())
            }
        }
    }

    fn snapshot(&self) -> StoreResult<Snapshot<TypeConfig>> {
        let snapshot_id = self.last.map_or_else(|| "0".into(), |l| format!("{}-{}", l.leader_id, l.index));
        let meta =
            SnapshotMeta { last_log_id: self.last, last_membership: self.members.clone(), snapshot_id };
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(postcard::to_stdvec(self)?)) })
    }
}

/// Writes a snapshot of the state at the time the builder was requested.
pub struct Builder {
    store: Store,
    state: State,
}

impl RaftSnapshotBuilder<TypeConfig> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, RaftStorageError> {
        let state = self.state.clone();
        self.store
            .run_blocking(move |store| {
                let snapshot = state.snapshot()?;
                let stored = (&snapshot.meta, snapshot.snapshot.get_ref());
                store.write(Durability::Immediate, |w| w.put(key::SNAPSHOT, &stored))?;
                Ok(snapshot)
            })
            .await
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = Builder;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Members), RaftStorageError> {
        Ok((self.state.last, self.state.members.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<BatchOutcome>, RaftStorageError>
    where
        I: IntoIterator<Item = Entry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let outcomes = entries.into_iter().map(|entry| self.state.apply(entry)).collect();
        let state = postcard::to_stdvec(&self.state).map_err(StoreError::from).map_err(to_raft_error)?;
        self.store
            .run_blocking(move |s| s.write(Durability::None, |w| w.put_bytes(key::STATE, &state)))
            .await?;
        self.applied.send_replace(self.state.applied());
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        Builder { store: self.store.clone(), state: self.state.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, RaftStorageError> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &Meta,
        data: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), RaftStorageError> {
        let (meta, bytes) = (meta.clone(), data.into_inner());
        let written = self.store.run_blocking(move |store| {
            let state: State = postcard::from_bytes(&bytes)?;
            store.write(Durability::Immediate, |w| {
                w.put_bytes(key::STATE, &bytes)?;
                w.put(key::SNAPSHOT, &(meta, &bytes))
            })?;
            Ok(state)
        });
        self.state = written.await?;
        self.applied.send_replace(self.state.applied());
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, RaftStorageError> {
        let stored: Option<(Meta, Vec<u8>)> = self.store.get(key::SNAPSHOT).map_err(to_raft_error)?;
        Ok(stored.map(|(meta, bytes)| Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) }))
    }
}
