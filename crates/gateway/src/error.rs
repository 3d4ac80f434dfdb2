//! What can keep a gateway from starting or running.

use std::io;

/// An error that ends the gateway; trouble with one connection or one call never does.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    #[error("can't listen on {address}: {source}")]
    Listen { address: String, source: io::Error },
    #[error("can't start a thread or its runtime: {0}")]
    Start(#[source] io::Error),
    #[error("can't install the metrics recorder: {0}")]
    Metrics(String),
    #[error("can't keep marks in {folder}: {source}")]
    Marks { folder: String, source: stagehoist_intent_log::IntentLogError },
    #[error("front end {0} ended by a fault of its own; its messages go back to the broker")]
    FrontEnd(u32),
}
