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
    given: Micros,
    /// None: it never arrives.
    arrives: Option<Micros>,
    notified_at: Micros,
    outcome: Outcome,
    is_checked: bool,
}

/// Result of a run: orders sent, orders arrived, and the largest used part of the budget at an arrival.
#[derive(Default, Debug)]
struct Observed {
    given: usize,
    arrived: usize,
    most: f64,
    after_drain: usize,
}

/// Runs a random scenario. `doctor` changes the settings of the module, and `verified` marks all callers as verified; with
/// such changes the checker must find violations.
fn run(seed: u64, verified: bool, doctor: impl Fn(&mut Settings)) -> Observed {
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
    let notified_at = wire::parse_settings(&text).unwrap();
    let notified_at = Settings { load_delay: notified_at.load_timeout, ..notified_at };
    let mut s = notified_at.clone();
    doctor(&mut s);
    let (mut now, mut id) = (1_000_000 * MS, 0);
    let mut front_end = FrontEnd::new(s, seed, now);
    let workers = 4 + r.below(40) as WorkerId;
    let row = |worker, lifecycle| Endpoint { worker, lifecycle, capacity: 4.0, ..Default::default() };
    let rows: Vec<_> = (0..workers).map(|w| row(w, Lifecycle::Ready)).collect();
    let mut events = vec![Event::Endpoints { update: EndpointUpdate::Full, endpoints: Rc::from(rows) }];
    let (mut orders, mut taken, mut arrived): (Vec<Order>, Vec<Micros>, Vec<Micros>) = Default::default();
    let mut answers: Vec<(Micros, Event)> = Vec::new();
    let mut ready = vec![true; workers as usize];
    let mut withdrawn: Vec<RequestId> = Vec::new();
    let mut seen = Observed::default();
    // Links are interrupted at times; the delayed orders then arrive together.
    let (mut cut_until, mut rate) = (0, 2);
    for step in 0..5000 {
        if step % 300 == 0 {
            rate = r.one_of(&[0, 1, 5, 30]);
            cut_until = now + r.one_of(&[0, 0, 1, 4]) * 1000 * MS;
        }
        // Either a usual call, or hundreds at once from an unverified caller, which are withdrawn at once.
        let crowd = r.below(150) == 0;
        let many = if crowd { 200 } else { u64::from(r.below(100) < rate) };
        for _ in 0..many {
            id += 1;
            let known = !crowd && r.below(4) > 0;
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
                client_verified: known || verified,
            }));
            if crowd {
                withdrawn.push(id);
            } else {
                taken.push(now);
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
        for o in orders.iter_mut().filter(|o| !o.is_checked && o.arrives.is_some_and(|at| at <= now)) {
            o.is_checked = true;
            let at = o.arrives.unwrap();
            arrived.push(at);
            let within = |list: &[Micros]| {
                list.iter().filter(|t| **t > at - notified_at.load_window && **t <= at).count()
            };
            let (many, calls) = (within(&arrived) as f64, within(&taken) as f64);
            // The budget allows at least one order, which covers a fraction of an order.
            let ration = (notified_at.load_free + notified_at.load_share * calls).max(1.0);
            seen.arrived += 1;
            seen.most = seen.most.max(many / ration);
        }
        orders.retain(|o| {
            if o.notified_at <= now {
                let (worker, function, outcome) = (o.worker, o.function, o.outcome);
                let (took, copies) = (now - o.given, u8::from(outcome == Outcome::Ok));
                events.push(Event::Loaded { worker, function, outcome, elapsed: took, copies });
            }
            o.notified_at > now
        });
        answers.retain(|(at, event)| {
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
                    let attempt = answers
                        .iter()
                        .filter(|(_, e)| matches!(e, Event::AttemptEnded(e) if e.request == request))
                        .count() as u16;
                    let note = CopyReport::default();
                    let took = (20 + r.below(300) as Micros) * MS;
                    let end = AttemptEnd {
                        request,
                        attempt,
                        worker,
                        concluded,
                        outcome,
                        copy: note,
                        elapsed: took,
                        report: None,
                    };
                    answers.push((now + took, Event::AttemptEnded(end)));
                }
                Action::Load { worker, function, .. } => {
                    seen.given += 1;
                    seen.after_drain += usize::from(!ready[worker as usize]);
                    let span = notified_at.load_timeout;
                    let late = if cut_until > now { cut_until - now } else { 0 };
                    let spread = r.one_of(&[2, 300, (span / MS) as u64]);
                    let late = (late + r.below(spread) as Micros * MS).min(span);
                    let (arrives, told_at, outcome) = match r.below(8) {
                        0 => (None, now + late, Outcome::ConnectFailed),
                        1 => (None, now + span, Outcome::Timeout),
                        2 => (Some(now + late), now + span, Outcome::Timeout),
                        3 => (Some(now + late), now + late, Outcome::Full),
                        4 => (Some(now + late), (now + late + 300 * MS).min(now + span), Outcome::Reset),
                        _ => (Some(now + late), (now + late + 900 * MS).min(now + span), Outcome::Ok),
                    };
                    orders.push(Order {
                        worker,
                        function,
                        given: now,
                        arrives,
                        notified_at: told_at.max(now + STEP),
                        outcome,
                        is_checked: false,
                    });
                }
                _ => {}
            }
        }
        now += STEP;
    }
    seen
}

#[test]
fn however_late_orders_arrive_they_are_inside_the_ration() {
    let (mut given, mut near) = (0, 0);
    for seed in 0..60 {
        let seen = run(seed, false, |_| {});
        assert!(seen.most <= 1.0, "seed {seed}: {seen:?}");
        assert_eq!(seen.after_drain, 0, "seed {seed}");
        given += seen.given;
        near += usize::from(seen.most > 0.5);
    }
    // The budget must also be used: a limit that is never approached proves nothing.
    assert!(given > 600 && near > 10, "{given} given, {near} near");
}

/// Negative control: the checker finds a violation if orders count when they are sent.
#[test]
fn orders_counted_when_given_break_the_ration() {
    let broken = (0..60).filter(|&seed| run(seed, false, |s| s.load_delay = 0).most > 1.0).count();
    assert!(broken >= 3, "{broken}");
}

/// Negative control: the checker finds a violation if the withdrawn requests of unverified callers count.
#[test]
fn requests_that_nothing_speaks_for_would_break_the_ration() {
    let broken = (0..60).filter(|&seed| run(seed, true, |s| s.load_delay = 0).most > 1.2).count();
    let apart = (0..60).filter(|&seed| run(seed, false, |s| s.load_delay = 0).most > 1.2).count();
    assert!(broken > apart, "{broken} {apart}");
}
