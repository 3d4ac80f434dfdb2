//! Permits by lease, checked over every order of what may happen, on small numbers, with the allocator and holder
//! as they are. Each guard is shown to matter: without it some order breaks the pool.

mod allocation_model {
    pub mod world;
}

use allocation_model::world::{Bounds, World};
use stagehoist_cluster_state::allocation::Guards;
use stateright::{Checker, Model};

/// Steps taken at most, breadth first. The models of one word each end before it, explored whole; the
/// larger ones are cut off there, at a depth of eight or more.
const MOST: usize = 400_000;

fn explored(world: World) -> (usize, Option<String>) {
    let name = world.name;
    let began = std::time::Instant::now();
    let checker = world.checker().threads(2).target_state_count(MOST).spawn_bfs().join();
    let broken = checker.discovery("runs stay within the pool").map(|path| path.into_actions());
    let broken = broken.map(|actions| format!("{actions:?}"));
    println!(
        "{name}: {} states of {} steps, depth {}, {:.1} s",
        checker.unique_state_count(),
        checker.state_count(),
        checker.max_depth(),
        began.elapsed().as_secs_f64()
    );
    (checker.unique_state_count(), broken)
}

fn holds(world: World) {
    let least = world.bounds.least_states;
    let (states, broken) = explored(world);
    assert_eq!(broken, None);
    // A model that can do nothing would hold as well.
    assert!(states > least, "{states} states");
}

fn breaks(world: World) {
    assert!(explored(world).1.is_some());
}

#[test]
fn one_leader_keeps_the_pool_for_any_order_loss_doubling_and_drift() {
    holds(World::new("one leader", Bounds::ONE_LEADER));
}

#[test]
fn one_word_each_keeps_the_pool_until_its_lease_and_runs_have_ended() {
    holds(World::new("one word each", Bounds::ONE_WORD));
}

#[test]
fn one_word_each_and_a_new_leader_keep_the_pool() {
    holds(World::new("one word each, new leader", Bounds::ONE_WORD_NEW_LEADER));
}

#[test]
fn one_leader_keeps_the_pool_with_both_links_late() {
    holds(World::new("both late", Bounds::BOTH_LATE));
}

#[test]
fn a_new_leader_keeps_the_pool() {
    holds(World::new("new leader", Bounds::NEW_LEADER));
}

#[test]
fn a_run_that_begins_anew_under_its_name_keeps_the_pool() {
    holds(World::new("restart", Bounds::RESTART));
}

#[test]
fn without_silence_a_new_leader_breaks_it() {
    let guards = Guards { takeover_wait: false, ..Guards::default() };
    breaks(World::new("no silence", Bounds::NEW_LEADER).with(guards));
}

#[test]
fn without_drift_between_the_clocks_it_breaks() {
    breaks(World::new("no drift", Bounds::ONE_WORD).without_drift());
}

#[test]
fn without_runs_that_outlast_their_lease_it_breaks() {
    let guards = Guards { runs: false, ..Guards::default() };
    breaks(World::new("no runs", Bounds::ONE_LEADER).with(guards));
}

#[test]
fn with_floors_dealt_it_breaks() {
    let guards = Guards { guarantees: false, ..Guards::default() };
    breaks(World::new("no floors", Bounds::ONE_LEADER).with(guards));
}

#[test]
fn with_grants_taken_for_applied_it_breaks() {
    let guards = Guards { applied: false, ..Guards::default() };
    breaks(World::new("not applied", Bounds::ONE_LEADER).with(guards));
}

#[test]
fn without_a_rest_after_a_restart_it_breaks() {
    breaks(World::new("no rest", Bounds::RESTART).without_rest());
}
