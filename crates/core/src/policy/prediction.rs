//! Prediction: estimates when a request would finish at a worker, from this front end's requests in flight there, the
//! load time if no copy is expected, and the function's run profile.

use super::call::PendingCall;
use super::estimates::CachedCopy;
use super::function::Function;
use super::math::hash_fraction;
use super::preferred_workers::Preference;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;

/// Requests of one function that may queue at a worker behind its copies (the small allowance of Clockwork).
pub(super) const QUEUE_ALLOWANCE: usize = 1;
/// A worker has capacity until contention would multiply run times by about this factor.
pub(super) const MAX_STRETCH: f64 = 3.0;
/// Placement bias towards the workers ranked first for a function, in multiples of the load time.
const RANK_BIAS: f64 = 0.3;
/// Assumed chance that a copy has been evicted once it has been unused for the minimum retention time.
pub(super) const COPY_LOSS_RISK: f64 = 0.3;
/// Maximum random cost, in microseconds, that makes front ends choose differently between equal workers.
const MAX_JITTER: f64 = 1000.0;
/// Maximum part of a worker's capacity that unreported requests of other front ends are assumed to use when the
/// finish is predicted.
const MAX_ASSUMED_FILL: f64 = 0.5;

pub(super) struct Prediction {
    pub finish: Micros,
    /// Finish time plus penalties for a possible miss, for requests that other front ends may have sent, for another
    /// zone and for placement, and a small random cost. The worker with the lowest cost is chosen.
    pub cost: f64,
    /// Run time under the worker's contention relative to an uncontended run.
    pub slowdown: f64,
    pub base_run: f64,
    /// Whether a copy is expected to be loaded now or soon.
    pub copy_expected: bool,
    /// Whether no copy is expected, but the worker is a preferred one of the function.
    pub at_preferred_worker: bool,
    /// Expected time that the request waits for a load.
    pub load_wait: Micros,
    /// Whether the worker would start the request soon.
    pub has_capacity: bool,
    pub worker_index: usize,
}

/// Other front ends' requests at a worker.
#[derive(Clone, Copy)]
pub(super) struct OtherRequests {
    /// Likely number, used to predict the finish.
    pub likely: f64,
    /// Possible number, used to compute the cost.
    pub possible: f64,
}

/// A worker's contention after one more request is sent to it.
struct Contention {
    capacity: f64,
    /// Requests at the worker, including the one being placed.
    requests: f64,
    other_requests: OtherRequests,
    /// Run time relative to an uncontended run.
    slowdown: f64,
}

impl Contention {
    /// Returns the relative increase over `slowdown` if the other front ends have the possible number of requests.
    fn possible_stretch(&self) -> f64 {
        let possible = self.requests - self.other_requests.likely + self.other_requests.possible;
        (possible / self.capacity / self.slowdown - 1.0).max(0.0)
    }

    fn is_crowded(&self) -> bool {
        self.requests > MAX_STRETCH * self.capacity
    }
}

impl FrontEnd {
    /// Returns the estimated number of other front ends' requests at a worker: the number reported recently, else an
    /// estimate which assumes that each other front end sent as much as this one did recently. With that estimate each
    /// front end spreads its requests as the whole fleet needs. The cost uses the full estimate, and the predicted finish
    /// a capped one.
    pub(super) fn other_requests(&self, worker: &Worker, now: Micros) -> OtherRequests {
        let estimates = &worker.estimates;
        let is_recent = now - estimates.other_requests_at < self.shortest_objective;
        if let Some(reported) = estimates.other_requests.filter(|_| is_recent) {
            return OtherRequests { likely: reported, possible: reported };
        }
        let others = (self.similar_front_ends - 1.0).max(0.0);
        let estimate = others * worker.recent_load_at(now, self.settings.idle_retention);
        OtherRequests {
            likely: estimate.min(worker.endpoint.capacity * MAX_ASSUMED_FILL),
            possible: estimate,
        }
    }

    fn contention(&self, worker: &Worker, now: Micros) -> Contention {
        let capacity = worker.endpoint.capacity.max(1.0);
        let others = self.other_requests(worker, now);
        let requests = worker.in_flight.len() as f64 + 1.0 + others.likely;
        Contention { capacity, requests, other_requests: others, slowdown: (requests / capacity).max(1.0) }
    }

    /// Predicts a request's finish at a worker if a load takes `load_time`.
    pub(super) fn predict(
        &self,
        index: usize,
        call: &PendingCall,
        load_time: f64,
        preference: Preference,
        now: Micros,
    ) -> Prediction {
        let worker = &self.workers[index];
        let function = self.functions.get(&call.request.function);
        let copy = worker.estimates.expected_copy(call.request.function, now);
        let contention = self.contention(worker, now);
        let load_wait =
            if copy.is_some() { 0 } else { (load_time * (1.0 - preference.copy_chance())) as Micros };
        // If a miss is only answered and starts no load, the risk that a preferred worker lacks the copy raises the
        // cost but not the predicted finish. Otherwise a front end with few observations would reject, without an
        // attempt, requests for functions that others have loaded. Could harm because more misses occur.
        let may_miss = self.settings.on_miss == OnMiss::Miss && preference.copy_chance() > 0.0;
        let miss_penalty = if may_miss { load_wait } else { 0 };
        let copy_ready = copy.map_or(now + load_wait - miss_penalty, |copy| copy.ready_at.max(now));
        let slots = copy_slots(function, copy);
        let own_requests = worker.in_flight_of(call.request.function);
        let start = copy_ready.max(start_of_free_slot(worker, call.request.function, own_requests, slots));
        let mean_run = call.base_run * worker.estimates.slowdown * contention.slowdown;
        let slow_run = function
            .and_then(Function::run_percentile_99)
            .map(|run| run * worker.estimates.slowdown * contention.slowdown);
        let finish = start + slow_run.unwrap_or(mean_run) as Micros;
        let cost = (finish + miss_penalty) as f64
            + mean_run * contention.possible_stretch()
            + self.zone_cost(worker, call.request.class)
            + self.affinity_cost(worker, call.request.function, copy, load_time, preference, now)
            + hash_fraction(self.seed ^ u64::from(call.request.id), u64::from(worker.endpoint.worker))
                * MAX_JITTER;
        let is_crowded = contention.is_crowded() || worker.estimates.full_until > now;
        Prediction {
            finish,
            cost,
            slowdown: contention.slowdown,
            base_run: call.base_run,
            copy_expected: copy.is_some(),
            at_preferred_worker: copy.is_none() && preference.copy_chance() > 0.0,
            load_wait,
            has_capacity: own_requests < slots + QUEUE_ALLOWANCE && !is_crowded,
            worker_index: index,
        }
    }

    /// Returns the cost of sending a request to another zone, in microseconds; 0 within the front end's zone.
    fn zone_cost(&self, worker: &Worker, class: u16) -> f64 {
        let is_other_zone = u32::from(worker.endpoint.zone) != self.settings.zone;
        let objective = self.settings.classes[class as usize].latency_objective as f64;
        f64::from(u8::from(is_other_zone)) * self.settings.price_cross_zone * objective
    }

    /// Returns the cost that biases placement: 0 at a preferred worker. At any other worker it decreases with a lower rank
    /// and a more recently used copy.
    fn affinity_cost(
        &self,
        worker: &Worker,
        function: FunctionId,
        copy: Option<&CachedCopy>,
        load_time: f64,
        preference: Preference,
        now: Micros,
    ) -> f64 {
        if preference != Preference::NotPreferred {
            return 0.0;
        }
        let rank = hash_fraction(function, u64::from(worker.endpoint.worker));
        let retention = self.settings.idle_retention.max(1) as f64;
        let idle = copy.map_or(0.0, |copy| (now - copy.used_at) as f64 / retention).min(1.0);
        load_time * (RANK_BIAS * rank + COPY_LOSS_RISK * idle)
    }
}

/// Returns the number of requests for a function that run concurrently on these copies.
pub(super) fn copy_slots(function: Option<&Function>, copy: Option<&CachedCopy>) -> usize {
    let concurrency = function.map_or(1, |function| function.concurrency);
    concurrency * copy.map_or(1, |copy| copy.copies.max(1)) as usize
}

/// Returns the time at which one of the function's `slots` on the worker is predicted to be free of this front end's
/// `own_requests`; `Micros::MIN` if a slot is free now.
fn start_of_free_slot(worker: &Worker, function: FunctionId, own_requests: usize, slots: usize) -> Micros {
    if own_requests < slots {
        return Micros::MIN;
    }
    let in_flight = worker.in_flight.iter().filter(|attempt| attempt.function == function);
    let mut finishes: Vec<Micros> = in_flight.map(|attempt| attempt.predicted.finish).collect();
    finishes.sort_unstable();
    finishes[own_requests - slots]
}
