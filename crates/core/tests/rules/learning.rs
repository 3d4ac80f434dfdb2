//! Estimates of workers from observations.

use crate::support::*;
use stagehoist::*;
use std::collections::BTreeSet;

#[test]
fn a_restart_clears_the_expected_copies() {
    let mut harness = Harness::new("specifics.if_cold=miss\nspecifics.placement_calls=true\n", &[1]);
    let loaded = |copies| Event::Loaded { worker: 1, function: 9, outcome: Outcome::Ok, elapsed: MS, copies };
    assert_eq!(sends(&harness.step(0, vec![request(1, 0, 9)])), [(1, 1)]);
    harness.step(0, vec![ended(1, 0, 1, Outcome::Miss)]);
    assert_eq!(sends(&harness.step(MS, vec![loaded(1)])), [(1, 1)]);
    harness.step(100 * MS, vec![ended(1, 1, 1, Outcome::Ok)]);
    let now = harness.now;
    harness.step(MS, vec![endpoint_list(EndpointUpdate::Delta, vec![endpoint(1, Lifecycle::Ready, now)])]);
    assert!(sends(&harness.step(MS, vec![request(2, 0, 9)])).is_empty());
}

#[test]
fn a_report_of_an_empty_queue_frees_the_worker() {
    // Guards against a worker that counts as full forever after it reported a queue once. Found at low traffic.
    let overrides = "limits.probes=true\nload_info.via=on_probe\nload_info.fields=q\n";
    let mut harness = Harness::new(overrides, &[1]);
    let health_checked = |q: f32| {
        let report = Some([q, 0.0, 0.0, 0.0]);
        Event::HealthChecked { worker: 1, outcome: Outcome::Ok, elapsed: MS, report }
    };
    harness.step(0, vec![health_checked(30.0)]);
    assert!(sends(&harness.step(MS, vec![request(1, 0, 9)])).is_empty());
    assert_eq!(sends(&harness.step(MS, vec![health_checked(0.0)])), [(1, 1)]);
}

#[test]
fn one_slow_answer_does_not_eject_a_worker() {
    // Guards against treating a single heavy call as a silent worker and ejecting it. Found at low traffic.
    let mut harness = Harness::new("", &[1]);
    harness.step(0, vec![request(1, 0, 9)]);
    let mut out = Vec::new();
    for _ in 0..1000 {
        out.extend(harness.step(2 * MS, vec![]));
    }
    assert!(!out.iter().any(|a| matches!(a, Action::Log { .. })));
}

#[test]
fn a_silent_worker_is_avoided_and_its_idempotent_calls_are_retried_elsewhere() {
    let mut harness = Harness::new("classes.0.aim=1500\n", &[1]);
    harness.step(0, vec![request(9, 0, 9)]);
    harness.step(100 * MS, vec![ended(9, 0, 1, Outcome::Ok)]);
    for id in 1..4 {
        assert_eq!(sends(&harness.step(0, vec![request(id, 0, 9)])), [(id, 1)]);
    }
    harness.step(0, vec![endpoint_list(EndpointUpdate::Delta, vec![endpoint(2, Lifecycle::Ready, 0)])]);
    let mut retry_worker = BTreeSet::new();
    let mut last = 0;
    for _ in 0..1200 {
        for (id, w) in sends(&harness.step(2 * MS, vec![])) {
            assert_eq!(w, 2);
            retry_worker.insert(id);
            last = harness.now;
        }
    }
    assert!(!retry_worker.is_empty() && last < 1000 * MS + 2500 * MS);
}

/// Guards against ejecting a worker and dropping its copies on each connection reset. With occasional resets at all
/// workers, most calls found no copy. Found on real sockets.
#[test]
fn a_single_connection_reset_does_not_eject_the_worker() {
    let overrides = "specifics.if_cold=miss\nspecifics.placement_calls=true\n";
    let mut harness = Harness::new(overrides, &[1, 2, 3]);
    let (_, w) = sends(&harness.step(0, vec![request(1, 0, 9)]))[0];
    harness.step(50 * MS, vec![ended(1, 0, w, Outcome::Ok)]);
    harness.step(MS, vec![request(2, 0, 9), request(3, 0, 9)]);
    let [(2, retry_worker)] = sends(&harness.step(MS, vec![ended(2, 0, w, Outcome::Reset)]))[..] else {
        panic!("not again")
    };
    harness.step(50 * MS, vec![ended(3, 0, w, Outcome::Ok), ended(2, 1, retry_worker, Outcome::Ok)]);
    assert_eq!(sends(&harness.step(MS, vec![request(4, 0, 9)])), [(4, w)], "the copy must still count");
    // All attempts in flight are reset: the process exited.
    harness.step(MS, vec![request(5, 0, 9)]);
    harness.step(MS, vec![ended(4, 0, w, Outcome::Reset), ended(5, 0, w, Outcome::Reset)]);
    assert!(sends(&harness.step(MS, vec![request(6, 0, 9)])).iter().all(|s| s.1 != w));
}

/// Errors that all workers return alike are caused by the network; ejecting for them would leave no worker.
#[test]
fn a_worker_is_ejected_for_errors_only_above_the_mean_of_all() {
    for (same_for_all, worse) in [(true, false), (false, true)] {
        let mut harness = Harness::new("", &[1, 2, 3, 4, 5, 6]);
        let (mut ejected, mut id) = (0, 0);
        for round in 0..400u32 {
            id += 1;
            let out = harness.step(20 * MS, vec![request(id, 0, u64::from(round % 12))]);
            for (call, w) in sends(&out) {
                // Either a third of the answers of all workers are errors, or more than half of those of one worker.
                let bad = if same_for_all { round % 3 == 0 } else { w == 1 && round % 5 != 0 };
                let outcome = if bad { Outcome::Error } else { Outcome::Ok };
                let out = harness.step(20 * MS, vec![ended(call, 0, w, outcome)]);
                ejected += out
                    .iter()
                    .filter(|a| matches!(a, Action::Log { text } if text.starts_with("eject")))
                    .count();
                harness.step(0, vec![Event::ClientGone { request: call }]);
            }
        }
        assert!(
            if worse { ejected > 0 } else { ejected < 12 },
            "same for all {same_for_all}: {ejected} ejections"
        );
    }
}

#[test]
fn tables_do_not_grow_as_workers_and_functions_come_and_go() {
    let mut harness = Harness::new("specifics.idle_life=20\n", &[1, 2, 3]);
    for n in 0..10_000u32 {
        let (new, old) =
            (endpoint(n + 4, Lifecycle::Ready, harness.now), endpoint(n + 1, Lifecycle::Gone, 0));
        let out = harness.step(
            5 * MS,
            vec![endpoint_list(EndpointUpdate::Delta, vec![new, old]), request(n, 0, u64::from(n) + 7)],
        );
        let ended_attempts = sends(&out).into_iter().map(|(id, w)| ended(id, 0, w, Outcome::Ok)).collect();
        harness.step(MS, ended_attempts);
        harness.step(0, vec![Event::ClientGone { request: n }]);
    }
    let TableSizes { workers, functions } = harness.front_end.table_sizes();
    assert!(workers <= 60, "{workers} workers");
    assert!(functions <= 400, "{functions} functions");
    (0..100).for_each(|_| drop(harness.step(1000 * MS, vec![])));
    assert_eq!(harness.front_end.table_sizes().functions, 0);
    // The remaining three workers are used.
    assert_eq!(sends(&harness.step(MS, vec![request(20_000, 0, 5)])).len(), 1);
}
