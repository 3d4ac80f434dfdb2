//! Handles the end of an attempt: the next step of its request, and the slow start of its worker.

use super::call::Execution;
use super::load_budget::LoadOrder;
use super::queue::EnqueueReason;
use super::worker::Attempt;
use super::FrontEnd;
use crate::interface::Outcome::{ConnectFailed, Full, Miss, Superseded};
use crate::interface::*;

impl FrontEnd {
    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnd, now: Micros, actions: &mut Vec<Action>) {
        let Some(&index) = self.worker_index.get(&end.worker) else { return };
        self.mark_dirty(index);
        self.start_slot(index, now);
        let in_flight = &mut self.workers[index].in_flight;
        let is_this_attempt =
            |attempt: &Attempt| (attempt.request, attempt.number) == (end.request, end.attempt);
        if let Some(position) = in_flight.iter().position(is_this_attempt) {
            let attempt = in_flight.swap_remove(position);
            self.update_busy(index);
            self.update_confirmation(index, end.outcome, attempt.sent_at, now, actions);
            self.record_served(index, &attempt, end, now);
            self.update_estimates(index, &attempt, end, now, actions);
        }
        self.verify_client(end);
        if end.concluded {
            self.remove_request(end.request);
            return;
        }
        self.record_execution(end);
        self.record_reached_process(end, now);
        self.continue_call(index, end, now, actions);
    }

    /// Updates the worker's slow start after an attempt, and counts work served by established workers.
    fn record_served(&mut self, index: usize, attempt: &Attempt, end: &AttemptEnd, now: Micros) {
        let worker = &mut self.workers[index];
        let succeeded = end.outcome == Outcome::Ok;
        // An answer to a request sent before the assumed restart proves that the process did not restart.
        let is_older = |since: Micros| succeeded && attempt.sent_at < since;
        let since =
            worker.warming_since.map(|since| if is_older(since) { worker.endpoint.started } else { since });
        worker.warming_since = since.filter(|&since| since > 0 && now < since + self.settings.warm_up);
        let is_established = worker.ready && worker.warming_since.is_none();
        let capacity = worker.endpoint.capacity;
        if succeeded && is_established && capacity > 0.0 {
            self.served_work.record(attempt.relative_work, capacity);
        }
    }

    /// Marks the request's client as verified once an attempt succeeds; the request then adds to the load budget.
    fn verify_client(&mut self, end: &AttemptEnd) {
        let Some(call) = self.pending.get_mut(&end.request) else { return };
        if end.outcome == Outcome::Ok && !call.request.client_verified {
            call.request.client_verified = true;
            self.load_budget.record_request(call.request.accepted_at);
        }
    }

    fn record_execution(&mut self, end: &AttemptEnd) {
        let Some(call) = self.pending.get_mut(&end.request) else { return };
        if let Some(attempt) = call.attempts.get_mut(end.attempt as usize) {
            let never_ran = matches!(end.outcome, Full | ConnectFailed | Superseded | Miss);
            attempt.execution = if never_ran { Execution::NeverRan } else { Execution::MayHaveRun };
        }
    }

    /// Queues the request for another attempt, or concludes it, once no attempt is in flight.
    fn continue_call(&mut self, index: usize, end: &AttemptEnd, now: Micros, actions: &mut Vec<Action>) {
        let Some(call) = self.pending.get(&end.request) else { return };
        if call.has_attempt_in_flight() || call.queued.is_some() {
            return;
        }
        let function = call.request.function;
        if self.may_send_again(end.request, now) {
            self.enqueue(end.request, EnqueueReason::CanMeetObjective, now);
            return;
        }
        // If only one attempt is allowed, a miss loses the request. A load then lets the next requests find a copy.
        // Could harm by loading functions that are called only once.
        let was_only_miss = self.settings.max_attempts == 1 && end.outcome == Miss;
        let order = LoadOrder { worker: end.worker, function };
        if was_only_miss && !self.load_budget.is_outstanding(order) {
            self.load(index, function, now, actions);
        }
        self.conclude(end.request, actions);
    }
}
