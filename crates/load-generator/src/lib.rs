//! Load on a running gateway: arrivals that do not wait for answers, times taken from the moment at which each call was
//! meant to be sent, and a ledger of what became of every one.
//!
//! [`Plan`] (what is sent when) and [`Ledger`] (what came of it) do no I/O; [`amqp::run`] carries them over AMQP 0-9-1.
//! [`stand`] is a whole stack of processes; [`sweep`] runs it at several loads, beside the policies of [`baseline`].
#![forbid(unsafe_code)]

pub mod amqp;
pub mod baseline;
mod ledger;
mod plan;
pub mod plot;
pub mod stand;
pub mod sweep;

pub use ledger::{Ledger, Outcome, Report, Times};
pub use plan::{Mix, Plan, PlanError, Shape, Shot};

/// What can go wrong with a load.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("{0}")]
    Plan(#[from] PlanError),
    #[error("broker {address}: {source}")]
    Broker { address: String, source: std::io::Error },
    #[error("broker {address}: {why}")]
    Refused { address: String, why: String },
    #[error("{what}: {source}")]
    Start { what: String, source: std::io::Error },
    #[error("{0} did not come up in time")]
    NotUp(String),
    #[error("plot {path}: {why}")]
    Plot { path: String, why: String },
}
