//! Calls of pools at a front end without sockets: they enter the module with a permit only, keep it until all their attempts are
//! known to have ended, wait in their time, and without pools nothing changes.

mod common;

use common::*;
use stagehoist::{Action, Event, Micros, Outcome, RequestId};
use stagehoist_gateway::state::{module, Command, DecisionPolicy, Input};
use std::cell::RefCell;

/// Ten permits, of which each of two front ends always has one.
const POOL: &str = "pool p functions free-times lanes 10\nreserve clinic pool p lanes 4\n";

fn stage() -> Stage {
    Stage::with_pools(module, POOL)
}

fn demand(s: &Stage) -> Vec<(u32, u32, u64)> {
    s.core.session_report().unwrap().demand.iter().map(|d| (d.in_use, d.waiting, d.applied)).collect()
}

/// Tickets of attempts, by the order in which their calls came.
fn sent(out: &[Command]) -> Vec<RequestId> {
    attempts(out).iter().map(|a| a.request).collect()
}

#[test]
fn the_floor_counts_from_the_first_moment_and_the_next_call_waits_outside_the_module() {
    let mut s = stage();
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    assert_eq!(first.len(), 1);
    assert!(s.call_by(2, 0, 2500 * MS).is_empty(), "it has no lane");
    assert_eq!((s.core.unanswered(), demand(&s)), (2, vec![(1, 1, 0), (0, 0, 0)]));
    // A function that is in no pool goes on.
    assert_eq!(attempts(&s.call(3, "recurring")).len(), 1);
    let out = s.turn(30 * MS, vec![ended(&first[0], Outcome::Ok)]);
    assert_eq!((answers(&out), attempts(&out).len()), (vec![(1, "served", "")], 1));
}

#[test]
fn a_lane_is_kept_after_the_answer_until_the_last_attempt_is_known_to_have_ended() {
    let mut s = stage();
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.call_by(2, 0, 2500 * MS);
    // Its caller leaves; its attempt goes on at the worker, and with it the permit.
    assert!(attempts(&s.turn(MS, vec![Input::ClientGone(1)])).is_empty());
    assert_eq!(demand(&s)[0], (1, 1, 0));
    assert!(attempts(&s.turn(50 * MS, vec![])).is_empty());
    let out = s.turn(50 * MS, vec![ended(&first[0], Outcome::Ok)]);
    assert_eq!((attempts(&out).len(), demand(&s)[0]), (1, (1, 0, 0)));
}

#[test]
fn a_call_that_waits_is_refused_in_its_time_and_says_why() {
    let mut s = stage();
    s.call_by(1, 0, 2500 * MS);
    s.call_by(2, 0, 300 * MS);
    assert!(s.turn(200 * MS, vec![]).is_empty());
    assert!(s.core.due().unwrap() <= s.now + 100 * MS, "it is looked at in its time");
    let out = s.turn(101 * MS, vec![]);
    assert_eq!(answers(&out), [(2, "refused", "no-lane")]);
    assert_eq!((s.core.unanswered(), demand(&s)[0]), (1, (1, 0, 0)));
}

#[test]
fn a_caller_that_leaves_while_its_call_waits_takes_its_place_along() {
    let mut s = stage();
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.call_by(2, 0, 2500 * MS);
    s.call_by(3, 0, 2500 * MS);
    assert!(s.turn(MS, vec![Input::ClientGone(2)]).is_empty());
    assert_eq!(demand(&s)[0], (1, 1, 0));
    let out = s.turn(30 * MS, vec![ended(&first[0], Outcome::Ok)]);
    assert_eq!(sent(&out), [3], "the one behind it enters");
}

#[test]
fn a_tombstone_ends_a_call_that_waits() {
    let mut s = stage();
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.call_by(2, 0, 2500 * MS);
    assert_eq!(answers(&s.view(&[retire("free-times", 1)])), [(2, "failed", "retired")]);
    let out = s.turn(30 * MS, vec![ended(&first[0], Outcome::Ok)]);
    assert!(attempts(&out).is_empty());
    assert_eq!(demand(&s)[0], (0, 0, 0));
}

#[test]
fn a_grant_brings_calls_that_wait_in_their_order_and_one_inside_a_reservation_past_them() {
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
        "the clinic's lane, and beside the one in use one dealt and the floor's"
    );
    assert_eq!(demand(&s), [(3, 1, 7), (1, 0, 7)]);
}

#[test]
fn once_the_lease_has_run_out_only_the_floor_is_left_for_calls_that_come() {
    let mut s = stage();
    s.granted(1, 3, 0, 500 * MS);
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.turn(500 * MS, vec![]);
    assert!(s.call_by(2, 0, 2500 * MS).is_empty(), "the floor's lane is in use by what began before");
    let out = s.turn(MS, vec![ended(&first[0], Outcome::Ok)]);
    assert_eq!(sent(&out), [2]);
    assert!(s.call_by(3, 0, 2500 * MS).is_empty());
}

thread_local! {
    static SEEN: RefCell<Vec<(RequestId, Micros, Micros)>> = const { RefCell::new(Vec::new()) };
}

struct Watching(Box<dyn DecisionPolicy>);

impl DecisionPolicy for Watching {
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        let requests = events.iter().filter_map(|e| match e {
            Event::Request(r) => Some((r.id, r.accepted_at, r.budget)),
            _ => None,
        });
        SEEN.with(|seen| seen.borrow_mut().extend(requests));
        assert!(!events.iter().any(|e| matches!(e, Event::ClientGone { request } if !is_known(*request))));
        self.0.handle(now, events, out);
    }
}

fn is_known(request: RequestId) -> bool {
    SEEN.with(|seen| seen.borrow().iter().any(|s| s.0 == request))
}

fn watching(settings: stagehoist::Settings, seed: u64, now: Micros) -> Box<dyn DecisionPolicy> {
    Box::new(Watching(module(settings, seed, now)))
}

#[test]
fn the_module_is_told_when_a_call_came_and_what_is_left_of_its_time() {
    let mut s = Stage::with_pools(watching, POOL);
    let first = attempts(&s.call_by(1, 0, 2500 * MS));
    s.call_by(2, 0, 1000 * MS);
    let came = s.now;
    // It never knew of this one, so it is informed of nothing about its end.
    s.call_by(3, 0, 1000 * MS);
    s.turn(MS, vec![Input::ClientGone(3)]);
    s.turn(299 * MS, vec![ended(&first[0], Outcome::Ok)]);
    let now = s.now;
    SEEN.with(|seen| assert_eq!(seen.borrow()[1..], [(2, came, 1000 * MS - (now - came))]));
}

#[test]
fn without_pools_the_same_is_done_as_before() {
    let (mut with, mut without) = (Stage::with_pools(module, ""), Stage::new());
    for ticket in 1..40 {
        let (a, b) = (with.call_by(ticket, 0, 700 * MS), without.call_by(ticket, 0, 700 * MS));
        let told = |out: &[Command]| format!("{:?} {:?} {}", sent(out), answers(out), out.len());
        assert_eq!(told(&a), told(&b));
        let ends = |out: &[Command]| attempts(out).iter().map(|a| ended(a, Outcome::Ok)).collect::<Vec<_>>();
        assert_eq!(told(&with.turn(20 * MS, ends(&a))), told(&without.turn(20 * MS, ends(&b))));
    }
    assert_eq!(with.core.session_report().unwrap().demand, []);
    assert_eq!(with.core.counters.served, 39);
}
