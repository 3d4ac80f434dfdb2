//! A strict retirement while a member is partitioned.

mod common;

use common::relay::{Relay, RelayState};
use common::{clock, confirm, in_force, is_fresh, retirement, shown, terms, wait, Fleet};
use stagehoist_cluster_state::{LeaseTerms, RetirementMode, TombstoneState};
use stagehoist_consensus::{start, Options};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A member that reaches the replicas through its own relays.
fn split(fleet: &Fleet) -> (Options, Vec<Relay>) {
    let mut options = fleet.options(&["apart".into()]);
    let relays: Vec<_> = fleet.keepers.values().map(|to| Relay::new(to)).collect();
    options.replicas = fleet.keepers.keys().copied().zip(relays.iter().map(|r| r.address.clone())).collect();
    (options, relays)
}

#[test]
fn a_strict_retirement_is_in_force_only_after_the_lease_of_a_partitioned_member_expired() {
    check_in_force_after_lease(RelayState::Cut);
}

#[test]
fn a_strict_retirement_is_in_force_only_after_the_lease_of_a_stalled_member_expired() {
    check_in_force_after_lease(RelayState::Stalled);
}

fn check_in_force_after_lease(state: RelayState) {
    let fleet = Fleet::started(3);
    let (options, relays) = split(&fleet);
    let now = clock();
    let split = start(options, now.clone()).unwrap();
    let session = &split.sessions["apart"];
    wait("a lease for the partitioned member", || is_fresh(session, &now));
    relays.iter().for_each(|r| r.set(state));
    fleet.session(1).retire.try_send(retirement("f", RetirementMode::Strict)).unwrap();
    let mut was_fresh = 0;
    wait("in force at the other members", || {
        // The order matters: a status still fresh after the retirement was observed in force would allow a call to be served
        // after it.
        let is_in_force = fleet.sessions().iter().any(|s| in_force(s, "f"));
        let fresh = is_fresh(session, &now);
        assert!(!(is_in_force && fresh), "in force while the partitioned member may still serve");
        was_fresh += u32::from(fresh);
        fleet.sessions().iter().for_each(|s| confirm(s));
        is_in_force
    });
    assert!(was_fresh > 0 && shown(session, "f").is_none());
    relays.iter().for_each(|r| r.cut(false));
    wait("the member receives the retirement after reconnecting", || in_force(session, "f"));
    split.stop();
}

#[test]
fn an_available_retirement_names_a_partitioned_member_until_it_confirms() {
    let fleet = Fleet::started(3);
    let (options, relays) = split(&fleet);
    let now = clock();
    let split = start(options, now.clone()).unwrap();
    let session = &split.sessions["apart"];
    wait("a lease for the partitioned member", || is_fresh(session, &now));
    relays.iter().for_each(|r| r.cut(true));
    fleet.session(1).retire.try_send(retirement("f", RetirementMode::Available)).unwrap();
    fleet.until("in force except for the partitioned member", |f| {
        let state = shown(f.session(2), "f").map(|t| t.state);
        matches!(state, Some(TombstoneState::InForce { but_for }) if but_for.iter().any(|m| m.name == "apart"))
    });
    relays.iter().for_each(|r| r.cut(false));
    fleet.until("in force for all members", |f| {
        confirm(session);
        in_force(f.session(2), "f")
    });
    split.stop();
}

/// Partitions the leader, replica 1, from the other replicas but not from one of its members. Returns whether that
/// member considered its view the newest when the others had the retirement in force.
fn is_lease_extended_past_retirement(quorum: i64) -> bool {
    let mut fleet = Fleet::new(3);
    let leader_relays: BTreeMap<u64, Relay> =
        [2, 3].into_iter().map(|n| (n, Relay::new(fleet.listens(n)))).collect();
    let modified_terms = LeaseTerms { quorum, ..terms() };
    let leader_only: BTreeMap<u64, String> = [(1, fleet.listens(1).to_string())].into();
    let mut options = fleet.keeper_options(1);
    options.replicas =
        leader_relays.iter().map(|(n, r)| (*n, r.address.clone())).chain(leader_only.clone()).collect();
    options.terms = modified_terms;
    fleet.running.insert(1, start(options, clock()).unwrap());
    fleet.start(2);
    fleet.start(3);
    fleet.until_all_vote();
    // Stops whichever other replica leads, until replica 1 leads.
    for _ in 0..20 {
        let Some(first) = fleet.leader().filter(|l| *l != 1) else { break };
        fleet.stop(first);
        fleet.until("another leader", |f| f.leader().is_some());
        fleet.start(first);
        fleet.until_all_vote();
    }
    assert_eq!(fleet.leader(), Some(1));
    let now = clock();
    let split = Options { replicas: leader_only, terms: modified_terms, ..fleet.options(&["apart".into()]) };
    let split = start(split, now.clone()).unwrap();
    let session = &split.sessions["apart"];
    wait("a lease for the leader's member", || is_fresh(session, &now));
    leader_relays.values().chain([&fleet.relays[&1]]).for_each(|r| r.cut(true));
    fleet.session(2).retire.try_send(retirement("f", RetirementMode::Strict)).unwrap();
    fleet.until("in force at the other members", |f| in_force(f.session(2), "f"));
    let (began, mut was_fresh) = (Instant::now(), false);
    while began.elapsed() < Duration::from_millis(300) {
        was_fresh |= is_fresh(session, &now);
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(shown(session, "f").is_none());
    split.stop();
    was_fresh
}

#[test]
fn a_partitioned_leader_grants_no_lease_past_a_retirement_of_the_others() {
    assert!(!is_lease_extended_past_retirement(terms().quorum));
}

#[test]
fn without_the_majority_acknowledgement_bound_a_partitioned_leader_grants_such_a_lease() {
    assert!(is_lease_extended_past_retirement(3_600_000_000));
}
