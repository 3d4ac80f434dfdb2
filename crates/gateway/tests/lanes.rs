//! Tests of pool admission at a front end without sockets: calls enter the decision module only with a permit, keep
//! it until all their attempts are known to have ended, and are refused at their deadline. Without pools nothing
//! changes.

mod common;

use common::*;
use stagehoist::{Action, Event, Micros, Outcome, RequestId};
use stagehoist_gateway::state::{module, Command, DecisionPolicy, Input};
use std::cell::RefCell;

/// Ten permits, of which each of two front ends is always guaranteed one.
const POOL: &str = "pool p functions free-times lanes 10\nreserve clinic pool p lanes 4\n";

fn stage() -> Stage {
    Stage::with_pools(module, POOL)
}

fn demand(s: &Stage) -> Vec<(u32, u32, u64)> {
    s.core.session_report().unwrap().demand.iter().map(|d| (d.in_use, d.waiting, d.applied)).collect()
}

/// Returns the requests of the attempts, in the order in which the calls arrived.
fn sent(out: &[Command]) -> Vec<RequestId> {
    attempts(out).iter().map(|a| a.request).collect()
}

#[test]
fn the_guaranteed_minimum_applies_from_the_start_and_the_next_call_waits_outside_the_module() {
    let mut s = stage();
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    assert_eq!(first.len(), 1);
    assert!(s.call_by(2, 0, 2500 * MS).is_empty(), "the call has no permit");
    assert_eq!((s.core.unanswered(), demand(&s)), (2, vec![(1, 1, 0), (0, 0, 0)]));
    // A call of a function in no pool is sent.
    assert_eq!(attempts(&s.call(3, "recurring")).len(), 1);
    let out = s.turn(30 * MS, vec![ended(&first[0], Outcome::Ok)]);
    assert_eq!((answers(&out), attempts(&out).len()), (vec![(1, "served", "")], 1));
}

#[test]
fn a_permit_is_kept_after_the_answer_until_the_last_attempt_is_known_to_have_ended() {
    let mut s = stage();
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.call_by(2, 0, 2500 * MS);
    // Its caller disconnects; its attempt continues at the worker and keeps the permit.
    assert!(attempts(&s.turn(MS, vec![Input::ClientGone(1)])).is_empty());
    assert_eq!(demand(&s)[0], (1, 1, 0));
    assert!(attempts(&s.turn(50 * MS, vec![])).is_empty());
    let out = s.turn(50 * MS, vec![ended(&first[0], Outcome::Ok)]);
    assert_eq!((attempts(&out).len(), demand(&s)[0]), (1, (1, 0, 0)));
}

#[test]
fn a_waiting_call_is_refused_at_its_deadline_with_the_reason() {
    let mut s = stage();
    s.call_by(1, 0, 2500 * MS);
    s.call_by(2, 0, 300 * MS);
    assert!(s.turn(200 * MS, vec![]).is_empty());
    assert!(s.core.due().unwrap() <= s.now + 100 * MS, "the refusal is due at the deadline");
    let out = s.turn(101 * MS, vec![]);
    assert_eq!(answers(&out), [(2, "refused", "no-lane")]);
    assert_eq!((s.core.unanswered(), demand(&s)[0]), (1, (1, 0, 0)));
}

#[test]
fn a_waiting_call_whose_caller_disconnects_leaves_the_queue() {
    let mut s = stage();
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.call_by(2, 0, 2500 * MS);
    s.call_by(3, 0, 2500 * MS);
    assert!(s.turn(MS, vec![Input::ClientGone(2)]).is_empty());
    assert_eq!(demand(&s)[0], (1, 1, 0));
    let out = s.turn(30 * MS, vec![ended(&first[0], Outcome::Ok)]);
    assert_eq!(sent(&out), [3], "the next call in the queue enters");
}

#[test]
fn a_tombstone_fails_a_waiting_call() {
    let mut s = stage();
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.call_by(2, 0, 2500 * MS);
    assert_eq!(answers(&s.view(&[retire("free-times", 1)])), [(2, "failed", "retired")]);
    let out = s.turn(30 * MS, vec![ended(&first[0], Outcome::Ok)]);
    assert!(attempts(&out).is_empty());
    assert_eq!(demand(&s)[0], (0, 0, 0));
}

#[test]
fn a_grant_admits_waiting_calls_in_order_and_a_call_within_a_reservation_before_them() {
    let mut s = stage();
    s.call_by(1, 0, 2500 * MS);
    for ticket in 2..5 {
        s.call_by(ticket, 0, 2500 * MS);
    }
    s.call_by(5, 1, 2500 * MS);
    let out = s.granted(7, 2, 1, 500 * MS);
    assert_eq!(
        sent(&out),
        [2, 3, 5],
        "one permit reserved for the clinic, one granted and one guaranteed, besides the one in use"
    );
    assert_eq!(demand(&s), [(3, 1, 7), (1, 0, 7)]);
}

#[test]
fn after_the_lease_expires_only_the_guaranteed_minimum_is_left_for_new_calls() {
    let mut s = stage();
    s.granted(1, 3, 0, 500 * MS);
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.turn(500 * MS, vec![]);
    assert!(s.call_by(2, 0, 2500 * MS).is_empty(), "the guaranteed permit is in use by an earlier call");
    let out = s.turn(MS, vec![ended(&first[0], Outcome::Ok)]);
    assert_eq!(sent(&out), [2]);
    assert!(s.call_by(3, 0, 2500 * MS).is_empty());
}

thread_local! {
    static RECEIVED_REQUESTS: RefCell<Vec<(RequestId, Micros, Micros)>> = const { RefCell::new(Vec::new()) };
}

struct Recording(Box<dyn DecisionPolicy>);

impl DecisionPolicy for Recording {
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        let new_requests = events.iter().filter_map(|e| match e {
            Event::Request(r) => Some((r.id, r.accepted_at, r.budget)),
            _ => None,
        });
        RECEIVED_REQUESTS.with(|requests| requests.borrow_mut().extend(new_requests));
        assert!(!events.iter().any(|e| matches!(e, Event::ClientGone { request } if !is_received(*request))));
        self.0.handle(now, events, out);
    }
}

fn is_received(request: RequestId) -> bool {
    RECEIVED_REQUESTS.with(|requests| requests.borrow().iter().any(|s| s.0 == request))
}

fn recording(settings: stagehoist::Settings, seed: u64, now: Micros) -> Box<dyn DecisionPolicy> {
    Box::new(Recording(module(settings, seed, now)))
}

#[test]
fn the_module_receives_a_waiting_calls_arrival_time_and_remaining_budget() {
    let mut s = Stage::with_pools(recording, POOL);
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.call_by(2, 0, 1000 * MS);
    let accepted_at = s.now;
    // The module never received this call, so it is not notified of its end.
    s.call_by(3, 0, 1000 * MS);
    s.turn(MS, vec![Input::ClientGone(3)]);
    s.turn(299 * MS, vec![ended(&first[0], Outcome::Ok)]);
    let now = s.now;
    RECEIVED_REQUESTS.with(|requests| {
        assert_eq!(requests.borrow()[1..], [(2, accepted_at, 1000 * MS - (now - accepted_at))])
    });
}

#[test]
fn without_pools_the_behaviour_is_unchanged() {
    let (mut with, mut without) = (Stage::with_pools(module, ""), Stage::new());
    for ticket in 1..40 {
        let (a, b) = (with.call_by(ticket, 0, 700 * MS), without.call_by(ticket, 0, 700 * MS));
        let summary = |out: &[Command]| format!("{:?} {:?} {}", sent(out), answers(out), out.len());
        assert_eq!(summary(&a), summary(&b));
        let ends = |out: &[Command]| attempts(out).iter().map(|a| ended(a, Outcome::Ok)).collect::<Vec<_>>();
        assert_eq!(summary(&with.turn(20 * MS, ends(&a))), summary(&without.turn(20 * MS, ends(&b))));
    }
    assert_eq!(with.core.session_report().unwrap().demand, []);
    assert_eq!(with.core.counters.served, 39);
}
