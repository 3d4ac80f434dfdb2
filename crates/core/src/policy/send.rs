//! Sending a request, and updating the estimates accordingly. All requests are sent from here.

use super::call::{AttemptRecord, Execution, KeyGroup, ReachedProcess};
use super::estimates::CachedCopy;
use super::prediction::{Prediction, COPY_LOSS_RISK};
use super::worker::Attempt;
use super::FrontEnd;
use crate::interface::*;

impl FrontEnd {
    /// Sends a request, unless a rule forbids it: the worker is not ready, or neither the list nor itself confirms it (rule
    /// 3); the limit of a warming worker is reached (rule 4); the request has its final answer (rule 1); or the request
    /// may not have another attempt, or none at this worker (rule 2).
    pub(super) fn send(
        &mut self,
        id: RequestId,
        prediction: Prediction,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.pending.get(&id) else { return };
        let index = prediction.worker_index;
        let worker = &self.workers[index];
        let is_allowed = worker.ready
            && self.may_send_again(id, now)
            && self.is_in_scope(call, worker)
            && (!self.needs_known_process(call) || self.known_connection(worker).is_some())
            && self.is_confirmed(worker, now)
            && self.has_slow_start_capacity(index, call, now);
        if !is_allowed {
            return;
        }
        let relative_work = self.relative_work(call.request.class);
        let start_by = self.confirmed_until(worker);
        let key_group = KeyGroup::of(&worker.endpoint);
        let known_connection = self.known_connection(worker).filter(|_| self.needs_known_process(call));
        let connected_by = known_connection.unwrap_or(Micros::MAX);
        let process = if known_connection.is_some() || !self.is_completeness_reported() {
            ReachedProcess::Known
        } else {
            ReachedProcess::ConnectedBy(Micros::MAX)
        };
        self.mark_dirty(index);
        self.start_slot(index, now);
        self.dequeue(id);
        let Some(call) = self.pending.get_mut(&id) else { return };
        let function = call.request.function;
        let number = call.attempts.len() as u16;
        let worker = self.workers[index].endpoint.worker;
        let execution = Execution::InFlight;
        call.attempts.push(AttemptRecord { worker, sent_at: now, execution, key_group, process });
        self.count_attempt(index, function, number > 0, now);
        self.record_sent_work(index, prediction.base_run, relative_work, now);
        self.expect_copy(index, function, &prediction, now);
        actions.push(Action::Send { request: id, worker, timeout: 0, start_by, connected_by });
        self.workers[index].in_flight.push(Attempt {
            request: id,
            number,
            function,
            relative_work,
            sent_at: now,
            predicted: prediction,
            overdue_handled: false,
        });
        self.update_busy(index);
    }

    fn count_attempt(&mut self, index: usize, function: FunctionId, is_retry: bool, now: Micros) {
        let budget = &self.settings.retry_budget;
        if let Some(function) = self.functions.get_mut(&function) {
            function.attempts.add(is_retry, now, budget);
        }
        self.workers[index].attempts.add(is_retry, now, budget);
    }

    fn record_sent_work(&mut self, index: usize, base_run: f64, relative_work: f64, now: Micros) {
        let retention = self.settings.idle_retention;
        let worker = &mut self.workers[index];
        let load = worker.recent_load_at(now, retention) + 2.0 * base_run / retention.max(1) as f64;
        worker.recent_load.value = load;
        worker.recent_load.updated_at = now;
        worker.slot_usage.work += relative_work;
    }

    /// Updates the expected copies: the request uses an expected copy or causes a load.
    fn expect_copy(&mut self, index: usize, function: FunctionId, prediction: &Prediction, now: Micros) {
        let retention = self.settings.idle_retention;
        let preferred_have_copies = self.preferred_hit_rate.is_none_or(|rate| rate > COPY_LOSS_RISK);
        let estimates = &mut self.workers[index].estimates;
        let known = estimates.copies.get_mut(&function).filter(|_| prediction.copy_expected);
        if let Some(copy) = known {
            copy.used_at = now;
            copy.expires_at = copy.expires_at.max(now + retention);
        } else if self.settings.on_miss == OnMiss::Load {
            let ready_at = now + prediction.load_wait;
            let copy = CachedCopy { ready_at, expires_at: ready_at + retention, used_at: now, copies: 1 };
            if !(prediction.at_preferred_worker && preferred_have_copies) {
                estimates.loading_until = ready_at;
            }
            self.set_copy(index, function, copy);
        }
    }
}
