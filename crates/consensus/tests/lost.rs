//! Replicas whose stores are damaged, rolled back or missing.

mod common;

use common::{retirement, shown, Fleet};
use stagehoist_cluster_state::{RetirementMode, TombstoneState};
use stagehoist_consensus::Session;
use std::path::Path;

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

fn quarantined_stores(fleet: &Fleet, number: u64) -> usize {
    let names = std::fs::read_dir(fleet.store(number)).unwrap();
    names.filter(|n| n.as_ref().unwrap().file_name().to_string_lossy().contains(".damaged-")).count()
}

fn retire(fleet: &Fleet, at: u64, function: &str) {
    fleet.session(at).retire.try_send(retirement(function, RetirementMode::Available)).unwrap();
    fleet.until(function, |f| f.sessions().iter().all(|s| is_held(s, function)));
}

/// Whether the retirement is in force at all running members: a stopped one may have found no leader to leave at.
fn is_held(session: &Session, function: &str) -> bool {
    let state = shown(session, function).map(|t| t.state);
    matches!(state, Some(TombstoneState::InForce { but_for }) if but_for.iter().all(|m| m.name == "m1" || m.name == "m3"))
}

/// Stops replica 3, modifies its store and starts it again while 1 and 2 continue; then stops 1, so that the majority
/// needs 3.
fn check_recovery(modify_store: impl Fn(&Path), is_quarantined: bool) {
    let mut fleet = Fleet::started(3);
    retire(&fleet, 3, "a");
    fleet.stop(3);
    modify_store(&fleet.store(3));
    fleet.start(3);
    assert_eq!(quarantined_stores(&fleet, 3) > 0, is_quarantined);
    retire(&fleet, 3, "b");
    // Replica 3 votes and has the cluster state once it recovered what it lost; with one other it forms a majority.
    fleet.until("the replica votes again", |f| f.votes(3));
    fleet.stop(1);
    retire(&fleet, 3, "c");
    assert!(["a", "b", "c"].iter().all(|f| is_held(fleet.session(3), f)));
}

#[test]
fn a_keeper_with_a_damaged_store_recovers_from_the_others() {
    check_recovery(
        |store| {
            let path = store.join("record.redb");
            let mut bytes = std::fs::read(&path).unwrap();
            bytes.iter_mut().step_by(97).for_each(|b| *b = !*b);
            std::fs::write(&path, bytes).unwrap();
        },
        true,
    );
}

#[test]
fn a_keeper_with_a_truncated_store_recovers_from_the_others() {
    check_recovery(
        |store| {
            let path = store.join("record.redb");
            let length = std::fs::metadata(&path).unwrap().len();
            std::fs::OpenOptions::new().write(true).open(&path).unwrap().set_len(length / 3).unwrap();
        },
        true,
    );
}

#[test]
fn a_keeper_with_an_empty_disk_recovers_from_the_others() {
    check_recovery(|store| std::fs::remove_dir_all(store).unwrap(), false);
}

#[test]
fn a_keeper_with_a_guard_but_no_store_recovers_from_the_others() {
    check_recovery(|store| std::fs::remove_file(store.join("record.redb")).unwrap(), true);
}

#[test]
fn a_store_rolled_back_to_an_older_copy_is_detected_by_its_guard() {
    let mut fleet = Fleet::started(3);
    retire(&fleet, 1, "a");
    fleet.stop(3);
    let old = fleet.folder.path().join("old");
    copy(&fleet.store(3), &old);
    fleet.start(3);
    retire(&fleet, 3, "b");
    // The other replicas can commit "b" alone; the copy is older only once this replica has it too (1,024 change numbers
    // per entry).
    let entry = common::shown(fleet.session(3), "b").unwrap().proposed / 1024;
    fleet.until("the log contains the retirement", |f| {
        f.running[&3].statistics().borrow().last_entry >= entry
    });
    fleet.stop(3);
    // An unmodified store is accepted as intact.
    fleet.start(3);
    assert_eq!(quarantined_stores(&fleet, 3), 0);
    fleet.stop(3);
    std::fs::copy(old.join("record.redb"), fleet.store(3).join("record.redb")).unwrap();
    fleet.start(3);
    assert_eq!(quarantined_stores(&fleet, 3), 1);
    retire(&fleet, 3, "c");
    fleet.until("the replica votes again", |f| f.votes(3));
    // A store and guard file rolled back together are not detected; the guard file detects a rolled-back store alone.
    fleet.stop(3);
    std::fs::copy(old.join("record.redb"), fleet.store(3).join("record.redb")).unwrap();
    std::fs::copy(old.join("guard"), fleet.store(3).join("guard")).unwrap();
    let options = fleet.keeper_options(3);
    let running = stagehoist_consensus::start(options, common::clock()).unwrap();
    assert_eq!(quarantined_stores(&fleet, 3), 1);
    running.stop();
}

#[test]
fn keepers_are_added_and_removed_as_configured() {
    let mut fleet = Fleet::new(4);
    let all = fleet.keepers.clone();
    fleet.keepers.remove(&4);
    (1..=3).for_each(|n| fleet.start(n));
    fleet.until("all vote", |f| (1..=3).all(|n| f.votes(n)));
    retire(&fleet, 1, "a");
    // Restarts the replicas one after the other with the fourth in their configuration.
    fleet.keepers = all;
    for number in 1..=3 {
        fleet.stop(number);
        fleet.start(number);
        fleet.until("a leader", |f| f.leader().is_some());
    }
    fleet.start(4);
    retire(&fleet, 4, "b");
    // The fourth replica learns of a leader once it is added. Of four, two are no majority; with 1 stopped and 4 added,
    // three are.
    fleet.until("the replica is added", |f| {
        f.votes(4) && f.running[&4].statistics().borrow().leader.is_some()
    });
    std::thread::sleep(std::time::Duration::from_secs(1));
    fleet.stop(1);
    retire(&fleet, 4, "c");
    assert!(is_held(fleet.session(4), "a"));
}
