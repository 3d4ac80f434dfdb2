//! Attempts that wait for their mark: sent once it is on disk, and only if what was decided still holds.

use stagehoist_recovery::marked::{Limits, Step, Why};
use stagehoist_recovery::Marked;

const LIMITS: Limits = Limits { longest: 100, most: 4, grace: 50 };
const CALL: u64 = 7;

fn waiting() -> Marked<&'static str> {
    let mut m = Marked::new(LIMITS);
    assert_eq!(m.attempt((CALL, (1, 0)), 9, 1000, "a", 0), Step::Wait { ask: true });
    m
}

#[test]
fn an_attempt_leaves_with_its_mark_and_the_next_at_once() {
    let mut m = waiting();
    assert_eq!(m.attempt((CALL, (1, 1)), 8, 1000, "b", 5), Step::Wait { ask: false });
    assert_eq!(m.marked(CALL, true, 10), [((1, 0), Step::Send("a")), ((1, 1), Step::Send("b"))]);
    assert_eq!(m.attempt((CALL, (1, 2)), 8, 1000, "c", 20), Step::Send("c"));
    assert_eq!(m.waiting(), 0);
    // A request's number used again by another call tells nothing.
    assert_eq!(m.attempt((CALL + 1, (1, 0)), 8, 1000, "d", 20), Step::Wait { ask: true });
}

#[test]
fn what_was_taken_back_never_leaves() {
    let mut m = waiting();
    assert!(m.abort((1, 0)));
    assert!(!m.abort((1, 0)));
    assert_eq!(m.marked(CALL, true, 10), []);
    let mut m = waiting();
    assert_eq!(m.over(CALL), [((1, 0), "a")]);
    assert_eq!(m.marked(CALL, true, 10), []);
}

#[test]
fn nothing_leaves_to_a_worker_that_is_gone_or_drains_for_longer_than_its_grace() {
    for (leaving, at, left) in
        [(None, 10, true), (Some(-30), 10, true), (Some(-50), 10, false), (Some(i64::MIN), 10, false)]
    {
        let mut m = waiting();
        m.worker(9, leaving);
        let step = if left { Step::Send("a") } else { Step::Unsent("a", Why::Worker) };
        assert_eq!(m.marked(CALL, true, at), [((1, 0), step)], "{leaving:?}");
    }
    let mut m = waiting();
    m.worker(9, Some(i64::MIN));
    m.worker(9, None);
    assert_eq!(m.marked(CALL, true, 10), [((1, 0), Step::Send("a"))]);
}

#[test]
fn a_mark_that_fails_or_is_late_leaves_the_attempt_unsent() {
    let mut m = waiting();
    assert_eq!(m.marked(CALL, false, 10), [((1, 0), Step::Unsent("a", Why::NoMark))]);
    assert_eq!(m.attempt((CALL, (1, 1)), 9, 1000, "b", 20), Step::Wait { ask: true });
    assert_eq!((m.due(), m.late(119)), (Some(120), vec![]));
    assert_eq!(m.late(120), [((1, 1), "b", Why::NoMark)]);
    assert_eq!(m.marked(CALL, true, 200), []);
    assert_eq!(m.attempt((CALL, (1, 2)), 9, 1000, "c", 200), Step::Send("c"));
    // Cut before its mark came, though the alarm did not ring.
    let mut m = Marked::new(LIMITS);
    m.attempt((CALL, (1, 0)), 9, 60, "a", 0);
    assert_eq!(m.marked(CALL, true, 60), [((1, 0), Step::Unsent("a", Why::Late))]);
}

#[test]
fn what_waits_and_what_is_remembered_is_bounded() {
    let mut m = Marked::new(LIMITS);
    for n in 0..4 {
        assert_eq!(m.attempt((n, (n as u32, 0)), 9, 1000, "a", 0), Step::Wait { ask: true });
    }
    assert_eq!(m.attempt((9, (9, 0)), 9, 1000, "x", 0), Step::Unsent("x", Why::Full));
    for n in 0..100 {
        m.attempt((n, (n as u32, 0)), 9, 1000, "a", 0);
        m.marked(n, true, 1);
    }
    // The first was forgotten: its mark is asked for again, which does no harm.
    assert_eq!(m.attempt((0, (0, 1)), 9, 1000, "a", 2), Step::Wait { ask: true });
    assert_eq!(m.attempt((99, (99, 1)), 9, 1000, "a", 2), Step::Send("a"));
}
