//! One pool at one front end, and its classes: each tenant with a reservation, and all others.

use super::TenantQueue;
use crate::Advice;
use stagehoist::Micros;
use std::collections::HashMap;

/// For how long calls must have waited before the pace tells that another will wait in vain: permits may be on
/// their way.
const STABLE_AFTER: Micros = 500_000;
/// Weight of a new gap between two calls that left.
const GAIN: f64 = 0.1;

/// A pool as a front end is notified of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolRules {
    /// Name in the configuration.
    pub name: String,
    /// Permits that this front end may always use.
    pub guaranteed: u32,
    /// Tenants with a reservation: number at this front end, and name.
    pub reserved: Vec<(u32, String)>,
}

/// A line of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolDemand<'a> {
    /// The pool's name.
    pub pool: &'a str,
    /// Empty: all who have no reservation.
    pub tenant: &'a str,
    /// Calls that hold a permit.
    pub in_use: u32,
    /// Calls that wait for one.
    pub waiting: u32,
    /// Number of the grant that is applied.
    pub applied: u64,
}

#[derive(Debug, Default)]
struct Class {
    name: String,
    in_use: u32,
    permits: u32,
    queue: TenantQueue,
    /// Since when calls wait.
    waiting_since: Option<Micros>,
    /// When the last call ended, and the smoothed interval between two ends, in microseconds.
    last_departure: Option<Micros>,
    mean_interval: Option<f64>,
    advice: Option<Advice>,
}

/// A pool. The class of those without a reservation is the first.
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
    /// A pool without permits, before its rules are known.
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

    /// The pool's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Calls that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Takes the pool out of use: it has no guaranteed minimum from here on.
    pub fn close(&mut self) {
        self.guaranteed = 0;
        self.tenants.clear();
    }

    /// Applies the configured guaranteed minimum and reservations; calls that wait stay.
    pub fn configure(&mut self, rules: &PoolRules, retry_most: Micros, seed: u64, now: Micros) {
        self.guaranteed = rules.guaranteed;
        for (tenant, name) in &rules.reserved {
            let class = self.classes.iter().position(|c| c.name == *name).unwrap_or_else(|| {
                self.classes.push(Class { name: name.clone(), ..Class::default() });
                self.classes.len() - 1
            });
            self.tenants.insert(*tenant, class);
        }
        for (n, class) in (0..).zip(&mut self.classes) {
            class.advice.get_or_insert_with(|| Advice::new(retry_most, seed ^ (n << 32), now));
        }
    }

    /// No permits any more, but those of the guaranteed minimum.
    pub fn clear(&mut self) {
        self.permits = 0;
        self.excess = self.in_use;
        for class in &mut self.classes {
            class.permits = 0;
        }
    }

    /// Takes the permits of a grant for one tenant's class.
    pub fn grant(&mut self, tenant: &str, permits: u32) {
        if let Some(class) = self.classes.iter_mut().find(|c| c.name == tenant) {
            self.permits += permits;
            self.excess -= class.in_use.saturating_sub(class.permits);
            class.permits += permits;
            self.excess += class.in_use.saturating_sub(class.permits);
        }
    }

    /// Index of the class that a tenant's calls belong to.
    pub fn class(&self, tenant: u32) -> usize {
        self.tenants.get(&tenant).copied().unwrap_or(0)
    }

    fn may_start(&self, class: usize, floored: bool) -> bool {
        let (floor, of) = (if floored { self.guaranteed } else { 0 }, &self.classes[class]);
        self.in_use < self.permits + floor && (of.in_use < of.permits || self.excess < floor)
    }

    /// Whether a call that comes now may start, ahead of nobody who waits for the same permit.
    pub fn may_pass(&self, class: usize, floored: bool) -> bool {
        let of = &self.classes[class];
        let first = of.queue.len() == 0 && (of.in_use < of.permits || self.waiting == 0);
        first && self.may_start(class, floored)
    }

    /// A call of this class starts.
    pub fn start(&mut self, class: usize) {
        let of = &mut self.classes[class];
        self.excess += u32::from(of.in_use >= of.permits);
        of.in_use += 1;
        self.in_use += 1;
    }

    /// A call of this class ended, with all its attempts.
    pub fn leave(&mut self, class: usize, now: Micros) {
        let of = &mut self.classes[class];
        self.excess -= u32::from(of.in_use > of.permits);
        of.in_use = of.in_use.saturating_sub(1);
        self.in_use = self.in_use.saturating_sub(1);
        if let Some(left) = of.last_departure.replace(now) {
            let gap = (now - left) as f64;
            of.mean_interval = Some(of.mean_interval.map_or(gap, |g| g + GAIN * (gap - g)));
        }
        if let Some(advice) = &mut of.advice {
            advice.on_departure(now);
        }
    }

    /// A call of this class waits for a permit.
    pub fn wait(&mut self, class: usize, tenant: u32, place: u64, call: u64, now: Micros) {
        let of = &mut self.classes[class];
        of.waiting_since.get_or_insert(now);
        of.queue.push(tenant, place, call);
        self.waiting += 1;
    }

    /// A call of this class waits no longer.
    pub fn cancel_wait(&mut self, class: usize, tenant: u32, place: u64) {
        self.classes[class].queue.remove(tenant, place);
        self.wait_ended(class);
    }

    /// Whether a call would wait in vain, by the pace at which calls of its class left while others waited.
    pub fn is_hopeless(&self, class: usize, latest: Micros, now: Micros) -> bool {
        let of = &self.classes[class];
        let settled = of.waiting_since.is_some_and(|since| now - since >= STABLE_AFTER);
        let waits = of.mean_interval.map_or(0.0, |gap| gap * (of.queue.len() + 1) as f64);
        settled && waits > (latest - now) as f64
    }

    /// Advice on when to send a rejected call again, by the rate at which calls of the class end.
    pub fn retry_after(&mut self, class: usize) -> Micros {
        let of = &mut self.classes[class];
        let held = u64::from(of.in_use) + of.queue.len() as u64;
        of.advice.as_mut().map_or(0, |a| a.retry_after(held))
    }

    /// The next call that may start, started; owners first.
    pub fn next(&mut self, floored: bool) -> Option<(usize, u64)> {
        if self.waiting == 0 {
            return None;
        }
        let order = (1..self.classes.len()).chain([0]);
        let class =
            order.into_iter().find(|c| self.classes[*c].queue.len() > 0 && self.may_start(*c, floored))?;
        let call = self.classes[class].queue.pop()?;
        self.wait_ended(class);
        self.start(class);
        Some((class, call))
    }

    /// Demand of each class, for the session's report.
    pub fn wanted(&self, applied: u64) -> impl Iterator<Item = PoolDemand<'_>> {
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
