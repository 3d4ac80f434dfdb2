//! Four front ends that follow a list by sockets, one of which dies: its queues are consumed by others, and each call has one
//! answer and an effect at most once where it may not be repeated.

mod divided;

use divided::*;
use stagehoist_config::{parse, Config};
use stagehoist_emulator::list::Registry;
use stagehoist_gateway::discovery::front_ends::Entry;
use stagehoist_gateway::{serve, shards};
use stagehoist_sharding::{Division, HomeShards, Key, Shard};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const SHARDS: Shard = 4;

fn configuration(number: u32, broker: &str, front_ends: &str, workers: &str) -> Config {
    let text = format!(
        "fleet-front-ends 4\nshards {SHARDS} generation 1 first {number}\n\
         shard-front-ends-list consul http://{front_ends} name front-end wait 2s pause 50ms\n\
         class lookup aim 5s give-up 25s\nclass record aim 5s give-up 25s effect unsafe\n\
         function f* class lookup memory 1MB\nfunction u* class record memory 1MB\n\
         broker amqp://guest:guest@{broker}/\nconsume calls prefetch 4 declare durable\n\
         replies transaction\nreconnect first 10ms most 100ms\nworker-list file {workers} poll 20ms\n\
         probe no\norder-loads no\nsecond-copies no\n"
    );
    parse("sockets.conf", &text).unwrap()
}

/// A front end that is the only one of a shard, and that shard.
fn alone() -> (u32, Shard) {
    let entry = |n| Entry { name: format!("front-end-{n}"), zone: String::new(), serves: (1, 1) };
    let list: Vec<Entry> = (0..4).map(entry).collect();
    let of = |n| {
        let mut it = shards::Ownership::new(&configuration(n, "h:1", "h:2", "w")).unwrap();
        it.listed(&list, 0).unwrap()[0].current.clone()
    };
    let owned: Vec<Vec<Shard>> = (0..4).map(of).collect();
    let owners = |s: &Shard| owned.iter().filter(|own| own.contains(s)).count();
    let of = |n: u32| Some((n, *owned[n as usize].iter().find(|s| owners(s) == 1)?));
    (0..4).find_map(of).unwrap()
}

/// Replies in one transaction with their acknowledgements: by confirms an answer in doubt at the death is doubled by design.
#[test]
fn a_dead_front_ends_queues_are_consumed_by_others_and_each_call_has_one_answer() {
    let (broker, _handle) = start_broker();
    let names: Vec<String> = (0..4).map(|n| format!("front-end-{n}")).collect();
    let registry = Registry::new();
    names.iter().for_each(|name| put(&registry, name));
    let list = start_list(registry.clone(), names);
    let runs = Runs::default();
    let folder = tempfile::tempdir().unwrap();
    let workers = folder.path().join("workers.list");
    let of = |i| format!("w{i} {} capacity 4\n", start_worker(runs.clone()));
    std::fs::write(&workers, (0..8).map(of).collect::<String>()).unwrap();
    let (victim, alone) = alone();
    let way = Way::default();
    let through = way.start(broker.clone());
    let start = |number: u32| {
        let at = if number == victim { &through } else { &broker };
        serve(&configuration(number, at, &list, workers.to_str().unwrap()), None).unwrap()
    };
    let running: Vec<_> = (0..4).map(start).collect();
    let by = Instant::now() + LONG;
    while !running.iter().all(|r| r.is_ready()) {
        assert!(Instant::now() < by, "not ready in time");
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut caller = Caller::new(&broker);
    let before: Vec<u32> = (0..SHARDS).map(|s| caller.consumers(s)).collect();
    assert!(before.iter().all(|n| *n > 0), "{before:?}");

    // It dies with calls in its hands, and more come while its queues may have nobody.
    let division = Division::new(SHARDS, 1).unwrap();
    let homes = HomeShards::new(&division, 0.0, &[]).unwrap();
    let functions: Vec<String> = (0..12).flat_map(|i| [format!("f{i}"), format!("u{i}")]).collect();
    let reached: BTreeSet<Shard> = functions.iter().map(|f| homes.for_call(Key::of(f), 0)).collect();
    assert_eq!(reached.len(), SHARDS as usize);
    let mut ids = Vec::new();
    for round in 0..20 {
        if round == 10 {
            way.cut();
        }
        for function in &functions {
            let id = format!("{function}-{round}");
            caller.publish(&id, function, &homes);
            ids.push(id);
        }
        caller.carry();
    }
    // Nobody has its queue until the list shows it.
    let by = Instant::now() + LONG;
    while caller.consumers(alone) > 0 {
        assert!(Instant::now() < by, "the dead front end still consumes");
    }
    registry.remove(&format!("front-end-{victim}"));
    let told = Instant::now();
    let mut after: Vec<u32>;
    loop {
        after = (0..SHARDS).map(|s| caller.consumers(s)).collect();
        if after.iter().all(|n| *n > 0) {
            break;
        }
        assert!(told.elapsed() < LONG, "{before:?} became {after:?}");
    }
    let took = told.elapsed();
    let by = Instant::now() + LONG;
    while caller.answers.len() < ids.len() {
        caller.carry();
        assert!(Instant::now() < by, "{} of {} answered", caller.answers.len(), ids.len());
    }
    println!("consumers {before:?}, after the death {after:?}, {} ms after the list", took.as_millis());
    let runs = runs.lock().unwrap();
    for id in &ids {
        let answers = &caller.answers[id];
        assert_eq!(answers.len(), 1, "{id}: {answers:?}");
        let (outcome, reason) = (answers[0].0.as_str(), answers[0].1.as_str());
        let ran = runs.get(id).copied().unwrap_or(0);
        match id.starts_with('u') {
            true => assert!(
                ran <= 1 && (outcome == "served" || (outcome, reason) == ("failed", "delivered-before")),
                "{id} ran {ran} times: {answers:?}"
            ),
            false => assert!(outcome == "served" && ran >= 1, "{id} ran {ran} times: {answers:?}"),
        }
    }
    drop(runs);
    for each in running {
        each.drain();
        each.join().unwrap();
    }
}
