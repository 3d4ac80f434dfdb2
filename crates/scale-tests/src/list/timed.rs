//! Rows of a front end that follows the list: processor time.

use super::rows::{sizes, subject, CHANGES_A_DAY};
use super::{Follower, Read};
use crate::error::ScaleError;
use crate::fit::Point;
use crate::front_end::LOAD;
use crate::letter::*;
use crate::plan::Plan;
use crate::row::{Resource, Row, Subject};

fn share_subject(name: &'static str) -> Subject {
    Subject {
        resource: Resource::Processor,
        unit: "of a core",
        limit: CONTROL_CORE,
        source: "1.5% of a core for control",
        counted: false,
        ..subject(name)
    }
}

pub fn share_bus(plan: &Plan, name: &'static str, asked: f64) -> Result<Row, ScaleError> {
    let subject = Subject {
        asked,
        formula: "changes a day * time of one (module: a batch looks at every worker)",
        mechanism: "numbered changes",
        ..share_subject(name)
    };
    let point = |(size, lines): (f64, u32)| {
        let mut follower = Follower::default();
        let whole = follower.whole(lines).time;
        let times: Vec<f64> = (0..9).map(|n| follower.restart((lines / 9).max(1) * n).time / 3.0).collect();
        let each = if plan.control { whole * 300.0 } else { median(times) };
        Ok(Point { size, value: CHANGES_A_DAY * f64::from(lines) / WORKERS * each / DAY })
    };
    let points = sizes(plan, asked).into_iter().map(point).collect::<Result<Vec<_>, ScaleError>>()?;
    Ok(Row::new(subject, points))
}

pub fn share_consul(plan: &Plan, name: &'static str, asked: f64) -> Result<Row, ScaleError> {
    let subject = Subject {
        asked,
        formula: "changes a day * time to read the whole list and to tell the module",
        mechanism: "blocking queries: every change brings the whole list",
        ..share_subject(name)
    };
    let point = |(size, lines): (f64, u32)| {
        let mut follower = Follower::default();
        let times: Vec<f64> = (0..3).map(|_| follower.consul(lines).time).collect();
        let a_day = if plan.control { DAY } else { CHANGES_A_DAY * f64::from(lines) / WORKERS };
        Ok(Point { size, value: a_day * median(times) / DAY })
    };
    let points = sizes(plan, asked).into_iter().map(point).collect::<Result<Vec<_>, ScaleError>>()?;
    Ok(Row::new(subject, points))
}

/// Processor time of the list whole: no call is decided meanwhile.
pub fn pause(
    plan: &Plan,
    name: &'static str,
    read: fn(&mut Follower, u32) -> Read,
) -> Result<Row, ScaleError> {
    let subject = Subject {
        unit: "s",
        resource: Resource::Time,
        limit: COLD_START - LOAD as f64 / 1e6,
        source: "0.56 s less a load of 0.5 s (assumed)",
        formula: "time of the whole list from bytes to known",
        mechanism: "the front end's own thread reads it",
        ..share_subject(name)
    };
    let point = |(size, lines): (f64, u32)| {
        let mut follower = Follower::default();
        let times: Vec<f64> = (0..3).map(|_| read(&mut follower, lines).time).collect();
        Point { size, value: median(times) * if plan.control { 100.0 } else { 1.0 } }
    };
    Ok(Row::new(subject, sizes(plan, WORKERS).into_iter().map(point).collect()))
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(0.0)
}
