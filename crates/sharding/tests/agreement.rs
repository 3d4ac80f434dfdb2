//! The same lists give the same assignment, independently of the order of entries and of earlier changes.

mod common;

use common::{division, drawn, rng};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, RngExt};
use stagehoist_sharding::{Assignment, Division, HomeShards, HotFunction, Key, Member};
use std::collections::BTreeMap;

fn shuffled<T>(mut list: Vec<T>, rng: &mut impl Rng) -> Vec<T> {
    (1..list.len()).rev().for_each(|i| list.swap(i, rng.random_range(0..=i)));
    list
}

fn assert_same(a: &Assignment, b: &Assignment, division: &Division) {
    for shard in 0..division.shards() {
        assert_eq!(a.of_shard(shard), b.of_shard(shard), "shard {shard}");
        assert_eq!(a.load(shard), b.load(shard), "shard {shard}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96, failure_persistence: None, rng_seed: RngSeed::Fixed(36), ..ProptestConfig::default()
    })]

    /// Compares a full list with a shuffled one and with single changes that add and remove further members.
    #[test]
    fn order_of_changes_makes_no_difference(
        seed in any::<u64>(), n in 0u32..220, shards in 1u32..40, zones in 1u16..8, weigh in any::<bool>(),
    ) {
        let weights = BTreeMap::from([(shards / 2, if weigh { 7 } else { 1 })]);
        let division = Division::weighted(shards, 3, weights).unwrap();
        let mut rng = rng(seed);
        let (list, others) = (drawn("w", n, zones, seed), drawn("x", n / 2, zones, seed));
        let (full, left_out) = Assignment::of(&division, list.clone());
        prop_assert_eq!(left_out, 0);
        assert_same(&full, &Assignment::of(&division, shuffled(list.clone(), &mut rng)).0, &division);

        let mut grown = Assignment::new(&division);
        let coming: Vec<Member> = list.iter().chain(&others).copied().collect();
        for member in shuffled(coming, &mut rng) {
            // Inserts the member with another size and zone first.
            let early = Member::keyed(member.key, rng.random_range(0..zones), rng.random_range(0.1..4.0));
            grown.insert(early).unwrap();
            grown.insert(member).unwrap();
        }
        for member in shuffled(others, &mut rng) {
            grown.remove(member.key);
        }
        assert_same(&full, &grown, &division);
        prop_assert_eq!(grown.len(), n as usize);
    }

    /// Batches of changes, to few or to most members of a zone, give the same assignment as the full list of the
    /// resulting members.
    #[test]
    fn batches_and_a_full_list_give_the_same_assignment(
        seed in any::<u64>(), n in 1u32..400, shards in 1u32..40, zones in 1u16..8,
    ) {
        let division = division(shards);
        let mut rng = rng(seed);
        let mut members: BTreeMap<Key, Member> = BTreeMap::new();
        let mut updated = Assignment::new(&division);
        for round in 0..8 {
            // Probability that a member changes. Every third round changes members of one zone only.
            let part = [0.9, 0.01, 0.05, 0.2, 0.01, 0.6, 0.02, 1.0][round];
            let only = (round % 3 == 0).then(|| rng.random_range(0..zones));
            let mut changes: BTreeMap<Key, Option<Member>> = BTreeMap::new();
            for member in drawn("w", n, zones, seed) {
                let zone = members.get(&member.key).map_or(member.zone, |m| m.zone);
                if !rng.random_bool(part) || only.is_some_and(|z| z != zone) {
                    continue;
                }
                let other = Member::keyed(member.key, rng.random_range(0..zones), rng.random_range(0.1..4.0));
                let now = [None, Some(member), Some(other)][rng.random_range(0..3)];
                changes.insert(member.key, now);
            }
            prop_assert_eq!(updated.apply(&changes), 0);
            for (key, now) in changes {
                match now {
                    Some(member) => drop(members.insert(key, member)),
                    None => drop(members.remove(&key)),
                }
            }
            let (full, left_out) = Assignment::of(&division, members.values().copied());
            prop_assert_eq!((left_out, updated.len()), (0, members.len()));
            assert_same(&full, &updated, &division);
            let zones = |a: &Assignment| (0..shards).map(|s| a.zones_of(s)).collect::<Vec<_>>();
            prop_assert_eq!(zones(&full), zones(&updated));
        }
    }

    /// The reported moves are exactly the homes that changed.
    #[test]
    fn moves_are_reported_completely(seed in any::<u64>(), n in 1u32..150, shards in 1u32..20) {
        let division = division(shards);
        let list = drawn("w", n, 3, seed);
        let (mut now, _) = Assignment::of(&division, list.clone());
        for member in list.iter().take(20) {
            for step in 0..2 {
                let before: Vec<_> = list.iter().map(|m| (m.key, now.home(m.key))).collect();
                let moves = if step == 0 { now.remove(member.key) } else { now.insert(*member).unwrap() };
                let mut expected = BTreeMap::new();
                for (key, from) in before.into_iter().filter(|(k, from)| now.home(*k) != *from) {
                    expected.insert(key, (from, now.home(key)));
                }
                let reported: BTreeMap<Key, _> = moves.iter().map(|m| (m.key, (m.from, m.to))).collect();
                prop_assert_eq!(reported, expected);
            }
        }
    }
}

/// The order of hot functions in the settings doesn't affect the homes of functions.
#[test]
fn the_order_of_settings_makes_no_difference() {
    let mut rng = rng(5);
    for shards in [1, 8, 30] {
        let hot: Vec<HotFunction> = (0..60)
            .map(|i| HotFunction { name: format!("f{i}"), calls: 900.0 / f64::from(i + 1), spread: None })
            .collect();
        let one = HomeShards::new(&division(shards), 6_000.0, &hot).unwrap();
        let other = HomeShards::new(&division(shards), 6_000.0, &shuffled(hot, &mut rng)).unwrap();
        for i in 0..500 {
            let key = Key::of(&format!("f{i}"));
            assert_eq!(one.of(key), other.of(key));
            assert!(one.of(key).contains(&one.for_call(key, i)));
        }
    }
}

/// The assignment must not change between versions: during an upgrade, front ends of two versions would disagree
/// on the shards.
#[test]
fn assignments_are_the_same_in_every_version() {
    let division = Division::new(300, 1).unwrap();
    let functions = HomeShards::new(&division, 0.0, &[]).unwrap();
    let of = |name: &str| functions.of(Key::of(name))[0];
    let list = (0..90).map(|i| Member::new(&format!("worker-{i}"), i % 3, f64::from(1 + i % 2)));
    let small = Division::weighted(8, 1, BTreeMap::from([(2, 3)])).unwrap();
    let (workers, _) = Assignment::of(&small, list);
    let loads: Vec<f64> = (0..8).map(|s| workers.load(s)).collect();
    assert_eq!(["rare-000", "rare-001", "free-times", ""].map(of), GOLDEN_FUNCTIONS);
    assert_eq!(loads, GOLDEN_LOADS);
}

const GOLDEN_FUNCTIONS: [u32; 4] = [60, 44, 106, 145];
const GOLDEN_LOADS: [f64; 8] = [12.0, 14.0, 46.0, 14.0, 13.0, 16.0, 8.0, 12.0];
