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
    /// The call never ran, or may be repeated safely.
    Refused {
        reason: &'static str,
        retry_after: Micros,
    },
    /// The call may or may not have run.
    Failed {
        reason: &'static str,
    },
    /// Failed because the function is retired; the call did not run, or may be repeated safely.
    Retired(Box<Retired>),
    /// Served by a front end of a fleet; the answer is checked again before it leaves.
    Gated(Box<CheckedAnswer>),
}

impl Answer {
    /// Returns the reason why the call was not served; empty if it was served.
    pub fn reason(&self) -> &'static str {
        match self {
            Answer::Served { .. } | Answer::Gated(_) => "",
            Answer::Refused { reason, .. } | Answer::Failed { reason } => reason,
            Answer::Retired(_) => "retired",
        }
    }

    /// Returns the name of the outcome in replies and logs.
    pub fn outcome(&self) -> &'static str {
        match self {
            Answer::Served { .. } | Answer::Gated(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed { .. } | Answer::Retired(_) => "failed",
        }
    }
}
