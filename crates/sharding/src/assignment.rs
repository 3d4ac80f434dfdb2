//! Workers, or front ends, in shards. Each zone is divided by itself: what a front end believes of another
//! zone, old or from the other side of a cut, changes nothing in its own.

use crate::division::{Division, Table};
use crate::limits::{Part, MIN_LOAD, UNIT};
use crate::pool::Before;
use crate::zone::Zone;
use crate::{Key, Shard};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most members kept; of a longer list those with the greatest keys are left out, the same everywhere.
pub const MAX_MEMBERS: usize = 65_536;
/// Most zones; members of further ones, by number, are left out.
pub const MAX_ZONES: usize = 64;
/// A zone of which more than one in so many members change at once is divided anew: allocation one member of a whole zone takes 2 us,
/// a change of one 62 us.
const ANEW: usize = 28;
/// Greatest weight, in thousandths.
const MAX_WEIGHT: f64 = 16_000_000.0;

/// A worker or front end as a list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub key: Key,
    pub zone: u16,
    /// In thousandths of the usual size.
    weight: i64,
}

impl Member {
    /// `capacity` is compared with that of others; what is no positive number counts as 1.
    pub fn new(name: &str, zone: u16, capacity: f64) -> Member {
        Member::keyed(Key::of(name), zone, capacity)
    }

    /// Of the usual size: front ends are counted and not weighed.
    pub(crate) fn alike(self) -> Member {
        Member { weight: UNIT, ..self }
    }

    /// A member with a given key.
    pub fn keyed(key: Key, zone: u16, capacity: f64) -> Member {
        let capacity = if capacity.is_finite() && capacity > 0.0 { capacity } else { 1.0 };
        Member { key, zone, weight: (capacity * UNIT as f64).round().clamp(1.0, MAX_WEIGHT) as i64 }
    }
}

/// A member's home before and after a change; None: it was not, or is no more, a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    pub key: Key,
    pub from: Option<Shard>,
    pub to: Option<Shard>,
}

/// A member was not taken in, as a bound is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more than {MAX_MEMBERS} members or {MAX_ZONES} zones")]
pub struct CapacityExceeded;

/// Members and their shards. Each has one home; where a zone has few at home in a shard, those that want it
/// most serve it beside their own, so that each shard has somebody in every zone that has anybody.
#[derive(Clone, Debug)]
pub struct Assignment {
    table: Arc<Table>,
    /// What of its share of a zone a shard has at least, emulated systems counted.
    min_load: Part,
    zones: BTreeMap<u16, Zone>,
    members: BTreeMap<Key, Member>,
}

impl Assignment {
    /// An assignment without members.
    pub fn new(division: &Division) -> Assignment {
        Assignment::with_min_load(division, MIN_LOAD)
    }

    pub(crate) fn with_min_load(division: &Division, floor: Part) -> Assignment {
        let table = division.table.clone();
        Assignment { table, min_load: floor, zones: BTreeMap::new(), members: BTreeMap::new() }
    }

    /// A whole list, in any order; of two members with one key the one with the smaller zone and weight
    /// counts. Gives how many were left out over the bounds.
    pub fn of(division: &Division, list: impl IntoIterator<Item = Member>) -> (Assignment, usize) {
        let mut all = Assignment::new(division);
        let left_out = all.fill(list);
        (all, left_out)
    }

    /// Nobody is a member yet: a whole list becomes all. Gives how many were left out over the bounds.
    pub(crate) fn fill(&mut self, list: impl IntoIterator<Item = Member>) -> usize {
        let mut list: Vec<Member> = list.into_iter().collect();
        list.sort_by_key(|m| (m.key, m.zone, m.weight));
        list.dedup_by_key(|m| m.key);
        let mut zones: Vec<u16> = list.iter().map(|m| m.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.truncate(MAX_ZONES);
        let told = list.len();
        list.retain(|m| zones.binary_search(&m.zone).is_ok());
        list.truncate(MAX_MEMBERS);
        for zone in zones {
            let members = list.iter().filter(|m| m.zone == zone).map(|m| (m.key, m.weight));
            self.zones.insert(zone, Zone::new(&self.table, self.min_load, zone, members));
        }
        self.members = list.into_iter().map(|m| (m.key, m)).collect();
        told - self.members.len()
    }

    /// Members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// One member comes or changes its weight or zone. Gives the homes that changed, its own among them.
    pub fn insert(&mut self, member: Member) -> Result<Vec<Move>, CapacityExceeded> {
        if self.members.get(&member.key) == Some(&member) {
            return Ok(Vec::new());
        }
        if !self.has_capacity(&member) {
            return Err(CapacityExceeded);
        }
        let before = self.put(member, &BTreeSet::new());
        Ok(self.moves(before))
    }

    /// One member goes. Gives the homes that changed, its own among them.
    pub fn remove(&mut self, key: Key) -> Vec<Move> {
        let before = self.take(key, &BTreeSet::new());
        self.moves(before)
    }

    /// Many change at once; None: it goes. The same members as one by one, and so the same homes, but zones of which a great
    /// part changes are divided anew. Gives how many were left out over the bounds.
    pub fn apply(&mut self, changes: &BTreeMap<Key, Option<Member>>) -> usize {
        if self.is_empty() {
            return self.fill(changes.values().flatten().copied());
        }
        let anew = self.rebuild_zones(changes);
        for (key, _) in changes.iter().filter(|c| c.1.is_none()) {
            self.take(*key, &anew);
        }
        if !anew.is_empty() {
            let still: BTreeSet<u16> = self.members.values().map(|m| m.zone).collect();
            self.zones.retain(|zone, _| still.contains(zone));
        }
        let mut left_out = 0;
        for member in changes.values().flatten() {
            if self.members.get(&member.key) == Some(member) {
                continue;
            }
            if self.has_capacity(member) {
                self.put(*member, &anew);
            } else {
                left_out += 1;
            }
        }
        let mut zones: BTreeMap<u16, Vec<(Key, i64)>> = anew.into_iter().map(|z| (z, Vec::new())).collect();
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

    /// Zones of which so much changes that they are divided anew.
    fn rebuild_zones(&self, changes: &BTreeMap<Key, Option<Member>>) -> BTreeSet<u16> {
        let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
        for (was, now) in changes.iter().map(|(key, now)| (self.members.get(key), now.as_ref())) {
            let zones: BTreeSet<u16> = was.into_iter().chain(now).map(|m| m.zone).collect();
            zones.into_iter().filter(|_| was != now).for_each(|z| *counts.entry(z).or_default() += 1);
        }
        let many = |(zone, n): &(u16, usize)| n * ANEW > self.zones.get(zone).map_or(0, |z| z.pool.len());
        counts.into_iter().filter(many).map(|c| c.0).collect()
    }

    fn has_capacity(&self, member: &Member) -> bool {
        let (known, zone) = (self.members.contains_key(&member.key), self.zones.contains_key(&member.zone));
        (known || self.members.len() < MAX_MEMBERS) && (zone || self.zones.len() < MAX_ZONES)
    }

    /// A member comes or changes; zones that are divided `anew` afterwards aren't kept up.
    fn put(&mut self, member: Member, anew: &BTreeSet<u16>) -> Before {
        let mut before = self.take(member.key, anew);
        let (table, floor) = (&self.table, self.min_load);
        let empty = || Zone::new(table, floor, member.zone, []);
        let zone = self.zones.entry(member.zone).or_insert_with(empty);
        if !anew.contains(&member.zone) {
            for (key, from) in zone.insert(member.key, member.weight) {
                before.entry(key).or_insert(from);
            }
        }
        self.members.insert(member.key, member);
        before
    }

    fn take(&mut self, key: Key, anew: &BTreeSet<u16>) -> Before {
        let Some(member) = self.members.remove(&key) else { return Before::new() };
        let zone = self.zones.get_mut(&member.zone).filter(|_| !anew.contains(&member.zone));
        let Some(zone) = zone else { return Before::new() };
        let before = zone.remove(key);
        if zone.pool.len() == 0 {
            self.zones.remove(&member.zone);
        }
        before
    }

    fn moves(&self, before: Before) -> Vec<Move> {
        let moved = before.into_iter().map(|(key, from)| Move { key, from, to: self.home(key) });
        moved.filter(|m| m.from != m.to).collect()
    }

    /// The shard that a member belongs to.
    pub fn home(&self, key: Key) -> Option<Shard> {
        let member = self.members.get(&key)?;
        self.zones.get(&member.zone)?.pool.shard(key)
    }

    /// All shards of a member, its home first.
    pub fn shards(&self, key: Key) -> Vec<Shard> {
        let Some(home) = self.home(key) else { return Vec::new() };
        let zone = self.members.get(&key).and_then(|m| self.zones.get(&m.zone));
        [home].into_iter().chain(zone.into_iter().flat_map(|z| z.beside(key))).collect()
    }

    /// All members of a shard, those at home and the emulated systems, in the order of zones and ranks.
    pub fn of_shard(&self, shard: Shard) -> Vec<Key> {
        self.zones.values().flat_map(|z| z.members(shard)).collect()
    }

    /// How many members a shard has in each zone.
    pub fn zones_of(&self, shard: Shard) -> BTreeMap<u16, usize> {
        self.zones.iter().map(|(zone, z)| (*zone, z.members(shard).count())).filter(|z| z.1 > 0).collect()
    }

    /// What the members at home in a shard weigh, 1 being the usual size.
    pub fn load(&self, shard: Shard) -> f64 {
        self.zones.values().map(|z| z.pool.load(shard)).sum::<i64>() as f64 / UNIT as f64
    }
}
