//! Acknowledged writes survive any power loss, and a stalled disk blocks only the writes to it.

mod golden;

use super::open::check_start;
use super::state_machine::State;
use super::{key, Start, StateMachine, Store, StoreFingerprint};
use crate::types::{Batch, Entry, LogId, Vote};
use openraft::storage::{RaftLogStorage, RaftStateMachine};
use openraft::{EntryPayload, LeaderId, RaftSnapshotBuilder};
use redb::Database;
use stagehoist_cluster_state::{Command, Retirement, RetirementMode};
use stagehoist_faulty_disk::{Disk, Random};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn open(disk: &Disk, guard: &Path) -> Option<Store> {
    let db = Database::builder().create_with_backend(disk.clone()).ok()?;
    let write = db.begin_write().ok()?;
    write.open_table(super::LOG).ok()?;
    write.open_table(super::META).ok()?;
    write.commit().ok()?;
    let guard = Arc::new(Mutex::new(StoreFingerprint::open(guard).unwrap()));
    Some(Store { db: Arc::new(db), guard })
}

/// The acknowledged writes, and the write in flight when the disk failed.
#[derive(Default)]
struct Model {
    term: u64,
    vote: Option<Vote>,
    entries: BTreeMap<u64, Entry>,
    applied: u64,
    purged: u64,
    /// Index from which the end of the log may be lost.
    cutting: Option<u64>,
}

impl Model {
    fn entry(&self, index: u64) -> Entry {
        let retirement = Retirement {
            function: format!("f{}", index % 7),
            generation: u32::try_from(index).unwrap(),
            successor: None,
            reason: format!("{}", self.term),
            mode: RetirementMode::Strict,
            requested_ms: 0,
        };
        let payload = EntryPayload::Normal(Batch(vec![Command::Retire(retirement)]));
        Entry { log_id: LogId::new(LeaderId::new(self.term, 1), index), payload }
    }

    fn end(&self) -> u64 {
        self.entries.keys().next_back().copied().unwrap_or(0)
    }
}

/// Writes as Raft does, until the disk fails.
async fn write_until_failure(disk: &Disk, guard: &Path, random: &mut Random) -> Model {
    let mut model = Model { term: 1, ..Model::default() };
    let Some(mut store) = open(disk, guard) else { return model };
    let Ok((mut machine, _applied)) = StateMachine::new(store.clone()) else { return model };
    for _ in 0..30 {
        let (end, applied) = (model.end(), model.applied);
        let succeeded = match random.below(8) {
            0 | 1 => {
                let vote = Vote::new(model.term + 1, random.below(3));
                let succeeded = store.save_vote(&vote).await.is_ok();
                // It may be on disk without having been acknowledged.
                model.term += 1;
                model.vote = if succeeded { Some(vote) } else { model.vote };
                succeeded
            }
            2..=4 => {
                let new: Vec<Entry> = (end + 1..end + 2 + random.below(3)).map(|i| model.entry(i)).collect();
                let succeeded = store.append_entries(new.clone()).is_ok();
                model
                    .entries
                    .extend(succeeded.then_some(new).into_iter().flatten().map(|e| (e.log_id.index, e)));
                succeeded
            }
            5 => {
                let new: Vec<Entry> = model.entries.range(applied + 1..).map(|(_, e)| e.clone()).collect();
                let succeeded = new.is_empty() || machine.apply(new).await.is_ok();
                model.applied = if succeeded { end } else { applied };
                succeeded
            }
            6 if end > applied => {
                model.cutting = Some(end);
                let succeeded = store.truncate(model.entries[&end].log_id).await.is_ok();
                if succeeded {
                    model.cutting = None;
                    model.entries.remove(&end);
                }
                succeeded
            }
            7 if applied > model.purged => {
                let built = machine.get_snapshot_builder().await.build_snapshot().await.is_ok();
                model.purged = if built { applied } else { model.purged };
                built && store.purge(model.entries[&applied].log_id).await.is_ok()
            }
            _ => true,
        };
        if !succeeded {
            break;
        }
    }
    disk.state().operations_left = Some(0);
    model
}

/// Returns which acknowledged write is missing.
fn missing(model: &Model, disk: &Disk, guard: &Path) -> Option<String> {
    let Some(store) = open(disk, guard) else {
        // The disk failed while the store was created, so nothing was acknowledged yet.
        let nothing = model.vote.is_none() && model.end() == 0;
        return (!nothing).then(|| "the store does not open".into());
    };
    let fingerprint = store.guard.lock().unwrap().fingerprint();
    match check_start(&store, fingerprint) {
        Ok(Start::Intact | Start::Pristine) => {}
        other => return Some(format!("check_start returned {other:?}")),
    }
    let vote = store.vote().unwrap();
    if model.vote.is_some_and(|known| vote.is_none_or(|v| v.leader_id.term < known.leader_id.term)) {
        return Some(format!("vote {vote:?}, was {:?}", model.vote));
    }
    let mut state: State = store.get(key::STATE).unwrap().unwrap_or_default();
    let from = state.last.map_or(0, |l| l.index);
    let entries: BTreeMap<u64, Entry> =
        store.entries(..).unwrap().into_iter().map(|e| (e.log_id.index, e)).collect();
    let needed = from + 1..model.cutting.unwrap_or(u64::MAX);
    let gone = model.entries.keys().find(|&i| needed.contains(i) && !entries.contains_key(i));
    if let Some(gone) = gone {
        return Some(format!("entry {gone}, applied up to {from}"));
    }
    // Applying the remaining entries must give the same cluster state as applying all entries from the first.
    let mut expected = State::default();
    for entry in model.entries.values().filter(|e| e.log_id.index <= from.max(model.end())) {
        expected.apply(entry.clone());
    }
    for entry in entries.values().filter(|e| (from + 1..=model.end()).contains(&e.log_id.index)) {
        state.apply(entry.clone());
    }
    (model.cutting.is_none() && state.state != expected.state).then(|| "the cluster state differs".into())
}

/// Counts the disk failures, at random times, after which an acknowledged write was missing.
fn find_losses(ignores_syncs: bool, seeds: u64) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    // The syncs of the guard file are not tested here.
    let folder = tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir()).unwrap();
    let losses = (0..seeds).filter_map(|seed| {
        let mut random = Random(seed);
        let guard = folder.path().join(format!("{seed}"));
        let disk = Disk::default();
        disk.state().operations_left = Some(random.below(180));
        disk.state().ignores_syncs = ignores_syncs;
        let model = runtime.block_on(write_until_failure(&disk, &guard, &mut random));
        let after = disk.after_power_loss(&mut random);
        // redb may panic on an unreadable store; `open` treats that as damage.
        let missing = catch_unwind(AssertUnwindSafe(|| missing(&model, &after, &guard)));
        missing
            .unwrap_or_else(|_| Some("the store can't be read".into()))
            .map(|what| format!("seed {seed}: {what}"))
    });
    losses.collect()
}

#[test]
fn vote_log_and_applied_record_are_there_after_200_losses_of_power() {
    assert_eq!(find_losses(false, 200), Vec::<String>::new());
}

#[test]
fn a_disk_that_ignores_syncs_is_detected_as_losing_writes() {
    assert!(find_losses(true, 20).len() > 5);
}

#[test]
fn a_stalled_disk_holds_up_its_writes_and_not_the_thread() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk::default();
    let mut store = open(&disk, &folder.path().join("guard")).unwrap();
    disk.state().sync_delay = Duration::from_millis(300);
    runtime.block_on(async {
        let (turns, counted) = tokio::sync::watch::channel(0u32);
        let others = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(5)).await;
                turns.send_modify(|n| *n += 1);
            }
        });
        store.save_vote(&Vote::new(1, 1)).await.unwrap();
        let split = *counted.borrow();
        store.set_vote(&Vote::new(2, 1)).unwrap();
        let inline = *counted.borrow() - split;
        assert!(
            split >= 3 && inline == 0,
            "the other task was polled {split} times during a blocking-thread write and {inline} times during an inline write"
        );
        others.abort();
    });
}
