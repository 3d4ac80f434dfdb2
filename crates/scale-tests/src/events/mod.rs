//! Events at scale, each counted: what one front end is given, what it takes, and what becomes of its calls meanwhile.

use crate::fit::Point;
use crate::front_end::{played, Change, Outcome, Scene, Shards};
use crate::letter::*;
use crate::plan::{Measure, Plan};
use crate::row::{Resource, Role, Row, Subject};

pub const MEASURES: &[Measure] = &[
    Measure { name: "event-zone", run: |p| Ok(lost(p, "event-zone", zone)) },
    Measure { name: "event-zone-pause", run: |p| Ok(pause(p, "event-zone-pause", zone)) },
    Measure { name: "event-restarts", run: |p| Ok(lost(p, "event-restarts", restarts)) },
    Measure { name: "event-rack", run: |p| Ok(lost(p, "event-rack", rack)) },
    Measure { name: "event-region", run: |p| Ok(lost(p, "event-region", region)) },
    Measure { name: "event-region-pause", run: |p| Ok(pause(p, "event-region-pause", region)) },
    Measure { name: "event-whole", run: |p| Ok(lost(p, "event-whole", whole)) },
    Measure { name: "event-whole-pause", run: |p| Ok(pause(p, "event-whole-pause", whole)) },
];

/// Workers of one rack: assumed.
const RACK: u32 = 40;

/// When an event begins and its scene ends, in seconds: calls have warmed what they reach by then.
fn times(plan: &Plan) -> (f64, f64) {
    plan.pick((5.0, 35.0), (15.0, 45.0), (15.0, 45.0))
}

type Changes = fn(&Plan, u32) -> Vec<(f64, Change)>;

/// All workers of a zone restart, within a second.
fn zone(plan: &Plan, workers: u32) -> Vec<(f64, Change)> {
    let of = |part: u32| (0..workers).filter(|w| w % 7 == 0 && w / 7 % 10 == part).collect();
    (0..10).map(|part| (times(plan).0 + f64::from(part) * 0.1, Change::Restart(of(part)))).collect()
}

/// 990 of 30,000 restart in an hour: as many of these as fall into the scene.
fn restarts(plan: &Plan, workers: u32) -> Vec<(f64, Change)> {
    let (from, to) = times(plan);
    let an_hour = RESTARTED * f64::from(workers) / WORKERS;
    let many = (an_hour * (to - from) / 3600.0).ceil() as u32;
    let at = |n: u32| from + (to - from) * f64::from(n) / f64::from(many);
    (0..many).map(|n| (at(n), Change::Restart(vec![n * 37 % workers]))).collect()
}

/// A rack is gone at once.
fn rack(plan: &Plan, workers: u32) -> Vec<(f64, Change)> {
    vec![(times(plan).0, Change::Gone((0..RACK.min(workers / 7)).collect()))]
}

/// One of two regions is out of reach, and back: after an hour, of which the scene plays some seconds.
fn region(plan: &Plan, workers: u32) -> Vec<(f64, Change)> {
    let far: Vec<u32> = (0..workers).filter(|w| w % 7 >= 4).collect();
    let (from, to) = times(plan);
    vec![(from, Change::Gone(far.clone())), ((from + to) / 2.0, Change::Back(far))]
}

/// The list comes whole though nothing changed, three times.
fn whole(plan: &Plan, _: u32) -> Vec<(f64, Change)> {
    (0..3).map(|n| (times(plan).0 + f64::from(n), Change::Whole)).collect()
}

fn scene(plan: &Plan, workers: u32, changes: Changes) -> Scene {
    let shards = plan.shards.filter(|_| !plan.control).map(Shards::of);
    // The control: every worker is gone from the event on, and none comes back.
    let changes = match plan.control {
        true => vec![(times(plan).0, Change::Gone((0..workers).collect()))],
        false => changes(plan, workers),
    };
    Scene { changes, shards, ..Scene::one(workers, FUNCTIONS as u64, times(plan).1, plan.seed) }
}

fn points(plan: &Plan, changes: Changes, figure: impl Fn(&Outcome) -> f64) -> Vec<Point> {
    let whole: &[u32] =
        plan.pick(&[140, 420, 1400], &[100, 300, 1000, 3000], &[300, 1000, 3000, 10_000, 30_000]);
    let sizes =
        if plan.shards.is_some() && !plan.control { &[1000, 3000, 10_000, 30_000][..] } else { whole };
    let point = |&n: &u32| Point { size: f64::from(n), value: figure(&played(&scene(plan, n, changes))) };
    sizes.iter().map(point).collect()
}

fn subject(name: &'static str) -> Subject {
    Subject {
        name,
        role: Role::Event,
        resource: Resource::Share,
        unit: "of calls not served",
        axis: "workers, 170,000 functions",
        asked: WORKERS,
        limit: 0.01,
        source: "99 in 100 (assumed for what an event may cost)",
        formula: "calls refused or failed over calls, of one front end from its start",
        mechanism:
            "a call is tried again elsewhere within its budget; a restarted worker takes little at first",
        counted: true,
    }
}

fn lost(plan: &Plan, name: &'static str, changes: Changes) -> Row {
    let share = |o: &Outcome| o.given_up as f64 / o.calls.max(1) as f64;
    Row::new(subject(name), points(plan, changes, share))
}

fn pause(plan: &Plan, name: &'static str, changes: Changes) -> Row {
    let subject = Subject {
        resource: Resource::Time,
        unit: "s",
        limit: 0.06,
        source: "0.56 s less a load of 0.5 s (assumed)",
        formula: "longest change of the list in processor time: no call is decided meanwhile",
        mechanism: "the module takes rows one by one",
        counted: false,
        ..subject(name)
    };
    let times = if plan.control { 1000.0 } else { 1.0 };
    Row::new(subject, points(plan, changes, |o| o.longest_list * times))
}
