//! Assigns one zone's members to shards: each member has one home, and substitutes serve shards with too few
//! members.

use crate::division::Table;
use crate::limits::Fraction;
use crate::pool::{Pool, PreviousHomes};
use crate::{Key, Shard};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(crate) struct Zone {
    pub pool: Pool,
    /// The substitutes of each shard: members of other shards with the highest scores for it, with score, key and
    /// weight, in descending order of scores.
    substitutes: BTreeMap<Shard, Vec<(u64, Key, i64)>>,
}

impl Zone {
    /// Creates a zone and assigns `members`.
    pub fn new(
        table: &Arc<Table>,
        floor: Fraction,
        zone: u16,
        members: impl IntoIterator<Item = (Key, i64)>,
    ) -> Zone {
        let pool = Pool::new(table.clone(), floor, zone, members);
        let mut zone = Zone { pool, substitutes: BTreeMap::new() };
        for shard in 0..table.shards() {
            zone.choose_substitutes(shard);
        }
        zone
    }

    /// Adds a member. Returns the members whose home changed, with their previous homes.
    pub fn insert(&mut self, key: Key, weight: i64) -> PreviousHomes {
        let before = self.pool.insert(key, weight);
        self.update_substitutes(&before, key);
        before
    }

    /// Removes a member. Returns the members whose home changed, with their previous homes.
    pub fn remove(&mut self, key: Key) -> PreviousHomes {
        let before = self.pool.remove(key);
        self.update_substitutes(&before, key);
        before
    }

    /// Iterates over a shard's own members and then its substitutes.
    pub fn members(&self, shard: Shard) -> impl Iterator<Item = Key> + '_ {
        self.pool.members(shard).chain(self.substitutes(shard).iter().map(|s| s.1))
    }

    /// Iterates over the shards that a member serves as a substitute.
    pub fn substitute_shards(&self, key: Key) -> impl Iterator<Item = Shard> + '_ {
        let has = move |s: &(&Shard, &Vec<(u64, Key, i64)>)| s.1.iter().any(|m| m.1 == key);
        self.substitutes.iter().filter(has).map(|s| *s.0)
    }

    fn substitutes(&self, shard: Shard) -> &[(u64, Key, i64)] {
        self.substitutes.get(&shard).map_or(&[], |s| &s[..])
    }

    /// Chooses the substitutes of a shard.
    fn choose_substitutes(&mut self, shard: Shard) {
        self.substitutes.remove(&shard);
        let mut deficit = self.pool.deficit(shard);
        if deficit <= 0 {
            return;
        }
        // Usually a few of many candidates suffice, so the number of candidates is increased in steps.
        for max_candidates in [4, 16, 128, usize::MAX] {
            let mut best_candidates = self.best_candidates(shard, max_candidates);
            let enough = best_candidates.iter().position(|m| {
                deficit -= m.2;
                deficit <= 0
            });
            if enough.is_some() || best_candidates.len() < max_candidates {
                best_candidates.truncate(enough.map_or(best_candidates.len(), |at| at + 1));
                if !best_candidates.is_empty() {
                    self.substitutes.insert(shard, best_candidates);
                }
                return;
            }
            deficit = self.pool.deficit(shard);
        }
    }

    /// Returns up to `max_candidates` members of other shards with the highest scores for a shard, in descending order.
    fn best_candidates(&self, shard: Shard, max_candidates: usize) -> Vec<(u64, Key, i64)> {
        let table = self.pool.table();
        let mut best_candidates: Vec<(u64, Key, i64)> = Vec::new();
        for (key, _, weight) in self.pool.items().filter(|m| m.1 != shard) {
            let candidate = (table.score(key, shard), key, weight);
            if best_candidates.len() < max_candidates {
                best_candidates.push(candidate);
                if best_candidates.len() == max_candidates {
                    best_candidates.sort_unstable_by(|a, b| b.cmp(a));
                }
            } else if best_candidates.last().is_some_and(|last| candidate > *last) {
                best_candidates.pop();
                best_candidates.insert(best_candidates.partition_point(|b| *b > candidate), candidate);
            }
        }
        best_candidates.sort_unstable_by(|a, b| b.cmp(a));
        best_candidates
    }

    /// Updates the substitutes after a change of the member `changed`; `before` holds the previous homes of all
    /// members that moved.
    fn update_substitutes(&mut self, before: &PreviousHomes, changed: Key) {
        let is_member = self.pool.shard(changed).is_some();
        let after = before.keys().filter_map(|k| self.pool.shard(*k));
        let touched: BTreeSet<Shard> = before.values().flatten().copied().chain(after).collect();
        for shard in 0..self.pool.table().shards() {
            if touched.contains(&shard) || !self.has_valid_substitutes(shard, changed, is_member) {
                self.choose_substitutes(shard);
            }
        }
    }

    /// Returns whether a shard's substitutes are still correct, given that no member entered or left its home.
    fn has_valid_substitutes(&self, shard: Shard, changed: Key, is_member: bool) -> bool {
        let (deficit, chosen) = (self.pool.deficit(shard), self.substitutes(shard));
        let Some(last) = chosen.last() else { return deficit <= 0 };
        let sum: i64 = chosen.iter().map(|s| s.2).sum();
        let better = || (self.pool.table().score(changed, shard), changed) > (last.0, last.1);
        sum >= deficit
            && sum - last.2 < deficit
            && chosen.iter().all(|s| s.1 != changed)
            && !(is_member && better())
    }
}
