//! What replicas say to each other.

use crate::types::TypeConfig;
use openraft::error::InstallSnapshotError;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};

/// A request to another replica.
#[derive(Debug, Serialize, Deserialize)]
pub struct RequestFrame {
    /// The answer names it.
    pub number: u64,
    pub body: PeerRequest,
}

/// The response to a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResponseFrame {
    pub number: u64,
    pub body: PeerResponse,
}

/// What replicas request of each other. The order of variants is part of the wire.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    Append(AppendEntriesRequest<TypeConfig>),
    Vote(VoteRequest<u64>),
    Snapshot(InstallSnapshotRequest<TypeConfig>),
    /// How the other stands.
    Status,
    /// A replica that lost what it knew up to this term waits for a later one.
    RaiseTerm {
        above: u64,
    },
}

/// What replicas respond to each other. The order of variants is part of the wire.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    Append(AppendEntriesResponse<u64>),
    Vote(VoteResponse<u64>),
    Snapshot(Result<InstallSnapshotResponse<u64>, InstallSnapshotError>),
    Status(ReplicaStatus),
    Acknowledged,
    /// It takes no part now.
    NotParticipating,
}

/// How a replica stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// It began with nothing and has nothing from a leader yet.
    pub is_new: bool,
    /// It votes and follows.
    pub is_participating: bool,
    /// The highest term that it knows.
    pub term: u64,
    /// The one that asks is a voter of the membership here.
    pub is_voter: bool,
}
