//! Members that move to another shard when something changes, beside those that change. Exact: counted by the
//! package.

use crate::fit::Point;
use crate::letter::*;
use crate::plan::Plan;
use crate::proof;
use crate::row::{Resource, Role, Row, Subject};
use stagehoist_sharding::{Assignment, Division, Key, Member, Shard};
use std::collections::HashMap;

/// Others that one that comes or goes may move on average, and at most: a change of one in N moves about 1/N,
/// never more than this factor of it.
const MEAN: f64 = 2.0;
const MOST: f64 = 24.0;
/// Times the least possible part that one shard more may move.
const SHARD: f64 = 2.5;
/// Workers of a rack: assumed.
const RACK: usize = 40;
/// Changes of one that are sampled.
const SAMPLED: usize = 60;

fn subject(name: &'static str) -> Subject {
    let front_ends = name.starts_with("move-front-end");
    Subject {
        name,
        role: Role::Event,
        resource: Resource::StateBytes,
        unit: "others that move for each that changes",
        axis: if front_ends { "front ends, 300 shards" } else { "workers, 300 shards" },
        asked: if front_ends { FRONT_ENDS } else { WORKERS },
        limit: MEAN,
        source: "one in N moves about 1/N: at most 2 others each on average, 24 at most (stated factor)",
        formula: "members with another home after it, over members that came or went",
        mechanism: "rendezvous hashing with bounded load, by zone; limits rounded at another point for each",
        counted: true,
    }
}

fn list(what: &str, many: u32) -> Vec<Member> {
    let zone = |n: u32| (n % ZONES as u32) as u16;
    (0..many).map(|n| Member::new(&format!("{what}-{n}"), zone(n), 1.0)).collect()
}

/// Homes of a list; the control: each is allocated out by its place in the list.
fn homes(plan: &Plan, shards: u32, list: &[Member]) -> HashMap<Key, Shard> {
    if plan.control {
        let mut keys: Vec<Key> = list.iter().map(|m| m.key).collect();
        keys.sort_unstable();
        return keys.into_iter().enumerate().map(|(n, key)| (key, n as u32 % shards)).collect();
    }
    let division = Division::new(shards, 1).unwrap_or_else(|e| unreachable!("{e}"));
    let (all, _) = Assignment::of(&division, list.iter().copied());
    list.iter().filter_map(|m| Some((m.key, all.home(m.key)?))).collect()
}

fn moved(before: &HashMap<Key, Shard>, after: &HashMap<Key, Shard>) -> f64 {
    before.iter().filter(|(key, home)| after.get(key).is_some_and(|h| h != *home)).count() as f64
}

fn over(subject: Subject, figure: impl Fn(u32) -> f64) -> Row {
    let sizes = [30.0, 10.0, 3.0, 1.0].map(|part| subject.asked / part);
    let points = sizes.map(|size| Point { size, value: figure(size as u32) });
    Row::new(subject, points.to_vec())
}

/// One goes: how many others move on average, or at most.
pub fn one(plan: &Plan, name: &'static str, at_most: bool) -> Row {
    let subject = Subject { limit: if at_most { MOST } else { MEAN }, ..subject(name) };
    let what = if name.starts_with("move-worker") { "worker" } else { "front-end" };
    let shards = proof::shards(plan);
    over(subject, |many| {
        let all = list(what, many);
        let before = homes(plan, shards, &all);
        let division = Division::new(shards, 1).unwrap_or_else(|e| unreachable!("{e}"));
        let (whole, _) = Assignment::of(&division, all.iter().copied());
        let mut kept = whole;
        let one = |at: usize| {
            if plan.control {
                let without: Vec<Member> = all.iter().filter(|m| m.key != all[at].key).copied().collect();
                return moved(&before, &homes(plan, shards, &without));
            }
            let others = kept.remove(all[at].key).len() as f64 - 1.0;
            // It comes back, and so do those that moved: the same members have the same homes.
            let _ = kept.insert(all[at]);
            others
        };
        let step = (all.len() / SAMPLED).max(1);
        let counts: Vec<f64> = (0..all.len()).step_by(step).map(one).collect();
        match at_most {
            true => counts.iter().fold(0.0, |a: f64, c| a.max(*c)),
            false => counts.iter().sum::<f64>() / counts.len() as f64,
        }
    })
}

/// These go at once: how many others move, for each of them.
fn gone(plan: &Plan, subject: Subject, goes: fn(usize, &Member) -> bool) -> Row {
    let shards = proof::shards(plan);
    over(subject, |many| {
        let all = list("worker", many);
        let staying: Vec<Member> =
            all.iter().enumerate().filter(|(n, m)| !goes(*n, m)).map(|(_, m)| *m).collect();
        let others = moved(&homes(plan, shards, &all), &homes(plan, shards, &staying));
        others / (all.len() - staying.len()).max(1) as f64
    })
}

pub fn zone(plan: &Plan) -> Row {
    let subject = Subject {
        limit: 0.0,
        source: "a zone that goes moves nobody of another (stated factor 0)",
        mechanism: "each zone is divided by itself",
        ..subject("move-zone")
    };
    gone(plan, subject, |_, member| member.zone == 0)
}

/// Forty neighbours of one zone.
pub fn rack(plan: &Plan) -> Row {
    gone(plan, subject("move-rack"), |n, m| m.zone == 0 && n / (ZONES as usize) < RACK)
}

pub fn shard(plan: &Plan) -> Row {
    let subject = Subject {
        limit: SHARD,
        unit: "of the least part",
        source: "at most 2.5 of 1/(shards + 1) (stated factor)",
        formula: "members with another home / members * (shards + 1)",
        ..subject("move-shard")
    };
    let shards = proof::shards(plan);
    over(subject, |many| {
        let all = list("worker", many);
        let others = moved(&homes(plan, shards, &all), &homes(plan, shards + 1, &all));
        others / f64::from(many) * f64::from(shards + 1)
    })
}
