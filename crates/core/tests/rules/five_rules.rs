//! The five rules, one by one.

use crate::support::*;
use stagehoist::*;

#[test]
fn a_worker_with_a_copy_is_preferred() {
    let mut harness = Harness::new("", &[1, 2, 3, 4]);
    let first = sends(&harness.step(MS, vec![request(1, 0, 9)]))[0].1;
    harness.step(600 * MS, vec![ended(1, 0, first, Outcome::Ok)]);
    for id in 2..8 {
        assert_eq!(sends(&harness.step(MS, vec![request(id, 0, 9)])), [(id, first)]);
        harness.step(100 * MS, vec![ended(id, 0, first, Outcome::Ok)]);
    }
}

#[test]
fn rule_1_one_answer_before_the_budget_ends() {
    let mut harness = Harness::new("", &[]);
    assert!(sends(&harness.step(0, vec![request(1, 0, 9)])).is_empty());
    let mut answers = 0;
    for _ in 0..1300 {
        let out = harness.step(2 * MS, vec![]);
        answers += is_rejected(&out, 1) as u32;
        assert!(!is_rejected(&out, 1) || harness.now <= 1000 * MS + 2500 * MS);
    }
    assert_eq!(answers, 1);
    // Events for finished or unknown requests are ignored.
    let out = harness.step(
        MS,
        vec![
            Event::ClientGone { request: 1 },
            Event::ClientGone { request: 77 },
            ended(1, 0, 5, Outcome::Ok),
        ],
    );
    assert!(!is_rejected(&out, 1) && !has_failed(&out, 1));
}

#[test]
fn rule_2_a_non_idempotent_call_that_may_have_run_fails() {
    let mut harness = Harness::new("", &[1, 2]);
    let (_, worker) = sends(&harness.step(0, vec![request(1, 1, 9)]))[0];
    let out = harness.step(50 * MS, vec![ended(1, 0, worker, Outcome::Error)]);
    assert!(has_failed(&out, 1) && !is_rejected(&out, 1) && sends(&out).is_empty());
}

#[test]
fn rule_2_proof_that_an_attempt_never_ran_allows_another_attempt() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::Miss] {
        let mut harness = Harness::new("", &[1, 2]);
        let (_, worker) = sends(&harness.step(0, vec![request(1, 1, 9)]))[0];
        let mut resent = sends(&harness.step(5 * MS, vec![ended(1, 0, worker, outcome)]));
        for _ in 0..200 {
            resent.extend(sends(&harness.step(5 * MS, vec![])));
        }
        assert_eq!(resent.len(), 1, "{outcome:?}");
    }
}

#[test]
fn rule_2_an_idempotent_call_is_sent_again_after_an_error() {
    let mut harness = Harness::new("", &[1, 2]);
    let (_, worker) = sends(&harness.step(0, vec![request(1, 0, 9)]))[0];
    let resent = sends(&harness.step(5 * MS, vec![ended(1, 0, worker, Outcome::Error)]));
    assert_eq!(resent, [(1, 3 - worker)]);
}

/// Guards against a repeat in another cell: entries of workers that are gone need not contain their cell.
#[test]
fn rule_2_the_cell_of_an_attempt_is_that_of_its_worker_when_it_was_sent() {
    let keyed = "classes.0.effect=deduplicated\nclasses.0.dedup_scope=cell\nclasses.0.key_ttl=10000\n";
    let mut harness = Harness::new(keyed, &[1]);
    assert_eq!(sends(&harness.step(MS, vec![request(1, 0, 9)])), [(1, 1)]);
    let gone = Endpoint { worker: 1, lifecycle: Lifecycle::Gone, ..Endpoint::default() };
    // Worker 4 is in the cell of worker 1, and worker 3 in cell 0.
    let joined = [3, 4].map(|worker| endpoint(worker, Lifecycle::Ready, 0));
    let changes = [vec![gone], joined.to_vec()].concat();
    harness.step(MS, vec![endpoint_list(EndpointUpdate::Delta, changes)]);
    let mut sent = sends(&harness.step(MS, vec![ended(1, 0, 1, Outcome::Reset)]));
    (0..300).for_each(|_| sent.extend(sends(&harness.step(10 * MS, vec![]))));
    assert_eq!(sent, [(1, 4)]);
}

#[test]
fn rule_3_nothing_is_sent_to_a_draining_or_gone_worker() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
        let mut harness = Harness::new("", &[1]);
        harness.step(MS, vec![endpoint_list(EndpointUpdate::Delta, vec![endpoint(1, lifecycle, 0)])]);
        let out = harness.step(0, vec![request(1, 0, 9)]);
        assert!(sends(&out).is_empty());
        let out = harness
            .step(MS, vec![endpoint_list(EndpointUpdate::Delta, vec![endpoint(1, Lifecycle::Ready, 0)])]);
        assert_eq!(sends(&out), [(1, 1)]);
    }
    // A worker that is missing from a full list is gone.
    let mut harness = Harness::new("", &[1, 2]);
    harness.step(MS, vec![endpoint_list(EndpointUpdate::Full, vec![endpoint(2, Lifecycle::Ready, 0)])]);
    for id in 1..4 {
        assert!(sends(&harness.step(0, vec![request(id, 0, 9)])).iter().all(|s| s.1 == 2));
    }
}

#[test]
fn rule_4_a_warming_worker_gets_its_share_only() {
    let mut harness = Harness::new("", &[1, 2]);
    let mut id = 0;
    let mut to_cold = |harness: &mut Harness, rounds: usize| {
        let mut max_in_window = 0;
        let mut recent: Vec<Micros> = Vec::new();
        for _ in 0..rounds {
            let events = (0..2).map(|k| request(id + k, 0, (id + k) as u64)).collect();
            id += 2;
            let out = sends(&harness.step(20 * MS, events));
            let now = harness.now;
            recent.retain(|t| *t > now - 1000 * MS);
            recent.extend(out.iter().filter(|s| s.1 == 3).map(|_| now));
            max_in_window = max_in_window.max(recent.len());
            harness.step(5 * MS, out.iter().map(|s| ended(s.0, 0, s.1, Outcome::Ok)).collect());
        }
        max_in_window
    };
    assert_eq!(to_cold(&mut harness, 400), 0);
    // Two workers get 80 calls per second, 40 each. A worker with a quarter of its capacity may get 0.25 x 2 x 40
    // of them in the window, and its share grows with time.
    let started = harness.now;
    harness.step(0, vec![endpoint_list(EndpointUpdate::Delta, vec![endpoint(3, Lifecycle::Ready, started)])]);
    let cold = to_cold(&mut harness, 40);
    assert!((1..=22).contains(&cold), "{cold}");
}

#[test]
fn rule_4_many_front_ends_together_do_not_overload_a_warming_worker() {
    // Guards against overloading a cold worker: with 87 front ends, one call per window from each was too much.
    let overrides = "balancers=100\ninvariants.start_capacity=0.25\ninvariants.overload_factor=2\n";
    let established =
        || [1, 2].iter().map(|&worker| endpoint(worker, Lifecycle::Ready, 0)).collect::<Vec<_>>();
    let mut all: Vec<Harness> = (0..100)
        .map(|seed| {
            let front_end = FrontEnd::new(settings(overrides), seed * 7919 + 1, 1000 * MS);
            let mut harness = Harness { front_end, now: 1000 * MS };
            harness.step(0, vec![endpoint_list(EndpointUpdate::Cached, established())]);
            harness
        })
        .collect();
    let mut to_cold: Vec<Micros> = Vec::new();
    for round in 0..60u32 {
        for (k, harness) in all.iter_mut().enumerate() {
            if round == 40 {
                let cold = endpoint(3, Lifecycle::Ready, harness.now);
                harness.step(0, vec![endpoint_list(EndpointUpdate::Delta, vec![cold])]);
            }
            // Each front end gets two calls per second, for functions that no front end has seen.
            let id = round * 100 + k as u32;
            let out = sends(&harness.step((5 * k) as Micros * MS, vec![request(id, 0, id as u64)]));
            to_cold.extend(out.iter().filter(|s| s.1 == 3).map(|_| harness.now));
            let rest = (500 - 5 * k) as Micros * MS;
            harness.step(rest, out.iter().map(|s| ended(s.0, 0, s.1, Outcome::Ok)).collect());
        }
    }
    // 200 calls per second on two workers are 100 each. A quarter of that, times two, may arrive in a second.
    let max_in_window =
        to_cold.iter().map(|&t| to_cold.iter().filter(|x| (t..t + 1000 * MS).contains(x)).count()).max();
    assert!((1..=100).contains(&max_in_window.unwrap_or(0)), "{max_in_window:?}");
    let first = to_cold.iter().filter(|t| **t < 1000 * MS + 40 * 500 * MS + 1000 * MS).count();
    assert!(first <= 50, "{first}");
}

#[test]
fn rule_5_load_orders_stay_inside_the_budget() {
    let overrides = "specifics.if_cold=miss\nspecifics.placement_calls=true\nspecifics.loads_within=10000\n\
        specifics.load_free=3\nspecifics.load_part=0.1\n";
    let mut harness = Harness::new(overrides, &[1, 2, 3, 4, 5, 6, 7, 8]);
    let mut orders: Vec<Micros> = Vec::new();
    let mut calls: Vec<Micros> = Vec::new();
    for id in 0..400u32 {
        calls.push(harness.now + 15 * MS);
        // No worker has loaded the function: the call misses at the preferred worker, then a load is ordered.
        let mut out = harness.step(15 * MS, vec![request(id, 0, id as u64)]);
        let missed = sends(&out).iter().map(|x| ended(x.0, 0, x.1, Outcome::Miss)).collect();
        out.extend(harness.step(0, missed));
        let mut answers = Vec::new();
        for a in &out {
            let Action::Load { worker, function, copies, .. } = *a else { continue };
            if copies > 0 {
                orders.push(harness.now);
                let within =
                    |list: &[Micros]| list.iter().filter(|t| **t > harness.now - 10_000 * MS).count() as f64;
                assert!(within(&orders) <= 3.0 + 0.1 * within(&calls));
            }
            let outcome = Outcome::Ok;
            answers.push(Event::Loaded { worker, function, outcome, elapsed: 5 * MS, copies });
        }
        let served = sends(&harness.step(0, answers));
        harness.step(0, served.iter().map(|x| ended(x.0, 1, x.1, Outcome::Ok)).collect());
    }
    assert!(orders.len() > 10, "{}", orders.len());
}
