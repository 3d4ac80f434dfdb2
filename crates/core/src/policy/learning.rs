//! Updates the estimates of a worker and a function when an attempt ends.

use super::estimates::CachedCopy;
use super::math::{update_average, GAIN};
use super::outliers::Failure;
use super::worker::Attempt;
use super::FrontEnd;
use crate::interface::Outcome::{Cancelled, ConnectFailed, Error, Full, Miss, Reset, Timeout};
use crate::interface::*;

/// Bounds of the ratio of an attempt's run time to its prediction.
const MIN_RUN_RATIO: f64 = 0.1;
const MAX_RUN_RATIO: f64 = 20.0;
/// Bounds of a worker's slowdown.
const MIN_SLOWDOWN: f64 = 0.2;
const MAX_SLOWDOWN: f64 = 20.0;

impl FrontEnd {
    pub(super) fn update_estimates(
        &mut self,
        index: usize,
        attempt: &Attempt,
        end: &AttemptEnd,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[index];
        let none_in_flight = worker.in_flight.is_empty();
        let estimates = &mut worker.estimates;
        estimates.lost_connections += u32::from(end.outcome == Reset);
        let is_unreachable = end.outcome == ConnectFailed || none_in_flight && estimates.lost_connections > 1;
        if !matches!(end.outcome, Timeout | Cancelled | ConnectFailed | Reset) {
            estimates.last_response_at = now;
        }
        if !self.functions.contains_key(&attempt.function) {
            return;
        }
        self.record_preferred_hit(attempt, end);
        match end.outcome {
            Outcome::Ok => self.record_answer(index, attempt, end, now),
            Miss => {
                let absent = CachedCopy::absent(now, self.settings.idle_retention);
                self.set_copy(index, attempt.function, absent);
            }
            Full => self.record_full(index, attempt, now),
            Error if end.copy.state == CopyReport::LOAD_FAILED => {
                self.workers[index].estimates.copies.remove(&attempt.function);
            }
            Error => self.record_failure(index, Failure::Error, now, actions),
            ConnectFailed | Reset if is_unreachable => {
                self.record_failure(index, Failure::Unreachable, now, actions)
            }
            ConnectFailed | Reset => self.record_failure(index, Failure::Error, now, actions),
            Timeout | Cancelled => self.record_unanswered(index, attempt, end, now),
            Outcome::Superseded => {}
        }
    }

    /// Updates the rate at which requests that are sent to preferred workers find a copy that this front end did not
    /// know of.
    fn record_preferred_hit(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        if attempt.predicted.at_preferred_worker && matches!(end.outcome, Outcome::Ok | Miss) {
            let found_copy = end.outcome == Outcome::Ok && end.copy.state <= CopyReport::LOADED;
            update_average(&mut self.preferred_hit_rate, f64::from(u8::from(found_copy)), GAIN);
        }
    }

    /// Marks a worker without free capacity as full for half of a run time.
    fn record_full(&mut self, index: usize, attempt: &Attempt, now: Micros) {
        let estimates = &mut self.workers[index].estimates;
        let run = (attempt.predicted.base_run * estimates.slowdown) as Micros;
        estimates.full_until = now + run / 2;
    }

    fn record_answer(&mut self, index: usize, attempt: &Attempt, end: &AttemptEnd, now: Micros) {
        let ratio = run_ratio(attempt, end);
        let estimates = &mut self.workers[index].estimates;
        estimates.consecutive_ejections = 0;
        estimates.lost_connections = 0;
        estimates.error_rate *= 1.0 - GAIN;
        if !attempt.predicted.copy_expected && !attempt.predicted.at_preferred_worker {
            estimates.loading_until = now;
        }
        let copies = estimates.copies.get(&attempt.function).map_or(1, |copy| copy.copies.max(1));
        let expires_at = now + self.settings.idle_retention;
        let copy = CachedCopy { ready_at: now, expires_at, used_at: now, copies };
        self.set_copy(index, attempt.function, copy);
        let estimates = &mut self.workers[index].estimates;
        let Some(function) = self.functions.get_mut(&attempt.function) else { return };
        if end.copy.state == CopyReport::LOAD_STARTED {
            let run = attempt.predicted.base_run * estimates.slowdown * attempt.predicted.slowdown;
            function.record_load((end.elapsed as f64 - run).max(1.0), &mut self.store_slowdown);
        } else if end.copy.state <= CopyReport::LOADED {
            // Only runs on a loaded copy update the run profile and the worker's slowdown.
            let slowdown = estimates.slowdown + GAIN * (ratio - estimates.slowdown);
            estimates.slowdown = slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
            estimates.slowdown_at = now;
            let run = end.elapsed as f64 / (estimates.slowdown * attempt.predicted.slowdown);
            function.record_run(run);
            update_average(&mut self.class_mean_run[function.class as usize], run, GAIN);
        }
        self.on_report(index, &end.report, now);
    }

    /// Updates the estimates after an attempt that was abandoned without an answer.
    fn record_unanswered(&mut self, index: usize, attempt: &Attempt, end: &AttemptEnd, now: Micros) {
        if !attempt.predicted.copy_expected && !attempt.predicted.at_preferred_worker {
            // The attempt waited for a load, so the store was slow and not the worker.
            if let Some(function) = self.functions.get_mut(&attempt.function) {
                function.record_load(end.elapsed as f64, &mut self.store_slowdown);
            }
            return;
        }
        let ratio = run_ratio(attempt, end);
        let estimates = &mut self.workers[index].estimates;
        if ratio > estimates.slowdown {
            estimates.slowdown += GAIN * (ratio - estimates.slowdown);
            estimates.slowdown_at = now;
        }
    }
}

/// Returns the time that an attempt took relative to a run at a worker of the usual speed.
fn run_ratio(attempt: &Attempt, end: &AttemptEnd) -> f64 {
    let expected = (attempt.predicted.base_run * attempt.predicted.slowdown).max(1.0);
    (end.elapsed.max(1) as f64 / expected).clamp(MIN_RUN_RATIO, MAX_RUN_RATIO)
}
