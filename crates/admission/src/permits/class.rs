//! One pool at one front end, with one class for each tenant with a reservation and one class for all other tenants.

use super::TenantQueue;
use crate::Advice;
use stagehoist::Micros;
use std::collections::HashMap;

/// The rate of ending calls is used to predict that another call would wait too long only after calls have been waiting
/// for this long. Before that, permits may still be about to arrive.
const STABLE_AFTER: Micros = 500_000;
/// Weight of a new interval between two ending calls in the exponential moving average.
const INTERVAL_WEIGHT: f64 = 0.1;

/// The rules of a pool as a front end receives them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolRules {
    /// Name in the configuration.
    pub name: String,
    /// Permits that this front end may always use.
    pub guaranteed: u32,
    /// Tenants with a reservation: number at this front end, and name.
    pub reserved: Vec<(u32, String)>,
}

/// Demand for the permits of a pool by one tenant class, a line of the session's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolDemand<'a> {
    /// The pool's name.
    pub pool: &'a str,
    /// The tenant's name; empty: all tenants without a reservation.
    pub tenant: &'a str,
    /// Calls that hold a permit.
    pub in_use: u32,
    /// Calls that wait for one.
    pub waiting: u32,
    /// Number of the grant that is in force.
    pub applied: u64,
}

#[derive(Debug, Default)]
struct Class {
    name: String,
    in_use: u32,
    permits: u32,
    queue: TenantQueue,
    /// Time since which the queue has been non-empty.
    waiting_since: Option<Micros>,
    /// When the last call ended, and the exponential moving average of the interval between two ends, in microseconds.
    last_departure: Option<Micros>,
    mean_interval: Option<f64>,
    advice: Option<Advice>,
}

/// A pool. Its first class is that of the tenants without a reservation.
#[derive(Debug)]
pub(super) struct Pool {
    name: String,
    guaranteed: u32,
    classes: Vec<Class>,
    tenants: HashMap<u32, usize>,
    in_use: u32,
    permits: u32,
    /// Runs beyond the permits of their class.
    excess: u32,
    waiting: usize,
}

impl Pool {
    /// Creates a pool without permits, before its rules are known.
    pub fn new(name: &str) -> Pool {
        Pool {
            name: name.to_owned(),
            guaranteed: 0,
            classes: vec![Class::default()],
            tenants: HashMap::new(),
            in_use: 0,
            permits: 0,
            excess: 0,
            waiting: 0,
        }
    }

    /// Returns the pool's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the number of calls that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Closes the pool: it has no guaranteed minimum and no reservations until it is configured again.
    pub fn close(&mut self) {
        self.guaranteed = 0;
        self.tenants.clear();
    }

    /// Applies the configured guaranteed minimum and reservations; waiting calls stay queued.
    pub fn configure(&mut self, rules: &PoolRules, max_retry_after: Micros, seed: u64, now: Micros) {
        self.guaranteed = rules.guaranteed;
        for (tenant, name) in &rules.reserved {
            let class = self.classes.iter().position(|c| c.name == *name).unwrap_or_else(|| {
                self.classes.push(Class { name: name.clone(), ..Class::default() });
                self.classes.len() - 1
            });
            self.tenants.insert(*tenant, class);
        }
        for (n, class) in (0..).zip(&mut self.classes) {
            class.advice.get_or_insert_with(|| Advice::new(max_retry_after, seed ^ (n << 32), now));
        }
    }

    /// Revokes all permits except the guaranteed minimum.
    pub fn clear(&mut self) {
        self.permits = 0;
        self.excess = self.in_use;
        for class in &mut self.classes {
            class.permits = 0;
        }
    }

    /// Adds the permits of a grant to one tenant's class.
    pub fn grant(&mut self, tenant: &str, permits: u32) {
        if let Some(class) = self.classes.iter_mut().find(|c| c.name == tenant) {
            self.permits += permits;
            self.excess -= class.in_use.saturating_sub(class.permits);
            class.permits += permits;
            self.excess += class.in_use.saturating_sub(class.permits);
        }
    }

    /// Returns the index of the class that a tenant's calls belong to.
    pub fn class(&self, tenant: u32) -> usize {
        self.tenants.get(&tenant).copied().unwrap_or(0)
    }

    fn can_start(&self, class: usize, use_guaranteed: bool) -> bool {
        let (guaranteed, state) = (if use_guaranteed { self.guaranteed } else { 0 }, &self.classes[class]);
        self.in_use < self.permits + guaranteed && (state.in_use < state.permits || self.excess < guaranteed)
    }

    /// Whether a new call may start now without overtaking a call that waits for the same permit.
    pub fn can_start_now(&self, class: usize, use_guaranteed: bool) -> bool {
        let state = &self.classes[class];
        let is_first = state.queue.len() == 0 && (state.in_use < state.permits || self.waiting == 0);
        is_first && self.can_start(class, use_guaranteed)
    }

    /// Records the start of a call of this class.
    pub fn start(&mut self, class: usize) {
        let state = &mut self.classes[class];
        self.excess += u32::from(state.in_use >= state.permits);
        state.in_use += 1;
        self.in_use += 1;
    }

    /// Records the end of a call of this class and of all its attempts.
    pub fn leave(&mut self, class: usize, now: Micros) {
        let state = &mut self.classes[class];
        self.excess -= u32::from(state.in_use > state.permits);
        state.in_use = state.in_use.saturating_sub(1);
        self.in_use = self.in_use.saturating_sub(1);
        if let Some(previous) = state.last_departure.replace(now) {
            let interval = (now - previous) as f64;
            state.mean_interval =
                Some(state.mean_interval.map_or(interval, |g| g + INTERVAL_WEIGHT * (interval - g)));
        }
        if let Some(advice) = &mut state.advice {
            advice.on_departure(now);
        }
    }

    /// Enqueues a call of this class that waits for a permit.
    pub fn wait(&mut self, class: usize, tenant: u32, position: u64, call: u64, now: Micros) {
        let state = &mut self.classes[class];
        state.waiting_since.get_or_insert(now);
        state.queue.push(tenant, position, call);
        self.waiting += 1;
    }

    /// Removes a call of this class from the queue.
    pub fn cancel_wait(&mut self, class: usize, tenant: u32, position: u64) {
        self.classes[class].queue.remove(tenant, position);
        self.wait_ended(class);
    }

    /// Whether a call would wait past `latest`, predicted from the rate at which calls of its class ended.
    pub fn would_wait_too_long(&self, class: usize, latest: Micros, now: Micros) -> bool {
        let state = &self.classes[class];
        let is_stable = state.waiting_since.is_some_and(|since| now - since >= STABLE_AFTER);
        let expected_wait =
            state.mean_interval.map_or(0.0, |interval| interval * (state.queue.len() + 1) as f64);
        is_stable && expected_wait > (latest - now) as f64
    }

    /// Returns the advised retry delay of a rejected call, by the rate at which calls of its class end.
    pub fn retry_after(&mut self, class: usize) -> Micros {
        let state = &mut self.classes[class];
        let held = u64::from(state.in_use) + state.queue.len() as u64;
        state.advice.as_mut().map_or(0, |a| a.retry_after(held))
    }

    /// Starts and returns the next waiting call that may start; tenants with a reservation first.
    pub fn next(&mut self, use_guaranteed: bool) -> Option<(usize, u64)> {
        if self.waiting == 0 {
            return None;
        }
        let order = (1..self.classes.len()).chain([0]);
        let class = order
            .into_iter()
            .find(|c| self.classes[*c].queue.len() > 0 && self.can_start(*c, use_guaranteed))?;
        let call = self.classes[class].queue.pop()?;
        self.wait_ended(class);
        self.start(class);
        Some((class, call))
    }

    /// Returns the demand of each class, for the session's report.
    pub fn demand(&self, applied: u64) -> impl Iterator<Item = PoolDemand<'_>> {
        self.classes.iter().map(move |class| PoolDemand {
            pool: &self.name,
            tenant: &class.name,
            in_use: class.in_use,
            waiting: u32::try_from(class.queue.len()).unwrap_or(u32::MAX),
            applied,
        })
    }

    fn wait_ended(&mut self, class: usize) {
        self.waiting -= 1;
        if self.classes[class].queue.len() == 0 {
            self.classes[class].waiting_since = None;
        }
    }
}
