//! Which calls may start by permits and guaranteed minimum, in which order, and which are refused.

use stagehoist_admission::permits::{Permit, PermitDecision, PermitPools, PoolRules, WaitOutcome};

const S: i64 = 1_000_000;
const OWNER: u32 = 7;

fn rules(floor: u32) -> PoolRules {
    PoolRules { name: "p".into(), guaranteed: floor, reserved: vec![(OWNER, "owner".into())] }
}

fn gate(floor: u32) -> PermitPools {
    let mut lanes = PermitPools::new(8, S, 0, 1);
    lanes.configure(&[rules(floor)], 0);
    lanes
}

fn go(lanes: &mut PermitPools, tenant: u32, call: u64, now: i64) -> Option<Permit> {
    match lanes.enter(0, tenant, call, 10 * S, now) {
        PermitDecision::Granted(lane) => Some(lane),
        PermitDecision::Wait => None,
        PermitDecision::Rejected { .. } => panic!("call {call} refused"),
    }
}

fn woken(lanes: &mut PermitPools, now: i64) -> Vec<WaitOutcome> {
    let mut woken = Vec::new();
    lanes.take_ready(now, &mut woken);
    woken
}

fn calls(woken: &[WaitOutcome]) -> Vec<u64> {
    woken
        .iter()
        .map(|w| match w {
            WaitOutcome::Granted { call, .. } | WaitOutcome::Rejected { call, .. } => *call,
        })
        .collect()
}

#[test]
fn the_floor_is_there_without_any_word_and_lanes_only_until_their_time() {
    let mut lanes = gate(1);
    let first = go(&mut lanes, 1, 1, 0).expect("the floor");
    assert_eq!(go(&mut lanes, 1, 2, 0), None);
    lanes.apply_grant(1, S, [("p", "", 2)]);
    let lent = woken(&mut lanes, 0);
    assert_eq!(calls(&lent), [2]);
    let third = go(&mut lanes, 2, 3, S - 1).expect("floor and two lanes");
    // The lease ran out: the runs go on and count, and no other starts before all but the guaranteed minimum have ended.
    lanes.leave(third, S);
    lanes.leave(first, S);
    assert_eq!(go(&mut lanes, 2, 4, S), None);
    assert_eq!(woken(&mut lanes, S), []);
    let Some(WaitOutcome::Granted { permit: lane, .. }) = lent.into_iter().next() else { panic!("went") };
    lanes.leave(lane, S);
    assert_eq!(calls(&woken(&mut lanes, S)), [4]);
}

#[test]
fn runs_left_over_from_a_larger_grant_hold_back_those_of_another_tenant() {
    let mut lanes = gate(0);
    lanes.apply_grant(1, S, [("p", "", 2)]);
    let held: Vec<Permit> = (0..2).filter_map(|n| go(&mut lanes, 1, n, 0)).collect();
    assert_eq!(held.len(), 2);
    lanes.apply_grant(2, S, [("p", "owner", 2)]);
    assert_eq!(go(&mut lanes, OWNER, 5, 0), None, "four runs would be out of two lanes");
    for lane in held {
        lanes.leave(lane, 0);
    }
    assert_eq!(calls(&woken(&mut lanes, 0)), [5]);
}

#[test]
fn an_owner_goes_by_its_own_lanes_and_first_on_the_floor() {
    let mut lanes = gate(1);
    lanes.apply_grant(1, S, [("p", "owner", 1)]);
    let lane = go(&mut lanes, 1, 1, 0).expect("the floor is anybody's");
    assert_eq!(go(&mut lanes, 1, 2, 0), None, "the owner's lane is not lent here");
    let _own = go(&mut lanes, OWNER, 3, 0).expect("its own lane");
    assert_eq!(go(&mut lanes, OWNER, 4, 0), None);
    lanes.leave(lane, 0);
    // Nobody who comes now passes those that wait.
    assert_eq!(go(&mut lanes, 1, 5, 0), None);
    assert_eq!(calls(&woken(&mut lanes, 0)), [4]);
}

#[test]
fn tenants_without_a_reservation_take_turns() {
    let mut lanes = gate(0);
    for call in 0..4 {
        assert_eq!(go(&mut lanes, 1, call, 0), None);
    }
    for call in 4..6 {
        assert_eq!(go(&mut lanes, 2, call, 0), None);
    }
    assert!(lanes.cancel(1) && !lanes.cancel(1));
    lanes.apply_grant(1, S, [("p", "", 4)]);
    assert_eq!(calls(&woken(&mut lanes, 0)), [0, 4, 2, 5]);
    assert_eq!(lanes.waiting(), 1);
}

#[test]
fn a_call_waits_no_longer_than_it_can_be_answered_and_no_more_than_may() {
    let mut lanes = gate(0);
    assert_eq!(lanes.enter(0, 1, 1, 2 * S, 0), PermitDecision::Wait);
    assert_eq!(lanes.enter(0, 1, 2, S, 0), PermitDecision::Wait);
    assert!(matches!(lanes.enter(0, 1, 3, S, S), PermitDecision::Rejected { .. }), "too late already");
    assert_eq!(lanes.next(0), Some(S));
    assert_eq!(woken(&mut lanes, S - 1), []);
    let late = woken(&mut lanes, S);
    assert!(matches!(late[..], [WaitOutcome::Rejected { call: 2, retry_after: 1.. }]), "{late:?}");
    for call in 10..17 {
        assert_eq!(go(&mut lanes, 1, call, S), None);
    }
    assert!(matches!(lanes.enter(0, 1, 17, 9 * S, S), PermitDecision::Rejected { .. }), "eight wait");
}

#[test]
fn a_call_that_would_wait_in_vain_is_refused_once_the_pace_is_settled() {
    let mut lanes = gate(1);
    let mut held = go(&mut lanes, 1, 0, 0);
    for call in 1..5 {
        assert_eq!(go(&mut lanes, 1, call, 0), None);
    }
    // One leaves each 400 ms; two still wait.
    for n in 1..=3 {
        lanes.leave(held.take().expect("one at work"), n * 400_000);
        if let Some(WaitOutcome::Granted { permit: lane, .. }) = woken(&mut lanes, n * 400_000).pop() {
            held = Some(lane);
        }
    }
    let now = 3 * 400_000;
    assert!(matches!(lanes.enter(0, 1, 8, now + 700_000, now), PermitDecision::Rejected { .. }));
    assert_eq!(lanes.enter(0, 1, 9, now + 900_000, now), PermitDecision::Wait);
    // The owner's class has no such queue.
    assert_eq!(lanes.enter(0, OWNER, 10, now + 700_000, now), PermitDecision::Wait);
}

#[test]
fn after_a_restart_the_floor_rests_and_no_grant_is_named() {
    let mut lanes = PermitPools::new(8, S, S, 1);
    lanes.configure(&[rules(1)], 0);
    lanes.apply_grant(5, 3 * S, []);
    assert_eq!(go(&mut lanes, 1, 1, 0), None);
    assert!(lanes.demand(0).all(|w| w.applied == 0));
    assert_eq!(lanes.next(0), Some(S));
    assert_eq!(calls(&woken(&mut lanes, S)), [1]);
    let told: Vec<_> = lanes.demand(S).map(|w| (w.tenant, w.in_use, w.waiting, w.applied)).collect();
    assert_eq!(told, [("", 1, 0, 5), ("owner", 0, 0, 5)]);
}

#[test]
fn a_pool_told_anew_keeps_its_runs() {
    let mut lanes = gate(1);
    let lane = go(&mut lanes, OWNER, 1, 0).expect("the floor");
    lanes.configure(&[], 0);
    assert_eq!(go(&mut lanes, OWNER, 2, 0), None);
    let other = PoolRules { name: "q".into(), guaranteed: 1, reserved: vec![] };
    lanes.configure(&[other, rules(2)], 0);
    assert_eq!((lanes.pool("p"), lanes.pool("q")), (Some(0), Some(1)));
    assert_eq!(calls(&woken(&mut lanes, 0)), [2]);
    assert_eq!(go(&mut lanes, OWNER, 3, 0), None);
    lanes.leave(lane, 0);
    assert_eq!(calls(&woken(&mut lanes, 0)), [3]);
}
