//! Rows of the list's source: the whole list to every front end at once, changes to all.

use super::bytes::heartbeat;
use super::rows::{failed, subject, CHANGES_A_DAY};
use super::Follower;
use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::*;
use crate::plan::Plan;
use crate::row::{Resource, Role, Row, Subject};

/// Bytes a second that one of the machines for control sends: 10 Gbit/s, assumed.
const MACHINE_BYTES: f64 = 1.25e9;
/// Messages a second that one of them sends: assumed.
const MACHINE_MESSAGES: f64 = 100_000.0;

const FRONT_ENDS_ASKED: [f64; 5] = [72.0, 240.0, 720.0, 2400.0, 7200.0];

/// The list comes whole to everyone at once: bytes that the source sends.
pub fn herd(plan: &Plan, name: &'static str) -> Result<Row, ScaleError> {
    let subject = Subject {
        role: Role::ListSource,
        axis: "front ends, 30,000 lines",
        asked: FRONT_ENDS,
        unit: "bytes",
        limit: MACHINES * MACHINE_BYTES * IN_FORCE,
        source: "6 machines of 10 Gbit/s (assumed) for 5 s",
        formula: "front ends * bytes of the whole list",
        mechanism: "each front end asks for itself; pauses between connections are short",
        ..subject(name)
    };
    let lines = WORKERS as u32;
    // The control: a line for each instance.
    let times = if plan.control { INSTANCES / WORKERS } else { 1.0 };
    let mut follower = Follower::default();
    let read = match name {
        "source-herd-bus" => follower.whole(lines),
        // Entries are alike: a tenth of them is made.
        _ => follower.consul(lines.div_ceil(10)),
    };
    read.rows.map_err(failed(name))?;
    let bytes = read.bytes as f64 * if name == "source-herd-bus" { 1.0 } else { 10.0 } * times;
    let points = FRONT_ENDS_ASKED.iter().map(|&size| Point { size, value: size * bytes }).collect();
    Ok(Row::new(subject, points))
}

/// Messages a second on an ordinary day.
pub fn messages(plan: &Plan) -> Result<Row, ScaleError> {
    let subject = Subject {
        role: Role::ListSource,
        resource: Resource::Messages,
        axis: "front ends, 30,000 lines",
        asked: FRONT_ENDS,
        unit: "messages/s",
        limit: MACHINES * MACHINE_MESSAGES,
        source: "6 machines of 100,000 messages a second (assumed)",
        formula: "front ends * (1 heartbeat + changes a day / 86,400)",
        mechanism: "one connection a front end; a change in a frame of its own",
        ..subject("source-messages")
    };
    debug_assert_eq!(heartbeat(1).len(), 13);
    // The control: a heartbeat for each line instead of each front end.
    let beats = if plan.control { WORKERS } else { 1.0 };
    let each = beats + CHANGES_A_DAY / DAY;
    let points = FRONT_ENDS_ASKED.iter().map(|&size| Point { size, value: size * each }).collect();
    Ok(Row::new(subject, points))
}
