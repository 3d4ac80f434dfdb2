//! Settings of the intent log on disk.

use crate::build::S;
use crate::model::Class;
use crate::source::Source;
use crate::Position;

/// Where attempts of non-idempotent calls are recorded before they are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct IntentLogSettings {
    pub folder: String,
    /// Retention of an intent, in microseconds. It must exceed the time in which a message may be redelivered.
    pub keep: i64,
    /// Maximum number of intents of one front end.
    pub most: u64,
}

/// Reads the `marks` directive and adds faults to `problems`. Several front ends need replicas: without them, a front end
/// can't find out which other front ends may have held a message.
pub fn marks(
    s: &Source<'_>,
    classes: &[Class],
    keepers: bool,
    problems: &mut Vec<(Position, String, String)>,
) -> Option<IntentLogSettings> {
    let line = s.one("marks")?;
    let marks = IntentLogSettings {
        folder: line.text("folder")?,
        keep: line.duration("keep").unwrap_or(3600 * S),
        most: line.count("most").unwrap_or(1_000_000),
    };
    let longest = classes.iter().map(|c| c.give_up).max().unwrap_or(0);
    if marks.keep <= longest {
        let what = "marks are kept no longer than the longest give-up".to_string();
        problems.push((line.place("keep"), what, "a longer time".into()));
    }
    let front_ends = s.count("fleet-front-ends", "count", s.count("front-ends", "count", 1));
    if !keepers && front_ends != 1 {
        let what = format!("marks without keepers for {front_ends} front ends");
        problems.push((line.at.clone(), what, "member and keeper lines, or one front end".into()));
    }
    Some(marks)
}
