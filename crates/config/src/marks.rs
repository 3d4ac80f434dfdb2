//! Intents of attempts on disk.

use crate::build::S;
use crate::model::Class;
use crate::source::Source;
use crate::Position;

/// Where attempts of calls that are not idempotent are recorded before they leave.
#[derive(Clone, Debug, PartialEq)]
pub struct IntentLogSettings {
    pub folder: String,
    /// How long an intent is kept, in microseconds: longer than any message may be delivered again.
    pub keep: i64,
    /// Intents of one front end.
    pub most: u64,
}

/// What is wrong goes to `stray`. Without replicas nobody knows which others may have held a message.
pub fn marks(
    s: &Source<'_>,
    classes: &[Class],
    keepers: bool,
    stray: &mut Vec<(Position, String, String)>,
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
        stray.push((line.place("keep"), what, "a longer time".into()));
    }
    let front_ends = s.count("fleet-front-ends", "count", s.count("front-ends", "count", 1));
    if !keepers && front_ends != 1 {
        let what = format!("marks without keepers for {front_ends} front ends");
        stray.push((line.at.clone(), what, "member and keeper lines, or one front end".into()));
    }
    Some(marks)
}
