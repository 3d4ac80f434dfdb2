//! What the dealer knows of one run of a front end.

use super::Guards;
use crate::{Micros, Report, Version};
use std::collections::BTreeMap;

/// Grants whose end is not yet known; beyond them the two oldest are counted as one.
const GIVEN_MOST: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Given {
    number: u64,
    at: Micros,
    /// All tenants' together, by pool.
    lanes: BTreeMap<String, u32>,
}

/// An account of a member, from its newest report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Account {
    number: u64,
    heard: Micros,
    confirmed: Version,
    known: bool,
    ready_lanes: u32,
    in_use: BTreeMap<String, u32>,
    /// Lanes wanted by pool and tenant: the newest word where it is more, else a quarter of the way down to
    /// it, so that a short dip moves no lanes.
    wants: BTreeMap<String, BTreeMap<String, u32>>,
    given: Vec<Given>,
    counted: BTreeMap<String, u32>,
}

impl Account {
    /// A report came; false where a later one was here first.
    pub fn take(&mut self, report: &Report, now: Micros, guards: Guards) -> bool {
        if report.number <= self.number {
            return false;
        }
        (self.number, self.heard, self.ready_lanes) = (report.number, now, report.ready_lanes);
        self.confirmed = self.confirmed.max(report.confirmed);
        let applied = report.demand.iter().map(|d| d.applied).min().unwrap_or(0);
        self.known |= self.given.iter().any(|g| g.number == applied);
        self.given.retain(|g| guards.applied && g.number >= applied);
        self.in_use.clear();
        for of in self.wants.values_mut().flat_map(BTreeMap::values_mut) {
            *of -= of.div_ceil(4);
        }
        for demand in &report.demand {
            let in_use = self.in_use.entry(demand.pool.clone()).or_default();
            *in_use = in_use.saturating_add(demand.in_use);
            let of = self.wants.entry(demand.pool.clone()).or_default();
            let want = of.entry(demand.tenant.clone()).or_default();
            let told = demand.in_use.saturating_add(demand.waiting);
            // What is left of the word before, and a quarter of the new one: falls in steps, ends at what is
            // told.
            *want = told.max(want.saturating_add(told / 4));
        }
        for of in self.wants.values_mut() {
            of.retain(|_, want| *want > 0);
        }
        true
    }

    /// A grant goes out.
    pub fn give(&mut self, number: u64, now: Micros, lanes: &[(String, String, u32)]) {
        let mut given = Given { number, at: now, lanes: BTreeMap::new() };
        for (pool, _, n) in lanes {
            *given.lanes.entry(pool.clone()).or_default() += n;
        }
        self.given.push(given);
        if self.given.len() > GIVEN_MOST {
            let oldest = self.given.remove(0);
            for (pool, n) in oldest.lanes {
                let of = self.given[0].lanes.entry(pool).or_default();
                *of = n.max(*of);
            }
        }
    }

    /// Grants given before have ended with all that began under them.
    pub fn forget(&mut self, before: Micros) {
        self.given.retain(|g| g.at > before);
    }

    /// Counts the lanes of a pool that it may have in use beyond its floor, now or later, with what it was
    /// given so far: as counted before, and now. What is counted only falls by itself, with time.
    pub fn count(
        &mut self,
        pool: &str,
        floor: u32,
        now: Micros,
        lease: Micros,
        longest: Micros,
    ) -> (u32, u32) {
        let given = self.given.iter().filter(|g| now < g.at + lease + longest);
        let given = given.filter_map(|g| g.lanes.get(pool)).copied().max().unwrap_or(0);
        let runs = if now < self.heard + longest { self.in_use.get(pool).copied().unwrap_or(0) } else { 0 };
        let out = given.max(runs.saturating_sub(floor));
        let counted = self.counted.entry(pool.to_owned()).or_default();
        (std::mem::replace(counted, out), out)
    }

    pub fn counted(&self, pool: &str) -> u32 {
        self.counted.get(pool).copied().unwrap_or(0)
    }

    pub fn wants(&self, pool: &str) -> Option<&BTreeMap<String, u32>> {
        self.wants.get(pool)
    }

    /// Whether it was seen to go by a grant of this leader, so that it goes by none of an earlier one.
    pub fn is_known(&self) -> bool {
        self.known
    }

    pub fn heard(&self) -> Micros {
        self.heard
    }

    pub fn confirmed(&self) -> Version {
        self.confirmed
    }

    pub fn ready_lanes(&self) -> u32 {
        self.ready_lanes
    }
}
