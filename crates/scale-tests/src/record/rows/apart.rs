//! A region alone. The fault of the negative control: neither region has a majority.

use super::{subject, wrong, CHANGE_RATE};
use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::{APART, IN_FORCE};
use crate::plan::{Plan, Size};
use crate::record::apart::{play, Course, Plan as Cut, FULL};
use crate::record::Settings;
use crate::row::{Resource, Role, Row, Subject};

type Outcome = Result<Row, ScaleError>;

fn cut(plan: &Plan, members: usize, seconds: f64) -> Cut {
    let cut = (seconds * 1e6) as i64;
    let terms = Settings::default().terms();
    Cut { members, cut, strict: 0.0, majority: !plan.control, bounded: false, seed: plan.seed, terms }
}

/// What the view would come to within the hour, were it not bounded: what each change of a shorter cut adds to it, times
/// the changes of an hour that are proposed on the leader's side.
pub fn view(plan: &Plan) -> Outcome {
    let subject = Subject {
        limit: FULL as f64,
        source: "half of VIEW_MOST: beyond it no change is taken",
        formula: "changes of the hour / 2 x front ends / 2 x 14",
        mechanism: "each change names each member that has not confirmed it",
        counted: true,
        ..subject("record-apart-view", Role::Event, Resource::StateBytes, "B")
    };
    let sizes: &[usize] = plan.pick(&[10, 30, 100], &[30, 100, 300, 1000], &[100, 300, 1000, 3000]);
    let of_hour = CHANGE_RATE * APART / 2.0;
    let mut points = Vec::new();
    for members in sizes {
        let course: Course = play(cut(plan, *members, 300.0)).map_err(wrong(subject.name))?;
        // Without a majority none is agreed on, and what holds nothing has no room for any.
        let each = if course.taken == 0 { FULL as f64 } else { course.view as f64 / course.taken as f64 };
        points.push(Point { size: *members as f64, value: each * of_hour });
    }
    if plan.size == Size::Full {
        tell_hour(plan).map_err(wrong(subject.name))?;
    }
    Ok(Row::new(subject, points))
}

/// An hour as the leader's bounds have it, with as many members as the cluster state takes, for whoever writes it down.
fn tell_hour(plan: &Plan) -> Result<(), crate::record::Fault> {
    for strict in [0.0, 0.5, 1.0] {
        let c = play(Cut { bounded: true, strict, ..cut(plan, 4000, APART) })?;
        eprintln!(
            "an hour apart, 4000 members, {strict} strict: {} proposed near the leader, {} taken, {} refused as full \
             (first after {:.0?} s), {} in force, p50 {:.1?} ms; view {} B, {:.0} B/s of views a member; {} wait, {} of them \
             in force after {:.1?} s, {} B of views to catch up; without a promise {:.1} s far, {:.1} s near",
            c.proposed,
            c.taken,
            c.refused_full,
            c.first_full_s,
            c.forced,
            c.force_ms.get(c.force_ms.len() / 2),
            c.view,
            c.views_a_second,
            c.waited,
            c.joined,
            c.healed_s,
            c.catch_up,
            c.stale_s,
            c.stale_near_s
        );
    }
    Ok(())
}

/// For how long the region without the leader has no promise.
pub fn stale(plan: &Plan) -> Outcome {
    let subject = Subject {
        axis: "seconds apart",
        asked: APART,
        limit: IN_FORCE,
        source: "rule of construction: no renewal spans regions",
        formula: "the hour less a lease",
        mechanism: "promises are the leader's, who is in one region",
        counted: true,
        ..subject("record-apart-stale", Role::Event, Resource::Time, "s")
    };
    let mut points = Vec::new();
    for seconds in [20.0, 60.0, 200.0, 600.0] {
        let course = play(cut(plan, 20, seconds)).map_err(wrong(subject.name))?;
        let value = if plan.control { course.stale_s + course.stale_near_s } else { course.stale_s };
        points.push(Point { size: seconds, value });
    }
    Ok(Row::new(subject, points))
}
