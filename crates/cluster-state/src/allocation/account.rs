//! The allocator's account of the permits of one run of a front end.

use super::Guards;
use crate::{Micros, PermitGrant, Report, Version};
use std::collections::BTreeMap;

/// Maximum number of outstanding grants of one member; beyond it the two oldest are merged into one.
const MAX_OUTSTANDING_GRANTS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingGrant {
    number: u64,
    given_at: Micros,
    /// Permits of all tenants together, by pool.
    permits: BTreeMap<String, u32>,
}

/// The account of a member: its newest report and its outstanding grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Account {
    number: u64,
    reported_at: Micros,
    confirmed: Version,
    known: bool,
    ready_capacity: u32,
    in_use: BTreeMap<String, u32>,
    /// Permits wanted by pool and tenant. Rises to the reported demand at once and falls a quarter of the way towards it
    /// per report, so that a short dip in demand moves no permits.
    wanted: BTreeMap<String, BTreeMap<String, u32>>,
    outstanding: Vec<OutstandingGrant>,
    counted: BTreeMap<String, u32>,
}

impl Account {
    /// Applies a report. Returns false, and changes nothing, if a later or the same report was already applied.
    pub fn on_report(&mut self, report: &Report, now: Micros, guards: Guards) -> bool {
        if report.number <= self.number {
            return false;
        }
        (self.number, self.reported_at, self.ready_capacity) = (report.number, now, report.ready_capacity);
        self.confirmed = self.confirmed.max(report.confirmed);
        let applied = report.demand.iter().map(|d| d.applied).min().unwrap_or(0);
        self.known |= self.outstanding.iter().any(|g| g.number == applied);
        self.outstanding.retain(|g| guards.applied && g.number >= applied);
        self.in_use.clear();
        for want in self.wanted.values_mut().flat_map(BTreeMap::values_mut) {
            *want -= want.div_ceil(4);
        }
        for demand in &report.demand {
            let in_use = self.in_use.entry(demand.pool.clone()).or_default();
            *in_use = in_use.saturating_add(demand.in_use);
            let by_tenant = self.wanted.entry(demand.pool.clone()).or_default();
            let want = by_tenant.entry(demand.tenant.clone()).or_default();
            let reported = demand.in_use.saturating_add(demand.waiting);
            // Three quarters of the previous value plus a quarter of the reported demand: falls in steps towards the
            // reported demand.
            *want = reported.max(want.saturating_add(reported / 4));
        }
        for by_tenant in self.wanted.values_mut() {
            by_tenant.retain(|_, want| *want > 0);
        }
        true
    }

    /// Records a grant that is about to be sent.
    pub fn on_grant(&mut self, number: u64, now: Micros, permits: &[PermitGrant]) {
        let mut outstanding_grant = OutstandingGrant { number, given_at: now, permits: BTreeMap::new() };
        for grant in permits {
            *outstanding_grant.permits.entry(grant.pool.clone()).or_default() += grant.permits;
        }
        self.outstanding.push(outstanding_grant);
        if self.outstanding.len() > MAX_OUTSTANDING_GRANTS {
            let oldest = self.outstanding.remove(0);
            for (pool, n) in oldest.permits {
                let merged = self.outstanding[0].permits.entry(pool).or_default();
                *merged = n.max(*merged);
            }
        }
    }

    /// Drops grants given at or before a time: they have expired, and all runs started under them have ended.
    pub fn drop_expired_grants(&mut self, before: Micros) {
        self.outstanding.retain(|g| g.given_at > before);
    }

    /// Counts the permits of a pool beyond the guaranteed minimum that the member may have in use, now or later,
    /// under the grants given so far. Returns the previous count and the new one. While there are no new reports or
    /// grants, the count can only fall over time.
    pub fn count(
        &mut self,
        pool: &str,
        guaranteed: u32,
        now: Micros,
        lease: Micros,
        longest: Micros,
    ) -> (u32, u32) {
        let granted = self.outstanding.iter().filter(|g| now < g.given_at + lease + longest);
        let granted = granted.filter_map(|g| g.permits.get(pool)).copied().max().unwrap_or(0);
        let runs =
            if now < self.reported_at + longest { self.in_use.get(pool).copied().unwrap_or(0) } else { 0 };
        let count = granted.max(runs.saturating_sub(guaranteed));
        let counted = self.counted.entry(pool.to_owned()).or_default();
        (std::mem::replace(counted, count), count)
    }

    /// Returns the outstanding permits of a pool from the last call of [`Account::count`].
    pub fn counted(&self, pool: &str) -> u32 {
        self.counted.get(pool).copied().unwrap_or(0)
    }

    /// Returns the permits wanted in a pool, by tenant.
    pub fn wanted(&self, pool: &str) -> Option<&BTreeMap<String, u32>> {
        self.wanted.get(pool)
    }

    /// Returns whether the member has applied a grant of this leader, and so no longer uses one of an earlier leader.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns when the last report arrived.
    pub fn reported_at(&self) -> Micros {
        self.reported_at
    }

    /// Returns the newest view version that the member confirmed.
    pub fn confirmed(&self) -> Version {
        self.confirmed
    }

    /// Returns the capacity of the ready workers that the member knows.
    pub fn ready_capacity(&self) -> u32 {
        self.ready_capacity
    }
}
