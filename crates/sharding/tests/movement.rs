//! A change of one member or shard moves about the minimum number of members, and at most a fixed factor of it.

mod common;

use common::{division, drawn, even, homes, modulo, moved};
use stagehoist_sharding::{Assignment, HomeShards, HotFunction, Key, Member, Move};
use std::collections::BTreeSet;

/// Maximum number of other members that one change may move, for any fleet.
const MAX_MOVED: usize = 24;
/// Maximum mean number of other members that one change may move.
const MAX_MEAN_MOVED: f64 = 2.0;
/// Maximum fraction of members that adding a shard may move, as a multiple of the minimum 1/(S+1).
const MAX_SHARD_CHANGE_FACTOR: f64 = 2.5;

/// Removes a tenth of the list one by one and adds it again one by one. Returns the mean and the maximum number
/// of other members moved by a change.
fn remove_and_add(list: &[Member], shards: u32) -> (f64, usize) {
    let (mut all, _) = Assignment::of(&division(shards), list.iter().copied());
    let removed: Vec<Member> = list.iter().step_by(10).copied().collect();
    let (mut sum, mut max_moved) = (0, 0);
    let mut count = |key: Key, moves: Vec<Move>| {
        let others_moved = moves.iter().filter(|m| m.key != key).count();
        sum += others_moved;
        max_moved = max_moved.max(others_moved);
    };
    removed.iter().for_each(|m| count(m.key, all.remove(m.key)));
    removed.iter().for_each(|m| count(m.key, all.insert(*m).unwrap()));
    (sum as f64 / (2 * removed.len()) as f64, max_moved)
}

#[test]
fn adding_or_removing_one_member() {
    for (list, shards) in [
        (even("w", 30_000, 7), 300),
        (even("f", 7_200, 7), 300),
        (drawn("w", 6_000, 5, 1), 40),
        (even("w", 24, 2), 8),
        (even("w", 400, 1), 100),
    ] {
        let (mean, max_moved) = remove_and_add(&list, shards);
        println!("{} in {shards}: {mean:.2} moved beside the changed one, {max_moved} at most", list.len());
        assert!(
            mean <= MAX_MEAN_MOVED && max_moved <= MAX_MOVED,
            "{} in {shards}: {mean} {max_moved}",
            list.len()
        );
    }
}

/// Counts substitutes too: all pairs of member and shard that one change adds or removes, without those of the
/// changed member.
#[test]
fn substitutes_move_little() {
    for (list, shards) in [(even("f", 7_200, 7), 300), (even("f", 24, 2), 8), (drawn("w", 2_000, 5, 1), 40)] {
        let (mut all, _) = Assignment::of(&division(shards), list.iter().copied());
        let pairs = |all: &Assignment, without: Key| -> BTreeSet<(u32, Key)> {
            let of = |s| all.of_shard(s).into_iter().filter(move |k| *k != without).map(move |k| (s, k));
            (0..shards).flat_map(of).collect()
        };
        let removed: Vec<Member> = list.iter().step_by((list.len() / 100).max(1)).copied().collect();
        let (mut sum, mut max_moved) = (0, 0);
        for member in &removed {
            let before = pairs(&all, member.key);
            all.remove(member.key);
            let changed = before.symmetric_difference(&pairs(&all, member.key)).count();
            sum += changed;
            max_moved = max_moved.max(changed);
        }
        let mean = sum as f64 / removed.len() as f64;
        println!(
            "{} in {shards}: {mean:.2} pairs of member and shard changed, {max_moved} at most",
            list.len()
        );
        assert!(mean <= 2.0 * MAX_MEAN_MOVED + 2.0 && max_moved <= 2 * MAX_MOVED, "{mean} {max_moved}");
    }
}

#[test]
fn one_shard_more_or_less() {
    for (n, shards) in [(30_000, 300), (7_200, 300), (3_000, 8)] {
        let list = even("w", n, 7);
        let of = |shards| homes(&Assignment::of(&division(shards), list.iter().copied()).0, &list);
        let part = moved(&of(shards), &of(shards + 1)) as f64 / f64::from(n);
        let min_part = 1.0 / f64::from(shards + 1);
        println!("{n}, {shards} shards and one: {:.2} of the minimum", part / min_part);
        assert!(part <= MAX_SHARD_CHANGE_FACTOR * min_part, "{n} {shards}: {part}");
    }
}

/// When a shard is added, functions without configured traffic move only to the new shard, and only the minimum
/// fraction of them. With hashing by remainder nearly all would move.
#[test]
fn functions_when_a_shard_is_added() {
    let (old, new) = (division(300), division(301));
    let (old, new) = (HomeShards::new(&old, 0.0, &[]).unwrap(), HomeShards::new(&new, 0.0, &[]).unwrap());
    let names: Vec<String> = (0..170_000).map(|i| format!("function-{i}")).collect();
    let (mut moved, mut by_remainder) = (0, 0);
    for name in &names {
        let (a, b) = (old.of(Key::of(name)), new.of(Key::of(name)));
        assert!(a == b || b == [300], "{name}: {a:?} {b:?}");
        moved += usize::from(a != b);
        by_remainder += usize::from(modulo(name, 300) != modulo(name, 301));
    }
    println!("{moved} of 170000 move, by remainder {by_remainder}");
    assert!((450..700).contains(&moved), "{moved}");
    assert!(by_remainder as f64 > MAX_SHARD_CHANGE_FACTOR * 170_000.0 / 301.0, "{by_remainder}");
}

fn hot(changed: Option<usize>) -> Vec<HotFunction> {
    let calls = |i: usize| 70_000.0 / (i + 1) as f64 * if changed == Some(i) { 1.1 } else { 1.0 };
    (0..1_000).map(|i| HotFunction { name: format!("f{i}"), calls: calls(i), spread: None }).collect()
}

/// Returns the number of hot functions that lost homes, each counted by the fraction of its homes lost.
fn lost_homes(before: &HomeShards, after: &HomeShards) -> f64 {
    let lost = |f: usize| {
        let key = Key::of(&format!("f{f}"));
        let (a, b) = (before.of(key), after.of(key));
        a.iter().filter(|s| !b.contains(s)).count() as f64 / a.len() as f64
    };
    (0..1_000).map(lost).sum()
}

/// When one hot function is called a tenth more often, usually nothing moves. If its size or the sum crosses a
/// rounding step, other functions move; the more often the function is called, the more of them.
#[test]
fn one_hot_function_changes() {
    let division = division(300);
    let of = |changed| HomeShards::new(&division, 880_000.0, &hot(changed)).unwrap();
    let before = of(None);
    let lost: Vec<f64> = (0..1_000).step_by(10).map(|i| lost_homes(&before, &of(Some(i)))).collect();
    let (mean, unchanged) = (lost.iter().sum::<f64>() / 100.0, lost.iter().filter(|g| **g < 1e-9).count());
    let max_moved = lost.iter().fold(0.0, |a: f64, b| a.max(*b));
    println!(
        "one of 1000 hot functions called 10% more: {mean:.2} moved, {max_moved:.0} at most, none in {unchanged} of 100"
    );
    assert!(mean <= 20.0 && unchanged >= 60, "{mean} {unchanged}");
}

/// When a shard is added, more than the minimum fraction of hot functions moves, as the limits of all shards
/// change slightly.
#[test]
fn hot_functions_when_a_shard_is_added() {
    let of = |shards| HomeShards::new(&division(shards), 880_000.0, &hot(None)).unwrap();
    for shards in [8, 100, 300] {
        let lost = lost_homes(&of(shards), &of(shards + 1));
        println!("{shards} shards and one: {lost:.1} of 1000 hot functions moved");
        assert!(lost <= 0.25 * 1_000.0, "{lost}");
    }
}
