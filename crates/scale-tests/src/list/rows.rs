//! Rows of one front end that follows the list: whole, by changes, and what it keeps.

use super::bytes::heartbeat;
use super::{source, timed};
use super::{Follower, Read};
use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::*;
use crate::plan::{Measure, Plan};
use crate::row::{Resource, Role, Row, Subject};
use stagehoist_endpoints::MAX_WORKERS;

pub const MEASURES: &[Measure] = &[
    Measure { name: "list-kept", run: list_kept },
    Measure { name: "list-whole-bus", run: |p| whole_bus(p, "list-whole-bus", WORKERS) },
    Measure {
        name: "list-whole-bus-instances",
        run: |p| whole_bus(p, "list-whole-bus-instances", INSTANCES),
    },
    Measure { name: "list-whole-consul", run: |p| whole_consul(p, "list-whole-consul", WORKERS) },
    Measure {
        name: "list-whole-consul-instances",
        run: |p| whole_consul(p, "list-whole-consul-instances", INSTANCES),
    },
    Measure { name: "list-bytes-bus", run: |p| bytes_bus(p, "list-bytes-bus", WORKERS) },
    Measure {
        name: "list-bytes-bus-instances",
        run: |p| bytes_bus(p, "list-bytes-bus-instances", INSTANCES),
    },
    Measure { name: "list-bytes-consul", run: |p| bytes_consul(p, "list-bytes-consul", WORKERS) },
    Measure { name: "list-share-bus", run: |p| timed::share_bus(p, "list-share-bus", WORKERS) },
    Measure { name: "list-share-consul", run: |p| timed::share_consul(p, "list-share-consul", WORKERS) },
    Measure { name: "list-pause-bus", run: |p| timed::pause(p, "list-pause-bus", Follower::whole) },
    Measure { name: "list-pause-consul", run: |p| timed::pause(p, "list-pause-consul", Follower::consul) },
    Measure { name: "source-herd-bus", run: |p| source::herd(p, "source-herd-bus") },
    Measure { name: "source-herd-consul", run: |p| source::herd(p, "source-herd-consul") },
    Measure { name: "source-messages", run: source::messages },
];

/// Largest frame of the event subscription and largest answer of Consul that are read: `FRAME_MOST`, `LIST_MOST`.
const FRAME_MOST: f64 = (1u64 << 20) as f64;
const LIST_MOST: f64 = (64u64 << 20) as f64;
/// Changes of the list a day over 30,000 workers: a restart is reported as draining, gone, back; a failure as gone, back.
pub const CHANGES_A_DAY: f64 = 3.0 * RESTARTED + 2.0 * FAILING;

pub fn failed(row: &'static str) -> impl Fn(String) -> ScaleError {
    move |what| ScaleError::Measure { row, what }
}

/// Sizes of list up to the letter's. A divided front end is notified of the whole list too: it takes its part
/// from it.
pub fn sizes(plan: &Plan, asked: f64) -> Vec<(f64, u32)> {
    let parts = plan.pick(
        &[600.0, 200.0, 60.0, 20.0][..],
        &[100.0, 30.0, 10.0, 3.0, 1.0],
        &[100.0, 30.0, 10.0, 3.0, 1.0],
    );
    let size = |part: &f64| (asked / part, (asked / part).ceil().max(1.0) as u32);
    parts.iter().map(size).collect()
}

pub fn subject(name: &'static str) -> Subject {
    Subject {
        name,
        role: Role::FrontEnd,
        resource: Resource::Bytes,
        unit: "bytes/s",
        axis: "lines of the list",
        asked: WORKERS,
        limit: CONTROL_BYTES,
        source: "5 KB a second for control",
        formula: "",
        mechanism: "",
        counted: true,
    }
}

/// Lines that are kept of a list: as many as there are, up to the bound.
fn list_kept(plan: &Plan) -> Result<Row, ScaleError> {
    // Divided, `workers-most` tells of room for the whole list: no shard may lose the last by name.
    let most = plan.shards.filter(|_| !plan.control).map_or(MAX_WORKERS, |_| WORKERS as usize);
    let told = |lines: u32| {
        let mut follower = Follower::at_most(most);
        follower.consul(lines).rows.map(|_| follower.ready() as f64)
    };
    let many = (most as u32).saturating_add(2_000);
    let limit = told(many).map_err(failed("list-kept"))?;
    let subject = Subject {
        unit: "lines",
        resource: Resource::StateBytes,
        limit,
        source: "lines kept of 2,000 more: WORKERS_MOST; divided 30,000 are told",
        formula: "workers",
        mechanism: "beyond the bound lines are left out, the last by name first",
        ..subject("list-kept")
    };
    // The control: an instance is a worker of its own.
    let times = if plan.control { INSTANCES / WORKERS } else { 1.0 };
    let points =
        sizes(plan, WORKERS).into_iter().map(|(size, lines)| Point { size, value: f64::from(lines) * times });
    Ok(Row::new(subject, points.collect()))
}

fn whole(plan: &Plan, subject: Subject, read: fn(&mut Follower, u32) -> Read) -> Result<Row, ScaleError> {
    // The control: every line is reported thirty times.
    let times = if plan.control { 30 } else { 1 };
    let point = |(size, lines): (f64, u32)| {
        let Read { bytes, rows: told, .. } = read(&mut Follower::default(), lines);
        // What is beyond the bound is refused, and so counts as it is; what is within must be read.
        match told {
            Err(what) if bytes as f64 <= subject.limit => Err(failed(subject.name)(what)),
            _ => Ok(Point { size, value: (bytes * times) as f64 }),
        }
    };
    let points = sizes(plan, subject.asked).into_iter().map(point).collect::<Result<Vec<_>, ScaleError>>()?;
    Ok(Row::new(subject, points))
}

fn whole_bus(plan: &Plan, name: &'static str, asked: f64) -> Result<Row, ScaleError> {
    let subject = Subject {
        asked,
        unit: "bytes",
        limit: FRAME_MOST,
        source: "longest frame that is read, 1 MiB",
        formula: "27 * lines + 13",
        mechanism: "one frame; read once, at start and after a gap",
        ..subject(name)
    };
    whole(plan, subject, Follower::whole)
}

fn whole_consul(plan: &Plan, name: &'static str, asked: f64) -> Result<Row, ScaleError> {
    // Bodies of a gigabyte are not made: the largest sizes are left to the curve.
    let asked_here = asked.min(WORKERS);
    let subject = Subject {
        asked: asked_here,
        unit: "bytes",
        limit: LIST_MOST,
        source: "largest answer that is read, 64 MiB",
        formula: "bytes of an entry of the health API * lines",
        mechanism: "one answer; read whole at each change",
        ..subject(name)
    };
    let row = whole(plan, subject, Follower::consul)?;
    Ok(Row::new(Subject { asked, ..row.subject }, row.points))
}

fn bytes_bus(plan: &Plan, name: &'static str, asked: f64) -> Result<Row, ScaleError> {
    let subject = Subject {
        asked,
        formula: "(990 * 3 + 20 * 2) * (27 + 13) a day * lines / 30,000 + 13 a second",
        mechanism: "numbered changes; the whole list only at start and after a gap",
        ..subject(name)
    };
    let point = |(size, lines): (f64, u32)| {
        let mut follower = Follower::default();
        let all = follower.whole(lines.min(30_000));
        all.rows.map_err(failed(name))?;
        let each = follower.restart(lines / 2);
        each.rows.map_err(failed(name))?;
        let a_day = CHANGES_A_DAY * f64::from(lines) / WORKERS * each.bytes as f64 / 3.0;
        // The control: every second brings a gap, and the list is reported whole.
        let whole = if plan.control { all.bytes as f64 } else { 0.0 };
        Ok(Point { size, value: whole + a_day / DAY + heartbeat(1).len() as f64 })
    };
    let points = sizes(plan, asked).into_iter().map(point).collect::<Result<Vec<_>, ScaleError>>()?;
    Ok(Row::new(subject, points))
}

fn bytes_consul(plan: &Plan, name: &'static str, asked: f64) -> Result<Row, ScaleError> {
    let subject = Subject {
        asked,
        formula: "(990 * 3 + 20 * 2) a day * lines / 30,000 * bytes of the whole list",
        mechanism: "blocking queries: every change brings the whole list",
        ..subject(name)
    };
    let point = |(size, lines): (f64, u32)| {
        let read = Follower::default().consul(lines);
        read.rows.map_err(failed(name))?;
        // The control: queries never block, and are asked anew every second.
        let a_day = if plan.control { DAY } else { CHANGES_A_DAY * f64::from(lines) / WORKERS };
        Ok(Point { size, value: a_day * read.bytes as f64 / DAY })
    };
    let points = sizes(plan, asked).into_iter().map(point).collect::<Result<Vec<_>, ScaleError>>()?;
    Ok(Row::new(subject, points))
}
