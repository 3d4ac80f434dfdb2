//! Checks rule 4 independently of the decision module, by the work that reaches a cold worker from all front ends.

use crate::scenario::Scenario;
use crate::world::START;
use crate::S;
use stagehoist::{Micros, WorkerId};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy)]
pub struct Arrival {
    pub at: Micros,
    /// Work in multiples of the mean request.
    pub work: f64,
    /// Whether the front end had been notified of the start.
    pub notified: bool,
}

/// The window with the largest ratio of arrived work to the bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worst {
    /// Ratio of the arrived work to the bound N + 2 * sqrt(N) + 2.
    pub of_bound: f64,
    /// The arrived work, and N.
    pub arrived: f64,
    pub allowed: f64,
    /// End of the window, in seconds after the start.
    pub after: f64,
}

pub struct OverloadChecker {
    window: Micros,
    warm_up: Micros,
    share: Box<dyn Fn(Micros) -> f64>,
    /// Requests of mean work that the settings allow a warm worker in one window.
    full: f64,
    /// By cold worker: the arrivals of the last window, their work, and the work from notified front ends.
    recent: BTreeMap<WorkerId, (VecDeque<Arrival>, f64, f64)>,
    pub worst: Worst,
    /// Work that reached cold workers, and the work that the settings would have allowed.
    pub arrived: f64,
    pub allowed_total: f64,
}

impl OverloadChecker {
    pub fn new(s: &Scenario) -> OverloadChecker {
        let (start_share, warm_up_time) = (s.start_share, s.warm_up);
        let share = move |age: Micros| {
            start_share + (1.0 - start_share) * (age as f64 / warm_up_time as f64).clamp(0.0, 1.0)
        };
        let full = s.multiple * s.rate() * s.window as f64 / S as f64;
        let warm = (s.until - START).min(s.warm_up);
        let allowed_total =
            s.cold as f64 * full * warm as f64 / s.window as f64 * (share(0) + share(warm)) / 2.0;
        let (recent, worst) = Default::default();
        let (window, warm_up) = (s.window, s.warm_up);
        OverloadChecker {
            window,
            warm_up,
            share: Box::new(share),
            full,
            recent,
            worst,
            arrived: 0.0,
            allowed_total,
        }
    }

    pub fn arrived(&mut self, worker: WorkerId, arrival: Arrival) {
        let age = arrival.at - START;
        if age >= self.warm_up {
            return;
        }
        self.arrived += arrival.work;
        let (list, sum, notified) = self.recent.entry(worker).or_default();
        list.push_back(arrival);
        *sum += arrival.work;
        *notified += if arrival.notified { arrival.work } else { 0.0 };
        while list.front().is_some_and(|a| a.at <= arrival.at - self.window) {
            let old = list.pop_front().expect("list is not empty");
            *sum -= old.work;
            *notified -= if old.notified { old.work } else { 0.0 };
        }
        // The share of the capacity in the middle of the window.
        let allowed = self.full * (self.share)((age - self.window / 2).max(0));
        let of_bound = *sum / (allowed + 2.0 * allowed.sqrt() + 2.0);
        if of_bound > self.worst.of_bound && *notified * 3.0 > *sum * 2.0 {
            self.worst = Worst { of_bound, arrived: *sum, allowed, after: age as f64 / S as f64 };
        }
    }
}
