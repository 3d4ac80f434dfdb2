//! Placement: the worker that a queued request goes to now, or until when it waits.

use super::attempt_counter::AttemptCounter;
use super::call::{AttemptRecord, Execution, PendingCall};
use super::function::Function;
use super::homes::{lacks_copy, HomeRank};
use super::numbers::GAIN;
use super::prediction::Prediction;
use super::worker::Worker;
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

/// The best workers found, by whether a copy is expected and whether they have capacity.
#[derive(Default)]
struct Candidates {
    copy_with_capacity: Option<Prediction>,
    copy_without_capacity: Option<Prediction>,
    load_with_capacity: Option<Prediction>,
    load_without_capacity: Option<Prediction>,
    /// Back to a copy where an attempt may have run.
    same_worker: Option<Prediction>,
}

impl Candidates {
    /// Keeps the prediction if its cost is the least of its kind.
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
struct Search<'a> {
    front_end: &'a FrontEnd,
    call: &'a PendingCall,
    function: &'a Function,
    health: FleetHealth,
    now: Micros,
    load_time: f64,
    /// A miss ends the attempt with an answer.
    misses_answer: bool,
    /// Chance that a home has a copy which this front end does not know of.
    copy_chance: f64,
    /// The attempt is kept for a worker with a copy.
    reserved_for_copy: bool,
    /// Demand of the fleet that the workers looked at so far do not hold as homes.
    remaining_demand: f64,
    candidates: Candidates,
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
        for (rank, &index) in function.ranked_workers.iter().enumerate() {
            search.consider(rank, index);
        }
        let candidates = search.candidates;
        // While copies are loaded, another load only when the priority asks for it, lest loads crowd the store.
        let no_copy = candidates.copy_with_capacity.is_none() && candidates.copy_without_capacity.is_none();
        function.wants_copy.set(no_copy || self.load_priority(call.request.function, now) > 0.0);
        self.choose(call, candidates, function.wants_copy.get(), now)
    }

    /// Whether the retry budget that a counter keeps allows the request's next attempt.
    fn allows_attempt(&self, call: &PendingCall, counter: &AttemptCounter, now: Micros) -> bool {
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
            remaining_demand: self.fleet_demand(function, now),
            candidates: Candidates::default(),
        }
    }

    /// A last attempt is kept where an order may bring a copy, an only one while such an order is outstanding: else
    /// nobody would try a home and learn of a copy.
    fn reserves_last_attempt(&self, call: &PendingCall, function: &Function, now: Micros) -> bool {
        let is_last = call.attempts.len() as u32 + 1 >= self.settings.max_attempts;
        let is_ordered =
            |&index: &usize| self.workers[index].beliefs.load_orders.contains_key(&call.request.function);
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

impl Search<'_> {
    /// Considers the worker at a rank for the function.
    fn consider(&mut self, rank: usize, index: usize) {
        let front_end = self.front_end;
        let worker = &front_end.workers[index];
        if !self.may_use(worker) {
            return;
        }
        let is_home = self.remaining_demand > 0.0;
        let lacks_copy = lacks_copy(worker, self.call.request.function, self.now);
        if !(self.misses_answer && lacks_copy) {
            self.remaining_demand -= front_end.home_capacity(self.function, worker, self.now);
        }
        if is_home {
            self.function.home_count.set(rank + 1);
        }
        let copy_expected = worker.beliefs.expected_copy(self.call.request.function, self.now).is_some();
        if !copy_expected && !self.may_try_without_copy(worker, is_home, lacks_copy) {
            return;
        }
        if !self.may_try_again(worker, copy_expected) || !front_end.is_in_scope(self.call, worker) {
            return;
        }
        let copy_chance = if lacks_copy { 0.0 } else { self.copy_chance };
        let home = if is_home { HomeRank::Home { copy_chance } } else { HomeRank::NotHome };
        let prediction = front_end.predict(index, self.call, self.load_time, home, self.now);
        // An idempotent request may go back to a copy after an error, if no other can be in time. Covers one that
        // fails often and holds the only copy. Could harm where errors come of too much work.
        let may_have_run_here =
            self.attempts_at(worker).any(|attempt| attempt.execution == Execution::MayHaveRun);
        if may_have_run_here {
            if prediction.has_capacity && prediction.finish <= self.call.objective_at {
                self.candidates.same_worker = Some(prediction);
            }
            return;
        }
        let has_capacity =
            prediction.has_capacity && front_end.has_slow_start_capacity(index, self.call, self.now);
        self.candidates.offer(prediction, !copy_expected && !is_home, has_capacity);
    }

    /// Whether the worker takes requests and is neither ejected nor out of its retry budget.
    fn may_use(&self, worker: &Worker) -> bool {
        let effect = self.front_end.settings.classes[self.call.request.class as usize].effect;
        // A request without idempotency that may have run ends in failure: not where errors were seen recently.
        let is_error_prone = worker.beliefs.error_rate > GAIN / 2.0 + self.front_end.mean_error_rate;
        let is_well = worker.is_healthy(self.now) && !(effect == Effect::NonIdempotent && is_error_prone);
        worker.ready
            && (is_well || self.health.ejections_doubted)
            && self.front_end.allows_attempt(self.call, &worker.attempts, self.now)
    }

    /// Where a miss only answers: a home, the next in rank if one lacks the copy. Else a load: one at a time, beyond the
    /// homes at the first with capacity.
    fn may_try_without_copy(&self, worker: &Worker, is_home: bool, lacks_copy: bool) -> bool {
        let is_barred = self.misses_answer && (lacks_copy || self.reserved_for_copy)
            || !is_home && (self.misses_answer || self.candidates.load_with_capacity.is_some());
        !is_barred && worker.beliefs.loading_until <= self.now
    }

    fn attempts_at<'s>(&'s self, worker: &'s Worker) -> impl Iterator<Item = &'s AttemptRecord> {
        self.call.attempts.iter().filter(|attempt| attempt.worker == worker.endpoint.worker)
    }

    /// Not again where it was, unless a copy was loaded there since: the one that its own miss had loaded. Guards against
    /// requests that wait out their time beside their copy; also covers a slot freed after `Full`. Could harm where
    /// copies come and go faster than requests are tried.
    fn may_try_again(&self, worker: &Worker, copy_expected: bool) -> bool {
        let copy = worker.beliefs.copies.get(&self.call.request.function);
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
