//! Every shard has members in every zone that has members, also when zones fail, shards drain or regions are
//! partitioned.

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

/// Asserts that every shard has members in every zone that has members, and that every member has a home.
fn assert_covered(all: &Assignment, division: &Division, list: &[Member]) {
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

    /// Holds while members are removed one by one, down to the last of a zone and of the list.
    #[test]
    fn each_shard_is_covered_in_each_zone(
        seed in any::<u64>(), n in 1u32..120, shards in 1u32..60, zones in 1u16..6,
    ) {
        let division = division(shards);
        let mut list = drawn("m", n, zones, seed);
        let mut rng = rng(seed);
        let (mut all, _) = Assignment::of(&division, list.clone());
        assert_covered(&all, &division, &list);
        while list.len() > 1 {
            let removed = list.swap_remove(rng.random_range(0..list.len()));
            all.remove(removed.key);
            assert_covered(&all, &division, &list);
        }
        all.remove(list[0].key);
        prop_assert!(all.is_empty() && (0..shards).all(|s| all.of_shard(s).is_empty()));
    }

    /// Changes to one zone's members don't affect another zone: with outdated lists, during a partition and after
    /// it has healed.
    #[test]
    fn zones_are_divided_apart(seed in any::<u64>(), n in 8u32..200, shards in 1u32..30) {
        let division = division(shards);
        let list = drawn("m", n, 4, seed);
        let here = |m: &&Member| m.zone < 2;
        let (whole, _) = Assignment::of(&division, list.clone());
        let near: Vec<Member> = list.iter().filter(here).copied().collect();
        let far: Vec<Member> = list.iter().filter(|m| !here(m)).copied().collect();
        // One side removes the members of the other one by one, and adds them again in another order.
        let mut cut = whole.clone();
        for member in &far {
            let moves = cut.remove(member.key);
            prop_assert!(moves.iter().all(|m| m.from != m.to && far.iter().any(|f| f.key == m.key)));
            prop_assert_eq!(homes(&cut, &near), homes(&whole, &near));
        }
        assert_covered(&cut, &division, &near);
        for member in far.iter().rev() {
            cut.insert(*member).unwrap();
            prop_assert_eq!(homes(&cut, &near), homes(&whole, &near));
        }
        prop_assert_eq!(homes(&cut, &list), homes(&whole, &list));
    }
}

/// When a zone fails with all its workers, no worker of another zone moves, and each shard still has workers.
#[test]
fn zone_failure_moves_no_other_worker() {
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
    assert_covered(&all, &division, &rest);
}

/// While all workers of a shard drain one after the other, other workers replace them, and the shard has workers in
/// each zone at any time.
#[test]
fn drained_shard_is_refilled() {
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
    assert_covered(&all, &division, &list);
}

/// With lists that differ between front ends by recent changes, every shard is owned by live front ends in two
/// zones. A front end counts itself even if its list doesn't include it.
#[test]
fn outdated_lists_leave_no_queue_unserved() {
    let divisions = Divisions::only(division(300));
    let all = even("f", 7_200, 7);
    // 20 front ends failed and 20 joined recently; each list includes some of these changes.
    let (dead, new) = (&all[..20], &all[20..40]);
    let mut owners = vec![BTreeSet::new(); 300];
    for seed in 0..16 {
        let mut rng = rng(seed);
        let mut list = all[40..].to_vec();
        list.extend(dead.iter().chain(new).filter(|_| rng.random_bool(0.5)));
        let known = front_ends(&list, (1, 1));
        // Front ends with the same list compute the same assignment, so one computation covers all of them.
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
fn unlisted_front_end_owns_its_shards() {
    let divisions = Divisions::only(division(8));
    let all = even("f", 24, 2);
    let own = all[5];
    let without: Vec<FrontEnd> =
        front_ends(&all, (1, 1)).into_iter().filter(|f| f.member.key != own.key).collect();
    let alone = FrontEnds::of(&divisions, own, []);
    assert_eq!(alone.queues(), (0..8).collect::<Vec<_>>());
    let named = FrontEnds::of(&divisions, own, front_ends(&all, (1, 1)));
    let mut unnamed = FrontEnds::of(&divisions, own, without);
    assert_eq!(named.owned_shards(1), unnamed.owned_shards(1));
    assert!(!named.owned_shards(1).is_empty() && named.owned_shards(2).is_empty());
    // The shards of failed front ends are taken over as soon as the list is updated.
    for other in all.iter().filter(|m| m.key != own.key) {
        unnamed.changed(other.key, None);
    }
    assert_eq!(unnamed.queues(), alone.queues());
    assert!(!unnamed.changed(own.key, None));
}

/// Without a list, shards are owned by rank, and each has at least two owners.
#[test]
fn ownership_by_rank() {
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

/// Of a list beyond the maximum length the same members are left out in any order, and the others stay assigned.
#[test]
fn list_beyond_the_maximum() {
    let list = even("w", MAX_MEMBERS as u32 + 100, 3);
    let reversed: Vec<Member> = list.iter().rev().copied().collect();
    let (one, left_out) = Assignment::of(&division(5), list.clone());
    let (mut other, _) = Assignment::of(&division(5), reversed);
    assert_eq!((left_out, one.len()), (100, MAX_MEMBERS));
    assert_eq!(homes(&one, &list), homes(&other, &list));
    assert!(other.insert(Member::new("one more", 0, 1.0)).is_err());
    assert_eq!(homes(&one, &list), homes(&other, &list));
}

/// The divisor is never less than the number of front ends of a shard, for any subset of the fleet.
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
