//! Tests of `loop_lag`.

use super::*;

const MS: Micros = 1000;

#[test]
fn a_loop_that_is_on_time_rejects_nothing() {
    let mut lag = LoopLag::new(0);
    for tick in 1..200 {
        assert!(lag.record(20 * MS, tick * 10 * MS).is_none());
        assert_eq!(lag.expected(tick * 10 * MS), 0);
        assert!(!lag.should_reject(1, 1, tick * 10 * MS));
    }
}

#[test]
fn requests_are_rejected_until_the_expected_lag_has_decayed() {
    let mut lag = LoopLag::new(0);
    lag.record(400 * MS, 1000 * MS);
    assert_eq!(lag.expected(1000 * MS), 400 * MS);
    assert!(lag.should_reject(1100 * MS, 1, 1000 * MS));
    assert!(!lag.should_reject(1300 * MS, 1, 1000 * MS));
    // A shorter lag does not reduce the expected lag; only time does.
    lag.record(50 * MS, 1000 * MS);
    assert_eq!(lag.expected(1250 * MS), 200 * MS);
    assert!(!lag.should_reject(700 * MS, 1, 1250 * MS));
    assert_eq!(lag.expected(3000 * MS), 0);
}

#[test]
fn an_interval_far_behind_is_reported_once_with_some_rejected_references() {
    let mut lag = LoopLag::new(0);
    lag.record(300 * MS, 100 * MS);
    (0..20).for_each(|reference| lag.record_rejected(reference));
    let report = lag.record(10 * MS, 1100 * MS).expect("the report interval has ended");
    assert_eq!((report.worst, report.refused, report.named.len()), (300 * MS, 20, MAX_NAMED));
    assert!(lag.record(10 * MS, 2200 * MS).is_none());
    assert_eq!(lag.refused, 20);
}

#[test]
fn a_loop_that_is_behind_accepts_only_what_it_completes_in_time() {
    let mut lag = LoopLag::new(0);
    (1..=20).for_each(|n| lag.completions.record(n * 50 * MS));
    // At twenty completions per second, fifteen requests take three quarters of a second.
    assert!(!lag.should_reject(1000 * MS, 15, 1000 * MS), "the loop is on time");
    lag.record(100 * MS, 1000 * MS);
    assert!(lag.should_reject(1000 * MS, 15, 1000 * MS));
    assert!(!lag.should_reject(1000 * MS, 8, 1000 * MS));
    assert!(!lag.should_reject(400 * MS, MIN_IN_PROGRESS - 1, 1000 * MS));
}
