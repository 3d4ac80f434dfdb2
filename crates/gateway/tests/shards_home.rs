//! Tests that the refusal of another shard's call names its home shard, by the division that the caller routes by,
//! also during a change.

mod world;

use stagehoist_amqp::header_int;
use stagehoist_config::Consume;
use stagehoist_gateway::shards::{front_end_config, queue, Places};
use stagehoist_sharding::{FunctionPlacement, HomeShards, Key};
use std::collections::{BTreeMap, BTreeSet};
use world::{config, Config, FieldTable, World};

const FOUR: &str = "fleet-front-ends 4\nshards 4 generation 7\nfunction f* class record memory 64MB\n";

fn of(more: &str, number: u32) -> Config {
    front_end_config(Config::clone(&config(more)), number)
}

/// Returns a function whose placement at the first front end satisfies a condition.
fn function(more: &str, wanted: impl Fn(FunctionPlacement) -> bool) -> String {
    let places = Places::new(&of(more, 0)).unwrap();
    (0..).map(|i| format!("f{i}")).find(|f| wanted(places.of(f))).unwrap()
}

/// Returns the generation and shard in a reply's headers.
fn home_headers(headers: &FieldTable) -> (Option<i64>, Option<i64>) {
    let number = |key: &str| headers.inner().get(key).and_then(header_int);
    (number("shard-generation"), number("shard"))
}

#[test]
fn the_refusal_has_generation_and_shard_of_the_queue_that_the_call_belongs_to() {
    let other = function(FOUR, |p| matches!(p, FunctionPlacement::Elsewhere(_)));
    let owned_function = function(FOUR, |p| p == FunctionPlacement::Owned);
    let mut w = World::new(FOUR);
    w.publish("a", &other, |p| p);
    w.publish("b", &owned_function, |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    w.settle();
    assert_eq!(w.outcomes(), [("a", "refused"), ("b", "served")]);
    assert_eq!(w.caller.answers[0].2, "other-shard");
    assert_eq!(home_headers(&w.caller.headers[1]), (None, None), "home shard on a served call");
    let (generation, shard) = home_headers(&w.caller.headers[0]);
    let to = queue("calls", generation.unwrap() as u32, shard.unwrap() as u32);
    assert_eq!(generation, Some(7));
    // Every consumer of that queue accepts the call, and there are two.
    let accepts = |number: &u32| {
        let config = of(FOUR, *number);
        let at = config.consume.iter().position(|c| c.queue == to);
        at.is_some_and(|at| Places::new(&config).unwrap().over(at, &other) == FunctionPlacement::Owned)
    };
    assert_eq!((0..4).filter(accepts).count(), 2, "{to}");
}

/// The refusal was not sent when the connection was lost: it is sent from the cache, with all its headers.
#[test]
fn a_refusal_that_is_sent_again_has_the_same_headers() {
    let other = function(FOUR, |p| matches!(p, FunctionPlacement::Elsewhere(_)));
    let mut w = World::new(FOUR);
    w.send("a", &other, b"{}", |p| p);
    let output = w.caller.client.output().split();
    w.broker.receive(w.caller.number, &output, w.now);
    let bytes = w.broker.take_output(w.front_at.unwrap()).unwrap();
    w.front.receive(&bytes, w.now, 0);
    w.cut();
    w.connect();
    assert_eq!((w.outcomes(), w.front.counters.from_memory), (vec![("a", "refused")], 1));
    let homes = Places::new(&of(FOUR, 0)).unwrap();
    let (generation, shard) = homes.home(0, &other, 0).unwrap();
    assert_eq!(home_headers(&w.caller.headers[0]), (Some(generation.into()), Some(shard.into())));
}

/// During a change the caller's division is used, as the other one may not yet, or no longer, be consumed by all. In
/// the whole fleet some front end consumes the reported queue.
#[test]
fn during_a_change_the_home_is_that_of_the_division_that_the_call_was_sent_by() {
    for (stage, generations) in [("announced", vec![3]), ("both", vec![3, 4]), ("closing", vec![4])] {
        let more = format!("fleet-front-ends 24\nshards 8 generation 3 next 9 stage {stage}\n");
        let fleet: Vec<Config> = (0..24).map(|n| of(&more, n)).collect();
        let consumed: BTreeSet<&str> =
            fleet.iter().flat_map(|c| &c.consume).map(|c| c.queue.as_str()).collect();
        let sharding = fleet[0].sharding.clone().unwrap();
        let homes: BTreeMap<u32, HomeShards> = sharding
            .divisions
            .each()
            .map(|d| (d.generation(), HomeShards::new(d, sharding.calls, &sharding.hot).unwrap()))
            .collect();
        let mut generations_seen = BTreeSet::new();
        for config in &fleet {
            let places = Places::new(config).unwrap();
            for (at, Consume { queue: over, .. }) in config.consume.iter().enumerate() {
                for function in (0..100).map(|i| format!("f{i}")) {
                    if !matches!(places.over(at, &function), FunctionPlacement::Elsewhere(_)) {
                        continue;
                    }
                    let (generation, shard) = places.home(at, &function, 0).unwrap();
                    assert!(over.contains(&format!(".division-{generation}.")), "{stage}: {over}");
                    assert_eq!(shard, homes[&generation].for_call(Key::of(&function), 0));
                    assert!(consumed.contains(queue("calls", generation, shard).as_str()));
                    generations_seen.insert(generation);
                }
            }
        }
        assert_eq!(generations_seen.into_iter().collect::<Vec<_>>(), generations, "{stage}");
    }
}

/// Without shards no home shard is reported.
#[test]
fn an_undivided_front_reports_no_shard() {
    let mut w = World::new("");
    w.publish("a", "unknown", |p| p.with_expiration(stagehoist_amqp::short("1")));
    assert_eq!(w.outcomes(), [("a", "refused")]);
    assert_eq!(home_headers(&w.caller.headers[0]), (None, None));
}
