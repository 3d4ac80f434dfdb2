//! Endpoint lists: which workers exist and whether they are ready for requests (rule 3).

use super::estimates::Estimates;
use super::fleet::WorkerTime;
use super::math::hash_fraction;
use super::ranking::RankableWorker;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;
use std::collections::BTreeSet;

/// The slot of a worker that is gone may be reused after this many retention times or retry windows, whichever is
/// longer.
const REUSE_AFTER: Micros = 8;
/// Start time of a new worker until its list entry is processed.
const NEVER_STARTED: Micros = -1;

/// Shortest and longest pause before a failed subscription is retried, as divisors of the longest poll interval. The
/// pause doubles with each failure.
const MIN_PAUSE_DIVISOR: Micros = 16;
const MAX_PAUSE_DIVISOR: Micros = 2;
/// Longest poll interval if none is configured.
const DEFAULT_POLL_WITHIN: Micros = 10_000_000;
/// Maximum number of times that a pause is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// The subscription to endpoint updates.
#[derive(Default)]
pub(super) struct Subscription {
    /// Whether it was requested and has not failed since.
    is_active: bool,
    /// When it is requested again after a failure.
    pub retry_at: Option<Micros>,
    /// Number of failures since the last list.
    failures: u32,
}

impl Subscription {
    /// Handles a subscription that could not be established or broke: schedules a retry after a pause that is random for
    /// each front end.
    fn schedule_retry(&mut self, settings: &Settings, seed: u64, now: Micros) {
        let within = if settings.poll_within > 0 { settings.poll_within } else { DEFAULT_POLL_WITHIN };
        let pause = (within / MIN_PAUSE_DIVISOR) << self.failures.min(MAX_DOUBLINGS);
        let spread = 0.5 + 0.5 * hash_fraction(seed, u64::from(self.failures));
        let pause = (pause.min(within / MAX_PAUSE_DIVISOR) as f64 * spread) as Micros;
        self.failures = self.failures.saturating_add(1);
        self.is_active = false;
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
            self.subscription.schedule_retry(&self.settings, self.seed, now);
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

    /// Subscribes to endpoint updates, if this is configured and not done yet.
    fn subscribe(&mut self, actions: &mut Vec<Action>) {
        if self.settings.subscribe_endpoints && !self.subscription.is_active {
            self.subscription.is_active = true;
            actions.push(Action::SubscribeEndpoints { on: true });
        }
    }

    /// Subscribes again once the pause after a failure is over. Without a subscription no further list arrives.
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
            let previous_update = worker.list_updated_at;
            worker.ready = false;
            worker.record_listing(Lifecycle::Gone, self.list_validity.complete_at, now);
            worker.endpoint.lifecycle = Lifecycle::Gone;
            worker.list_updated_at = now;
            self.update_listing(index, previous_update, now);
        }
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, now: Micros) {
        let known = self.worker_index.get(&endpoint.worker).copied();
        let index = known.unwrap_or_else(|| self.add_worker(endpoint, now));
        let worker = &mut self.workers[index];
        let previous_update = worker.list_updated_at;
        worker.record_listing(endpoint.lifecycle, self.list_validity.complete_at, now);
        if endpoint.started > worker.endpoint.started {
            worker.start_reported_at = now;
            worker.warming_since = (endpoint.started > 0).then_some(endpoint.started);
            worker.estimates = Estimates::restarted(now);
        }
        worker.ready = endpoint.lifecycle == Lifecycle::Ready;
        worker.confirmation.clear_failures();
        worker.endpoint = endpoint.clone();
        worker.list_updated_at = now;
        self.update_listing(index, previous_update, now);
        self.changed_workers.insert(index);
    }

    /// Adds a worker and returns its index. The worker gets the slot of one that is long gone and has no attempts in
    /// flight, or a new slot if there is no such worker. Reuse keeps the table from growing without bound as workers
    /// come and go.
    fn add_worker(&mut self, endpoint: &Endpoint, now: Micros) -> usize {
        let reuse_after = REUSE_AFTER * self.settings.idle_retention.max(self.settings.retry_budget.window);
        let long_gone = self.fleet.gone.iter().take_while(|gone| now - gone.at > reuse_after);
        let free = long_gone.map(|gone| gone.index).filter(|&index| self.workers[index].in_flight.is_empty());
        let index = free.min().unwrap_or(self.workers.len());
        self.ranking_version += 1;
        self.worker_index.insert(endpoint.worker, index);
        let endpoint = Endpoint { started: NEVER_STARTED, ..endpoint.clone() };
        let worker = Worker {
            endpoint,
            checked_at: now,
            first_listed_at: now,
            listed_since: now,
            ..Default::default()
        };
        if index < self.workers.len() {
            self.replace_worker(index, worker);
        } else {
            self.rankable_workers.push(RankableWorker::of(&worker));
            self.workers.push(worker);
        }
        index
    }

    /// Puts a worker into the slot of one that is long gone.
    fn replace_worker(&mut self, index: usize, worker: Worker) {
        let replaced = std::mem::replace(&mut self.workers[index], worker);
        self.worker_index.remove(&replaced.endpoint.worker);
        self.fleet.gone.remove(&WorkerTime { at: replaced.list_updated_at, index });
        self.fleet.unconfirmed.remove(&index);
        // The sums contain the contribution of the replaced worker until the new one is counted.
        let worker = &mut self.workers[index];
        worker.contribution = replaced.contribution;
        worker.refresh_at = replaced.refresh_at;
        worker.is_dirty = replaced.is_dirty;
    }
}
