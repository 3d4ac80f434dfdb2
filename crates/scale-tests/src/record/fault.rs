//! What can go wrong while the cluster state is measured.

use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{path}: {source}")]
    Read { path: PathBuf, source: std::io::Error },
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Keeper(#[from] stagehoist_consensus::ConsensusError),
    #[error(transparent)]
    Marks(#[from] stagehoist_intent_log::IntentLogError),
    #[error("a line between processes: {0}")]
    Line(#[from] serde_json::Error),
    #[error("encoding: {0}")]
    Encode(#[from] postcard::Error),
    #[error("a process ended before it answered {0}")]
    Ended(&'static str),
    #[error("not within {ms} ms: {what}")]
    Late { what: &'static str, ms: u64 },
    #[error("{path} has no {what}")]
    Missing { path: PathBuf, what: &'static str },
    #[error("there is no part {0}")]
    Part(String),
    #[error("no port is free")]
    Ports,
}

pub type Outcome<T> = Result<T, Fault>;
