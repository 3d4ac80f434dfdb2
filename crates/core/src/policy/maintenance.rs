//! Periodic maintenance: deadlines that passed, beliefs that expire, silent workers, and the windows of the means.

use super::outliers::Failure;
use super::retries::AttemptId;
use super::worker::{Attempt, Worker};
use super::FrontEnd;
use crate::interface::*;

/// An attempt is overdue after this many times its predicted time.
const OVERDUE_FACTOR: f64 = 3.0;
/// A worker is silent with this many overdue attempts (one may be heavy).
const SILENT_ATTEMPTS: usize = 2;
/// Beliefs that nothing confirms move towards the usual this many times within the retention time.
const BELIEF_DECAYS: Micros = 8;
/// Part of the distance that they move.
const BELIEF_DECAY: f64 = 0.1;
/// Ticks of the clock beyond its time limit after which a load order counts as lost.
const LOST_ORDER_TICKS: Micros = 4;
/// A function is forgotten after this many retention times without a call.
const FUNCTION_RETENTIONS: Micros = 8;

impl FrontEnd {
    pub(super) fn maintain(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.conclude_expired(now, actions);
        self.load_budget.expire(now, &self.settings);
        self.log_list_age(now, actions);
        self.resubscribe(now, actions);
        self.expire_arrivals(now);
        self.mean_error_rate = self.mean_error_rate();
        let is_idle = self.queue.is_empty();
        for index in 0..self.workers.len() {
            self.refresh_worker(index, now);
        }
        self.handle_silent_workers(is_idle, now, actions);
        let established = self.workers.iter().filter(|worker| worker.is_established(now));
        self.served_work.established_capacity = established.map(|worker| worker.endpoint.capacity).sum();
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

    /// Time for which arrivals are kept.
    pub(super) fn arrivals_window(&self) -> Micros {
        self.settings.load_window.max(self.settings.idle_retention).max(1)
    }

    fn expire_arrivals(&mut self, now: Micros) {
        let from = now - self.arrivals_window();
        while self.arrivals.front().is_some_and(|&at| at <= from) {
            self.arrivals.pop_front();
        }
    }

    fn mean_error_rate(&self) -> f64 {
        let ready = self.workers.iter().filter(|worker| worker.ready);
        let sum = ready.clone().map(|worker| worker.beliefs.error_rate).sum::<f64>();
        sum / ready.count().max(1) as f64
    }

    /// Ends what is over at a worker, and marks it as changed where it may take requests again.
    fn refresh_worker(&mut self, index: usize, now: Micros) {
        let settings = &self.settings;
        let last_sweep = self.sweep.at;
        let worker = &mut self.workers[index];
        worker.warming_since = worker.warming_since.filter(|since| now < since + settings.warm_up);
        let beliefs = &mut worker.beliefs;
        let lost_after = settings.load_timeout + settings.tick * LOST_ORDER_TICKS;
        beliefs.load_orders.retain(|_, given_at| now - *given_at <= lost_after);
        let is_just_over = |until: &Micros| (last_sweep + 1..=now).contains(until);
        let opens = [beliefs.full_until, beliefs.ejected_until, beliefs.loading_until];
        if opens.iter().any(is_just_over) || worker.warming_since.is_some() {
            self.changed_workers.insert(index);
        }
        // What nothing confirms decays.
        if now - beliefs.slowdown_at > settings.idle_retention.max(1) / BELIEF_DECAYS {
            beliefs.slowdown_at = now;
            beliefs.slowdown += BELIEF_DECAY * (1.0 - beliefs.slowdown);
            beliefs.error_rate *= 1.0 - BELIEF_DECAY;
        }
    }

    /// Attempts far over their predicted time, and nothing heard since: the worker is silent. None is retried while
    /// requests are queued, as retries would take capacity from first attempts.
    fn handle_silent_workers(&mut self, is_idle: bool, now: Micros, actions: &mut Vec<Action>) {
        let min_overdue = self.shortest_objective;
        let mut silent = Vec::new();
        let mut overdue = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
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

    fn end_window(&mut self, now: Micros) {
        let retention = self.settings.idle_retention.max(1);
        self.functions
            .retain(|_, function| now - function.recent_calls.updated_at < FUNCTION_RETENTIONS * retention);
        self.wanted_loads.retain(|function, _| self.functions.contains_key(function));
        for worker in &mut self.workers {
            worker.beliefs.copies.retain(|_, copy| copy.expires_at + retention > now);
        }
        self.store_slowdown = self.store_slowdown.map(|slowdown| slowdown + BELIEF_DECAY * (1.0 - slowdown));
        self.served_work.end_window(now, self.settings.overload_window.max(1));
    }
}

/// Whether a worker has several overdue attempts since it was last heard.
fn is_silent(worker: &Worker, min_overdue: Micros, now: Micros) -> bool {
    let is_overdue = |attempt: &&Attempt| {
        let predicted = attempt.predicted.finish - attempt.sent_at;
        let limit = ((OVERDUE_FACTOR * predicted as f64) as Micros).max(min_overdue);
        now > attempt.sent_at + limit && worker.beliefs.last_response_at <= attempt.sent_at
    };
    worker.in_flight.iter().filter(is_overdue).count() >= SILENT_ATTEMPTS
}

/// The attempts at a silent worker that were not handled before; they are from now on.
fn unhandled_attempts(worker: &mut Worker) -> Vec<AttemptId> {
    let unhandled = worker.in_flight.iter_mut().filter(|attempt| !attempt.overdue_handled);
    let handle = |attempt: &mut Attempt| {
        attempt.overdue_handled = true;
        AttemptId { request: attempt.request, number: attempt.number }
    };
    unhandled.map(handle).collect()
}
