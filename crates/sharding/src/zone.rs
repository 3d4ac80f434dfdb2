//! One zone's members in shards: each at home in one, and emulated systems where a shard has few.

use crate::division::Table;
use crate::limits::Part;
use crate::pool::{Before, Pool};
use crate::{Key, Shard};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(crate) struct Zone {
    pub pool: Pool,
    /// Those at home elsewhere that want a shard most, with their scores and weights, best first.
    substitutes: BTreeMap<Shard, Vec<(u64, Key, i64)>>,
}

impl Zone {
    /// A zone without members.
    pub fn new(
        table: &Arc<Table>,
        floor: Part,
        zone: u16,
        members: impl IntoIterator<Item = (Key, i64)>,
    ) -> Zone {
        let pool = Pool::new(table.clone(), floor, zone, members);
        let mut zone = Zone { pool, substitutes: BTreeMap::new() };
        for shard in 0..table.shards() {
            zone.choose(shard);
        }
        zone
    }

    /// Adds a member; the members whose shard changed, with the one before.
    pub fn insert(&mut self, key: Key, weight: i64) -> Before {
        let before = self.pool.insert(key, weight);
        self.update_substitutes(&before, key);
        before
    }

    /// Removes a member; the members whose shard changed, with the one before.
    pub fn remove(&mut self, key: Key) -> Before {
        let before = self.pool.remove(key);
        self.update_substitutes(&before, key);
        before
    }

    /// Those at home in a shard and those that stand in.
    pub fn members(&self, shard: Shard) -> impl Iterator<Item = Key> + '_ {
        self.pool.members(shard).chain(self.substitutes(shard).iter().map(|s| s.1))
    }

    /// Shards in which a member stands in.
    pub fn beside(&self, key: Key) -> impl Iterator<Item = Shard> + '_ {
        let has = move |s: &(&Shard, &Vec<(u64, Key, i64)>)| s.1.iter().any(|m| m.1 == key);
        self.substitutes.iter().filter(has).map(|s| *s.0)
    }

    fn substitutes(&self, shard: Shard) -> &[(u64, Key, i64)] {
        self.substitutes.get(&shard).map_or(&[], |s| &s[..])
    }

    /// Chooses the emulated systems of a shard.
    fn choose(&mut self, shard: Shard) {
        self.substitutes.remove(&shard);
        let mut lacks = self.pool.lacks(shard);
        if lacks <= 0 {
            return;
        }
        // Mostly few are needed, of many.
        for most in [4, 16, 128, usize::MAX] {
            let mut best = self.best(shard, most);
            let enough = best.iter().position(|m| {
                lacks -= m.2;
                lacks <= 0
            });
            if enough.is_some() || best.len() < most {
                best.truncate(enough.map_or(best.len(), |at| at + 1));
                if !best.is_empty() {
                    self.substitutes.insert(shard, best);
                }
                return;
            }
            lacks = self.pool.lacks(shard);
        }
    }

    /// Those not at home in a shard that want it most, best first.
    fn best(&self, shard: Shard, most: usize) -> Vec<(u64, Key, i64)> {
        let table = self.pool.table();
        let mut best: Vec<(u64, Key, i64)> = Vec::new();
        for (key, _, weight) in self.pool.items().filter(|m| m.1 != shard) {
            let one = (table.score(key, shard), key, weight);
            if best.len() < most {
                best.push(one);
                if best.len() == most {
                    best.sort_unstable_by(|a, b| b.cmp(a));
                }
            } else if best.last().is_some_and(|last| one > *last) {
                best.pop();
                best.insert(best.partition_point(|b| *b > one), one);
            }
        }
        best.sort_unstable_by(|a, b| b.cmp(a));
        best
    }

    /// Keeps the emulated systems up after a change of one member, which moved the homes of those in `before`.
    fn update_substitutes(&mut self, before: &Before, changed: Key) {
        let came = self.pool.shard(changed).is_some();
        let after = before.keys().filter_map(|k| self.pool.shard(*k));
        let touched: BTreeSet<Shard> = before.values().flatten().copied().chain(after).collect();
        for shard in 0..self.pool.table().shards() {
            if touched.contains(&shard) || !self.is_substitute(shard, changed, came) {
                self.choose(shard);
            }
        }
    }

    /// Whether a shard's emulated systems, no home of it having changed, are still the right ones.
    fn is_substitute(&self, shard: Shard, changed: Key, came: bool) -> bool {
        let (lacks, chosen) = (self.pool.lacks(shard), self.substitutes(shard));
        let Some(last) = chosen.last() else { return lacks <= 0 };
        let sum: i64 = chosen.iter().map(|s| s.2).sum();
        let better = || (self.pool.table().score(changed, shard), changed) > (last.0, last.1);
        sum >= lacks && sum - last.2 < lacks && chosen.iter().all(|s| s.1 != changed) && !(came && better())
    }
}
