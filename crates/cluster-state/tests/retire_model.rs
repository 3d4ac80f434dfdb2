//! Explores every execution of a retirement within the bounds of the model. With all guards, no execution breaks the
//! guarantee; without any one of them, some execution does.

mod fleet;

use fleet::{Fleet, Guard};
use stagehoist_cluster_state::RetirementMode;
use stateright::{Checker, Model};

const GUARANTEE: &str = "in force: no run serves it";

const ONE_MEMBER: Fleet = Fleet {
    members: 1,
    mode: RetirementMode::Strict,
    ticks: 7,
    max_reports: 2,
    max_deliveries: 1,
    restarts: 0,
    elections: 0,
    late_commits: false,
    fast_leader_clocks: false,
    disabled_guard: None,
};

/// Checks that every execution keeps the guarantee and that the model reaches the states it is meant to cover.
fn holds(name: &str, fleet: Fleet) {
    let checker = fleet.checker().spawn_bfs().join();
    println!("{name}: {} states, {} deep", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

/// Checks that some execution breaks the guarantee without the guard; `holds` checks that none does with it.
fn breaks_without(guard: Guard, fleet: Fleet) {
    let broken = Fleet { disabled_guard: Some(guard), ..fleet };
    let finish = stateright::HasDiscoveries::AnyOf([GUARANTEE].into());
    let checker = broken.checker().finish_when(finish).spawn_bfs().join();
    println!("{guard:?} disabled: {} states until the guarantee breaks", checker.unique_state_count());
    let path =
        checker.discovery(GUARANTEE).unwrap_or_else(|| panic!("the guarantee holds without {guard:?}"));
    println!("{:?}", path.into_actions());
}

#[test]
fn one_member_with_messages_delayed_lost_and_reordered() {
    holds("one member", ONE_MEMBER);
}

#[test]
fn duplicate_reports() {
    holds("doubled", Fleet { max_reports: 1, max_deliveries: 2, ticks: 8, ..ONE_MEMBER });
}

#[test]
fn two_members() {
    holds("two members", Fleet { members: 2, ticks: 5, fast_leader_clocks: true, ..ONE_MEMBER });
}

#[test]
fn a_leader_that_does_not_know_it_was_replaced() {
    holds("leader change", Fleet { max_reports: 1, elections: 1, ticks: 8, ..ONE_MEMBER });
}

#[test]
fn a_run_replaced_by_a_restart() {
    holds("restart", Fleet { restarts: 1, ticks: 5, fast_leader_clocks: true, ..ONE_MEMBER });
}

#[test]
fn a_restart_and_a_leader_change() {
    let fleet =
        Fleet { max_reports: 1, restarts: 1, elections: 1, ticks: 6, fast_leader_clocks: true, ..ONE_MEMBER };
    holds("restart and leader change", fleet);
}

#[test]
fn a_command_committed_late_under_the_next_leader() {
    let fleet =
        Fleet { max_reports: 1, elections: 1, late_commits: true, fast_leader_clocks: true, ..ONE_MEMBER };
    holds("late commits", Fleet { ticks: 6, ..fleet });
}

#[test]
fn an_available_retirement_excepts_the_members_that_may_still_serve() {
    holds("available", Fleet { mode: RetirementMode::Available, ..ONE_MEMBER });
    holds(
        "available, restart",
        Fleet { mode: RetirementMode::Available, restarts: 1, max_reports: 1, ..ONE_MEMBER },
    );
}

#[test]
fn the_drift_margin_is_necessary() {
    breaks_without(Guard::Drift, ONE_MEMBER);
}

#[test]
fn the_takeover_wait_of_a_new_leader_is_necessary() {
    breaks_without(Guard::TakeoverWait, Fleet { elections: 1, ..ONE_MEMBER });
}

#[test]
fn granting_leases_only_with_a_majority_is_necessary() {
    breaks_without(Guard::Quorum, Fleet { max_reports: 1, elections: 1, ticks: 8, ..ONE_MEMBER });
}

#[test]
fn limiting_a_grant_to_its_own_view_version_is_necessary() {
    breaks_without(Guard::LocalVersion, Fleet { max_reports: 1, restarts: 1, ..ONE_MEMBER });
}

#[test]
fn serving_nothing_before_the_first_grant_is_necessary() {
    breaks_without(Guard::FirstGrant, Fleet { restarts: 1, ..ONE_MEMBER });
}

#[test]
fn counting_replaced_runs_is_necessary() {
    breaks_without(Guard::Replaced, Fleet { restarts: 1, ..ONE_MEMBER });
}

#[test]
fn a_caught_up_leader_is_necessary() {
    breaks_without(Guard::CaughtUp, Fleet { elections: 1, ..ONE_MEMBER });
}
