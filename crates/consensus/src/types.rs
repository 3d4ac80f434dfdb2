//! What Raft carries here.

use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::{ClusterState, Command, CommandOutcome};
use std::sync::Arc;

/// Numbers of changes that each entry takes up, so that each change has its own: the cluster state compares them.
pub const MAX_CHANGES: u64 = 1024;

/// Changes that are agreed on as one entry: what came while the entry before was under way.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch(pub Vec<Command>);

/// What came of each.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BatchOutcome(pub Vec<CommandOutcome>);

openraft::declare_raft_types!(
    pub TypeConfig:
        D = Batch,
        R = BatchOutcome,
        NodeId = u64,
        // Addresses are each process's own: it may reach a replica at another one than others do.
        Node = openraft::EmptyNode,
        SnapshotData = std::io::Cursor<Vec<u8>>,
);

pub type Raft = openraft::Raft<TypeConfig>;
pub type Vote = openraft::Vote<u64>;
pub type LogId = openraft::LogId<u64>;
pub type Entry = openraft::Entry<TypeConfig>;
pub type Members = openraft::StoredMembership<u64, openraft::EmptyNode>;
pub type RaftStorageError = openraft::StorageError<u64>;
pub type Metrics = openraft::RaftMetrics<u64, openraft::EmptyNode>;

/// The cluster state as this replica has applied it.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    pub last: Option<LogId>,
    pub state: Arc<ClusterState>,
}
