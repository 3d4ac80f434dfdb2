//! Drains that discovery reports late: everything that the event bus writes, events and empty frames, arrives late and in
//! order, so that the bus is neither silent nor broken off. A drain counts from when it is in the bus.

use crate::rig::{shared_lock, Rig, Shape, Verdict};
use crate::threads::on_own_threads;
use crate::traffic::Load;
use stagehoist_emulator::platform::bus::Lateness;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const EXECUTORS: usize = 8;
/// Traffic before the first drain, between two drains, and after the last.
const BEFORE_DRAINS: Duration = Duration::from_millis(4250);
const BETWEEN_DRAINS: Duration = Duration::from_millis(1500);
const AFTER_DRAINS: Duration = Duration::from_millis(2500);
/// Minimum part of the requests that is served while the bus is late and executors may be checked.
const SERVED_PART: f64 = 0.9;
/// Part of the log line about a connection on which the bus was silent. A late bus is silent once, when it becomes late.
const SILENCE: &str = "sent nothing before the timeout";
/// Maximum number of broken rules printed for each run.
const MAX_PRINTED: usize = 8;

/// A run in which executors drain while the bus is late.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// From the start.
    lateness: Lateness,
    /// From shortly before the first drain.
    change: Option<(Duration, Lateness)>,
    drains: usize,
    run: Duration,
    may_health_check: bool,
    /// Requests per second of all front ends.
    rate: f64,
    front_ends: usize,
    seed: u64,
}

impl Case {
    fn new(name: &'static str, seed: u64) -> Case {
        Case {
            name,
            lateness: Lateness::NONE,
            change: None,
            drains: 1,
            run: 20 * MS,
            may_health_check: true,
            rate: 90.0,
            front_ends: 1,
            seed,
        }
    }

    /// The bus is late by this time from its first frame on.
    fn late(self, milliseconds: u32) -> Case {
        Case { lateness: Lateness::constant(milliseconds * MS), ..self }
    }

    /// The bus becomes late by `milliseconds` this long before the first drain.
    fn late_since(self, before_drain: Duration, milliseconds: u32) -> Case {
        Case { change: Some((before_drain, Lateness::constant(milliseconds * MS))), ..self }
    }
}

/// Drains executors one after the other while the bus is late.
async fn play(case: Case) -> Verdict {
    let shape = Shape {
        run: case.run,
        bus_lateness: case.lateness,
        may_health_check: case.may_health_check,
        ..Shape::usual(case.front_ends, EXECUTORS, case.seed)
    };
    let mut rig = Rig::start(shape, |_| Vec::new()).await;
    rig.begin_traffic(Load {
        clients: 1,
        rate: case.rate / case.front_ends as f64,
        functions: 24,
        new_function_after: 0,
        allow: 1500 * MS,
        unsafe_part: 0.3,
        cancelled_part: 0.0,
        short_part: 0.0,
    });
    let first_drain = Instant::now() + BEFORE_DRAINS;
    if let Some((before_drain, lateness)) = case.change {
        tokio::time::sleep_until((first_drain - before_drain).into()).await;
        rig.set_bus_lateness(lateness);
    }
    for index in 0..case.drains {
        tokio::time::sleep_until((first_drain + BETWEEN_DRAINS * index as u32).into()).await;
        rig.begin_drain(index);
        rig.publish_drain(index);
    }
    tokio::time::sleep(AFTER_DRAINS).await;
    rig.finish().await
}

/// Plays each case on its own thread. Returns the broken rules, and the cases that were served too little.
fn violations(cases: &[Case]) -> Vec<String> {
    let mut violations = Vec::new();
    for (case, verdict) in cases.iter().zip(on_own_threads(cases.to_vec(), play)) {
        let (requests, broken) = (verdict.requests.len(), verdict.broken.len());
        let served = verdict.served_in_all();
        println!(
            "{}, seed {}: {requests} requests, served {served:.3}, {:.3} health checks a request, {broken} broken rules",
            case.name,
            case.seed,
            verdict.probes as f64 / requests.max(1) as f64
        );
        let silences = verdict.logs.iter().filter(|line| line.contains(SILENCE)).count();
        if silences > case.front_ends {
            violations.push(format!("{}: the bus counted as silent {silences} times", case.name));
        }
        let is_served_too_little = case.may_health_check && served < SERVED_PART;
        violations.extend(is_served_too_little.then(|| format!("{}: served {served:.3}", case.name)));
        let shown = verdict.broken.into_iter().take(MAX_PRINTED);
        violations.extend(shown.map(|text| format!("{}: {text}", case.name)));
    }
    violations
}

fn assert_rules_kept(cases: &[Case]) {
    let violations = violations(cases);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against new work to an executor whose drain is in a bus that is slow, but neither silent nor broken off.
#[test]
fn drains_that_a_late_bus_reports_are_kept_from_when_they_are_in_the_bus() {
    let _lock = shared_lock();
    assert_rules_kept(&[
        Case { drains: 3, ..Case::new("late by 1 s since two seconds before the drain", 1) }
            .late_since(2000 * MS, 1000),
        Case { drains: 3, ..Case::new("late by 0.35 s from the first frame", 2) }.late(350),
        Case {
            drains: 3,
            front_ends: 3,
            ..Case::new("three front ends, late by 1 s from the first frame", 3)
        }
        .late(1000),
        Case { drains: 2, ..Case::new("late by 1.6 s from the first frame", 4) }.late(1600),
    ]);
}

/// Guards against a lateness that no interval between two frames shows.
#[test]
fn drains_are_kept_while_the_lateness_of_the_bus_grows_slowly() {
    let _lock = shared_lock();
    let growing = |growth| Lateness { initial: Duration::ZERO, growth, maximum: 1200 * MS };
    assert_rules_kept(&[
        Case { drains: 3, lateness: growing(0.1), ..Case::new("later by 0.1 s a second", 5) },
        Case { drains: 3, lateness: growing(0.25), ..Case::new("later by 0.25 s a second", 6) },
    ]);
}

/// Guards against evidence that is older than the grace where few attempts or no health checks renew it.
#[test]
fn drains_that_a_late_bus_reports_are_kept_with_long_runs_few_requests_and_without_health_checks() {
    let _lock = shared_lock();
    let without_checks = |name, seed| Case { may_health_check: false, drains: 2, ..Case::new(name, seed) };
    assert_rules_kept(&[
        Case { drains: 2, run: 700 * MS, rate: 40.0, ..Case::new("runs of 0.7 s", 7) }.late(1000),
        Case { drains: 3, rate: 3.0, ..Case::new("three requests a second", 8) }.late(1000),
        without_checks("no health checks", 9).late(1000),
        without_checks("no health checks, late since a second before the drain", 10)
            .late_since(1000 * MS, 1000),
    ]);
}

/// Guards against new work to an executor that rejects it, in the time until the next frame is overdue.
#[test]
fn an_executor_that_rejects_attempts_gets_no_more_from_a_list_that_may_lack_its_drain() {
    let _lock = shared_lock();
    let dense = |name, seed| Case { drains: 3, rate: 300.0, ..Case::new(name, seed) };
    assert_rules_kept(&[
        dense("late by 0.35 s since 10 ms before the drain", 11).late_since(10 * MS, 350),
        dense("late by 1 s since 10 ms before the drain", 12).late_since(10 * MS, 1000),
        dense("late by 1.6 s since 10 ms before the drain", 13).late_since(10 * MS, 1600),
    ]);
}

/// Guards against the first attempt at an executor that drained while the list counts as valid and no attempt renewed the
/// evidence of the executor within the grace.
#[test]
fn an_executor_with_few_attempts_gets_none_after_a_drain_that_a_bus_in_time_until_then_reports_late() {
    let _lock = shared_lock();
    assert_rules_kept(&[
        Case { drains: 3, ..Case::new("late by 1 s since 10 ms before the drain", 12) }
            .late_since(10 * MS, 1000),
        Case {
            drains: 2,
            run: 250 * MS,
            ..Case::new("runs of 0.25 s, late since 10 ms before the drain", 14)
        }
        .late_since(10 * MS, 1600),
    ]);
}
