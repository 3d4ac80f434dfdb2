//! What keepers say to each other.

use crate::kinds::Kept;
use openraft::error::InstallSnapshotError;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
pub struct Call {
    /// The answer names it.
    pub number: u64,
    pub body: Ask,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    pub number: u64,
    pub body: Reply,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Ask {
    Append(AppendEntriesRequest<Kept>),
    Vote(VoteRequest<u64>),
    Snapshot(InstallSnapshotRequest<Kept>),
    /// How the other stands.
    Stand,
    /// A keeper that lost what it knew up to this term waits for a later one.
    Raise {
        above: u64,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    Append(AppendEntriesResponse<u64>),
    Vote(VoteResponse<u64>),
    Snapshot(Result<InstallSnapshotResponse<u64>, InstallSnapshotError>),
    Stand(Stand),
    Heard,
    /// It takes no part now.
    Closed,
}

/// How a keeper stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stand {
    /// It began with nothing and has nothing from a leader yet.
    pub fresh: bool,
    /// It votes and follows.
    pub open: bool,
    /// The highest term that it knows.
    pub term: u64,
    /// The one that asks is a voter of the membership here.
    pub voter: bool,
}
