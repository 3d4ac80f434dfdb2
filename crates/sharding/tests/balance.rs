//! No shard much above the mean: of the workers' capacity, of the front ends, of the traffic of functions.

mod common;

use common::{division, drawn, even, zipf};
use stagehoist_sharding::{
    Assignment, Division, Divisions, FrontEnd, FrontEnds, HomeShards, HotFunction, Key, Member,
};
use std::collections::BTreeMap;

const FUNCTIONS: usize = 170_000;
const CALLS: f64 = 880_000.0;

fn worst(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().fold(0.0, |a: f64, b| a.max(*b)) / mean
}

fn loads(division: &Division, list: &[Member]) -> Vec<f64> {
    let (all, left_out) = Assignment::of(division, list.iter().copied());
    assert_eq!(left_out, 0);
    (0..division.shards()).map(|s| all.load(s)).collect()
}

fn plain(shards: u32, list: &[Member]) -> Vec<f64> {
    let homes = HomeShards::new(&division(shards), 0.0, &[]).unwrap();
    let mut loads = vec![0.0; shards as usize];
    list.iter().for_each(|m| loads[homes.of(m.key)[0] as usize] += 1.0);
    loads
}

/// 30,000 workers of 7 zones in 300 shards: at most 1.25 of the mean. Without the bound it isn't met.
#[test]
fn workers_at_the_letters_size() {
    let division = division(300);
    let workers = even("w", 30_000, 7);
    let of_workers = worst(&loads(&division, &workers));
    println!("workers {of_workers:.3} of the mean at most");
    assert!(of_workers <= 1.25, "{of_workers}");
    let unbounded = worst(&plain(300, &workers));
    println!("workers without bound {unbounded:.3}");
    assert!(unbounded > 1.25, "{unbounded}");
}

/// Workers of unequal size and zones of unequal size, ten draws; small fleets within one member a zone more.
#[test]
fn unequal_workers() {
    for seed in 0..10 {
        let list = drawn("w", 6_000, 5, seed);
        let worst = worst(&loads(&division(40), &list));
        assert!(worst <= 1.25, "seed {seed}: {worst}");
    }
    for (n, shards, zones) in [(24, 8, 2), (60, 8, 3), (50, 25, 2), (7, 7, 1)] {
        let loads = loads(&division(shards), &even("w", n, zones));
        let most = loads.iter().fold(0.0, |a: f64, b| a.max(*b));
        let bound = f64::from(n) / f64::from(shards) * 1.25 + f64::from(zones);
        assert!(most <= bound, "{n} in {shards}: {most}, bound {bound}");
    }
}

/// A shard that is configured to weigh ten gets ten times as many.
#[test]
fn a_shard_told_to_be_hot_has_its_weight_in_workers() {
    let division = Division::weighted(20, 1, BTreeMap::from([(7, 10)])).unwrap();
    let loads = loads(&division, &even("w", 5_800, 4));
    assert!((1_800.0..=2_250.0).contains(&loads[7]), "{}", loads[7]);
    let others = (0..20).filter(|s| *s != 7).map(|s| loads[s]).fold(0.0, f64::max);
    assert!(others <= 250.0, "{others}");
    let homes = HomeShards::new(&division, 0.0, &[]).unwrap();
    let mine = (0..29_000).filter(|i| homes.of(Key::of(&format!("f{i}"))) == [7]).count();
    assert!((9_500..10_500).contains(&mine), "{mine}");
}

/// Traffic by shard with the first `told` functions told, by Zipf's law. A spread function's calls are drawn
/// among its shards.
fn traffic(shards: u32, told: usize, exponent: f64) -> (Vec<f64>, usize) {
    traffic_of(shards, told, &zipf(FUNCTIONS, exponent))
}

fn traffic_of(shards: u32, told: usize, part: &[f64]) -> (Vec<f64>, usize) {
    let name = |rank: usize| format!("function-{rank}");
    let hot: Vec<HotFunction> =
        (0..told).map(|r| HotFunction { name: name(r), calls: part[r] * CALLS, spread: None }).collect();
    let homes = HomeShards::new(&division(shards), CALLS, &hot).unwrap();
    let mut traffic = vec![0.0; shards as usize];
    let mut spread = 0;
    for (rank, part) in part.iter().enumerate() {
        let shards = homes.of(Key::of(&name(rank)));
        spread += usize::from(shards.len() > 1);
        shards.iter().for_each(|s| traffic[*s as usize] += part / shards.len() as f64);
    }
    (traffic, spread)
}

/// 170,000 functions by Zipf's law; those above a quarter of a shard's mean are spread as they are told. With
/// exponent 1 the first has a thirteenth of all calls, with 1.1 an eighth, with 1.5 (most called less than
/// once a minute) over a third.
#[test]
fn traffic_of_functions_at_the_letters_size() {
    for (exponent, told) in [(1.0, 1_000), (1.1, 1_000), (1.5, 1_000)] {
        let (traffic, spread) = traffic(300, told, exponent);
        let worst = worst(&traffic);
        println!("exponent {exponent}, {told} told, {spread} spread: {worst:.3} of the mean at most");
        assert!(worst <= 1.25, "{worst}");
    }
}

/// Nothing told: the first function alone is many times the mean of a shard.
#[test]
fn without_told_traffic_the_bound_is_not_met() {
    let (traffic, spread) = traffic(300, 0, 1.0);
    assert_eq!(spread, 0);
    println!("nothing told: {:.1}", worst(&traffic));
    assert!(worst(&traffic) > 10.0);
}

/// Where no function exceeds its shard's mean, and only a few of the largest are told.
#[test]
fn few_shards_with_no_function_above_the_mean() {
    let (traffic, _) = traffic(12, 60, 1.0);
    println!("12 shards, 60 told: {:.3}", worst(&traffic));
    assert!(worst(&traffic) <= 1.25, "{}", worst(&traffic));
}

/// One function with a tenth of all calls, told as the others are. In classes of sizes that begin anywhere, and not at a quarter of a
/// shard's mean, it was 1.27.
#[test]
fn one_function_with_a_tenth_of_all_calls() {
    let mut part = zipf(FUNCTIONS, 1.0);
    let others = 1.0 - part[0];
    part.iter_mut().skip(1).for_each(|p| *p *= 0.9 / others);
    part[0] = 0.1;
    let (traffic, _) = traffic_of(300, 1_000, &part);
    println!("a function with a tenth: {:.3} of the mean at most", worst(&traffic));
    assert!(worst(&traffic) <= 1.25, "{}", worst(&traffic));
}

/// How many a shard has, emulated systems among them, and how many shards a member has, at most and at least.
fn spans(list: &[Member]) -> [usize; 4] {
    let (all, _) = Assignment::of(&division(300), list.iter().copied());
    let of_shard: Vec<usize> = (0..300).map(|s| all.of_shard(s).len()).collect();
    let shards: Vec<usize> = list.iter().map(|m| all.shards(m.key).len()).collect();
    println!("most shards of a member {:?}", shards.iter().max());
    let beside = shards.iter().sum::<usize>() - list.len();
    println!(
        "{} members: {:?} a shard, {beside} stand in",
        list.len(),
        (of_shard.iter().min(), of_shard.iter().max())
    );
    [of_shard.iter().min(), of_shard.iter().max(), shards.iter().max(), Some(&beside)].map(|n| *n.unwrap())
}

/// 24 front ends and 100 workers are the mean; few stand in.
#[test]
fn every_shard_has_its_part() {
    let [few, many, shards, beside] = spans(&even("f", 7_200, 7));
    assert!(few >= 22 && many <= 31 && shards <= 6 && beside <= 1_500, "{few} {many} {shards} {beside}");
    let [few, many, shards, beside] = spans(&even("w", 30_000, 7));
    assert!(few >= 85 && many <= 125 && shards <= 6 && beside <= 1_800, "{few} {many} {shards} {beside}");
}

/// Front ends as they own by a list: hardly one has a second shard beside its own, and then its calls are at most three times the mean,
/// while those of a front end without are at most twice. With emulated systems up to 7/8 of a share 972 had two to four, and the busiest 464 calls a second.
#[test]
fn no_front_end_has_many_times_the_mean() {
    let all = even("front-end", 7_200, 7);
    let known = all[1..].iter().map(|m| FrontEnd { member: *m, serves: (1, 1) });
    let known = FrontEnds::of(&Divisions::only(division(300)), all[0], known);
    let front_ends = known.served().next().unwrap().1;
    let (traffic, _) = traffic(300, 1_000, 1.0);
    let each = |s: u32| traffic[s as usize] * CALLS / front_ends.of_shard(s).len() as f64;
    let (mut beside, mut alone, mut standing_in) = (0, 0.0f64, 0.0f64);
    for member in &all {
        let shards = front_ends.shards(member.key);
        let calls = shards.iter().map(|s| each(*s)).sum();
        match shards.len() {
            1 => alone = alone.max(calls),
            2 => (beside, standing_in) = (beside + 1, standing_in.max(calls)),
            many => panic!("{many} shards"),
        }
    }
    println!(
        "{beside} stand in, with {standing_in:.0} calls a second at most, the others {alone:.0}; mean 122"
    );
    let mean = CALLS / 7_200.0;
    assert!(
        beside <= 150 && alone <= 2.0 * mean && standing_in <= 3.0 * mean,
        "{beside} {alone} {standing_in}"
    );
}
