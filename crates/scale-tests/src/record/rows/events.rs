//! The leader killed, and questions about messages that are delivered again. The faults of the negative controls: two of
//! three replicas are gone; a zone's messages come back within ten seconds.

use super::{points, subject, wrong, THREAD};
use crate::error::ScaleError;
use crate::letter::{CALLS_EACH, DAY, FAILING, FRONT_ENDS, IN_FORCE, RESTARTED, ZONES};
use crate::plan::Plan;
use crate::record::survey::{sites, Family};
use crate::row::{Resource, Role, Row, Subject};

type Outcome = Result<Row, ScaleError>;

/// Written for an event that never came, in seconds.
const NEVER: f64 = 3600.0;
/// Messages that come back when a front end is lost: those of its last second, and one question each, as they come to
/// different ones. An assumption.
const BACK: f64 = CALLS_EACH;

pub fn killed(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: IN_FORCE,
        source: "letter: a change in force within 5 s, whoever leads",
        formula: "election + one connection, welcome and promise of each front end",
        mechanism: "sessions find the new leader by turns",
        ..subject("record-leader-killed", Role::Event, Resource::Time, "s")
    };
    let family = if plan.control { Family::Gone } else { Family::Plain };
    let sites = sites(plan.size, family).map_err(wrong(subject.name))?;
    Ok(Row::new(subject, points(&sites, |s| s.loss.renewed_ms.map_or(NEVER, |ms| ms / 1000.0))))
}

pub fn question(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: THREAD,
        source: "the leader's one thread",
        formula: "machines lost a second x messages delivered again of each x 2 messages a front end",
        mechanism: "the leader passes each question on to every member, and each answer back",
        ..subject("record-question-cores", Role::Replica, Resource::Processor, "cores")
    };
    let sites = sites(plan.size, Family::Plain).map_err(wrong(subject.name))?;
    let usual = (FAILING + RESTARTED) / DAY;
    let lost = if plan.control { FRONT_ENDS / ZONES / 10.0 } else { usual };
    Ok(Row::new(subject, points(&sites, |s| s.questions.leader_spent.max(0.0) * lost * BACK)))
}
