//! Which calls may start by permits and guaranteed minimum, in which order, and which are rejected.

use stagehoist_admission::permits::{Permit, PermitDecision, PermitPools, PoolRules, WaitOutcome};

const S: i64 = 1_000_000;
const OWNER: u32 = 7;

fn rules(minimum: u32) -> PoolRules {
    PoolRules { name: "p".into(), guaranteed: minimum, reserved: vec![(OWNER, "owner".into())] }
}

fn pools_with_minimum(guaranteed: u32) -> PermitPools {
    let mut pools = PermitPools::new(8, S, 0, 1);
    pools.configure(&[rules(guaranteed)], 0);
    pools
}

fn request_permit(pools: &mut PermitPools, tenant: u32, call: u64, now: i64) -> Option<Permit> {
    match pools.enter(0, tenant, call, 10 * S, now) {
        PermitDecision::Granted(permit) => Some(permit),
        PermitDecision::Wait => None,
        PermitDecision::Rejected { .. } => panic!("call {call} was rejected"),
    }
}

fn woken(pools: &mut PermitPools, now: i64) -> Vec<WaitOutcome> {
    let mut woken = Vec::new();
    pools.take_ready(now, &mut woken);
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
fn the_guaranteed_minimum_needs_no_grant_and_permits_expire() {
    let mut pools = pools_with_minimum(1);
    let first = request_permit(&mut pools, 1, 1, 0).expect("the guaranteed minimum is free");
    assert_eq!(request_permit(&mut pools, 1, 2, 0), None);
    pools.apply_grant(1, S, [("p", "", 2)]);
    let granted = woken(&mut pools, 0);
    assert_eq!(calls(&granted), [2]);
    let third = request_permit(&mut pools, 2, 3, S - 1)
        .expect("the guaranteed minimum and two permits allow three runs");
    // The lease expired: its runs continue and count, and no other run starts until fewer than the guaranteed minimum remain.
    pools.leave(third, S);
    pools.leave(first, S);
    assert_eq!(request_permit(&mut pools, 2, 4, S), None);
    assert_eq!(woken(&mut pools, S), []);
    let Some(WaitOutcome::Granted { permit: granted_permit, .. }) = granted.into_iter().next() else {
        panic!("went")
    };
    pools.leave(granted_permit, S);
    assert_eq!(calls(&woken(&mut pools, S)), [4]);
}

#[test]
fn runs_remaining_from_a_larger_grant_hold_back_those_of_another_tenant() {
    let mut pools = pools_with_minimum(0);
    pools.apply_grant(1, S, [("p", "", 2)]);
    let held: Vec<Permit> = (0..2).filter_map(|n| request_permit(&mut pools, 1, n, 0)).collect();
    assert_eq!(held.len(), 2);
    pools.apply_grant(2, S, [("p", "owner", 2)]);
    assert_eq!(request_permit(&mut pools, OWNER, 5, 0), None, "four runs would use two permits");
    for permit in held {
        pools.leave(permit, 0);
    }
    assert_eq!(calls(&woken(&mut pools, 0)), [5]);
}

#[test]
fn a_tenant_with_a_reservation_uses_its_permits_and_has_priority_on_the_minimum() {
    let mut pools = pools_with_minimum(1);
    pools.apply_grant(1, S, [("p", "owner", 1)]);
    let permit = request_permit(&mut pools, 1, 1, 0).expect("any tenant may use the guaranteed minimum");
    assert_eq!(
        request_permit(&mut pools, 1, 2, 0),
        None,
        "a permit of the tenant with a reservation must not be used by another"
    );
    let _own = request_permit(&mut pools, OWNER, 3, 0).expect("its own permit is free");
    assert_eq!(request_permit(&mut pools, OWNER, 4, 0), None);
    pools.leave(permit, 0);
    // A new call does not overtake waiting calls.
    assert_eq!(request_permit(&mut pools, 1, 5, 0), None);
    assert_eq!(calls(&woken(&mut pools, 0)), [4]);
}

#[test]
fn tenants_without_a_reservation_take_turns() {
    let mut pools = pools_with_minimum(0);
    for call in 0..4 {
        assert_eq!(request_permit(&mut pools, 1, call, 0), None);
    }
    for call in 4..6 {
        assert_eq!(request_permit(&mut pools, 2, call, 0), None);
    }
    assert!(pools.cancel(1) && !pools.cancel(1));
    pools.apply_grant(1, S, [("p", "", 4)]);
    assert_eq!(calls(&woken(&mut pools, 0)), [0, 4, 2, 5]);
    assert_eq!(pools.waiting(), 1);
}

#[test]
fn waits_are_limited_by_the_latest_start_and_in_number() {
    let mut pools = pools_with_minimum(0);
    assert_eq!(pools.enter(0, 1, 1, 2 * S, 0), PermitDecision::Wait);
    assert_eq!(pools.enter(0, 1, 2, S, 0), PermitDecision::Wait);
    assert!(
        matches!(pools.enter(0, 1, 3, S, S), PermitDecision::Rejected { .. }),
        "the latest start has passed"
    );
    assert_eq!(pools.next(0), Some(S));
    assert_eq!(woken(&mut pools, S - 1), []);
    let late = woken(&mut pools, S);
    assert!(matches!(late[..], [WaitOutcome::Rejected { call: 2, retry_after: 1.. }]), "{late:?}");
    for call in 10..17 {
        assert_eq!(request_permit(&mut pools, 1, call, S), None);
    }
    assert!(
        matches!(pools.enter(0, 1, 17, 9 * S, S), PermitDecision::Rejected { .. }),
        "the maximum of eight calls waits"
    );
}

#[test]
fn a_call_that_would_wait_too_long_is_rejected_once_the_rate_is_stable() {
    let mut pools = pools_with_minimum(1);
    let mut held = request_permit(&mut pools, 1, 0, 0);
    for call in 1..5 {
        assert_eq!(request_permit(&mut pools, 1, call, 0), None);
    }
    // One call ends every 400 ms. With the new call two would wait, so its expected wait is 800 ms.
    for n in 1..=3 {
        pools.leave(held.take().expect("one call is running"), n * 400_000);
        if let Some(WaitOutcome::Granted { permit: granted_permit, .. }) =
            woken(&mut pools, n * 400_000).pop()
        {
            held = Some(granted_permit);
        }
    }
    let now = 3 * 400_000;
    assert!(matches!(pools.enter(0, 1, 8, now + 700_000, now), PermitDecision::Rejected { .. }));
    assert_eq!(pools.enter(0, 1, 9, now + 900_000, now), PermitDecision::Wait);
    // The class of the tenant with a reservation has no queue.
    assert_eq!(pools.enter(0, OWNER, 10, now + 700_000, now), PermitDecision::Wait);
}

#[test]
fn after_a_restart_the_minimum_is_unused_and_no_grant_is_reported() {
    let mut pools = PermitPools::new(8, S, S, 1);
    pools.configure(&[rules(1)], 0);
    pools.apply_grant(5, 3 * S, []);
    assert_eq!(request_permit(&mut pools, 1, 1, 0), None);
    assert!(pools.demand(0).all(|w| w.applied == 0));
    assert_eq!(pools.next(0), Some(S));
    assert_eq!(calls(&woken(&mut pools, S)), [1]);
    let demand: Vec<_> = pools.demand(S).map(|w| (w.tenant, w.in_use, w.waiting, w.applied)).collect();
    assert_eq!(demand, [("", 1, 0, 5), ("owner", 0, 0, 5)]);
}

#[test]
fn a_reconfigured_pool_keeps_its_runs() {
    let mut pools = pools_with_minimum(1);
    let permit = request_permit(&mut pools, OWNER, 1, 0).expect("the guaranteed minimum is free");
    pools.configure(&[], 0);
    assert_eq!(request_permit(&mut pools, OWNER, 2, 0), None);
    let other = PoolRules { name: "q".into(), guaranteed: 1, reserved: vec![] };
    pools.configure(&[other, rules(2)], 0);
    assert_eq!((pools.pool("p"), pools.pool("q")), (Some(0), Some(1)));
    assert_eq!(calls(&woken(&mut pools, 0)), [2]);
    assert_eq!(request_permit(&mut pools, OWNER, 3, 0), None);
    pools.leave(permit, 0);
    assert_eq!(calls(&woken(&mut pools, 0)), [3]);
}
