//! A store of intents and the number of its last run, as the build before the renaming of the packages wrote them: opened,
//! asked and continued. `golden/` never changes with the code.

use stagehoist_intent_log::{read_last_run, start, Intent, LastRun, LogEvent, LogLocation, Options};
use stagehoist_recovery::AttemptKnowledge;
use std::path::Path;
use tokio::sync::mpsc::unbounded_channel;

/// Folder to which a new golden store is written, where it is set.
const WRITE_TO: &str = "STAGEHOIST_WRITE_GOLDEN_MARKS";
const FILES: [&str; 2] = ["marks-a_0.redb", "marks-a_0.run"];
const KEPT: Intent = Intent { identity: 0xfeed_0000_0000_0000_0000_0000_0000_0007, number: 1 };
const LATER: Intent = Intent { identity: 9, number: 1 };

fn place(folder: &Path) -> LogLocation {
    LogLocation { folder: folder.into(), name: "a/0".into(), standalone: true }
}

/// Opens the store, writes one intent and asks for another message; the answers.
fn run(folder: &Path, mark: Intent, asked: u128) -> (LogEvent, LogEvent) {
    let (marks, thread) = start(&place(folder), Options::default()).unwrap();
    let (reply, mut replies) = unbounded_channel();
    assert!(marks.record(mark, &reply) && marks.query(5, asked, &reply));
    let done = (replies.blocking_recv().unwrap(), replies.blocking_recv().unwrap());
    drop(marks);
    thread.join().unwrap();
    done
}

#[test]
fn marks_of_an_earlier_build_are_read_and_continued() {
    if let Some(folder) = std::env::var_os(WRITE_TO) {
        run(Path::new(&folder), KEPT, KEPT.identity);
    }
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let folder = tempfile::tempdir().unwrap();
    for file in FILES {
        std::fs::copy(golden.join(file), folder.path().join(file)).unwrap();
    }
    assert_eq!(read_last_run(folder.path(), "a_0").unwrap(), Some(LastRun { run: 1, commits: 0 }));
    let answers = run(folder.path(), LATER, KEPT.identity);
    assert_eq!(
        answers,
        (LogEvent::Recorded(LATER, true), LogEvent::Answered(5, AttemptKnowledge::MayHaveRun))
    );
    assert_eq!(read_last_run(folder.path(), "a_0").unwrap(), Some(LastRun { run: 2, commits: 0 }));
}
