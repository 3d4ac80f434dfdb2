//! Every course of a retirement within the bounds of the model: with all guards none breaks the promise,
//! without any one of them some course does.

mod fleet;

use fleet::{Fleet, Guard};
use stagehoist_cluster_state::RetirementMode;
use stateright::{Checker, Model};

const PROMISE: &str = "in force: nobody serves it";

const ALONE: Fleet = Fleet {
    members: 1,
    mode: RetirementMode::Strict,
    ticks: 7,
    asks: 2,
    deliveries: 1,
    restarts: 0,
    elections: 0,
    late_commits: false,
    hasty: false,
    off: None,
};

/// Every course keeps the promise, and the model comes to what it is about.
fn holds(name: &str, fleet: Fleet) {
    let checker = fleet.checker().spawn_bfs().join();
    println!("{name}: {} states, {} deep", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

/// Some course breaks the promise without the guard; `holds` has none with it.
fn matters(guard: Guard, fleet: Fleet) {
    let broken = Fleet { off: Some(guard), ..fleet };
    let finish = stateright::HasDiscoveries::AnyOf([PROMISE].into());
    let checker = broken.checker().finish_when(finish).spawn_bfs().join();
    println!("{guard:?} off: {} states until it breaks", checker.unique_state_count());
    let path = checker.discovery(PROMISE).unwrap_or_else(|| panic!("nothing breaks without {guard:?}"));
    println!("{:?}", path.into_actions());
}

#[test]
fn one_member_with_messages_late_lost_and_in_any_order() {
    holds("one member", ALONE);
}

#[test]
fn reports_that_come_twice() {
    holds("doubled", Fleet { asks: 1, deliveries: 2, ticks: 8, ..ALONE });
}

#[test]
fn two_members() {
    holds("two members", Fleet { members: 2, ticks: 5, hasty: true, ..ALONE });
}

#[test]
fn a_leader_that_does_not_know_it_is_deposed() {
    holds("leader change", Fleet { asks: 1, elections: 1, ticks: 8, ..ALONE });
}

#[test]
fn a_member_that_another_run_took_the_place_of() {
    holds("restart", Fleet { restarts: 1, ticks: 5, hasty: true, ..ALONE });
}

#[test]
fn a_restart_and_a_leader_change() {
    let fleet = Fleet { asks: 1, restarts: 1, elections: 1, ticks: 6, hasty: true, ..ALONE };
    holds("restart and leader change", fleet);
}

#[test]
fn a_decision_that_is_agreed_on_late_and_under_the_next_leader() {
    let fleet = Fleet { asks: 1, elections: 1, late_commits: true, hasty: true, ..ALONE };
    holds("late commits", Fleet { ticks: 6, ..fleet });
}

#[test]
fn an_available_function_names_those_who_may_serve_it() {
    holds("available", Fleet { mode: RetirementMode::Available, ..ALONE });
    holds("available, restart", Fleet { mode: RetirementMode::Available, restarts: 1, asks: 1, ..ALONE });
}

#[test]
fn the_drift_matters() {
    matters(Guard::Drift, ALONE);
}

#[test]
fn the_silence_of_a_new_leader_matters() {
    matters(Guard::Silence, Fleet { elections: 1, ..ALONE });
}

#[test]
fn promising_only_with_a_majority_matters() {
    matters(Guard::Quorum, Fleet { asks: 1, elections: 1, ticks: 8, ..ALONE });
}

#[test]
fn vouching_for_no_older_view_matters() {
    matters(Guard::LocalVersion, Fleet { asks: 1, restarts: 1, ..ALONE });
}

#[test]
fn serving_nothing_before_the_first_word_matters() {
    matters(Guard::FirstWord, Fleet { restarts: 1, ..ALONE });
}

#[test]
fn counting_runs_that_another_took_the_place_of_matters() {
    matters(Guard::Replaced, Fleet { restarts: 1, ..ALONE });
}

#[test]
fn a_leaders_record_being_caught_up_matters() {
    matters(Guard::CaughtUp, Fleet { elections: 1, ..ALONE });
}
