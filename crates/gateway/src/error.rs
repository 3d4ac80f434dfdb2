//! Errors that prevent a gateway from starting or running.

use std::io;

/// An error that ends the gateway. Errors of a single connection or call never do.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    #[error("can't listen on {address}: {source}")]
    Listen { address: String, source: io::Error },
    #[error("can't start a thread or its runtime: {0}")]
    Start(#[source] io::Error),
    #[error("can't install the metrics recorder: {0}")]
    Metrics(String),
    #[error("can't open the intent log in {folder}: {source}")]
    Marks { folder: String, source: stagehoist_intent_log::IntentLogError },
    #[error("the thread of front end {0} panicked; the broker redelivers its messages")]
    FrontEnd(u32),
}
