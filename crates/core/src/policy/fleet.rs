//! The fleet as a whole: sums over all workers, updated as single workers change, and the times at which workers need
//! a refresh. No decision iterates over all workers, so the cost of an event does not grow with the fleet.

use super::estimates::Estimates;
use super::math::ExactSum;
use super::ranking::RankableWorker;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;
use std::collections::BTreeSet;

/// Largest number of workers that one decision considers. Smaller fleets are considered in full.
pub(super) const MAX_CONSIDERED: usize = 256;
/// Warming workers considered in each batch in a fleet of more than `MAX_CONSIDERED` workers.
const MAX_WARMING_CONSIDERED: usize = 16;
/// A slowdown or error rate within this distance of its usual value no longer needs decay.
const DECAY_TOLERANCE: f64 = 1e-6;

/// One worker's contribution to the sums.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) struct Contribution {
    is_ready: bool,
    is_healthy: bool,
    is_warming: bool,
    capacity: f64,
    established_capacity: f64,
    error_rate: f64,
}

impl Contribution {
    fn of(worker: &Worker, now: Micros) -> Contribution {
        let if_ready = |value: f64| if worker.ready { value } else { 0.0 };
        let capacity = worker.endpoint.capacity;
        Contribution {
            is_ready: worker.ready,
            is_healthy: worker.ready && worker.is_healthy(now),
            is_warming: worker.warming_since.is_some(),
            capacity: if_ready(capacity),
            established_capacity: if worker.is_established(now) { capacity } else { 0.0 },
            error_rate: if_ready(worker.estimates.error_rate),
        }
    }
}

/// A worker's index with a time; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WorkerTime {
    pub at: Micros,
    pub index: usize,
}

/// Sums over the workers, and their scheduled refreshes.
#[derive(Default)]
pub(super) struct Fleet {
    ready: usize,
    healthy: usize,
    capacity: ExactSum,
    established_capacity: ExactSum,
    error_rate: ExactSum,
    /// Workers whose contribution may have changed since they were last counted.
    dirty: Vec<usize>,
    /// Times at which the state of a worker changes without an event.
    refreshes: BTreeSet<WorkerTime>,
    pub warming: BTreeSet<usize>,
    /// Workers with several attempts in flight.
    pub busy: BTreeSet<usize>,
    /// Workers that are health-checked in turn for their load reports, by the time of their last check.
    pub check_round: BTreeSet<WorkerTime>,
    /// Workers that are gone, by their `list_updated_at`.
    pub gone: BTreeSet<WorkerTime>,
    /// Workers whose confirmation check is in progress or has failed.
    pub unconfirmed: BTreeSet<usize>,
    /// Index from which the next batch of warming workers is taken.
    next_warming: usize,
}

impl Fleet {
    /// Returns the number of workers that the endpoint list names as ready.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// Returns the number of ready workers that are not ejected.
    pub fn healthy(&self) -> usize {
        self.healthy
    }

    /// Returns the total capacity of the ready workers.
    pub fn capacity(&self) -> f64 {
        self.capacity.value()
    }

    /// Returns the total capacity of the established workers.
    pub fn established_capacity(&self) -> f64 {
        self.established_capacity.value()
    }

    /// Returns the mean error rate of the ready workers.
    pub fn mean_error_rate(&self) -> f64 {
        self.error_rate.value() / self.ready.max(1) as f64
    }

    /// Removes and returns the next worker whose refresh is due.
    fn pop_due_refresh(&mut self, now: Micros) -> Option<usize> {
        self.refreshes.first().filter(|due| due.at <= now)?;
        self.refreshes.pop_first().map(|due| due.index)
    }

    /// Returns warming workers of a fleet of `workers`: all of them in a small fleet, the next few in turn in a larger one.
    pub fn take_warming_batch(&mut self, workers: usize) -> Vec<usize> {
        let max_count = if workers <= MAX_CONSIDERED { usize::MAX } else { MAX_WARMING_CONSIDERED };
        let unwrapped = self.warming.range(self.next_warming..);
        let wrapped = self.warming.range(..self.next_warming);
        let batch: Vec<usize> = unwrapped.chain(wrapped).copied().take(max_count).collect();
        self.next_warming = batch.last().map_or(0, |last| last + 1);
        batch
    }

    fn replace(&mut self, index: usize, old: Contribution, new: Contribution) {
        self.ready = self.ready + usize::from(new.is_ready) - usize::from(old.is_ready);
        self.healthy = self.healthy + usize::from(new.is_healthy) - usize::from(old.is_healthy);
        self.capacity.replace(old.capacity, new.capacity);
        self.established_capacity.replace(old.established_capacity, new.established_capacity);
        self.error_rate.replace(old.error_rate, new.error_rate);
        if new.is_warming {
            self.warming.insert(index);
        } else {
            self.warming.remove(&index);
        }
    }
}

impl FrontEnd {
    /// Marks a worker as changed, so that it is recounted before the next decisions.
    pub(super) fn mark_dirty(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if !worker.is_dirty {
            worker.is_dirty = true;
            self.fleet.dirty.push(index);
        }
    }

    /// Recounts the workers that were marked as changed.
    pub(super) fn recount_dirty(&mut self, now: Micros) {
        let last_batch = self.sweep.at;
        for index in std::mem::take(&mut self.fleet.dirty) {
            self.workers[index].is_dirty = false;
            self.recount(index, last_batch, now);
        }
    }

    /// Updates the sums and the scheduled refresh of a worker. Times up to `since` have already been handled.
    pub(super) fn recount(&mut self, index: usize, since: Micros, now: Micros) {
        let refresh_at = self.next_change(index, since);
        let worker = &mut self.workers[index];
        let contribution = Contribution::of(worker, now);
        if contribution != worker.contribution {
            self.fleet.replace(index, worker.contribution, contribution);
            worker.contribution = contribution;
        }
        if refresh_at != worker.refresh_at {
            if let Some(at) = worker.refresh_at {
                self.fleet.refreshes.remove(&WorkerTime { at, index });
            }
            self.fleet.refreshes.extend(refresh_at.map(|at| WorkerTime { at, index }));
            worker.refresh_at = refresh_at;
        }
    }

    /// Returns the next time after `since` at which a worker's state changes without an event.
    fn next_change(&self, index: usize, since: Micros) -> Option<Micros> {
        let worker = &self.workers[index];
        let estimates = &worker.estimates;
        let warm_up_ends_at = worker.warming_since.map(|warming_since| warming_since + self.settings.warm_up);
        let oldest_order_at = estimates.load_orders.values().min();
        let lost_order_at = oldest_order_at.map(|ordered_at| ordered_at + self.lost_order_after() + 1);
        let is_decayed = self.workers.len() > MAX_CONSIDERED && is_fully_decayed(estimates);
        let decays_at = (!is_decayed).then(|| estimates.slowdown_at + self.estimate_decay_interval() + 1);
        let reopen_times = [estimates.full_until, estimates.ejected_until, estimates.loading_until];
        let reopen_times = reopen_times.into_iter().filter(|until| *until > since);
        warm_up_ends_at.into_iter().chain(lost_order_at).chain(decays_at).chain(reopen_times).min()
    }

    /// Refreshes the workers whose scheduled time has passed.
    pub(super) fn refresh_due_workers(&mut self, now: Micros) {
        while let Some(index) = self.fleet.pop_due_refresh(now) {
            self.workers[index].refresh_at = None;
            self.refresh_worker(index, now);
            self.recount(index, now, now);
        }
    }

    /// Updates the sums after a worker's entry in the endpoint list changed, as the next events of the batch use them.
    /// `previous_update` is its `list_updated_at` before the change.
    pub(super) fn update_listing(&mut self, index: usize, previous_update: Micros, now: Micros) {
        self.fleet.gone.remove(&WorkerTime { at: previous_update, index });
        let worker = &self.workers[index];
        self.rankable_workers[index] = RankableWorker::of(worker);
        if worker.endpoint.lifecycle == Lifecycle::Gone {
            self.fleet.gone.insert(WorkerTime { at: worker.list_updated_at, index });
            self.ranking_version += 1;
        }
        if worker.ready {
            self.add_to_check_round(index);
        } else {
            self.fleet.check_round.remove(&WorkerTime { at: worker.checked_at, index });
        }
        self.recount(index, self.sweep.at, now);
    }

    /// Records whether a worker has several attempts in flight.
    pub(super) fn update_busy(&mut self, index: usize) {
        if self.workers[index].in_flight.len() > 1 {
            self.fleet.busy.insert(index);
        } else {
            self.fleet.busy.remove(&index);
        }
    }
}

/// Whether the estimates of a worker have decayed to their usual values.
fn is_fully_decayed(estimates: &Estimates) -> bool {
    (estimates.slowdown - 1.0).abs() < DECAY_TOLERANCE && estimates.error_rate < DECAY_TOLERANCE
}
