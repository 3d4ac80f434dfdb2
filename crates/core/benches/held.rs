//! Cost of a batch while many calls are held: 100 workers, 100 front ends, all capacity in use. Each batch is one arriving
//! call and one ending attempt, as in a front end at capacity with a constant backlog.
//!
//! `cargo bench -p stagehoist --bench held`; `-- --save-baseline NAME` on one version and `-- --baseline NAME` on
//! another compare two versions.

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

/// A front end whose workers are all at capacity, with a backlog of held calls.
struct Backlogged {
    front_end: FrontEnd,
    now: Micros,
    next: RequestId,
    aim: Micros,
    in_flight: VecDeque<(RequestId, u16, WorkerId)>,
    sent: HashMap<RequestId, u16>,
    answered: u32,
    /// Rejected and failed calls. The backlog must stay constant, or the bench measures something else.
    rejected: u32,
    backlog: u32,
    out: Vec<Action>,
}

impl Backlogged {
    fn new(held: u32, aim: Micros) -> Backlogged {
        let now = 1000 * MS;
        let mut backlogged = Backlogged {
            front_end: FrontEnd::new(settings(aim), 7, now),
            now,
            next: 0,
            aim,
            in_flight: VecDeque::new(),
            sent: HashMap::new(),
            answered: 0,
            rejected: 0,
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
        backlogged.handle_events(vec![Event::Endpoints {
            update: EndpointUpdate::Full,
            endpoints: Rc::from(rows),
        }]);
        // Workers answer throughout, or the module would treat them as unresponsive.
        for n in 0u32.. {
            backlogged.now += 100;
            let mut events = vec![backlogged.call()];
            if n % 4 == 0 || backlogged.held() > held {
                events.extend(backlogged.end_oldest());
            }
            backlogged.handle_events(events);
            assert!(
                n < 50 * held + 50_000,
                "no backlog built up: {} attempts in flight",
                backlogged.in_flight.len()
            );
            if backlogged.held() >= held && n > 300 {
                break;
            }
        }
        // All workers complete a few rounds of calls, so that profiles and estimates are stable.
        (0..500).for_each(|_| backlogged.run_batch());
        backlogged
    }

    fn call(&mut self) -> Event {
        self.next += 1;
        // A few functions get most calls.
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

    /// Returns the successful end of the oldest attempt.
    fn end_oldest(&mut self) -> Option<Event> {
        let (request, attempt, worker) = self.in_flight.pop_front()?;
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
            connected_at: Micros::MAX,
        }))
    }

    /// Returns the number of calls that were neither sent nor rejected.
    fn held(&self) -> u32 {
        self.next - self.answered - self.rejected - self.sent.len() as u32
    }

    fn handle_events(&mut self, events: Vec<Event>) {
        self.front_end.handle(self.now, &events, &mut self.out);
        for action in self.out.drain(..) {
            match action {
                Action::Send { request, worker, .. } => {
                    let attempts = self.sent.entry(request).or_default();
                    self.in_flight.push_back((request, *attempts, worker));
                    *attempts += 1;
                }
                Action::Reject { .. } | Action::Fail { .. } => self.rejected += 1,
                _ => {}
            }
        }
    }

    fn run_batch(&mut self) {
        self.now += 200;
        let mut events = Vec::from_iter(self.end_oldest());
        // Keep the backlog constant: one call arrives for each that was sent.
        if self.held() <= self.backlog {
            events.push(self.call());
        }
        self.handle_events(events);
    }
}

fn held(c: &mut Criterion) {
    let mut group = c.benchmark_group("held");
    group.sample_size(10).measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    for held in [10, 100, 1000, 2000, 10_000] {
        // Two events per batch.
        group.throughput(Throughput::Elements(2));
        group.bench_with_input(BenchmarkId::new("in-time", held), &held, |b, &held| {
            let mut backlogged = Backlogged::new(held, 3_600_000 * MS);
            b.iter_custom(|n| {
                let start = Instant::now();
                (0..n).for_each(|_| backlogged.run_batch());
                start.elapsed()
            });
            assert_eq!(backlogged.rejected, 0, "the backlog was not constant");
        });
    }
    group.finish();
}

criterion_group!(benches, held);
criterion_main!(benches);
