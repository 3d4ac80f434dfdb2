//! Rule 4 limits a sum: the work that reaches a cold worker from all front ends together in any window of the configured
//! length stays within N + 2 * sqrt(N) + 2 requests of mean work, where N is the work that the settings allow at that
//! time. From 8 to 350 real front ends run in simulated time, with bursts, unequal traffic, slow connections, restarts
//! and a wrong configured number of front ends.
//!
//! `cargo test -p stagehoist --test slow_start -- --nocapture` prints the worst window of each scenario.

mod overload_checker;
mod scenario;
mod world;

use overload_checker::Worst;
use scenario::{Delay, Scenario, Traffic};
use stagehoist::Micros;
use world::World;

const MS: Micros = 1000;
const S: Micros = 1000 * MS;

/// Runs a scenario. Returns its worst window, and the used part of the work that the settings allowed for cold workers.
fn run(name: &str, s: &Scenario) -> (Worst, f64) {
    let mut world = World::new(s);
    world.run();
    let (w, used) = (world.checker.worst, world.checker.arrived / world.checker.allowed_total);
    println!(
        "{name}: {:.2} of the bound, {:.1} of N {:.1} ({:.2} N), {:.1} s after the start; {used:.2} used",
        w.of_bound,
        w.arrived,
        w.allowed,
        w.arrived / w.allowed.max(1.0),
        w.after
    );
    (w, used)
}

/// Runs a scenario and asserts that it keeps the rule. Returns the used part of the allowed work.
fn assert_rule_kept(name: &str, s: &Scenario) -> f64 {
    let (worst, used) = run(name, s);
    assert!(worst.of_bound <= 1.0, "{name}: {worst:?} in {s:?}");
    used
}

fn run_random_scenarios(seeds: std::ops::Range<u64>) {
    let scenarios = (seeds.end - seeds.start) as f64;
    let used: f64 = seeds.map(|seed| assert_rule_kept(&format!("day {seed}"), &Scenario::random(seed))).sum();
    // The budget must also be used: a rule that is kept because nothing is sent proves nothing.
    assert!(used / scenarios > 0.15, "{}", used / scenarios);
}

#[test]
fn random_scenarios_keep_the_sum() {
    run_random_scenarios(0..14);
}

#[test]
fn further_random_scenarios_keep_the_sum() {
    run_random_scenarios(14..30);
}

#[test]
fn more_random_scenarios_keep_the_sum() {
    run_random_scenarios(30..48);
}

/// Guards against front ends without observations counting the arriving calls as served work, so that an overload raised
/// their budget.
#[test]
fn front_ends_without_observations_send_no_more_than_the_others() {
    let fleet =
        Scenario { returning: true, restarted: true, retention: 2 * S, load: 3.0, ..Scenario::plain() };
    let traffic = Traffic::Bursts(5 * S, 2 * S);
    assert_rule_kept("restarted, bursts", &Scenario { traffic, ..fleet.clone() });
    let traffic = Traffic::Turns(3 * S);
    assert_rule_kept("restarted, in turns", &Scenario { traffic, unequal: true, ..fleet.clone() });
    assert_rule_kept("restarted, none established", &Scenario { established: 0, cold: 3, traffic, ..fleet });
}

/// Guards against counting an attempt only in the slot in which it was sent: the attempts of three slots then arrived in
/// one window.
#[test]
fn an_attempt_that_waits_for_its_connection_counts_until_it_ends() {
    let delay = Delay::Stalls(2500 * MS, S);
    let plain = Scenario { capacity: 24.0, delay, lag: 0, until: 13 * S, ..Scenario::plain() };
    for seed in 1..3 {
        let traffic = Traffic::Pauses(2500 * MS, 500 * MS);
        assert_rule_kept(
            "late after a pause",
            &Scenario { seed, front_ends: 60, traffic, load: 2.5, ..plain.clone() },
        );
        let (traffic, retention_time) = (Traffic::Bursts(5 * S, 2 * S), 2 * S);
        let s = Scenario {
            seed,
            front_ends: 350,
            traffic,
            retention: retention_time,
            count_ratio: 0.5,
            load: 3.0,
            ..plain.clone()
        };
        let s = Scenario { established: 0, cold: 1, returning: true, restarted: true, until: 18 * S, ..s };
        assert_rule_kept("late bursts, none established", &s);
    }
    assert_rule_kept("few front ends, late", &Scenario { front_ends: 12, load: 3.0, ..plain.clone() });
    assert_rule_kept("late by connection", &Scenario { delay: Delay::Connections(S), ..plain });
}

/// Guards against ending a listed warm-up early: a silent cold worker was assumed to have restarted; an answer to an
/// earlier call then cleared that assumption together with the listed start, and the worker counted as established.
#[test]
fn an_answer_after_an_assumed_restart_keeps_the_listed_start() {
    let delay = Delay::Stalls(2500 * MS, S);
    let fleet =
        Scenario { front_ends: 8, unequal: true, capacity: 2.0, delay, load: 3.0, ..Scenario::plain() };
    for seed in 0..3 {
        assert_rule_kept("silent while cold", &Scenario { seed, established: 5, cold: 5, ..fleet.clone() });
    }
}

/// Guards against dividing the work that nine workers had served by the capacity of the one that was left.
#[test]
fn a_mass_restart_does_not_raise_the_budget() {
    let s =
        Scenario { established: 1, cold: 8, returning: true, load: 1.3, window: 2 * S, ..Scenario::plain() };
    assert_rule_kept("eight of nine restart", &s);
    assert_rule_kept("with few front ends", &Scenario { front_ends: 8, unequal: true, ..s.clone() });
    assert_rule_kept("in turns", &Scenario { traffic: Traffic::Turns(500 * MS), unequal: true, ..s });
}

/// Negative control: the checker finds a violation if front ends are configured with three times the multiple.
#[test]
fn a_budget_three_times_too_large_breaks_the_rule() {
    let s = Scenario { multiple_factor: 3.0, ..Scenario::plain() };
    assert!(run("three times the multiple", &s).0.of_bound > 1.0);
    let s = Scenario { delay: Delay::Stalls(2500 * MS, S), front_ends: 24, ..s };
    assert!(run("three times the multiple, late", &s).0.of_bound > 1.0);
    assert_rule_kept("the true multiple", &Scenario { multiple_factor: 1.0, ..s });
}

/// Negative control: the checker finds a violation if the endpoint list does not report the start of a worker.
#[test]
fn an_unlisted_start_breaks_the_rule() {
    for front_ends in [8, 60, 350] {
        let s = Scenario { front_ends, lists_start: false, start_share: 0.1, ..Scenario::plain() };
        assert!(run("an untold start", &s).0.of_bound > 1.0, "{front_ends}");
        assert_rule_kept("a notified start", &Scenario { lists_start: true, ..s });
    }
}
