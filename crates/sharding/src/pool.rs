//! The members of one zone in shards: rendezvous hashing with bounded load, kept up by changes.
//!
//! Defined by a process in turn: in the order of their ranks each member takes the first shard of its own
//! order of scores that holds less than its limit. So the answer depends on the members alone. Kept up by
//! changes it is the one assignment in which each member is in the first shard of its order whose members of
//! smaller rank hold less than the limit (with one common order of ranks the stable matching of Gale and
//! Shapley is unique): who is pushed out asks on, and a free place goes to who waits for it with the smallest
//! rank.

use crate::division::{Table, MAX_SHARD_WEIGHT};
use crate::limits::{rounding, share, turn, Part, LIMIT};
use crate::{Key, Shard};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(crate) struct Pool {
    table: Arc<Table>,
    turn: i64,
    guaranteed: Part,
    items: BTreeMap<Key, Item>,
    slots: Vec<Slot>,
    /// What all members weigh, and what one does on average.
    total: i64,
    mean: i64,
}

#[derive(Clone, Copy, Debug)]
struct Item {
    weight: i64,
    shard: Shard,
    score: u64,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    /// Rank, key and weight, by rank.
    members: Vec<(u64, Key, i64)>,
    /// Who would rather be here than where it is, by rank.
    waiting: Vec<(u64, Key)>,
    load: i64,
    /// Who comes while less than this is there is taken in.
    limit: i64,
    /// Where less than this is at home others stand in.
    min_load: i64,
    rounding: i64,
}

impl Slot {
    /// Whether there is room for a member of this rank.
    fn admits(&self, rank: u64) -> bool {
        if self.load < self.limit {
            return true;
        }
        let before = self.members.iter().take_while(|m| m.0 < rank).map(|m| m.2);
        before.sum::<i64>() < self.limit
    }

    fn add(&mut self, key: Key, weight: i64) {
        let at = self.members.partition_point(|m| m.0 < key.rank());
        self.members.insert(at, (key.rank(), key, weight));
        self.load += weight;
    }

    fn take(&mut self, key: Key) {
        if let Ok(at) = self.members.binary_search_by_key(&key.rank(), |m| m.0) {
            self.load -= self.members.remove(at).2;
        }
    }

    fn wait(&mut self, key: Key) {
        if let Err(at) = self.waiting.binary_search_by_key(&key.rank(), |w| w.0) {
            self.waiting.insert(at, (key.rank(), key));
        }
    }

    fn leave(&mut self, key: Key) {
        if let Ok(at) = self.waiting.binary_search_by_key(&key.rank(), |w| w.0) {
            self.waiting.remove(at);
        }
    }
}

/// Where members were before a change; None: not there.
pub(crate) type Before = BTreeMap<Key, Option<Shard>>;

impl Pool {
    /// An empty pool.
    pub fn new(
        table: Arc<Table>,
        floor: Part,
        zone: u16,
        members: impl IntoIterator<Item = (Key, i64)>,
    ) -> Pool {
        let slots = vec![Slot::default(); table.shards() as usize];
        let turn = turn(&table, zone);
        let mut pool =
            Pool { table, turn, guaranteed: floor, items: BTreeMap::new(), slots, total: 0, mean: 0 };
        for (key, weight) in members {
            pool.items.insert(key, Item { weight, shard: 0, score: 0 });
        }
        pool.total = pool.items.values().map(|i| i.weight).sum();
        pool.limit();
        let mut keys: Vec<Key> = pool.items.keys().copied().collect();
        keys.sort_by_key(|k| k.rank());
        for key in keys {
            pool.ask(key, None);
        }
        pool
    }

    /// Items in the pool.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Key, home and weight of each member.
    pub fn items(&self) -> impl Iterator<Item = (Key, Shard, i64)> + '_ {
        self.items.iter().map(|(key, i)| (*key, i.shard, i.weight))
    }

    /// The division's table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// What a shard lacks to its guaranteed minimum; any shard of a zone with members must have something.
    pub fn lacks(&self, shard: Shard) -> i64 {
        self.slots.get(shard as usize).map_or(0, |s| s.min_load.max(1) - s.load)
    }

    /// The shard that an item is assigned to.
    pub fn shard(&self, key: Key) -> Option<Shard> {
        self.items.get(&key).map(|i| i.shard)
    }

    /// Items of a shard.
    pub fn members(&self, shard: Shard) -> impl ExactSizeIterator<Item = Key> + '_ {
        let members = self.slots.get(shard as usize).map_or(&[][..], |s| &s.members[..]);
        members.iter().map(|m| m.1)
    }

    /// Weight of a shard's items.
    pub fn load(&self, shard: Shard) -> i64 {
        self.slots.get(shard as usize).map_or(0, |s| s.load)
    }

    /// A member comes. It must not be there.
    pub fn insert(&mut self, key: Key, weight: i64) -> Before {
        let mut before = Before::from([(key, None)]);
        self.total += weight;
        self.items.insert(key, Item { weight, shard: 0, score: 0 });
        let mut open = self.limit();
        self.ask(key, None);
        self.settle(&mut open, &mut before);
        before
    }

    /// A member goes.
    pub fn remove(&mut self, key: Key) -> Before {
        let Some(item) = self.items.remove(&key) else { return Before::new() };
        let mut before = Before::from([(key, Some(item.shard))]);
        self.total -= item.weight;
        self.no_longer_waits(key, item.score, None);
        self.slots[item.shard as usize].take(key);
        let mut open = self.limit();
        open.push(item.shard);
        self.settle(&mut open, &mut before);
        before
    }

    /// Sets limits and guaranteed minimums; gives the shards where a limit rose.
    fn limit(&mut self) -> Vec<Shard> {
        let (total, mean) = (self.total, self.total / (self.items.len().max(1) as i64));
        if mean != self.mean {
            self.mean = mean;
            for (shard, slot) in self.slots.iter_mut().enumerate() {
                slot.rounding = rounding(&self.table, self.turn, shard as Shard, mean);
            }
        }
        let mut shares = [None; MAX_SHARD_WEIGHT as usize + 1];
        let mut risen = Vec::new();
        for (shard, (slot, weight)) in self.slots.iter_mut().zip(&self.table.weights).enumerate() {
            let of = |part| share(&self.table, *weight, total, part);
            let (limit, floor) =
                *shares[*weight as usize].get_or_insert_with(|| (of(LIMIT), of(self.guaranteed)));
            let limit = limit + slot.rounding;
            if limit > slot.limit && !slot.waiting.is_empty() {
                risen.push(shard as Shard);
            }
            (slot.limit, slot.min_load) = (limit, floor + slot.rounding);
        }
        risen
    }

    /// A member asks the shards of its order, those with a score less than `below`, until one admits it.
    fn ask(&mut self, key: Key, mut below: Option<u64>) {
        let Some(weight) = self.items.get(&key).map(|i| i.weight) else { return };
        let mut last = None;
        while let Some((score, shard)) = self.table.next(key, below) {
            let slot = &mut self.slots[shard as usize];
            last = Some((score, shard));
            if slot.admits(key.rank()) {
                break;
            }
            slot.wait(key);
            below = Some(score);
        }
        // The limits together are more than all members weigh, so some shard has room.
        if let Some((score, shard)) = last {
            self.slots[shard as usize].leave(key);
            self.slots[shard as usize].add(key, weight);
            self.items.insert(key, Item { weight, shard, score });
        }
    }

    /// Pushes out what is over limits and fills places until nobody wants to move who can.
    fn settle(&mut self, open: &mut Vec<Shard>, before: &mut Before) {
        let over = |slot: &Slot| slot.members.last().is_some_and(|m| slot.load - m.2 >= slot.limit);
        let mut full: Vec<Shard> =
            (0..self.slots.len() as Shard).filter(|s| over(&self.slots[*s as usize])).collect();
        loop {
            while let Some(shard) = full.pop() {
                while let Some(out) = Some(&self.slots[shard as usize]).filter(|s| over(s)) {
                    let Some(&(_, key, _)) = out.members.last() else { break };
                    before.entry(key).or_insert(Some(shard));
                    self.slots[shard as usize].take(key);
                    self.slots[shard as usize].wait(key);
                    let score = self.items[&key].score;
                    self.ask(key, Some(score));
                    full.push(self.items[&key].shard);
                }
            }
            let Some(shard) = open.pop() else { return };
            let first = self.slots[shard as usize].waiting.first().copied();
            let Some((rank, key)) = first else { continue };
            if !self.slots[shard as usize].admits(rank) {
                continue;
            }
            let Some(Item { weight, shard: from, score: old }) = self.items.get(&key).copied() else {
                continue;
            };
            before.entry(key).or_insert(Some(from));
            let score = self.table.score(key, shard);
            self.no_longer_waits(key, old, Some(score));
            self.slots[from as usize].take(key);
            self.slots[shard as usize].leave(key);
            self.slots[shard as usize].add(key, weight);
            self.items.insert(key, Item { weight, shard, score });
            full.push(shard);
            open.extend([shard, from]);
        }
    }

    /// A member no longer waits for the shards that it wants more than the one with score `low`, and less
    /// than the one with score `high`.
    fn no_longer_waits(&mut self, key: Key, low: u64, high: Option<u64>) {
        let mut below = high;
        while let Some((score, shard)) = self.table.next(key, below).filter(|n| n.0 > low) {
            self.slots[shard as usize].leave(key);
            below = Some(score);
        }
    }
}
