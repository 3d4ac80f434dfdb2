//! Rows side by side: each permit in a process of its own, as bytes allocated are counted for a whole process
//! and processor time for a thread. A permit sends each of its rows as a line.

use crate::error::ScaleError;
use crate::fit::Point;
use crate::plan::{lanes, Plan, Size};
use crate::row::{Mark, Resource, Role, Row, Subject};
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::process::{Child, Command, Stdio};

/// A row on its way from a permit: figures by their bits, so that none changes by a digit.
#[derive(Serialize, Deserialize)]
struct Sent {
    /// Name, unit, axis, source, formula, mechanism.
    words: [String; 6],
    role: Role,
    resource: Resource,
    counted: bool,
    assumed: bool,
    /// Asked, limit, figure.
    numbers: [u64; 3],
    beside: Option<u64>,
    points: Vec<[u64; 2]>,
}

/// A row as a line.
///
/// # Errors
/// It can't be written.
pub fn line(row: &Row) -> Result<String, ScaleError> {
    let s = &row.subject;
    let sent = Sent {
        words: [s.name, s.unit, s.axis, s.source, s.formula, s.mechanism].map(String::from),
        role: s.role,
        resource: s.resource,
        counted: s.counted,
        assumed: row.mark == Mark::Assumed,
        numbers: [s.asked, s.limit, row.figure].map(f64::to_bits),
        beside: row.beside.map(f64::to_bits),
        points: row.points.iter().map(|p| [p.size, p.value].map(f64::to_bits)).collect(),
    };
    serde_json::to_string(&sent).map_err(|e| wrong(s.name, &e.to_string()))
}

/// The row of a line; curve and intent come from the points again.
///
/// # Errors
/// The line is none of [`line()`]'s.
pub fn row(line: &str) -> Result<Row, ScaleError> {
    let sent: Sent = serde_json::from_str(line).map_err(|e| wrong("a lane", &e.to_string()))?;
    // A run has some tens of rows, and ends after the last.
    let [name, unit, axis, source, formula, mechanism] =
        sent.words.map(|word| -> &'static str { Box::leak(word.into_boxed_str()) });
    let [asked, limit, figure] = sent.numbers.map(f64::from_bits);
    let subject = Subject {
        name,
        role: sent.role,
        resource: sent.resource,
        unit,
        axis,
        asked,
        limit,
        source,
        formula,
        mechanism,
        counted: sent.counted,
    };
    let point = |[size, value]: [u64; 2]| Point { size: f64::from_bits(size), value: f64::from_bits(value) };
    let row = Row::new(subject, sent.points.into_iter().map(point).collect());
    let mark = if sent.assumed { Mark::Assumed } else { row.mark };
    Ok(Row { figure, mark, beside: sent.beside.map(f64::from_bits), ..row })
}

fn wrong(row: &'static str, what: &str) -> ScaleError {
    ScaleError::Measure { row, what: what.into() }
}

fn begin(plan: &Plan, lane: usize) -> Result<Child, ScaleError> {
    let size = match plan.size {
        Size::Small => "small",
        Size::Quick => "quick",
        Size::Full => "full",
    };
    let mut command = Command::new(std::env::current_exe().map_err(|e| wrong("a lane", &e.to_string()))?);
    command.args([size, "--seed", &plan.seed.to_string(), "--lane", &lane.to_string()]);
    if let Some(shards) = plan.shards {
        command.args(["--shards", &shards.to_string()]);
    }
    if plan.control {
        command.arg("--control");
    }
    command.stdout(Stdio::piped()).spawn().map_err(|e| wrong("a lane", &e.to_string()))
}

/// All rows, measured side by side, in the order of the page.
///
/// # Errors
/// A permit can't be started, or one of its rows can't be measured.
pub fn run(plan: &Plan) -> Result<Vec<Row>, ScaleError> {
    let begun: Vec<Result<Child, ScaleError>> = (0..lanes().len()).map(|lane| begin(plan, lane)).collect();
    let mut rows = Vec::new();
    let mut failed = None;
    // All are waited for, so that none is left behind by another's failure.
    for child in begun {
        match child.and_then(end) {
            Ok(mut some) => rows.append(&mut some),
            Err(error) => failed = failed.or(Some(error)),
        }
    }
    let order: Vec<&str> = crate::plan::measures().iter().map(|m| m.name).collect();
    rows.sort_by_key(|row| order.iter().position(|name| *name == row.subject.name));
    match failed {
        Some(error) => Err(error),
        None if rows.len() < order.len() => Err(wrong("a lane", "a row is missing")),
        None => Ok(rows),
    }
}

/// Reads a permit's rows to its end.
fn end(mut child: Child) -> Result<Vec<Row>, ScaleError> {
    let mut text = String::new();
    let read = child.stdout.take().map(|mut out| out.read_to_string(&mut text));
    let status = child.wait().map_err(|e| wrong("a lane", &e.to_string()))?;
    read.transpose().map_err(|e| wrong("a lane", &e.to_string()))?;
    if !status.success() {
        return Err(wrong("a lane", &status.to_string()));
    }
    text.lines().map(row).collect()
}
