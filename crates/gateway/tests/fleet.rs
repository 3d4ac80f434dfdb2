//! Tests of retired functions at a front end without sockets: no call of them is accepted, sent, loaded or answered
//! as served, calls in progress complete, and a view is confirmed only once nothing under its tombstones is left.

mod common;

use common::*;
use stagehoist::{Action, Event, Micros, Outcome};
use stagehoist_gateway::state::{Answer, Command, DecisionPolicy, Input};

#[test]
fn a_late_call_of_a_retired_function_fails_with_the_retirement() {
    let mut s = Stage::new();
    s.view(&[retire("free-times", 1)]);
    let out = s.call(1, "free-times");
    let retired_answer = out.iter().find_map(|c| match c {
        Command::Answer { ticket: 1, answer: Answer::Retired(retired), .. } => Some(retired.clone()),
        _ => None,
    });
    let retired_answer = retired_answer.expect("answered as retired");
    assert_eq!(
        (retired_answer.generation, retired_answer.at_ms, retired_answer.reason.as_str()),
        (1, 7, "old")
    );
    assert_eq!(retired_answer.successor.as_deref(), Some("next"));
    assert!(attempts(&out).is_empty() && loads(&out) == 0);
    // A retired function that is no longer configured fails the same way; other functions are served.
    s.view(&[retire("free-times", 1), retire("gone", 1)]);
    assert_eq!(answers(&s.call(2, "gone")), [(2, "failed", "retired")]);
    assert_eq!(attempts(&s.call(3, "recurring")).len(), 1);
    assert_eq!(s.core.fleet_state().unwrap().2, 2);
}

#[test]
fn generations_are_distinguished() {
    let mut s = Stage::new();
    // `later` is configured with generation 3.
    let sent = attempts(&s.call(1, "later"));
    assert_eq!(&*sent[0].function, "later@3");
    assert_eq!(answers(&s.call_of(2, "later", Some(2))), [(2, "refused", "unknown-generation")]);
    assert_eq!(attempts(&s.call_of(3, "later", Some(3))).len(), 1);
    s.view(&[retire("later", 2)]);
    assert_eq!(answers(&s.call_of(4, "later", Some(2))), [(4, "failed", "retired")]);
    assert_eq!(answers(&s.call_of(5, "later", Some(1))), [(5, "failed", "retired")]);
    assert_eq!(answers(&s.call_of(6, "later", Some(4))), [(6, "refused", "unknown-generation")]);
    assert_eq!(attempts(&s.call(7, "later")).len(), 1, "the current generation is served");
}

#[test]
fn a_held_call_is_answered_at_once_when_its_tombstone_is_received() {
    let mut s = Stage::new();
    s.list(&[]);
    assert!(s.call(1, "free-times").iter().all(|c| !matches!(c, Command::Answer { .. })));
    s.call(2, "recurring");
    assert_eq!(answers(&s.view(&[retire("free-times", 1)])), [(1, "failed", "retired")]);
    assert_eq!((s.core.unanswered(), s.confirmed()), (1, 1));
    // The decision module has dropped the call: new workers only get the other one.
    let sent = attempts(&s.list(&["w1", "w2"]));
    assert_eq!(sent.iter().map(|a| &*a.function).collect::<Vec<_>>(), ["recurring"]);
}

#[test]
fn a_call_in_progress_is_served_before_the_view_is_confirmed() {
    let mut s = Stage::new();
    let sent = attempts(&s.call(1, "free-times"));
    assert!(s.view(&[retire("free-times", 1)]).is_empty());
    assert_eq!(s.confirmed(), 0);
    let out = s.turn(30 * MS, vec![ended(&sent[0], Outcome::Ok)]);
    assert_eq!(answers(&out), [(1, "served", "")]);
    s.turn(10 * MS, vec![]);
    assert_eq!(s.confirmed(), 0, "its answer has not reached the broker yet");
    drop(out);
    s.turn(10 * MS, vec![]);
    assert_eq!(s.confirmed(), 1);
}

#[test]
fn a_call_in_progress_that_fails_is_not_retried() {
    for (function, outcome, reason) in [
        // The call did not run, or is idempotent.
        ("free-times", Outcome::ConnectFailed, "retired"),
        ("free-times", Outcome::Reset, "retired"),
        ("recurring", Outcome::Full, "retired"),
        // The call may have run, which its caller has to know.
        ("recurring", Outcome::Reset, "connection-broke"),
        ("recurring", Outcome::Error, "worker-error"),
    ] {
        let mut s = Stage::new();
        let sent = attempts(&s.call(1, function));
        s.view(&[retire(function, 1)]);
        let mut out = s.turn(MS, vec![ended(&sent[0], outcome)]);
        (0..100).for_each(|_| out.extend(s.turn(10 * MS, vec![])));
        assert_eq!(answers(&out), [(1, "failed", reason)], "{function} {outcome:?}");
        assert!(attempts(&out).is_empty() && loads(&out) == 0, "{function} {outcome:?}");
        assert_eq!((s.core.attempts_in_flight(), s.core.unanswered(), s.confirmed()), (0, 0, 1));
    }
    // Without the tombstone the same call is retried, so it is the gate that prevents the retry.
    let mut s = Stage::new();
    let sent = attempts(&s.call(1, "free-times"));
    assert_eq!(attempts(&s.turn(MS, vec![ended(&sent[0], Outcome::ConnectFailed)])).len(), 1);
}

/// Orders a copy of the function of the last call whenever a list is received, and nothing else.
#[derive(Default)]
struct LoadOrderer(u64);

impl DecisionPolicy for LoadOrderer {
    fn handle(&mut self, _: Micros, events: &[Event], out: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::Request(request) => self.0 = request.function,
                Event::Endpoints { endpoints: rows, .. } if self.0 != 0 => {
                    let worker = rows[0].worker;
                    out.push(Action::Load { worker, function: self.0, copies: 1, start_by: Micros::MAX });
                }
                _ => {}
            }
        }
    }
}

#[test]
fn a_load_order_of_a_closed_function_is_not_sent() {
    let ordered = |function: &str, prepare: fn(&mut Stage)| {
        let mut s = Stage::deciding(|_, _, _| Box::new(LoadOrderer::default()));
        s.call(1, function);
        prepare(&mut s);
        loads(&s.list(&["w1"]))
    };
    assert_eq!((ordered("free-times", |_| {}), ordered("strict", |_| {})), (1, 1));
    assert_eq!(ordered("free-times", |s| drop(s.view(&[retire("free-times", 1)]))), 0);
    assert_eq!(ordered("strict", |s| s.now = s.fresh_until()), 0);
}

#[test]
fn a_strict_function_is_refused_once_the_view_may_be_old_and_others_are_not() {
    let mut s = Stage::new();
    s.now = s.fresh_until() - 2 * MS;
    assert_eq!(attempts(&s.call(1, "strict")).len(), 1);
    let out = s.call(2, "strict");
    let refused = out.iter().find_map(|c| match c {
        Command::Answer { answer: Answer::Refused { reason, retry_after }, .. } => {
            Some((*reason, *retry_after))
        }
        _ => None,
    });
    assert_eq!(refused, Some(("view-not-current", 500 * MS)));
    assert_eq!(attempts(&s.call(3, "free-times")).len(), 1);
    s.fresh(10_000 * MS);
    assert_eq!(attempts(&s.call(4, "strict")).len(), 1, "a fresh status was received");
}

#[test]
fn a_process_that_was_stopped_for_long_sends_and_serves_no_strict_function_when_it_continues() {
    let mut s = Stage::new();
    s.fresh(200 * MS);
    let sent = attempts(&s.call(1, "strict"));
    s.list(&[]);
    s.call(2, "strict");
    s.call(3, "free-times");
    // The lease expired while the process was stopped; when it continues, an answer and a new worker are waiting in
    // the sockets.
    s.now = s.fresh_until();
    let entries = entries(&["w1", "w2", "w3"]);
    let out = s.turn(0, vec![ended(&sent[0], Outcome::Ok), Input::EndpointList(entries)]);
    assert_eq!(answers(&out), [(1, "refused", "view-not-current"), (2, "refused", "view-not-current")]);
    assert_eq!(attempts(&out).iter().map(|a| &*a.function).collect::<Vec<_>>(), ["free-times"]);
    // With a fresh status in between it serves and sends, so it is the expired lease that prevents it.
    let mut s = Stage::new();
    s.fresh(200 * MS);
    let sent = attempts(&s.call(1, "strict"));
    s.now = s.fresh_until();
    s.fresh(1000 * MS);
    assert_eq!(answers(&s.turn(0, vec![ended(&sent[0], Outcome::Ok)])), [(1, "served", "")]);
}

/// Runs a front end whose view expires while a call of a function that is not strict is in progress. The process runs
/// all the time, or is stopped. Returns the answers to the call in progress and to one that arrives later.
fn after_lease_expiry(stopped: bool) -> (Stage, Vec<(u64, &'static str, &'static str)>) {
    let mut s = Stage::new();
    s.fresh(200 * MS);
    s.core.record_activity(s.now);
    let sent = attempts(&s.call(1, "free-times"));
    let gap = if stopped { 600 * MS } else { 250 * MS };
    while s.now < s.fresh_until() + 600 * MS {
        s.now += gap;
        s.core.record_activity(s.now);
    }
    let out = s.turn(0, vec![ended(&sent[0], Outcome::Ok)]);
    let mut received = answers(&out);
    let out = s.call(2, "free-times");
    received.extend(answers(&out));
    assert_eq!(attempts(&out).len(), usize::from(!stopped));
    (s, received)
}

#[test]
fn a_stopped_front_end_waits_for_a_status_before_it_accepts_calls_and_one_cut_off_proceeds() {
    assert_eq!(after_lease_expiry(false).1, [(1, "served", "")]);
    let (mut s, received) = after_lease_expiry(true);
    // The call in progress is answered.
    assert_eq!(received, [(1, "served", ""), (2, "refused", "view-not-current")]);
    s.fresh(1000 * MS);
    assert_eq!(attempts(&s.call(3, "free-times")).len(), 1, "a fresh status was received");
    // Without a status it proceeds with the last known state after the limit for asking.
    let (mut s, _) = after_lease_expiry(true);
    for _ in 0..20 {
        s.now += 100 * MS;
        s.core.record_activity(s.now);
    }
    assert_eq!(attempts(&s.call(3, "free-times")).len(), 1);
}

#[test]
fn an_answer_is_checked_again_when_it_is_sent() {
    let mut s = Stage::new();
    let sent = attempts(&s.call(1, "strict"));
    let out = s.turn(MS, vec![ended(&sent[0], Outcome::Ok)]);
    let Some(Command::Answer { answer, .. }) = out.last() else { panic!("{out:?}") };
    assert_eq!(frame(answer), "served");
    // A clone, as cached for a redelivered message, is served until its function is retired.
    let copy = answer.clone();
    assert_eq!(frame(&copy), "served");
    s.view(&[retire("strict", 1)]);
    assert_eq!((frame(answer).as_str(), frame(&copy).as_str()), ("served", "failed retired"));
    s.clock.set(s.fresh_until());
    assert_eq!(frame(answer), "failed view-not-current");
}

#[test]
fn views_are_confirmed_one_after_another_though_new_ones_keep_coming() {
    let mut s = Stage::new();
    let first = attempts(&s.call(1, "free-times"));
    s.view(&[retire("free-times", 1)]);
    let second = attempts(&s.call(2, "recurring"));
    s.view(&[retire("free-times", 1), retire("recurring", 1)]);
    assert_eq!(s.confirmed(), 0);
    s.turn(MS, vec![ended(&first[0], Outcome::Ok)]);
    s.turn(10 * MS, vec![]);
    assert_eq!(s.confirmed(), 1, "the first view is confirmed while the second still waits");
    // A caller that disconnected needs no answer, but its attempt is still in progress.
    s.turn(MS, vec![Input::ClientGone(2)]);
    assert_eq!(s.confirmed(), 1);
    s.turn(MS, vec![ended(&second[0], Outcome::Ok)]);
    assert_eq!(s.confirmed(), 2);
    // A view older than the known one changes nothing.
    s.older(1);
    assert_eq!(answers(&s.call(3, "recurring")), [(3, "failed", "retired")]);
}

#[test]
fn copies_are_unloaded_once_when_the_retirement_is_in_force() {
    let mut s = Stage::new();
    let sent = attempts(&s.call(1, "free-times"));
    s.turn(MS, vec![ended(&sent[0], Outcome::Ok)]);
    assert_eq!(unloads(&s.view(&[retire("free-times", 1)])), 0);
    let in_force = [retire("free-times", 1), in_force("free-times", 1)];
    let out = s.view(&in_force);
    assert!(out.iter().any(|c| matches!(c, Command::Unload { worker, function, .. }
        if *worker == sent[0].worker && &**function == "free-times")));
    let more = [in_force.to_vec(), vec![retire("recurring", 1)]].concat();
    assert_eq!((unloads(&out), unloads(&s.view(&more))), (1, 0));
}

#[test]
fn without_a_fleet_nothing_is_reported_and_a_generation_is_ignored() {
    let mut s = Stage::alone();
    assert_eq!(s.core.session_report(), None);
    assert_eq!(attempts(&s.call_of(1, "free-times", Some(9))).len(), 1);
    assert!(s.view(&[retire("free-times", 1)]).is_empty());
    assert_eq!(attempts(&s.call(2, "free-times")).len(), 1);
}
