//! Messages between replicas.

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
    /// Number that the response repeats.
    pub number: u64,
    pub body: PeerRequest,
}

/// The response to a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResponseFrame {
    pub number: u64,
    pub body: PeerResponse,
}

/// Requests between replicas. The order of variants is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    Append(AppendEntriesRequest<TypeConfig>),
    Vote(VoteRequest<u64>),
    Snapshot(InstallSnapshotRequest<TypeConfig>),
    /// Requests the status of the other replica.
    Status,
    /// The sender lost its vote and log up to this term and waits for a leader of a later one.
    RaiseTerm {
        above: u64,
    },
}

/// Responses between replicas. The order of variants is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    Append(AppendEntriesResponse<u64>),
    Vote(VoteResponse<u64>),
    Snapshot(Result<InstallSnapshotResponse<u64>, InstallSnapshotError>),
    Status(ReplicaStatus),
    Acknowledged,
    /// The replica does not participate at present.
    NotParticipating,
}

/// The status of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Whether the replica started empty and has received nothing from a leader yet.
    pub is_new: bool,
    /// Whether the replica votes and follows leaders.
    pub is_participating: bool,
    /// The highest term that the replica knows.
    pub term: u64,
    /// Whether the requesting replica is a voter in the membership that the reporting replica knows.
    pub is_voter: bool,
}
