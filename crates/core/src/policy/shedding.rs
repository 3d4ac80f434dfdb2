//! Load shedding: rejects requests that can't be in time, advises when to retry them, and gives the one final answer of
//! requests that were not served (rule 1).

use super::math::hash_fraction;
use super::queue::EnqueueReason;
use super::FrontEnd;
use crate::interface::*;

/// Number of queued requests that are searched for another one that can still meet its objective; it then comes first.
const LOOKAHEAD: usize = 2;
/// The advised retry time is drawn from 0.5 to 1.5 times the time in which the queue drains.
const MIN_RETRY_AFTER_FACTOR: f64 = 0.5;
const MAX_RETRY_AFTER_FACTOR: f64 = 1.5;

impl FrontEnd {
    /// Handles a request that can't meet its objective. It is rejected now if it has no late value, if requests that
    /// are not late are among the first in the queue, or if the queue would not drain in time. Otherwise, or with an
    /// attempt in flight, it is queued for its late value. Could harm when the service rate rises.
    pub(super) fn give_up_objective(&mut self, id: RequestId, now: Micros, actions: &mut Vec<Action>) {
        let call = &self.pending[&id];
        let mut first = self.queue.iter().take(LOOKAHEAD);
        let is_behind_others = first.any(|position| !position.late && position.request != id);
        let latest_start = call.deadline as f64 - call.base_run;
        let drains_too_late = || self.drain_time().is_some_and(|drain| now as f64 + drain > latest_start);
        let is_behind = is_behind_others || drains_too_late();
        let late_value = self.settings.classes[call.request.class as usize].late_value;
        self.work_price.record_rejection(call.weight, now, self.shortest_objective);
        if (is_behind || late_value <= 0.0) && !call.has_attempt_in_flight() {
            self.conclude(id, actions);
        } else {
            self.dequeue(id);
            self.enqueue(id, EnqueueReason::PastObjective, now);
        }
    }

    /// Returns the time in which the queue drains at the current service rate.
    fn drain_time(&self) -> Option<f64> {
        let window = self.settings.overload_window.max(1) as f64;
        let rate = self.served_work.usual * self.fleet_capacity / window;
        (rate > 0.0).then(|| self.queue.len() as f64 / rate)
    }

    /// Returns the advised retry time of a rejection: the time in which the queue drains, with a random spread so that
    /// requests that were rejected together are not retried together.
    fn retry_after(&self, id: RequestId) -> Micros {
        let max = self.settings.max_retry_after as f64 / MAX_RETRY_AFTER_FACTOR;
        let drain = self.drain_time().unwrap_or(max).min(max);
        (drain * (MIN_RETRY_AFTER_FACTOR + hash_fraction(self.seed, u64::from(id)))) as Micros
    }

    /// Rule 1: gives a request that was not served its one final answer: a rejection if rule 2 allows it, else a failure.
    pub(super) fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(call) = self.pending.get(&id) else { return };
        actions.push(if self.may_reject(call) {
            Action::Reject { request: id, retry_after: self.retry_after(id) }
        } else {
            Action::Fail { request: id }
        });
        self.remove_request(id);
    }
}
