//! The number of front ends by which fleet-wide limits are divided: the slow start of cold workers, the load
//! budget, retry budgets and tenants' quotas. Each is divided by the front ends that serve a shard, so that the
//! sums over the fleet stay within their limits.

use crate::change::{Divisions, TransitionPhase};
use crate::division::Division;
use crate::homes::HomeShards;
use crate::limits::{rounding, rounding_offset, share, LIMIT, UNIT};
use crate::ownership::{max_ranked, FrontEnds};
use crate::{Key, Shard};
use std::collections::BTreeMap;

/// Returns the maximum number of front ends of a shard. `zones` holds the number of each zone and its maximum
/// number of front ends. The result is exact for a full list and an upper bound for a shorter one. While the
/// lists of front ends differ, a shard may have more.
pub fn max_serving(division: &Division, shard: Shard, zones: &[(u16, u32)]) -> u32 {
    if shard >= division.shards() {
        return 0;
    }
    let of = |(zone, n): &(u16, u32)| {
        let share = share(&division.table, division.weight(shard), i64::from(*n) * UNIT, LIMIT);
        let limit = share + rounding(&division.table, rounding_offset(&division.table, *zone), shard, UNIT);
        // A member is admitted while the load is below the limit. Substitutes only raise a shard to its minimum,
        // which is less than the limit.
        ((limit + UNIT - 1) / UNIT).clamp(1, i64::from(*n)) as u32
    };
    zones.iter().filter(|z| z.1 > 0).map(of).fold(0, u32::saturating_add)
}

/// Computes the divisors of a front end's limits from the configured number of front ends of each zone and the
/// divisions in force.
#[derive(Clone, Copy, Debug)]
pub struct Serving<'a> {
    divisions: &'a Divisions,
    zones: &'a [(u16, u32)],
    listed: Option<&'a FrontEnds>,
    ranked: Option<u32>,
}

impl<'a> Serving<'a> {
    /// Creates the computation from the configured maxima of the zones, without a list of front ends.
    pub fn new(divisions: &'a Divisions, zones: &'a [(u16, u32)]) -> Serving<'a> {
        Serving { divisions, zones, listed: None, ranked: None }
    }

    /// Divides tenants' quotas by the listed front ends. The quotas are used in full while all front ends have the
    /// same list.
    pub fn listed(self, listed: &'a FrontEnds) -> Serving<'a> {
        Serving { listed: Some(listed), ..self }
    }

    /// Sets the number of front ends of a fleet whose shards are owned by rank.
    pub fn ranked(self, of: u32) -> Serving<'a> {
        Serving { ranked: Some(of), ..self }
    }

    /// Returns the maximum number of front ends of any worker or function, summed over both divisions. A worker's
    /// capacity is reported to each front end in as many parts as the worker has shards.
    pub fn max_front_ends_of_any(&self) -> u32 {
        let max_of_division =
            |d: &Division| (0..d.shards()).map(|s| self.max_in_shard(d, s)).max().unwrap_or(1);
        self.divisions
            .each()
            .map(max_of_division)
            .fold(0, u32::saturating_add)
            .clamp(1, self.fleet_size().max(1))
    }

    fn fleet_size(&self) -> u32 {
        self.ranked.unwrap_or_else(|| self.zones.iter().map(|z| z.1).fold(0, u32::saturating_add))
    }

    fn max_in_shard(&self, division: &Division, shard: Shard) -> u32 {
        let ranked = self.ranked.map(|of| max_ranked(division, of));
        ranked.unwrap_or_else(|| max_serving(division, shard, self.zones))
    }

    /// Returns the maximum number of front ends that may call a worker, or receive calls of a function, in these
    /// shards of the old and of the new division, independently of member lists. During a change the numbers of
    /// both divisions are added: their maximum would be too small, as a worker may be served by different front
    /// ends in each division.
    pub fn max_front_ends(&self, shards: &[&[Shard]]) -> u32 {
        let of = |(d, shards): (&Division, &&[Shard])| {
            shards.iter().map(|s| self.max_in_shard(d, *s)).fold(0, u32::saturating_add)
        };
        self.divisions
            .each()
            .zip(shards)
            .map(of)
            .fold(0, u32::saturating_add)
            .clamp(1, self.fleet_size().max(1))
    }

    /// Returns the fraction of a tenant's quota that a front end may grant if it owns these shards of the old and
    /// of the new division. The sum over all front ends is at most 1, in each phase and also while front ends
    /// are in two adjacent phases.
    pub fn share_of(&self, parts: &[&TenantParts], own: &[&[Shard]]) -> f64 {
        let of = |((d, parts), own): ((&Division, &&TenantParts), &&[Shard])| -> f64 {
            own.iter().map(|s| parts.of(*s) / f64::from(self.divisor_in_shard(d, *s).max(1))).sum()
        };
        let mut each = self.divisions.each().zip(parts).zip(own).map(of);
        let (old, new) = (each.next().unwrap_or(0.0), each.next().unwrap_or(0.0));
        match self.divisions.phase() {
            None => old,
            Some(TransitionPhase::Announced) => old / 2.0,
            Some(TransitionPhase::Both) => (old + new) / 2.0,
            Some(TransitionPhase::Closing) => new / 2.0,
        }
    }

    fn divisor_in_shard(&self, division: &Division, shard: Shard) -> u32 {
        let listed = self.listed.and_then(|l| l.served().find(|s| s.0 == division.generation()));
        listed.map_or_else(|| self.max_in_shard(division, shard), |l| l.1.of_shard(shard).len() as u32)
    }
}

/// The fraction of a tenant's quota that each shard has; the sum is 1.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantParts(BTreeMap<Shard, f64>);

impl TenantParts {
    /// Divides the quota by the tenant's configured functions and their fractions of its traffic. A tenant whose
    /// functions are all in one shard has its whole quota there. Without configured functions the quota is
    /// divided by the weights of shards.
    pub fn new(division: &Division, homes: &HomeShards, functions: &[(Key, f64)]) -> TenantParts {
        let mut parts = BTreeMap::new();
        let sizes = functions.iter().map(|f| (f.0, if f.1.is_finite() { f.1.max(0.0) } else { 0.0 }));
        for (key, size) in sizes.filter(|f| f.1 > 0.0) {
            let shards = homes.of(key);
            for shard in &shards {
                *parts.entry(*shard).or_insert(0.0) += size / shards.len() as f64;
            }
        }
        if parts.is_empty() {
            parts = (0..division.shards()).map(|s| (s, f64::from(division.weight(s)))).collect();
        }
        let all: f64 = parts.values().sum();
        parts.values_mut().for_each(|p| *p /= all);
        TenantParts(parts)
    }

    /// Returns the fraction of the tenant's quota in a shard.
    pub fn of(&self, shard: Shard) -> f64 {
        self.0.get(&shard).copied().unwrap_or(0.0)
    }
}
