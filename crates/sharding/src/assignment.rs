//! Assigns workers or front ends to shards. Each zone is divided independently: outdated information about
//! another zone, for instance during a network partition, changes nothing in a front end's own zone.

use crate::division::{Division, Table};
use crate::limits::{Fraction, MIN_LOAD, UNIT};
use crate::pool::PreviousHomes;
use crate::zone::Zone;
use crate::{Key, Shard};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of members. If a list is longer, the members with the greatest keys are left out, the same
/// ones in every process.
pub const MAX_MEMBERS: usize = 65_536;
/// Maximum number of zones. If there are more, the members of the zones with the highest numbers are left out.
pub const MAX_ZONES: usize = 64;
/// A zone is rebuilt if more than one in this many of its members change at once: placing one member takes 2 us
/// in a rebuild and 62 us as a single change.
const REBUILD_RATIO: usize = 28;
/// Maximum weight, in thousandths.
const MAX_WEIGHT: f64 = 16_000_000.0;

/// A worker or front end of a member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub key: Key,
    pub zone: u16,
    /// In thousandths of the usual size.
    weight: i64,
}

impl Member {
    /// Creates a member whose weight is its `capacity` relative to other members; 1 if `capacity` isn't a finite
    /// positive number.
    pub fn new(name: &str, zone: u16, capacity: f64) -> Member {
        Member::keyed(Key::of(name), zone, capacity)
    }

    /// Returns the member with the usual weight: front ends are counted and not weighed.
    pub(crate) fn with_unit_weight(self) -> Member {
        Member { weight: UNIT, ..self }
    }

    /// Creates a member from a key in place of a name.
    pub fn keyed(key: Key, zone: u16, capacity: f64) -> Member {
        let capacity = if capacity.is_finite() && capacity > 0.0 { capacity } else { 1.0 };
        Member { key, zone, weight: (capacity * UNIT as f64).round().clamp(1.0, MAX_WEIGHT) as i64 }
    }
}

/// A member's home before and after a change; `None` if it was not a member before or is none afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    pub key: Key,
    pub from: Option<Shard>,
    pub to: Option<Shard>,
}

/// A member was not added because the maximum number of members or zones is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the assignment would have more than {MAX_MEMBERS} members or {MAX_ZONES} zones")]
pub struct CapacityExceeded;

/// Members and their shards. Each member has one home. If too few members of a zone have their home in a
/// shard, the members with the highest scores for the shard serve it as substitutes, in addition to their
/// own. So each shard has a member in every zone that has members.
#[derive(Clone, Debug)]
pub struct Assignment {
    table: Arc<Table>,
    /// Minimum weight of a shard, including substitutes, as a fraction of its share of a zone.
    min_load: Fraction,
    zones: BTreeMap<u16, Zone>,
    members: BTreeMap<Key, Member>,
}

impl Assignment {
    /// Creates an assignment without members.
    pub fn new(division: &Division) -> Assignment {
        Assignment::with_min_load(division, MIN_LOAD)
    }

    pub(crate) fn with_min_load(division: &Division, floor: Fraction) -> Assignment {
        let table = division.table.clone();
        Assignment { table, min_load: floor, zones: BTreeMap::new(), members: BTreeMap::new() }
    }

    /// Assigns a full list, in any order. If two members have the same key, the one with the smaller zone is
    /// used; if the zones are equal too, the one with the smaller weight. Returns also the number of members
    /// left out because of the maxima.
    pub fn of(division: &Division, list: impl IntoIterator<Item = Member>) -> (Assignment, usize) {
        let mut all = Assignment::new(division);
        let left_out = all.fill(list);
        (all, left_out)
    }

    /// Assigns a full list while there are no members yet. Returns the number of members left out because of
    /// the maxima.
    pub(crate) fn fill(&mut self, list: impl IntoIterator<Item = Member>) -> usize {
        let mut list: Vec<Member> = list.into_iter().collect();
        list.sort_by_key(|m| (m.key, m.zone, m.weight));
        list.dedup_by_key(|m| m.key);
        let mut zones: Vec<u16> = list.iter().map(|m| m.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.truncate(MAX_ZONES);
        let listed = list.len();
        list.retain(|m| zones.binary_search(&m.zone).is_ok());
        list.truncate(MAX_MEMBERS);
        for zone in zones {
            let members = list.iter().filter(|m| m.zone == zone).map(|m| (m.key, m.weight));
            self.zones.insert(zone, Zone::new(&self.table, self.min_load, zone, members));
        }
        self.members = list.into_iter().map(|m| (m.key, m)).collect();
        listed - self.members.len()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Adds a member or changes its weight or zone. Returns all homes that changed, including its own.
    pub fn insert(&mut self, member: Member) -> Result<Vec<Move>, CapacityExceeded> {
        if self.members.get(&member.key) == Some(&member) {
            return Ok(Vec::new());
        }
        if !self.has_capacity(&member) {
            return Err(CapacityExceeded);
        }
        let before = self.upsert(member, &BTreeSet::new());
        Ok(self.moves(before))
    }

    /// Removes a member. Returns all homes that changed, including its own.
    pub fn remove(&mut self, key: Key) -> Vec<Move> {
        let before = self.take(key, &BTreeSet::new());
        self.moves(before)
    }

    /// Applies many changes at once; `None` removes a member. The resulting members and homes are the same as
    /// with single changes, but zones of which many members change are rebuilt. Returns the number of members
    /// left out because of the maxima.
    pub fn apply(&mut self, changes: &BTreeMap<Key, Option<Member>>) -> usize {
        if self.is_empty() {
            return self.fill(changes.values().flatten().copied());
        }
        let rebuilt_zones = self.zones_to_rebuild(changes);
        for (key, _) in changes.iter().filter(|c| c.1.is_none()) {
            self.take(*key, &rebuilt_zones);
        }
        if !rebuilt_zones.is_empty() {
            let remaining_zones: BTreeSet<u16> = self.members.values().map(|m| m.zone).collect();
            self.zones.retain(|zone, _| remaining_zones.contains(zone));
        }
        let mut left_out = 0;
        for member in changes.values().flatten() {
            if self.members.get(&member.key) == Some(member) {
                continue;
            }
            if self.has_capacity(member) {
                self.upsert(*member, &rebuilt_zones);
            } else {
                left_out += 1;
            }
        }
        let mut zones: BTreeMap<u16, Vec<(Key, i64)>> =
            rebuilt_zones.into_iter().map(|z| (z, Vec::new())).collect();
        for member in self.members.values() {
            if let Some(zone) = zones.get_mut(&member.zone) {
                zone.push((member.key, member.weight));
            }
        }
        for (zone, members) in zones {
            match members.is_empty() {
                true => self.zones.remove(&zone),
                false => self.zones.insert(zone, Zone::new(&self.table, self.min_load, zone, members)),
            };
        }
        left_out
    }

    /// Returns the zones of which so many members change that they are rebuilt.
    fn zones_to_rebuild(&self, changes: &BTreeMap<Key, Option<Member>>) -> BTreeSet<u16> {
        let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
        for (was, now) in changes.iter().map(|(key, now)| (self.members.get(key), now.as_ref())) {
            let zones: BTreeSet<u16> = was.into_iter().chain(now).map(|m| m.zone).collect();
            zones.into_iter().filter(|_| was != now).for_each(|z| *counts.entry(z).or_default() += 1);
        }
        let exceeds_ratio =
            |(zone, n): &(u16, usize)| n * REBUILD_RATIO > self.zones.get(zone).map_or(0, |z| z.pool.len());
        counts.into_iter().filter(exceeds_ratio).map(|c| c.0).collect()
    }

    fn has_capacity(&self, member: &Member) -> bool {
        let (known, zone) = (self.members.contains_key(&member.key), self.zones.contains_key(&member.zone));
        (known || self.members.len() < MAX_MEMBERS) && (zone || self.zones.len() < MAX_ZONES)
    }

    /// Adds or changes a member. Zones in `rebuilt_zones` aren't updated, as the caller rebuilds them afterwards.
    fn upsert(&mut self, member: Member, rebuilt_zones: &BTreeSet<u16>) -> PreviousHomes {
        let mut before = self.take(member.key, rebuilt_zones);
        let (table, floor) = (&self.table, self.min_load);
        let empty = || Zone::new(table, floor, member.zone, []);
        let zone = self.zones.entry(member.zone).or_insert_with(empty);
        if !rebuilt_zones.contains(&member.zone) {
            for (key, from) in zone.insert(member.key, member.weight) {
                before.entry(key).or_insert(from);
            }
        }
        self.members.insert(member.key, member);
        before
    }

    fn take(&mut self, key: Key, rebuilt_zones: &BTreeSet<u16>) -> PreviousHomes {
        let Some(member) = self.members.remove(&key) else { return PreviousHomes::new() };
        let zone = self.zones.get_mut(&member.zone).filter(|_| !rebuilt_zones.contains(&member.zone));
        let Some(zone) = zone else { return PreviousHomes::new() };
        let before = zone.remove(key);
        if zone.pool.len() == 0 {
            self.zones.remove(&member.zone);
        }
        before
    }

    fn moves(&self, before: PreviousHomes) -> Vec<Move> {
        let moved = before.into_iter().map(|(key, from)| Move { key, from, to: self.home(key) });
        moved.filter(|m| m.from != m.to).collect()
    }

    /// Returns the home shard of a member.
    pub fn home(&self, key: Key) -> Option<Shard> {
        let member = self.members.get(&key)?;
        self.zones.get(&member.zone)?.pool.shard(key)
    }

    /// Returns all shards of a member: its home first, then those that it serves as a substitute.
    pub fn shards(&self, key: Key) -> Vec<Shard> {
        let Some(home) = self.home(key) else { return Vec::new() };
        let zone = self.members.get(&key).and_then(|m| self.zones.get(&m.zone));
        [home].into_iter().chain(zone.into_iter().flat_map(|z| z.substitute_shards(key))).collect()
    }

    /// Returns all members of a shard by zone: in each zone its own members by rank, then the substitutes.
    pub fn of_shard(&self, shard: Shard) -> Vec<Key> {
        self.zones.values().flat_map(|z| z.members(shard)).collect()
    }

    /// Returns the number of members that a shard has in each zone.
    pub fn zones_of(&self, shard: Shard) -> BTreeMap<u16, usize> {
        self.zones.iter().map(|(zone, z)| (*zone, z.members(shard).count())).filter(|z| z.1 > 0).collect()
    }

    /// Returns the weight of the members whose home is this shard; 1 is the usual size of a member.
    pub fn load(&self, shard: Shard) -> f64 {
        self.zones.values().map(|z| z.pool.load(shard)).sum::<i64>() as f64 / UNIT as f64
    }
}
