//! Opens, queries and continues an intent store written by the build before the packages were renamed, with its file of the
//! last run. The files in `golden/` must not change with the code.

use stagehoist_intent_log::{read_last_run, start, Intent, LastRun, LogEvent, LogLocation, Options};
use stagehoist_recovery::AttemptKnowledge;
use std::path::Path;
use tokio::sync::mpsc::unbounded_channel;

/// Environment variable with the folder to which a new golden store is written, if set.
const WRITE_TO: &str = "STAGEHOIST_WRITE_GOLDEN_MARKS";
const FILES: [&str; 2] = ["marks-a_0.redb", "marks-a_0.run"];
const RECORDED: Intent = Intent { identity: 0xfeed_0000_0000_0000_0000_0000_0000_0007, number: 1 };
const LATER: Intent = Intent { identity: 9, number: 1 };

fn location(folder: &Path) -> LogLocation {
    LogLocation { folder: folder.into(), name: "a/0".into(), standalone: true }
}

/// Opens the store, writes one intent, queries another message, and returns both events.
fn run(folder: &Path, intent: Intent, queried: u128) -> (LogEvent, LogEvent) {
    let (log, thread) = start(&location(folder), Options::default()).unwrap();
    let (reply, mut events) = unbounded_channel();
    assert!(log.record(intent, &reply) && log.query(5, queried, &reply));
    let received = (events.blocking_recv().unwrap(), events.blocking_recv().unwrap());
    drop(log);
    thread.join().unwrap();
    received
}

#[test]
fn intents_of_an_earlier_build_are_read_and_continued() {
    if let Some(folder) = std::env::var_os(WRITE_TO) {
        run(Path::new(&folder), RECORDED, RECORDED.identity);
    }
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let folder = tempfile::tempdir().unwrap();
    for file in FILES {
        std::fs::copy(golden.join(file), folder.path().join(file)).unwrap();
    }
    assert_eq!(read_last_run(folder.path(), "a_0").unwrap(), Some(LastRun { run: 1, commits: 0 }));
    let answers = run(folder.path(), LATER, RECORDED.identity);
    assert_eq!(
        answers,
        (LogEvent::Recorded(LATER, true), LogEvent::Answered(5, AttemptKnowledge::MayHaveRun))
    );
    assert_eq!(read_last_run(folder.path(), "a_0").unwrap(), Some(LastRun { run: 2, commits: 0 }));
}
