//! Rule 4 is a sum: what reaches a cold worker in any window of the notified length from all front ends together
//! stays within N + 2 roots of N + 2 requests of mean work, N being what the settings allow it then. 8 to 350
//! real front ends live in simulated time through bursts, unequal traffic, connections that come up late and
//! restarts, notified a wrong count of them.
//!
//! `cargo test -p stagehoist --test slow_start -- --nocapture` prints the worst window of each day.

mod overload_checker;
mod scenario;
mod world;

use overload_checker::Worst;
use scenario::{Late, Scenario, Traffic};
use stagehoist::Micros;
use world::World;

const MS: Micros = 1000;
const S: Micros = 1000 * MS;

/// Plays a day. Tells its worst window, and the part used of all that could have reached cold workers.
fn run(name: &str, s: &Scenario) -> (Worst, f64) {
    let mut world = World::new(s);
    world.run();
    let (w, used) = (world.checker.worst, world.checker.arrived / world.checker.could);
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

/// Plays a day that must keep the rule.
fn assert_kept(name: &str, s: &Scenario) -> f64 {
    let (worst, used) = run(name, s);
    assert!(worst.of_bound <= 1.0, "{name}: {worst:?} in {s:?}");
    used
}

fn drawn(seeds: std::ops::Range<u64>) {
    let days = (seeds.end - seeds.start) as f64;
    let used: f64 = seeds.map(|seed| assert_kept(&format!("day {seed}"), &Scenario::drawn(seed))).sum();
    // The budget is used, not just never reached.
    assert!(used / days > 0.15, "{}", used / days);
}

#[test]
fn drawn_days_keep_the_sum() {
    drawn(0..14);
}

#[test]
fn further_drawn_days_keep_the_sum() {
    drawn(14..30);
}

#[test]
fn yet_other_drawn_days_keep_the_sum() {
    drawn(30..48);
}

/// Found: what callers asked of front ends that had learned nothing counted as what workers serve, so that an
/// overload raised their budget.
#[test]
fn front_ends_that_learned_nothing_add_no_more_than_the_others() {
    let fleet =
        Scenario { returning: true, restarted: true, retention: 2 * S, load: 3.0, ..Scenario::plain() };
    let traffic = Traffic::Bursts(5 * S, 2 * S);
    assert_kept("restarted, bursts", &Scenario { traffic, ..fleet.clone() });
    let traffic = Traffic::Turns(3 * S);
    assert_kept("restarted, in turns", &Scenario { traffic, unequal: true, ..fleet.clone() });
    assert_kept("restarted, none established", &Scenario { established: 0, cold: 3, traffic, ..fleet });
}

/// Found: an attempt counted in the slot that it was sent in alone, so that three slots' arrived in one window.
#[test]
fn what_waits_for_its_connection_counts_until_it_has_ended() {
    let late = Late::Stalls(2500 * MS, S);
    let plain = Scenario { capacity: 24.0, late, lag: 0, until: 13 * S, ..Scenario::plain() };
    for seed in 1..3 {
        let traffic = Traffic::Pauses(2500 * MS, 500 * MS);
        assert_kept(
            "late after a pause",
            &Scenario { seed, fronts: 60, traffic, load: 2.5, ..plain.clone() },
        );
        let (traffic, keep) = (Traffic::Bursts(5 * S, 2 * S), 2 * S);
        let s = Scenario {
            seed,
            fronts: 350,
            traffic,
            retention: keep,
            notified_at: 0.5,
            load: 3.0,
            ..plain.clone()
        };
        let s = Scenario { established: 0, cold: 1, returning: true, restarted: true, until: 18 * S, ..s };
        assert_kept("late bursts, none established", &s);
    }
    assert_kept("few front ends, late", &Scenario { fronts: 12, load: 3.0, ..plain.clone() });
    assert_kept("late by connection", &Scenario { late: Late::Connections(S), ..plain });
}

/// Found: a cold worker that fell silent was doubted; an answer to an earlier call then ended the doubt and
/// with it the notified start, and the worker counted as established.
#[test]
fn an_answer_after_doubt_leaves_a_told_start() {
    let late = Late::Stalls(2500 * MS, S);
    let fleet = Scenario { fronts: 8, unequal: true, capacity: 2.0, late, load: 3.0, ..Scenario::plain() };
    for seed in 0..3 {
        assert_kept("silent while cold", &Scenario { seed, established: 5, cold: 5, ..fleet.clone() });
    }
}

/// Found: what nine workers had served was divided by the capacity of the one that was left.
#[test]
fn a_mass_restart_does_not_raise_the_budget() {
    let s =
        Scenario { established: 1, cold: 8, returning: true, load: 1.3, window: 2 * S, ..Scenario::plain() };
    assert_kept("eight of nine restart", &s);
    assert_kept("with few front ends", &Scenario { fronts: 8, unequal: true, ..s.clone() });
    assert_kept("in turns", &Scenario { traffic: Traffic::Turns(500 * MS), unequal: true, ..s });
}

/// The checker does find it where front ends are given three times the multiple.
#[test]
fn a_budget_three_times_too_large_breaks_the_rule() {
    let s = Scenario { doctored: 3.0, ..Scenario::plain() };
    assert!(run("three times the multiple", &s).0.of_bound > 1.0);
    let s = Scenario { late: Late::Stalls(2500 * MS, S), fronts: 24, ..s };
    assert!(run("three times the multiple, late", &s).0.of_bound > 1.0);
    assert_kept("the true multiple", &Scenario { doctored: 1.0, ..s });
}

/// And where the list does not tell that the worker started, though it counts as configured.
#[test]
fn an_untold_start_breaks_the_rule() {
    for fronts in [8, 60, 350] {
        let s = Scenario { fronts, tells_start: false, start_share: 0.1, ..Scenario::plain() };
        assert!(run("an untold start", &s).0.of_bound > 1.0, "{fronts}");
        assert_kept("a notified start", &Scenario { tells_start: true, ..s });
    }
}
