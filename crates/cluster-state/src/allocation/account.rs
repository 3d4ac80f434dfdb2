//! What the allocator knows of one run of a front end.

use super::Guards;
use crate::{Micros, PermitGrant, Report, Version};
use std::collections::BTreeMap;

/// Grants whose end is not yet known; beyond them the two oldest are counted as one.
const MAX_OUTSTANDING_GRANTS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingGrant {
    number: u64,
    given_at: Micros,
    /// All tenants' together, by pool.
    permits: BTreeMap<String, u32>,
}

/// An account of a member, from its newest report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Account {
    number: u64,
    reported_at: Micros,
    confirmed: Version,
    known: bool,
    ready_capacity: u32,
    in_use: BTreeMap<String, u32>,
    /// Permits wanted by pool and tenant: the newest word where it is more, else a quarter of the way down to
    /// it, so that a short dip moves no permits.
    wanted: BTreeMap<String, BTreeMap<String, u32>>,
    given: Vec<OutstandingGrant>,
    counted: BTreeMap<String, u32>,
}

impl Account {
    /// A report came; false where a later one was here first.
    pub fn on_report(&mut self, report: &Report, now: Micros, guards: Guards) -> bool {
        if report.number <= self.number {
            return false;
        }
        (self.number, self.reported_at, self.ready_capacity) = (report.number, now, report.ready_capacity);
        self.confirmed = self.confirmed.max(report.confirmed);
        let applied = report.demand.iter().map(|d| d.applied).min().unwrap_or(0);
        self.known |= self.given.iter().any(|g| g.number == applied);
        self.given.retain(|g| guards.applied && g.number >= applied);
        self.in_use.clear();
        for of in self.wanted.values_mut().flat_map(BTreeMap::values_mut) {
            *of -= of.div_ceil(4);
        }
        for demand in &report.demand {
            let in_use = self.in_use.entry(demand.pool.clone()).or_default();
            *in_use = in_use.saturating_add(demand.in_use);
            let of = self.wanted.entry(demand.pool.clone()).or_default();
            let want = of.entry(demand.tenant.clone()).or_default();
            let told = demand.in_use.saturating_add(demand.waiting);
            // What is left of the word before, and a quarter of the new one: falls in steps, ends at what is
            // told.
            *want = told.max(want.saturating_add(told / 4));
        }
        for of in self.wanted.values_mut() {
            of.retain(|_, want| *want > 0);
        }
        true
    }

    /// A grant goes out.
    pub fn on_grant(&mut self, number: u64, now: Micros, permits: &[PermitGrant]) {
        let mut given = OutstandingGrant { number, given_at: now, permits: BTreeMap::new() };
        for grant in permits {
            *given.permits.entry(grant.pool.clone()).or_default() += grant.permits;
        }
        self.given.push(given);
        if self.given.len() > MAX_OUTSTANDING_GRANTS {
            let oldest = self.given.remove(0);
            for (pool, n) in oldest.permits {
                let of = self.given[0].permits.entry(pool).or_default();
                *of = n.max(*of);
            }
        }
    }

    /// Grants given before have ended with all that began under them.
    pub fn forget(&mut self, before: Micros) {
        self.given.retain(|g| g.given_at > before);
    }

    /// Counts the permits of a pool that it may have in use beyond its guaranteed minimum, now or later, with what it was
    /// given so far: as counted before, and now. What is counted only falls by itself, with time.
    pub fn count(
        &mut self,
        pool: &str,
        guaranteed: u32,
        now: Micros,
        lease: Micros,
        longest: Micros,
    ) -> (u32, u32) {
        let given = self.given.iter().filter(|g| now < g.given_at + lease + longest);
        let given = given.filter_map(|g| g.permits.get(pool)).copied().max().unwrap_or(0);
        let runs =
            if now < self.reported_at + longest { self.in_use.get(pool).copied().unwrap_or(0) } else { 0 };
        let out = given.max(runs.saturating_sub(guaranteed));
        let counted = self.counted.entry(pool.to_owned()).or_default();
        (std::mem::replace(counted, out), out)
    }

    /// Permits of a pool that were counted as outstanding when it was last counted.
    pub fn counted(&self, pool: &str) -> u32 {
        self.counted.get(pool).copied().unwrap_or(0)
    }

    /// Permits wanted in a pool, by tenant.
    pub fn wanted(&self, pool: &str) -> Option<&BTreeMap<String, u32>> {
        self.wanted.get(pool)
    }

    /// Whether it was seen to go by a grant of this leader, so that it goes by none of an earlier one.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// When its last report came.
    pub fn reported_at(&self) -> Micros {
        self.reported_at
    }

    /// The newest view that it confirmed.
    pub fn confirmed(&self) -> Version {
        self.confirmed
    }

    /// Capacity of the ready workers that it knows.
    pub fn ready_capacity(&self) -> u32 {
        self.ready_capacity
    }
}
