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

fn settings(more: &str) -> Settings {
    let base = "balancers=2\nclasses.count=1\nclasses.0.aim=400\nclasses.0.effect=idempotent\n\
        classes.0.late_worth=0.2\ngranularity=2\ninvariants.drain_grace=250\nlimits.most_tries=1\n\
        limits.connect_timeout=250\nspecifics.idle_life=9000\nspecifics.if_cold=miss\nspecifics.load_wait=10000\n\
        specifics.placement_calls=true\nspecifics.loads_within=10000\nspecifics.load_free=6\n\
        specifics.load_part=0.1\nspecifics.ram_mb_by_kind=4000\nzone=0\n";
    // A later line overrides an earlier one with the same key.
    wire::parse_settings(&format!("{base}{more}")).unwrap()
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Served(WorkerId, Micros),
    Missed(WorkerId),
    Refused,
}

/// Several front ends and the workers that they share.
struct Fixture {
    front_ends: Vec<FrontEnd>,
    now: Micros,
    copies: BTreeSet<(WorkerId, FunctionId)>,
    coming: Vec<(Micros, usize, Event)>,
    /// Load orders: time, front end, worker and function.
    orders: Vec<(Micros, usize, WorkerId, FunctionId)>,
    sends: BTreeMap<RequestId, Vec<WorkerId>>,
    ends: BTreeMap<RequestId, End>,
}

impl Fixture {
    fn new(front_ends: u64, settings: Settings) -> Fixture {
        let now = 1000 * MS;
        let new = |seed| FrontEnd::new(settings.clone(), seed, now);
        let (orders, sends, ends) = Default::default();
        let mut stage = Fixture {
            front_ends: (0..front_ends).map(new).collect(),
            now,
            copies: BTreeSet::new(),
            coming: Vec::new(),
            orders,
            sends,
            ends,
        };
        let row =
            |worker| Endpoint { worker, lifecycle: Lifecycle::Ready, capacity: 4.0, ..Default::default() };
        let rows: Rc<[Endpoint]> = (1..=5).map(row).collect();
        for f in 0..stage.front_ends.len() {
            stage.handle(f, Event::Endpoints { update: EndpointUpdate::Cached, endpoints: rows.clone() });
        }
        stage
    }

    fn handle(&mut self, f: usize, event: Event) {
        let mut out = Vec::new();
        self.front_ends[f].handle(self.now, &[event], &mut out);
        for action in out {
            self.act(f, action);
        }
    }

    fn act(&mut self, f: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Send { request, worker, .. } => {
                let attempts = self.sends.entry(request).or_default();
                attempts.push(worker);
                let stands = self.copies.contains(&(worker, FUNCTION));
                let (outcome, took) = if stands { (Outcome::Ok, RUN) } else { (Outcome::Miss, 2 * MS) };
                let ended = AttemptEnd {
                    request,
                    attempt: attempts.len() as u16 - 1,
                    worker,
                    concluded: stands,
                    outcome,
                    copy: CopyReport { state: stands as u8, concurrency: 0 },
                    elapsed: took,
                    report: None,
                };
                let end = if stands { End::Served(worker, now + took) } else { End::Missed(worker) };
                self.ends.insert(request, end);
                self.coming.push((now + took, f, Event::AttemptEnded(ended)));
            }
            Action::Reject { request, .. } => {
                // A call that got a miss keeps that outcome, as the rejection follows from the miss.
                self.ends.entry(request).or_insert(End::Refused);
            }
            Action::Load { worker, function, copies, .. } => {
                assert_eq!(copies, 1);
                self.orders.push((now, f, worker, function));
                let stands = self.copies.contains(&(worker, function));
                let took = if stands { 2 * MS } else { LOAD };
                let outcome = Outcome::Ok;
                self.coming.push((
                    now + took,
                    f,
                    Event::Loaded { worker, function, outcome, elapsed: took, copies },
                ));
            }
            Action::SetTimer { after, token } => self.coming.push((now + after, f, Event::Timer { token })),
            Action::Fail { request } => panic!("request {request} failed although it may be rejected"),
            _ => {}
        }
    }

    /// Advances the clock by `span`, event by event.
    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        for _ in 0..10_000 {
            self.coming.sort_by_key(|c| c.0);
            if self.coming.first().is_none_or(|c| c.0 > until) {
                self.now = until;
                return;
            }
            let (at, f, event) = self.coming.remove(0);
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
fn a_miss_of_the_only_attempt_orders_a_load_there_and_later_calls_are_served_from_it() {
    let mut stage = Fixture::new(1, settings(""));
    stage.call(0, 1);
    stage.pass(10 * MS);
    let Some(&End::Missed(home)) = stage.ends.get(&1) else { panic!("{:?}", stage.ends) };
    assert_eq!(stage.orders, [(1002 * MS, 0, home, FUNCTION)]);
    // A call during the load waits for the copy and is not sent to another worker that also lacks it.
    stage.call(0, 2);
    stage.pass(LOAD);
    assert_eq!(stage.ends.get(&2), Some(&End::Served(home, 1002 * MS + LOAD + RUN)));
    (3..20).for_each(|id| {
        stage.call(0, id);
        stage.pass(100 * MS);
        assert!(matches!(stage.ends[&id], End::Served(w, _) if w == home), "{id}: {:?}", stage.ends[&id]);
    });
    assert!(stage.sends.values().all(|s| s.len() == 1));
    assert_eq!(stage.orders.len(), 1);
}

#[test]
fn a_front_end_that_knows_nothing_finds_the_copy_that_another_had_loaded() {
    let mut stage = Fixture::new(6, settings("balancers=6\n"));
    stage.call(0, 1);
    stage.pass(10 * MS + LOAD);
    let Some(&End::Missed(home)) = stage.ends.get(&1) else { panic!("{:?}", stage.ends) };
    for f in 1..6 {
        stage.call(f, 10 + f as RequestId);
        stage.pass(100 * MS);
    }
    let served = (11..16).filter(|id| matches!(stage.ends[id], End::Served(w, _) if w == home)).count();
    assert_eq!((served, stage.orders.len()), (5, 1));
}

#[test]
fn nothing_is_ordered_beyond_the_ration_or_where_orders_are_not_allowed() {
    for more in ["specifics.load_free=0\nspecifics.load_part=0\n", "specifics.placement_calls=false\n"] {
        let mut stage = Fixture::new(1, settings(more));
        (1..20).for_each(|id| {
            stage.call(0, id);
            stage.pass(2000 * MS);
        });
        assert_eq!(stage.orders, [], "{more}");
        assert_eq!(stage.ends.len(), 19);
    }
}

/// Rule 5: an order that counts as lost may still arrive, so the same order must not be sent again.
#[test]
fn an_order_that_may_yet_arrive_is_not_given_again() {
    let told = settings("specifics.load_wait=1000\n");
    let mut stage = Fixture::new(1, Settings { load_delay: 9000 * MS, ..told });
    for id in 1..40 {
        stage.call(0, id);
        stage.pass(200 * MS);
        // The order's answer is lost.
        stage.coming.retain(|c| !matches!(c.2, Event::Loaded { .. }));
    }
    let distinct: BTreeSet<_> = stage.orders.iter().map(|o| (o.2, o.3)).collect();
    assert_eq!(distinct.len(), stage.orders.len(), "{:?}", stage.orders);
    assert!(distinct.len() > 1);
}
