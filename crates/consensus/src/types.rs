//! Types of the entries, outcomes and state that Raft replicates.

use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::{ClusterState, Command, CommandOutcome};
use std::sync::Arc;

/// Change numbers reserved for each entry, so that each change has a unique number; the cluster state compares
/// these numbers.
pub const MAX_CHANGES: u64 = 1024;

/// Changes committed as one entry: those queued while the previous entry was in flight.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch(pub Vec<Command>);

/// The outcome of each change of a batch, in the same order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BatchOutcome(pub Vec<CommandOutcome>);

openraft::declare_raft_types!(
    pub TypeConfig:
        D = Batch,
        R = BatchOutcome,
        NodeId = u64,
        // Addresses are configured per process: two processes may reach the same replica at different addresses.
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

/// The cluster state up to the last entry that this replica applied.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    pub last: Option<LogId>,
    pub state: Arc<ClusterState>,
}
