//! Placement: the worker that a queued request goes to now, or until when it waits.

use super::attempt_counter::AttemptCounter;
use super::call::PendingCall;
use super::function::Function;
use super::prediction::Prediction;
use super::worker_search::{Candidates, Search};
use super::FrontEnd;
use crate::interface::*;

/// Chance that a home has a copy before any answer told.
const DEFAULT_HOME_HIT_RATE: f64 = 0.5;

/// How the ready workers are, as far as the judgement of them goes.
#[derive(Clone, Copy)]
pub(super) struct FleetHealth {
    /// Workers that take requests.
    pub ready: usize,
    /// Most of them are ejected: the judgement is doubted rather than the workers.
    pub ejections_doubted: bool,
}

/// What is decided of a queued request.
pub(super) enum Placement {
    Send(Prediction),
    /// No worker now; it need not be considered after this time. Now: it is rejected.
    WaitUntil(Micros),
}

impl FrontEnd {
    /// Where a queued request goes now, or until when it waits.
    pub(super) fn place(&self, id: RequestId, health: FleetHealth, now: Micros) -> Placement {
        let call = &self.pending[&id];
        let Some(function) = self.functions.get(&call.request.function) else {
            return Placement::WaitUntil(now);
        };
        // Retries stay a configured share of first attempts, so that faults do not multiply load; a request of a
        // function that spent it waits. Could harm where one worker's fault is most of its traffic.
        if !self.allows_attempt(call, &function.attempts, now) {
            return Placement::WaitUntil(call.objective_at);
        }
        let mut search = self.search(call, function, health, now);
        function.home_count.set(0);
        let looked_at = search.consider_ranked();
        for index in self.holders_beyond(call.request.function, function, looked_at) {
            search.consider(looked_at, index);
        }
        let candidates = search.candidates;
        // While copies are loaded, another load only when the priority asks for it, lest loads crowd the store.
        let no_copy = candidates.copy_with_capacity.is_none() && candidates.copy_without_capacity.is_none();
        function.wants_copy.set(no_copy || self.load_priority(call.request.function, now) > 0.0);
        self.choose(call, candidates, function.wants_copy.get(), now)
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
        let misses_answer = self.settings.on_miss == OnMiss::Miss;
        Search {
            front_end: self,
            call,
            function,
            health,
            now,
            load_time: self.load_time(call.request.function),
            misses_answer,
            // Never 0, else a home would be none, and no answer from one could raise it again.
            copy_chance: self.home_hit_rate.unwrap_or(DEFAULT_HOME_HIT_RATE).max(f64::MIN_POSITIVE),
            reserved_for_copy: misses_answer && self.reserves_last_attempt(call, function, now),
            remaining_demand: self.kept_demand(function, now),
            candidates: Candidates::default(),
        }
    }

    /// A last attempt is kept where an order may bring a copy, an only one while such an order is outstanding: else
    /// nobody would try a home and learn of a copy.
    fn reserves_last_attempt(&self, call: &PendingCall, function: &Function, now: Micros) -> bool {
        let is_last = call.attempts.len() as u32 + 1 >= self.settings.max_attempts;
        let is_ordered = |&index: &u32| {
            self.workers[index as usize].beliefs.load_orders.contains_key(&call.request.function)
        };
        is_last
            && (!call.attempts.is_empty() && self.load_budget.allows(now, &self.settings)
                || function.ranked_workers.iter().any(is_ordered))
    }

    /// The choice among the workers found.
    fn choose(&self, call: &PendingCall, candidates: Candidates, may_load: bool, now: Micros) -> Placement {
        let Candidates {
            copy_with_capacity,
            copy_without_capacity,
            load_with_capacity,
            load_without_capacity,
            same_worker,
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
        // Past the objective an answer earns its late value, on copies that nothing in time wants.
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

/// The prediction of less cost; the first of equal ones.
fn cheaper(first: Option<Prediction>, second: Option<Prediction>) -> Option<Prediction> {
    [first, second].into_iter().flatten().min_by(|a, b| a.cost.total_cmp(&b.cost))
}
