//! Rates of completions in a sliding window.

use super::*;

const MS: Micros = 1000;

#[test]
fn requests_in_progress_take_as_long_as_as_many_took_before() {
    let mut rate = CompletionRate::new(0);
    (1..=40).for_each(|n| rate.record(n * 20 * MS));
    let time = rate.time_for(10, 800 * MS);
    assert!((190 * MS..=210 * MS).contains(&time), "{time}");
    // Nothing since: the window forgets what is old, and what is left takes ever longer.
    assert!(rate.time_for(10, 1400 * MS) > time);
    assert!(rate.time_for(10, 60_000 * MS) >= 10 * PART);
}

#[test]
fn before_any_completion_the_time_since_the_start_is_the_least_that_one_takes() {
    let rate = CompletionRate::new(0);
    assert_eq!(rate.time_for(1, 30 * MS), 30 * MS);
    assert_eq!(rate.time_for(4, 30 * MS), 120 * MS);
}
