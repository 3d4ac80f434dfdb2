//! The state of a function as known to one front end; holds no decisions.

use super::attempt_counter::AttemptCounter;
use super::math::{percentile_99, update_average, DecayingSum, GAIN};
use super::ranking::Ranking;
use crate::interface::*;
use std::cell::Cell;
use std::collections::VecDeque;

/// Length of a function's run profile. Clockwork also uses ten, but per worker; one front end sees too few runs of
/// each worker for that.
const PROFILE_RUNS: usize = 10;
/// Bounds of the store slowdown derived from a single load.
const MIN_STORE_SLOWDOWN: f64 = 0.25;
const MAX_STORE_SLOWDOWN: f64 = 16.0;

#[derive(Default)]
pub(super) struct Function {
    pub class: u16,
    pub memory_mb: f64,
    /// Number of calls that one copy runs concurrently.
    pub concurrency: usize,
    /// Declared load time; 0 if none is declared.
    pub declared_load_time: Micros,
    /// Mean observed load time, normalised to a store of the usual speed.
    pub mean_load_time: Option<f64>,
    /// Mean run time at a worker of the usual speed.
    pub mean_run: Option<f64>,
    /// Run profile: times of the last runs on a loaded copy, each divided by its worker's slowdown.
    pub recent_runs: VecDeque<f64>,
    /// Calls that arrived at this front end, decaying over twice the retention time.
    pub recent_calls: DecayingSum,
    pub attempts: AttemptCounter,
    /// Indices of the workers that its requests may be sent to without a known copy, in order of rank.
    pub ranked_workers: Vec<u32>,
    /// Version and depth of `ranked_workers`.
    pub ranking: Ranking,
    /// Total work of its pending requests.
    pub pending_work: f64,
    /// Number of `ranked_workers` that were preferred workers at the last placement.
    pub preferred_count: Cell<usize>,
    /// Whether another copy was wanted at the last placement.
    pub wants_copy: Cell<bool>,
}

impl Function {
    /// Adds a load time to the means of the function and of the store that all workers share.
    pub fn record_load(&mut self, elapsed: f64, store_slowdown: &mut Option<f64>) {
        let declared = (self.declared_load_time > 0).then_some(self.declared_load_time as f64);
        let usual = self.mean_load_time.or(declared).unwrap_or(elapsed);
        let ratio = (elapsed / usual.max(1.0)).clamp(MIN_STORE_SLOWDOWN, MAX_STORE_SLOWDOWN);
        update_average(store_slowdown, ratio, GAIN);
        update_average(&mut self.mean_load_time, elapsed / store_slowdown.unwrap_or(1.0), GAIN);
    }

    /// Adds a run on a loaded copy to the run profile.
    pub fn record_run(&mut self, run: f64) {
        self.recent_runs.truncate(PROFILE_RUNS - 1);
        self.recent_runs.push_front(run);
        update_average(&mut self.mean_run, run, GAIN);
    }

    /// Returns the 99th percentile of the run profile, once the profile is complete.
    pub fn run_percentile_99(&self) -> Option<f64> {
        percentile_99(&self.recent_runs, PROFILE_RUNS)
    }
}
