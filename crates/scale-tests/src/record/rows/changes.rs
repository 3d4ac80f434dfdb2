//! Changes: what each costs, and until it is in force. The faults of the negative controls: a member that never confirms; a
//! `remember` of a day; a thousand times as many changes.

use super::{points, subject, wrong, CHANGE_RATE, STANDING, THREAD, VIEWS};
use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::{CONTROL_BYTES, IN_FORCE};
use crate::plan::Plan;
use crate::record::change::Changes;
use crate::record::survey::{sites, standing, Family};
use crate::row::{Resource, Role, Row, Subject};

type Outcome = Result<Row, ScaleError>;

/// Half of a link of a gigabit, in bytes a second: assumed.
const LINK: f64 = 125e6 / 2.0;
/// What a disk takes a second: assumed.
const DISK: f64 = 100e6;
/// Written by an event that never came, in seconds.
const NEVER: f64 = 3600.0;

fn by_standing(plan: &Plan, subject: Subject, value: impl Fn(&Changes) -> f64) -> Outcome {
    let changes = standing(plan.size).map_err(wrong(subject.name))?;
    let points = changes.iter().map(|c| Point { size: c.standing as f64, value: value(c) });
    let asked = if plan.control { subject.asked * 24.0 } else { subject.asked };
    Ok(Row::new(Subject { asked, ..subject }, points.collect()))
}

fn standing_subject(subject: Subject) -> Subject {
    Subject { axis: "retirements that stand", asked: STANDING, ..subject }
}

pub fn session_bytes(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: CONTROL_BYTES,
        source: "letter",
        formula: "changes a second x 3 views x 90 x retirements of the last hour",
        mechanism: "the whole view to every member at each change",
        ..standing_subject(subject("record-change-bytes", Role::FrontEnd, Resource::Bytes, "B/s"))
    };
    // Two views of each were seen; the third, when it is forgotten, comes an hour later.
    by_standing(plan, subject, |c| c.session_bytes / c.count as f64 * CHANGE_RATE * VIEWS / 2.0)
}

/// What all the sessions together are sent; each as measured above.
pub fn leader_bytes(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: LINK,
        source: "half of a link of a gigabit: assumed",
        formula: "front ends x record-change-bytes",
        mechanism: "the leader sends the whole view to every member at each change",
        ..subject("record-change-leader-bytes", Role::Replica, Resource::Bytes, "B/s")
    };
    let each = session_bytes(plan)?.figure;
    let sites = sites(plan.size, Family::Plain).map_err(wrong(subject.name))?;
    Ok(Row::new(subject, points(&sites, |s| each * s.joined as f64)))
}

pub fn disk(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: DISK,
        source: "a disk's 100 MB/s: assumed",
        formula: "changes a second x 3 entries x (log and state)",
        mechanism: "the whole state is written with each entry",
        ..standing_subject(subject("record-change-disk", Role::Replica, Resource::Bytes, "B/s"))
    };
    let rate = if plan.control { 1000.0 * CHANGE_RATE } else { CHANGE_RATE };
    by_standing(plan, subject, |c| c.written / c.count as f64 * rate * VIEWS / 2.0)
}

pub fn leader_cores(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: THREAD,
        source: "the leader's one thread",
        formula: "changes a second x (views and confirmations of all front ends)",
        mechanism: "every confirmation has all members looked at anew",
        ..subject("record-change-cores", Role::Replica, Resource::Processor, "cores")
    };
    let sites = sites(plan.size, Family::Plain).map_err(wrong(subject.name))?;
    let rate = if plan.control { 1000.0 * CHANGE_RATE } else { CHANGE_RATE };
    let value = |c: &Changes| (c.leader_spent / c.count as f64 * rate * VIEWS / 2.0).max(0.0);
    Ok(Row::new(subject, points(&sites, |s| value(&s.crowded))))
}

fn seconds(changes: &Changes, share: f64) -> f64 {
    if changes.reached < changes.members || changes.ms.is_empty() {
        return NEVER;
    }
    changes.quantile(share) / 1000.0
}

fn timed(plan: &Plan, subject: Subject, value: impl Fn(&crate::record::survey::Site) -> f64) -> Outcome {
    let family = if plan.control { Family::Silent } else { Family::Plain };
    let sites = sites(plan.size, family).map_err(wrong(subject.name))?;
    Ok(Row::new(subject, points(&sites, value)))
}

pub fn force(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: IN_FORCE,
        source: "letter",
        formula: "two entries agreed on, two views to all, one confirmation of each",
        mechanism: "in force once every member confirmed; one after the other, few standing",
        ..subject("record-force", Role::Change, Resource::Time, "s p99")
    };
    timed(plan, subject, |s| seconds(&s.single, 0.99))
}

/// An upper bound: up to 600 front ends share a thread here, and each decodes two views a change.
pub fn force_hour(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: IN_FORCE,
        source: "letter",
        formula: "two views of all that stands to all",
        mechanism: "as record-force with 1,000 and more standing; front ends share threads: an upper bound",
        ..subject("record-force-hour", Role::Change, Resource::Time, "s p50")
    };
    timed(plan, subject, |s| seconds(&s.crowded, 0.5))
}

pub fn burst(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: IN_FORCE,
        source: "letter",
        formula: "the last of 1,000 at once",
        mechanism: "what comes while an entry is under way goes into the next; front ends share threads: an upper bound",
        ..subject("record-burst", Role::Change, Resource::Time, "s")
    };
    timed(plan, subject, |s| seconds(&s.burst, 1.0))
}

/// A lower bound of the same: nothing of it can be done at once.
pub fn burst_leader(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: IN_FORCE,
        source: "letter",
        formula: "views of all entries to all, confirmations of all",
        mechanism: "one thread sends every view and looks at every member after confirmations: a lower bound",
        ..subject("record-burst-leader", Role::Change, Resource::Processor, "s of its thread")
    };
    let never = |c: &Changes| if c.reached < c.members { NEVER } else { c.leader_spent };
    timed(plan, subject, |s| never(&s.burst))
}
