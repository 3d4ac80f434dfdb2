//! Queueing, shedding and retries.

use crate::support::*;
use stagehoist::*;
use std::collections::BTreeMap;

#[test]
fn calls_queued_before_any_worker_is_listed_go_out_when_one_is() {
    // Found with the list late: the order of workers for a function was made at a call's arrival only.
    let mut b = Bench::new("", &[]);
    assert!(sends(&b.step(0, vec![request(1, 0, 9)])).is_empty());
    assert_eq!(
        sends(&b.step(0, vec![roster(EndpointUpdate::Delta, vec![row(1, Lifecycle::Ready, 0)])])),
        [(1, 1)]
    );
}

#[test]
fn late_requests_yield_to_those_in_time() {
    // Found on busy days: a standing backlog was served oldest first, and so all of it late.
    let mut b = Bench::new("classes.0.late_worth=0.1\n", &[]);
    for id in 1..30 {
        b.step(0, vec![request(id, 0, id as u64)]);
    }
    b.step(900 * MS, vec![]);
    b.step(0, vec![request(100, 0, 100)]);
    let out = b.step(0, vec![roster(EndpointUpdate::Delta, vec![row(1, Lifecycle::Ready, 0)])]);
    assert_eq!(sends(&out)[0].0, 100);
}

/// Guards against a surge that takes the place of calls worth more: with more held than workers can do, those that are worth
/// more for their work are served, of tenants within their told rates first. Also covers mixes of long and short runs. Could
/// harm a class that is always worth least.
#[test]
fn with_more_than_can_be_done_calls_worth_more_for_their_work_are_served() {
    for by_tenant in [false, true] {
        let mut with = settings("limits.second_copies=false\n");
        with.front_ends = 1;
        with.classes[0].effect = Effect::Idempotent;
        with.classes[1].effect = Effect::Idempotent;
        for (class, worth) in with.classes.iter_mut().zip([1.0, 4.0]) {
            (class.priority_weight, class.late_value) = (if by_tenant { 1.0 } else { worth }, 0.0);
        }
        if by_tenant {
            (with.tenant_quotas, with.over_quota_weight) = (vec![5.0, 1000.0], 0.1);
        }
        // One worker for about forty calls a second; of each kind forty come.
        let mut served = [0, 0];
        let calls = |step: u32| {
            let kinds = if step.is_multiple_of(5) && step < 2000 { 0..2 } else { 0..0 };
            let call = |kind: u32| {
                let Event::Request(q) = request(2 * step + kind, kind as u16, 5) else { unreachable!() };
                Event::Request(Request { tenant: kind, ..q })
            };
            kinds.map(call).collect()
        };
        Bench::with(with, &[1]).flow(
            2400,
            calls,
            |_| 100 * MS,
            |_, id| served[id as usize % 2] += u32::from(id > 2 * 500),
        );
        let [less, more] = served;
        assert!(more > 2 * less, "by tenant {by_tenant}: {less} of less worth, {more} of more");
    }
}

/// Guards against calls that go behind others of equal worth because the run time learned for them rose a little since: they
/// would be served late, 10 to 14% of messages on sockets. Also covers functions of one class that differ a little.
#[test]
fn calls_of_about_equal_worth_are_not_deferred() {
    let mut with = settings("limits.second_copies=false\n");
    (with.front_ends, with.classes[0].late_value) = (1, 0.1);
    let (mut sent, mut late) = (0, 0);
    Bench::with(with, &[1]).flow(
        4000,
        // About three times what two permits can do.
        |step| if step.is_multiple_of(3) { vec![request(step, 0, 5)] } else { Vec::new() },
        // Runs differ by a third either way.
        |id| 70 * MS + (id as Micros * 7919) % 61 * MS,
        |step, id| {
            sent += 1;
            // At first nothing is known of run times.
            late += u32::from(id > 1000 && Micros::from(step - id) * 5 * MS > 800 * MS);
        },
    );
    assert!(sent > 300 && late * 33 < sent, "{late} of {sent} sent past their aim");
}

/// Guards against trouble that multiplies load: a function whose calls all fail goes on with first attempts and a told share
/// of further ones; what it may not try again waits and is answered by its aim. Also covers a worker that all turn to.
#[test]
fn retries_stay_inside_the_budget_of_function_and_worker() {
    let run = |window| {
        let retry_budget = RetryBudget { window, free: 2.0, share: 0.25 };
        let with = Settings { retry_budget, ..settings("limits.second_copies=false\n") };
        let mut b = Bench::with(with, &[1, 2, 3]);
        let (mut firsts, mut further, mut answered) = (0, 0, 0);
        let mut numbers: BTreeMap<RequestId, u16> = BTreeMap::new();
        let mut coming: Vec<Event> = Vec::new();
        for step in 0..400u32 {
            let mut events = std::mem::take(&mut coming);
            if step < 200 {
                events.push(request(step + 1, 0, 5));
            }
            let out = b.step(20 * MS, events);
            answered +=
                out.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count();
            for (id, worker) in sends(&out) {
                let number = numbers.entry(id).or_insert(0);
                if *number == 0 {
                    firsts += 1
                } else {
                    further += 1
                }
                coming.push(ended(id, *number, worker, Outcome::Full));
                *number += 1;
            }
        }
        assert_eq!(answered, 200, "each is answered");
        (firsts, further)
    };
    let (firsts, further) = run(10_000 * MS);
    assert!(firsts >= 20 && further as f64 <= 2.0 + 0.25 * firsts as f64, "{firsts} {further}");
    let (firsts, further) = run(0);
    assert!(further > firsts / 2, "without a budget: {firsts} {further}");
}

/// Found with thousands of callers refused at once: told no time, they all came back at once.
#[test]
fn rejections_advise_by_the_drain_and_spread_returns() {
    let mut b = Bench::new("limits.retry_after=true\nlimits.max_retry_after=1000\n", &[]);
    let calls = (1..200).map(|id| request(id, 0, 9)).collect();
    b.step(0, calls);
    let mut told = Vec::new();
    for _ in 0..1300 {
        told.extend(b.step(2 * MS, vec![]).into_iter().filter_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(retry_after),
            _ => None,
        }));
    }
    assert_eq!(told.len(), 199);
    // Nothing was ever served: the whole of what may be told, from a third of it up.
    assert!(told.iter().all(|t| (333 * MS..=1000 * MS).contains(t)), "{told:?}");
    let in_a_tenth = |from: i64| told.iter().filter(|t| (from..from + 67 * MS).contains(*t)).count();
    assert!((333..933).step_by(67).all(|ms| (5..45).contains(&in_a_tenth(ms * MS))), "returns come together");
}

/// Found under load by an open loop of callers: calls that could no longer be in time stayed held until their time was up.
#[test]
fn a_call_that_can_not_be_in_time_is_refused_at_once_where_late_answers_are_worth_nothing() {
    for (late_worth, latest) in [("0", 800), ("0.1", 2500)] {
        let mut b = Bench::new(&format!("classes.0.late_worth={late_worth}\n"), &[]);
        let zero = b.now;
        assert!(!refused(&b.step(0, vec![request(1, 0, 9)]), 1));
        let found = (0..1300).find(|_| refused(&b.step(2 * MS, vec![]), 1));
        assert!(found.is_some() && b.now - zero <= latest * MS && b.now - zero > (latest - 600) * MS);
    }
}

/// Found on an overloaded day: hedged requests of calls that were overdue for want of room took more of it.
#[test]
fn overdue_calls_are_tried_again_only_while_nothing_is_queued() {
    for held in [false, true] {
        let mut b = Bench::new("classes.0.aim=1500\nclasses.1.aim=2400\n", &[1]);
        b.step(0, vec![request(9, 0, 9)]);
        b.step(100 * MS, vec![ended(9, 0, 1, Outcome::Ok)]);
        (1..4).for_each(|id| drop(b.step(0, vec![request(id, 0, 9)])));
        if held {
            // More than the worker's permits and allowance take: these wait.
            (20..40).for_each(|id| drop(b.step(0, vec![request(id, 1, 9)])));
        }
        let waits = b.step(0, vec![]);
        assert!(sends(&waits).is_empty());
        b.step(
            0,
            vec![roster(
                EndpointUpdate::Delta,
                vec![Endpoint { capacity: 0.0, ..row(2, Lifecycle::Ready, 0) }],
            )],
        );
        let again = (0..800).flat_map(|_| sends(&b.step(2 * MS, vec![]))).filter(|s| s.0 < 4).count();
        assert_eq!(again == 0, held, "{again} tried again");
    }
}

/// Found with three front ends on one fleet: calls about to be late were tried first, failed, and kept back those of
/// their kind that could still be in time, until these were late too: 23% of the capacity served in time.
#[test]
fn calls_about_to_be_late_yield_to_others_of_their_group() {
    let mut b = Bench::new("classes.0.late_worth=0.1\n", &[1]);
    // Runs of 300 ms on one worker of two permits.
    for id in 1..8 {
        b.step(MS, vec![request(id, 0, 9)]);
        let mut done = ended(id, 0, 1, Outcome::Ok);
        if let Event::AttemptEnded(e) = &mut done {
            e.elapsed = 300 * MS;
        }
        b.step(300 * MS, vec![done]);
    }
    (10..13).for_each(|id| drop(b.step(0, vec![request(id, 0, 9)])));
    // Three that wait until only 350 ms are left of their aim, then three new ones.
    (20..23).for_each(|id| drop(b.step(0, vec![request(id, 0, 9)])));
    b.step(440 * MS, vec![]);
    (30..33).for_each(|id| drop(b.step(0, vec![request(id, 0, 9)])));
    let mut first = Vec::new();
    for id in 10..13 {
        let mut done = ended(id, 0, 1, Outcome::Ok);
        if let Event::AttemptEnded(e) = &mut done {
            e.elapsed = 460 * MS;
        }
        first.extend(sends(&b.step(20 * MS, vec![done])));
    }
    assert!(first.iter().any(|s| s.0 >= 30), "{first:?}");
}

/// Found by hand at twice the capacity: refusals came at 2.36 s, as the call about to be late was itself the first held, and
/// those behind it that could be in time were not seen.
#[test]
fn a_late_call_is_refused_at_once_while_others_can_be_in_time() {
    for others in [false, true] {
        let mut b = Bench::new("classes.0.late_worth=0.1\n", &[]);
        b.step(0, vec![request(1, 0, 9)]);
        b.step(500 * MS, if others { vec![request(2, 0, 9)] } else { vec![] });
        let out: Vec<Action> = (0..200).flat_map(|_| b.step(2 * MS, vec![])).collect();
        assert_eq!(refused(&out, 1), others);
        assert!(!refused(&out, 2));
    }
}
