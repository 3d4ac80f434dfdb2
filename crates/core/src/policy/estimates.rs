//! A front end's estimates of the state of a worker's process; holds no decisions.

use crate::interface::{FunctionId, Micros};
use std::collections::BTreeMap;

/// The cached copies of a function that a worker is estimated to hold.
pub(super) struct CachedCopy {
    /// When a load in progress ends; in the past if the copy is loaded.
    pub ready_at: Micros,
    /// Time until which the worker is expected to retain the copy.
    pub expires_at: Micros,
    /// When this front end last used it.
    pub used_at: Micros,
    pub copies: u32,
}

impl CachedCopy {
    /// Returns an entry without a copy. For half of the retention time the worker is assumed to lack one.
    pub fn absent(now: Micros, idle_retention: Micros) -> CachedCopy {
        CachedCopy { ready_at: now + idle_retention / 2, expires_at: now, used_at: now, copies: 0 }
    }

    /// Whether a copy is expected to be loaded now or soon.
    pub fn is_expected(&self, now: Micros) -> bool {
        self.expires_at > now
    }
}

/// Estimates of the state of a worker's process; reset when the process restarts.
#[derive(Default)]
pub(super) struct Estimates {
    /// Run time on this worker relative to the usual run time.
    pub slowdown: f64,
    pub slowdown_at: Micros,
    /// Number of other front ends' requests at the worker, from its load reports.
    pub other_requests: Option<f64>,
    pub other_requests_at: Micros,
    /// Moving average of the fraction of answers that are errors.
    pub error_rate: f64,
    pub consecutive_ejections: u32,
    /// Connections lost since the last success.
    pub lost_connections: u32,
    pub ejected_until: Micros,
    /// Time until which it is assumed to reject requests for lack of capacity.
    pub full_until: Micros,
    /// Expected end of a load that a request started and that occupies the worker.
    pub loading_until: Micros,
    /// When it last responded.
    pub last_response_at: Micros,
    /// Unanswered load orders, with the times at which they were sent.
    pub load_orders: BTreeMap<FunctionId, Micros>,
    pub copies: BTreeMap<FunctionId, CachedCopy>,
}

impl Estimates {
    /// Returns the estimates for a process that has just started.
    pub fn restarted(now: Micros) -> Estimates {
        Estimates { slowdown: 1.0, slowdown_at: now, last_response_at: now, ..Estimates::default() }
    }

    /// Returns the copies of a function that are expected to be loaded.
    pub fn expected_copy(&self, function: FunctionId, now: Micros) -> Option<&CachedCopy> {
        self.copies.get(&function).filter(|copy| copy.is_expected(now))
    }
}
