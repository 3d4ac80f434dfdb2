//! Three replicas: leaders, majorities, restarts.

mod common;

use common::{clock, in_force, is_fresh, retirement, shown, terms, wait, Fleet};
use stagehoist_cluster_state::RetirementMode;
use stagehoist_consensus::{start, ConsensusError, Options};
use std::time::Duration;

#[test]
fn a_retirement_sent_to_one_keeper_is_in_force_at_all() {
    let fleet = Fleet::started(3);
    fleet.until("a leader", |f| f.leader().is_some());
    fleet.session(3).retire.try_send(retirement("f", RetirementMode::Strict)).unwrap();
    fleet.until("in force", |f| f.sessions().iter().all(|s| in_force(s, "f")));
    // Statistics are published ten times a second.
    fleet.until("its statistics", |f| {
        let Some(leader) = f.leader() else { return false };
        let statistics = f.running[&leader].statistics().borrow().clone();
        statistics.sessions == 3 && statistics.promised > 0 && statistics.proposals > 0
    });
}

#[test]
fn a_leader_that_stops_is_replaced_and_what_was_in_force_stays() {
    let mut fleet = Fleet::started(3);
    fleet.until("a leader", |f| f.leader().is_some());
    let first = fleet.leader().unwrap();
    let other = if first == 1 { 2 } else { 1 };
    fleet.session(other).retire.try_send(retirement("f", RetirementMode::Available)).unwrap();
    fleet.until("in force", |f| f.sessions().iter().all(|s| in_force(s, "f")));
    fleet.stop(first);
    fleet.until("another leader", |f| f.leader().is_some_and(|l| l != first));
    // A member that never received the retirement receives it from the new leader.
    let late = start(fleet.options(&["late".into()]), clock()).unwrap();
    wait("the new member receives the retirement", || shown(&late.sessions["late"], "f").is_some());
    late.stop();
    fleet.session(other).retire.try_send(retirement("g", RetirementMode::Strict)).unwrap();
    fleet.until("the next retirement in force", |f| f.sessions().iter().all(|s| in_force(s, "g")));
}

#[test]
fn leases_are_granted_only_with_a_majority() {
    let mut fleet = Fleet::started(3);
    let now = clock();
    let member = start(fleet.options(&["m".into()]), now.clone()).unwrap();
    let session = &member.sessions["m"];
    wait("promises", || is_fresh(session, &now));
    fleet.stop(2);
    fleet.stop(3);
    wait("they run out", || !is_fresh(session, &now));
    let until = session.status.borrow().fresh_until;
    session.retire.try_send(retirement("f", RetirementMode::Strict)).unwrap();
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(session.status.borrow().fresh_until, until, "lease granted without a majority");
    assert!(shown(session, "f").is_none(), "change committed without a majority");
    fleet.start(3);
    wait("promises again", || is_fresh(session, &now));
    wait("the retirement requested without a majority", || shown(session, "f").is_some());
    member.stop();
}

#[test]
fn tombstones_and_incarnations_survive_a_stop_of_all_processes() {
    let mut fleet = Fleet::started(3);
    fleet.until("joined", |f| f.sessions().iter().all(|s| s.member.borrow().is_some()));
    fleet.session(1).retire.try_send(retirement("f", RetirementMode::Strict)).unwrap();
    fleet.until("in force", |f| f.sessions().iter().all(|s| in_force(s, "f")));
    let runs: Vec<u64> =
        fleet.sessions().iter().map(|s| s.member.borrow().clone().unwrap().incarnation).collect();
    (1..=3).for_each(|n| fleet.stop(n));
    fleet.start(1);
    // The stored view is available before any message from a leader, marked as stale.
    assert!(in_force(fleet.session(1), "f"));
    assert!(!is_fresh(fleet.session(1), &clock()));
    fleet.start(2);
    fleet.start(3);
    fleet.until("joined again", |f| f.sessions().iter().all(|s| s.member.borrow().is_some()));
    let again: Vec<u64> =
        fleet.sessions().iter().map(|s| s.member.borrow().clone().unwrap().incarnation).collect();
    assert!(runs.iter().zip(&again).all(|(before, after)| after > before), "{runs:?} {again:?}");
    // The view comes from the replicas' stores, not from a member's session file.
    let options = Options { session_folder: None, ..fleet.options(&["new".into()]) };
    let new = start(options, clock()).unwrap();
    wait("shown to a new one", || in_force(&new.sessions["new"], "f"));
    new.stop();
}

#[test]
fn a_retirement_that_the_cluster_state_rejects_is_not_retried() {
    let fleet = Fleet::started(3);
    fleet.until("joined", |f| f.sessions().iter().all(|s| s.member.borrow().is_some()));
    let changes = || fleet.running.values().map(|r| r.statistics().borrow().changes).sum::<u64>();
    let was = changes();
    fleet.session(1).retire.try_send(retirement(&"f".repeat(300), RetirementMode::Strict)).unwrap();
    wait("it is proposed", || changes() > was);
    // A retirement that the view does not contain is proposed again twice a second.
    wait("asked for no more", || {
        let was = changes();
        std::thread::sleep(Duration::from_millis(1300));
        changes() == was
    });
}

#[test]
fn start_errors_are_returned_immediately() {
    let fleet = Fleet::started(1);
    let err = |options: Options| start(options, clock()).err().unwrap();
    assert!(matches!(err(fleet.keeper_options(1)), ConsensusError::Listen { .. }));
    let mut options = fleet.keeper_options(1);
    options.replica.as_mut().unwrap().listen = "127.0.0.1:0".into();
    assert!(matches!(err(options.clone()), ConsensusError::InUse { .. }));
    options.replica.as_mut().unwrap().number = 9;
    assert!(matches!(err(options.clone()), ConsensusError::NotAReplica { number: 9 }));
    options.replicas.clear();
    assert!(matches!(err(options), ConsensusError::NoReplicas));
    let mut options = fleet.options(&[]);
    options.timing.election_ms = (100, 200);
    assert!(matches!(err(options), ConsensusError::Timing { .. }));
    assert!(terms().holder_span() < terms().grantor_span());
}
