//! Rule 5 checked at the arrival of load orders, independently of the decision module: orders arrive with any delay up to
//! their timeout. Settings, calls, unverified callers, drains and outcomes are random.

use stagehoist::*;
use std::rc::Rc;

const MS: Micros = 1000;
const STEP: Micros = 5 * MS;

struct Draw(u64);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n.max(1)
    }
    fn one_of<T: Copy>(&mut self, list: &[T]) -> T {
        list[self.below(list.len() as u64) as usize]
    }
}

struct Order {
    worker: WorkerId,
    function: FunctionId,
    sent_at: Micros,
    /// `None` if it never arrives.
    arrives_at: Option<Micros>,
    notified_at: Micros,
    outcome: Outcome,
    is_checked: bool,
}

/// Result of a run: orders sent, orders arrived, and the largest used part of the budget at an arrival.
#[derive(Default, Debug)]
struct Observed {
    sent: usize,
    arrived: usize,
    max_used: f64,
    after_drain: usize,
}

/// Runs a random scenario. `alter` changes the settings of the module, and `verified` marks all callers as verified; with
/// such changes the checker must find violations.
fn run(seed: u64, verified: bool, alter: impl Fn(&mut Settings)) -> Observed {
    let mut r = Draw(seed);
    let text = format!(
        "balancers={}\nclasses.count=1\nclasses.0.aim=800\nclasses.0.effect=idempotent\nlimits.most_tries=3\n\
         limits.connect_timeout=250\nspecifics.idle_life=9000\nspecifics.if_cold={}\nspecifics.load_wait={}\n\
         specifics.placement_calls=true\nspecifics.loads_within={}\nspecifics.load_free={}\nspecifics.load_part={}\n\
         specifics.ram_mb_by_kind=4000\ngranularity=2\ninvariants.drain_grace=250\n",
        r.one_of(&[1, 40, 350]),
        r.one_of(&["miss", "load"]),
        r.one_of(&[1000, 4000, 10000]),
        r.one_of(&[2000, 5000, 10000]),
        r.one_of(&["1", "2.5", "6"]),
        r.one_of(&["0", "0.1", "0.3"]),
    );
    let true_settings = wire::parse_settings(&text).unwrap();
    let true_settings = Settings { load_delay: true_settings.load_timeout, ..true_settings };
    let mut s = true_settings.clone();
    alter(&mut s);
    let (mut now, mut id) = (1_000_000 * MS, 0);
    let mut front_end = FrontEnd::new(s, seed, now);
    let workers = 4 + r.below(40) as WorkerId;
    let row = |worker, lifecycle| Endpoint { worker, lifecycle, capacity: 4.0, ..Default::default() };
    let rows: Vec<_> = (0..workers).map(|w| row(w, Lifecycle::Ready)).collect();
    let mut events = vec![Event::Endpoints { update: EndpointUpdate::Full, endpoints: Rc::from(rows) }];
    let (mut orders, mut accepted, mut arrived): (Vec<Order>, Vec<Micros>, Vec<Micros>) = Default::default();
    let mut scheduled_events: Vec<(Micros, Event)> = Vec::new();
    let mut ready = vec![true; workers as usize];
    let mut withdrawn: Vec<RequestId> = Vec::new();
    let mut observed = Observed::default();
    // Links are interrupted at times; the delayed orders then arrive together.
    let (mut interrupted_until, mut rate) = (0, 2);
    for step in 0..5000 {
        if step % 300 == 0 {
            rate = r.one_of(&[0, 1, 5, 30]);
            interrupted_until = now + r.one_of(&[0, 0, 1, 4]) * 1000 * MS;
        }
        // Either a usual call, or hundreds at once from an unverified caller, which are withdrawn at once.
        let is_crowd = r.below(150) == 0;
        let count = if is_crowd { 200 } else { u64::from(r.below(100) < rate) };
        for _ in 0..count {
            id += 1;
            let is_verified = !is_crowd && r.below(4) > 0;
            events.push(Event::Request(Request {
                id,
                class: 0,
                tenant: 0,
                function: 1 + r.below(60),
                budget: 2500 * MS,
                work: None,
                memory_mb: 500.0,
                concurrency: 2.0,
                load_time: 500 * MS,
                is_repeat: false,
                accepted_at: now,
                client_verified: is_verified || verified,
            }));
            if is_crowd {
                withdrawn.push(id);
            } else {
                accepted.push(now);
            }
        }
        if step % 2 == 0 {
            events.extend(withdrawn.drain(..).map(|request| Event::ClientGone { request }));
        }
        if r.below(100) == 0 {
            let w = r.below(workers.into()) as WorkerId;
            ready[w as usize] = !ready[w as usize];
            let lifecycle = if ready[w as usize] { Lifecycle::Ready } else { Lifecycle::Draining };
            events.push(Event::Endpoints {
                update: EndpointUpdate::Delta,
                endpoints: Rc::from(vec![row(w, lifecycle)]),
            });
        }
        // The checker counts an order when it arrives, against the orders and the calls of the window.
        for o in orders.iter_mut().filter(|o| !o.is_checked && o.arrives_at.is_some_and(|at| at <= now)) {
            o.is_checked = true;
            let at = o.arrives_at.unwrap();
            arrived.push(at);
            let within = |list: &[Micros]| {
                list.iter().filter(|t| **t > at - true_settings.load_window && **t <= at).count()
            };
            let (count, calls) = (within(&arrived) as f64, within(&accepted) as f64);
            // At least one order is allowed: the tolerance that the protocol states covers a fraction of an order.
            let budget = (true_settings.load_free + true_settings.load_share * calls).max(1.0);
            observed.arrived += 1;
            observed.max_used = observed.max_used.max(count / budget);
        }
        orders.retain(|o| {
            if o.notified_at <= now {
                let (worker, function, outcome) = (o.worker, o.function, o.outcome);
                let (elapsed_time, copies) = (now - o.sent_at, u8::from(outcome == Outcome::Ok));
                events.push(Event::Loaded { worker, function, outcome, elapsed: elapsed_time, copies });
            }
            o.notified_at > now
        });
        scheduled_events.retain(|(at, event)| {
            if *at <= now {
                events.push(event.clone());
            }
            *at > now
        });
        let mut out = Vec::new();
        front_end.handle(now, &events, &mut out);
        events.clear();
        for action in out {
            match action {
                Action::Send { request, worker, .. } => {
                    let outcome =
                        r.one_of(&[Outcome::Ok, Outcome::Ok, Outcome::Miss, Outcome::Full, Outcome::Error]);
                    let concluded = outcome == Outcome::Ok;
                    let attempt = scheduled_events
                        .iter()
                        .filter(|(_, e)| matches!(e, Event::AttemptEnded(e) if e.request == request))
                        .count() as u16;
                    let copy_report = CopyReport::default();
                    let elapsed_time = (20 + r.below(300) as Micros) * MS;
                    let end = AttemptEnd {
                        request,
                        attempt,
                        worker,
                        concluded,
                        outcome,
                        copy: copy_report,
                        elapsed: elapsed_time,
                        report: None,
                        connected_at: Micros::MAX,
                    };
                    scheduled_events.push((now + elapsed_time, Event::AttemptEnded(end)));
                }
                Action::Load { worker, function, .. } => {
                    observed.sent += 1;
                    observed.after_drain += usize::from(!ready[worker as usize]);
                    let span = true_settings.load_timeout;
                    let delay = if interrupted_until > now { interrupted_until - now } else { 0 };
                    let spread = r.one_of(&[2, 300, (span / MS) as u64]);
                    let delay = (delay + r.below(spread) as Micros * MS).min(span);
                    let (arrives_at, reported_at, outcome) = match r.below(8) {
                        0 => (None, now + delay, Outcome::ConnectFailed),
                        1 => (None, now + span, Outcome::Timeout),
                        2 => (Some(now + delay), now + span, Outcome::Timeout),
                        3 => (Some(now + delay), now + delay, Outcome::Full),
                        4 => (Some(now + delay), (now + delay + 300 * MS).min(now + span), Outcome::Reset),
                        _ => (Some(now + delay), (now + delay + 900 * MS).min(now + span), Outcome::Ok),
                    };
                    orders.push(Order {
                        worker,
                        function,
                        sent_at: now,
                        arrives_at,
                        notified_at: reported_at.max(now + STEP),
                        outcome,
                        is_checked: false,
                    });
                }
                _ => {}
            }
        }
        now += STEP;
    }
    observed
}

#[test]
fn orders_stay_within_the_budget_however_late_they_arrive() {
    let (mut sent, mut near_limit) = (0, 0);
    for seed in 0..60 {
        let observed = run(seed, false, |_| {});
        assert!(observed.max_used <= 1.0, "seed {seed}: {observed:?}");
        assert_eq!(observed.after_drain, 0, "seed {seed}");
        sent += observed.sent;
        near_limit += usize::from(observed.max_used > 0.5);
    }
    // The budget must also be used: a limit that is never approached proves nothing.
    assert!(sent > 600 && near_limit > 10, "{sent} orders sent, {near_limit} runs near the limit");
}

/// Negative control: the checker finds a violation if orders count when they are sent.
#[test]
fn orders_counted_when_sent_exceed_the_budget() {
    let broken = (0..60).filter(|&seed| run(seed, false, |s| s.load_delay = 0).max_used > 1.0).count();
    assert!(broken >= 3, "{broken}");
}

/// Negative control: the checker finds a violation if the withdrawn requests of unverified callers count.
#[test]
fn counting_requests_of_unverified_callers_exceeds_the_budget() {
    let broken = (0..60).filter(|&seed| run(seed, true, |s| s.load_delay = 0).max_used > 1.2).count();
    let without = (0..60).filter(|&seed| run(seed, false, |s| s.load_delay = 0).max_used > 1.2).count();
    assert!(broken > without, "{broken} {without}");
}
