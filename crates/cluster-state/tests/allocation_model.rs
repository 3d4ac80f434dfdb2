//! Model check of leased permits with the production allocator and lease holder: explores every order of events for a small
//! fleet. Each guard is shown to be necessary: without it, some order of events exceeds the pool.

mod allocation_model {
    pub mod world;
}

use allocation_model::world::{Bounds, World};
use stagehoist_cluster_state::allocation::Guards;
use stateright::{Checker, Model};

/// Maximum steps explored, breadth first. The models with one report per front end are explored completely within this
/// limit; the larger ones are cut off at it, at a depth of eight or more.
const MAX_STEPS: usize = 400_000;

fn explore(world: World) -> (usize, Option<String>) {
    let name = world.name;
    let began = std::time::Instant::now();
    let checker = world.checker().threads(2).target_state_count(MAX_STEPS).spawn_bfs().join();
    let violation = checker.discovery("runs stay within the pool").map(|path| path.into_actions());
    let violation = violation.map(|actions| format!("{actions:?}"));
    println!(
        "{name}: {} states of {} steps, depth {}, {:.1} s",
        checker.unique_state_count(),
        checker.state_count(),
        checker.max_depth(),
        began.elapsed().as_secs_f64()
    );
    (checker.unique_state_count(), violation)
}

fn holds(world: World) {
    let min_states = world.bounds.min_state_count;
    let (states, violation) = explore(world);
    assert_eq!(violation, None);
    // Guards against a model that passes because it reaches too few states.
    assert!(states > min_states, "{states} states");
}

fn breaks(world: World) {
    assert!(explore(world).1.is_some());
}

#[test]
fn one_leader_stays_within_the_pool_with_reordering_loss_duplication_and_drift() {
    holds(World::new("one leader", Bounds::ONE_LEADER));
}

#[test]
fn one_report_each_stays_within_the_pool_until_leases_and_runs_have_ended() {
    holds(World::new("one report each", Bounds::ONE_REPORT));
}

#[test]
fn one_report_each_and_a_new_leader_stay_within_the_pool() {
    holds(World::new("one report each, new leader", Bounds::ONE_REPORT_NEW_LEADER));
}

#[test]
fn one_leader_stays_within_the_pool_with_both_links_delayed() {
    holds(World::new("both links delayed", Bounds::BOTH_DELAYED));
}

#[test]
fn a_new_leader_stays_within_the_pool() {
    holds(World::new("new leader", Bounds::NEW_LEADER));
}

#[test]
fn a_restarted_front_end_stays_within_the_pool() {
    holds(World::new("restart", Bounds::RESTART));
}

#[test]
fn without_the_takeover_wait_a_new_leader_exceeds_the_pool() {
    let guards = Guards { takeover_wait: false, ..Guards::default() };
    breaks(World::new("no takeover wait", Bounds::NEW_LEADER).with_guards(guards));
}

#[test]
fn without_the_drift_margin_runs_exceed_the_pool() {
    breaks(World::new("no drift", Bounds::ONE_REPORT).without_drift());
}

#[test]
fn without_counting_runs_that_outlast_their_lease_runs_exceed_the_pool() {
    let guards = Guards { runs: false, ..Guards::default() };
    breaks(World::new("no runs", Bounds::ONE_LEADER).with_guards(guards));
}

#[test]
fn with_guaranteed_minimums_allocated_runs_exceed_the_pool() {
    let guards = Guards { guarantees: false, ..Guards::default() };
    breaks(World::new("no guarantees", Bounds::ONE_LEADER).with_guards(guards));
}

#[test]
fn with_grants_assumed_to_be_applied_runs_exceed_the_pool() {
    let guards = Guards { applied: false, ..Guards::default() };
    breaks(World::new("not applied", Bounds::ONE_LEADER).with_guards(guards));
}

#[test]
fn without_the_wait_after_a_restart_runs_exceed_the_pool() {
    breaks(World::new("no restart wait", Bounds::RESTART).without_restart_wait());
}
