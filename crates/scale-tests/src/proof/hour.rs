//! Memory of one front end over an hour of calls, with the day's turnover of workers.

use super::{scene, subject, whole};
use crate::fit::Point;
use crate::front_end::{played, Change, Fault, Played, Scene};
use crate::letter::*;
use crate::plan::Plan;
use crate::row::{Resource, Row, Subject};

/// Quarters: of each length, the next is four times.
const SECONDS: [f64; 5] = [14.0625, 56.25, 225.0, 900.0, APART];
/// What memory may grow by from a length to four times of it, as a part of it: assumed for "flat".
const FLAT: f64 = 0.05;

/// As many are replaced, by new names, as of a day fall in; the front end is the one with the middle of
/// calls.
fn over(plan: &Plan, seconds: f64, fault: Option<Fault>) -> Scene {
    let workers = if plan.control { 100 } else { WORKERS as u32 };
    let many = (RESTARTED * seconds / DAY).round() as u32;
    let at = |n: u32| f64::from(n) * DAY / RESTARTED + 1.0;
    let change = |n: u32| (at(n), Change::Replace(vec![(n * 7919) % workers]));
    let plain = scene(plan, workers, seconds, Played::Usual);
    // In small a tenth of the calls.
    let calls_per_second = CALLS_EACH * plan.pick(0.1, 1.0, 1.0);
    Scene { changes: (0..many).map(change).collect(), calls_per_second, fault, ..plain }
}

fn hour_subject(name: &'static str) -> Subject {
    Subject {
        resource: Resource::Memory,
        unit: "bytes",
        axis: "seconds of calls, 30,000 workers, 170,000 functions, 300 shards (small: a tenth of the calls)",
        asked: APART,
        limit: CONTROL_MEMORY,
        source: "128 MB for control",
        formula: "whole list with its division + 8 bytes * own workers * own functions of 8 keep-alives",
        mechanism: "division: few functions and workers; functions are forgotten, and names by their age",
        counted: true,
        ..subject(name)
    }
}

fn kept(plan: &Plan, seconds: f64, fault: Option<Fault>) -> f64 {
    played(&over(plan, seconds, fault)).kept_bytes
}

pub fn memory(plan: &Plan) -> Row {
    let subject = hour_subject("proof-memory");
    if plan.control {
        // Three thousand workers, all known: seconds are enough.
        let whole = |seconds: f64| scene(plan, 3_000, seconds, Played::Usual);
        let sizes = [0.25, 0.5, 1.0, 2.0];
        let points = sizes.map(|size| Point { size, value: played(&whole(size)).kept_bytes });
        return Row::new(subject, points.to_vec());
    }
    let row = Row::new(subject, SECONDS.map(|size| Point { size, value: kept(plan, size, None) }).to_vec());
    Row { beside: Some(whole(plan).kept_bytes), ..row }
}

/// The control: what was called is kept for ever, by a front end that is called for all functions.
pub fn growth(plan: &Plan) -> Row {
    let subject = Subject {
        unit: "of what it was after a quarter of the time",
        limit: FLAT,
        source: "flat over an hour: a twentieth from the first quarter to the last (assumed)",
        formula: "memory after so long / memory after a quarter of it - 1",
        ..hour_subject("proof-memory-growth")
    };
    let fault = plan.control.then_some(Fault::KeepForEver);
    let kept = SECONDS.map(|seconds| kept(plan, seconds, fault));
    let points = SECONDS
        .iter()
        .zip(kept.windows(2))
        .map(|(quarter, k)| Point { size: quarter * 4.0, value: (k[1] / k[0] - 1.0).max(0.0) });
    Row::new(subject, points.collect())
}
