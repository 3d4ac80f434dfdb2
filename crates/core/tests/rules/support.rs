//! Settings, events and a front end with a simulated clock, shared by the tests of the rules.

use stagehoist::*;
use std::rc::Rc;

pub const MS: Micros = 1000;

pub fn settings(overrides: &str) -> Settings {
    let base = "balancers=2\nclasses.count=2\nclasses.0.aim=800\nclasses.0.effect=idempotent\nclasses.0.late_worth=0.1\n\
        classes.1.aim=800\nclasses.1.effect=at_most_once\ngranularity=2\ninvariants.drain_grace=1000\n\
        invariants.fall=1000\ninvariants.overload_factor=2\ninvariants.start_capacity=0.25\n\
        invariants.warm_up=10000\nlimits.most_tries=3\nlimits.second_copies=true\nlimits.cancel=true\n\
        limits.connect_timeout=250\nspecifics.idle_life=9000\nspecifics.if_cold=load\nspecifics.load_wait=10000\n\
        specifics.ram_mb_by_kind=4000\nzone=0\n";
    // A later line overrides an earlier one with the same key.
    wire::parse_settings(&format!("{base}{overrides}")).unwrap()
}

pub fn endpoint(worker: WorkerId, lifecycle: Lifecycle, started: Micros) -> Endpoint {
    Endpoint {
        worker,
        kind: 0,
        lifecycle,
        zone: (worker % 2) as u8,
        started,
        cell: (worker % 3) as u16,
        capacity: 4.0,
    }
}

pub fn endpoint_list(form: EndpointUpdate, endpoints: Vec<Endpoint>) -> Event {
    Event::Endpoints { update: form, endpoints: Rc::from(endpoints) }
}

pub fn request(id: RequestId, class: u16, function: FunctionId) -> Event {
    Event::Request(Request {
        id,
        class,
        tenant: 0,
        function,
        budget: 2500 * MS,
        work: None,
        memory_mb: 500.0,
        concurrency: 2.0,
        load_time: 500 * MS,
        is_repeat: false,
        accepted_at: 0,
        client_verified: true,
    })
}

pub fn ended(request: RequestId, attempt: u16, worker: WorkerId, outcome: Outcome) -> Event {
    let concluded = matches!(outcome, Outcome::Ok);
    let copy_report = CopyReport { state: concluded as u8, concurrency: 0 };
    Event::AttemptEnded(AttemptEnd {
        request,
        attempt,
        worker,
        concluded,
        outcome,
        copy: copy_report,
        elapsed: 100 * MS,
        report: None,
        connected_at: Micros::MAX,
    })
}

pub struct Harness {
    pub front_end: FrontEnd,
    pub now: Micros,
}

impl Harness {
    pub fn new(overrides: &str, workers: &[WorkerId]) -> Harness {
        Harness::with(settings(overrides), workers)
    }
    pub fn with(settings: Settings, workers: &[WorkerId]) -> Harness {
        let mut harness = Harness { front_end: FrontEnd::new(settings, 7, 1000 * MS), now: 1000 * MS };
        let endpoints = workers.iter().map(|&w| endpoint(w, Lifecycle::Ready, 0)).collect();
        harness.step(0, vec![endpoint_list(EndpointUpdate::Cached, endpoints)]);
        harness
    }
    /// Runs steps of 5 ms. Each step adds the events of `calls`; each attempt ends after the time that `run` returns.
    /// Calls `sent` with the step and the request of each send.
    pub fn flow(
        &mut self,
        steps: u32,
        calls: impl Fn(u32) -> Vec<Event>,
        run: impl Fn(RequestId) -> Micros,
        mut sent: impl FnMut(u32, RequestId),
    ) {
        let mut scheduled: Vec<(Micros, Event)> = Vec::new();
        for step in 0..steps {
            let now = self.now + 5 * MS;
            let (due, rest): (Vec<_>, Vec<_>) = scheduled.into_iter().partition(|c| c.0 <= now);
            scheduled = rest;
            let events = due.into_iter().map(|c| c.1).chain(calls(step)).collect();
            for (id, worker) in sends(&self.step(5 * MS, events)) {
                let Event::AttemptEnded(e) = ended(id, 0, worker, Outcome::Ok) else { unreachable!() };
                scheduled.push((now + run(id), Event::AttemptEnded(AttemptEnd { elapsed: run(id), ..e })));
                sent(step, id);
            }
        }
    }
    pub fn step(&mut self, after: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now += after;
        let mut out = Vec::new();
        self.front_end.handle(self.now, &events, &mut out);
        out
    }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, WorkerId)> {
    let send = |a: &Action| match a {
        Action::Send { request, worker, .. } => Some((*request, *worker)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn has_failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}
