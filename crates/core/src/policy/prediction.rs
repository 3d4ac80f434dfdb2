//! Prediction: when a request would finish at a worker, from own requests in flight there, a load if no copy is believed
//! to be loaded, and the function's run profile.

use super::beliefs::CachedCopy;
use super::call::PendingCall;
use super::function::Function;
use super::homes::HomeRank;
use super::numbers::hash_fraction;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;

/// Requests of one function that may wait behind its copies at a worker (Clockwork's small allowance).
pub(super) const QUEUE_ALLOWANCE: usize = 1;
/// A worker takes requests until runs there would be stretched about so many times.
pub(super) const MAX_STRETCH: f64 = 3.0;
/// Bias towards the workers ranked first for a function, in load times.
const RANK_BIAS: f64 = 0.3;
/// Chance that a copy is gone which was not used for as long as it is retained at least.
pub(super) const COPY_LOSS_RISK: f64 = 0.3;
/// Difference of cost by which front ends choose differently between equal workers, in microseconds.
const MAX_JITTER: f64 = 1000.0;
/// For the finish others' requests are guessed to fill this part of a worker's capacity at most.
const MAX_GUESSED_FILL: f64 = 0.5;

pub(super) struct Prediction {
    pub finish: Micros,
    /// Finish with what prices, others' requests and placement add; the choice goes by it.
    pub cost: f64,
    /// Run time with the worker's contention relative to a run alone.
    pub slowdown: f64,
    pub base_run: f64,
    /// A copy is believed to be loaded, or soon will be.
    pub copy_expected: bool,
    /// No copy is believed to be loaded, but the worker is a home of the function.
    pub at_home: bool,
    /// Time of the load that the request waits for.
    pub load_wait: Micros,
    /// The worker would start it soon.
    pub has_capacity: bool,
    pub worker_index: usize,
}

/// Other front ends' requests at a worker.
#[derive(Clone, Copy)]
pub(super) struct OtherRequests {
    /// By which the finish is predicted.
    pub likely: f64,
    /// By which the choice goes.
    pub possible: f64,
}

/// A worker's contention as a request would find it.
struct Contention {
    capacity: f64,
    /// Requests with the one in hand.
    requests: f64,
    other_requests: OtherRequests,
    /// Run time relative to a run alone.
    slowdown: f64,
}

impl Contention {
    /// How much longer than `slowdown` a run takes if other front ends send all that they may.
    fn possible_stretch(&self) -> f64 {
        let possible = self.requests - self.other_requests.likely + self.other_requests.possible;
        (possible / self.capacity / self.slowdown - 1.0).max(0.0)
    }

    fn is_crowded(&self) -> bool {
        self.requests > MAX_STRETCH * self.capacity
    }
}

impl FrontEnd {
    /// Other front ends' requests at a worker: reported, else as if they sent what this one did recently, so that each
    /// spreads its requests as the fleet needs. The choice goes by all of the guess, the finish by little.
    pub(super) fn other_requests(&self, worker: &Worker, now: Micros) -> OtherRequests {
        let beliefs = &worker.beliefs;
        let is_recent = now - beliefs.other_requests_at < self.shortest_objective;
        if let Some(reported) = beliefs.other_requests.filter(|_| is_recent) {
            return OtherRequests { likely: reported, possible: reported };
        }
        let others = (self.similar_front_ends - 1.0).max(0.0);
        let guess = others * worker.recent_load_at(now, self.settings.idle_retention);
        OtherRequests { likely: guess.min(worker.endpoint.capacity * MAX_GUESSED_FILL), possible: guess }
    }

    fn contention(&self, worker: &Worker, now: Micros) -> Contention {
        let capacity = worker.endpoint.capacity.max(1.0);
        let others = self.other_requests(worker, now);
        let requests = worker.in_flight.len() as f64 + 1.0 + others.likely;
        Contention { capacity, requests, other_requests: others, slowdown: (requests / capacity).max(1.0) }
    }

    /// Predicts a request's finish at a worker, where a load takes `load_time`.
    pub(super) fn predict(
        &self,
        index: usize,
        call: &PendingCall,
        load_time: f64,
        home: HomeRank,
        now: Micros,
    ) -> Prediction {
        let worker = &self.workers[index];
        let function = self.functions.get(&call.request.function);
        let copy = worker.beliefs.expected_copy(call.request.function, now);
        let contention = self.contention(worker, now);
        let load_wait = if copy.is_some() { 0 } else { (load_time * (1.0 - home.copy_chance())) as Micros };
        // Where a miss only answers, a home that may lack the copy is a doubt and no wait. Guards against front
        // ends that know little and reject untried all that others have loaded; could harm by more misses.
        let is_doubtful = self.settings.on_miss == OnMiss::Miss && home.copy_chance() > 0.0;
        let doubt = if is_doubtful { load_wait } else { 0 };
        let copy_ready = copy.map_or(now + load_wait - doubt, |copy| copy.ready_at.max(now));
        let slots = copy_slots(function, copy);
        let own = worker.in_flight_of(call.request.function);
        let start = copy_ready.max(start_of_free_slot(worker, call.request.function, own, slots));
        let mean_run = call.base_run * worker.beliefs.slowdown * contention.slowdown;
        let slow_run = function
            .and_then(Function::run_percentile_99)
            .map(|run| run * worker.beliefs.slowdown * contention.slowdown);
        let finish = start + slow_run.unwrap_or(mean_run) as Micros;
        let cost = (finish + doubt) as f64
            + mean_run * contention.possible_stretch()
            + self.zone_cost(worker, call.request.class)
            + self.affinity_cost(worker, call.request.function, copy, load_time, home, now)
            + hash_fraction(self.seed ^ u64::from(call.request.id), u64::from(worker.endpoint.worker))
                * MAX_JITTER;
        let is_crowded = contention.is_crowded() || worker.beliefs.full_until > now;
        Prediction {
            finish,
            cost,
            slowdown: contention.slowdown,
            base_run: call.base_run,
            copy_expected: copy.is_some(),
            at_home: copy.is_none() && home.copy_chance() > 0.0,
            load_wait,
            has_capacity: own < slots + QUEUE_ALLOWANCE && !is_crowded,
            worker_index: index,
        }
    }

    /// Price of a request to another zone, in microseconds.
    fn zone_cost(&self, worker: &Worker, class: u16) -> f64 {
        let is_other_zone = u32::from(worker.endpoint.zone) != self.settings.zone;
        let objective = self.settings.classes[class as usize].latency_objective as f64;
        f64::from(u8::from(is_other_zone)) * self.settings.price_cross_zone * objective
    }

    /// Away from its homes a function prefers workers ranked first and copies used recently.
    fn affinity_cost(
        &self,
        worker: &Worker,
        function: FunctionId,
        copy: Option<&CachedCopy>,
        load_time: f64,
        home: HomeRank,
        now: Micros,
    ) -> f64 {
        if home != HomeRank::NotHome {
            return 0.0;
        }
        let rank = hash_fraction(function, u64::from(worker.endpoint.worker));
        let retention = self.settings.idle_retention.max(1) as f64;
        let idle = copy.map_or(0.0, |copy| (now - copy.used_at) as f64 / retention).min(1.0);
        load_time * (RANK_BIAS * rank + COPY_LOSS_RISK * idle)
    }
}

/// Requests for a function that run at a time at a worker with these copies.
pub(super) fn copy_slots(function: Option<&Function>, copy: Option<&CachedCopy>) -> usize {
    let concurrency = function.map_or(1, |function| function.concurrency);
    concurrency * copy.map_or(1, |copy| copy.copies.max(1)) as usize
}

/// When one of the slots is free of this front end's `own` requests for the function; the distant past where one is.
fn start_of_free_slot(worker: &Worker, function: FunctionId, own: usize, slots: usize) -> Micros {
    if own < slots {
        return Micros::MIN;
    }
    let in_flight = worker.in_flight.iter().filter(|attempt| attempt.function == function);
    let mut finishes: Vec<Micros> = in_flight.map(|attempt| attempt.predicted.finish).collect();
    finishes.sort_unstable();
    finishes[own - slots]
}
