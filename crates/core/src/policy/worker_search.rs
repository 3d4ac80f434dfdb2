//! The search for a worker for one request, over the workers that it may be sent to, in rank order.

use super::call::{AttemptRecord, Execution, PendingCall};
use super::confirmation::ConfirmationStatus;
use super::function::Function;
use super::math::GAIN;
use super::placement::FleetHealth;
use super::prediction::Prediction;
use super::preferred_workers::{lacks_copy, Preference};
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;

/// The best predictions found, by whether the request would need a load and whether the worker has capacity. At a
/// preferred worker a request counts as needing no load.
#[derive(Default)]
pub(super) struct Candidates {
    pub copy_with_capacity: Option<Prediction>,
    pub copy_without_capacity: Option<Prediction>,
    pub load_with_capacity: Option<Prediction>,
    pub load_without_capacity: Option<Prediction>,
    /// A retry on a copy where an earlier attempt may have run.
    pub same_worker: Option<Prediction>,
    /// A worker that would be considered if a connection were known to lead to it.
    pub unknown_process: Option<usize>,
}

impl Candidates {
    /// Stores the prediction if its cost is the lowest of its category.
    fn offer(&mut self, prediction: Prediction, needs_load: bool, has_capacity: bool) {
        let best = match (needs_load, has_capacity) {
            (false, true) => &mut self.copy_with_capacity,
            (false, false) => &mut self.copy_without_capacity,
            (true, true) => &mut self.load_with_capacity,
            (true, false) => &mut self.load_without_capacity,
        };
        if best.as_ref().is_none_or(|best| prediction.cost < best.cost) {
            *best = Some(prediction);
        }
    }
}

/// The search for a worker for one request.
pub(super) struct Search<'a> {
    pub front_end: &'a FrontEnd,
    pub call: &'a PendingCall,
    pub function: &'a Function,
    pub health: FleetHealth,
    pub now: Micros,
    pub load_time: f64,
    /// Whether a miss is answered at once and starts no load.
    pub miss_ends_attempt: bool,
    /// Chance that a preferred worker has a copy which this front end does not know of.
    pub copy_chance: f64,
    /// Whether the attempt is reserved for a worker with a copy.
    pub reserved_for_copy: bool,
    /// Demand of the fleet that is not covered by the preferred workers considered so far.
    pub remaining_demand: f64,
    pub candidates: Candidates,
}

impl Search<'_> {
    /// Considers the workers in rank order until further workers without a copy are of no use. Returns how many were
    /// considered.
    pub fn consider_ranked(&mut self) -> usize {
        let function = self.function;
        for (rank, &index) in function.ranked_workers.iter().enumerate() {
            let wants_no_load = self.miss_ends_attempt || self.candidates.load_with_capacity.is_some();
            if self.remaining_demand <= 0.0 && wants_no_load {
                return rank;
            }
            self.consider(rank, index as usize);
        }
        function.ranked_workers.len()
    }

    /// Considers the worker at a rank for the function.
    pub fn consider(&mut self, rank: usize, index: usize) {
        let front_end = self.front_end;
        let worker = &front_end.workers[index];
        if !self.may_use(worker) {
            return;
        }
        let is_preferred = self.remaining_demand > 0.0;
        let lacks_copy = lacks_copy(worker, self.call.request.function, self.now);
        if !(self.miss_ends_attempt && lacks_copy) {
            self.remaining_demand -= front_end.preferred_capacity(self.function, worker, self.now);
        }
        if is_preferred {
            self.function.preferred_count.set(rank + 1);
        }
        let copy_expected = worker.estimates.expected_copy(self.call.request.function, self.now).is_some();
        if !copy_expected && !self.may_try_without_copy(worker, is_preferred, lacks_copy) {
            return;
        }
        if !self.may_try_again(worker, copy_expected) || !front_end.is_in_scope(self.call, worker) {
            return;
        }
        if front_end.needs_known_process(self.call) && front_end.known_connection(worker).is_none() {
            self.candidates.unknown_process.get_or_insert(index);
            return;
        }
        let copy_chance = if lacks_copy { 0.0 } else { self.copy_chance };
        let preference =
            if is_preferred { Preference::Preferred { copy_chance } } else { Preference::NotPreferred };
        let confirmation_status = front_end.confirmation_status(worker, self.now);
        let mut prediction = front_end.predict(index, self.call, self.load_time, preference, self.now);
        prediction.cost += front_end.check_cost(confirmation_status);
        // An idempotent request may be retried on the same copy after an error if no other worker can serve it in time.
        // This covers a worker that fails often and holds the only copy. Could harm if overload causes the errors.
        let may_have_run_here =
            self.attempts_at(worker).any(|attempt| attempt.execution == Execution::MayHaveRun);
        if may_have_run_here {
            let takes_requests = prediction.has_capacity && confirmation_status != ConfirmationStatus::Barred;
            if takes_requests && prediction.finish <= self.call.objective_at {
                self.candidates.same_worker = Some(prediction);
            }
            return;
        }
        let has_capacity = prediction.has_capacity
            && confirmation_status != ConfirmationStatus::Barred
            && front_end.has_slow_start_capacity(index, self.call, self.now);
        self.candidates.offer(prediction, !copy_expected && !is_preferred, has_capacity);
    }

    /// Whether the worker is ready and is neither withdrawn nor ejected, and its retry budget allows the attempt.
    fn may_use(&self, worker: &Worker) -> bool {
        let effect = self.front_end.settings.classes[self.call.request.class as usize].effect;
        // A non-idempotent request that may have run can only fail, so it avoids workers with recent errors.
        let is_error_prone = worker.estimates.error_rate > GAIN / 2.0 + self.front_end.mean_error_rate;
        let is_reliable = worker.is_healthy(self.now) && !(effect == Effect::NonIdempotent && is_error_prone);
        worker.ready
            && !self.front_end.is_withdrawn(worker, self.now)
            && (is_reliable || self.health.ignore_ejections)
            && self.front_end.allows_attempt(self.call, &worker.attempts, self.now)
    }

    /// Whether a request may be sent to a worker without an expected copy; never to one that is loading. If a miss is
    /// only answered, the worker must be preferred and not known to lack the copy, and the last attempt must not be
    /// reserved for a worker with a copy. If a miss starts a load, workers that are not preferred are considered only
    /// until one with capacity was found.
    fn may_try_without_copy(&self, worker: &Worker, is_preferred: bool, lacks_copy: bool) -> bool {
        let is_barred = self.miss_ends_attempt && (lacks_copy || self.reserved_for_copy)
            || !is_preferred && (self.miss_ends_attempt || self.candidates.load_with_capacity.is_some());
        !is_barred && worker.estimates.loading_until <= self.now
    }

    fn attempts_at<'s>(&'s self, worker: &'s Worker) -> impl Iterator<Item = &'s AttemptRecord> {
        self.call.attempts.iter().filter(|attempt| attempt.worker == worker.endpoint.worker)
    }

    /// Whether the request may be sent again to a worker that already had attempts of it; each of them must allow this.
    /// Not while the attempt is in flight. If it never ran: if no untried worker is left, or if a copy is expected
    /// there that was loaded since, for example because of the attempt's own miss. If it may have run: if a copy is
    /// expected there and the class is idempotent. If such a worker were excluded for good, the request would wait
    /// until its deadline although its copy is loaded there, or although a slot became free there after `Full`. Sending
    /// again may do harm if copies are loaded and evicted faster than requests are retried.
    fn may_try_again(&self, worker: &Worker, copy_expected: bool) -> bool {
        let copy = worker.estimates.copies.get(&self.call.request.function);
        let loaded_since =
            |sent_at: Micros| copy_expected && copy.is_some_and(|copy| copy.ready_at > sent_at);
        let effect = self.front_end.settings.classes[self.call.request.class as usize].effect;
        let has_untried_workers = self.health.ready > self.call.attempts.len();
        self.attempts_at(worker).all(|attempt| match attempt.execution {
            Execution::InFlight => false,
            Execution::NeverRan => !has_untried_workers || loaded_since(attempt.sent_at),
            Execution::MayHaveRun => copy_expected && effect == Effect::Idempotent,
        })
    }
}
