//! Tests of one front end's part of a divided fleet: its queues, its workers, and calls of functions of other shards.

mod common;
mod world;

use common::{attempts, entries, MS};
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, WorkerId};
use stagehoist_config::Consume;
use stagehoist_endpoints::Update;
use stagehoist_gateway::shards::{front_end_config, queue, Places, Shards};
use stagehoist_gateway::state::{AttemptResult, Core, CoreSettings, FunctionProperties, Input};
use stagehoist_sharding::{FunctionPlacement, HomeShards, Key, Shard};
use std::collections::{BTreeMap, BTreeSet};
use world::*;

const FOUR: &str = "fleet-front-ends 4\nshards 4 generation 1\n";

/// Returns the configuration of the front end with this number.
fn of(more: &str, number: u32) -> Config {
    front_end_config(Config::clone(&config(more)), number)
}

/// Returns a function of the test's class whose placement at the first front end satisfies a condition.
fn function(more: &str, wanted: impl Fn(FunctionPlacement) -> bool) -> String {
    let places = Places::new(&of(more, 0)).unwrap();
    (0..).map(|i| format!("f{i}")).find(|f| wanted(places.of(f))).unwrap()
}

#[test]
fn every_queue_has_two_consumers_and_nothing_changes_without_shards() {
    let mut consumers: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..4 {
        let config = of(FOUR, number);
        assert!(config.consume.iter().all(|c| (c.prefetch, c.declare) == (Some(10), Some(true))));
        config
            .consume
            .into_iter()
            .for_each(|Consume { queue, .. }| *consumers.entry(queue).or_insert(0) += 1);
    }
    let expected: Vec<(String, usize)> = (0..4).map(|shard: Shard| (queue("calls", 1, shard), 2)).collect();
    assert_eq!(consumers.into_iter().collect::<Vec<_>>(), expected);
    assert_eq!(queue("calls", 7, 3), "calls.division-7.shard-3");
    let undivided = config("fleet-front-ends 4\n");
    assert_eq!(front_end_config(Config::clone(&undivided), 3), *undivided);
    assert!(Shards::new(&undivided).is_none() && Places::new(&undivided).is_none());
    assert_eq!(CoreSettings::from(&*undivided).settings, undivided.settings());
}

/// While both divisions are served, the queues and functions of both are.
#[test]
fn both_divisions_are_served_in_a_change() {
    for (stage, shards) in [("announced", 4), ("both", 4 + 5), ("closing", 5)] {
        let more = format!("fleet-front-ends 4\nshards 4 generation 1 next 5 stage {stage}\n");
        let queues: BTreeSet<String> = (0..4).flat_map(|n| of(&more, n).consume).map(|c| c.queue).collect();
        assert_eq!(queues.len(), shards, "{stage}");
    }
    let both = "fleet-front-ends 4\nshards 4 generation 1 next 5 stage both\n";
    assert!(!function(both, |p| p == FunctionPlacement::Leaving).is_empty());
}

/// Every consumer of the queue that a caller computes by either division serves the call, although a shard number has
/// different owners in the two divisions. A call that arrives by the older division is leaving, even if the function
/// stays in its shard.
#[test]
fn a_call_sent_by_either_division_is_served_by_every_consumer_of_its_queue() {
    for (old, new) in [(8, 9), (9, 8)] {
        let more = format!("fleet-front-ends 24\nshards {old} generation 3 next {new} stage both\n");
        let front_ends: Vec<_> =
            (0..24).map(|n| of(&more, n)).map(|c| (Places::new(&c).unwrap(), c.consume)).collect();
        let sharding = of(&more, 0).sharding.unwrap();
        for division in sharding.divisions.each() {
            let homes = HomeShards::new(division, sharding.calls, &sharding.hot).unwrap();
            let expected = if division.generation() == 3 {
                FunctionPlacement::Leaving
            } else {
                FunctionPlacement::Owned
            };
            for function in (0..400).map(|i| format!("f{i}")) {
                let to = queue("calls", division.generation(), homes.for_call(Key::of(&function), 0));
                let over = |(places, consume): &(Places, Vec<Consume>)| {
                    Some(places.over(consume.iter().position(|c| c.queue == to)?, &function))
                };
                let places: Vec<FunctionPlacement> = front_ends.iter().filter_map(over).collect();
                assert!(places.len() >= 2, "{to}");
                assert!(
                    places.iter().all(|p| *p == expected),
                    "{old} to {new}: {function} over {to}: {places:?}"
                );
            }
        }
    }
}

fn ready(workers: impl IntoIterator<Item = WorkerId>) -> Vec<Endpoint> {
    let row = |worker| Endpoint { worker, lifecycle: Lifecycle::Ready, capacity: 4.0, ..Endpoint::default() };
    workers.into_iter().map(row).collect()
}

fn endpoints_after(
    shards: &mut Shards,
    update_kind: EndpointUpdate,
    rows: Vec<Endpoint>,
    now: i64,
) -> Vec<Endpoint> {
    shards.apply(Update { kind: update_kind, endpoints: rows }, |_| None::<&str>, now).endpoints
}

/// Over the whole fleet each worker's capacity is reported once, divided among the front ends of each of its shards.
#[test]
fn workers_are_reported_to_the_front_ends_of_their_shards() {
    let mut parts: BTreeMap<WorkerId, BTreeSet<u64>> = BTreeMap::new();
    let mut owners: BTreeMap<WorkerId, usize> = BTreeMap::new();
    for number in 0..4 {
        let mut shards = Shards::new(&of(FOUR, number)).unwrap();
        let rows = endpoints_after(&mut shards, EndpointUpdate::Full, ready(1..=40), 0);
        assert!((10..40).contains(&rows.len()), "{}", rows.len());
        for row in rows {
            parts.entry(row.worker).or_default().insert((4.0 / row.capacity) as u64);
            *owners.entry(row.worker).or_insert(0) += 1;
        }
    }
    assert_eq!(parts.len(), 40, "a worker is used by no front end");
    for (worker, divisors) in parts {
        let divisors: Vec<u64> = divisors.into_iter().collect();
        assert_eq!(divisors.len(), 1, "front ends divide by different numbers");
        assert!(owners[&worker] as u64 <= 2 * divisors[0]);
    }
}

/// Incremental updates and a full list give the module the same workers in the end; a worker that leaves the subset
/// is drained, and is removed after a time.
#[test]
fn a_worker_that_leaves_the_subset_is_drained_and_then_removed() {
    let config = of(FOUR, 0);
    let mut shards = Shards::new(&config).unwrap();
    let mut module: BTreeMap<WorkerId, Lifecycle> = BTreeMap::new();
    let mut listed: BTreeSet<WorkerId> = (1..=40).collect();
    let mut apply = |rows: Vec<Endpoint>| -> Vec<WorkerId> {
        let rows: Vec<_> = rows.into_iter().map(|r| (r.worker, r.lifecycle)).collect();
        let drained = rows.iter().filter(|r| r.1 == Lifecycle::Draining).map(|r| r.0).collect();
        module.extend(rows);
        drained
    };
    apply(endpoints_after(&mut shards, EndpointUpdate::Full, ready(1..=40), 0));
    let mut drained_workers = Vec::new();
    for worker in 1..=20 {
        listed.remove(&worker);
        let gone = Endpoint { lifecycle: Lifecycle::Gone, ..ready([worker]).remove(0) };
        drained_workers.extend(apply(endpoints_after(&mut shards, EndpointUpdate::Delta, vec![gone], MS)));
    }
    assert!(!drained_workers.is_empty(), "no worker left the subset");
    let due = shards.due().unwrap();
    assert_eq!(due, MS + config.load_timeout + 1_000_000);
    apply(shards.expired(due).unwrap().endpoints);
    module.retain(|_, l| *l != Lifecycle::Gone);
    let mut full = Shards::new(&config).unwrap();
    let full = endpoints_after(&mut full, EndpointUpdate::Full, ready(listed), 0);
    let full: BTreeMap<WorkerId, Lifecycle> = full.into_iter().map(|r| (r.worker, r.lifecycle)).collect();
    assert_eq!(module, full);
}

/// Through the complete state machine of a front end: calls go only to workers of the subset, and none to a worker
/// that left it.
#[test]
fn calls_go_to_own_workers_and_none_to_one_that_left() {
    let more = format!(
        "{FOUR}function f* class lookup memory 64MB lanes 4 load 200ms\nworker-kind usual memory 1GB\n"
    );
    let config = Rc::new(of(&more, 0));
    let mut now = 1_700_000_000_000_000;
    let mut core = Core::new(CoreSettings::from(&*config), 3, now);
    core.set_shards(Shards::new(&config));
    let names: Vec<String> = (0..40).map(|i| format!("w{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut used = [BTreeSet::new(), BTreeSet::new()];
    let mut ticket = 0;
    for (round, list) in [&names[..], &names[20..]].into_iter().enumerate() {
        let mut out = Vec::new();
        core.process(now, &mut vec![Input::EndpointList(entries(list))], &mut out);
        for _ in 0..400 {
            (ticket, now) = (ticket + 1, now + 5 * MS);
            let function = format!("f{}", ticket % 29);
            let arrival = Arrival {
                ticket,
                function: function.as_str().into(),
                properties: FunctionProperties::configured(&config, &function).map(|f| f.0),
                tenant: 0,
                budget: 2_000 * MS,
                read_at: 0,
                is_repeat: false,
                client_verified: true,
                body: Bytes::new(),
                content_type: None,
                correlation: "c".into(),
                generation: None,
                identity: None,
            };
            core.process(now, &mut vec![Input::Call(arrival)], &mut out);
            for attempt in attempts(&std::mem::take(&mut out)) {
                used[round].insert(attempt.worker);
                let result = AttemptResult::without_answer(stagehoist::Outcome::Ok);
                let ended =
                    Input::AttemptEnded { request: attempt.request, attempt: attempt.attempt, result };
                core.process(now, &mut vec![ended], &mut out);
            }
        }
    }
    let subset = |list: &[&str]| -> BTreeSet<WorkerId> {
        let mut members = stagehoist_endpoints::EndpointSet::new(vec![], vec![], 0);
        let update = members.apply_list(entries(list), 0);
        let mut shards = Shards::new(&config).unwrap();
        shards.apply(update, |w| members.name(w), 0).endpoints.iter().map(|r| r.worker).collect()
    };
    let (before, after) = (subset(&names), subset(&names[20..]));
    assert!(before.len() < 40 && after.len() < 20, "{} {}", before.len(), after.len());
    assert!(used[0].len() > 3 && used[0].is_subset(&before), "{:?} of {before:?}", used[0]);
    assert!(used[1].len() > 3 && used[1].is_subset(&after), "{:?} of {after:?}", used[1]);
}

#[test]
fn a_call_of_another_shard_is_refused_and_counted() {
    let more = format!("{FOUR}function f* class record memory 64MB\n");
    let other = function(&more, |p| matches!(p, FunctionPlacement::Elsewhere(_)));
    let owned_function = function(&more, |p| p == FunctionPlacement::Owned);
    let mut w = World::new(&more);
    w.publish("a", &other, |p| p);
    w.publish("b", &owned_function, |p| p);
    let calls = w.arrivals();
    assert_eq!(calls.iter().map(|c| &*c.function).collect::<Vec<_>>(), [owned_function.as_str()]);
    assert_eq!((w.outcomes(), w.front.counters.other_shard), (vec![("a", "refused")], 1));
    assert_eq!(w.caller.answers[0].2, "other-shard");
    w.serve(&calls[0]);
    w.settle();
    assert_eq!((w.front.unacknowledged(), w.front.counters.leaving_shard), (0, 0));
}

/// A redelivered call that may have run at another front end, whose function now belongs to another shard: it must
/// not be refused, because a refusal says that the call did not run.
#[test]
fn a_non_idempotent_call_redelivered_across_a_change_fails() {
    let more = format!("{FOUR}function f* class record memory 64MB\n");
    let other = function(&more, |p| matches!(p, FunctionPlacement::Elsewhere(_)));
    // An earlier front end, which owned all shards, receives the call and is lost.
    let mut w = World::new("function f* class record memory 64MB\n");
    w.publish("a", &other, |p| p);
    assert_eq!(w.arrivals().len(), 1);
    w.cut();
    w.front = Front::new(config(&more), 2, w.now);
    w.connect();
    assert!(w.arrivals().is_empty());
    w.settle();
    assert_eq!((w.outcomes(), w.front.counters.other_shard), (vec![("a", "failed")], 0));
    assert_eq!(w.caller.answers[0].2, "delivered-before");
}

/// The modules' shares of a quota add up to the whole quota, also for a tenant whose functions are in one shard.
#[test]
fn quotas_over_the_fleet_add_up_to_the_configured_ones() {
    for functions in ["", " functions recurring"] {
        let more = format!("{FOUR}tenant south quota 100/s{functions}\n");
        let share = |number| {
            let settings = CoreSettings::from(&of(&more, number)).settings;
            settings.tenant_quotas[1] / f64::from(settings.front_ends)
        };
        let shares: Vec<f64> = (0..4).map(share).collect();
        assert!((shares.iter().sum::<f64>() - 100.0).abs() < 1e-9, "{shares:?}");
        assert_eq!(shares.iter().filter(|s| **s > 0.0).count(), if functions.is_empty() { 4 } else { 2 });
    }
}
