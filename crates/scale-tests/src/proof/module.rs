//! Rows of processor time: a call, and control in all.

use super::{scene, subject, whole};
use crate::fit::Point;
use crate::front_end::{played, Change, Outcome, Played, Scene};
use crate::letter::*;
use crate::list::CHANGES_A_DAY;
use crate::plan::Plan;
use crate::row::{Resource, Row, Subject};

/// Changes of the list that a scene plays one by one, to have the time of one.
const CHANGES: u32 = 30;

/// The letter's workers are played whole in each size, as a divided front end is notified of few.
fn sizes(plan: &Plan) -> &'static [u32] {
    match plan.control {
        // Many times as many as are short of the limit: an idle machine takes half the time of a busy one.
        true => &[50, 150, 500, 1800],
        false => plan.pick(
            &[1000, 3000, 10_000, 30_000],
            &[1000, 3000, 10_000, 30_000],
            &[1000, 3000, 10_000, 30_000],
        ),
    }
}

/// Its calls, while workers all over the fleet restart.
fn ordinary(plan: &Plan, workers: u32, played: Played) -> Scene {
    let seconds = if plan.control { 12.0 } else { plan.pick(12.0, 90.0, 90.0) };
    let at = |n: u32| {
        (seconds * f64::from(n + 1) / f64::from(CHANGES + 2), Change::Restart(vec![n * 37 % workers]))
    };
    Scene { changes: (0..CHANGES).map(at).collect(), ..scene(plan, workers, seconds, played) }
}

/// A row with the figure of the same front end that knows the whole list beside it.
fn row(plan: &Plan, subject: Subject, who: Played, figure: fn(&Outcome) -> f64) -> Row {
    let point = |&n: &u32| Point { size: f64::from(n), value: figure(&played(&ordinary(plan, n, who))) };
    let row = Row::new(subject, sizes(plan).iter().map(point).collect());
    let beside = (!plan.control).then(|| figure(&whole(plan)));
    Row { beside, ..row }
}

pub fn mean(plan: &Plan, name: &'static str, who: Played) -> Row {
    row(plan, subject(name), who, Outcome::each)
}

pub fn middle(plan: &Plan, name: &'static str, who: Played) -> Row {
    let subject = Subject { formula: "p50 of a batch that brings a call", ..subject(name) };
    row(plan, subject, who, |o| o.batches.value_at_quantile(0.5) as f64 / 1e9)
}

/// Processor time of the module for calls, and of the list's changes.
pub fn control(plan: &Plan, name: &'static str, who: Played) -> Row {
    let subject = Subject {
        unit: "of a core",
        resource: Resource::Processor,
        limit: CONTROL_CORE,
        source: "1.5% of a core for control",
        formula: "calls/s of it * time a call + 3,010 changes of the list a day * time of one",
        ..subject(name)
    };
    let figure = |o: &Outcome| {
        let change = o.list.0 / o.list.1.max(1) as f64;
        // Batches of the list are the module's time too: counted twice, never left out.
        o.module / o.seconds + CHANGES_A_DAY * change / DAY
    };
    row(plan, subject, who, figure)
}
