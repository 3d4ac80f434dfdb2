//! Attempts that wait for their intent: sent once it is on disk, and only if the decision is still valid.

use stagehoist_recovery::intent_gate::{GateDecision, Limits, UnsentReason};
use stagehoist_recovery::IntentGate;

const LIMITS: Limits = Limits { max_wait: 100, max_waiting: 4, grace: 50 };
const CALL: u64 = 7;

fn waiting() -> IntentGate<&'static str> {
    let mut m = IntentGate::new(LIMITS);
    assert_eq!(m.submit((CALL, (1, 0)), 9, 1000, "a", 0), GateDecision::Wait { record: true });
    m
}

#[test]
fn an_attempt_is_sent_with_its_intent_and_the_next_at_once() {
    let mut m = waiting();
    assert_eq!(m.submit((CALL, (1, 1)), 8, 1000, "b", 5), GateDecision::Wait { record: false });
    assert_eq!(
        m.on_recorded(CALL, true, 10),
        [((1, 0), GateDecision::Send("a")), ((1, 1), GateDecision::Send("b"))]
    );
    assert_eq!(m.submit((CALL, (1, 2)), 8, 1000, "c", 20), GateDecision::Send("c"));
    assert_eq!(m.waiting(), 0);
    // Another call that reuses the request's number needs an intent of its own.
    assert_eq!(m.submit((CALL + 1, (1, 0)), 8, 1000, "d", 20), GateDecision::Wait { record: true });
}

#[test]
fn an_aborted_attempt_is_never_sent() {
    let mut m = waiting();
    assert!(m.abort((1, 0)));
    assert!(!m.abort((1, 0)));
    assert_eq!(m.on_recorded(CALL, true, 10), []);
    let mut m = waiting();
    assert_eq!(m.call_ended(CALL), [((1, 0), "a")]);
    assert_eq!(m.on_recorded(CALL, true, 10), []);
}

#[test]
fn no_attempt_is_sent_to_a_worker_that_is_gone_or_draining_past_the_grace() {
    for (leaving, at, is_sent) in
        [(None, 10, true), (Some(-30), 10, true), (Some(-50), 10, false), (Some(i64::MIN), 10, false)]
    {
        let mut m = waiting();
        m.set_worker_state(9, leaving);
        let decision = if is_sent {
            GateDecision::Send("a")
        } else {
            GateDecision::Unsent("a", UnsentReason::WorkerDraining)
        };
        assert_eq!(m.on_recorded(CALL, true, at), [((1, 0), decision)], "{leaving:?}");
    }
    let mut m = waiting();
    m.set_worker_state(9, Some(i64::MIN));
    m.set_worker_state(9, None);
    assert_eq!(m.on_recorded(CALL, true, 10), [((1, 0), GateDecision::Send("a"))]);
}

#[test]
fn a_failed_or_late_intent_leaves_the_attempt_unsent() {
    let mut m = waiting();
    assert_eq!(m.on_recorded(CALL, false, 10), [((1, 0), GateDecision::Unsent("a", UnsentReason::NoIntent))]);
    assert_eq!(m.submit((CALL, (1, 1)), 9, 1000, "b", 20), GateDecision::Wait { record: true });
    assert_eq!((m.next_deadline(), m.take_expired(119)), (Some(120), vec![]));
    assert_eq!(m.take_expired(120), [((1, 1), "b", UnsentReason::NoIntent)]);
    assert_eq!(m.on_recorded(CALL, true, 200), []);
    assert_eq!(m.submit((CALL, (1, 2)), 9, 1000, "c", 200), GateDecision::Send("c"));
    // The attempt's deadline passed before its intent was recorded, although the expiry was not polled.
    let mut m = IntentGate::new(LIMITS);
    m.submit((CALL, (1, 0)), 9, 60, "a", 0);
    assert_eq!(m.on_recorded(CALL, true, 60), [((1, 0), GateDecision::Unsent("a", UnsentReason::TooLate))]);
}

#[test]
fn waiting_attempts_and_remembered_calls_are_limited() {
    let mut m = IntentGate::new(LIMITS);
    for n in 0..4 {
        assert_eq!(m.submit((n, (n as u32, 0)), 9, 1000, "a", 0), GateDecision::Wait { record: true });
    }
    assert_eq!(m.submit((9, (9, 0)), 9, 1000, "x", 0), GateDecision::Unsent("x", UnsentReason::Full));
    for n in 0..100 {
        m.submit((n, (n as u32, 0)), 9, 1000, "a", 0);
        m.on_recorded(n, true, 1);
    }
    // The first call was evicted: its intent is requested again, which does no harm.
    assert_eq!(m.submit((0, (0, 1)), 9, 1000, "a", 2), GateDecision::Wait { record: true });
    assert_eq!(m.submit((99, (99, 1)), 9, 1000, "a", 2), GateDecision::Send("a"));
}
