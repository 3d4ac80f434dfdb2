//! Endpoint lists: which workers there are and whether they take requests (rule 3).

use super::beliefs::Beliefs;
use super::fleet::WorkerTime;
use super::numbers::hash_fraction;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;
use std::collections::BTreeSet;

/// A worker's place is free for another after this many retention times or retry windows.
const REUSE_AFTER: Micros = 8;
/// Start time of a worker of which no list has told yet.
const NEVER_STARTED: Micros = -1;

/// Pauses before a failed subscription is tried again, as parts of the longest time between polls: the shortest, and the
/// longest after doublings.
const MIN_PAUSE_DIVISOR: Micros = 16;
const MAX_PAUSE_DIVISOR: Micros = 2;
/// The longest time between polls, where none is configured.
const DEFAULT_POLL_WITHIN: Micros = 10_000_000;
/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 8;

/// The subscription to endpoint updates.
#[derive(Default)]
pub(super) struct Subscription {
    /// It was asked for, and did not fail since.
    is_on: bool,
    /// When it is asked for again after a failure.
    pub retry_at: Option<Micros>,
    /// Failures since the last list.
    failures: u32,
}

impl Subscription {
    /// It could not be had, or broke: it is asked for again after a pause that no two front ends share.
    fn failed(&mut self, settings: &Settings, seed: u64, now: Micros) {
        let within = if settings.poll_within > 0 { settings.poll_within } else { DEFAULT_POLL_WITHIN };
        let pause = (within / MIN_PAUSE_DIVISOR) << self.failures.min(MAX_DOUBLINGS);
        let spread = 0.5 + 0.5 * hash_fraction(seed, u64::from(self.failures));
        let pause = (pause.min(within / MAX_PAUSE_DIVISOR) as f64 * spread) as Micros;
        self.failures = self.failures.saturating_add(1);
        self.is_on = false;
        self.retry_at = settings.subscribe_endpoints.then_some(now + pause);
    }
}

impl FrontEnd {
    pub(super) fn on_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: &[Endpoint],
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        if update == EndpointUpdate::Failed {
            self.subscription.failed(&self.settings, self.seed, now);
            return;
        }
        self.subscription.failures = 0;
        self.subscribe(actions);
        if update != EndpointUpdate::Delta {
            self.remove_unlisted(endpoints, now);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, now);
        }
        self.rank_pending_functions(now);
        self.fleet_capacity = self.fleet.capacity();
    }

    /// Subscribes to endpoint updates where that is needed.
    fn subscribe(&mut self, actions: &mut Vec<Action>) {
        if self.settings.subscribe_endpoints && !self.subscription.is_on {
            self.subscription.is_on = true;
            actions.push(Action::SubscribeEndpoints { on: true });
        }
    }

    /// Subscribes again, once the pause after a failure is over: nothing else brings a list any more.
    pub(super) fn resubscribe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.subscription.retry_at.is_some_and(|at| at <= now) {
            self.subscription.retry_at = None;
            self.subscribe(actions);
        }
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint], now: Micros) {
        let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            if listed.contains(&worker.endpoint.worker) {
                continue;
            }
            let listed_before = worker.listed_at;
            worker.ready = false;
            worker.endpoint.lifecycle = Lifecycle::Gone;
            worker.listed_at = now;
            self.count_listed(index, listed_before, now);
        }
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, now: Micros) {
        let known = self.worker_index.get(&endpoint.worker).copied();
        let index = known.unwrap_or_else(|| self.add_worker(endpoint, now));
        let worker = &mut self.workers[index];
        let listed_before = worker.listed_at;
        if endpoint.started > worker.endpoint.started {
            worker.warming_since = (endpoint.started > 0).then_some(endpoint.started);
            worker.beliefs = Beliefs::restarted(now);
        }
        worker.ready = endpoint.lifecycle == Lifecycle::Ready;
        worker.confirmation.listed();
        worker.endpoint = endpoint.clone();
        worker.listed_at = now;
        self.count_listed(index, listed_before, now);
        self.changed_workers.insert(index);
    }

    /// Adds a worker in the place of one that is gone, so that lists which change for ever leave nothing behind, else
    /// in a further one.
    fn add_worker(&mut self, endpoint: &Endpoint, now: Micros) -> usize {
        let reuse_after = REUSE_AFTER * self.settings.idle_retention.max(self.settings.retry_budget.window);
        let long_gone = self.fleet.gone.iter().take_while(|gone| now - gone.at > reuse_after);
        let free = long_gone.map(|gone| gone.index).filter(|&index| self.workers[index].in_flight.is_empty());
        let index = free.min().unwrap_or(self.workers.len());
        self.ranking_version += 1;
        self.worker_index.insert(endpoint.worker, index);
        let endpoint = Endpoint { started: NEVER_STARTED, ..endpoint.clone() };
        let worker = Worker { endpoint, checked_at: now, first_listed_at: now, ..Default::default() };
        if index < self.workers.len() {
            self.replace_worker(index, worker);
        } else {
            self.workers.push(worker);
        }
        index
    }

    /// Puts a worker in the place of one that is long gone.
    fn replace_worker(&mut self, index: usize, worker: Worker) {
        let replaced = std::mem::replace(&mut self.workers[index], worker);
        self.worker_index.remove(&replaced.endpoint.worker);
        self.fleet.gone.remove(&WorkerTime { at: replaced.listed_at, index });
        self.fleet.unconfirmed.remove(&index);
        // The sums hold the former one until this one is counted.
        let worker = &mut self.workers[index];
        worker.contribution = replaced.contribution;
        worker.due_at = replaced.due_at;
        worker.is_touched = replaced.is_touched;
    }
}
