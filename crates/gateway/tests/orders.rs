//! The order of inputs within a batch: a worker's drain, a caller that leaves and the ends of attempts in every order.

use bytes::Bytes;
use stagehoist::{Action, Endpoint, EndpointUpdate, Event, Lifecycle, Micros, Outcome, Settings, WorkerId};
use stagehoist_config::{parse, Config};
use stagehoist_endpoints::NumberedEndpoint;
use stagehoist_gateway::state::{
    module, Arrival, Attempt, AttemptResult, Command, Core, CoreSettings, DecisionPolicy, FunctionProperties,
    Input, Ticket,
};
use std::cell::RefCell;
use std::collections::HashMap;

const MS: Micros = 1000;
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Miss,
    Outcome::Full,
    Outcome::Error,
    Outcome::Reset,
    Outcome::ConnectFailed,
    Outcome::Superseded,
    Outcome::Timeout,
];

fn endpoint(id: WorkerId, lifecycle: Lifecycle, address: &str) -> NumberedEndpoint {
    let row = Endpoint { worker: id, kind: 0, lifecycle, zone: 0, started: 0, cell: 0, capacity: 4.0 };
    NumberedEndpoint { name: format!("w{id}"), address: address.into(), endpoint: row }
}

thread_local! {
    /// Requests of attempts that the decision module chose, and of those whose end was reported to it.
    static CHOSEN: RefCell<[Vec<u32>; 2]> = RefCell::default();
}

/// The decision module, recording which attempts it chooses and whose ends it gets.
struct RecordingPolicy(Box<dyn DecisionPolicy>);

impl DecisionPolicy for RecordingPolicy {
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        let first_new = out.len();
        self.0.handle(now, events, out);
        CHOSEN.with_borrow_mut(|[sent, ended]| {
            for event in events {
                if let Event::AttemptEnded(e) = event {
                    ended.push(e.request);
                }
            }
            for action in &out[first_new..] {
                if let Action::Send { request, .. } = action {
                    sent.push(*request);
                }
            }
        });
    }
}

fn recording_policy(settings: Settings, seed: u64, now: Micros) -> Box<dyn DecisionPolicy> {
    CHOSEN.set(Default::default());
    Box::new(RecordingPolicy(module(settings, seed, now)))
}

/// A test harness that records attempts sent and ended, calls answered and workers draining.
struct Harness {
    core: Core,
    config: Config,
    now: Micros,
    sent: HashMap<(u32, u16), Attempt>,
    ended: HashMap<(u32, u16), u32>,
    answers: HashMap<Ticket, u32>,
    /// Calls whose callers left, and those of them whose attempt had ended earlier in the same batch.
    left: Vec<Ticket>,
    crossed: Vec<Ticket>,
    tickets: HashMap<u32, Ticket>,
    leaving: Vec<WorkerId>,
    case: String,
}

impl Harness {
    fn new(effect: &str, cancel_when_gone: bool) -> Harness {
        let text = format!(
            "class record aim 800ms give-up 2500ms effect {effect}\n\
             function recurring class record memory 64MB lanes 4 load 200ms\n\
             broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n"
        );
        let config = parse("orders.conf", &text).unwrap();
        let now = 1_700_000_000_000_000;
        let settings = CoreSettings { cancel_abandoned: cancel_when_gone, ..CoreSettings::from(&config) };
        let core = Core::with(recording_policy, settings, 3, now);
        let (sent, ended, answers) = Default::default();
        let (left, crossed, tickets, leaving, case) = Default::default();
        let mut harness =
            Harness { core, config, now, sent, ended, answers, left, crossed, tickets, leaving, case };
        let listed = (1..=3).map(|id| endpoint(id, Lifecycle::Ready, &format!("10.0.0.{id}:1"))).collect();
        harness.turn(0, vec![Input::EndpointUpdate { kind: EndpointUpdate::Full, endpoints: listed }]);
        harness
    }

    fn call(&mut self, ticket: Ticket) -> Attempt {
        let arrival = Arrival {
            ticket,
            function: "recurring".into(),
            properties: FunctionProperties::configured(&self.config, "recurring").map(|f| f.0),
            tenant: 0,
            budget: 2500 * MS,
            read_at: 0,
            is_repeat: false,
            client_verified: true,
            body: Bytes::from_static(b"{}"),
            content_type: None,
            correlation: "c".into(),
            generation: None,
            identity: None,
        };
        let before: Vec<_> = self.sent.keys().copied().collect();
        self.turn(MS, vec![Input::Call(arrival)]);
        let new = self.sent.iter().find(|(key, _)| !before.contains(key));
        let attempt = new.expect("a call is sent at once").1.clone();
        self.tickets.insert(attempt.request, ticket);
        attempt
    }

    /// Processes one batch and checks that all its inputs take effect before any decision.
    fn turn(&mut self, after: Micros, mut inputs: Vec<Input>) {
        self.now += after;
        let mut ended_tickets = Vec::new();
        for input in &inputs {
            match input {
                Input::EndpointUpdate { endpoints: updated, .. } => {
                    let gone = updated.iter().filter(|t| t.endpoint.lifecycle != Lifecycle::Ready);
                    self.leaving.extend(gone.map(|t| t.endpoint.worker));
                }
                Input::ClientGone(ticket) => {
                    self.left.push(*ticket);
                    self.crossed.extend(ended_tickets.contains(ticket).then_some(*ticket));
                }
                Input::AttemptEnded { request, attempt, .. } => {
                    ended_tickets.extend(self.tickets.get(request));
                    *self.ended.entry((*request, *attempt)).or_default() += 1;
                }
                _ => {}
            }
        }
        let mut out = Vec::new();
        self.core.process(self.now, &mut inputs, &mut out);
        for command in out {
            match command {
                Command::Attempt(a) => {
                    assert!(!self.leaving.contains(&a.worker), "{}: sent to worker {}", self.case, a.worker);
                    assert!(
                        self.sent.insert((a.request, a.attempt), a).is_none(),
                        "{}: sent twice",
                        self.case
                    );
                }
                Command::Abort { request, attempt } => {
                    let was_sent = self.sent.contains_key(&(request, attempt));
                    assert!(was_sent, "{}: aborted an attempt that was never sent", self.case);
                    *self.ended.entry((request, attempt)).or_default() += 1;
                }
                Command::Answer { ticket, .. } => {
                    let left = self.left.contains(&ticket) && !self.crossed.contains(&ticket);
                    assert!(!left, "{}: answered a call whose caller had left", self.case);
                    *self.answers.entry(ticket).or_default() += 1;
                }
                Command::Load { worker, .. } | Command::HealthCheck { worker, .. } => {
                    assert!(
                        !self.leaving.contains(&worker),
                        "{}: load order or health check to draining worker {worker}",
                        self.case
                    );
                }
                _ => {}
            }
        }
    }

    /// Answers all open and later attempts successfully and lets the rest time out, then checks that every attempt ended
    /// once and every call was answered once, or not at all if its caller left.
    fn end(mut self, calls: &[Ticket]) {
        for _ in 0..300 {
            let open: Vec<_> = self
                .sent
                .iter()
                .filter(|(key, _)| !self.ended.contains_key(key))
                .map(|(_, a)| a.clone())
                .collect();
            let ended_tickets = open.iter().map(|a| end_of(a, Outcome::Ok)).collect();
            self.turn(10 * MS, ended_tickets);
        }
        let case = &self.case;
        assert_eq!((self.core.unanswered(), self.core.attempts_in_flight()), (0, 0), "{case}");
        let [mut chosen, mut reported] = CHOSEN.take();
        chosen.sort();
        reported.sort();
        assert_eq!(chosen, reported, "{case}: each chosen attempt is reported as ended once");
        assert_eq!(chosen.len(), self.sent.len(), "{case}");
        for ticket in calls {
            let answers = self.answers.get(ticket).copied().unwrap_or(0);
            let left = self.left.contains(ticket);
            assert!(answers == 1 || answers == 0 && left, "{case}: {answers} answers to call {ticket}");
        }
    }
}

fn end_of(a: &Attempt, outcome: Outcome) -> Input {
    Input::AttemptEnded {
        request: a.request,
        attempt: a.attempt,
        result: AttemptResult::without_answer(outcome),
    }
}

/// Returns all permutations of `0..n`.
fn permutations(n: usize) -> Vec<Vec<usize>> {
    let Some(last) = n.checked_sub(1) else { return vec![Vec::new()] };
    let shorter = permutations(last);
    let insert_last = |order: &Vec<usize>, at: usize| {
        let mut order = order.clone();
        order.insert(at, last);
        order
    };
    shorter.iter().flat_map(|order| (0..=last).map(move |at| insert_last(order, at))).collect()
}

/// Runs every order of the inputs, as one batch and split into two at every position. Returns the number of cases run.
fn run_every_order(
    effect: &str,
    stop: bool,
    calls: &[Ticket],
    inputs: impl Fn(&[Attempt]) -> Vec<Input>,
    case: &str,
) -> usize {
    let mut case_count = 0;
    let count = {
        let mut s = Harness::new(effect, stop);
        let sent: Vec<_> = calls.iter().map(|t| s.call(*t)).collect();
        inputs(&sent).len()
    };
    for order in permutations(count) {
        for cut in 1..=count {
            let mut s = Harness::new(effect, stop);
            s.case = format!("{case}, {effect}, stop {stop}, order {order:?}, cut at {cut}");
            let sent: Vec<_> = calls.iter().map(|t| s.call(*t)).collect();
            let mut items: Vec<Option<Input>> = inputs(&sent).into_iter().map(Some).collect();
            let mut batch: Vec<Input> = order.iter().filter_map(|&i| items[i].take()).collect();
            let second = batch.split_off(cut);
            s.turn(MS, batch);
            s.turn(0, second);
            s.end(calls);
            case_count += 1;
        }
    }
    case_count
}

#[test]
fn a_drain_a_leaving_caller_and_an_attempt_end_in_every_order_break_no_rule() {
    let mut case_count = 0;
    for effect in ["safe", "unsafe"] {
        for stop in [false, true] {
            for outcome in OUTCOMES {
                for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
                    let inputs = |sent: &[Attempt]| {
                        let a = &sent[0];
                        let changed = vec![endpoint(a.worker, lifecycle, &a.address)];
                        vec![
                            Input::EndpointUpdate { kind: EndpointUpdate::Delta, endpoints: changed },
                            Input::ClientGone(1),
                            end_of(a, outcome),
                            // The end of another call's attempt, at any worker; that call must continue at another worker.
                            end_of(&sent[1], Outcome::Miss),
                        ]
                    };
                    let case = format!("{outcome:?} {lifecycle:?}");
                    case_count += run_every_order(effect, stop, &[1, 2], inputs, &case);
                }
            }
        }
    }
    assert_eq!(case_count, 2 * 2 * 8 * 2 * 24 * 4);
}

/// A worker drains and another appears at the same address, in one batch or two, while a call's only attempt ends there. The
/// new worker must be treated as a different one.
#[test]
fn a_drained_worker_and_its_successor_at_the_same_address_are_different() {
    for outcome in [Outcome::Miss, Outcome::Reset, Outcome::ConnectFailed, Outcome::Full] {
        let inputs = |sent: &[Attempt]| {
            let a = &sent[0];
            let event =
                |changed| Input::EndpointUpdate { kind: EndpointUpdate::Delta, endpoints: vec![changed] };
            vec![
                event(endpoint(a.worker, Lifecycle::Draining, &a.address)),
                event(endpoint(a.worker, Lifecycle::Gone, &a.address)),
                event(endpoint(9, Lifecycle::Ready, &a.address)),
                end_of(a, outcome),
            ]
        };
        run_every_order("safe", true, &[1], inputs, &format!("{outcome:?}"));
    }
}

#[test]
fn every_order_is_tried() {
    let mut all = permutations(4);
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 24);
}
