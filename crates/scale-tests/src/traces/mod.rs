//! What a front end leaves behind: intents on disk, series of metrics, lines of the log.

mod core;
mod marks;

use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::*;
use crate::plan::{Measure, Plan};
use crate::row::{Resource, Role, Row, Subject};

pub const MEASURES: &[Measure] = &[
    Measure { name: "marks-disk", run: marks_disk },
    Measure { name: "metrics-page", run: |p| Ok(metrics_page(p)) },
    Measure { name: "log-bytes", run: |p| Ok(log_bytes(p)) },
];

/// Bytes of intents on a front end's disk: assumed.
const DISK: f64 = 256e6;
/// Seconds between two looks at the page of metrics: assumed.
const SCRAPE: f64 = 15.0;

fn subject(name: &'static str) -> Subject {
    Subject {
        name,
        role: Role::FrontEnd,
        resource: Resource::Bytes,
        unit: "bytes/s",
        axis: "workers and functions called, each",
        asked: WORKERS,
        limit: CONTROL_BYTES,
        source: "5 KB a second for control",
        formula: "",
        mechanism: "",
        counted: true,
    }
}

fn marks_disk(plan: &Plan) -> Result<Row, ScaleError> {
    let subject = Subject {
        resource: Resource::StateBytes,
        unit: "bytes",
        axis: "marks kept",
        asked: CALLS_EACH * 3600.0,
        limit: DISK,
        source: "256 MB of a front end's disk (assumed)",
        formula: "122 calls/s * 3,600 s of keep * bytes of a mark, where every call is marked (assumed)",
        mechanism: "group commits; marks go by their age, the oldest first beyond a bound",
        ..subject("marks-disk")
    };
    let sizes: &[u64] = plan.pick(
        &[500, 1500, 5000, 15_000],
        &[4_000, 13_000, 40_000, 120_000],
        &[4_000, 13_000, 40_000, 120_000, 439_200],
    );
    // The control: intents are kept for a day instead of an hour.
    let times = if plan.control { 24 } else { 1 };
    let point = |&kept: &u64| Ok(Point { size: kept as f64, value: marks::on_disk(kept * times)? });
    let points = sizes.iter().map(point).collect::<Result<Vec<_>, ScaleError>>()?;
    Ok(Row::new(subject, points))
}

fn sizes(plan: &Plan) -> &'static [u32] {
    plan.pick(&[10, 30, 100, 300], &[30, 100, 300, 1000], &[100, 300, 1000, 3000])
}

fn metrics_page(plan: &Plan) -> Row {
    let subject = Subject {
        formula: "bytes of the page / 15 s between looks (assumed)",
        mechanism: "labels are the front end and the outcome: none names a worker or a function",
        ..subject("metrics-page")
    };
    let point = |&n: &u32| {
        // The control: a series for each function.
        let page = core::metrics_page(n, plan.control);
        Point { size: f64::from(n), value: page as f64 / SCRAPE }
    };
    Row::new(subject, sizes(plan).iter().map(point).collect())
}

fn log_bytes(plan: &Plan) -> Row {
    let subject = Subject {
        formula: "bytes logged a call at info * 122 calls/s",
        mechanism: "calls are logged at debug only; the platform writes at most 40 lines a second",
        ..subject("log-bytes")
    };
    let point = |&n: &u32| {
        // The control: every step of every call is logged.
        let (bytes, calls) = core::logged(n, plan.control);
        Point { size: f64::from(n), value: bytes as f64 / f64::from(calls) * CALLS_EACH }
    };
    Row::new(subject, sizes(plan).iter().map(point).collect())
}
