//! The order of inputs within one batch: the event of a drain, the client's leaving and the ends of attempts in every order.

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

fn told(id: WorkerId, lifecycle: Lifecycle, address: &str) -> NumberedEndpoint {
    let row = Endpoint { worker: id, kind: 0, lifecycle, zone: 0, started: 0, cell: 0, capacity: 4.0 };
    NumberedEndpoint { name: format!("w{id}"), address: address.into(), endpoint: row }
}

thread_local! {
    /// Attempts that the module chose, and those whose end was reported to it.
    static CHOSEN: RefCell<[Vec<u32>; 2]> = RefCell::default();
}

/// The module, with notes of what it is given and what it chooses.
struct Noted(Box<dyn DecisionPolicy>);

impl DecisionPolicy for Noted {
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        let from = out.len();
        self.0.handle(now, events, out);
        CHOSEN.with_borrow_mut(|[sent, ended]| {
            for event in events {
                if let Event::AttemptEnded(e) = event {
                    ended.push(e.request);
                }
            }
            for action in &out[from..] {
                if let Action::Send { request, .. } = action {
                    sent.push(*request);
                }
            }
        });
    }
}

fn noted(settings: Settings, seed: u64, now: Micros) -> Box<dyn DecisionPolicy> {
    CHOSEN.set(Default::default());
    Box::new(Noted(module(settings, seed, now)))
}

/// What crossed between core and sockets: attempts sent and ended, calls answered, workers that drain.
struct Stage {
    core: Core,
    config: Config,
    now: Micros,
    sent: HashMap<(u32, u16), Attempt>,
    ended: HashMap<(u32, u16), u32>,
    answers: HashMap<Ticket, u32>,
    /// Callers that left, and of those the ones whose attempt had ended before in the same batch.
    left: Vec<Ticket>,
    crossed: Vec<Ticket>,
    tickets: HashMap<u32, Ticket>,
    leaving: Vec<WorkerId>,
    case: String,
}

impl Stage {
    fn new(effect: &str, stop_when_gone: bool) -> Stage {
        let text = format!(
            "class record aim 800ms give-up 2500ms effect {effect}\n\
             function recurring class record memory 64MB lanes 4 load 200ms\n\
             broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n"
        );
        let config = parse("orders.conf", &text).unwrap();
        let now = 1_700_000_000_000_000;
        let figures = CoreSettings { cancel_abandoned: stop_when_gone, ..CoreSettings::from(&config) };
        let core = Core::with(noted, figures, 3, now);
        let (sent, ended, answers) = Default::default();
        let (left, crossed, tickets, leaving, case) = Default::default();
        let mut stage =
            Stage { core, config, now, sent, ended, answers, left, crossed, tickets, leaving, case };
        let told = (1..=3).map(|id| told(id, Lifecycle::Ready, &format!("10.0.0.{id}:1"))).collect();
        stage.turn(0, vec![Input::EndpointUpdate { kind: EndpointUpdate::Full, endpoints: told }]);
        stage
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

    /// One batch, checked: all that is reported in it counts before anything is chosen.
    fn turn(&mut self, after: Micros, mut news: Vec<Input>) {
        self.now += after;
        let mut over = Vec::new();
        for item in &news {
            match item {
                Input::EndpointUpdate { endpoints: told, .. } => {
                    let gone = told.iter().filter(|t| t.endpoint.lifecycle != Lifecycle::Ready);
                    self.leaving.extend(gone.map(|t| t.endpoint.worker));
                }
                Input::ClientGone(ticket) => {
                    self.left.push(*ticket);
                    self.crossed.extend(over.contains(ticket).then_some(*ticket));
                }
                Input::AttemptEnded { request, attempt, .. } => {
                    over.extend(self.tickets.get(request));
                    *self.ended.entry((*request, *attempt)).or_default() += 1;
                }
                _ => {}
            }
        }
        let mut out = Vec::new();
        self.core.process(self.now, &mut news, &mut out);
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
                    let stopped = self.sent.contains_key(&(request, attempt));
                    assert!(stopped, "{}: stopped what was never sent", self.case);
                    *self.ended.entry((request, attempt)).or_default() += 1;
                }
                Command::Answer { ticket, .. } => {
                    let left = self.left.contains(&ticket) && !self.crossed.contains(&ticket);
                    assert!(!left, "{}: answered one that had left", self.case);
                    *self.answers.entry(ticket).or_default() += 1;
                }
                Command::Load { worker, .. } | Command::HealthCheck { worker, .. } => {
                    assert!(!self.leaving.contains(&worker), "{}: told worker {worker}", self.case);
                }
                _ => {}
            }
        }
    }

    /// All later attempts are answered well; the rest by time. Then the books must be even.
    fn end(mut self, calls: &[Ticket]) {
        for _ in 0..300 {
            let open: Vec<_> = self
                .sent
                .iter()
                .filter(|(key, _)| !self.ended.contains_key(key))
                .map(|(_, a)| a.clone())
                .collect();
            let over = open.iter().map(|a| end_of(a, Outcome::Ok)).collect();
            self.turn(10 * MS, over);
        }
        let case = &self.case;
        assert_eq!((self.core.unanswered(), self.core.attempts_in_flight()), (0, 0), "{case}");
        let [mut chosen, mut told] = CHOSEN.take();
        chosen.sort();
        told.sort();
        assert_eq!(chosen, told, "{case}: each attempt that was chosen is told to have ended once");
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

/// All orders of `n` items.
fn orders(n: usize) -> Vec<Vec<usize>> {
    let Some(last) = n.checked_sub(1) else { return vec![Vec::new()] };
    let shorter = orders(last);
    let with = |order: &Vec<usize>, at: usize| {
        let mut order = order.clone();
        order.insert(at, last);
        order
    };
    shorter.iter().flat_map(|order| (0..=last).map(move |at| with(order, at))).collect()
}

/// Every order of these inputs, cut into one batch or two at every place.
fn every_order(
    effect: &str,
    stop: bool,
    calls: &[Ticket],
    news: impl Fn(&[Attempt]) -> Vec<Input>,
    case: &str,
) -> usize {
    let mut played = 0;
    let count = {
        let mut s = Stage::new(effect, stop);
        let sent: Vec<_> = calls.iter().map(|t| s.call(*t)).collect();
        news(&sent).len()
    };
    for order in orders(count) {
        for cut in 1..=count {
            let mut s = Stage::new(effect, stop);
            s.case = format!("{case}, {effect}, stop {stop}, order {order:?}, cut at {cut}");
            let sent: Vec<_> = calls.iter().map(|t| s.call(*t)).collect();
            let mut items: Vec<Option<Input>> = news(&sent).into_iter().map(Some).collect();
            let mut batch: Vec<Input> = order.iter().filter_map(|&i| items[i].take()).collect();
            let second = batch.split_off(cut);
            s.turn(MS, batch);
            s.turn(0, second);
            s.end(calls);
            played += 1;
        }
    }
    played
}

#[test]
fn a_drain_a_leaving_and_an_end_in_every_order_break_no_rule() {
    let mut played = 0;
    for effect in ["safe", "unsafe"] {
        for stop in [false, true] {
            for outcome in OUTCOMES {
                for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
                    let news = |sent: &[Attempt]| {
                        let a = &sent[0];
                        let told = vec![told(a.worker, lifecycle, &a.address)];
                        vec![
                            Input::EndpointUpdate { kind: EndpointUpdate::Delta, endpoints: told },
                            Input::ClientGone(1),
                            end_of(a, outcome),
                            // The end of another call, at whichever worker, that must go on elsewhere.
                            end_of(&sent[1], Outcome::Miss),
                        ]
                    };
                    let case = format!("{outcome:?} {lifecycle:?}");
                    played += every_order(effect, stop, &[1, 2], news, &case);
                }
            }
        }
    }
    assert_eq!(played, 2 * 2 * 8 * 2 * 24 * 4);
}

/// A drain of one worker and another at its address, while a call's only attempt ends there: the silence of the list between
/// them is one batch or two, and the new one is a worker of its own.
#[test]
fn a_drained_worker_and_its_successor_at_one_address_are_two() {
    for outcome in [Outcome::Miss, Outcome::Reset, Outcome::ConnectFailed, Outcome::Full] {
        let news = |sent: &[Attempt]| {
            let a = &sent[0];
            let event = |told| Input::EndpointUpdate { kind: EndpointUpdate::Delta, endpoints: vec![told] };
            vec![
                event(told(a.worker, Lifecycle::Draining, &a.address)),
                event(told(a.worker, Lifecycle::Gone, &a.address)),
                event(told(9, Lifecycle::Ready, &a.address)),
                end_of(a, outcome),
            ]
        };
        every_order("safe", true, &[1], news, &format!("{outcome:?}"));
    }
}

#[test]
fn every_order_is_tried() {
    let mut all = orders(4);
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 24);
}
