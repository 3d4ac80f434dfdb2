//! Preferred workers: the workers ranked first for a function that together cover the fleet's demand for it. All front
//! ends compute the same ones, so they find copies there without communicating.

use super::function::Function;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;

/// Part of a worker's capacity, or of a copy's concurrency, that the fleet's demand for a function uses at each of its
/// preferred workers.
const PREFERRED_FILL: f64 = 0.5;
/// Assumed run time of a function about which nothing is known: the shortest latency objective divided by this.
const DEFAULT_RUN_DIVISOR: f64 = 4.0;

/// Whether a worker is a preferred one of a function.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Preference {
    NotPreferred,
    Preferred {
        /// Chance that it has loaded a copy which this front end does not know of.
        copy_chance: f64,
    },
}

impl Preference {
    /// Returns the chance that the worker has a copy which this front end does not know of.
    pub fn copy_chance(self) -> f64 {
        match self {
            Preference::NotPreferred => 0.0,
            Preference::Preferred { copy_chance } => copy_chance,
        }
    }
}

impl FrontEnd {
    /// Returns the fleet's demand for a function in concurrent calls, excluding the call that is being placed. Covers
    /// many front ends with little traffic each; could harm while popularity changes.
    pub(super) fn fleet_demand(&self, function: &Function, now: Micros) -> f64 {
        let time_constant = 2 * self.settings.idle_retention.max(1);
        let calls = (function.recent_calls.at(now, time_constant) - 1.0).max(0.0);
        let class_run = self.class_mean_run[function.class as usize];
        let default_run = self.shortest_objective as f64 / DEFAULT_RUN_DIVISOR;
        let run = function.mean_run.or(class_run).unwrap_or(default_run);
        (calls / self.observed_span * run * self.similar_front_ends).max(f64::MIN_POSITIVE)
    }

    /// Returns the demand for a function that a worker covers as a preferred worker.
    pub(super) fn preferred_capacity(&self, function: &Function, worker: &Worker, now: Micros) -> f64 {
        self.established_preferred_capacity(function, worker.endpoint.capacity)
            * self.capacity_share(worker, now)
    }

    /// Returns the demand for a function that an established worker covers as a preferred worker.
    pub(super) fn established_preferred_capacity(&self, function: &Function, capacity: f64) -> f64 {
        (function.concurrency as f64).min(capacity) * PREFERRED_FILL
    }

    /// Returns the part of the fleet's demand for a function that falls to the ranks stored here.
    pub(super) fn ranked_demand(&self, function: &Function, now: Micros) -> f64 {
        self.fleet_demand(function, now) * function.ranking.stored_fraction
    }
}

/// Whether a worker is assumed to have no copy, because it reported a miss or is warming up.
pub(super) fn lacks_copy(worker: &Worker, function: FunctionId, now: Micros) -> bool {
    let known = worker.estimates.copies.get(&function);
    known.map_or(worker.warming_since.is_some(), |copy| copy.copies == 0 && copy.ready_at > now)
}
