//! Sessions while nothing changes. The faults of the negative controls: front ends whose reports change all the time, for the
//! session's own rows of 300 pools; front ends that keep 400 MB. Messages and bytes between replicas have no limit in the letter, and no control.

use super::{points, subject, wrong, THREAD};
use crate::error::ScaleError;
use crate::letter::{CONTROL_BYTES, CONTROL_CORE, CONTROL_MEMORY};
use crate::plan::Plan;
use crate::record::survey::{sites, Family, Site};
use crate::row::{Resource, Role, Row, Subject};

type Outcome = Result<Row, ScaleError>;

const REPORTS: &str = "a report each lease / 5 (80 to 100 in 100 of it), a grant each";

fn row(plan: &Plan, subject: Subject, value: impl Fn(&Site) -> f64) -> Outcome {
    let fault = if subject.role == Role::FrontEnd { Family::Verbose } else { Family::Flapping };
    let family = if plan.control { fault } else { Family::Plain };
    let sites = sites(plan.size, family).map_err(wrong(subject.name))?;
    Ok(Row::new(subject, points(&sites, value)))
}

pub fn leader_cores(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: THREAD,
        source: "the leader's one thread",
        formula: "front ends x 5.6 / lease x (report + grant)",
        mechanism: REPORTS,
        ..subject("record-leader-cores", Role::Replica, Resource::Processor, "cores")
    };
    row(plan, subject, |s| s.ease.leader_cores)
}

/// With a lease of one second, under which the first slopes were taken.
pub fn leader_cores_1s(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: THREAD,
        source: "the leader's one thread",
        formula: "front ends x 5.6 / lease x (report + grant), lease 1 s",
        mechanism: REPORTS,
        ..subject("record-leader-cores-1s", Role::Replica, Resource::Processor, "cores")
    };
    let family = if plan.control { Family::Flapping } else { Family::Short };
    let sites = sites(plan.size, family).map_err(wrong(subject.name))?;
    Ok(Row::new(subject, points(&sites, |s| s.ease.leader_cores)))
}

pub fn leader_messages(plan: &Plan) -> Outcome {
    let subject = Subject {
        source: "none told; its cost is record-leader-cores",
        formula: "front ends x 5.6 / lease, in; as many out",
        mechanism: REPORTS,
        ..subject("record-leader-messages", Role::Replica, Resource::Messages, "/s in")
    };
    row(plan, subject, |s| s.ease.leader_in)
}

pub fn follower_bytes(plan: &Plan) -> Outcome {
    let subject = Subject {
        source: "none told",
        formula: "10 heartbeats a second, whatever the front ends",
        mechanism: "sessions are the leader's alone",
        ..subject("record-follower-bytes", Role::Replica, Resource::Bytes, "B/s")
    };
    row(plan, subject, |s| s.ease.follower_in + s.ease.follower_out)
}

pub fn session_bytes(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: CONTROL_BYTES,
        source: "letter",
        formula: "5.6 / lease x (report + grant)",
        mechanism: REPORTS,
        ..subject("record-session-bytes", Role::FrontEnd, Resource::Bytes, "B/s")
    };
    row(plan, subject, |s| s.ease.session_in + s.ease.session_out)
}

pub fn session_core(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: CONTROL_CORE,
        source: "letter",
        formula: "5.6 / lease x (report + grant)",
        mechanism: REPORTS,
        ..subject("record-session-core", Role::FrontEnd, Resource::Processor, "cores")
    };
    row(plan, subject, |s| s.ease.session_cores)
}

pub fn session_memory(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: CONTROL_MEMORY,
        source: "letter",
        formula: "a session and two copies of the view",
        mechanism: "one session, no mesh",
        ..subject("record-session-memory", Role::FrontEnd, Resource::Memory, "B")
    };
    let family = if plan.control { Family::Hoarding } else { Family::Plain };
    let sites = sites(plan.size, family).map_err(wrong(subject.name))?;
    Ok(Row::new(subject, points(&sites, |s| s.ease.session_memory)))
}
