//! Lag that is seen, expected, and forgotten.

use super::*;

const MS: Micros = 1000;

#[test]
fn a_loop_that_keeps_its_time_refuses_nothing() {
    let mut lag = LoopLag::new(0);
    for tick in 1..200 {
        assert!(lag.record(20 * MS, tick * 10 * MS).is_none());
        assert_eq!(lag.expected(tick * 10 * MS), 0);
        assert!(!lag.refuses(1, 1, tick * 10 * MS));
    }
}

#[test]
fn what_a_lag_would_eat_is_refused_until_it_has_decayed() {
    let mut lag = LoopLag::new(0);
    lag.record(400 * MS, 1000 * MS);
    assert_eq!(lag.expected(1000 * MS), 400 * MS);
    assert!(lag.refuses(1100 * MS, 1, 1000 * MS));
    assert!(!lag.refuses(1300 * MS, 1, 1000 * MS));
    // A shorter lag does not shorten what is expected; time does.
    lag.record(50 * MS, 1000 * MS);
    assert_eq!(lag.expected(1250 * MS), 200 * MS);
    assert!(!lag.refuses(700 * MS, 1, 1250 * MS));
    assert_eq!(lag.expected(3000 * MS), 0);
}

#[test]
fn a_second_far_behind_is_reported_once_with_some_of_what_was_refused() {
    let mut lag = LoopLag::new(0);
    lag.record(300 * MS, 100 * MS);
    (0..20).for_each(|reference| lag.note_refused(reference));
    let report = lag.record(10 * MS, 1100 * MS).expect("a second is over");
    assert_eq!((report.worst, report.refused, report.named.len()), (300 * MS, 20, MAX_NAMED));
    assert!(lag.record(10 * MS, 2200 * MS).is_none());
    assert_eq!(lag.refused, 20);
}

#[test]
fn a_loop_that_is_behind_takes_no_more_than_it_completes_in_time() {
    let mut lag = LoopLag::new(0);
    (1..=20).for_each(|n| lag.completions.record(n * 50 * MS));
    // Twenty a second: fifteen in progress take three quarters of one.
    assert!(!lag.refuses(1000 * MS, 15, 1000 * MS), "it keeps its time");
    lag.record(100 * MS, 1000 * MS);
    assert!(lag.refuses(1000 * MS, 15, 1000 * MS));
    assert!(!lag.refuses(1000 * MS, 8, 1000 * MS));
    assert!(!lag.refuses(400 * MS, MIN_IN_PROGRESS - 1, 1000 * MS));
}
