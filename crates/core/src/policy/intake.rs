//! Intake of requests: deadline, expected work and value of a new request, and the demand estimates.

use super::call::{Deadline, PendingCall};
use super::math::{decay, update_average, GAIN};
use super::queue::EnqueueReason;
use super::FrontEnd;
use crate::interface::*;

/// A request's deadline is this many clock ticks before the end of its time budget. This margin is at most the time
/// budget divided by `MAX_DEADLINE_MARGIN_DIVISOR`.
const DEADLINE_MARGIN_TICKS: Micros = 2;
const MAX_DEADLINE_MARGIN_DIVISOR: Micros = 4;
/// Maximum concurrency that is assumed for one copy.
const MAX_CONCURRENCY: f64 = 1e4;
/// Default run time of a class without observed runs: its latency objective divided by this.
const DEFAULT_RUN_DIVISOR: f64 = 4.0;
/// Bounds of a request's declared work relative to its class's mean.
const MIN_RELATIVE_WORK: f64 = 0.1;
const MAX_RELATIVE_WORK: f64 = 10.0;

impl FrontEnd {
    pub(super) fn on_request(&mut self, request: &Request, now: Micros) {
        let Some(class) = self.settings.classes.get(request.class as usize) else { return };
        let objective_work = class.objective_work_factor * request.work.unwrap_or(0) as f64;
        let objective = class.latency_objective + objective_work as Micros;
        self.arrivals.push_back(now);
        if let Some(work) = request.work {
            update_average(&mut self.class_mean_work[request.class as usize], work.max(1) as f64, GAIN);
        }
        self.update_function(request, now);
        self.rank(request.function, now);
        let budget = request.budget.max(0);
        let margin = (DEADLINE_MARGIN_TICKS * self.settings.tick).min(budget / MAX_DEADLINE_MARGIN_DIVISOR);
        let deadline = now + budget - margin;
        let objective_at = deadline.min(now + objective);
        let base_run = self.predicted_base_run(request);
        let weight = self.tenant_quotas.compute_weight(&self.settings, request, base_run, now);
        let accepted_at = if request.accepted_at > 0 { request.accepted_at.min(now) } else { now };
        let request = Request { accepted_at: accepted_at - self.settings.tick, ..request.clone() };
        // Rule 5: only requests of verified clients add to the load budget.
        if request.client_verified {
            self.load_budget.record_request(request.accepted_at);
        }
        self.record_demand(request.function, base_run, now);
        let id = request.id;
        self.deadlines.insert(Deadline { at: deadline, request: id });
        let attempts = Vec::new();
        let call = PendingCall { request, base_run, weight, deadline, objective_at, attempts, queued: None };
        self.pending.insert(id, call);
        self.enqueue(id, EnqueueReason::CanMeetObjective, now);
    }

    fn update_function(&mut self, request: &Request, now: Micros) {
        let function = self.functions.entry(request.function).or_default();
        function.recent_calls.add(1.0, now, 2 * self.settings.idle_retention);
        function.class = request.class;
        function.declared_load_time = request.load_time;
        function.memory_mb = request.memory_mb.max(0.0);
        function.concurrency = request.concurrency.clamp(1.0, MAX_CONCURRENCY) as usize;
    }

    /// Adds a request's work to the demand, and estimates how many front ends like this one produce the fleet's traffic.
    fn record_demand(&mut self, function: FunctionId, base_run: f64, now: Micros) {
        if let Some(function) = self.functions.get_mut(&function) {
            function.pending_work += base_run;
        }
        let time_constant = 2 * self.settings.idle_retention.max(1);
        self.recent_work.add(base_run, now, time_constant);
        let observed = 1.0 - decay(now - self.started_at, time_constant);
        let shortest = self.shortest_objective.max(1) as f64;
        self.observed_span = (time_constant as f64 * observed).max(shortest);
        let front_ends_to_fill_fleet =
            self.fleet_capacity * self.observed_span / self.recent_work.value.max(1.0);
        let front_ends = self.settings.front_ends.max(1) as f64;
        self.similar_front_ends = front_ends_to_fill_fleet.max(1.0).min(front_ends);
    }

    /// Returns the run time at a worker of the usual speed without contention: from the declared work, else the
    /// function's mean, else the mean of its class, else a default.
    fn predicted_base_run(&self, request: &Request) -> f64 {
        let class = request.class as usize;
        let default = self.settings.classes[class].latency_objective as f64 / DEFAULT_RUN_DIVISOR;
        let any_class = || self.class_mean_run.iter().flatten().copied().next();
        let class_run = self.class_mean_run[class].or_else(any_class).unwrap_or(default);
        if let (Some(work), Some(mean)) = (request.work, self.class_mean_work[class]) {
            return class_run * (work as f64 / mean).clamp(MIN_RELATIVE_WORK, MAX_RELATIVE_WORK);
        }
        let function = self.functions.get(&request.function);
        function.and_then(|function| function.mean_run).unwrap_or(class_run)
    }

    /// Handles the start of a request's answer: the request can no longer be rejected at its deadline.
    pub(super) fn on_started(&mut self, id: RequestId) {
        if let Some(call) = self.pending.get(&id) {
            self.deadlines.remove(&Deadline { at: call.deadline, request: id });
        }
    }

    /// Removes a request that was answered or whose client is gone.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(call) = self.pending.remove(&id) else { return };
        self.deadlines.remove(&Deadline { at: call.deadline, request: id });
        if let Some(function) = self.functions.get_mut(&call.request.function) {
            function.pending_work = (function.pending_work - call.base_run).max(0.0);
        }
    }
}
