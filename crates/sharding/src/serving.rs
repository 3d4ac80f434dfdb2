//! What is divided by the number of front ends: the ramp of cold workers, the ration of loads, retry budgets,
//! tenants' quotas. Divided are they by those that serve a shard, so that the sums over the fleet keep their
//! bounds.

use crate::change::{Divisions, TransitionPhase};
use crate::division::Division;
use crate::homes::HomeShards;
use crate::limits::{rounding, share, turn, LIMIT, UNIT};
use crate::ownership::{max_ranked, FrontEnds};
use crate::{Key, Shard};
use std::collections::BTreeMap;

/// Most front ends that a shard of a division can have while the zones, by number, have at most so many each:
/// exact for a list that is full, and never less for a shorter one. Front ends whose lists differ may be more
/// for as long as they do.
pub fn max_serving(division: &Division, shard: Shard, zones: &[(u16, u32)]) -> u32 {
    if shard >= division.shards() {
        return 0;
    }
    let of = |(zone, n): &(u16, u32)| {
        let share = share(&division.table, division.weight(shard), i64::from(*n) * UNIT, LIMIT);
        let limit = share + rounding(&division.table, turn(&division.table, *zone), shard, UNIT);
        // Whoever comes while less than the limit is there is taken in; where there are few, fewer stand in.
        ((limit + UNIT - 1) / UNIT).clamp(1, i64::from(*n)) as u32
    };
    zones.iter().filter(|z| z.1 > 0).map(of).fold(0, u32::saturating_add)
}

/// By how many a front end divides, from the told number of front ends of each zone and the divisions in
/// force.
#[derive(Clone, Copy, Debug)]
pub struct Serving<'a> {
    divisions: &'a Divisions,
    zones: &'a [(u16, u32)],
    listed: Option<&'a FrontEnds>,
    ranked: Option<u32>,
}

impl<'a> Serving<'a> {
    /// Counts for a fleet whose shards are owned by number.
    pub fn new(divisions: &'a Divisions, zones: &'a [(u16, u32)]) -> Serving<'a> {
        Serving { divisions, zones, listed: None, ranked: None }
    }

    /// Tenants' quotas are divided by those that the list tells, in full as long as all have the same list.
    pub fn listed(self, listed: &'a FrontEnds) -> Serving<'a> {
        Serving { listed: Some(listed), ..self }
    }

    /// So many front ends own by their numbers alone.
    pub fn ranked(self, of: u32) -> Serving<'a> {
        Serving { ranked: Some(of), ..self }
    }

    /// Most front ends that any worker or function has, over both divisions, where the worker's capacity is reported to each in
    /// as many parts as it has shards.
    pub fn worst(&self) -> u32 {
        let worst = |d: &Division| (0..d.shards()).map(|s| self.most_of(d, s)).max().unwrap_or(1);
        self.divisions.each().map(worst).fold(0, u32::saturating_add).clamp(1, self.all().max(1))
    }

    fn all(&self) -> u32 {
        self.ranked.unwrap_or_else(|| self.zones.iter().map(|z| z.1).fold(0, u32::saturating_add))
    }

    fn most_of(&self, division: &Division, shard: Shard) -> u32 {
        let ranked = self.ranked.map(|of| max_ranked(division, of));
        ranked.unwrap_or_else(|| max_serving(division, shard, self.zones))
    }

    /// Most front ends that may call a worker, or have calls of a function, in these shards of the old and of
    /// the new division, whatever lists tell. During a change those of both are added up: the greater of both
    /// would be too few, as those that serve a worker in the one needn't be those that serve it in the other.
    pub fn most(&self, shards: &[&[Shard]]) -> u32 {
        let of = |(d, shards): (&Division, &&[Shard])| {
            shards.iter().map(|s| self.most_of(d, *s)).fold(0, u32::saturating_add)
        };
        self.divisions.each().zip(shards).map(of).fold(0, u32::saturating_add).clamp(1, self.all().max(1))
    }

    /// The part of a tenant's quota that a front end with these shards, in the old and in the new division,
    /// may give: over all front ends together not more than 1, in each stage and between one stage and the
    /// next.
    pub fn share_of(&self, parts: &[&TenantParts], own: &[&[Shard]]) -> f64 {
        let of = |((d, parts), own): ((&Division, &&TenantParts), &&[Shard])| -> f64 {
            own.iter().map(|s| parts.of(*s) / f64::from(self.among(d, *s).max(1))).sum()
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

    fn among(&self, division: &Division, shard: Shard) -> u32 {
        let listed = self.listed.and_then(|l| l.served().find(|s| s.0 == division.generation()));
        listed.map_or_else(|| self.most_of(division, shard), |l| l.1.of_shard(shard).len() as u32)
    }
}

/// The part of a tenant's quota that each shard has, 1 in all.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantParts(BTreeMap<Shard, f64>);

impl TenantParts {
    /// By the tenant's told functions and what each is of its traffic; a tenant whose functions are all in
    /// one shard has its whole share there. Without told functions by the weights of shards.
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

    /// The tenant's part in a shard.
    pub fn of(&self, shard: Shard) -> f64 {
        self.0.get(&shard).copied().unwrap_or(0.0)
    }
}
