//! The cluster state's rows.

mod apart;
mod bounds;
mod changes;
mod events;
mod marks;
mod sessions;

use super::survey::Site;
use super::Fault;
use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::{CHANGES, DAY, FRONT_ENDS};
use crate::plan::Measure;
use crate::row::{Resource, Role, Subject};

/// In the order of the page.
pub const MEASURES: &[Measure] = &[
    Measure { name: "record-leader-cores", run: sessions::leader_cores },
    Measure { name: "record-leader-cores-1s", run: sessions::leader_cores_1s },
    Measure { name: "record-leader-messages", run: sessions::leader_messages },
    Measure { name: "record-follower-bytes", run: sessions::follower_bytes },
    Measure { name: "record-session-bytes", run: sessions::session_bytes },
    Measure { name: "record-session-core", run: sessions::session_core },
    Measure { name: "record-session-memory", run: sessions::session_memory },
    Measure { name: "record-connections", run: bounds::connections },
    Measure { name: "record-members", run: bounds::members },
    Measure { name: "record-replaced", run: bounds::replaced },
    Measure { name: "record-state", run: bounds::state },
    Measure { name: "record-retired", run: bounds::retired },
    Measure { name: "record-change-bytes", run: changes::session_bytes },
    Measure { name: "record-change-leader-bytes", run: changes::leader_bytes },
    Measure { name: "record-change-cores", run: changes::leader_cores },
    Measure { name: "record-change-disk", run: changes::disk },
    Measure { name: "record-force", run: changes::force },
    Measure { name: "record-force-hour", run: changes::force_hour },
    Measure { name: "record-burst", run: changes::burst },
    Measure { name: "record-burst-leader", run: changes::burst_leader },
    Measure { name: "record-leader-killed", run: events::killed },
    Measure { name: "record-question-cores", run: events::question },
    Measure { name: "record-apart-view", run: apart::view },
    Measure { name: "record-apart-stale", run: apart::stale },
    Measure { name: "record-marks-held", run: marks::held },
    Measure { name: "record-marks-written", run: marks::written },
];

/// Changes a second.
const CHANGE_RATE: f64 = CHANGES / DAY;
/// Retirements that stand: those of the last `remember`, an hour by default.
const STANDING: f64 = CHANGE_RATE * 3600.0;
/// Views for each change: proposed, in force, forgotten.
const VIEWS: f64 = 3.0;
/// What a thread can take, in cores.
const THREAD: f64 = 1.0;

fn subject(name: &'static str, role: Role, resource: Resource, unit: &'static str) -> Subject {
    Subject {
        name,
        role,
        resource,
        unit,
        axis: "front ends",
        asked: FRONT_ENDS,
        limit: f64::INFINITY,
        source: "",
        formula: "",
        mechanism: "",
        counted: false,
    }
}

fn wrong(row: &'static str) -> impl Fn(Fault) -> ScaleError {
    move |fault| ScaleError::Measure { row, what: fault.to_string() }
}

fn points(sites: &[Site], value: impl Fn(&Site) -> f64) -> Vec<Point> {
    sites.iter().map(|s| Point { size: s.members as f64, value: value(s) }).collect()
}
