//! Bytes a second that the list costs a front end at the day's turnover, and which of it is sent to whom.

use super::{shards, subject};
use crate::error::ScaleError;
use crate::letter::*;
use crate::list;
use crate::plan::Plan;
use crate::row::{Resource, Row, Subject};

fn told(row: Row, name: &'static str, formula: &'static str, mechanism: &'static str) -> Row {
    let subject = Subject {
        resource: Resource::Bytes,
        unit: "bytes/s",
        axis: "lines of the list",
        limit: CONTROL_BYTES,
        source: "5 KB a second for control",
        formula,
        mechanism,
        counted: true,
        ..subject(name)
    };
    Row::new(subject, row.points)
}

fn list_row(name: &str, plan: &Plan) -> Result<Row, ScaleError> {
    let found = list::MEASURES.iter().find(|m| m.name == name);
    let measure = found.ok_or_else(|| ScaleError::Unknown(name.into()))?;
    (measure.run)(plan)
}

/// As it is today: every change to every front end.
pub fn bus(plan: &Plan) -> Result<Row, ScaleError> {
    Ok(told(
        list_row("list-bytes-bus", plan)?,
        "proof-bytes-bus",
        "every change, 27 + 13 bytes, to every front end, whatever its shards",
        "numbered changes; each takes its part from the whole list",
    ))
}

/// As it is today: the whole list to every front end at each change.
pub fn consul(plan: &Plan) -> Result<Row, ScaleError> {
    Ok(told(
        list_row("list-bytes-consul", plan)?,
        "proof-bytes-consul",
        "the whole list at every change to every front end: undivided, as no service stands for a shard",
        "none: blocking queries on one service of all workers",
    ))
}

/// A service for each shard, which its front ends watch: not built; a worker would enter itself in its
/// shards' services. The control: nobody does.
pub fn consul_divided(plan: &Plan) -> Result<Row, ScaleError> {
    let whole = list_row("list-bytes-consul", &Plan { control: false, ..*plan })?;
    let parts = if plan.control { 1.0 } else { f64::from(shards(plan)) };
    let row = told(
        whole,
        "proof-bytes-consul-divided",
        "a shard's changes a day * bytes of its part, to the shard's front ends (assumed: not built)",
        "would be: a service for each shard; both factors are one in so many shards",
    );
    let points = row.points.iter().map(|p| crate::Point { value: p.value / parts / parts, ..*p }).collect();
    Ok(Row { mark: crate::Mark::Assumed, ..Row::new(row.subject, points) })
}
