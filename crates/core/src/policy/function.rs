//! A function as one front end knows it: state without decisions.

use super::attempt_counter::AttemptCounter;
use super::numbers::{percentile_99, update_average, DecayingSum, GAIN};
use super::ranking::Ranking;
use crate::interface::*;
use std::cell::Cell;
use std::collections::VecDeque;

/// Runs kept of each function (ten by Clockwork, which keeps them for each worker: of one worker alone few come here).
const PROFILE_RUNS: usize = 10;
/// Bounds of the store's slowdown that one load can show.
const MIN_STORE_SLOWDOWN: f64 = 0.25;
const MAX_STORE_SLOWDOWN: f64 = 16.0;

#[derive(Default)]
pub(super) struct Function {
    pub class: u16,
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub concurrency: usize,
    /// Usual time of a load as declared; 0 where it is not.
    pub declared_load_time: Micros,
    /// Mean time of the loads seen, at a store of the usual speed.
    pub mean_load_time: Option<f64>,
    /// Mean run time at a worker of the usual speed.
    pub mean_run: Option<f64>,
    /// Run profile: the last runs on a loaded copy, each relative to its worker's slowdown.
    pub recent_runs: VecDeque<f64>,
    /// Calls that arrived here, decaying over twice the retention time.
    pub recent_calls: DecayingSum,
    pub attempts: AttemptCounter,
    /// The workers that it may go to without a known copy.
    pub ranked_workers: Vec<u32>,
    /// Of which workers they were ranked, and how deep.
    pub ranking: Ranking,
    /// Work of its pending requests.
    pub pending_work: f64,
    /// How many of `ranked_workers` were homes, as last weighed.
    pub home_count: Cell<usize>,
    /// A further copy was wanted, as last weighed.
    pub wants_copy: Cell<bool>,
}

impl Function {
    /// Takes the time of a load into the means of the function and of the store that all workers share.
    pub fn record_load(&mut self, elapsed: f64, store_slowdown: &mut Option<f64>) {
        let declared = (self.declared_load_time > 0).then_some(self.declared_load_time as f64);
        let usual = self.mean_load_time.or(declared).unwrap_or(elapsed);
        let ratio = (elapsed / usual.max(1.0)).clamp(MIN_STORE_SLOWDOWN, MAX_STORE_SLOWDOWN);
        update_average(store_slowdown, ratio, GAIN);
        update_average(&mut self.mean_load_time, elapsed / store_slowdown.unwrap_or(1.0), GAIN);
    }

    /// Takes a run on a loaded copy into the run profile.
    pub fn record_run(&mut self, run: f64) {
        self.recent_runs.truncate(PROFILE_RUNS - 1);
        self.recent_runs.push_front(run);
        update_average(&mut self.mean_run, run, GAIN);
    }

    /// The 99th percentile of the run profile, once it is complete.
    pub fn run_percentile_99(&self) -> Option<f64> {
        percentile_99(&self.recent_runs, PROFILE_RUNS)
    }
}
