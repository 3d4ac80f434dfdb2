//! The first ranks of a function, compared with a sort of all workers.

use super::*;

const FUNCTIONS: u64 = 50;

/// Returns a fleet of which about the given part is gone.
fn workers(count: u32, gone_part: f64) -> Vec<RankableWorker> {
    let worker = |id: u32| RankableWorker { id, is_gone: hash_part(id) < gone_part };
    (1..=count).map(worker).collect()
}

fn hash_part(id: u32) -> f64 {
    hash(u64::MAX, u64::from(id)) as f64 / u64::MAX as f64
}

fn by_sorting(id: FunctionId, workers: &[RankableWorker], depth: usize) -> Vec<Rank> {
    let is_small_fleet = workers.len() <= MAX_CONSIDERED;
    let listed = workers.iter().enumerate().filter(|(_, worker)| is_small_fleet || !worker.is_gone);
    let rank = |(index, worker): (usize, &RankableWorker)| Rank {
        hash: hash(id, u64::from(worker.id)),
        index: index as u32,
    };
    let mut ranks: Vec<Rank> = listed.map(rank).collect();
    ranks.sort_unstable();
    ranks.truncate(depth);
    ranks
}

fn assert_first_ranks(workers: &[RankableWorker], depth: usize) {
    for id in 0..FUNCTIONS {
        let mut ranks = first_ranks(id, workers, depth);
        ranks.sort_unstable();
        assert_eq!(ranks, by_sorting(id, workers, depth), "function {id} of {} workers", workers.len());
    }
}

#[test]
fn the_first_ranks_are_those_of_all_workers_sorted_by_hash() {
    for count in [0, 1, 12, 255, 256, 257, 800, 3200, 10_000] {
        for depth in [256, 512, 2048] {
            assert_first_ranks(&workers(count, 0.0), depth);
            assert_first_ranks(&workers(count, 0.1), depth);
        }
    }
}

// Guards against a ranking that is too short because most of the workers in the table are gone.
#[test]
fn the_first_ranks_are_complete_if_most_workers_are_gone() {
    for gone_part in [0.5, 0.9, 0.99, 1.0] {
        assert_first_ranks(&workers(3200, gone_part), 256);
    }
}
