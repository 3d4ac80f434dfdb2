//! Workers, or front ends, in shards. Each zone is divided by itself: what a front end believes of another
//! zone, old or from the other side of a cut, changes nothing in its own.

use crate::division::{Division, Table};
use crate::limits::UNIT;
use crate::pool::Before;
use crate::zone::Zone;
use crate::{Key, Shard};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most members kept; of a longer list those with the greatest keys are left out, the same everywhere.
pub const MEMBERS_MOST: usize = 65_536;
/// Most zones; members of further ones, by number, are left out.
pub const ZONES_MOST: usize = 64;
/// Greatest weight, in thousandths.
const WEIGHT_MOST: f64 = 16_000_000.0;

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

    pub fn keyed(key: Key, zone: u16, capacity: f64) -> Member {
        let capacity = if capacity.is_finite() && capacity > 0.0 { capacity } else { 1.0 };
        Member { key, zone, weight: (capacity * UNIT as f64).round().clamp(1.0, WEIGHT_MOST) as i64 }
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
#[error("more than {MEMBERS_MOST} members or {ZONES_MOST} zones")]
pub struct Over;

/// Members and their shards. Each has one home; where a zone has few at home in a shard, those that want it
/// most serve it beside their own, so that each shard has somebody in every zone that has anybody.
#[derive(Clone, Debug)]
pub struct Assignment {
    table: Arc<Table>,
    zones: BTreeMap<u16, Zone>,
    members: BTreeMap<Key, Member>,
}

impl Assignment {
    pub fn new(division: &Division) -> Assignment {
        Assignment { table: division.table.clone(), zones: BTreeMap::new(), members: BTreeMap::new() }
    }

    /// A whole list, in any order; of two members with one key the one with the smaller zone and weight
    /// counts. Gives how many were left out over the bounds.
    pub fn of(division: &Division, list: impl IntoIterator<Item = Member>) -> (Assignment, usize) {
        let mut all = Assignment::new(division);
        let mut list: Vec<Member> = list.into_iter().collect();
        list.sort_by_key(|m| (m.key, m.zone, m.weight));
        list.dedup_by_key(|m| m.key);
        let mut zones: Vec<u16> = list.iter().map(|m| m.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.truncate(ZONES_MOST);
        let told = list.len();
        list.retain(|m| zones.binary_search(&m.zone).is_ok());
        list.truncate(MEMBERS_MOST);
        for zone in zones {
            let members = list.iter().filter(|m| m.zone == zone).map(|m| (m.key, m.weight));
            all.zones.insert(zone, Zone::new(&all.table, zone, members));
        }
        all.members = list.into_iter().map(|m| (m.key, m)).collect();
        let left_out = told - all.members.len();
        (all, left_out)
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// One member comes or changes its weight or zone. Gives the homes that changed, its own among them.
    pub fn insert(&mut self, member: Member) -> Result<Vec<Move>, Over> {
        if self.members.get(&member.key) == Some(&member) {
            return Ok(Vec::new());
        }
        let known = self.members.contains_key(&member.key);
        let zone_known = self.zones.contains_key(&member.zone);
        if (!known && self.members.len() >= MEMBERS_MOST) || (!zone_known && self.zones.len() >= ZONES_MOST) {
            return Err(Over);
        }
        let mut before = self.take(member.key);
        let table = &self.table;
        let zone = self.zones.entry(member.zone).or_insert_with(|| Zone::new(table, member.zone, []));
        let after = zone.insert(member.key, member.weight);
        for (key, from) in after {
            before.entry(key).or_insert(from);
        }
        self.members.insert(member.key, member);
        Ok(self.moves(before))
    }

    /// One member goes. Gives the homes that changed, its own among them.
    pub fn remove(&mut self, key: Key) -> Vec<Move> {
        let before = self.take(key);
        self.moves(before)
    }

    fn take(&mut self, key: Key) -> Before {
        let Some(member) = self.members.remove(&key) else { return Before::new() };
        let Some(zone) = self.zones.get_mut(&member.zone) else { return Before::new() };
        let before = zone.remove(key);
        if zone.pool.is_empty() {
            self.zones.remove(&member.zone);
        }
        before
    }

    fn moves(&self, before: Before) -> Vec<Move> {
        let moved = before.into_iter().map(|(key, from)| Move { key, from, to: self.home(key) });
        moved.filter(|m| m.from != m.to).collect()
    }

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

    /// All members of a shard, those at home and the stand-ins, in the order of zones and ranks.
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
