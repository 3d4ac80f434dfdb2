//! Assigns the members of one zone to shards by rendezvous hashing with bounded load, updated incrementally.
//!
//! The assignment is defined sequentially: in the order of ranks, each member takes the highest-scoring shard
//! whose load is below its limit. So the result depends on the members alone. Incremental updates preserve it:
//! it is the only assignment in which each member is in the highest-scoring shard whose members of smaller rank
//! weigh less than the limit (with one common order of ranks the stable matching of Gale and Shapley is unique).
//! A displaced member tries its next shards, and free capacity goes to the waiting member with the smallest
//! rank.

use crate::division::{Table, MAX_SHARD_WEIGHT};
use crate::limits::{rounding, rounding_offset, share, Fraction, LIMIT};
use crate::{Key, Shard};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(crate) struct Pool {
    table: Arc<Table>,
    rounding_offset: i64,
    guaranteed: Fraction,
    items: BTreeMap<Key, Item>,
    slots: Vec<Slot>,
    /// Total and mean weight of the members.
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
    /// Rank, key and weight of the members, in the order of ranks.
    members: Vec<(u64, Key, i64)>,
    /// Members of other shards that prefer this one, in the order of ranks.
    waiting: Vec<(u64, Key)>,
    load: i64,
    /// A member is admitted while the load is less than this.
    limit: i64,
    /// Substitutes serve the shard while the load is less than this.
    min_load: i64,
    rounding: i64,
}

impl Slot {
    /// Returns whether a member of this rank is admitted: only members of smaller rank count.
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

    fn remove_member(&mut self, key: Key) {
        if let Ok(at) = self.members.binary_search_by_key(&key.rank(), |m| m.0) {
            self.load -= self.members.remove(at).2;
        }
    }

    fn add_waiting(&mut self, key: Key) {
        if let Err(at) = self.waiting.binary_search_by_key(&key.rank(), |w| w.0) {
            self.waiting.insert(at, (key.rank(), key));
        }
    }

    fn remove_waiting(&mut self, key: Key) {
        if let Ok(at) = self.waiting.binary_search_by_key(&key.rank(), |w| w.0) {
            self.waiting.remove(at);
        }
    }
}

/// The homes of members before a change; `None` for a member that was added.
pub(crate) type PreviousHomes = BTreeMap<Key, Option<Shard>>;

impl Pool {
    /// Creates a pool and assigns `members`.
    pub fn new(
        table: Arc<Table>,
        floor: Fraction,
        zone: u16,
        members: impl IntoIterator<Item = (Key, i64)>,
    ) -> Pool {
        let slots = vec![Slot::default(); table.shards() as usize];
        let rounding_offset = rounding_offset(&table, zone);
        let mut pool = Pool {
            table,
            rounding_offset,
            guaranteed: floor,
            items: BTreeMap::new(),
            slots,
            total: 0,
            mean: 0,
        };
        for (key, weight) in members {
            pool.items.insert(key, Item { weight, shard: 0, score: 0 });
        }
        pool.total = pool.items.values().map(|i| i.weight).sum();
        pool.update_limits();
        let mut keys: Vec<Key> = pool.items.keys().copied().collect();
        keys.sort_by_key(|k| k.rank());
        for key in keys {
            pool.place(key, None);
        }
        pool
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Iterates over key, home and weight of each member.
    pub fn items(&self) -> impl Iterator<Item = (Key, Shard, i64)> + '_ {
        self.items.iter().map(|(key, i)| (*key, i.shard, i.weight))
    }

    /// Returns the division's table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the weight that a shard lacks to its guaranteed minimum, which is at least 1 so that no shard of a
    /// zone with members is empty.
    pub fn deficit(&self, shard: Shard) -> i64 {
        self.slots.get(shard as usize).map_or(0, |s| s.min_load.max(1) - s.load)
    }

    /// Returns the shard that a member is assigned to.
    pub fn shard(&self, key: Key) -> Option<Shard> {
        self.items.get(&key).map(|i| i.shard)
    }

    /// Iterates over the members of a shard.
    pub fn members(&self, shard: Shard) -> impl ExactSizeIterator<Item = Key> + '_ {
        let members = self.slots.get(shard as usize).map_or(&[][..], |s| &s.members[..]);
        members.iter().map(|m| m.1)
    }

    /// Returns the total weight of a shard's members.
    pub fn load(&self, shard: Shard) -> i64 {
        self.slots.get(shard as usize).map_or(0, |s| s.load)
    }

    /// Adds a member, which must not be in the pool, and returns the previous homes of moved members.
    pub fn insert(&mut self, key: Key, weight: i64) -> PreviousHomes {
        let mut before = PreviousHomes::from([(key, None)]);
        self.total += weight;
        self.items.insert(key, Item { weight, shard: 0, score: 0 });
        let mut open = self.update_limits();
        self.place(key, None);
        self.stabilize(&mut open, &mut before);
        before
    }

    /// Removes a member and returns the previous homes of moved members.
    pub fn remove(&mut self, key: Key) -> PreviousHomes {
        let Some(item) = self.items.remove(&key) else { return PreviousHomes::new() };
        let mut before = PreviousHomes::from([(key, Some(item.shard))]);
        self.total -= item.weight;
        self.leave_waiting_lists(key, item.score, None);
        self.slots[item.shard as usize].remove_member(key);
        let mut open = self.update_limits();
        open.push(item.shard);
        self.stabilize(&mut open, &mut before);
        before
    }

    /// Recomputes limits and guaranteed minimums. Returns the shards with waiting members whose limit rose.
    fn update_limits(&mut self) -> Vec<Shard> {
        let (total, mean) = (self.total, self.total / (self.items.len().max(1) as i64));
        if mean != self.mean {
            self.mean = mean;
            for (shard, slot) in self.slots.iter_mut().enumerate() {
                slot.rounding = rounding(&self.table, self.rounding_offset, shard as Shard, mean);
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

    /// Places a member in the highest-scoring shard that admits it, among those with a score less than `below`,
    /// and adds it to the waiting lists of the shards tried before.
    fn place(&mut self, key: Key, mut below: Option<u64>) {
        let Some(weight) = self.items.get(&key).map(|i| i.weight) else { return };
        let mut last = None;
        while let Some((score, shard)) = self.table.next(key, below) {
            let slot = &mut self.slots[shard as usize];
            last = Some((score, shard));
            if slot.admits(key.rank()) {
                break;
            }
            slot.add_waiting(key);
            below = Some(score);
        }
        // The sum of the limits exceeds the total weight, so some shard admits the member.
        if let Some((score, shard)) = last {
            self.slots[shard as usize].remove_waiting(key);
            self.slots[shard as usize].add(key, weight);
            self.items.insert(key, Item { weight, shard, score });
        }
    }

    /// Displaces members of shards over their limits and admits waiting members until the assignment is stable.
    fn stabilize(&mut self, open: &mut Vec<Shard>, before: &mut PreviousHomes) {
        let over = |slot: &Slot| slot.members.last().is_some_and(|m| slot.load - m.2 >= slot.limit);
        let mut full: Vec<Shard> =
            (0..self.slots.len() as Shard).filter(|s| over(&self.slots[*s as usize])).collect();
        loop {
            while let Some(shard) = full.pop() {
                while let Some(out) = Some(&self.slots[shard as usize]).filter(|s| over(s)) {
                    let Some(&(_, key, _)) = out.members.last() else { break };
                    before.entry(key).or_insert(Some(shard));
                    self.slots[shard as usize].remove_member(key);
                    self.slots[shard as usize].add_waiting(key);
                    let score = self.items[&key].score;
                    self.place(key, Some(score));
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
            self.leave_waiting_lists(key, old, Some(score));
            self.slots[from as usize].remove_member(key);
            self.slots[shard as usize].remove_waiting(key);
            self.slots[shard as usize].add(key, weight);
            self.items.insert(key, Item { weight, shard, score });
            full.push(shard);
            open.extend([shard, from]);
        }
    }

    /// Removes a member from the waiting lists of the shards with a score between `low` and `high`, both
    /// exclusive.
    fn leave_waiting_lists(&mut self, key: Key, low: u64, high: Option<u64>) {
        let mut below = high;
        while let Some((score, shard)) = self.table.next(key, below).filter(|n| n.0 > low) {
            self.slots[shard as usize].remove_waiting(key);
            below = Some(score);
        }
    }
}
