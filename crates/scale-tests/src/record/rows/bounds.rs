//! What the cluster state holds, and how much of it there may be: counted. The faults of the negative controls: each
//! front end joins under a new name at each start, so that names are ten times as many; no member ever confirms.

use super::{subject, wrong, STANDING};
use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::{CHANGES, FRONT_ENDS, ZONES};
use crate::plan::Plan;
use crate::record::state::Grown;
use crate::record::survey::{sites, Family};
use crate::row::{Resource, Role, Row, Subject};
use std::collections::BTreeSet;

type Outcome = Result<Row, ScaleError>;

/// Connections that a replica takes (`CONNECTIONS_MOST` of its listener), and the bounds of the cluster state.
const CONNECTIONS_MOST: f64 = 2048.0;
const MEMBERS_MOST: f64 = stagehoist_cluster_state::bounds::MAX_MEMBERS as f64;
const REPLACED_MOST: f64 = stagehoist_cluster_state::bounds::MAX_REPLACED as f64;
const RETIRED_MOST: f64 = stagehoist_cluster_state::bounds::MAX_TOMBSTONES as f64;
/// Longest snapshot that a replica takes (`SNAPSHOT_MOST`), in bytes.
const SNAPSHOT_MOST: f64 = 64.0 * 1024.0 * 1024.0;

fn names(plan: &Plan) -> f64 {
    if plan.control {
        10.0
    } else {
        1.0
    }
}

pub fn connections(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: CONNECTIONS_MOST,
        source: "CONNECTIONS_MOST of a replica's listener",
        formula: "front ends + other replicas",
        mechanism: "one session of each front end with the leader",
        counted: true,
        ..subject("record-connections", Role::Replica, Resource::Descriptors, "connections")
    };
    let sites = sites(plan.size, Family::Plain).map_err(wrong(subject.name))?;
    // A session with each of three replicas, not with the one that leads alone.
    let each = if plan.control { 3.0 } else { 1.0 };
    let value = |joined: usize| joined as f64 * each + 2.0;
    let points = sites.iter().map(|s| Point { size: s.members as f64, value: value(s.joined) });
    Ok(Row::new(subject, points.collect()))
}

pub fn members(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: MEMBERS_MOST,
        source: "MEMBERS_MOST of the record",
        formula: "names of front ends",
        mechanism: "a line of the record for each name",
        counted: true,
        ..subject("record-members", Role::Replica, Resource::StateBytes, "names")
    };
    let grow = |n: usize| {
        let mut grown = Grown::default();
        grown.join(0, (n as f64 * names(plan)) as usize);
        Point { size: n as f64, value: (grown.record.members.len() + grown.refused) as f64 }
    };
    Ok(Row::new(subject, [100, 300, 1000, 3000].map(grow).into()))
}

pub fn replaced(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: REPLACED_MOST,
        source: "REPLACED_MOST of the record",
        formula: "front ends / zones, killed and started again within a lease",
        mechanism: "a run that may be at work counts until its promises ran out",
        counted: true,
        ..subject("record-replaced", Role::Event, Resource::StateBytes, "runs")
    };
    let zone = |n: usize| {
        let runs = (n as f64 / ZONES * names(plan)).ceil() as usize;
        Point { size: n as f64, value: runs as f64 }
    };
    Ok(Row::new(subject, [200, 600, 2000, 6000].map(zone).into()))
}

pub fn state(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: SNAPSHOT_MOST,
        source: "SNAPSHOT_MOST of a replica",
        formula: "19 x names + 90 x retirements of the last hour",
        mechanism: "written whole with each entry, and as a snapshot",
        counted: true,
        ..subject("record-state", Role::Replica, Resource::StateBytes, "B")
    };
    let mut points = Vec::new();
    for n in [100_usize, 300, 1000, 3000] {
        let mut grown = Grown::default();
        grown.join(0, n);
        let all: BTreeSet<_> = if plan.control { grown.record.present().collect() } else { BTreeSet::new() };
        grown.retire(0, (STANDING * n as f64 / FRONT_ENDS).round() as usize, &all);
        let bytes = grown.bytes().map_err(wrong("record-state"))?;
        points.push(Point { size: n as f64, value: bytes.whole as f64 });
    }
    Ok(Row::new(subject, points))
}

pub fn retired(plan: &Plan) -> Outcome {
    let subject = Subject {
        axis: "changes a day",
        asked: CHANGES,
        limit: RETIRED_MOST,
        source: "TOMBSTONES_MOST of the record",
        formula: "changes a day / 24, and a burst",
        mechanism: "a line for each function retired within `remember`, an hour; of other functions none",
        counted: true,
        ..subject("record-retired", Role::Replica, Resource::StateBytes, "lines")
    };
    // Kept for a day, not for an hour: the fault of the negative control.
    let hours = if plan.control { 24.0 } else { 1.0 };
    let grow = |changes: f64| {
        let stand = (changes / 24.0 * hours) as usize;
        let mut grown = Grown::default();
        grown.retire(0, stand, &BTreeSet::new());
        Point { size: changes, value: (grown.record.view.tombstones.len() + grown.refused) as f64 }
    };
    Ok(Row::new(subject, [800.0, 2400.0, 8000.0, 24_000.0].map(grow).into()))
}
