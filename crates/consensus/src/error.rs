//! What can be wrong at the start.

use std::path::PathBuf;

/// Why a replica or the sessions of a process could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    #[error("keeper {number} is not among the keepers")]
    NotAReplica { number: u64 },
    #[error("no keepers are told")]
    NoReplicas,
    #[error("can't listen on {address}: {source}")]
    Listen { address: String, source: std::io::Error },
    #[error("another process holds the store {path}")]
    InUse { path: PathBuf },
    #[error("can't open the store {path}: {reason}")]
    Store { path: PathBuf, reason: String },
    #[error("can't keep incarnations in {path}: {source}")]
    Incarnations { path: PathBuf, source: std::io::Error },
    #[error("heartbeat {heartbeat_ms} ms and election {election_ms:?} ms: the first must be well below the others")]
    Timing { heartbeat_ms: u64, election_ms: (u64, u64) },
    #[error("the keeper's thread can't be started: {0}")]
    Thread(std::io::Error),
    #[error("agreement can't be started: {0}")]
    Agreement(String),
}
