//! Cost of a batch while many calls are held: 100 workers, 100 front ends, every permit taken. Each batch is one call that
//! comes and one attempt that ends, as in a front end that runs at its capacity with a standing backlog.
//!
//! `cargo bench -p stagehoist --bench held`; `-- --save-baseline NAME` on one version and `-- --baseline NAME` on
//! another set two versions beside each other.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use stagehoist::*;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

const MS: Micros = 1000;
const WORKERS: u32 = 100;
const FUNCTIONS: u64 = 300;

fn settings(aim: Micros) -> Settings {
    let class = ClassSettings {
        latency_objective: aim,
        objective_work_factor: 0.0,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_value: 0.1,
        streaming: false,
    };
    Settings {
        front_ends: 100,
        classes: vec![class],
        tick: MS,
        drain_grace: 1000 * MS,
        overload_window: 1000 * MS,
        overload_factor: 2.0,
        start_capacity: 0.25,
        warm_up: 10_000 * MS,
        max_attempts: 3,
        hedging: true,
        may_cancel: true,
        may_order_loads: true,
        connect_timeout: 250 * MS,
        idle_retention: 9000 * MS,
        on_miss: OnMiss::Load,
        load_timeout: 10_000 * MS,
        memory_mb: vec![8000.0],
        ..Settings::default()
    }
}

/// A front end whose workers all run what they can, with so many calls held beyond that.
struct Crowded {
    front_end: FrontEnd,
    now: Micros,
    next: RequestId,
    aim: Micros,
    flights: VecDeque<(RequestId, u16, WorkerId)>,
    sent: HashMap<RequestId, u16>,
    answered: u32,
    /// Answers that were no service: the backlog must stand, or the bench times something else.
    given_up: u32,
    backlog: u32,
    out: Vec<Action>,
}

impl Crowded {
    fn new(held: u32, aim: Micros) -> Crowded {
        let now = 1000 * MS;
        let mut crowded = Crowded {
            front_end: FrontEnd::new(settings(aim), 7, now),
            now,
            next: 0,
            aim,
            flights: VecDeque::new(),
            sent: HashMap::new(),
            answered: 0,
            given_up: 0,
            backlog: held,
            out: Vec::new(),
        };
        let row = |worker| Endpoint {
            worker,
            lifecycle: Lifecycle::Ready,
            zone: (worker % 3) as u8,
            cell: (worker % 12) as u16,
            capacity: 4.0,
            ..Endpoint::default()
        };
        let rows: Vec<Endpoint> = (0..WORKERS).map(row).collect();
        crowded.turn(vec![Event::Endpoints { update: EndpointUpdate::Full, endpoints: Rc::from(rows) }]);
        // Workers answer all along, or the module takes them for silent.
        for n in 0u32.. {
            crowded.now += 100;
            let mut events = vec![crowded.call()];
            if n % 4 == 0 || crowded.held() > held {
                events.extend(crowded.ending());
            }
            crowded.turn(events);
            assert!(n < 50 * held + 50_000, "no backlog came about: {} out", crowded.flights.len());
            if crowded.held() >= held && n > 300 {
                break;
            }
        }
        // All permits turn over a few times, so that profiles and beliefs stand.
        (0..500).for_each(|_| crowded.exchange());
        crowded
    }

    fn call(&mut self) -> Event {
        self.next += 1;
        // A few functions draw most calls.
        let x = u64::from(self.next).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        let share = x as f64 / (1u64 << 24) as f64;
        let function = (share.powi(3) * FUNCTIONS as f64) as u64 + 1;
        Event::Request(Request {
            id: self.next,
            class: 0,
            tenant: 0,
            function,
            budget: 3 * self.aim,
            work: None,
            memory_mb: 200.0,
            concurrency: 4.0,
            load_time: 500 * MS,
            is_repeat: false,
            accepted_at: 0,
            client_verified: true,
        })
    }

    /// The oldest attempt ends well.
    fn ending(&mut self) -> Option<Event> {
        let (request, attempt, worker) = self.flights.pop_front()?;
        self.sent.remove(&request);
        self.answered += 1;
        Some(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            worker,
            concluded: true,
            outcome: Outcome::Ok,
            copy: CopyReport { state: 1, concurrency: 0 },
            elapsed: 100 * MS,
            report: None,
        }))
    }

    /// Calls that were never sent and not abandoned.
    fn held(&self) -> u32 {
        self.next - self.answered - self.given_up - self.sent.len() as u32
    }

    fn turn(&mut self, events: Vec<Event>) {
        self.front_end.handle(self.now, &events, &mut self.out);
        for action in self.out.drain(..) {
            match action {
                Action::Send { request, worker, .. } => {
                    let tries = self.sent.entry(request).or_default();
                    self.flights.push_back((request, *tries, worker));
                    *tries += 1;
                }
                Action::Reject { .. } | Action::Fail { .. } => self.given_up += 1,
                _ => {}
            }
        }
    }

    fn exchange(&mut self) {
        self.now += 200;
        let mut events = Vec::from_iter(self.ending());
        // The backlog is kept where it stands: one call comes for each that was sent.
        if self.held() <= self.backlog {
            events.push(self.call());
        }
        self.turn(events);
    }
}

fn held(c: &mut Criterion) {
    let mut group = c.benchmark_group("held");
    group.sample_size(10).measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    for held in [10, 100, 1000, 2000, 10_000] {
        // Two events a batch.
        group.throughput(Throughput::Elements(2));
        group.bench_with_input(BenchmarkId::new("in-time", held), &held, |b, &held| {
            let mut crowded = Crowded::new(held, 3_600_000 * MS);
            b.iter_custom(|n| {
                let start = Instant::now();
                (0..n).for_each(|_| crowded.exchange());
                start.elapsed()
            });
            assert_eq!(crowded.given_up, 0, "the backlog did not stand");
        });
    }
    group.finish();
}

criterion_group!(benches, held);
criterion_main!(benches);
