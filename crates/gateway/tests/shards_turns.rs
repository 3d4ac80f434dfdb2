//! Tests of the list of front ends in a front end's turns: the shards and workers of a front end that died are taken
//! over by others.

mod common;
mod world;

use common::entries;
use stagehoist_gateway::discovery::front_ends::Entry;
use stagehoist_gateway::shards::{front_end_config, OwnedShards, Shards};
use stagehoist_gateway::state::{Command, Core, CoreSettings, Input};
use std::collections::BTreeSet;
use world::*;

const MS: i64 = 1000;
const LISTED: &str = "\
fleet-front-ends 8
shards 4 generation 1
shard-front-ends-list file front-ends.list
function f* class record memory 64MB
";

fn of(number: u32) -> Rc<Config> {
    Rc::new(front_end_config(Config::clone(&config(LISTED)), number))
}

fn entry(number: u32) -> Entry {
    Entry { name: format!("front-end-{number}"), zone: String::new(), serves: (1, 1) }
}

struct TurnResult {
    owned: Vec<Vec<OwnedShards>>,
    due: Option<i64>,
}

fn turn(core: &mut Core, now: i64, inputs: Vec<Input>) -> TurnResult {
    let mut out = Vec::new();
    core.process(now, &mut { inputs }, &mut out);
    let served = out.into_iter().filter_map(|c| match c {
        Command::ServeShards(owned) => Some(owned.to_vec()),
        _ => None,
    });
    TurnResult { owned: served.collect(), due: core.due() }
}

/// Four front ends, one of which dies: in the turn that processes the list without it, others consume its shards and
/// know their workers. The takeover time is therefore only the delay of the list.
#[test]
fn a_dead_front_ends_shards_are_taken_over_in_the_turn_that_processes_the_list() {
    let now = 1_700_000_000_000_000;
    let full_list: Vec<Entry> = (0..4).map(entry).collect();
    let mut cores: Vec<Core> = (0..4)
        .map(|n| {
            let mut core = Core::new(CoreSettings::from(&*of(n)), 3, now);
            core.set_shards(Shards::new(&of(n)));
            core
        })
        .collect();
    let names: Vec<String> = (0..40).map(|i| format!("w{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (mut shards, mut workers) = (Vec::new(), Vec::new());
    for core in &mut cores {
        assert!(turn(core, now, vec![Input::EndpointList(entries(&names))]).owned.is_empty());
        assert_eq!(core.shard_workers(), Some((0, 0)), "a worker is reported before the first list");
        assert!(turn(core, now, vec![Input::FrontEndList(None)]).owned.is_empty());
        let result = turn(core, now, vec![Input::FrontEndList(Some(full_list.clone()))]).owned;
        shards.push(result[0][0].current.clone());
        workers.push(core.shard_workers().unwrap().0);
        assert!(workers.last().is_some_and(|n| *n > 0));
    }
    assert_eq!(shards.concat().iter().collect::<BTreeSet<_>>().len(), 4);
    // The list fails, is empty and stalls: nothing changes, however long it lasts.
    for core in &mut cores {
        let lost = vec![Input::FrontEndList(None), Input::FrontEndList(Some(Vec::new()))];
        assert!(turn(core, now + 60_000 * MS, lost).owned.is_empty());
        assert_eq!(core.counters.front_end_list_failures, 3);
    }
    let later = now + 60_001 * MS;
    let (mut after, mut gained) = (BTreeSet::new(), 0);
    for (n, core) in cores.iter_mut().enumerate().skip(1) {
        let before = core.shard_workers().unwrap().0;
        let result = turn(core, later, vec![Input::FrontEndList(Some(full_list[1..].to_vec()))]);
        let own = result.owned.first().map_or(shards[n].clone(), |o| o[0].current.clone());
        assert!(
            own.len() == shards[n].len() || core.shard_workers().unwrap().0 > before,
            "{n}: the workers of a gained shard are missing"
        );
        gained = if own.len() > shards[n].len() { n } else { gained };
        after.extend(own);
    }
    assert_eq!(after.len(), 4, "of {:?} the shards {:?} lack an owner", shards, shards[0]);
    // The front end is back. The shards that it regains are handed over, and then their workers are drained and
    // removed.
    let back = later + 10_000 * MS;
    assert_ne!(gained, 0, "no front end took the shards over");
    let core = &mut cores[gained];
    let mut at = back;
    let mut result = turn(core, at, vec![Input::FrontEndList(Some(full_list))]);
    let (mut steps, mut owned) = (Vec::new(), result.owned.concat());
    while let Some(due) = result.due.filter(|d| *d < back + 60_000 * MS) {
        at = due.max(at + 1);
        result = turn(core, at, vec![]);
        owned.extend(result.owned.concat());
        steps.push((at - back, core.shard_workers().unwrap()));
    }
    let handover_states: Vec<(bool, bool)> =
        owned.iter().map(|o| (o.leaving.is_empty(), o.retained.is_empty())).collect();
    assert_eq!(handover_states, [(false, true), (true, false), (true, true)], "{owned:?}");
    assert_eq!(owned[2].current, shards[gained]);
    assert!(steps.iter().any(|(_, (_, draining))| *draining > 0), "{steps:?}");
    assert_eq!(core.shard_workers(), Some((workers[gained], 0)), "{steps:?}");
}
