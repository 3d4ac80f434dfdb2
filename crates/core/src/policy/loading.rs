//! Loading: decides which functions get another copy, and at which worker (rule 5).

use super::confirmation::ConfirmationStatus;
use super::estimates::CachedCopy;
use super::load_budget::LoadOrder;
use super::preferred_workers::{lacks_copy, Preference};
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;

/// A worker that rejects a load for lack of capacity is not used for the shortest latency objective divided by this.
const FULL_PAUSE_DIVISOR: Micros = 8;
/// Default run time of a class without observed runs: its latency objective divided by this.
const DEFAULT_RUN_DIVISOR: f64 = 4.0;

/// The result of a load order.
pub(super) struct LoadResult {
    pub order: LoadOrder,
    pub outcome: Outcome,
    pub elapsed: Micros,
    /// Number of copies that the worker holds afterwards.
    pub copies: u32,
}

impl FrontEnd {
    pub(super) fn on_loaded(&mut self, load: &LoadResult, now: Micros) {
        let LoadOrder { worker, function } = load.order;
        let never_arrived = matches!(load.outcome, Outcome::ConnectFailed | Outcome::Superseded);
        self.load_budget.record_order_end(load.order, never_arrived, now);
        let Some(&index) = self.worker_index.get(&worker) else { return };
        self.mark_dirty(index);
        let estimates = &mut self.workers[index].estimates;
        estimates.load_orders.remove(&function);
        if load.outcome == Outcome::Ok {
            if let Some(function) = self.functions.get_mut(&function) {
                function.record_load(load.elapsed as f64, &mut self.store_slowdown);
            }
        }
        let known = estimates.copies.get(&function);
        let is_awaited = known.is_some_and(|copy| copy.ready_at > now);
        let retention = self.settings.idle_retention;
        if load.copies > 0 {
            let used_at = known.map_or(0, |copy| copy.used_at);
            let copy =
                CachedCopy { ready_at: now, expires_at: now + retention, used_at, copies: load.copies };
            self.set_copy(index, function, copy);
        } else if !matches!(load.outcome, Outcome::Timeout | Outcome::Superseded) && !is_awaited {
            self.set_copy(index, function, CachedCopy::absent(now, retention));
        }
        if load.outcome == Outcome::Full {
            self.workers[index].estimates.full_until = now + self.shortest_objective / FULL_PAUSE_DIVISOR;
        }
    }

    /// Returns the expected load time: the observed mean, else the declared time, else the latency objective (a generous
    /// default), multiplied by the slowdown of the store that all workers share.
    pub(super) fn load_time(&self, function: FunctionId) -> f64 {
        let Some(function) = self.functions.get(&function) else { return 0.0 };
        let expected = if function.declared_load_time > 0 {
            function.declared_load_time
        } else {
            self.settings.classes[function.class as usize].latency_objective
        };
        function.mean_load_time.unwrap_or(expected as f64) * self.store_slowdown.unwrap_or(1.0)
    }

    /// Returns Clockwork's load priority of a function: the demand that its copies do not serve. Another copy is wanted if
    /// it is above 0.
    pub(super) fn load_priority(&self, id: FunctionId, now: Micros) -> f64 {
        let Some(function) = self.functions.get(&id) else { return 0.0 };
        let objective = self.settings.classes[function.class as usize].latency_objective as f64;
        let class_run = self.class_mean_run[function.class as usize];
        let other_run = class_run.unwrap_or(objective / DEFAULT_RUN_DIVISOR);
        // Clockwork: p = d - sum(a * capacity / l), with a = (d / l) / sum(1 / l). Hence p = d * (1 - served share).
        let (mut served, mut inverse_loads) = (0.0, 0.0);
        let mut remaining_demand = self.ranked_demand(function, now);
        let mut considered = 0;
        let mut add = |index: usize, remaining_demand: &mut f64| {
            let worker = &self.workers[index];
            if !worker.ready || self.is_withdrawn(worker, now) {
                return;
            }
            let is_usable = worker.estimates.ejected_until <= now;
            let is_preferred = *remaining_demand > 0.0 && !lacks_copy(worker, id, now) && is_usable;
            if is_usable {
                *remaining_demand -= self.preferred_capacity(function, worker, now);
            }
            let has_copy = is_usable && worker.estimates.expected_copy(id, now).is_some();
            if is_preferred || has_copy || worker.estimates.load_orders.contains_key(&id) {
                let own_work: f64 = worker.in_flight.iter().map(|attempt| attempt.predicted.base_run).sum();
                let others = self.other_requests(worker, now).possible;
                let load = ((own_work + others * other_run) * worker.estimates.slowdown).max(1.0);
                served += worker.endpoint.capacity.max(1.0) * objective / load / load;
                inverse_loads += 1.0 / load;
            }
        };
        for &index in &function.ranked_workers {
            if remaining_demand <= 0.0 {
                break;
            }
            add(index as usize, &mut remaining_demand);
            considered += 1;
        }
        for index in self.holders_beyond(id, function, considered) {
            add(index, &mut remaining_demand);
        }
        let served_share = if inverse_loads > 0.0 { served / inverse_loads } else { 0.0 };
        function.pending_work * (1.0 - served_share)
    }

    /// Orders one more copy of each function with a load priority above 0, the highest priorities first.
    pub(super) fn order_loads(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.wanted_loads.is_empty()
            || !self.load_budget.allows(now, &self.settings)
            || self.fleet.ready() == 0
            || !self.workers.iter().any(|worker| takes_load(worker, now))
        {
            return;
        }
        let mut by_priority: Vec<_> = self.wanted_loads.iter().map(|(&id, &wanted)| (id, wanted)).collect();
        by_priority.sort_by(|a, b| b.1.priority.total_cmp(&a.1.priority).then(a.0.cmp(&b.0)));
        for (function, wanted) in by_priority.into_iter().take(self.workers.len()) {
            let is_wanted =
                self.pending.contains_key(&wanted.request) && self.load_priority(function, now) > 0.0;
            if !is_wanted {
                self.wanted_loads.remove(&function);
            } else if let Some(index) = self.worker_for_load(function, wanted.request, now) {
                if self.is_confirmed(&self.workers[index], now) {
                    self.load(index, function, now, actions);
                } else {
                    self.start_check(index, None, now, actions);
                }
            }
        }
    }

    /// Returns the worker at which a load would serve a request soonest. Workers with slow-start capacity come first, as
    /// the request can't use a copy at a warming worker that has no slow-start capacity left.
    fn worker_for_load(&self, function: FunctionId, request: RequestId, now: Micros) -> Option<usize> {
        let call = self.pending.get(&request)?;
        let load_time = self.load_time(function);
        let can_load = |index: &usize| {
            let worker = &self.workers[*index];
            let order = LoadOrder { worker: worker.endpoint.worker, function };
            worker.estimates.expected_copy(function, now).is_none()
                && !self.load_budget.is_outstanding(order)
                && takes_load(worker, now)
                && self.confirmation_status(worker, now) != ConfirmationStatus::Barred
        };
        let candidates = self.considered_workers(function).filter(can_load).map(|index| {
            let prediction = self.predict(index, call, load_time, Preference::NotPreferred, now);
            let is_barred = !self.has_slow_start_capacity(index, call, now);
            (is_barred, prediction)
        });
        let best = candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.cost.total_cmp(&b.1.cost)));
        best.map(|(_, prediction)| prediction.worker_index)
    }

    /// Orders a load if the worker is ready and confirmed (rule 3) and has no outstanding load order, and if the
    /// settings and the budget (rule 5) allow one more order.
    pub(super) fn load(
        &mut self,
        index: usize,
        function: FunctionId,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let worker = &self.workers[index];
        let id = worker.endpoint.worker;
        let is_allowed = self.settings.may_order_loads
            && worker.ready
            && self.is_confirmed(worker, now)
            && worker.estimates.load_orders.is_empty()
            && self.load_budget.allows(now, &self.settings);
        if !is_allowed {
            return;
        }
        let start_by = self.confirmed_until(worker);
        if let Some(unused) = self.copy_to_unload(worker, function) {
            actions.push(Action::Unload { worker: id, function: unused });
            self.workers[index].estimates.copies.remove(&unused);
        }
        self.mark_dirty(index);
        self.workers[index].estimates.load_orders.insert(function, now);
        self.holders.entry(function).or_default().insert(index);
        self.load_budget.record_order(LoadOrder { worker: id, function }, now, &self.settings);
        actions.push(Action::Load { worker: id, function, copies: 1, start_by });
    }

    /// Returns the function whose copies are unloaded to free memory for another: the least recently used one without
    /// requests in flight. `None` if memory suffices or no function qualifies.
    fn copy_to_unload(&self, worker: &Worker, function: FunctionId) -> Option<FunctionId> {
        let memory = self.settings.memory_mb.get(worker.endpoint.kind as usize);
        let memory = memory.copied().unwrap_or(f64::INFINITY);
        let size = |id: &FunctionId| self.functions.get(id).map_or(0.0, |function| function.memory_mb);
        let copies = &worker.estimates.copies;
        let in_use: f64 = copies.iter().map(|(id, copy)| size(id) * f64::from(copy.copies)).sum();
        if in_use + size(&function) <= memory {
            return None;
        }
        let idle = copies.iter().filter(|(id, _)| worker.in_flight_of(**id) == 0);
        idle.min_by_key(|(id, copy)| (copy.used_at, **id)).map(|(id, _)| *id)
    }
}

/// Whether a worker accepts a load order.
fn takes_load(worker: &Worker, now: Micros) -> bool {
    worker.ready
        && worker.is_healthy(now)
        && worker.estimates.load_orders.is_empty()
        && worker.estimates.full_until <= now
}
