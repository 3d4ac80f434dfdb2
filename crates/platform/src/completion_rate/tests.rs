//! Tests of `completion_rate`.

use super::*;

const MS: Micros = 1000;

#[test]
fn requests_in_progress_are_expected_to_complete_at_the_observed_rate() {
    let mut rate = CompletionRate::new(0);
    (1..=40).for_each(|n| rate.record(n * 20 * MS));
    let time = rate.time_for(10, 800 * MS);
    assert!((190 * MS..=210 * MS).contains(&time), "{time}");
    // No completions since: the window drops old ones, and the expected time grows.
    assert!(rate.time_for(10, 1400 * MS) > time);
    assert!(rate.time_for(10, 60_000 * MS) >= 10 * PART);
}

#[test]
fn without_completions_one_request_takes_at_least_the_time_since_the_start() {
    let rate = CompletionRate::new(0);
    assert_eq!(rate.time_for(1, 30 * MS), 30 * MS);
    assert_eq!(rate.time_for(4, 30 * MS), 120 * MS);
}
