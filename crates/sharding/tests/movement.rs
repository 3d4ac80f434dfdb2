//! A change of one moves about its own part, never more than a stated factor of it.

mod common;

use common::{division, drawn, even, homes, modulo, moved};
use stagehoist_sharding::{Assignment, HomeShards, HotFunction, Key, Member, Move};
use std::collections::BTreeSet;

/// Most members that one change may move beside the changed one, whatever the fleet.
const MOST: usize = 24;
/// And on average.
const MEAN: f64 = 2.0;
/// Times the least possible part, 1/(S+1), that another shard may move.
const FACTOR: f64 = 2.5;

/// A tenth of the list goes one by one, and comes back one by one.
fn course(list: &[Member], shards: u32) -> (f64, usize) {
    let (mut all, _) = Assignment::of(&division(shards), list.iter().copied());
    let going: Vec<Member> = list.iter().step_by(10).copied().collect();
    let (mut sum, mut most) = (0, 0);
    let mut count = |key: Key, moves: Vec<Move>| {
        let beside = moves.iter().filter(|m| m.key != key).count();
        sum += beside;
        most = most.max(beside);
    };
    going.iter().for_each(|m| count(m.key, all.remove(m.key)));
    going.iter().for_each(|m| count(m.key, all.insert(*m).unwrap()));
    (sum as f64 / (2 * going.len()) as f64, most)
}

#[test]
fn one_worker_or_front_end_comes_or_goes() {
    for (list, shards) in [
        (even("w", 30_000, 7), 300),
        (even("f", 7_200, 7), 300),
        (drawn("w", 6_000, 5, 1), 40),
        (even("w", 24, 2), 8),
        (even("w", 400, 1), 100),
    ] {
        let (mean, most) = course(&list, shards);
        println!("{} in {shards}: {mean:.2} moved beside the changed one, {most} at most", list.len());
        assert!(mean <= MEAN && most <= MOST, "{} in {shards}: {mean} {most}", list.len());
    }
}

/// Stand-ins too: all pairs of member and shard that one change makes or ends, those of the changed one left
/// out.
#[test]
fn stand_ins_move_little() {
    for (list, shards) in [(even("f", 7_200, 7), 300), (even("f", 24, 2), 8), (drawn("w", 2_000, 5, 1), 40)] {
        let (mut all, _) = Assignment::of(&division(shards), list.iter().copied());
        let pairs = |all: &Assignment, without: Key| -> BTreeSet<(u32, Key)> {
            let of = |s| all.of_shard(s).into_iter().filter(move |k| *k != without).map(move |k| (s, k));
            (0..shards).flat_map(of).collect()
        };
        let going: Vec<Member> = list.iter().step_by((list.len() / 100).max(1)).copied().collect();
        let (mut sum, mut most) = (0, 0);
        for member in &going {
            let before = pairs(&all, member.key);
            all.remove(member.key);
            let changed = before.symmetric_difference(&pairs(&all, member.key)).count();
            sum += changed;
            most = most.max(changed);
        }
        let mean = sum as f64 / going.len() as f64;
        println!("{} in {shards}: {mean:.2} pairs of member and shard changed, {most} at most", list.len());
        assert!(mean <= 2.0 * MEAN + 2.0 && most <= 2 * MOST, "{mean} {most}");
    }
}

#[test]
fn one_shard_more_or_less() {
    for (n, shards) in [(30_000, 300), (7_200, 300), (3_000, 8)] {
        let list = even("w", n, 7);
        let of = |shards| homes(&Assignment::of(&division(shards), list.iter().copied()).0, &list);
        let part = moved(&of(shards), &of(shards + 1)) as f64 / f64::from(n);
        let least = 1.0 / f64::from(shards + 1);
        println!("{n}, {shards} shards and one: {:.2} of the least", part / least);
        assert!(part <= FACTOR * least, "{n} {shards}: {part}");
    }
}

/// Functions of which nothing is configured move by exactly the least part, to the new shard; by remainder nearly
/// all would.
#[test]
fn functions_when_a_shard_comes_in() {
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
    assert!(by_remainder as f64 > FACTOR * 170_000.0 / 301.0, "{by_remainder}");
}

fn hot(changed: Option<usize>) -> Vec<HotFunction> {
    let calls = |i: usize| 70_000.0 / (i + 1) as f64 * if changed == Some(i) { 1.1 } else { 1.0 };
    (0..1_000).map(|i| HotFunction { name: format!("f{i}"), calls: calls(i), spread: None }).collect()
}

/// Told functions of which a home is gone, each counted by the part of its homes.
fn homes_gone(before: &HomeShards, after: &HomeShards) -> f64 {
    let gone = |f: usize| {
        let key = Key::of(&format!("f{f}"));
        let (a, b) = (before.of(key), after.of(key));
        a.iter().filter(|s| !b.contains(s)).count() as f64 / a.len() as f64
    };
    (0..1_000).map(gone).sum()
}

/// One told function is called a tenth more often: mostly nothing moves; where its size or the sum passes a
/// step of the rounding, others do, the more the more called it is.
#[test]
fn one_hot_function_changes() {
    let division = division(300);
    let of = |changed| HomeShards::new(&division, 880_000.0, &hot(changed)).unwrap();
    let before = of(None);
    let gone: Vec<f64> = (0..1_000).step_by(10).map(|i| homes_gone(&before, &of(Some(i)))).collect();
    let (mean, still) = (gone.iter().sum::<f64>() / 100.0, gone.iter().filter(|g| **g < 1e-9).count());
    let most = gone.iter().fold(0.0, |a: f64, b| a.max(*b));
    println!(
        "a told function 10% more, of 1000 told: {mean:.2} moved, {most:.0} at most, none in {still} of 100"
    );
    assert!(mean <= 20.0 && still >= 60, "{mean} {still}");
}

/// Told functions when a shard comes in: more than the least part, as the limits of all shards change a
/// little.
#[test]
fn hot_functions_when_a_shard_comes_in() {
    let of = |shards| HomeShards::new(&division(shards), 880_000.0, &hot(None)).unwrap();
    for shards in [8, 100, 300] {
        let gone = homes_gone(&of(shards), &of(shards + 1));
        println!("{shards} shards and one: {gone:.1} of 1000 told functions moved");
        assert!(gone <= 0.25 * 1_000.0, "{gone}");
    }
}
