//! Compares ways to divide a fleet at the required size. Run with
//! `cargo run --release -p stagehoist-sharding --example weigh`. Computes expected values over pseudorandom ranks,
//! with the same result in every run; the assumptions are in the constants.

use stagehoist_sharding::{Assignment, Division, HomeShards, HotFunction, Key, Member};

const FRONT_ENDS: f64 = 7_200.0;
const WORKERS: usize = 30_000;
const INSTANCES: f64 = 610_000.0;
const FUNCTIONS: usize = 170_000;
const CALLS: f64 = 880_000.0;
const SHARDS: u32 = 300;
/// Assumptions: mean run time of a call, utilization of copies, idle timeout of connections (times in seconds), and
/// workers replaced per day.
const RUN: f64 = 0.05;
const FILL: f64 = 0.7;
const IDLE: f64 = 60.0;
const REPLACED: f64 = 990.0;
/// Size of a random subset: the number of workers of a shard.
const SUBSET: f64 = WORKERS as f64 / SHARDS as f64;
const RARE: f64 = 1.0 / 60.0;
const DAY: f64 = 86_400.0;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn copies(rate: f64) -> usize {
    ((rate * RUN / FILL).ceil() as usize).max(1)
}

/// Returns the time that an unused copy stays cached at a worker with `slots` slots, by Che's approximation: the
/// expected number of cached copies equals the number of slots. `None` if all copies fit.
fn retention(rates: &[f64], slots: f64) -> Option<f64> {
    let cached = |t: f64| rates.iter().map(|r| 1.0 - (-r * t).exp()).sum::<f64>();
    if rates.len() as f64 <= slots {
        return None;
    }
    let (mut low, mut high) = (0.0, 1e9);
    for _ in 0..100 {
        let middle = (low + high) / 2.0;
        if cached(middle) < slots {
            low = middle
        } else {
            high = middle
        }
    }
    Some(low)
}

/// Returns the fraction of cold starts among calls of rare functions with random subsets. The worker at position
/// `rank` of a function's order is the first in the subset of a fraction
/// `SUBSET / WORKERS * exp(-rank * SUBSET / WORKERS)` of the front ends.
fn cold_in_subsets(rates: &[f64]) -> f64 {
    let share = SUBSET / WORKERS as f64;
    let at = |rank: f64| share * (-rank * share).exp();
    let sampled = 8;
    let mut mean_retention = 0.0;
    for worker in 0..sampled {
        let rank = |f: usize| (mix((f * 64 + worker) as u64) % WORKERS as u64) as f64;
        let here: Vec<f64> = rates.iter().enumerate().map(|(f, r)| r * at(rank(f))).collect();
        mean_retention += retention(&here, INSTANCES / WORKERS as f64).unwrap_or(1e12) / sampled as f64;
    }
    let (mut cold, mut all) = (0.0, 0.0);
    for rate in rates.iter().filter(|r| **r < RARE) {
        for rank in (0..WORKERS).step_by(10) {
            let here = rate * at(rank as f64);
            cold += here * (-here * mean_retention).exp();
            all += here;
        }
    }
    println!("    an unused copy stays cached for {mean_retention:.0} s");
    cold / all
}

/// Returns the calls per second and the number of cached copies of each worker, with agreed homes.
fn homes(rates: &[f64]) -> (Vec<f64>, Vec<usize>) {
    let (mut calls, mut cached) = (vec![0.0; WORKERS], vec![0; WORKERS]);
    for (f, rate) in rates.iter().enumerate() {
        let copies = copies(*rate);
        for copy in 0..copies {
            let at = (mix(f as u64 ^ mix(copy as u64 + 1)) % WORKERS as u64) as usize;
            calls[at] += rate / copies as f64;
            cached[at] += 1;
        }
    }
    (calls, cached)
}

/// Returns the number of open connections and of connections opened per second, to peers called at these rates per
/// second.
fn connections(rates: impl Iterator<Item = f64>) -> (f64, f64) {
    rates.fold((0.0, 0.0), |a, r| (a.0 + 1.0 - (-r * IDLE).exp(), a.1 + r * (-r * IDLE).exp()))
}

/// Returns the fraction of calls of rare functions that are handled by a front end which handled a call of the same
/// function within the hour before, if `front_ends_sharing` front ends share the function's calls.
fn seen(rates: &[f64], front_ends_sharing: f64) -> f64 {
    let rare = || rates.iter().filter(|r| **r < RARE);
    rare().map(|r| r * (1.0 - (-r * 3_600.0 / front_ends_sharing).exp())).sum::<f64>() / rare().sum::<f64>()
}

fn known_in_a_day(rates: &[f64], front_ends_sharing: f64) -> f64 {
    rates.iter().map(|r| 1.0 - (-r * DAY / front_ends_sharing).exp()).sum()
}

fn row(what: &str, cold: f64, seen: f64, connections: (f64, f64), functions: f64, workers: f64) {
    let pairs = functions * workers * 8.0 / 1e6;
    println!(
        "{what}: cold {:.4}%, seen within the hour {:.1}%, connections {:.0}, handshakes {:.1}/s, functions known in a \
         day {functions:.0}, workers {workers:.0}, pairs {pairs:.1} MB",
        100.0 * cold, 100.0 * seen, connections.0, connections.1
    );
}

fn main() {
    for exponent in [1.5, 1.0] {
        let raw: Vec<f64> = (1..=FUNCTIONS).map(|rank| (rank as f64).powf(-exponent)).collect();
        let all: f64 = raw.iter().sum();
        let rates: Vec<f64> = raw.iter().map(|r| CALLS * r / all).collect();
        let rare = rates.iter().filter(|r| **r < RARE).count();
        let calls: f64 = rates.iter().filter(|r| **r < RARE).sum();
        println!(
            "exponent {exponent}: first function {:.1}% of calls, {rare} functions under once a minute, {calls:.0} calls/s of them",
            100.0 * rates[0] / CALLS
        );
        let (at, cached) = homes(&rates);
        let most = cached.iter().max().copied().unwrap_or(0);
        let over: f64 = cached.iter().map(|n| (*n as f64 - INSTANCES / WORKERS as f64).max(0.0)).sum();
        println!("    homes: {most} copies on a worker at most, {over:.0} in all above its slots");
        // A copy is lost with its worker, and the next call is cold. Copies beyond the slots count as always cold.
        let replaced = REPLACED / WORKERS as f64 / DAY;
        let lost: f64 =
            rates.iter().filter(|r| **r < RARE).map(|r| (1.0 - (-r / replaced).exp()) * replaced).sum();
        let agreed = if calls > 0.0 { lost / calls + over / FUNCTIONS as f64 } else { 0.0 };
        let own = CALLS / FRONT_ENDS;
        let to_subset = connections((0..SUBSET as usize).map(|_| own / SUBSET));
        let cold = if calls > 0.0 { cold_in_subsets(&rates) } else { f64::NAN };
        row(
            "random subsets",
            cold,
            seen(&rates, FRONT_ENDS),
            to_subset,
            known_in_a_day(&rates, FRONT_ENDS),
            SUBSET,
        );
        let on_demand = connections(at.iter().map(|c| c / FRONT_ENDS));
        let known = known_in_a_day(&rates, FRONT_ENDS);
        row("agreed homes, whole list", agreed, seen(&rates, FRONT_ENDS), on_demand, known, WORKERS as f64);

        let division = Division::new(SHARDS, 1).expect("a division");
        let list = |what: &str, n: usize| -> Vec<Member> {
            (0..n).map(|i| Member::new(&format!("{what}-{i}"), (i % 7) as u16, 1.0)).collect()
        };
        let workers = Assignment::of(&division, list("w", WORKERS)).0;
        let front_ends = Assignment::of(&division, list("f", FRONT_ENDS as usize)).0;
        let hot: Vec<HotFunction> = (0..1_000)
            .map(|f| HotFunction { name: format!("function-{f}"), calls: rates[f], spread: None })
            .collect();
        let functions = HomeShards::new(&division, CALLS, &hot).expect("homes");
        let (mut of_shard, mut traffic) = (vec![0usize; SHARDS as usize], vec![0.0; SHARDS as usize]);
        for (f, rate) in rates.iter().enumerate() {
            let shards = functions.of(Key::of(&format!("function-{f}")));
            shards.iter().for_each(|s| of_shard[*s as usize] += 1);
            shards.iter().for_each(|s| traffic[*s as usize] += rate / shards.len() as f64);
        }
        let worst = |of: &dyn Fn(u32) -> f64| (0..SHARDS).map(of).fold(0.0, f64::max);
        let in_shard = worst(&|s| workers.of_shard(s).len() as f64);
        let serving = worst(&|s| front_ends.of_shard(s).len() as f64);
        let busiest = worst(&|s| traffic[s as usize] / front_ends.of_shard(s).len() as f64);
        let even = |key: Key| -> f64 {
            workers.shards(key).iter().map(|s| traffic[*s as usize] / workers.of_shard(*s).len() as f64).sum()
        };
        let keys = list("w", WORKERS).into_iter().map(|m| even(m.key));
        let hottest = keys.fold(0.0, f64::max) * WORKERS as f64 / CALLS;
        let by_worker =
            worst(&|s| traffic[s as usize] / workers.of_shard(s).len() as f64) * WORKERS as f64 / CALLS;
        let busiest_shard = worst(&|s| traffic[s as usize]) * f64::from(SHARDS) / CALLS;
        println!(
            "    shards, of the mean: calls {busiest_shard:.3}, calls for each of its workers {by_worker:.3}"
        );
        println!("    busiest worker with several shards if calls are distributed evenly {hottest:.3}; busiest front end {busiest:.0}/s");
        let to_shard = connections((0..in_shard as usize).map(|_| own / in_shard));
        let functions = worst(&|s| of_shard[s as usize] as f64);
        row("shards (largest)", agreed, seen(&rates, serving), to_shard, functions, in_shard);

        // Each call is forwarded to one of two front ends of its function, which know as many workers as a shard has.
        let peers = connections((0..FRONT_ENDS as usize).map(|_| own / FRONT_ENDS));
        let hop = (2.0 * peers.0 + to_subset.0, 2.0 * peers.1 + to_subset.1);
        row("one hop", agreed, seen(&rates, 2.0), hop, 2.0 * FUNCTIONS as f64 / FRONT_ENDS, SUBSET);
    }
}
