//! Opens, compares and continues a replica's store and snapshot written by the build before the packages were renamed. `tests/golden/store` and `tests/golden/snapshot.txt` never change with the code.

use super::super::{open, Start, StateMachine, Store};
use crate::types::{Batch, Entry, LogId, Vote};
use openraft::storage::{RaftLogStorage, RaftStateMachine};
use openraft::{EntryPayload, LeaderId, Membership, RaftLogReader, RaftSnapshotBuilder};
use stagehoist_cluster_state::{Command, Member, Retirement, RetirementMode};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Environment variable with the folder for a new golden store; unset: none is written.
const WRITE_TO: &str = "STAGEHOIST_WRITE_GOLDEN_STORE";
const FILES: [&str; 2] = ["record.redb", "guard"];

fn entry(index: u64, commands: Vec<Command>) -> Entry {
    Entry { log_id: LogId::new(LeaderId::new(2, 1), index), payload: EntryPayload::Normal(Batch(commands)) }
}

fn entries() -> Vec<Entry> {
    let nodes = BTreeMap::from([(1, openraft::EmptyNode {})]);
    let members = Membership::new(vec![BTreeSet::from([1])], nodes);
    let retirement = Retirement {
        function: "free-times".into(),
        generation: 3,
        successor: None,
        reason: "replaced".into(),
        mode: RetirementMode::Strict,
        requested_ms: 1_700_000_000_123,
    };
    let join = |name: &str| Command::Join { name: name.into(), at_least: 4 };
    let log_id = LogId::new(LeaderId::new(2, 1), 0);
    vec![
        Entry { log_id, payload: EntryPayload::Membership(members) },
        entry(1, vec![join("a/0"), join("b/0")]),
        entry(2, vec![Command::Retire(retirement)]),
        entry(3, vec![Command::Leave(Member { name: "b/0".into(), incarnation: 5 })]),
    ]
}

async fn write(folder: &Path) {
    let (mut store, start) = open(folder).unwrap();
    assert_eq!(start, Start::Pristine);
    store.save_vote(&Vote::new_committed(2, 1)).await.unwrap();
    store.append_entries(entries()).unwrap();
    let (mut machine, _applied) = StateMachine::new(store.clone()).unwrap();
    machine.apply(entries()[..3].to_vec()).await.unwrap();
    machine.get_snapshot_builder().await.build_snapshot().await.unwrap();
    machine.apply(entries()[3..].to_vec()).await.unwrap();
    store.save_committed(Some(entries()[3].log_id)).await.unwrap();
    store.purge(entries()[0].log_id).await.unwrap();
}

async fn compare(store: &mut Store) {
    assert_eq!(store.read_vote().await.unwrap(), Some(Vote::new_committed(2, 1)));
    assert_eq!(store.read_committed().await.unwrap(), Some(entries()[3].log_id));
    let read = store.try_get_log_entries(0..10).await.unwrap();
    assert_eq!(format!("{read:?}"), format!("{:?}", &entries()[1..]));
    assert_eq!(store.get_log_state().await.unwrap().last_purged_log_id, Some(entries()[0].log_id));
}

#[test]
fn a_store_of_an_earlier_build_is_opened_compared_and_continued() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    if let Some(folder) = std::env::var_os(WRITE_TO) {
        runtime.block_on(write(Path::new(&folder)));
    }
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/store");
    let folder = tempfile::tempdir().unwrap();
    for file in FILES {
        std::fs::copy(golden.join(file), folder.path().join(file)).unwrap();
    }
    let (mut store, start) = open(folder.path()).unwrap();
    assert_eq!(start, Start::Intact);
    runtime.block_on(async {
        compare(&mut store).await;
        let (mut machine, applied) = StateMachine::new(store.clone()).unwrap();
        let state = applied.borrow().state.clone();
        assert_eq!(state.view.tombstones["free-times"].retirement.generation, 3);
        assert_eq!(state.members["b/0"].incarnation, 5);
        assert!(state.members["a/0"].left.is_none() && state.members["b/0"].left.is_some());
        let snapshot = machine.get_current_snapshot().await.unwrap().unwrap();
        let hex: String = snapshot.snapshot.get_ref().iter().map(|byte| format!("{byte:02x}")).collect();
        let expected = include_str!("../../../tests/golden/snapshot.txt").trim();
        assert!(hex == expected, "the snapshot differs; it is\n{hex}");
        let next = entry(4, vec![Command::Join { name: "b/0".into(), at_least: 0 }]);
        store.append_entries(vec![next.clone()]).unwrap();
        machine.apply([next]).await.unwrap();
        assert_eq!(applied.borrow().state.members["b/0"].incarnation, 6);
    });
}
