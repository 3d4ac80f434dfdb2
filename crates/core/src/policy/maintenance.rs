//! Periodic maintenance: expired deadlines, expiring estimates, unresponsive workers, and the measurement windows.

use super::outliers::Failure;
use super::retries::AttemptId;
use super::worker::{Attempt, Worker};
use super::FrontEnd;
use crate::interface::*;

/// An attempt is overdue after this multiple of its predicted duration.
const OVERDUE_FACTOR: f64 = 3.0;
/// Number of overdue attempts at which a worker counts as silent; a single one may be a heavy request.
const SILENT_ATTEMPTS: usize = 2;
/// Number of times within the retention time that estimates without new observations decay towards their usual
/// values.
const DECAYS_PER_RETENTION: Micros = 8;
/// Part of the distance to the usual value that one decay step covers.
const DECAY_GAIN: f64 = 0.1;
/// Clock ticks after its timeout at which a load order counts as lost.
const LOST_ORDER_TICKS: Micros = 4;
/// A function is removed after this many retention times without a call.
const FUNCTION_RETENTIONS: Micros = 8;

impl FrontEnd {
    pub(super) fn maintain(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.conclude_expired(now, actions);
        self.load_budget.expire(now, &self.settings);
        self.log_list_age(now, actions);
        self.resubscribe(now, actions);
        self.expire_arrivals(now);
        self.recount_dirty(now);
        self.mean_error_rate = self.fleet.mean_error_rate();
        self.refresh_due_workers(now);
        self.changed_workers.extend(self.fleet.take_warming_batch(self.workers.len()));
        self.handle_silent_workers(self.queue.is_empty(), now, actions);
        self.recount_dirty(now);
        self.served_work.established_capacity = self.fleet.established_capacity();
        if self.served_work.window_start + self.settings.overload_window.max(1) <= now {
            self.end_window(now);
        }
    }

    fn conclude_expired(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let expired = self.deadlines.iter().take_while(|deadline| deadline.at <= now);
        let expired: Vec<RequestId> = expired.map(|deadline| deadline.request).collect();
        for request in expired {
            self.conclude(request, actions);
        }
    }

    /// Returns the time for which arrivals are stored.
    pub(super) fn arrivals_window(&self) -> Micros {
        self.settings.load_window.max(self.settings.idle_retention).max(1)
    }

    fn expire_arrivals(&mut self, now: Micros) {
        let from = now - self.arrivals_window();
        while self.arrivals.front().is_some_and(|&at| at <= from) {
            self.arrivals.pop_front();
        }
    }

    /// Returns the time after which a load order without an answer counts as lost.
    pub(super) fn lost_order_after(&self) -> Micros {
        self.settings.load_timeout + self.settings.tick * LOST_ORDER_TICKS
    }

    /// Returns the interval at which estimates without new observations decay.
    pub(super) fn estimate_decay_interval(&self) -> Micros {
        self.settings.idle_retention.max(1) / DECAYS_PER_RETENTION
    }

    /// Ends a worker's warm-up, load orders and pauses that are over, decays its estimates, and marks it as changed if it
    /// may take requests again.
    pub(super) fn refresh_worker(&mut self, index: usize, now: Micros) {
        let (lost_after, decay_interval) = (self.lost_order_after(), self.estimate_decay_interval());
        let warm_up = self.settings.warm_up;
        let last_sweep = self.sweep.at;
        let worker = &mut self.workers[index];
        worker.warming_since = worker.warming_since.filter(|since| now < since + warm_up);
        let estimates = &mut worker.estimates;
        estimates.load_orders.retain(|_, ordered_at| now - *ordered_at <= lost_after);
        let is_just_over = |until: &Micros| (last_sweep + 1..=now).contains(until);
        let reopen_times = [estimates.full_until, estimates.ejected_until, estimates.loading_until];
        if reopen_times.iter().any(is_just_over) {
            self.changed_workers.insert(index);
        }
        // Estimates without new observations decay.
        if now - estimates.slowdown_at > decay_interval {
            estimates.slowdown_at = now;
            estimates.slowdown += DECAY_GAIN * (1.0 - estimates.slowdown);
            estimates.error_rate *= 1.0 - DECAY_GAIN;
        }
    }

    /// Handles silent workers: those with attempts far over their predicted duration and no response since. Their attempts
    /// are not retried while requests are queued, as retries would take capacity from first attempts.
    fn handle_silent_workers(&mut self, is_idle: bool, now: Micros, actions: &mut Vec<Action>) {
        let min_overdue = self.shortest_objective;
        let mut silent = Vec::new();
        let mut overdue = Vec::new();
        for &index in &self.fleet.busy {
            let worker = &mut self.workers[index];
            if !is_silent(worker, min_overdue, now) {
                continue;
            }
            silent.push(index);
            if is_idle {
                overdue.extend(unhandled_attempts(worker));
            }
        }
        for index in silent {
            self.record_failure(index, Failure::Unreachable, now, actions);
        }
        for attempt in overdue {
            self.retry_overdue(&attempt, now, actions);
        }
    }

    /// Removes copies that expired at least one retention time ago.
    fn forget_expired_copies(&mut self, now: Micros) {
        let retention = self.settings.idle_retention.max(1);
        let workers = &mut self.workers;
        self.holders.retain(|id, holders| {
            holders.retain(|&index| {
                let estimates = &mut workers[index].estimates;
                if estimates.copies.get(id).is_some_and(|copy| copy.expires_at + retention <= now) {
                    estimates.copies.remove(id);
                }
                estimates.copies.contains_key(id) || estimates.load_orders.contains_key(id)
            });
            !holders.is_empty()
        });
    }

    fn end_window(&mut self, now: Micros) {
        let retention = self.settings.idle_retention.max(1);
        self.forget_expired_copies(now);
        self.functions
            .retain(|_, function| now - function.recent_calls.updated_at < FUNCTION_RETENTIONS * retention);
        self.wanted_loads.retain(|function, _| self.functions.contains_key(function));
        let workers = &self.workers;
        self.fleet.unconfirmed.retain(|&index| workers[index].confirmation.is_unconfirmed(now));
        self.store_slowdown = self.store_slowdown.map(|slowdown| slowdown + DECAY_GAIN * (1.0 - slowdown));
        self.served_work.end_window(now, self.settings.overload_window.max(1));
    }
}

/// Whether a worker has several overdue attempts that were sent after its last response.
fn is_silent(worker: &Worker, min_overdue: Micros, now: Micros) -> bool {
    let is_overdue = |attempt: &&Attempt| {
        let predicted = attempt.predicted.finish - attempt.sent_at;
        let limit = ((OVERDUE_FACTOR * predicted as f64) as Micros).max(min_overdue);
        now > attempt.sent_at + limit && worker.estimates.last_response_at <= attempt.sent_at
    };
    worker.in_flight.iter().filter(is_overdue).count() >= SILENT_ATTEMPTS
}

/// Returns the attempts at a silent worker that were not handled as overdue yet, and marks them as handled.
fn unhandled_attempts(worker: &mut Worker) -> Vec<AttemptId> {
    let unhandled = worker.in_flight.iter_mut().filter(|attempt| !attempt.overdue_handled);
    let handle = |attempt: &mut Attempt| {
        attempt.overdue_handled = true;
        AttemptId { request: attempt.request, number: attempt.number }
    };
    unhandled.map(handle).collect()
}
