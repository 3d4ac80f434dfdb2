//! One shard whole, the busiest: all its front ends with real code, its workers, its calls at their rates.
//! Shards share nothing but workers that stand in, so that it stands for each; beside it the same calls and
//! as many workers with today's fleet.

use crate::fit::Point;
use crate::front_end::{played, Divided, Fault, Outcome, Played, Scene, Shards};
use crate::letter::*;
use crate::plan::Plan;
use crate::proof;
use crate::row::{Resource, Role, Row, Subject};
use std::rc::Rc;

const ZIPF: f64 = 1.0;
/// With it half of the functions are rare: called less than once a minute.
const ZIPF_STEEP: f64 = 1.48;

fn subject(name: &'static str) -> Subject {
    Subject {
        name,
        role: Role::FrontEnd,
        resource: Resource::Share,
        unit: "of calls",
        axis: "workers, 300 shards of which the busiest is played",
        asked: WORKERS,
        limit: COLD_START,
        source: "a cold start within 0.56 s for 99 in 100",
        formula: "a load of 0.5 s (assumed), and what waits behind other loads of its worker",
        mechanism: "a shard's front ends rank its workers alike, so rare calls meet at the first",
        counted: true,
    }
}

fn scene(plan: &Plan, workers: u32, zipf: f64, front_ends: Option<u32>) -> Scene {
    let shards = Shards { played: Played::Shard, ..Shards::of(proof::shards(plan)) };
    let divided = Divided::of(&shards, FUNCTIONS as u64, zipf);
    let front_ends = front_ends.unwrap_or_else(|| divided.serve(divided.hottest()));
    Scene {
        shards: Some(shards),
        zipf,
        front_ends,
        told: front_ends,
        counts_from: plan.pick(11.0, 15.0, 20.0),
        ..Scene::one(workers, FUNCTIONS as u64, plan.pick(14.0, 35.0, 180.0), plan.seed)
    }
}

/// Front ends of today's fleet that take any call: all, or fewer by the factor that the row's axis says.
fn today(plan: &Plan, zipf: f64) -> Rc<Outcome> {
    played(&scene(plan, WORKERS as u32, zipf, Some(plan.pick(240, 720, 7200))))
}

fn points(plan: &Plan, zipf: f64, fault: Fault, figure: fn(&Outcome) -> f64) -> Vec<Point> {
    let fault = plan.control.then_some(fault);
    let sizes: &[u32] =
        plan.pick(&[3000, 10_000, 30_000], &[1000, 3000, 10_000, 30_000], &[1000, 3000, 10_000, 30_000]);
    let sizes = if plan.control { &sizes[sizes.len() - 1..] } else { sizes };
    let point = |&n: &u32| Point {
        size: f64::from(n),
        value: figure(&played(&Scene { fault, ..scene(plan, n, zipf, None) })),
    };
    sizes.iter().map(point).collect()
}

fn p99_of(plan: &Plan, name: &'static str, zipf: f64, figure: fn(&Outcome) -> f64) -> Row {
    let subject = Subject { resource: Resource::Time, unit: "s, simulated", ..subject(name) };
    let row = Row::new(subject, points(plan, zipf, Fault::SlowStore, figure));
    Row { beside: Some(figure(&today(plan, zipf))), ..row }
}

/// Of all cold starts.
pub fn p99(plan: &Plan) -> Row {
    p99_of(plan, "fleet-cold-p99", ZIPF, |o| o.cold_wait.value_at_quantile(0.99) as f64 / 1e6)
}

/// Of cold starts of functions that are called less than once a minute.
pub fn p99_rare(plan: &Plan) -> Row {
    p99_of(plan, "fleet-cold-p99-rare", ZIPF_STEEP, |o| o.rare_wait.value_at_quantile(0.99) as f64 / 1e6)
}

/// Cold calls of functions that somebody had called within the keep-alive, over calls; not more than today's.
fn share_of(plan: &Plan, name: &'static str, zipf: f64, figure: fn(&Outcome) -> f64) -> Row {
    let beside = figure(&today(plan, zipf));
    let subject = Subject {
        limit: beside,
        source:
            "today's: the same calls and workers, 7,200 front ends that take any call (quick 720, small 240)",
        formula:
            "cold calls less calls of functions that nobody had called within the keep-alive, over calls",
        ..subject(name)
    };
    let row = Row::new(subject, points(plan, zipf, Fault::OwnNumbers, figure));
    Row { beside: Some(beside), ..row }
}

pub fn share(plan: &Plan) -> Row {
    share_of(plan, "fleet-cold-share", ZIPF, |o| {
        o.cold.saturating_sub(o.unavoidable) as f64 / o.calls.max(1) as f64
    })
}
