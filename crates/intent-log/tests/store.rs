//! What was acknowledged is there after any loss of power, and a store that may lack something proves nothing.

use redb::Database;
use stagehoist_faulty_disk::{Disk, Random};
use stagehoist_intent_log::{
    read_last_run, start, Batch, Intent, IntentLogError, IntentStore, LastRun, LogEvent, LogLocation, Options,
};
use stagehoist_recovery::AttemptKnowledge;

const KEEP: i64 = 1_000_000;
const OPTIONS: Options = Options { retention: KEEP, ended_retention: KEEP / 10, most: 1000 };

fn open(disk: &Disk, now: i64) -> Result<IntentStore, IntentLogError> {
    open_with(disk, OPTIONS, now)
}

fn open_with(disk: &Disk, options: Options, now: i64) -> Result<IntentStore, IntentLogError> {
    let disk = disk.clone();
    IntentStore::open(
        Box::new(move || Ok(Database::builder().create_with_backend(disk.clone())?)),
        options,
        now,
    )
}

fn mark(n: u64) -> Intent {
    Intent { identity: u128::from(n) << 64 | 7, number: n }
}

fn marks(numbers: impl IntoIterator<Item = u64>) -> Batch {
    Batch { intents: numbers.into_iter().map(mark).collect(), ended: Vec::new() }
}

/// A store whose first run has seen its time of knowing nothing pass, and which is then in progress in its second.
fn grown(disk: &Disk) -> IntentStore {
    let mut first = open(disk, 0).unwrap();
    first.begin(1, None, 0).unwrap();
    first.commit(&marks([1]), KEEP + 1).unwrap();
    let read_last_run = first.commits();
    drop(first);
    let mut store = open(disk, 0).unwrap();
    store.begin(2, read_last_run, 0).unwrap();
    store
}

/// Commits until the disk dies; the numbers that were acknowledged.
fn work(disk: &Disk, draw: &mut Random) -> Vec<u64> {
    let mut acknowledged = Vec::new();
    let Ok(mut store) = open(disk, 0) else { return acknowledged };
    if store.begin(1, None, 0).is_err() {
        return acknowledged;
    }
    let mut next = 0;
    for _ in 0..20 {
        let batch: Vec<u64> = (next..next + 1 + draw.below(40)).collect();
        next += batch.len() as u64;
        if store.commit(&marks(batch.iter().copied()), 0).is_err() {
            break;
        }
        acknowledged.extend(batch);
    }
    // The process is killed: nothing is closed in order.
    disk.state().operations_left = Some(0);
    acknowledged
}

/// Intents lost, and kept, over drawn moments of death.
fn lost(lies: bool, seeds: u64) -> (u64, u64) {
    let whole = Disk::default();
    work(&whole, &mut Random(0));
    let operations = whole.state().operations_done;
    assert!(operations > 100, "{operations}");
    let (mut lost, mut kept) = (0, 0);
    for seed in 0..seeds {
        let mut draw = Random(seed);
        let disk = Disk::default();
        disk.state().operations_left = Some(draw.below(operations));
        disk.state().ignores_syncs = lies;
        let acknowledged = work(&disk, &mut draw);
        let after = disk.after_power_loss(&mut draw);
        let Ok(mut store) = open(&after, 0) else {
            lost += acknowledged.len() as u64;
            continue;
        };
        for n in acknowledged {
            match store.query(mark(n).identity, 0) {
                AttemptKnowledge::MayHaveRun => kept += 1,
                _ => lost += 1,
            }
        }
        store.begin(9, None, 0).unwrap();
        store.commit(&marks([100_000]), 0).unwrap();
    }
    (lost, kept)
}

#[test]
fn nothing_acknowledged_is_lost_wherever_the_power_goes() {
    let (lost, kept) = lost(false, 200);
    assert_eq!(lost, 0);
    assert!(kept > 3000, "{kept}");
}

#[test]
fn a_disk_that_lies_about_syncs_is_seen_to_lose_marks() {
    assert!(lost(true, 20).0 > 0);
}

#[test]
fn a_missing_mark_proves_something_only_in_a_store_that_is_whole() {
    let disk = Disk::default();
    let store = grown(&disk);
    assert_eq!(store.query(mark(1).identity, 0), AttemptKnowledge::MayHaveRun);
    assert_eq!(store.query(mark(2).identity, 0), AttemptKnowledge::None);
    let last = store.commits();
    drop(store);
    let told = |before: Option<LastRun>| {
        let mut store = open(&disk.snapshot(), 0).unwrap();
        assert_eq!(store.query(mark(2).identity, 0), AttemptKnowledge::NotKnown, "no run has begun");
        store.begin(9, before, 0).unwrap();
        store.query(mark(2).identity, 0)
    };
    assert_eq!(told(last), AttemptKnowledge::None);
    assert_eq!(told(None), AttemptKnowledge::NotKnown);
    // The cluster state knows a later run, or later commits, than the file does: it was set back.
    assert_eq!(told(Some(LastRun { run: 3, commits: 0 })), AttemptKnowledge::NotKnown);
    assert_eq!(told(last.map(|w| LastRun { commits: w.commits + 1, ..w })), AttemptKnowledge::NotKnown);
}

#[test]
fn a_new_file_proves_nothing_until_its_time_has_passed() {
    let disk = Disk::default();
    let mut store = open(&disk, 0).unwrap();
    store.begin(1, None, 0).unwrap();
    store.commit(&marks([1]), KEEP / 2).unwrap();
    let last = store.commits();
    drop(store);
    let mut store = open(&disk, 0).unwrap();
    store.begin(2, last, 0).unwrap();
    assert_eq!(store.query(mark(2).identity, KEEP / 2), AttemptKnowledge::NotKnown);
    store.commit(&marks([3]), KEEP).unwrap();
    assert_eq!(store.query(mark(2).identity, KEEP), AttemptKnowledge::None);
}

#[test]
fn a_run_that_is_told_a_higher_number_goes_on_with_its_marks() {
    let disk = Disk::default();
    let mut store = grown(&disk);
    store.commit(&marks([5]), 0).unwrap();
    store.begin(7, Some(LastRun { run: 1, commits: 1 }), 0).unwrap();
    assert_eq!(store.query(mark(2).identity, 0), AttemptKnowledge::None);
    assert_eq!(store.commits(), Some(LastRun { run: 7, commits: 1 }));
    assert!(matches!(store.begin(7, None, 0), Err(IntentLogError::RunSuperseded { requested: 7, last: 7 })));
    store.commit(&marks([6]), KEEP).unwrap();
    assert_eq!(
        store.query(mark(5).identity, KEEP),
        AttemptKnowledge::None,
        "dropped by its age, under the number it had"
    );
}

#[test]
fn marks_go_by_age_once_ended_sooner_and_of_former_runs_too() {
    let disk = Disk::default();
    let mut store = grown(&disk);
    store.commit(&marks([5, 6]), 10).unwrap();
    store.commit(&Batch { intents: Vec::new(), ended: vec![mark(5)] }, 20).unwrap();
    assert!(!store.is_due(KEEP / 10));
    store.commit(&Batch::default(), 20 + KEEP / 10).unwrap();
    assert_eq!(store.query(mark(5).identity, KEEP / 5), AttemptKnowledge::None);
    assert_eq!(store.query(mark(6).identity, KEEP / 5), AttemptKnowledge::MayHaveRun);
    assert_eq!(store.query(mark(1).identity, KEEP / 5), AttemptKnowledge::MayHaveRun, "of the run before");
    store.commit(&Batch::default(), KEEP + 10).unwrap();
    assert_eq!(store.query(mark(6).identity, KEEP + 10), AttemptKnowledge::None);
    assert_eq!(store.query(mark(1).identity, KEEP + 10), AttemptKnowledge::None);
}

#[test]
fn one_id_used_twice_keeps_the_mark_of_the_second_when_the_first_ends() {
    let disk = Disk::default();
    let mut store = grown(&disk);
    let [first, second] = [1, 2].map(|number| Intent { identity: 77, number });
    store.commit(&Batch { intents: vec![first, second], ended: vec![first] }, 0).unwrap();
    store.commit(&Batch::default(), KEEP / 2).unwrap();
    assert_eq!(store.query(77, KEEP / 2), AttemptKnowledge::MayHaveRun);
}

#[test]
fn more_marks_than_fit_push_out_old_ones_and_then_nothing_is_proven() {
    let disk = Disk::default();
    let mut store = grown(&disk);
    for n in 0..30 {
        store.commit(&marks(10 + n * 100..110 + n * 100), 5).unwrap();
    }
    assert_eq!(store.query(mark(11).identity, 5), AttemptKnowledge::NotKnown, "pushed out");
    assert_eq!(store.query(mark(3000).identity, 5), AttemptKnowledge::MayHaveRun);
    let last = store.commits();
    drop(store);
    let mut store = open(&disk, 0).unwrap();
    store.begin(3, last, 0).unwrap();
    assert_eq!(
        store.query(mark(11).identity, 0),
        AttemptKnowledge::NotKnown,
        "the file says that it lacks something"
    );
    store.commit(&Batch::default(), KEEP).unwrap();
    assert_eq!(store.query(mark(11).identity, KEEP), AttemptKnowledge::None);
}

#[test]
fn a_disk_that_fails_for_a_while_loses_nothing_and_goes_on() {
    let disk = Disk::default();
    let mut store = grown(&disk);
    store.commit(&marks([5]), 0).unwrap();
    disk.state().operations_left = Some(1);
    assert!(store.commit(&marks([6]), 0).is_err());
    assert!(store.commit(&marks([7]), 0).is_err());
    assert_eq!(store.query(mark(8).identity, 0), AttemptKnowledge::NotKnown);
    disk.state().operations_left = None;
    store.commit(&marks([8]), 0).unwrap();
    assert_eq!(store.query(mark(5).identity, 0), AttemptKnowledge::MayHaveRun);
    assert_eq!(store.query(mark(8).identity, 0), AttemptKnowledge::MayHaveRun);
}

#[test]
fn a_spoiled_file_is_told_as_damaged() {
    let disk = Disk::default();
    drop(grown(&disk));
    disk.corrupt();
    assert!(matches!(open(&disk, 0), Err(IntentLogError::Damaged(_))));
}

/// Starts, intents, and ends a run; what it could tell of another message.
fn run(place: &LogLocation, n: u64) -> AttemptKnowledge {
    let (marks, thread) = start(place, Options { retention: 0, ..OPTIONS }).unwrap();
    let (reply, mut done) = tokio::sync::mpsc::unbounded_channel();
    assert!(marks.query(1, 999, &reply));
    let Some(LogEvent::Answered(1, told)) = done.blocking_recv() else { panic!("no answer") };
    assert!(marks.record(mark(n), &reply));
    assert_eq!(done.blocking_recv(), Some(LogEvent::Recorded(mark(n), true)));
    drop(marks);
    thread.join().unwrap();
    told
}

#[test]
fn a_member_alone_counts_its_runs_and_sets_a_damaged_store_aside() {
    let folder = tempfile::tempdir().unwrap();
    let place = LogLocation { folder: folder.path().into(), name: "front/0".into(), standalone: true };
    let store = folder.path().join("marks-front_0.redb");
    assert_eq!(run(&place, 1), AttemptKnowledge::NotKnown, "the first");
    let old = std::fs::read(&store).unwrap();
    assert_eq!(run(&place, 2), AttemptKnowledge::None);
    assert_eq!(read_last_run(folder.path(), "front_0").unwrap().map(|w| w.run), Some(2));
    std::fs::write(&store, &old).unwrap();
    assert_eq!(run(&place, 3), AttemptKnowledge::NotKnown, "a store set back");
    let whole = std::fs::read(&store).unwrap();
    std::fs::write(&store, &whole[..whole.len() / 3]).unwrap();
    assert_eq!(run(&place, 4), AttemptKnowledge::NotKnown, "a store torn in the middle");
    assert!(folder.path().join("marks-front_0.damaged-1").exists());
    assert_eq!(run(&place, 5), AttemptKnowledge::None);
}
