//! Front ends in different phases of a change: every queue of both divisions has a consumer, and divided limits keep
//! their sum.

mod common;

use common::{even, front_ends, rng};
use rand::{Rng, RngExt};
use stagehoist_sharding::*;
use std::collections::{BTreeSet, HashMap};

/// The stages of a change at a front end: the phase and the generations that it reports to serve.
const STAGES: [(Option<TransitionPhase>, (u32, u32)); 5] = [
    (None, (1, 1)),
    (Some(TransitionPhase::Announced), (1, 1)),
    (Some(TransitionPhase::Both), (1, 2)),
    (Some(TransitionPhase::Closing), (2, 2)),
    (None, (2, 2)),
];

fn divisions(at: usize, old: u32, new: u32) -> Divisions {
    let (old, new) = (Division::new(old, 1).unwrap(), Division::new(new, 2).unwrap());
    match STAGES[at].0 {
        Some(stage) => Divisions::changing(old, new, stage).unwrap(),
        None if at == 0 => Divisions::only(old),
        None => Divisions::only(new),
    }
}

struct Fleet {
    members: Vec<Member>,
    at: Vec<usize>,
    /// The view of each front end; views of the same stage differ only in the owned shards.
    views: Vec<FrontEnds>,
}

impl Fleet {
    /// Creates `n` front ends, each at random in one of two stages. With `reports_both` all report to serve both
    /// generations, even if they don't.
    fn new(
        n: u32,
        (old, new): (u32, u32),
        stages: (usize, usize),
        reports_both: bool,
        rng: &mut impl Rng,
    ) -> Fleet {
        let members = even("f", n, 2);
        let at: Vec<usize> =
            members.iter().map(|_| if rng.random_bool(0.5) { stages.0 } else { stages.1 }).collect();
        let serves = |at: usize| if reports_both { (1, 2) } else { STAGES[at].1 };
        let row = |(m, at): (&Member, &usize)| front_ends(&[*m], serves(*at))[0];
        let list: Vec<FrontEnd> = members.iter().zip(&at).map(row).collect();
        let of = |(m, at): (&Member, &usize)| FrontEnds::of(&divisions(*at, old, new), *m, list.clone());
        let views = members.iter().zip(&at).map(of).collect();
        Fleet { members, at, views }
    }

    /// Returns, for each shard of a generation, the zones of the front ends that consume its queue.
    fn consumers(&self, generation: u32, shards: u32) -> Vec<BTreeSet<u16>> {
        let mut all = vec![BTreeSet::new(); shards as usize];
        for (member, front_end) in self.members.iter().zip(&self.views) {
            for shard in front_end.owned_shards(generation) {
                all[*shard as usize].insert(member.zone);
            }
        }
        all
    }
}

fn under_served_queues(fleet: &Fleet, old: u32, new: u32) -> usize {
    let of = |generation, shards| fleet.consumers(generation, shards).iter().filter(|z| z.len() < 2).count();
    let serves = |g| fleet.at.iter().any(|at| (STAGES[*at].1 .0..=STAGES[*at].1 .1).contains(&g));
    [(1, old), (2, new)].into_iter().filter(|d| serves(d.0)).map(|d| of(d.0, d.1)).sum()
}

/// Covers all pairs of adjacent stages, with the number of shards increased and decreased by one, halved, doubled
/// and unchanged.
#[test]
fn every_queue_of_both_divisions_is_consumed_in_two_zones() {
    for seed in 0..12 {
        let mut rng = rng(seed);
        for (old, new) in [(8, 9), (9, 8), (8, 4), (8, 16), (8, 8)] {
            for stage in 0..4 {
                let fleet = Fleet::new(24, (old, new), (stage, stage + 1), false, &mut rng);
                assert_eq!(
                    under_served_queues(&fleet, old, new),
                    0,
                    "seed {seed}, {old} to {new}, stage {stage}"
                );
            }
        }
    }
}

/// Negative control: if front ends are counted in a division that they don't serve yet, some queues aren't consumed
/// in two zones.
#[test]
fn front_ends_counted_too_early_leave_queues_unserved() {
    let mut rng = rng(1);
    let left = |_| under_served_queues(&Fleet::new(24, (8, 9), (1, 2), true, &mut rng), 8, 9);
    assert!((0..12).map(left).sum::<usize>() > 0);
}

/// Returns the maximum over all workers of the sum of the shares, of a budget of 1, that the front ends of the
/// worker may use. `divisor` returns the divisor of a front end from its stage and the worker's shards.
fn sums(fleet: &Fleet, old: u32, new: u32, divisor: impl Fn(usize, &[&[u32]]) -> f64) -> f64 {
    let workers = even("w", 96, 2);
    let assigned =
        [old, new].map(|n| Assignment::of(&Division::new(n, 1).unwrap(), workers.iter().copied()).0);
    let mut worst = 0.0f64;
    for worker in &workers {
        let shards: Vec<Vec<u32>> = assigned.iter().map(|a| a.shards(worker.key)).collect();
        let mut sum = 0.0;
        for (front_end, at) in fleet.views.iter().zip(&fleet.at) {
            let serves =
                (0..2).any(|g| front_end.owned_shards(g as u32 + 1).iter().any(|s| shards[g].contains(s)));
            if serves {
                let both = [&shards[0][..], &shards[1][..]];
                sum += 1.0 / divisor(*at, if *at == 4 { &both[1..] } else { &both });
            }
        }
        worst = worst.max(sum);
    }
    worst
}

const ZONES: [(u16, u32); 2] = [(0, 12), (1, 12)];

/// The slow-start capacity of a cold worker and the load budget are never exceeded in total, in whichever of two
/// adjacent stages each front end is.
#[test]
fn divided_limits_keep_their_sum() {
    let mut worst = 0.0f64;
    for seed in 0..10 {
        let mut rng = rng(seed);
        for (old, new) in [(8, 9), (9, 8), (8, 4), (8, 16)] {
            for stage in 0..4 {
                let fleet = Fleet::new(24, (old, new), (stage, stage + 1), false, &mut rng);
                let divisor = |at, shards: &[&[u32]]| {
                    f64::from(Serving::new(&divisions(at, old, new), &ZONES).max_front_ends(shards))
                };
                worst = worst.max(sums(&fleet, old, new, divisor));
            }
        }
    }
    println!("of a budget of 1 at most {worst:.2} is used");
    assert!(worst <= 1.0 + 1e-9 && worst > 0.6, "{worst}");
}

/// The sum also holds with one divisor for all workers, as the front ends of `serve` use it, if a worker with several
/// shards reports to each only a part of its capacity. Without the parts the budget is exceeded.
#[test]
fn one_divisor_for_all_workers_keeps_the_sum_if_capacity_is_split_by_shard() {
    let (mut parts, mut whole) = (0.0f64, 0.0f64);
    for seed in 0..10 {
        let mut rng = rng(seed);
        for (old, new) in [(8, 9), (9, 8), (8, 4), (8, 16)] {
            for stage in 0..4 {
                let fleet = Fleet::new(24, (old, new), (stage, stage + 1), false, &mut rng);
                let worst =
                    |at| f64::from(Serving::new(&divisions(at, old, new), &ZONES).max_front_ends_of_any());
                // The number of the worker's shards in the divisions served at this stage.
                let shard_count = |at: usize, shards: &[&[u32]]| match at {
                    0 | 1 => shards[0].len(),
                    2 => shards[0].len().max(shards[1].len()),
                    _ => shards[shards.len() - 1].len(),
                };
                let divisor = |at, shards: &[&[u32]]| worst(at) * shard_count(at, shards) as f64;
                parts = parts.max(sums(&fleet, old, new, divisor));
                whole = whole.max(sums(&fleet, old, new, |at, _| worst(at)));
            }
        }
    }
    println!(
        "of a budget of 1 at most {parts:.2} is used, {whole:.2} if the full capacity is reported to each shard"
    );
    assert!(parts <= 1.0 + 1e-9 && parts > 0.5 && whole > 1.0, "{parts} {whole}");
}

/// Negative controls: the budget is exceeded if front ends divide by the maximum over both divisions in place of the
/// sum, or if a change skips phases.
#[test]
fn maximum_of_both_or_skipped_phases_exceed_the_sum() {
    let (mut greater, mut skipped) = (0.0f64, 0.0f64);
    for seed in 0..10 {
        let mut rng = rng(seed);
        let fleet = Fleet::new(24, (8, 9), (2, 3), false, &mut rng);
        let one = |n, shards: &[u32]| -> u32 {
            let division = Division::new(n, 1).unwrap();
            shards.iter().map(|s| max_serving(&division, *s, &ZONES)).sum()
        };
        let divisor = |_, shards: &[&[u32]]| f64::from(one(8, shards[0]).max(one(9, shards[1])));
        greater = greater.max(sums(&fleet, 8, 9, divisor));
        let fleet = Fleet::new(24, (8, 9), (0, 4), false, &mut rng);
        let divisor = |at, shards: &[&[u32]]| {
            f64::from(Serving::new(&divisions(at, 8, 9), &ZONES).max_front_ends(shards))
        };
        skipped = skipped.max(sums(&fleet, 8, 9, divisor));
    }
    println!("maximum of both: {greater:.2}, phases skipped: {skipped:.2}");
    assert!(greater > 1.0 && skipped > 1.0, "{greater} {skipped}");
}

/// A tenant whose functions are all in one shard has its whole quota there; a tenant without configured functions
/// has a part in each shard. The quota isn't exceeded at any stage.
#[test]
fn tenant_quotas_are_not_exceeded() {
    let parts = |n: u32, functions: &[(Key, f64)]| {
        let division = Division::new(n, 1).unwrap();
        TenantParts::new(&division, &HomeShards::new(&division, 0.0, &[]).unwrap(), functions)
    };
    let one: &[(Key, f64)] = &[(Key::of("payroll"), 3.0)];
    for (functions, seed) in [one, &[]].into_iter().flat_map(|f| (0..6).map(move |s| (f, s))) {
        let mut rng = rng(seed);
        let (old, new) = (8, 9);
        let (of_old, of_new) = (parts(old, functions), parts(new, functions));
        assert_eq!(
            (0..8).map(|s| of_old.of(s)).fold(0.0, f64::max),
            if functions.is_empty() { 0.125 } else { 1.0 }
        );
        for stage in 0..4 {
            for stages in [(stage, stage), (stage, stage + 1)] {
                let fleet = Fleet::new(24, (old, new), stages, false, &mut rng);
                let share = |(f, at): (&FrontEnds, &usize)| {
                    let divisions = divisions(*at, old, new);
                    let serving = Serving::new(&divisions, &ZONES).listed(f);
                    let own = [f.owned_shards(1), f.owned_shards(2)];
                    let parts = [&of_old, &of_new];
                    let from = usize::from(*at == 4);
                    serving.share_of(&parts[from..], &own[from..])
                };
                let sum: f64 = fleet.views.iter().zip(&fleet.at).map(share).sum();
                assert!(sum <= 1.0 + 1e-9, "stages {stages:?}: {sum}");
                let least = if stages == (0, 0) || stages == (2, 2) { 1.0 } else { 0.49 };
                assert!(sum >= least - 1e-9, "stages {stages:?}: {sum}");
            }
        }
    }
}

/// A call of a function without a home in the front end's shards is placed elsewhere, with its shard.
#[test]
fn placement_of_functions() {
    let both = divisions(2, 8, 9);
    let homes: Vec<HomeShards> = both.served().map(|d| HomeShards::new(d, 0.0, &[]).unwrap()).collect();
    let homes: Vec<&HomeShards> = homes.iter().collect();
    let members = even("f", 24, 2);
    let front_end = FrontEnds::of(&both, members[0], front_ends(&members, (1, 2)));
    let mut seen = HashMap::new();
    for i in 0..2_000 {
        let key = Key::of(&format!("f{i}"));
        let (old, new) = (homes[0].of(key)[0], homes[1].of(key)[0]);
        let place = match (front_end.owned_shards(2).contains(&new), front_end.owned_shards(1).contains(&old))
        {
            (true, _) => FunctionPlacement::Owned,
            (false, true) => FunctionPlacement::Leaving,
            (false, false) => FunctionPlacement::Elsewhere(new),
        };
        assert_eq!(front_end.place(&homes, key, 7), place);
        *seen.entry(std::mem::discriminant(&place)).or_insert(0) += 1;
    }
    assert_eq!(seen.len(), 3, "{seen:?}");
}
