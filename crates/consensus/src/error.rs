//! Errors of starting the replica and the sessions.

use std::path::PathBuf;

/// Why a replica or the sessions of a process could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    #[error("keeper {number} is not in the configured list of keepers")]
    NotAReplica { number: u64 },
    #[error("no keepers are configured")]
    NoReplicas,
    #[error("can't listen on {address}: {source}")]
    Listen { address: String, source: std::io::Error },
    #[error("the store {path} is in use by another process")]
    InUse { path: PathBuf },
    #[error("can't open the store {path}: {reason}")]
    Store { path: PathBuf, reason: String },
    #[error("can't store incarnations in {path}: {source}")]
    Incarnations { path: PathBuf, source: std::io::Error },
    #[error("invalid timing: heartbeat {heartbeat_ms} ms must be positive and at most half of the shortest election timeout, and the election timeouts {election_ms:?} ms must increase")]
    Timing { heartbeat_ms: u64, election_ms: (u64, u64) },
    #[error("can't start the keeper's thread: {0}")]
    Thread(std::io::Error),
    #[error("can't start consensus: {0}")]
    Agreement(String),
}
