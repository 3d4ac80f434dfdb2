//! Measures the duration of the computations at the size of `docs/design/sharding.md`. Run with
//! `cargo run --release -p stagehoist-sharding --example speed`.

use stagehoist_sharding::{Assignment, Division, HomeShards, HotFunction, Key, Member};
use std::time::Instant;

fn main() {
    for (n, shards) in [(30_000, 300), (7_200, 300), (30_000, 600), (60_000, 600)] {
        let division = Division::new(shards, 1).expect("a division");
        let list: Vec<Member> = (0..n).map(|i| Member::new(&format!("w-{i}"), (i % 7) as u16, 1.0)).collect();
        let begin = Instant::now();
        let (mut all, _) = Assignment::of(&division, list.iter().copied());
        let full_list = begin.elapsed();
        let begin = Instant::now();
        let changes = 2_000;
        for member in list.iter().step_by(n as usize / 1_000).take(1_000) {
            all.remove(member.key);
            all.insert(*member).expect("room");
        }
        let per_change = begin.elapsed() / changes;
        println!("{n} members in {shards} shards: whole list {full_list:.1?}, one change {per_change:.1?}");
    }
    let division = Division::new(300, 1).expect("a division");
    let hot: Vec<HotFunction> = (0..1_000)
        .map(|i| HotFunction { name: format!("f{i}"), calls: 70_000.0 / f64::from(i + 1), spread: None })
        .collect();
    let begin = Instant::now();
    let homes = HomeShards::new(&division, 880_000.0, &hot).expect("homes");
    println!("1000 hot functions in 300 shards: {:.1?}", begin.elapsed());
    let begin = Instant::now();
    let sum: u64 = (0..100_000).map(|i| u64::from(homes.for_call(Key::numbered(i), i))).sum();
    println!("home of a function: {:.0?} ({sum})", begin.elapsed() / 100_000);
}
