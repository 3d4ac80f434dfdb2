//! A list of front ends in a front end's turns: shards of one that died are others', with their workers.

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

struct Turned {
    own: Vec<Vec<OwnedShards>>,
    due: Option<i64>,
}

fn turn(core: &mut Core, now: i64, news: Vec<Input>) -> Turned {
    let mut out = Vec::new();
    core.process(now, &mut { news }, &mut out);
    let own = out.into_iter().filter_map(|c| match c {
        Command::ServeShards(owned) => Some(owned.to_vec()),
        _ => None,
    });
    Turned { own: own.collect(), due: core.due() }
}

/// Four front ends, one of which dies: in the turn in which the list shows it, its shards are consumed by others, and their
/// workers known to them. So the stated time is the list's alone.
#[test]
fn a_dead_front_ends_shards_are_others_in_the_turn_in_which_the_list_shows_it() {
    let now = 1_700_000_000_000_000;
    let whole: Vec<Entry> = (0..4).map(entry).collect();
    let mut all: Vec<Core> = (0..4)
        .map(|n| {
            let mut core = Core::new(CoreSettings::from(&*of(n)), 3, now);
            core.set_shards(Shards::new(&of(n)));
            core
        })
        .collect();
    let names: Vec<String> = (0..40).map(|i| format!("w{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (mut shards, mut workers) = (Vec::new(), Vec::new());
    for core in &mut all {
        assert!(turn(core, now, vec![Input::EndpointList(entries(&names))]).own.is_empty());
        assert_eq!(core.shard_workers(), Some((0, 0)), "no worker is told before the first list");
        assert!(turn(core, now, vec![Input::FrontEndList(None)]).own.is_empty());
        let told = turn(core, now, vec![Input::FrontEndList(Some(whole.clone()))]).own;
        shards.push(told[0][0].current.clone());
        workers.push(core.shard_workers().unwrap().0);
        assert!(workers.last().is_some_and(|n| *n > 0));
    }
    assert_eq!(shards.concat().iter().collect::<BTreeSet<_>>().len(), 4);
    // The list fails, is empty and stalls: nothing changes however long.
    for core in &mut all {
        let lost = vec![Input::FrontEndList(None), Input::FrontEndList(Some(Vec::new()))];
        assert!(turn(core, now + 60_000 * MS, lost).own.is_empty());
        assert_eq!(core.counters.front_end_list_failures, 3);
    }
    let later = now + 60_001 * MS;
    let (mut after, mut gained) = (BTreeSet::new(), 0);
    for (n, core) in all.iter_mut().enumerate().skip(1) {
        let before = core.shard_workers().unwrap().0;
        let told = turn(core, later, vec![Input::FrontEndList(Some(whole[1..].to_vec()))]);
        let own = told.own.first().map_or(shards[n].clone(), |o| o[0].current.clone());
        assert!(
            own.len() == shards[n].len() || core.shard_workers().unwrap().0 > before,
            "{n}: workers come too"
        );
        gained = if own.len() > shards[n].len() { n } else { gained };
        after.extend(own);
    }
    assert_eq!(after.len(), 4, "of {:?} the shards {:?} lack an owner", shards, shards[0]);
    // It is back. What it takes again is handed over, and then its workers drain and are gone.
    let back = later + 10_000 * MS;
    assert_ne!(gained, 0, "nobody took the shards over");
    let core = &mut all[gained];
    let mut at = back;
    let mut told = turn(core, at, vec![Input::FrontEndList(Some(whole))]);
    let (mut steps, mut owned) = (Vec::new(), told.own.concat());
    while let Some(due) = told.due.filter(|d| *d < back + 60_000 * MS) {
        at = due.max(at + 1);
        told = turn(core, at, vec![]);
        owned.extend(told.own.concat());
        steps.push((at - back, core.shard_workers().unwrap()));
    }
    let held: Vec<(bool, bool)> =
        owned.iter().map(|o| (o.leaving.is_empty(), o.retained.is_empty())).collect();
    assert_eq!(held, [(false, true), (true, false), (true, true)], "{owned:?}");
    assert_eq!(owned[2].current, shards[gained]);
    assert!(steps.iter().any(|(_, (_, draining))| *draining > 0), "{steps:?}");
    assert_eq!(core.shard_workers(), Some((workers[gained], 0)), "{steps:?}");
}
