//! Slow start: limits the work that is sent to a warming worker (rule 4).

use super::call::PendingCall;
use super::math::hash_fraction;
use super::worker::{SlotUsage, Worker};
use super::{FrontEnd, SAFETY_MARGIN};
use crate::interface::*;

impl FrontEnd {
    /// Returns the minimum share of its capacity that a warming worker has: it rises linearly from the configured start
    /// capacity to 1 during the configured warm-up. Returns 1 for an established worker.
    pub(super) fn capacity_share(&self, worker: &Worker, now: Micros) -> f64 {
        let start = self.settings.start_capacity;
        let warm_up = self.settings.warm_up.max(1) as f64;
        let Some(since) = worker.warming_since else { return 1.0 };
        start + (1.0 - start) * ((now - since) as f64 / warm_up).clamp(0.0, 1.0)
    }

    /// Returns the work of a class's requests relative to the mean of all classes.
    pub(super) fn relative_work(&self, class: u16) -> f64 {
        let known = self.class_mean_run.iter().flatten();
        let sum = known.clone().fold(0.0, |sum, run| sum + run);
        let count = known.count() as f64;
        self.class_mean_run[class as usize].map_or(1.0, |run| run * count / sum)
    }

    /// Rule 4: whether a warming worker may get the request. The work that it gets in each slot of the configured
    /// window is limited to the work that an established worker of its capacity serves for this front end, times its
    /// current share of capacity, the overload factor and a safety margin. So the sum over all front ends stays below
    /// its capacity. The limit uses work served, not work sent; without established workers it uses the work that
    /// arrives. A limit below one request becomes a probability, drawn for each slot. Could harm because new workers
    /// are used late.
    pub(super) fn has_slow_start_capacity(&self, index: usize, call: &PendingCall, now: Micros) -> bool {
        let worker = &self.workers[index];
        if worker.warming_since.is_none() {
            return true;
        }
        let share = self.capacity_share(worker, now);
        let usual = if self.served_work.usual > 0.0 { self.served_work.usual } else { self.arriving_work() };
        let limit = SAFETY_MARGIN * share * self.settings.overload_factor * usual * worker.endpoint.capacity;
        let work = self.relative_work(call.request.class);
        let usage = self.slot_usage(worker, now);
        let seed = self.seed ^ usage.slot as u64;
        let drawn = hash_fraction(seed, u64::from(worker.endpoint.worker));
        usage.work + work <= limit + work * drawn
    }

    /// Returns this front end's share of the requests that arrive in a window per unit of the fleet's capacity.
    fn arriving_work(&self) -> f64 {
        let arrivals = self.arrivals.len() as f64;
        let rate = arrivals * self.similar_front_ends / self.arrivals_window() as f64;
        let front_ends = self.settings.front_ends.max(1) as f64;
        rate * self.settings.overload_window as f64 / self.fleet_capacity.max(1.0) / front_ends
    }

    /// Returns the work sent to a worker in the current slot. Work in flight when the slot begins is included: it may
    /// reach the worker in any slot until its attempt ends.
    fn slot_usage(&self, worker: &Worker, now: Micros) -> SlotUsage {
        let window = self.settings.overload_window.max(1);
        let phase = hash_fraction(self.seed, u64::from(worker.endpoint.worker));
        let slot = (now + (phase * window as f64) as Micros) / window;
        // The first slot of a worker that was just listed begins with the next batch.
        if worker.slot_usage.slot == slot || worker.first_listed_at == now {
            return worker.slot_usage;
        }
        SlotUsage { slot, work: worker.in_flight.iter().map(|attempt| attempt.relative_work).sum() }
    }

    /// Starts the current slot of a worker if it has not started. Must be called before the attempts in flight change.
    pub(super) fn start_slot(&mut self, index: usize, now: Micros) {
        self.workers[index].slot_usage = self.slot_usage(&self.workers[index], now);
    }
}
