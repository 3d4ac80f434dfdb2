//! Four front ends with sockets follow a list, and one of them dies. Its queues are consumed by others, each call has
//! one answer, and non-idempotent calls run at most once.

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

/// Returns a front end that is the only owner of a shard, and that shard.
fn sole_shard() -> (u32, Shard) {
    let entry = |n| Entry { name: format!("front-end-{n}"), zone: String::new(), serves: (1, 1) };
    let list: Vec<Entry> = (0..4).map(entry).collect();
    let of = |n| {
        let mut ownership = shards::Ownership::new(&configuration(n, "h:1", "h:2", "w")).unwrap();
        ownership.listed(&list, 0).unwrap()[0].current.clone()
    };
    let owned: Vec<Vec<Shard>> = (0..4).map(of).collect();
    let owners = |s: &Shard| owned.iter().filter(|own| own.contains(s)).count();
    let of = |n: u32| Some((n, *owned[n as usize].iter().find(|s| owners(s) == 1)?));
    (0..4).find_map(of).unwrap()
}

/// Replies are sent in one transaction with their acknowledgements: with confirms a reply that is doubtful at the
/// death would be sent twice, by design.
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
    let (victim, sole_shard) = sole_shard();
    let proxy = CuttableProxy::default();
    let proxy_address = proxy.start(broker.clone());
    let start = |number: u32| {
        let at = if number == victim { &proxy_address } else { &broker };
        serve(&configuration(number, at, &list, workers.to_str().unwrap()), None).unwrap()
    };
    let running: Vec<_> = (0..4).map(start).collect();
    let deadline = Instant::now() + LONG;
    while !running.iter().all(|r| r.is_ready()) {
        assert!(Instant::now() < deadline, "not ready in time");
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut caller = Caller::new(&broker);
    let before: Vec<u32> = (0..SHARDS).map(|s| caller.consumers(s)).collect();
    assert!(before.iter().all(|n| *n > 0), "{before:?}");

    // It dies with calls in progress, and more are published while its queues may have no consumer.
    let division = Division::new(SHARDS, 1).unwrap();
    let homes = HomeShards::new(&division, 0.0, &[]).unwrap();
    let functions: Vec<String> = (0..12).flat_map(|i| [format!("f{i}"), format!("u{i}")]).collect();
    let reached: BTreeSet<Shard> = functions.iter().map(|f| homes.for_call(Key::of(f), 0)).collect();
    assert_eq!(reached.len(), SHARDS as usize);
    let mut ids = Vec::new();
    for round in 0..20 {
        if round == 10 {
            proxy.disconnect();
        }
        for function in &functions {
            let id = format!("{function}-{round}");
            caller.publish(&id, function, &homes);
            ids.push(id);
        }
        caller.exchange();
    }
    // Its queue has no consumer until the list shows the death.
    let deadline = Instant::now() + LONG;
    while caller.consumers(sole_shard) > 0 {
        assert!(Instant::now() < deadline, "the dead front end still consumes");
    }
    registry.remove(&format!("front-end-{victim}"));
    let removed_at = Instant::now();
    let mut after: Vec<u32>;
    loop {
        after = (0..SHARDS).map(|s| caller.consumers(s)).collect();
        if after.iter().all(|n| *n > 0) {
            break;
        }
        assert!(removed_at.elapsed() < LONG, "consumers were {before:?} and are {after:?}");
    }
    let takeover_time = removed_at.elapsed();
    let deadline = Instant::now() + LONG;
    while caller.answers.len() < ids.len() {
        caller.exchange();
        assert!(Instant::now() < deadline, "{} of {} answered", caller.answers.len(), ids.len());
    }
    println!(
        "consumers {before:?}, after the death {after:?}, {} ms after the list",
        takeover_time.as_millis()
    );
    let runs = runs.lock().unwrap();
    for id in &ids {
        let answers = &caller.answers[id];
        assert_eq!(answers.len(), 1, "{id}: {answers:?}");
        let (outcome, reason) = (answers[0].0.as_str(), answers[0].1.as_str());
        let run_count = runs.get(id).copied().unwrap_or(0);
        match id.starts_with('u') {
            true => assert!(
                run_count <= 1
                    && (outcome == "served" || (outcome, reason) == ("failed", "delivered-before")),
                "{id} ran {run_count} times: {answers:?}"
            ),
            false => {
                assert!(outcome == "served" && run_count >= 1, "{id} ran {run_count} times: {answers:?}")
            }
        }
    }
    drop(runs);
    for front_end in running {
        front_end.drain();
        front_end.join().unwrap();
    }
}
