//! Ranking: for each function, the workers that may get its requests although no copy is known there, in an order that
//! is the same at all front ends, and the workers that are known to hold the function.
//!
//! For a large fleet only the first ranks are stored. If a function's demand fills more workers than are stored, each
//! front end stores a different sample of the first ranks, so that together the front ends use all of them.

use super::estimates::CachedCopy;
use super::fleet::MAX_CONSIDERED;
use super::function::Function;
use super::math::hash;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// The depth of a ranking is this multiple of the number of workers that the fleet's demand for the function fills.
const DEPTH_MARGIN: f64 = 2.0;
/// The depth is reduced once it exceeds the required depth by this factor.
const DEPTH_REDUCTION: usize = 4;

/// Expected number of workers that [`first_ranks`] collects, as a multiple of the number that it needs.
const FIRST_RANKS_MARGIN: f64 = 2.0;

/// What a ranking needs to know of a worker. It is stored apart from the worker, so that a ranking of a large fleet
/// reads little memory.
#[derive(Clone, Copy)]
pub(super) struct RankableWorker {
    id: WorkerId,
    is_gone: bool,
}

impl RankableWorker {
    pub fn of(worker: &Worker) -> RankableWorker {
        let Endpoint { worker: id, lifecycle, .. } = worker.endpoint;
        RankableWorker { id, is_gone: lifecycle == Lifecycle::Gone }
    }
}

/// A worker's rank for a function: workers with a lower hash come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    hash: u64,
    index: u32,
}

/// How the workers were ranked for a function.
#[derive(Clone, Copy, Default)]
pub(super) struct Ranking {
    /// The `ranking_version` at the time of the ranking; 0 if never ranked.
    version: u64,
    /// Number of first ranks from which the stored ranks were sampled.
    depth: usize,
    /// Fraction of these first ranks that is stored.
    pub stored_fraction: f64,
}

impl FrontEnd {
    /// Ranks the workers for a function if its ranking is out of date.
    pub(super) fn rank(&mut self, id: FunctionId, now: Micros) {
        let Some(function) = self.functions.get(&id) else { return };
        let depth = self.ranking_depth(function, now);
        let ranking = function.ranking;
        let fits = depth <= ranking.depth && ranking.depth <= depth * DEPTH_REDUCTION;
        if ranking.version == self.ranking_version && fits {
            return;
        }
        let Ranked { workers, sampled_from } = ranked(id, &self.rankable_workers, depth, self.seed);
        let stored_fraction = workers.len() as f64 / sampled_from.max(1) as f64;
        let Some(function) = self.functions.get_mut(&id) else { return };
        function.ranked_workers = workers;
        function.ranking = Ranking { version: self.ranking_version, depth, stored_fraction };
    }

    /// Ranks the workers for the functions of pending requests.
    pub(super) fn rank_pending_functions(&mut self, now: Micros) {
        let functions: BTreeSet<FunctionId> =
            self.pending.values().map(|call| call.request.function).collect();
        functions.into_iter().for_each(|function| self.rank(function, now));
    }

    /// Returns the number of ranks that a function's requests may be sent to: a power of two above the number of workers
    /// that its demand fills.
    fn ranking_depth(&self, function: &Function, now: Micros) -> usize {
        if self.workers.len() <= MAX_CONSIDERED {
            return MAX_CONSIDERED;
        }
        let mean_capacity = self.fleet_capacity / self.fleet.ready().max(1) as f64;
        let preferred_capacity =
            self.established_preferred_capacity(function, mean_capacity).max(f64::MIN_POSITIVE);
        let filled_workers = self.fleet_demand(function, now) / preferred_capacity;
        let depth = (filled_workers * DEPTH_MARGIN).min(self.workers.len() as f64) as usize;
        depth.next_power_of_two().max(MAX_CONSIDERED)
    }

    /// Returns the workers that rank after the first `ranks` of a function and are known to hold it or to have an order to
    /// load it, in rank order.
    pub(super) fn holders_beyond(&self, id: FunctionId, function: &Function, ranks: usize) -> Vec<usize> {
        let key = |index: usize| (hash(id, u64::from(self.workers[index].endpoint.worker)), index);
        let last = ranks.checked_sub(1).map(|last| key(function.ranked_workers[last] as usize));
        let is_beyond = |key: &(u64, usize)| last.is_none_or(|last| *key > last);
        let holders = self.holders.get(&id).into_iter().flatten();
        let mut holders: Vec<_> = holders.map(|&index| key(index)).filter(is_beyond).collect();
        holders.sort_unstable();
        holders.into_iter().map(|(_, index)| index).take(MAX_CONSIDERED).collect()
    }

    /// Returns the workers at which a function may be loaded: all of a small fleet, else the first ranks.
    pub(super) fn considered_workers(&self, id: FunctionId) -> Box<dyn Iterator<Item = usize> + '_> {
        match self.functions.get(&id) {
            Some(function) if self.workers.len() > MAX_CONSIDERED => {
                Box::new(function.ranked_workers.iter().map(|&index| index as usize))
            }
            _ => Box::new(0..self.workers.len()),
        }
    }

    /// Records the expected copies of a function at a worker.
    pub(super) fn set_copy(&mut self, index: usize, id: FunctionId, copy: CachedCopy) {
        self.workers[index].estimates.copies.insert(id, copy);
        self.holders.entry(id).or_default().insert(index);
        self.add_to_check_round(index);
    }
}

/// Workers ranked for a function.
struct Ranked {
    /// Worker indices in rank order.
    workers: Vec<u32>,
    /// Number of first ranks from which the workers were sampled.
    sampled_from: usize,
}

/// Ranks workers for a function: all of a small fleet, else a sample of the first ranks.
fn ranked(id: FunctionId, workers: &[RankableWorker], depth: usize, seed: u64) -> Ranked {
    let mut ranks = first_ranks(id, workers, depth);
    let sampled_from = ranks.len();
    if ranks.len() > MAX_CONSIDERED {
        let worker_id = |rank: &Rank| u64::from(workers[rank.index as usize].id);
        ranks.select_nth_unstable_by_key(MAX_CONSIDERED, |rank| hash(seed, worker_id(rank)));
        ranks.truncate(MAX_CONSIDERED);
    }
    ranks.sort_unstable();
    Ranked { workers: ranks.into_iter().map(|rank| rank.index).collect(), sampled_from }
}

/// Returns the first `depth` ranks, or all if there are fewer, in any order. Hashes are spread evenly, so in a large
/// fleet only the workers below a limit are collected, and all workers only if those are too few.
fn first_ranks(id: FunctionId, workers: &[RankableWorker], depth: usize) -> Vec<Rank> {
    let collected_part = FIRST_RANKS_MARGIN * depth as f64 / workers.len().max(1) as f64;
    let limit = (collected_part * u64::MAX as f64) as u64;
    let mut ranks = ranks_up_to(limit, id, workers);
    if ranks.len() < depth && limit < u64::MAX {
        ranks = ranks_up_to(u64::MAX, id, workers);
    }
    if ranks.len() > depth {
        ranks.select_nth_unstable(depth);
        ranks.truncate(depth);
    }
    ranks
}

/// Returns the ranks with a hash of at most `limit`, in the order of the workers. Workers that are gone are left out
/// of a large fleet.
fn ranks_up_to(limit: u64, id: FunctionId, workers: &[RankableWorker]) -> Vec<Rank> {
    let is_small_fleet = workers.len() <= MAX_CONSIDERED;
    let rank = |(index, worker): (usize, &RankableWorker)| {
        let hash = hash(id, u64::from(worker.id));
        let is_ranked = hash <= limit && (is_small_fleet || !worker.is_gone);
        is_ranked.then_some(Rank { hash, index: index as u32 })
    };
    workers.iter().enumerate().filter_map(rank).collect()
}
