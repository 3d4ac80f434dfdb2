//! Functions that a front end sees rarely: what it can learn of them by itself, and what their cold starts come to.

use super::{played, Fault, Scene, KEEP, LOAD};
use crate::fit::Point;
use crate::letter::*;
use crate::plan::{Measure, Plan};
use crate::row::{Resource, Role, Row, Subject};

pub const MEASURES: &[Measure] = &[
    Measure { name: "strangers", run: |p| Ok(strangers(p)) },
    Measure { name: "cold-needless", run: |p| Ok(cold_needless(p)) },
    Measure { name: "cold-p99", run: |p| Ok(cold_p99(p)) },
];

/// Share of calls whose function the front end may have to guess at: assumed, as the letter sets a bound on 99 in 100.
const STRANGE: f64 = 0.01;

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
        source: "99 in 100 (assumed for what must be known)",
        formula: "sum over functions of p * exp(-p * 880,000 / front ends * 10 s)",
        mechanism: "none: any front end takes any call",
        counted: true,
    }
}

/// Share of calls of functions that their own front end had not seen within the keep-alive.
fn strangers(plan: &Plan) -> Row {
    // Divided, the front ends of a shard share its calls alone. The control: a keep-alive that nothing survives.
    let shards = plan.shards.filter(|_| !plan.control).map_or(1.0, f64::from);
    let sizes = [72.0, 240.0, 720.0, 2400.0, 7200.0];
    let split = |size: f64| if plan.control { size * 1e6 } else { (size / shards).max(1.0) };
    let points = sizes.map(|size| Point { size, value: not_seen(split(size), 1.0) });
    Row::new(subject("strangers"), points.to_vec())
}

/// A part of the fleet: the traffic of a few functions over few workers, split over so many real front ends.
fn part(plan: &Plan, front_ends: u32) -> Scene {
    // As in the letter a front end sees a function the more rarely the more there are; the whole traffic stays.
    let calls = plan.pick(60.0, 122.0, 244.0);
    Scene {
        front_ends,
        told: front_ends,
        calls_per_second: calls / f64::from(front_ends),
        fault: plan.control.then_some(Fault::OwnNumbers),
        ..Scene::one(60, 2000, plan.pick(20.0, 60.0, 120.0), plan.seed)
    }
}

fn fleets(plan: &Plan) -> &'static [u32] {
    plan.pick(&[1, 4, 16, 48], &[1, 4, 16, 64], &[1, 4, 16, 64, 256])
}

/// Share of calls that met no standing copy though the function had been called somewhere within the keep-alive.
fn cold_needless(plan: &Plan) -> Row {
    let subject = Subject {
        axis: "front ends that share 2,000 functions on 60 workers",
        formula: "cold calls less calls of functions that nobody had called within the keep-alive",
        mechanism: "all front ends rank workers alike for a function, so rare calls meet at the first",
        limit: 0.05,
        source: "assumed: one call in twenty",
        ..subject("cold-needless")
    };
    let point = |&n: &u32| {
        let o = played(&part(plan, n));
        let needless = o.cold.saturating_sub(o.unavoidable) as f64 / o.calls.max(1) as f64;
        Point { size: f64::from(n), value: needless }
    };
    Row::new(subject, fleets(plan).iter().map(point).collect())
}

/// From a cold call's coming to the begin of its run.
fn cold_p99(plan: &Plan) -> Row {
    let subject = Subject {
        resource: Resource::Time,
        unit: "s, simulated",
        axis: "front ends that share 2,000 functions on 60 workers",
        limit: COLD_START,
        source: "a cold start within 0.56 s for 99 in 100",
        formula: "a load of 0.5 s (assumed), and what waits behind other loads of its worker",
        mechanism: "rare calls go to the worker ranked first, away from one that loads",
        ..subject("cold-p99")
    };
    let point = |&n: &u32| {
        let o = played(&part(plan, n));
        Point { size: f64::from(n), value: o.cold_wait.value_at_quantile(0.99) as f64 / 1e6 }
    };
    debug_assert!((LOAD as f64) < COLD_START * 1e6);
    Row::new(subject, fleets(plan).iter().map(point).collect())
}
