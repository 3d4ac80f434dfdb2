//! Rows of one front end over workers and over functions.

use super::list_state::ListState;
use super::subset::Candidates;
use super::{played, sockets, Change, Divided, Fault, Outcome, Scene, Shards};
use crate::fit::Point;
use crate::letter::*;
use crate::plan::{Measure, Plan};
use crate::row::{Resource, Role, Row, Subject};
use stagehoist::Endpoint;

pub const MEASURES: &[Measure] = &[
    Measure { name: "module-share", run: |p| Ok(module_share(p)) },
    Measure { name: "module-p99", run: |p| Ok(module_p99(p)) },
    Measure { name: "module-share-functions", run: |p| Ok(module_share_functions(p)) },
    Measure { name: "memory", run: |p| Ok(memory(p)) },
    Measure { name: "memory-functions", run: |p| Ok(memory_functions(p)) },
    Measure { name: "replaced-share", run: |p| Ok(replaced_share(p)) },
    Measure { name: "replaced-pause", run: |p| Ok(replaced_pause(p)) },
    Measure { name: "descriptors", run: |p| Ok(sockets::descriptors(p)) },
    Measure { name: "handshakes", run: sockets::handshakes },
    Measure { name: "names-kept", run: |p| Ok(sockets::names_kept(p)) },
    Measure { name: "worker-connections", run: |p| Ok(sockets::worker_connections(p)) },
    Measure { name: "worker-handshakes", run: |p| Ok(sockets::worker_handshakes(p)) },
];

/// Processor time that a call may take, so that 122 a second stay within the share told.
const ROOM: f64 = COLD_START - super::LOAD as f64 / 1e6;
/// Seconds for which a function that nobody calls is kept: eight keep-alives.
const FUNCTION_RETENTION: f64 = 8.0 * super::KEEP as f64 / 1e6;
const HOURS_A_DAY: f64 = 24.0;
/// Numbers of workers; the last is the letter's where all sizes are run. A divided front end is notified of few of them.
fn workers(plan: &Plan) -> &'static [u32] {
    match divided(plan) {
        Some(_) => &[1000, 3000, 10_000, 30_000],
        None => {
            plan.pick(&[20, 60, 200, 600], &[100, 300, 1000, 3000], &[100, 300, 1000, 3000, 10_000, 30_000])
        }
    }
}

pub(super) fn divided(plan: &Plan) -> Option<u32> {
    plan.shards.filter(|_| !plan.control)
}

fn seconds(plan: &Plan) -> f64 {
    // Functions are kept for eight times the keep-alive: after that memory stands.
    plan.pick(12.0, 90.0, 90.0)
}

pub(super) fn scene(plan: &Plan, workers: u32, functions: u64, fault: Fault) -> Scene {
    let shards = divided(plan).map(Shards::of);
    let fault = plan.control.then_some(fault);
    let seconds = match fault {
        // A hundred lists a call take long enough.
        Some(Fault::WholeEachCall) => 1.5,
        // So many workers that seconds are enough.
        Some(Fault::InstanceEach) => 6.0,
        _ => seconds(plan),
    };
    Scene { shards, fault, ..Scene::one(workers, functions, seconds, plan.seed) }
}

pub(super) fn over_workers(plan: &Plan, fault: Fault, figure: fn(&Outcome) -> f64) -> Vec<Point> {
    let point = |&n: &u32| {
        let outcome = played(&scene(plan, n, FUNCTIONS as u64, fault));
        Point { size: f64::from(n), value: figure(&outcome) }
    };
    workers(plan).iter().map(point).collect()
}

pub(super) fn over_functions(plan: &Plan, fault: Fault, figure: fn(&Outcome) -> f64) -> Vec<Point> {
    let known = match divided(plan) {
        Some(_) => WORKERS as u32,
        // A hundred lists a call take long enough.
        None if plan.control && fault == Fault::WholeEachCall => 100,
        None if plan.control && fault == Fault::InstanceEach => (1000.0 * INSTANCES / WORKERS) as u32,
        None => plan.pick(1000, 1000, 10_000),
    };
    let sizes: &[u64] = match divided(plan) {
        Some(_) => &[17_000, 51_000, 170_000],
        None => plan.pick(
            &[50, 170, 500, 1700],
            &[1700, 5100, 17_000, 51_000, 170_000],
            &[1700, 5100, 17_000, 51_000, 170_000],
        ),
    };
    let point = |&n: &u64| {
        let outcome = played(&scene(plan, known, n, fault));
        Point { size: n as f64, value: figure(&outcome) }
    };
    sizes.iter().map(point).collect()
}

pub(super) fn subject(name: &'static str) -> Subject {
    Subject {
        name,
        role: Role::FrontEnd,
        resource: Resource::Processor,
        unit: "of a core",
        axis: "workers, 170,000 functions",
        asked: WORKERS,
        limit: CONTROL_CORE,
        source: "1.5% of a core for control",
        formula: "122 calls/s * time a call; time a call ~ workers known",
        mechanism: "none: a front end knows the whole list, and each batch looks at every worker",
        counted: false,
    }
}

fn module_share(plan: &Plan) -> Row {
    Row::new(subject("module-share"), over_workers(plan, Fault::WholeEachCall, |o| o.each() * CALLS_EACH))
}

fn module_p99(plan: &Plan) -> Row {
    let subject = Subject {
        unit: "s",
        resource: Resource::Time,
        limit: ROOM,
        source: "0.56 s less a load of 0.5 s (assumed)",
        formula: "p99 of a batch that brings a call ~ workers known",
        ..subject("module-p99")
    };
    let figure = |o: &Outcome| o.batches.value_at_quantile(0.99) as f64 / 1e9;
    Row::new(subject, over_workers(plan, Fault::WholeEachCall, figure))
}

fn module_share_functions(plan: &Plan) -> Row {
    let subject = Subject {
        axis: "functions, 10,000 workers (quick and small 1,000)",
        asked: FUNCTIONS,
        formula: "122 calls/s * time a call; functions count by first calls, each of which ranks all workers",
        ..subject("module-share-functions")
    };
    Row::new(subject, over_functions(plan, Fault::WholeEachCall, |o| o.each() * CALLS_EACH))
}

fn memory(plan: &Plan) -> Row {
    let subject = Subject {
        unit: "bytes",
        resource: Resource::Memory,
        limit: CONTROL_MEMORY,
        source: "128 MB for control",
        formula: "8 bytes * workers * functions called within 8 keep-alives + rows, copies believed, names",
        mechanism: "functions are forgotten after 8 keep-alives; nothing bounds the pairs",
        counted: true,
        ..subject("memory")
    };
    // The control: names never repeat, and what is kept of functions stands for a day.
    Row::new(subject, kept_for_a_day(plan, over_workers(plan, Fault::NamesNeverRepeat, |o| o.kept_bytes)))
}

fn memory_functions(plan: &Plan) -> Row {
    let subject = Subject {
        name: "memory-functions",
        axis: "functions, 10,000 workers (quick and small 1,000)",
        asked: FUNCTIONS,
        ..memory(plan).subject
    };
    // The control: an instance is a worker of its own, and what is kept of functions stands for a day.
    Row::new(subject, kept_for_a_day(plan, over_functions(plan, Fault::InstanceEach, |o| o.kept_bytes)))
}

/// In a control: as if functions were forgotten after a day and not after eight keep-alives.
fn kept_for_a_day(plan: &Plan, mut points: Vec<Point>) -> Vec<Point> {
    let times = if plan.control { DAY / FUNCTION_RETENTION } else { 1.0 };
    points.iter_mut().for_each(|point| point.value *= times);
    points
}

/// A scene in which workers are replaced by others with new names, one by one.
fn replaced(plan: &Plan, workers: u32) -> Scene {
    let many = plan.pick(2, 3, 3);
    let from = seconds(plan) * 0.8;
    let plain = Scene { fault: None, ..scene(plan, workers, FUNCTIONS as u64, Fault::OwnNumbers) };
    let places = landing(&plain, many).into_iter().enumerate();
    let change = |(n, at): (usize, u32)| (from + n as f64 * 2.0, Change::Replace(vec![at]));
    Scene { changes: places.map(change).collect(), ..plain }
}

/// Workers whose replacement by one with a new name is reported to the module: any, or for a divided front end
/// those that come to be of its own.
fn landing(scene: &Scene, many: usize) -> Vec<u32> {
    let Some(shards) = &scene.shards else { return (0..scene.workers).take(many).collect() };
    let divided = Divided::of(shards, scene.functions, scene.zipf);
    let list = ListState::new(scene.workers);
    let mut candidates = Candidates::new(&divided, scene, 0, &list.whole(scene).rows);
    let lands = |&at: &u32| {
        let old = list.row(scene, at);
        candidates.would_have(&old, &Endpoint { worker: scene.worker(at, 1), ..old.clone() })
    };
    (0..scene.workers).filter(lands).take(many).collect()
}

fn over_replaced(plan: &Plan, figure: fn(&Outcome) -> f64) -> Vec<Point> {
    let sizes: &[u32] = match divided(plan) {
        Some(_) => workers(plan),
        None => plan.pick(&[20, 60, 200, 600], &[100, 300, 1000, 3000], &[100, 300, 1000, 3000, 10_000]),
    };
    let point = |&n: &u32| Point { size: f64::from(n), value: figure(&played(&replaced(plan, n))) };
    sizes.iter().map(point).collect()
}

fn replaced_share(plan: &Plan) -> Row {
    let subject = Subject {
        formula: "990 a day * time of one change; it ranks all workers anew for every function kept",
        mechanism: "none: a new name empties every function's order",
        ..subject("replaced-share")
    };
    // The control: every worker is replaced each hour.
    let mut points = over_replaced(plan, |o| o.list.0 / o.list.1.max(1) as f64);
    let a_day = if plan.control { WORKERS * HOURS_A_DAY } else { RESTARTED };
    // Divided, fewer come to be a front end's own; each is counted as if it did.
    points.iter_mut().for_each(|p| p.value *= a_day / DAY);
    Row::new(subject, points)
}

fn replaced_pause(plan: &Plan) -> Row {
    let subject = Subject {
        unit: "s",
        resource: Resource::Time,
        limit: ROOM,
        source: "0.56 s less a load of 0.5 s (assumed)",
        formula: "time of one change of the list: no call is decided meanwhile",
        mechanism: "none: a new name empties every function's order",
        ..subject("replaced-pause")
    };
    // The control: a hundred changes come as one.
    let mut points = over_replaced(plan, |o| o.list.0 / o.list.1.max(1) as f64);
    let changes = if plan.control { 100.0 } else { 1.0 };
    points.iter_mut().for_each(|p| p.value *= changes);
    Row::new(subject, points)
}
