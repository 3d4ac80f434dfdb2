//! The final answer to a call.

use crate::fleet::{CheckedAnswer, Retired};
use bytes::Bytes;
use stagehoist::Micros;

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served {
        body: Bytes,
        content_type: Option<String>,
    },
    /// It never ran, or may be repeated without harm.
    Refused {
        reason: &'static str,
        retry_after: Micros,
    },
    /// Nothing is promised about whether it ran.
    Failed {
        reason: &'static str,
    },
    /// Failed, as its function is retired; it did not run, or may be repeated without harm.
    Retired(Box<Retired>),
    /// Served by a front end of a fleet.
    Gated(Box<CheckedAnswer>),
}

impl Answer {
    /// The word for why it was not served; empty where it was.
    pub fn reason(&self) -> &'static str {
        match self {
            Answer::Served { .. } | Answer::Gated(_) => "",
            Answer::Refused { reason, .. } | Answer::Failed { reason } => reason,
            Answer::Retired(_) => "retired",
        }
    }

    /// The outcome's name, as callers and logs have it.
    pub fn outcome(&self) -> &'static str {
        match self {
            Answer::Served { .. } | Answer::Gated(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed { .. } | Answer::Retired(_) => "failed",
        }
    }
}
