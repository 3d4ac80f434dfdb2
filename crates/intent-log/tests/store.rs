//! Acknowledged intents survive any power loss, and a store with possibly missing intents never answers that a message has
//! not run.

use redb::Database;
use stagehoist_faulty_disk::{Disk, Random};
use stagehoist_intent_log::{
    read_last_run, start, Batch, Intent, IntentLogError, IntentStore, LastRun, LogEvent, LogLocation, Options,
};
use stagehoist_recovery::AttemptKnowledge;

const RETENTION: i64 = 1_000_000;
const OPTIONS: Options = Options { retention: RETENTION, ended_retention: RETENTION / 10, max_intents: 1000 };

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

fn intent(n: u64) -> Intent {
    Intent { identity: u128::from(n) << 64 | 7, number: n }
}

fn batch_of(numbers: impl IntoIterator<Item = u64>) -> Batch {
    Batch { intents: numbers.into_iter().map(intent).collect(), ended: Vec::new() }
}

/// Creates a store whose first run lasted longer than the retention, so that the store is no longer new, and begins its
/// second run.
fn begin_second_run(disk: &Disk) -> IntentStore {
    let mut first = open(disk, 0).unwrap();
    first.begin(1, None, 0).unwrap();
    first.commit(&batch_of([1]), RETENTION + 1).unwrap();
    let last_run = first.commits();
    drop(first);
    let mut store = open(disk, 0).unwrap();
    store.begin(2, last_run, 0).unwrap();
    store
}

/// Commits intents until the disk fails, and returns the numbers that were acknowledged.
fn commit_until_failure(disk: &Disk, draw: &mut Random) -> Vec<u64> {
    let mut acknowledged = Vec::new();
    let Ok(mut store) = open(disk, 0) else { return acknowledged };
    if store.begin(1, None, 0).is_err() {
        return acknowledged;
    }
    let mut next = 0;
    for _ in 0..20 {
        let batch: Vec<u64> = (next..next + 1 + draw.below(40)).collect();
        next += batch.len() as u64;
        if store.commit(&batch_of(batch.iter().copied()), 0).is_err() {
            break;
        }
        acknowledged.extend(batch);
    }
    // The process is killed, so the store is not closed properly.
    disk.state().operations_left = Some(0);
    acknowledged
}

/// Returns the numbers of intents lost and kept over random moments of power loss.
fn count_lost_and_kept(lies: bool, seeds: u64) -> (u64, u64) {
    let healthy = Disk::default();
    commit_until_failure(&healthy, &mut Random(0));
    let operations = healthy.state().operations_done;
    assert!(operations > 100, "{operations}");
    let (mut lost, mut kept) = (0, 0);
    for seed in 0..seeds {
        let mut draw = Random(seed);
        let disk = Disk::default();
        disk.state().operations_left = Some(draw.below(operations));
        disk.state().ignores_syncs = lies;
        let acknowledged = commit_until_failure(&disk, &mut draw);
        let after = disk.after_power_loss(&mut draw);
        let Ok(mut store) = open(&after, 0) else {
            lost += acknowledged.len() as u64;
            continue;
        };
        for n in acknowledged {
            match store.query(intent(n).identity, 0) {
                AttemptKnowledge::MayHaveRun => kept += 1,
                _ => lost += 1,
            }
        }
        store.begin(9, None, 0).unwrap();
        store.commit(&batch_of([100_000]), 0).unwrap();
    }
    (lost, kept)
}

#[test]
fn acknowledged_intents_survive_power_loss_at_any_moment() {
    let (lost, kept) = count_lost_and_kept(false, 200);
    assert_eq!(lost, 0);
    assert!(kept > 3000, "{kept}");
}

#[test]
fn a_disk_that_ignores_syncs_loses_intents() {
    assert!(count_lost_and_kept(true, 20).0 > 0);
}

#[test]
fn a_missing_intent_is_proof_only_in_a_complete_store() {
    let disk = Disk::default();
    let store = begin_second_run(&disk);
    assert_eq!(store.query(intent(1).identity, 0), AttemptKnowledge::MayHaveRun);
    assert_eq!(store.query(intent(2).identity, 0), AttemptKnowledge::None);
    let last = store.commits();
    drop(store);
    let answer = |before: Option<LastRun>| {
        let mut store = open(&disk.snapshot(), 0).unwrap();
        assert_eq!(store.query(intent(2).identity, 0), AttemptKnowledge::NotKnown, "no run has begun yet");
        store.begin(9, before, 0).unwrap();
        store.query(intent(2).identity, 0)
    };
    assert_eq!(answer(last), AttemptKnowledge::None);
    assert_eq!(answer(None), AttemptKnowledge::NotKnown);
    // The cluster state knows a later run, or more commits, than the file contains: the file was set back.
    assert_eq!(answer(Some(LastRun { run: 3, commits: 0 })), AttemptKnowledge::NotKnown);
    assert_eq!(
        answer(last.map(|last| LastRun { commits: last.commits + 1, ..last })),
        AttemptKnowledge::NotKnown
    );
}

#[test]
fn a_new_file_proves_nothing_until_the_retention_has_passed() {
    let disk = Disk::default();
    let mut store = open(&disk, 0).unwrap();
    store.begin(1, None, 0).unwrap();
    store.commit(&batch_of([1]), RETENTION / 2).unwrap();
    let last = store.commits();
    drop(store);
    let mut store = open(&disk, 0).unwrap();
    store.begin(2, last, 0).unwrap();
    assert_eq!(store.query(intent(2).identity, RETENTION / 2), AttemptKnowledge::NotKnown);
    store.commit(&batch_of([3]), RETENTION).unwrap();
    assert_eq!(store.query(intent(2).identity, RETENTION), AttemptKnowledge::None);
}

#[test]
fn a_run_that_gets_a_higher_number_keeps_its_intents() {
    let disk = Disk::default();
    let mut store = begin_second_run(&disk);
    store.commit(&batch_of([5]), 0).unwrap();
    store.begin(7, Some(LastRun { run: 1, commits: 1 }), 0).unwrap();
    assert_eq!(store.query(intent(2).identity, 0), AttemptKnowledge::None);
    assert_eq!(store.commits(), Some(LastRun { run: 7, commits: 1 }));
    assert!(matches!(store.begin(7, None, 0), Err(IntentLogError::RunSuperseded { requested: 7, last: 7 })));
    store.commit(&batch_of([6]), RETENTION).unwrap();
    assert_eq!(
        store.query(intent(5).identity, RETENTION),
        AttemptKnowledge::None,
        "expired, although stored under the run's first number"
    );
}

#[test]
fn intents_expire_by_age_earlier_once_ended_and_also_those_of_former_runs() {
    let disk = Disk::default();
    let mut store = begin_second_run(&disk);
    store.commit(&batch_of([5, 6]), 10).unwrap();
    store.commit(&Batch { intents: Vec::new(), ended: vec![intent(5)] }, 20).unwrap();
    assert!(!store.is_due(RETENTION / 10));
    store.commit(&Batch::default(), 20 + RETENTION / 10).unwrap();
    assert_eq!(store.query(intent(5).identity, RETENTION / 5), AttemptKnowledge::None);
    assert_eq!(store.query(intent(6).identity, RETENTION / 5), AttemptKnowledge::MayHaveRun);
    assert_eq!(
        store.query(intent(1).identity, RETENTION / 5),
        AttemptKnowledge::MayHaveRun,
        "from the previous run"
    );
    store.commit(&Batch::default(), RETENTION + 10).unwrap();
    assert_eq!(store.query(intent(6).identity, RETENTION + 10), AttemptKnowledge::None);
    assert_eq!(store.query(intent(1).identity, RETENTION + 10), AttemptKnowledge::None);
}

#[test]
fn a_message_id_used_twice_keeps_the_second_intent_when_the_first_ends() {
    let disk = Disk::default();
    let mut store = begin_second_run(&disk);
    let [first, second] = [1, 2].map(|number| Intent { identity: 77, number });
    store.commit(&Batch { intents: vec![first, second], ended: vec![first] }, 0).unwrap();
    store.commit(&Batch::default(), RETENTION / 2).unwrap();
    assert_eq!(store.query(77, RETENTION / 2), AttemptKnowledge::MayHaveRun);
}

#[test]
fn intents_over_the_bound_drop_the_oldest_and_suspend_proofs() {
    let disk = Disk::default();
    let mut store = begin_second_run(&disk);
    for n in 0..30 {
        store.commit(&batch_of(10 + n * 100..110 + n * 100), 5).unwrap();
    }
    assert_eq!(store.query(intent(11).identity, 5), AttemptKnowledge::NotKnown, "dropped over the bound");
    assert_eq!(store.query(intent(3000).identity, 5), AttemptKnowledge::MayHaveRun);
    let last = store.commits();
    drop(store);
    let mut store = open(&disk, 0).unwrap();
    store.begin(3, last, 0).unwrap();
    assert_eq!(
        store.query(intent(11).identity, 0),
        AttemptKnowledge::NotKnown,
        "the file is flagged as incomplete"
    );
    store.commit(&Batch::default(), RETENTION).unwrap();
    assert_eq!(store.query(intent(11).identity, RETENTION), AttemptKnowledge::None);
}

#[test]
fn a_temporary_disk_failure_loses_no_acknowledged_intent() {
    let disk = Disk::default();
    let mut store = begin_second_run(&disk);
    store.commit(&batch_of([5]), 0).unwrap();
    disk.state().operations_left = Some(1);
    assert!(store.commit(&batch_of([6]), 0).is_err());
    assert!(store.commit(&batch_of([7]), 0).is_err());
    assert_eq!(store.query(intent(8).identity, 0), AttemptKnowledge::NotKnown);
    disk.state().operations_left = None;
    store.commit(&batch_of([8]), 0).unwrap();
    assert_eq!(store.query(intent(5).identity, 0), AttemptKnowledge::MayHaveRun);
    assert_eq!(store.query(intent(8).identity, 0), AttemptKnowledge::MayHaveRun);
}

#[test]
fn a_corrupted_file_is_reported_as_damaged() {
    let disk = Disk::default();
    drop(begin_second_run(&disk));
    disk.corrupt();
    assert!(matches!(open(&disk, 0), Err(IntentLogError::Damaged(_))));
}

/// Starts a run, records one intent and ends the run; returns the answer about another message.
fn run(location: &LogLocation, n: u64) -> AttemptKnowledge {
    let (log, thread) = start(location, Options { retention: 0, ..OPTIONS }).unwrap();
    let (reply, mut events) = tokio::sync::mpsc::unbounded_channel();
    assert!(log.query(1, 999, &reply));
    let Some(LogEvent::Answered(1, answer)) = events.blocking_recv() else { panic!("no answer") };
    assert!(log.record(intent(n), &reply));
    assert_eq!(events.blocking_recv(), Some(LogEvent::Recorded(intent(n), true)));
    drop(log);
    thread.join().unwrap();
    answer
}

#[test]
fn a_standalone_member_counts_its_runs_and_quarantines_a_damaged_store() {
    let folder = tempfile::tempdir().unwrap();
    let location = LogLocation { folder: folder.path().into(), name: "front/0".into(), standalone: true };
    let store = folder.path().join("marks-front_0.redb");
    assert_eq!(run(&location, 1), AttemptKnowledge::NotKnown, "first run");
    let old = std::fs::read(&store).unwrap();
    assert_eq!(run(&location, 2), AttemptKnowledge::None);
    assert_eq!(read_last_run(folder.path(), "front_0").unwrap().map(|last| last.run), Some(2));
    std::fs::write(&store, &old).unwrap();
    assert_eq!(run(&location, 3), AttemptKnowledge::NotKnown, "store was set back");
    let complete = std::fs::read(&store).unwrap();
    std::fs::write(&store, &complete[..complete.len() / 3]).unwrap();
    assert_eq!(run(&location, 4), AttemptKnowledge::NotKnown, "store was truncated");
    assert!(folder.path().join("marks-front_0.damaged-1").exists());
    assert_eq!(run(&location, 5), AttemptKnowledge::None);
}
