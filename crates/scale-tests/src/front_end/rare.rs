//! Functions that a front end sees rarely: what it can learn of them by itself, and what their cold starts come to.

use super::{played, Fault, Scene, KEEP, LOAD};
use crate::fit::Point;
use crate::letter::*;
use crate::plan::{Measure, Plan};
use crate::row::{Resource, Role, Row, Subject};

pub const MEASURES: &[Measure] = &[
    Measure { name: "strangers", run: |p| Ok(strangers(p, "strangers", ZIPF)) },
    Measure { name: "strangers-steep", run: |p| Ok(strangers(p, "strangers-steep", ZIPF_STEEP)) },
    Measure { name: "cold-needless", run: |p| Ok(cold_needless(p, "cold-needless", ZIPF)) },
    Measure { name: "cold-needless-steep", run: |p| Ok(cold_needless(p, "cold-needless-steep", ZIPF_STEEP)) },
    Measure { name: "cold-p99", run: |p| Ok(cold_p99(p, "cold-p99", ZIPF)) },
    Measure { name: "cold-p99-steep", run: |p| Ok(cold_p99(p, "cold-p99-steep", ZIPF_STEEP)) },
];

/// Share of calls that may meet a front end, or a worker, that knows nothing of their function: assumed.
const STRANGE: f64 = 0.05;
/// Exponents of Zipf's law: the usual one, and the one by which half of the functions are called less than once a minute.
const ZIPF: f64 = 1.0;
const ZIPF_STEEP: f64 = 1.48;
/// One in so many workers and functions make up the part of the fleet that is played.
const PART: f64 = 500.0;

/// Share of calls, by Zipf's law with this exponent, of functions that were not called within the keep-alive where the
/// traffic is split over so many. Exact: calls of each function come by chance, independent of each other.
pub fn not_seen(split: f64, zipf: f64) -> f64 {
    let weights = (1..=FUNCTIONS as u64).map(|k| (k as f64).powf(-zipf));
    let sum: f64 = weights.clone().sum();
    let keep = KEEP as f64 / 1e6;
    weights.map(|w| w / sum * (-w / sum * CALLS / split * keep).exp()).sum()
}

fn subject(name: &'static str) -> Subject {
    Subject {
        name,
        role: Role::FrontEnd,
        resource: Resource::Share,
        unit: "of calls",
        axis: "front ends that share the traffic",
        asked: FRONT_ENDS,
        limit: STRANGE,
        source: "one call in twenty (assumed)",
        formula: "sum over functions of p * exp(-p * 880,000 / front ends * 10 s)",
        mechanism: "none: any front end takes any call",
        counted: true,
    }
}

/// Share of calls of functions that their own front end had not seen within the keep-alive.
fn strangers(plan: &Plan, name: &'static str, zipf: f64) -> Row {
    // Divided, the front ends of a shard share its calls alone. The control: a keep-alive that nothing survives.
    let shards = plan.shards.filter(|_| !plan.control).map_or(1.0, f64::from);
    let sizes = [7.2, 24.0, 72.0, 240.0, 720.0, 2400.0, 7200.0];
    let split = |size: f64| if plan.control { size * 1e6 } else { (size / shards).max(1.0) };
    let points = sizes.map(|size| Point { size, value: not_seen(split(size), zipf) });
    Row::new(subject(name), points.to_vec())
}

/// A part of the fleet: every 500th function by rank, at its rate, on as many of the workers, its calls split over so many
/// real front ends. What they know of other functions has no part in it.
fn part(plan: &Plan, front_ends: u32, zipf: f64, fault: Fault) -> Scene {
    let functions = FUNCTIONS / PART;
    let power = |many: f64| (1..=many as u64).map(|k| (k as f64).powf(-zipf)).sum::<f64>();
    let calls = CALLS / power(FUNCTIONS) * PART.powf(-zipf) * power(functions);
    // Divided, all front ends of the shards that these functions lie in are fewer.
    let shards = plan.shards.filter(|_| !plan.control).unwrap_or(1);
    let front_ends = (front_ends / shards).max(1);
    Scene {
        front_ends,
        told: front_ends,
        calls_per_second: calls / f64::from(front_ends),
        counts_from: plan.pick(11.0, 15.0, 20.0),
        zipf,
        fault: plan.control.then_some(fault),
        ..Scene::one((WORKERS / PART) as u32, functions as u64, plan.pick(16.0, 40.0, 80.0), plan.seed)
    }
}

fn fleets(plan: &Plan) -> &'static [u32] {
    plan.pick(&[8, 24, 80, 240], &[24, 72, 240, 720], &[72, 240, 720, 2400, 7200])
}

const PART_AXIS: &str = "front ends that share 340 functions on 60 workers";

/// Share of calls that met no standing copy though the function had been called somewhere within the keep-alive.
fn cold_needless(plan: &Plan, name: &'static str, zipf: f64) -> Row {
    let subject = Subject {
        axis: PART_AXIS,
        formula: "cold calls less calls of functions that nobody had called within the keep-alive",
        mechanism: "all front ends rank workers alike for a function, so rare calls meet at the first",
        ..subject(name)
    };
    let point = |&n: &u32| {
        let o = played(&part(plan, n, zipf, Fault::OwnNumbers));
        let needless = o.cold.saturating_sub(o.unavoidable) as f64 / o.calls.max(1) as f64;
        Point { size: f64::from(n), value: needless }
    };
    Row::new(subject, fleets(plan).iter().map(point).collect())
}

/// From a cold call's coming to the begin of its run.
fn cold_p99(plan: &Plan, name: &'static str, zipf: f64) -> Row {
    let subject = Subject {
        resource: Resource::Time,
        unit: "s, simulated",
        axis: PART_AXIS,
        limit: COLD_START,
        source: "a cold start within 0.56 s for 99 in 100",
        formula: "a load of 0.5 s (assumed), and what waits behind other loads of its worker",
        mechanism: "rare calls go to the worker ranked first, away from one that loads",
        ..subject(name)
    };
    let point = |&n: &u32| {
        let o = played(&part(plan, n, zipf, Fault::SlowStore));
        Point { size: f64::from(n), value: o.cold_wait.value_at_quantile(0.99) as f64 / 1e6 }
    };
    debug_assert!((LOAD as f64) < COLD_START * 1e6);
    Row::new(subject, fleets(plan).iter().map(point).collect())
}
