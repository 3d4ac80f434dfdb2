//! Cost of a call and of an event by the number of workers, for one front end with constant traffic: 300 functions, each call
//! sent and answered before the next.
//!
//! `cargo bench -p stagehoist --bench fleet_size`

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use stagehoist::*;
use std::rc::Rc;

const MS: Micros = 1000;
const FUNCTIONS: u64 = 300;
const SIZES: [u32; 4] = [10, 100, 800, 3200];
/// Front ends of the fleet per hundred workers.
const FRONT_ENDS_PER_HUNDRED_WORKERS: u32 = 8;

fn settings(workers: u32) -> Settings {
    let class = ClassSettings {
        latency_objective: 800 * MS,
        objective_work_factor: 0.0,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_value: 0.1,
        streaming: false,
    };
    Settings {
        front_ends: (workers * FRONT_ENDS_PER_HUNDRED_WORKERS / 100).max(1),
        classes: vec![class],
        tick: MS,
        drain_grace: 250 * MS,
        overload_window: 1000 * MS,
        overload_factor: 2.0,
        start_capacity: 0.3,
        warm_up: 5000 * MS,
        max_attempts: 3,
        hedging: true,
        may_cancel: true,
        may_health_check: true,
        may_order_loads: true,
        connect_timeout: 250 * MS,
        idle_retention: 4000 * MS,
        on_miss: OnMiss::Miss,
        load_timeout: 3000 * MS,
        load_window: 10_000 * MS,
        load_free: 6.0,
        load_share: 0.1,
        memory_mb: vec![100_000.0],
        ..Settings::default()
    }
}

struct Fleet {
    front_end: FrontEnd,
    now: Micros,
    next: RequestId,
    actions: Vec<Action>,
}

impl Fleet {
    fn new(workers: u32) -> Fleet {
        let now = 1000 * MS;
        let mut fleet =
            Fleet { front_end: FrontEnd::new(settings(workers), 7, now), now, next: 0, actions: Vec::new() };
        let endpoints: Vec<Endpoint> = (0..workers).map(endpoint).collect();
        fleet.handle(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: Rc::from(endpoints) }]);
        (0..4 * FUNCTIONS).for_each(|_| fleet.call());
        fleet
    }

    fn handle(&mut self, events: &[Event]) {
        self.now += 5 * MS;
        self.actions.clear();
        self.front_end.handle(self.now, events, &mut self.actions);
    }

    /// Handles a call, and the answers to its attempts and load orders.
    fn call(&mut self) {
        self.next += 1;
        let request = Request {
            id: self.next,
            function: u64::from(self.next) % FUNCTIONS,
            budget: 1200 * MS,
            memory_mb: 64.0,
            concurrency: 4.0,
            accepted_at: self.now,
            client_verified: true,
            class: 0,
            tenant: 0,
            work: None,
            load_time: 0,
            is_repeat: false,
        };
        self.handle(&[Event::Request(request)]);
        while let Some(ends) = self.ends() {
            self.handle(&ends);
        }
    }

    fn ends(&self) -> Option<Vec<Event>> {
        let end = |action: &Action| match action {
            Action::Send { request, worker, .. } => Some(Event::AttemptEnded(AttemptEnd {
                request: *request,
                attempt: 0,
                worker: *worker,
                concluded: true,
                outcome: Outcome::Ok,
                copy: CopyReport::default(),
                elapsed: 5 * MS,
                report: None,
                connected_at: Micros::MAX,
            })),
            Action::Load { worker, function, .. } => Some(Event::Loaded {
                worker: *worker,
                function: *function,
                outcome: Outcome::Ok,
                elapsed: 60 * MS,
                copies: 1,
            }),
            _ => None,
        };
        let ends: Vec<Event> = self.actions.iter().filter_map(end).collect();
        (!ends.is_empty()).then_some(ends)
    }
}

fn endpoint(worker: WorkerId) -> Endpoint {
    Endpoint { worker, lifecycle: Lifecycle::Ready, capacity: 8.0, ..Endpoint::default() }
}

fn by_fleet_size(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fleet_size");
    for workers in SIZES {
        let mut fleet = Fleet::new(workers);
        group.bench_function(BenchmarkId::new("call", workers), |bencher| bencher.iter(|| fleet.call()));
        group
            .bench_function(BenchmarkId::new("event", workers), |bencher| bencher.iter(|| fleet.handle(&[])));
    }
    group.finish();
}

criterion_group!(benches, by_fleet_size);
criterion_main!(benches);
