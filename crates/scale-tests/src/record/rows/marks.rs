//! Intents on disk, at the letter's calls of one front end if every one of them needed one. The fault of the negative control:
//! a store that may hold a tenth.

use super::{subject, wrong};
use crate::error::ScaleError;
use crate::fit::Point;
use crate::letter::{CALLS_EACH, COLD_START, CONTROL_MEMORY};
use crate::plan::Plan;
use crate::record::marks;
use crate::row::{Resource, Role, Row, Subject};

type Outcome = Result<Row, ScaleError>;

/// Seconds that an intent is kept, by default.
const KEEP: f64 = 3600.0;
/// Written for an intent that was never on disk, in seconds.
const NEVER: f64 = 3600.0;

pub fn held(plan: &Plan) -> Outcome {
    let subject = Subject {
        axis: "marks held",
        asked: CALLS_EACH * KEEP,
        limit: CONTROL_MEMORY,
        source: "letter",
        formula: "calls a second x 3,600 s x 40",
        mechanism: "a line in memory for each mark, for when it goes",
        ..subject("record-marks-held", Role::FrontEnd, Resource::Memory, "B")
    };
    let sizes: &[usize] = plan.pick(
        &[1000, 3000, 10_000],
        &[3000, 10_000, 30_000, 100_000],
        &[10_000, 30_000, 100_000, 300_000],
    );
    let folder = tempfile::tempdir()?;
    let mut points = Vec::new();
    for count in sizes {
        let most = if plan.control { *count / 10 } else { 10 * *count } as u64;
        let held = marks::held(folder.path(), *count, most).map_err(wrong(subject.name))?;
        // An intent that went too early may let a call run twice: as good as no room for any.
        let lost = held.marks - held.known;
        points.push(Point { size: *count as f64, value: held.memory + lost as f64 * CONTROL_MEMORY });
    }
    Ok(Row::new(subject, points))
}

pub fn written(plan: &Plan) -> Outcome {
    let subject = Subject {
        axis: "calls a second that need a mark",
        asked: CALLS_EACH,
        limit: COLD_START,
        source: "letter: the whole of a cold start, of which a mark is a part",
        formula: "a commit under way and one more, each with a flush",
        mechanism: "one writer; marks that came while a commit ran go into the next",
        ..subject("record-marks-written", Role::FrontEnd, Resource::Time, "s p99")
    };
    let folder = tempfile::tempdir()?;
    let (rates, seconds): (&[f64], f64) = plan.pick(
        (&[12.0, CALLS_EACH], 0.5),
        (&[12.0, 36.0, CALLS_EACH, 366.0], 2.0),
        (&[12.0, 36.0, CALLS_EACH, 366.0, 1220.0], 5.0),
    );
    let mut points = Vec::new();
    for rate in rates {
        let paced =
            marks::paced(folder.path(), *rate, seconds, !plan.control).map_err(wrong(subject.name))?;
        eprintln!(
            "marks at {rate}/s: {} of {} marked, {:.2} commits and {:.0} bytes each, {:.1} us of a core, load {:.1}",
            paced.marked, paced.asked, paced.commits, paced.bytes, paced.spent * 1e6, paced.load
        );
        let is_whole = paced.marked == paced.asked;
        let p99 = paced.ms.get(paced.ms.len().saturating_sub(1) * 99 / 100).copied();
        points.push(Point { size: *rate, value: p99.filter(|_| is_whole).map_or(NEVER, |ms| ms / 1000.0) });
    }
    Ok(Row::new(subject, points))
}
