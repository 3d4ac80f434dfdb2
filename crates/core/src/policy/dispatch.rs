//! Dispatch: selects the queued requests that a batch considers, and their order.

use super::call::{CallGroup, QueuePosition};
use super::placement::{FleetHealth, Placement};
use super::prediction::{copy_slots, MAX_STRETCH, QUEUE_ALLOWANCE};
use super::{FrontEnd, WantedLoad};
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// After this many requests of a group found no worker, the rest of the group waits for the next batch.
const MAX_BLOCKED: u32 = 2;

/// A queued request that the batch may consider; ordered by queue position.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    position: QueuePosition,
    group: CallGroup,
}

impl FrontEnd {
    /// Considers, in queue order, the queued requests whose placement may have changed: those of groups that a request
    /// joined, of groups that a changed worker could serve, and of a few other groups in turn. This keeps the cost
    /// independent of the queue's length. Could harm if a change is noticed only when the sweep reaches the group.
    pub(super) fn decide(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.maintain(now, actions);
        self.give_up_objectives(now, actions);
        let health = self.fleet_health(now);
        let mut due_groups = self.sweep_groups(now);
        due_groups.append(&mut self.changed_groups);
        let mut open_workers: Vec<usize> = std::mem::take(&mut self.changed_workers).into_iter().collect();
        open_workers.retain(|&index| self.is_open(index, health, now));
        self.dispatch_groups(&due_groups, &open_workers, health, now, actions);
        self.dispatch_overdue(health, now, actions);
        self.order_loads(now, actions);
        self.send_health_checks(now, actions);
        self.set_timer(now, actions);
    }

    fn fleet_health(&self, now: Micros) -> FleetHealth {
        let (mut ready, mut healthy) = (self.fleet.ready(), self.fleet.healthy());
        let unconfirmed = self.fleet.unconfirmed.iter().map(|&index| &self.workers[index]);
        for worker in unconfirmed.filter(|worker| worker.ready && self.is_withdrawn(worker, now)) {
            ready -= 1;
            healthy -= usize::from(worker.is_healthy(now));
        }
        FleetHealth { ready, ignore_ejections: healthy * 2 < ready }
    }

    /// Gives up the objective of queued requests that can't meet it any more.
    fn give_up_objectives(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_expired = |position: &&QueuePosition| !position.late && position.required_start < now;
        let expired: Vec<_> =
            self.queue.iter().take_while(is_expired).map(|position| position.request).collect();
        for request in expired {
            self.give_up_objective(request, now, actions);
        }
    }

    fn dispatch_groups(
        &mut self,
        due_groups: &BTreeSet<CallGroup>,
        open_workers: &[usize],
        health: FleetHealth,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let mut candidates = self.first_candidates(due_groups, open_workers, now);
        let mut blocked: BTreeMap<CallGroup, u32> = BTreeMap::new();
        while let Some(Candidate { position, group }) = candidates.pop_first() {
            let serves_group =
                |&index: &usize| self.is_open(index, health, now) && self.can_serve(index, &group, now);
            if !due_groups.contains(&group) && !open_workers.iter().any(serves_group) {
                continue;
            }
            let is_blocked = self.dispatch(position.request, health, now, actions);
            let group_blocked = blocked.entry(group).or_default();
            *group_blocked += u32::from(is_blocked);
            if *group_blocked < MAX_BLOCKED {
                candidates.extend(self.next_in_group(group, position));
            }
        }
    }

    /// Returns the first request of each group that is due or could be served by an open worker.
    fn first_candidates(
        &self,
        due_groups: &BTreeSet<CallGroup>,
        open_workers: &[usize],
        now: Micros,
    ) -> BTreeSet<Candidate> {
        let first = |group: CallGroup| {
            let position = *self.queued_by_group.get(&group)?.first()?;
            Some(Candidate { position, group })
        };
        let mut candidates: BTreeSet<Candidate> =
            due_groups.iter().filter_map(|&group| first(group)).collect();
        if !open_workers.is_empty() {
            let can_serve =
                |group: &CallGroup| open_workers.iter().any(|&index| self.can_serve(index, group, now));
            let reached = self.queued_by_group.keys().filter(|group| can_serve(group));
            candidates.extend(reached.filter_map(|&group| first(group)));
        }
        candidates
    }

    fn next_in_group(&self, group: CallGroup, after: QueuePosition) -> Option<Candidate> {
        let positions = self.queued_by_group.get(&group)?;
        let position = *positions.range((Excluded(after), Unbounded)).next()?;
        Some(Candidate { position, group })
    }

    /// Considers late requests whose required start has passed.
    fn dispatch_overdue(&mut self, health: FleetHealth, now: Micros, actions: &mut Vec<Action>) {
        let overdue = self.queue.range(QueuePosition::FIRST_LATE..=QueuePosition::last_late(now));
        let overdue: Vec<RequestId> = overdue.map(|position| position.request).collect();
        for request in overdue {
            self.dispatch(request, health, now, actions);
        }
    }

    /// Sends a queued request, concludes it, or returns true if it waits. A request that no worker would finish in time is
    /// queued behind the others: otherwise requests that are about to be late would block others of their group until
    /// those are late too.
    fn dispatch(
        &mut self,
        id: RequestId,
        health: FleetHealth,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.pending.get(&id) else { return false };
        let objective_at = call.objective_at;
        let objective_start = objective_at - call.base_run as Micros;
        let is_past_objective = call.queued.is_some_and(|position| position.required_start > objective_start);
        let placement = self.place(id, health, now);
        self.connect_for_retry(id, &placement, now, actions);
        if self.settings.may_order_loads {
            self.update_wanted_load(id, &placement, now);
        }
        match placement {
            Placement::Send(prediction)
                if !self.is_confirmed(&self.workers[prediction.worker_index], now) =>
            {
                self.start_check(prediction.worker_index, Some(id), now, actions);
                return true;
            }
            Placement::Send(prediction) => self.send(id, prediction, now, actions),
            Placement::WaitUntil(until) if until <= now => self.conclude(id, actions),
            Placement::WaitUntil(until) | Placement::AwaitKnownProcess { until, .. }
                if until > objective_at && !is_past_objective =>
            {
                self.give_up_objective(id, now, actions);
            }
            Placement::WaitUntil(_) | Placement::AwaitKnownProcess { .. } => return true,
        }
        false
    }

    /// Records a wanted load of a request's function, or removes it. A load is wanted if the request waits or would
    /// finish too late at an expected copy, and the function has a positive load priority.
    fn update_wanted_load(&mut self, id: RequestId, placement: &Placement, now: Micros) {
        let Some(call) = self.pending.get(&id) else { return };
        let function = call.request.function;
        let needs_copy = match placement {
            Placement::Send(prediction) => prediction.copy_expected && prediction.finish > call.objective_at,
            Placement::WaitUntil(until) | Placement::AwaitKnownProcess { until, .. } => *until > now,
        };
        let priority = if needs_copy { self.load_priority(function, now) } else { 0.0 };
        if priority > 0.0 {
            self.wanted_loads.insert(function, WantedLoad { priority, request: id });
        } else {
            self.wanted_loads.remove(&function);
        }
    }

    /// Whether a worker is ready, not ejected and has capacity.
    fn is_open(&self, index: usize, health: FleetHealth, now: Micros) -> bool {
        let worker = &self.workers[index];
        let others = self.other_requests(worker, now).likely;
        let requests = worker.in_flight.len() as f64 + 1.0 + others;
        worker.ready
            && (worker.is_healthy(now) || health.ignore_ejections)
            && worker.estimates.full_until <= now
            && requests <= MAX_STRETCH * worker.endpoint.capacity.max(1.0)
    }

    /// Whether a worker with capacity could serve requests of a group. A cheap test without a prediction.
    fn can_serve(&self, index: usize, group: &CallGroup, now: Micros) -> bool {
        let worker = &self.workers[index];
        let Some(function) = self.functions.get(&group.function) else { return false };
        let is_preferred = || {
            let mut preferred = function.ranked_workers.iter().take(function.preferred_count.get());
            preferred.any(|&worker_index| worker_index as usize == index)
        };
        match worker.estimates.expected_copy(group.function, now) {
            Some(copy) => {
                let slots = copy_slots(Some(function), Some(copy)) + QUEUE_ALLOWANCE;
                worker.in_flight.len() < slots || worker.in_flight_of(group.function) < slots
            }
            None if worker.estimates.loading_until > now => false,
            None if self.settings.on_miss == OnMiss::Miss => is_preferred(),
            None => function.wants_copy.get() || is_preferred(),
        }
    }
}
