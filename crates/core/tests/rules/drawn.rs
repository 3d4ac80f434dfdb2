//! The five rules under random events, with many different settings.

use crate::support::*;
use stagehoist::*;
use std::collections::{BTreeMap, BTreeSet};

// The randomised checker.

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

struct Open {
    class: usize,
    function: FunctionId,
    deadline: Micros,
    /// Worker, send time, whether it is in flight, and whether it may have run.
    attempts: Vec<(WorkerId, Micros, bool, bool)>,
}

/// Generates random legal events, checks every action against the five rules, and returns all actions.
pub fn run(s: &Settings, seed: u64, steps: usize, with_second_front_end: bool) -> Vec<Action> {
    let mut r = Random(seed);
    let mut now = 5_000_000;
    let mut front_end = FrontEnd::new(s.clone(), seed, now);
    let mut other = FrontEnd::new(s.clone(), seed + 1, now);
    let mut all = Vec::new();
    let (mut open, mut concluded_requests): (BTreeMap<RequestId, Open>, BTreeSet<RequestId>) =
        Default::default();
    let mut outstanding: Vec<(RequestId, u16, WorkerId)> = Vec::new();
    let mut ready: BTreeMap<WorkerId, bool> = (1..9).map(|w| (w, true)).collect();
    let mut timers: Vec<(Micros, u32)> = Vec::new();
    let mut answers: Vec<Event> = Vec::new();
    let (mut orders, mut calls): (Vec<Micros>, Vec<Micros>) = Default::default();
    // By function (0) or worker (1): send times of attempts, and whether they were retries.
    let mut tries: BTreeMap<(u8, u64), Vec<(Micros, bool)>> = BTreeMap::new();
    let mut events = vec![endpoint_list(
        EndpointUpdate::Cached,
        ready.keys().map(|&w| endpoint(w, Lifecycle::Ready, 0)).collect(),
    )];
    for n in 0..steps as u32 {
        events.append(&mut answers);
        let is_final_phase = n as usize > steps - 1500.min(steps / 2);
        if !is_final_phase && r.below(3) == 0 {
            let class = r.below(s.classes.len() as u64) as u16;
            let budget = (r.below(4) * 700 * MS as u64) as Micros;
            let Event::Request(mut q) = request(n, class, r.below(12)) else { unreachable!() };
            q.budget = budget;
            q.concurrency = r.below(4) as f64;
            q.work = (r.below(2) == 0).then_some(r.below(300_000) as Micros);
            let (deadline, attempts, function) = (now + budget, Vec::new(), q.function);
            open.insert(n, Open { class: class as usize, function, deadline, attempts });
            calls.push(now);
            events.push(Event::Request(q));
        }
        let late: Vec<RequestId> = open.iter().filter(|o| o.1.deadline <= now).map(|o| *o.0).collect();
        for i in (0..outstanding.len()).rev() {
            let (id, attempt, worker) = outstanding[i];
            let timed_out = late.contains(&id);
            if r.below(40) != 0 && !timed_out {
                continue;
            }
            outstanding.swap_remove(i);
            use Outcome::*;
            let drawn = [Ok, Ok, Ok, Ok, Ok, Error, Full, ConnectFailed, Reset, Miss][r.below(10) as usize];
            let outcome = if timed_out { Timeout } else { drawn };
            let Event::AttemptEnded(mut e) = ended(id, attempt, worker, outcome) else { unreachable!() };
            e.elapsed = (r.below(400_000)) as Micros;
            e.concluded = concluded_requests.contains(&id) || outcome == Ok;
            e.copy.state = r.below(5) as u8;
            e.report = (r.below(2) == 0).then_some([r.below(9) as f32, 0.5, 0.0, 0.0]);
            if let Some(o) = open.get_mut(&id) {
                let slot = &mut o.attempts[attempt as usize];
                *slot = (slot.0, slot.1, false, !matches!(outcome, Full | ConnectFailed | Miss));
            }
            if outcome == Ok {
                open.remove(&id);
                concluded_requests.insert(id);
            }
            events.push(Event::AttemptEnded(e));
        }
        if r.below(60) == 0 {
            let w = 1 + r.below(10) as WorkerId;
            let lifecycle = [Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone]
                [r.below(4) as usize];
            ready.insert(w, lifecycle == Lifecycle::Ready);
            let started = if r.below(2) == 0 { now } else { 0 };
            events.push(endpoint_list(EndpointUpdate::Delta, vec![endpoint(w, lifecycle, started)]));
        }
        if r.below(200) == 0 {
            // Late or unknown ids are legal and must be ignored.
            events.push(Event::ClientGone { request: 4_000_000_000 });
            events.push(Event::HealthChecked { worker: 999, outcome: Outcome::Ok, elapsed: 0, report: None });
            events.push(Event::Loaded {
                worker: 999,
                function: 1,
                outcome: Outcome::Ok,
                elapsed: 0,
                copies: 3,
            });
            events.push(ended(4_000_000_000, 9, 999, Outcome::Error));
            events.push(Event::Gossip { from: 1, bytes: vec![0xff; 256] });
        }
        timers.retain(|&(at, token)| {
            if at <= now {
                events.push(Event::Timer { token });
            }
            at > now
        });
        let mut actions = Vec::new();
        front_end.handle(now, &events, &mut actions);
        if with_second_front_end {
            other.handle(now, &events, &mut Vec::new());
        }
        events.clear();
        for action in &actions {
            match action {
                Action::Send { request, worker, .. } => {
                    assert!(!concluded_requests.contains(request), "rule 1: sent after its final answer");
                    assert!(ready[worker], "rule 3: sent to a worker that is not ready");
                    let zone = |w: WorkerId| w % 2;
                    let o = open.get_mut(request).expect("known");
                    let has_attempt_in_flight = o.attempts.iter().any(|a| a.2);
                    let ran: Vec<_> = o.attempts.iter().filter(|a| a.2 || a.3).copied().collect();
                    assert!(!has_attempt_in_flight || s.hedging, "rule 2: two attempts in flight");
                    assert!(o.attempts.len() < s.max_attempts as usize);
                    match s.classes[o.class].effect {
                        Effect::Idempotent => {}
                        Effect::NonIdempotent => {
                            assert!(ran.is_empty(), "rule 2: non-idempotent request sent twice")
                        }
                        Effect::IdempotentWithKey { scope: group, window } => {
                            for a in ran {
                                assert!(now <= a.1 + window, "rule 2: retry after the window of the key");
                                assert!(match group {
                                    DeduplicationScope::All => true,
                                    DeduplicationScope::Zone => zone(a.0) == zone(*worker),
                                    DeduplicationScope::Cell => a.0 % 3 == worker % 3,
                                });
                            }
                        }
                    }
                    let is_retry = !o.attempts.is_empty();
                    for key in [(0, o.function), (1, u64::from(*worker))] {
                        let list = tries.entry(key).or_default();
                        list.push((now, is_retry));
                        // The window moves in buckets: the oldest one counts entirely or not at all.
                        let b = &s.retry_budget;
                        let within = |what, span| {
                            list.iter().rev().take_while(|t| t.0 > now - span).filter(|t| t.1 == what).count()
                                as f64
                        };
                        let allowed = b.free + b.share * within(false, b.window);
                        let spent = within(true, b.window * 7 / 8);
                        assert!(
                            !is_retry || b.window == 0 || spent <= allowed,
                            "retry budget exceeded for {key:?}"
                        );
                    }
                    outstanding.push((*request, o.attempts.len() as u16, *worker));
                    o.attempts.push((*worker, now, true, false));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let o = open.remove(request).expect("rule 1: one answer for each request");
                    concluded_requests.insert(*request);
                    assert!(now <= o.deadline + 8 * MS, "rule 1: answered too late");
                    let clean = o.attempts.iter().all(|a| !a.2 && !a.3);
                    let harmless = match s.classes[o.class].effect {
                        Effect::Idempotent
                        | Effect::IdempotentWithKey { scope: DeduplicationScope::All, .. } => true,
                        _ => clean,
                    };
                    assert!(
                        harmless || matches!(action, Action::Fail { .. }),
                        "rule 2: rejected, but may have run"
                    );
                }
                Action::Cancel { request, attempt } => {
                    assert!(s.may_cancel);
                    if let Some(i) = outstanding.iter().position(|a| (a.0, a.1) == (*request, *attempt)) {
                        let (id, attempt, worker) = outstanding.swap_remove(i);
                        if let Some(o) = open.get_mut(&id) {
                            o.attempts[attempt as usize].2 = false;
                            o.attempts[attempt as usize].3 = true;
                        }
                        let Event::AttemptEnded(mut e) = ended(id, attempt, worker, Outcome::Cancelled)
                        else {
                            unreachable!()
                        };
                        e.concluded = concluded_requests.contains(&id);
                        answers.push(Event::AttemptEnded(e));
                    }
                }
                Action::Load { worker, function, copies, .. } => {
                    assert!(s.may_order_loads, "load ordered although orders are not allowed");
                    if *copies > 0 {
                        assert!(ready[worker], "rule 3: load ordered at a worker that is not ready");
                        orders.push(now);
                        let within =
                            |list: &[Micros]| list.iter().filter(|t| **t > now - s.load_window).count();
                        let allowed = s.load_free + s.load_share * within(&calls) as f64;
                        assert!(
                            s.load_window == 0 || within(&orders) as f64 <= allowed,
                            "rule 5: load budget exceeded"
                        );
                    }
                    let outcome =
                        [Outcome::Ok, Outcome::Full, Outcome::Error, Outcome::Timeout][r.below(4) as usize];
                    let (worker, function, took, copies) = (*worker, *function, 900 * MS, r.below(3) as u8);
                    answers.push(Event::Loaded { worker, function, outcome, elapsed: took, copies });
                }
                Action::Unload { .. } => assert!(s.may_order_loads),
                Action::HealthCheck { worker } => {
                    assert!(s.may_health_check);
                    let report = Some([r.below(9) as f32, 0.0, 0.0, 0.0]);
                    answers.push(Event::HealthChecked {
                        worker: *worker,
                        outcome: Outcome::Ok,
                        elapsed: MS,
                        report,
                    });
                }
                Action::SetTimer { after, token } => {
                    assert!(*after > 0 && timers.len() < 100_000);
                    timers.push((now + after, *token));
                }
                Action::Gossip { .. } => assert!(s.may_gossip),
                _ => {}
            }
        }
        all.append(&mut actions);
        now += 2 * MS;
        let overdue = open.values().filter(|o| o.deadline + 8 * MS < now).count();
        assert_eq!(overdue, 0, "rule 1: a request is overdue");
    }
    all
}

/// Returns settings of known deployments and of further combinations.
pub fn settings_table() -> Vec<Settings> {
    [
        "",
        "limits.second_copies=false\nlimits.most_tries=5\nspecifics.tells_warm=true\nspecifics.counts_alike=true\n",
        "specifics.if_cold=miss\nspecifics.placement_calls=true\nspecifics.loads_within=10000\nspecifics.load_free=6\n\
         specifics.load_part=0.1\nlimits.probes=true\nload_info.via=on_probe\nload_info.fields=rif,x0\n",
        "specifics.placement_calls=true\nspecifics.loads_within=5000\nspecifics.load_free=0\nlimits.probes=true\n\
         load_info.via=on_probe\nload_info.fields=q\ntariffs.probe=0.01\n",
        "specifics.placement_calls=true\nload_info.via=inline\nload_info.fields=busy\nspecifics.memory_price=0.15\n",
        "classes.1.effect=deduplicated\nclasses.1.dedup_scope=all\nclasses.1.key_ttl=1000\n",
        "classes.1.effect=deduplicated\nclasses.1.dedup_scope=zone\nclasses.1.key_ttl=900\n",
        "classes.1.effect=deduplicated\nclasses.1.dedup_scope=cell\nclasses.1.key_ttl=0\nlimits.second_copies=false\n",
        "classes.0.streaming=true\nbalancers=40\nregistry_mode=subscribe\n",
        "invariants.warm_up=0\ninvariants.fall=0\nspecifics.idle_life=0\nlimits.most_tries=0\ngranularity=0\n",
        "specifics.idle_life=99999999\ninvariants.overload_factor=1000000\nlimits.most_tries=60000\nlimits.cancel=false\n",
    ]
    .iter()
    .map(|overrides| settings(overrides))
    .chain([0.05, 0.5].map(|share| {
        let retry_budget = RetryBudget { window: 2_000 * MS, free: 2.0, share };
        Settings { retry_budget, ..settings("specifics.placement_calls=true\n") }
    }))
    .collect()
}

#[test]
fn the_rules_hold_under_random_events() {
    for (i, s) in settings_table().iter().enumerate() {
        for seed in 1..3 {
            let all = run(s, seed * 7919 + i as u64, 3000, false);
            let sent = sends(&all).len();
            // Random failures and the load budget leave few sends under some settings, but none may stop sending.
            assert!(sent > 50, "settings {i}, seed {seed}: only {sent} sent");
        }
    }
}

#[test]
fn identical_events_produce_identical_actions() {
    for s in settings_table().iter().take(4) {
        let first = run(s, 31, 1500, false);
        assert_eq!(first, run(s, 31, 1500, false));
        assert_eq!(first, run(s, 31, 1500, true));
    }
}
