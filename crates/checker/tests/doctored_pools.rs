//! Rule 7 against captures written by hand: a pool of four permits, three of them reserved for `own`.

mod scene;

use scene::{broken, Scene, BROKER, MS, S, W1, W1_B};
use stagehoist_checker::rules::{PoolRule, RuleSet, Verdict};
use stagehoist_checker::Micros;

const OK: Option<(u16, &str)> = Some((200, ""));

fn pool(charter: &mut RuleSet) {
    charter.second_copies = true;
    charter.pools.push(PoolRule {
        name: "p".into(),
        functions: vec!["sa*".into()],
        lanes: 4,
        reservations: vec![("own".into(), 3)],
        within: 100 * MS,
    });
}

/// Rule 7's breaches, after a look that nothing else is broken.
fn breaches(v: &Verdict) -> u64 {
    assert!(broken(v).iter().all(|r| *r == 7), "{v:#?}");
    v.rules.last().map_or(0, |r| r.breach_count)
}

/// Runs of one tenant from a moment on, all served at the same moment.
fn runs(s: &mut Scene, tenant: &str, many: usize, from: Micros, to: Micros) {
    for n in 0..many {
        let id = format!("{tenant}{from}-{n}");
        s.call(from - 2 * MS, &id, &format!("safe {tenant}"));
        s.attempt(from, if s.by_b { W1_B } else { W1 }, &id, OK, to - from);
        s.answer(to + MS, &id, "served");
    }
}

#[test]
fn lent_lanes_and_a_full_pool_break_nothing_one_lane_more_does() {
    for (lent, own, kept) in
        [(4, 0, true), (1, 3, true), (5, 0, false), (2, 3, false), (0, 4, true), (0, 5, false)]
    {
        let mut s = Scene::new();
        runs(&mut s, "other", lent, S, S + 90 * MS);
        // Over both front ends together.
        s.by_b = true;
        runs(&mut s, "own", own, S + MS, S + 90 * MS);
        let v = s.check(pool);
        assert_eq!(breaches(&v) == 0, kept, "{lent} {own}: {v:#?}");
    }
}

#[test]
fn copies_of_one_call_use_one_lane_and_another_pools_functions_none() {
    let mut s = Scene::new();
    runs(&mut s, "other", 4, S, S + 90 * MS);
    let id = format!("other{S}-0");
    s.attempt(S + 20 * MS, W1, &id, OK, 20 * MS);
    s.call(S, "x", "keyed other");
    s.attempt(S + 2 * MS, W1, "x", OK, 20 * MS);
    s.answer(S + 40 * MS, "x", "served");
    assert_eq!(breaches(&s.check(pool)), 0);
}

/// A call of the tenant waits while others hold more than the pool less its permits: for the stated time, and for longer.
#[test]
fn lanes_that_are_lent_come_back_within_the_stated_time() {
    for (tenant, until, kept) in
        [("own", S + 180 * MS, true), ("own", S + 260 * MS, false), ("other", S + 260 * MS, true)]
    {
        let mut s = Scene::new();
        runs(&mut s, "other", 2, S, until);
        for n in 0..3 {
            let id = format!("w{n}");
            s.call(S + 99 * MS, &id, &format!("safe {tenant}"));
            s.answer(S + 280 * MS, &id, "refused no-worker");
        }
        // At 205 ms three calls have waited for too long, so that the others' share is one permit.
        let v = s.check(pool);
        assert_eq!(breaches(&v) == 0, kept, "{tenant} {until}: {v:#?}");
    }
}

#[test]
fn a_call_that_waits_at_a_front_end_which_is_stopped_claims_nothing() {
    for (stopped, kept) in [(false, false), (true, true)] {
        let mut s = Scene::new();
        runs(&mut s, "other", 4, S, S + 800 * MS);
        s.by_b = true;
        s.call(S + 9 * MS, "w", "safe own").answer(S + 790 * MS, "w", "failed x");
        let v = s.check(|c| {
            pool(c);
            c.frozen.extend(stopped.then_some((1, S, S + 700 * MS)));
        });
        assert_eq!(breaches(&v) == 0, kept, "{stopped}");
    }
}

/// Refused within the stated time of its surge, after it, with all its permits in use, and for another reason.
#[test]
fn a_tenant_inside_its_reservation_is_refused_for_want_of_lanes_only_at_the_start_of_its_surge() {
    for (after, own, reason, kept) in [
        (90 * MS, 0, "no-lane", true),
        (130 * MS, 0, "no-lane", false),
        (130 * MS, 2, "no-lane", false),
        (130 * MS, 3, "no-lane", true),
        (130 * MS, 0, "can-not-finish-in-time", true),
    ] {
        let mut s = Scene::new();
        s.call(S, "first", "safe own").answer(S + 2 * MS, "first", "refused no-lane");
        runs(&mut s, "own", own, S + 3 * MS, S + 300 * MS);
        s.call(S + after - 2 * MS, "a", "safe own").answer(S + after, "a", &format!("refused {reason}"));
        let v = s.check(pool);
        assert_eq!(breaches(&v) == 0, kept, "{after} {own} {reason}: {v:#?}");
    }
    // A new surge after a rest, and a tenant without permits of its own.
    for (at, tenant) in [(4 * S, "own"), (S + 200 * MS, "other")] {
        let mut s = Scene::new();
        s.call(S, "first", &format!("safe {tenant}")).answer(S + 2 * MS, "first", "refused no-lane");
        s.call(at, "a", &format!("safe {tenant}")).answer(at + 2 * MS, "a", "refused no-lane");
        assert_eq!(breaches(&s.check(pool)), 0, "{tenant}");
    }
}

/// A connection that its front end ended is seen a little later: within the tap's own delay the permit is free for the next.
#[test]
fn an_attempt_whose_connection_broke_counts_until_the_socket_ended() {
    for (next, kept) in [(S + 50 * MS, false), (S + 87 * MS, true)] {
        let mut s = Scene::new();
        runs(&mut s, "other", 3, S, S + 200 * MS);
        s.call(S, "cut", "safe other");
        s.attempt(S + 3 * MS, W1, "cut", None, 87 * MS);
        s.answer(S + 99 * MS, "cut", "failed no-answer-in-time");
        s.call(next - 2 * MS, "next", "safe other");
        s.attempt(next, W1, "next", OK, 10 * MS);
        s.answer(next + 12 * MS, "next", "served");
        let v = s.check(pool);
        assert_eq!(breaches(&v) == 0, kept, "{next}");
    }
    // A front end whose connection to the broker was lost holds no call that waits.
    let mut s = Scene::new();
    runs(&mut s, "other", 4, S, S + 800 * MS);
    let broker = s.broker;
    s.by_b = true;
    s.call(S + 9 * MS, "w", "safe own");
    s.close(S + 50 * MS, scene::BROKER_B, s.broker_b);
    s.by_b = false;
    assert_ne!((BROKER, broker), (scene::BROKER_B, s.broker_b));
    assert_eq!(breaches(&s.check(pool)), 0);
}
