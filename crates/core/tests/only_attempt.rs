//! One attempt per call, with workers that answer a miss and do not load: the call that gets the miss is lost, and later
//! calls are served. The simulated workers hold copies, complete ordered loads within a second and answer all attempts;
//! the clock is simulated.

use stagehoist::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const MS: Micros = 1000;
const RUN: Micros = 60 * MS;
const LOAD: Micros = 300 * MS;
const FUNCTION: FunctionId = 77;

fn settings(overrides: &str) -> Settings {
    let base = "balancers=2\nclasses.count=1\nclasses.0.aim=400\nclasses.0.effect=idempotent\n\
        classes.0.late_worth=0.2\ngranularity=2\ninvariants.drain_grace=250\nlimits.most_tries=1\n\
        limits.connect_timeout=250\nspecifics.idle_life=9000\nspecifics.if_cold=miss\nspecifics.load_wait=10000\n\
        specifics.placement_calls=true\nspecifics.loads_within=10000\nspecifics.load_free=6\n\
        specifics.load_part=0.1\nspecifics.ram_mb_by_kind=4000\nzone=0\n";
    // A later line overrides an earlier one with the same key.
    wire::parse_settings(&format!("{base}{overrides}")).unwrap()
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallOutcome {
    Served(WorkerId, Micros),
    Missed(WorkerId),
    Rejected,
}

/// Several front ends and the workers that they share.
struct Fixture {
    front_ends: Vec<FrontEnd>,
    now: Micros,
    copies: BTreeSet<(WorkerId, FunctionId)>,
    scheduled: Vec<(Micros, usize, Event)>,
    /// Load orders: time, front end, worker and function.
    orders: Vec<(Micros, usize, WorkerId, FunctionId)>,
    sends: BTreeMap<RequestId, Vec<WorkerId>>,
    outcomes: BTreeMap<RequestId, CallOutcome>,
}

impl Fixture {
    fn new(front_ends: u64, settings: Settings) -> Fixture {
        let now = 1000 * MS;
        let new = |seed| FrontEnd::new(settings.clone(), seed, now);
        let (orders, sends, outcomes) = Default::default();
        let mut fixture = Fixture {
            front_ends: (0..front_ends).map(new).collect(),
            now,
            copies: BTreeSet::new(),
            scheduled: Vec::new(),
            orders,
            sends,
            outcomes,
        };
        let endpoint =
            |worker| Endpoint { worker, lifecycle: Lifecycle::Ready, capacity: 4.0, ..Default::default() };
        let endpoints: Rc<[Endpoint]> = (1..=5).map(endpoint).collect();
        for f in 0..fixture.front_ends.len() {
            fixture
                .handle(f, Event::Endpoints { update: EndpointUpdate::Cached, endpoints: endpoints.clone() });
        }
        fixture
    }

    fn handle(&mut self, f: usize, event: Event) {
        let mut out = Vec::new();
        self.front_ends[f].handle(self.now, &[event], &mut out);
        for action in out {
            self.handle_action(f, action);
        }
    }

    fn handle_action(&mut self, f: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Send { request, worker, .. } => {
                let attempts = self.sends.entry(request).or_default();
                attempts.push(worker);
                let has_copy = self.copies.contains(&(worker, FUNCTION));
                let (outcome, elapsed_time) =
                    if has_copy { (Outcome::Ok, RUN) } else { (Outcome::Miss, 2 * MS) };
                let ended = AttemptEnd {
                    request,
                    attempt: attempts.len() as u16 - 1,
                    worker,
                    concluded: has_copy,
                    outcome,
                    copy: CopyReport { state: has_copy as u8, concurrency: 0 },
                    elapsed: elapsed_time,
                    report: None,
                    connected_at: Micros::MAX,
                };
                let end = if has_copy {
                    CallOutcome::Served(worker, now + elapsed_time)
                } else {
                    CallOutcome::Missed(worker)
                };
                self.outcomes.insert(request, end);
                self.scheduled.push((now + elapsed_time, f, Event::AttemptEnded(ended)));
            }
            Action::Reject { request, .. } => {
                // A call that got a miss keeps that outcome, as the rejection follows from the miss.
                self.outcomes.entry(request).or_insert(CallOutcome::Rejected);
            }
            Action::Load { worker, function, copies, .. } => {
                assert_eq!(copies, 1);
                self.orders.push((now, f, worker, function));
                let has_copy = self.copies.contains(&(worker, function));
                let elapsed_time = if has_copy { 2 * MS } else { LOAD };
                let outcome = Outcome::Ok;
                self.scheduled.push((
                    now + elapsed_time,
                    f,
                    Event::Loaded { worker, function, outcome, elapsed: elapsed_time, copies },
                ));
            }
            Action::SetTimer { after, token } => {
                self.scheduled.push((now + after, f, Event::Timer { token }))
            }
            Action::Fail { request } => panic!("request {request} failed although it may be rejected"),
            _ => {}
        }
    }

    /// Advances the clock by `span`, event by event.
    fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        for _ in 0..10_000 {
            self.scheduled.sort_by_key(|c| c.0);
            if self.scheduled.first().is_none_or(|c| c.0 > until) {
                self.now = until;
                return;
            }
            let (at, f, event) = self.scheduled.remove(0);
            self.now = at;
            if let Event::Loaded { worker, function, .. } = event {
                self.copies.insert((worker, function));
            }
            self.handle(f, event);
        }
        panic!("too many events in one time span");
    }

    fn call(&mut self, f: usize, id: RequestId) {
        let request = Request {
            id,
            class: 0,
            tenant: 0,
            function: FUNCTION,
            budget: 1500 * MS,
            work: None,
            memory_mb: 500.0,
            concurrency: 4.0,
            load_time: LOAD,
            is_repeat: false,
            accepted_at: 0,
            client_verified: true,
        };
        self.handle(f, Event::Request(request));
    }
}

#[test]
fn a_miss_of_the_only_attempt_orders_a_load_at_the_worker_and_later_calls_are_served_there() {
    let mut fixture = Fixture::new(1, settings(""));
    fixture.call(0, 1);
    fixture.advance(10 * MS);
    let Some(&CallOutcome::Missed(preferred_worker)) = fixture.outcomes.get(&1) else {
        panic!("{:?}", fixture.outcomes)
    };
    assert_eq!(fixture.orders, [(1002 * MS, 0, preferred_worker, FUNCTION)]);
    // A call during the load waits for the copy and is not sent to another worker that also lacks it.
    fixture.call(0, 2);
    fixture.advance(LOAD);
    assert_eq!(
        fixture.outcomes.get(&2),
        Some(&CallOutcome::Served(preferred_worker, 1002 * MS + LOAD + RUN))
    );
    (3..20).for_each(|id| {
        fixture.call(0, id);
        fixture.advance(100 * MS);
        assert!(
            matches!(fixture.outcomes[&id], CallOutcome::Served(w, _) if w == preferred_worker),
            "{id}: {:?}",
            fixture.outcomes[&id]
        );
    });
    assert!(fixture.sends.values().all(|s| s.len() == 1));
    assert_eq!(fixture.orders.len(), 1);
}

#[test]
fn a_front_end_without_observations_finds_the_copy_that_another_had_loaded() {
    let mut fixture = Fixture::new(6, settings("balancers=6\n"));
    fixture.call(0, 1);
    fixture.advance(10 * MS + LOAD);
    let Some(&CallOutcome::Missed(preferred_worker)) = fixture.outcomes.get(&1) else {
        panic!("{:?}", fixture.outcomes)
    };
    for f in 1..6 {
        fixture.call(f, 10 + f as RequestId);
        fixture.advance(100 * MS);
    }
    let served = (11..16)
        .filter(|id| matches!(fixture.outcomes[id], CallOutcome::Served(w, _) if w == preferred_worker))
        .count();
    assert_eq!((served, fixture.orders.len()), (5, 1));
}

#[test]
fn no_load_is_ordered_beyond_the_budget_or_if_orders_are_not_allowed() {
    for overrides in ["specifics.load_free=0\nspecifics.load_part=0\n", "specifics.placement_calls=false\n"] {
        let mut fixture = Fixture::new(1, settings(overrides));
        (1..20).for_each(|id| {
            fixture.call(0, id);
            fixture.advance(2000 * MS);
        });
        assert_eq!(fixture.orders, [], "{overrides}");
        assert_eq!(fixture.outcomes.len(), 19);
    }
}

/// Rule 5: an order that counts as lost may still arrive, so the same order must not be sent again.
#[test]
fn an_order_that_may_still_arrive_is_not_sent_again() {
    let base_settings = settings("specifics.load_wait=1000\n");
    let mut fixture = Fixture::new(1, Settings { load_delay: 9000 * MS, ..base_settings });
    for id in 1..40 {
        fixture.call(0, id);
        fixture.advance(200 * MS);
        // The order's answer is lost.
        fixture.scheduled.retain(|c| !matches!(c.2, Event::Loaded { .. }));
    }
    let distinct: BTreeSet<_> = fixture.orders.iter().map(|o| (o.2, o.3)).collect();
    assert_eq!(distinct.len(), fixture.orders.len(), "{:?}", fixture.orders);
    assert!(distinct.len() > 1);
}
