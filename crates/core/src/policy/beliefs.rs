//! What a front end believes of the process behind a worker: state without decisions.

use crate::interface::{FunctionId, Micros};
use std::collections::BTreeMap;

/// A belief that a worker holds loaded copies of a function.
pub(super) struct CachedCopy {
    /// When a load under way ends; in the past where the copy is loaded.
    pub ready_at: Micros,
    /// Until when the worker is believed to retain the copy.
    pub expires_at: Micros,
    /// When this front end last used it.
    pub used_at: Micros,
    pub copies: u32,
}

impl CachedCopy {
    /// No copy is loaded, nor is one assumed to be for half of the retention time.
    pub fn absent(now: Micros, idle_retention: Micros) -> CachedCopy {
        CachedCopy { ready_at: now + idle_retention / 2, expires_at: now, used_at: now, copies: 0 }
    }

    /// Whether a copy is believed to be loaded, or soon will be.
    pub fn is_expected(&self, now: Micros) -> bool {
        self.expires_at > now
    }
}

/// What is believed of the process behind a worker; void when it restarts.
#[derive(Default)]
pub(super) struct Beliefs {
    /// Run time here relative to the usual.
    pub slowdown: f64,
    pub slowdown_at: Micros,
    /// Other front ends' requests here, by the worker's reports.
    pub other_requests: Option<f64>,
    pub other_requests_at: Micros,
    /// Moving average of errors among the answers.
    pub error_rate: f64,
    pub consecutive_ejections: u32,
    /// Connections lost since the last success.
    pub lost_connections: u32,
    pub ejected_until: Micros,
    /// It rejects requests for want of capacity until then.
    pub full_until: Micros,
    /// A load that a request started occupies it until then.
    pub loading_until: Micros,
    /// When it last showed that it is alive.
    pub last_response_at: Micros,
    /// Load orders that it has not answered, and when they were given.
    pub load_orders: BTreeMap<FunctionId, Micros>,
    pub copies: BTreeMap<FunctionId, CachedCopy>,
}

impl Beliefs {
    /// Beliefs about a process that has just started.
    pub fn restarted(now: Micros) -> Beliefs {
        Beliefs { slowdown: 1.0, slowdown_at: now, last_response_at: now, ..Beliefs::default() }
    }

    /// The copies of a function that are believed to be loaded.
    pub fn expected_copy(&self, function: FunctionId, now: Micros) -> Option<&CachedCopy> {
        self.copies.get(&function).filter(|copy| copy.is_expected(now))
    }
}
