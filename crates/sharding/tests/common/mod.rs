//! Seeded random fleets, and simple hashing schemes for comparison.
#![allow(dead_code, reason = "each test file uses some of the items")]

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist_sharding::{Assignment, Division, FrontEnd, Key, Member, Shard};
use std::collections::BTreeMap;

pub fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn division(shards: u32) -> Division {
    Division::new(shards, 1).unwrap()
}

/// Returns `n` members of the usual size, spread evenly over `zones` zones.
pub fn even(what: &str, n: u32, zones: u16) -> Vec<Member> {
    (0..n).map(|i| Member::new(&format!("{what}-{i}"), (i % u32::from(zones)) as u16, 1.0)).collect()
}

/// Returns `n` random members with sizes from 0.5 to 2, in zones of unequal size.
pub fn drawn(what: &str, n: u32, zones: u16, seed: u64) -> Vec<Member> {
    let mut rng = rng(seed);
    let size = [0.5, 1.0, 1.0, 1.0, 1.5, 2.0];
    let mut one = |i| {
        let zone = rng.random_range(0..zones).min(rng.random_range(0..zones));
        Member::new(&format!("{what}-{seed}-{i}"), zone, size[rng.random_range(0..size.len())])
    };
    (0..n).map(&mut one).collect()
}

pub fn front_ends(members: &[Member], serves: (u32, u32)) -> Vec<FrontEnd> {
    members.iter().map(|m| FrontEnd { member: *m, serves }).collect()
}

pub fn homes(assignment: &Assignment, members: &[Member]) -> BTreeMap<Key, Option<Shard>> {
    members.iter().map(|m| (m.key, assignment.home(m.key))).collect()
}

/// Returns the number of members that are in both maps with different homes.
pub fn moved(a: &BTreeMap<Key, Option<Shard>>, b: &BTreeMap<Key, Option<Shard>>) -> usize {
    a.iter().filter(|(k, home)| b.get(k).is_some_and(|other| other != *home)).count()
}

/// Returns each function's fraction of the traffic by Zipf's law, in descending order.
pub fn zipf(functions: usize, exponent: f64) -> Vec<f64> {
    let raw: Vec<f64> = (1..=functions).map(|rank| (rank as f64).powf(-exponent)).collect();
    let all: f64 = raw.iter().sum();
    raw.into_iter().map(|x| x / all).collect()
}

/// Hashes a name to a shard by remainder, for comparison.
pub fn modulo(name: &str, shards: u32) -> Shard {
    let fnv = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    (name.bytes().fold(0xcbf2_9ce4_8422_2325, fnv) % u64::from(shards)) as Shard
}
