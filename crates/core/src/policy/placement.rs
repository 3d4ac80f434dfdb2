//! Placement: chooses the worker that a queued request is sent to now, or the time until which it waits.

use super::attempt_counter::AttemptCounter;
use super::call::PendingCall;
use super::function::Function;
use super::prediction::Prediction;
use super::worker_search::{Candidates, Search};
use super::FrontEnd;
use crate::interface::*;

/// Assumed chance that a preferred worker has a copy, before any answer was observed.
const DEFAULT_PREFERRED_HIT_RATE: f64 = 0.5;

/// Summary of the ready workers' health.
#[derive(Clone, Copy)]
pub(super) struct FleetHealth {
    /// Number of workers that are ready for requests.
    pub ready: usize,
    /// Whether most of the ready workers are ejected. The ejections are then ignored, because wrong ejections are likelier
    /// than so many faulty workers.
    pub ignore_ejections: bool,
}

/// The decision about a queued request.
pub(super) enum Placement {
    Send(Prediction),
    /// No worker can take the request now, and waiting past this time is of no use. If the time is not in the future,
    /// the request is concluded now.
    WaitUntil(Micros),
    /// The same, but this worker could take the request if a connection were known to lead to it.
    AwaitKnownProcess {
        worker_index: usize,
        until: Micros,
    },
}

impl FrontEnd {
    /// Chooses the worker for a queued request, or the time until which it waits.
    pub(super) fn place(&self, id: RequestId, health: FleetHealth, now: Micros) -> Placement {
        let call = &self.pending[&id];
        let Some(function) = self.functions.get(&call.request.function) else {
            return Placement::WaitUntil(now);
        };
        // Retries are limited to a configured share of first attempts, so that faults do not multiply load. A request
        // of a function that has used up its share waits. Could harm a function whose traffic goes mostly to one
        // faulty worker.
        if !self.allows_attempt(call, &function.attempts, now) {
            return Placement::WaitUntil(call.objective_at);
        }
        let mut search = self.search(call, function, health, now);
        function.preferred_count.set(0);
        let considered = search.consider_ranked();
        for index in self.holders_beyond(call.request.function, function, considered) {
            search.consider(considered, index);
        }
        let candidates = search.candidates;
        // If copies are loaded, another load is allowed only with a load priority above 0, as loads would otherwise
        // overload the store.
        let no_copy = candidates.copy_with_capacity.is_none() && candidates.copy_without_capacity.is_none();
        function.wants_copy.set(no_copy || self.load_priority(call.request.function, now) > 0.0);
        let unknown_process = candidates.unknown_process;
        match (self.choose(call, candidates, function.wants_copy.get(), now), unknown_process) {
            (Placement::WaitUntil(until), Some(worker_index)) if until > now => {
                Placement::AwaitKnownProcess { worker_index, until }
            }
            (placement, _) => placement,
        }
    }

    /// Whether the retry budget that a counter keeps allows the request's next attempt.
    pub(super) fn allows_attempt(&self, call: &PendingCall, counter: &AttemptCounter, now: Micros) -> bool {
        call.attempts.is_empty() || counter.allows_retry(now, &self.settings.retry_budget)
    }

    fn search<'a>(
        &'a self,
        call: &'a PendingCall,
        function: &'a Function,
        health: FleetHealth,
        now: Micros,
    ) -> Search<'a> {
        let miss_ends_attempt = self.settings.on_miss == OnMiss::Miss;
        Search {
            front_end: self,
            call,
            function,
            health,
            now,
            load_time: self.load_time(call.request.function),
            miss_ends_attempt,
            // Never 0: a preferred worker without a chance of a copy would get no requests, so no answer could raise
            // the rate again.
            copy_chance: self.preferred_hit_rate.unwrap_or(DEFAULT_PREFERRED_HIT_RATE).max(f64::MIN_POSITIVE),
            reserved_for_copy: miss_ends_attempt && self.reserves_last_attempt(call, function, now),
            remaining_demand: self.ranked_demand(function, now),
            candidates: Candidates::default(),
        }
    }

    /// Whether the request's last attempt is reserved for a worker with a copy: an order to load the function is
    /// outstanding at one of its ranked workers, or the budget allows an order, which may soon bring a copy. The budget
    /// alone does not reserve an attempt that is also the first: otherwise no request would be sent to a preferred
    /// worker and discover a copy.
    fn reserves_last_attempt(&self, call: &PendingCall, function: &Function, now: Micros) -> bool {
        let is_last = call.attempts.len() as u32 + 1 >= self.settings.max_attempts;
        let is_ordered = |&index: &u32| {
            self.workers[index as usize].estimates.load_orders.contains_key(&call.request.function)
        };
        is_last
            && (!call.attempts.is_empty() && self.load_budget.allows(now, &self.settings)
                || function.ranked_workers.iter().any(is_ordered))
    }

    /// Chooses among the workers found.
    fn choose(&self, call: &PendingCall, candidates: Candidates, may_load: bool, now: Micros) -> Placement {
        let Candidates {
            copy_with_capacity,
            copy_without_capacity,
            load_with_capacity,
            load_without_capacity,
            same_worker,
            unknown_process: _,
        } = candidates;
        let free = cheaper(copy_with_capacity, load_with_capacity.filter(|_| may_load));
        let busy = cheaper(copy_without_capacity, load_without_capacity.filter(|_| may_load));
        let is_in_time = |prediction: &Prediction| prediction.finish <= call.objective_at;
        let free = match free {
            Some(prediction) if is_in_time(&prediction) => return Placement::Send(prediction),
            too_late => too_late,
        };
        if busy.as_ref().is_some_and(is_in_time) {
            return Placement::WaitUntil(call.objective_at);
        }
        if let Some(prediction) = same_worker {
            return Placement::Send(prediction);
        }
        // Past the objective an answer earns its late value, but only on copies that no request in time needs.
        let late_value = self.settings.classes[call.request.class as usize].late_value;
        let is_worthwhile = |prediction: &Prediction| {
            late_value > 0.0 && prediction.slowdown <= 1.0 && prediction.finish <= call.deadline
        };
        match free {
            Some(prediction) if is_worthwhile(&prediction) => Placement::Send(prediction),
            None if busy.is_none() => Placement::WaitUntil(call.objective_at.max(now + 1)),
            _ => Placement::WaitUntil(call.deadline - call.base_run as Micros),
        }
    }
}

/// Returns the prediction with the lower cost; the first if they are equal.
fn cheaper(first: Option<Prediction>, second: Option<Prediction>) -> Option<Prediction> {
    [first, second].into_iter().flatten().min_by(|a, b| a.cost.total_cmp(&b.cost))
}
