//! No shard without somebody in two zones where there are two; zones that go, shards that drain, cuts between
//! regions.

mod common;

use common::{division, drawn, even, front_ends, homes, rng};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;
use stagehoist_sharding::{
    max_ranked, max_serving, ranked, Assignment, Division, Divisions, FrontEnd, FrontEnds, Member,
    MAX_MEMBERS,
};
use std::collections::{BTreeMap, BTreeSet};

fn zones(list: &[Member]) -> usize {
    list.iter().map(|m| m.zone).collect::<BTreeSet<u16>>().len()
}

/// Every shard has members in every zone that has any, and every member has a home.
fn covered(all: &Assignment, division: &Division, list: &[Member]) {
    for shard in 0..division.shards() {
        assert_eq!(all.zones_of(shard).len(), zones(list), "shard {shard}");
    }
    for member in list {
        let shards = all.shards(member.key);
        assert!(!shards.is_empty());
        assert!(shards.iter().all(|s| all.of_shard(*s).contains(&member.key)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(36), ..ProptestConfig::default()
    })]

    /// While members come and go, down to the last one of a zone and of all.
    #[test]
    fn each_shard_is_covered_in_each_zone(
        seed in any::<u64>(), n in 1u32..120, shards in 1u32..60, zones in 1u16..6,
    ) {
        let division = division(shards);
        let mut list = drawn("m", n, zones, seed);
        let mut rng = rng(seed);
        let (mut all, _) = Assignment::of(&division, list.clone());
        covered(&all, &division, &list);
        while list.len() > 1 {
            let out = list.swap_remove(rng.random_range(0..list.len()));
            all.remove(out.key);
            covered(&all, &division, &list);
        }
        all.remove(list[0].key);
        prop_assert!(all.is_empty() && (0..shards).all(|s| all.of_shard(s).is_empty()));
    }

    /// What a list says of one zone changes nothing in another: old lists, both sides of a cut, and its
    /// healing.
    #[test]
    fn zones_are_divided_apart(seed in any::<u64>(), n in 8u32..200, shards in 1u32..30) {
        let division = division(shards);
        let list = drawn("m", n, 4, seed);
        let here = |m: &&Member| m.zone < 2;
        let (whole, _) = Assignment::of(&division, list.clone());
        let near: Vec<Member> = list.iter().filter(here).copied().collect();
        let far: Vec<Member> = list.iter().filter(|m| !here(m)).copied().collect();
        // One side sees the other's members gone, one by one, and come back in another order.
        let mut cut = whole.clone();
        for member in &far {
            let moves = cut.remove(member.key);
            prop_assert!(moves.iter().all(|m| m.from != m.to && far.iter().any(|f| f.key == m.key)));
            prop_assert_eq!(homes(&cut, &near), homes(&whole, &near));
        }
        covered(&cut, &division, &near);
        for member in far.iter().rev() {
            cut.insert(*member).unwrap();
            prop_assert_eq!(homes(&cut, &near), homes(&whole, &near));
        }
        prop_assert_eq!(homes(&cut, &list), homes(&whole, &list));
    }
}

/// A zone gone with all its workers: nobody of the others moves, and each shard still has workers.
#[test]
fn a_zone_goes_with_all_its_workers() {
    let division = division(300);
    let list = even("w", 30_000, 7);
    let (mut all, _) = Assignment::of(&division, list.iter().copied());
    let rest: Vec<Member> = list.iter().filter(|m| m.zone != 3).copied().collect();
    let before = homes(&all, &rest);
    for member in list.iter().filter(|m| m.zone == 3) {
        let moves = all.remove(member.key);
        assert!(moves.iter().all(|m| !before.contains_key(&m.key)));
    }
    assert_eq!(homes(&all, &rest), before);
    covered(&all, &division, &rest);
}

/// All workers of a shard drain, one after the other: others take their places, at no time is the shard
/// without.
#[test]
fn a_shard_all_of_whose_workers_drain() {
    let division = division(20);
    let mut list = drawn("w", 400, 3, 7);
    let (mut all, _) = Assignment::of(&division, list.iter().copied());
    let of_shard = all.of_shard(11);
    for key in &of_shard {
        all.remove(*key);
        list.retain(|m| m.key != *key);
        assert_eq!(all.zones_of(11).len(), 3);
    }
    let after = all.of_shard(11);
    assert!(after.iter().all(|k| !of_shard.contains(k)));
    let mean = list.len() as f64 / 20.0;
    println!("a drained shard has {} members again, the mean is {mean:.1}", after.len());
    assert!(after.len() as f64 >= 0.8 * mean, "{} of {mean}", after.len());
    covered(&all, &division, &list);
}

/// Front ends that each have a list of their own, up to some changes old: every shard is owned in two zones
/// by front ends that live. Whoever a list leaves out, its own front end counts itself.
#[test]
fn lists_that_are_old_leave_no_queue_alone() {
    let divisions = Divisions::only(division(300));
    let all = even("f", 7_200, 7);
    // 20 died and 20 came of late; each front end knows of a part of that.
    let (dead, new) = (&all[..20], &all[20..40]);
    let mut owners = vec![BTreeSet::new(); 300];
    for seed in 0..16 {
        let mut rng = rng(seed);
        let mut list = all[40..].to_vec();
        list.extend(dead.iter().chain(new).filter(|_| rng.random_bool(0.5)));
        let known = front_ends(&list, (1, 1));
        // Front ends with the same list agree, so one computation tells of all of them.
        let seen = FrontEnds::of(&divisions, all[40], known);
        let (_, assignment) = seen.served().next().unwrap();
        for member in all[20..].iter().skip(seed as usize).step_by(16) {
            assignment.shards(member.key).into_iter().for_each(|s| {
                owners[s as usize].insert(member.zone);
            });
        }
    }
    assert!(owners.iter().all(|zones| zones.len() >= 2), "{owners:?}");
}

#[test]
fn one_that_no_list_names_owns_its_part() {
    let divisions = Divisions::only(division(8));
    let all = even("f", 24, 2);
    let own = all[5];
    let without: Vec<FrontEnd> =
        front_ends(&all, (1, 1)).into_iter().filter(|f| f.member.key != own.key).collect();
    let alone = FrontEnds::of(&divisions, own, []);
    assert_eq!(alone.queues(), (0..8).collect::<Vec<_>>());
    let named = FrontEnds::of(&divisions, own, front_ends(&all, (1, 1)));
    let mut unnamed = FrontEnds::of(&divisions, own, without);
    assert_eq!(named.own_key(1), unnamed.own_key(1));
    assert!(!named.own_key(1).is_empty() && named.own_key(2).is_empty());
    // The death of others is made up for as soon as the list tells it.
    for other in all.iter().filter(|m| m.key != own.key) {
        unnamed.changed(other.key, None);
    }
    assert_eq!(unnamed.queues(), alone.queues());
    assert!(!unnamed.changed(own.key, None));
}

/// Without a list, by number: each shard has two owners at least.
#[test]
fn by_number_alone() {
    for (shards, of) in [(8, 24), (8, 3), (1, 1), (300, 7_200), (7, 2), (5, 9)] {
        let division = division(shards);
        let mut owners = vec![0; shards as usize];
        for rank in 0..of {
            ranked(&division, rank, of).unwrap().into_iter().for_each(|s| owners[s as usize] += 1);
        }
        assert!(owners.iter().all(|n| *n >= 2.min(of)), "{shards} {of}: {owners:?}");
        assert!(owners.iter().all(|n| *n <= max_ranked(&division, of)), "{shards} {of}: {owners:?}");
    }
}

/// Over the bound the same are left out everywhere, and service goes on with the others.
#[test]
fn a_list_over_its_bound() {
    let list = even("w", MAX_MEMBERS as u32 + 100, 3);
    let reversed: Vec<Member> = list.iter().rev().copied().collect();
    let (one, left_out) = Assignment::of(&division(5), list.clone());
    let (mut other, _) = Assignment::of(&division(5), reversed);
    assert_eq!((left_out, one.len()), (100, MAX_MEMBERS));
    assert_eq!(homes(&one, &list), homes(&other, &list));
    assert!(other.insert(Member::new("one more", 0, 1.0)).is_err());
    assert_eq!(homes(&one, &list), homes(&other, &list));
}

/// The bound by which is divided is never less than what lists give, of any part of the fleet.
#[test]
fn no_shard_has_more_front_ends_than_the_bound() {
    for (shards, weights) in [(8, BTreeMap::new()), (30, BTreeMap::from([(4, 5)])), (3, BTreeMap::new())] {
        let division = Division::weighted(shards, 1, weights).unwrap();
        let members = even("f", 140, 3);
        for few in (1..=140).step_by(3) {
            let (all, _) = Assignment::of(&division, members[..few].iter().copied());
            for shard in 0..shards {
                let most = max_serving(&division, shard, &[(0, 47), (1, 47), (2, 46)]);
                assert!(all.of_shard(shard).len() as u32 <= most, "{few} in {shards}");
            }
        }
        assert_eq!(max_serving(&division, shards, &[(0, 47)]), 0);
    }
}
