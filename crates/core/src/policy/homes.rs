//! Homes: the workers ranked first for a function that hold the fleet's demand for it. All front ends find copies there
//! without asking each other.

use super::function::Function;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;

/// Part of a worker, or of a copy's concurrency, that the fleet's demand for a function fills at each of its homes.
const HOME_FILL: f64 = 0.5;
/// Run time of a function of which nothing is known, as a fraction of the shortest latency objective.
const DEFAULT_RUN_DIVISOR: f64 = 4.0;

/// Whether a worker is a home of a function.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum HomeRank {
    NotHome,
    Home {
        /// Chance that it has loaded a copy which this front end does not know of.
        copy_chance: f64,
    },
}

impl HomeRank {
    /// Chance of a copy at the worker that this front end does not know of.
    pub fn copy_chance(self) -> f64 {
        match self {
            HomeRank::NotHome => 0.0,
            HomeRank::Home { copy_chance } => copy_chance,
        }
    }
}

impl FrontEnd {
    /// The fleet's demand for a function, in calls in progress at once; the call in hand does not count. Covers many front
    /// ends with little traffic each; could harm while popularity changes.
    pub(super) fn fleet_demand(&self, function: &Function, now: Micros) -> f64 {
        let time_constant = 2 * self.settings.idle_retention.max(1);
        let calls = (function.recent_calls.at(now, time_constant) - 1.0).max(0.0);
        let class_run = self.class_mean_run[function.class as usize];
        let default_run = self.shortest_objective as f64 / DEFAULT_RUN_DIVISOR;
        let run = function.mean_run.or(class_run).unwrap_or(default_run);
        (calls / self.observed_span * run * self.similar_front_ends).max(f64::MIN_POSITIVE)
    }

    /// Demand for a function that a worker takes as its home.
    pub(super) fn home_capacity(&self, function: &Function, worker: &Worker, now: Micros) -> f64 {
        self.usual_home_capacity(function, worker.endpoint.capacity) * self.capacity_share(worker, now)
    }

    /// The same of an established worker.
    pub(super) fn usual_home_capacity(&self, function: &Function, capacity: f64) -> f64 {
        (function.concurrency as f64).min(capacity) * HOME_FILL
    }

    /// The fleet's demand for a function that the ranks kept here hold.
    pub(super) fn kept_demand(&self, function: &Function, now: Micros) -> f64 {
        self.fleet_demand(function, now) * function.ranking.kept_part
    }
}

/// Whether a worker is believed to have no copy: by its answer, or as it is warming up.
pub(super) fn lacks_copy(worker: &Worker, function: FunctionId, now: Micros) -> bool {
    let known = worker.beliefs.copies.get(&function);
    known.map_or(worker.warming_since.is_some(), |copy| copy.copies == 0 && copy.ready_at > now)
}
