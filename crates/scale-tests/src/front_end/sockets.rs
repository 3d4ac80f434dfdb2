//! Rows of connections: a front end's to its workers, and a worker's from all front ends; names kept.

use super::rows::{divided, over_functions, over_workers, scene, subject};
use super::{played, Fault, Outcome, Scene};
use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::*;
use crate::plan::{Plan, Size};
use crate::row::{Resource, Role, Row, Subject};
use crate::sockets::handshake_cost;

/// Descriptors that a process may open where nothing else is configured, less those that are no worker's.
const DESCRIPTORS: f64 = 1024.0 / 2.0 - 24.0;

/// Handshakes a second that a worker takes beside its work: assumed.
const WORKER_HANDSHAKES: f64 = 100.0;
/// Names that the platform's front end keeps.
const NAMES: f64 = 50_000.0;

pub fn descriptors(plan: &Plan) -> Row {
    let subject = Subject {
        unit: "connections",
        resource: Resource::Descriptors,
        limit: DESCRIPTORS,
        source: "half of 1,024 descriptors less 24 (assumed limit of a process)",
        formula: "workers called within the idle close of 10 s, at most 122 * 10",
        mechanism: "opened on demand, closed when idle; the longest idle makes way on the platform",
        counted: true,
        ..subject("descriptors")
    };
    Row::new(subject, up_to_size(plan, Fault::ConnectionEach, |o| o.connections as f64))
}

/// Handshakes as a share of a core, by what one costs over loopback here.
pub fn handshakes(plan: &Plan) -> Result<Row, ScaleError> {
    let cost = handshake_cost()?;
    let subject = Subject {
        formula: "calls to a worker without an open connection a second * processor time of one",
        mechanism: "connections are kept while used within the idle close",
        ..subject("handshakes")
    };
    let rate = |o: &Outcome| o.handshakes as f64 / o.calls as f64 * CALLS_EACH;
    let mut points = up_to_size(plan, Fault::ConnectionEach, rate);
    // The control: none is kept, and each is as dear as one with cryptography (1 ms, assumed).
    points.iter_mut().for_each(|p| p.value *= if plan.control { 1e-3 } else { cost });
    Ok(Row::new(subject, points))
}

pub fn names_kept(plan: &Plan) -> Row {
    let subject = Subject {
        resource: Resource::StateBytes,
        unit: "names",
        axis: "functions",
        asked: FUNCTIONS,
        limit: NAMES,
        source: "names that the platform's front end keeps",
        formula: "functions called within ten keep-alives, at most 122 * 100",
        mechanism: "names go by their age; beyond the bound a call of a new one is refused",
        counted: true,
        ..subject("names-kept")
    };
    // The control: names of a day instead of ten keep-alives.
    let times = if plan.control { DAY / 100.0 } else { 1.0 };
    let mut points = over_functions(plan, Fault::ConnectionEach, |o| o.names as f64);
    points.iter_mut().for_each(|p| p.value *= times);
    Row::new(subject, points)
}

/// Points over workers, and one at the letter's size where that takes seconds only.
fn up_to_size(plan: &Plan, fault: Fault, figure: fn(&Outcome) -> f64) -> Vec<Point> {
    let mut points = over_workers(plan, fault, figure);
    let (scene, size) = at_size(plan);
    if points.iter().all(|p| p.size < size) {
        points.push(Point { size, value: figure(&played(&scene)) });
    }
    points
}

/// One front end of all, with the letter's workers where more than a small run is asked for.
fn at_size(plan: &Plan) -> (Scene, f64) {
    let workers = if divided(plan).is_some() { WORKERS as u32 } else { plan.pick(600, 30_000, 30_000) };
    let scene = scene(plan, workers, FUNCTIONS as u64, Fault::ConnectionEach);
    (Scene { seconds: 12.0, ..scene }, f64::from(workers))
}

fn of_all(plan: &Plan, subject: Subject, figure: fn(&Outcome) -> f64) -> Row {
    let (scene, workers) = at_size(plan);
    let each = figure(&played(&scene)) / workers;
    let sizes = [72.0, 240.0, 720.0, 2400.0, 7200.0];
    Row::new(subject, sizes.map(|size| Point { size, value: size * each }).to_vec())
}

fn worker(plan: &Plan, name: &'static str) -> Subject {
    Subject {
        role: Role::Worker,
        resource: Resource::Descriptors,
        axis: "front ends, 30,000 workers (small 600)",
        asked: FRONT_ENDS,
        unit: "connections",
        limit: 1000.0,
        source: "1,024 descriptors less 24 (assumed limit of a process)",
        formula: "front ends * connections of one / workers",
        mechanism: "front ends close what is idle for 10 s",
        // In small the workers are too few to judge by.
        counted: plan.size > Size::Small,
        ..subject(name)
    }
}

pub fn worker_connections(plan: &Plan) -> Row {
    of_all(plan, worker(plan, "worker-connections"), |o| o.connections as f64)
}

pub fn worker_handshakes(plan: &Plan) -> Row {
    let subject = Subject {
        resource: Resource::Messages,
        unit: "handshakes/s",
        limit: WORKER_HANDSHAKES,
        source: "100 a second (assumed)",
        formula: "front ends * handshakes of one a second / workers",
        ..worker(plan, "worker-handshakes")
    };
    // The control: each is tried ten times.
    if plan.control {
        return of_all(plan, subject, |o| 10.0 * o.handshakes as f64 / o.calls as f64 * CALLS_EACH);
    }
    of_all(plan, subject, |o| o.handshakes as f64 / o.calls as f64 * CALLS_EACH)
}
