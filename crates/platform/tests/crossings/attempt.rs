//! Drives one attempt through executor connections, the state and the module, with every event that can affect it.

use stagehoist::{Action, Endpoint, EndpointUpdate, Event, Lifecycle, Micros};
use stagehoist_endpoints::NumberedEndpoint as Row;
use stagehoist_gateway::state::{module, Arrival, Command, Core, DecisionPolicy, FunctionProperties, Input};
use stagehoist_platform::connection::{Closure, ConnectionState, Exchange, RunRequest};
use stagehoist_platform::PlatformSettings;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};

const MS: Micros = 1000;
const START: Micros = 1_700_000_000_000_000;
const ID: u64 = 0x9b1f_03aa_5c7e_2d41;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The socket accepts all queued bytes.
    Write,
    Answer,
    Again,
    Gone,
    /// The call's deadline passes.
    Cut,
    Reset,
    /// The executor starts to drain.
    Drain,
}

use Step::*;

/// Number of ends of each attempt.
type Ends = BTreeMap<(u32, u16), usize>;

thread_local! {
    /// Number of sends, and the ends, as seen by the module.
    static SEEN: RefCell<(usize, Ends)> = RefCell::default();
}

struct Watched(Box<dyn DecisionPolicy>);

impl DecisionPolicy for Watched {
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        SEEN.with_borrow_mut(|(_, ends)| {
            for event in events {
                if let Event::AttemptEnded(e) = event {
                    *ends.entry((e.request, e.attempt)).or_default() += 1;
                }
            }
        });
        let from = out.len();
        self.0.handle(now, events, out);
        let sends = out[from..].iter().filter(|a| matches!(a, Action::Send { .. })).count();
        SEEN.with_borrow_mut(|seen| seen.0 += sends);
    }
}

pub struct Stage {
    core: Core,
    now: Micros,
    lines: BTreeMap<u32, ConnectionState>,
    /// The executor of the first attempt, whose request is queued for writing.
    first: Option<u32>,
    in_flight: HashMap<(u32, u16), u32>,
    answers: usize,
    pub runs: usize,
    /// Number of attempts that the state sent after the call had ended.
    after: usize,
    over: bool,
}

fn rows(lifecycle: Lifecycle, workers: &[u32]) -> Vec<Row> {
    let row =
        |w: u32| Endpoint { worker: w, kind: 0, lifecycle, zone: 0, started: 0, cell: 0, capacity: 4.0 };
    workers
        .iter()
        .map(|w| Row { name: format!("s-{w:08x}"), address: format!("h{w}:1"), endpoint: row(*w) })
        .collect()
}

impl Stage {
    pub fn new(class: u16) -> Stage {
        SEEN.take();
        let settings = PlatformSettings::parse(include_str!("../config.json")).unwrap();
        let decider =
            |settings, seed, now| Box::new(Watched(module(settings, seed, now))) as Box<dyn DecisionPolicy>;
        let mut stage = Stage {
            core: Core::with(decider, settings.core_settings(), 3, START),
            now: START,
            lines: BTreeMap::new(),
            first: None,
            in_flight: HashMap::new(),
            answers: 0,
            runs: 0,
            after: 0,
            over: false,
        };
        stage.turn(vec![Input::EndpointUpdate {
            kind: EndpointUpdate::Full,
            endpoints: rows(Lifecycle::Ready, &[1, 2, 3]),
        }]);
        let properties = FunctionProperties {
            id: 7,
            class,
            work: Some(8 * MS),
            memory_mb: 64.0,
            concurrency: 1.0,
            load_time: 50 * MS,
        };
        stage.turn(vec![Input::Call(Arrival {
            ticket: 1,
            function: "7f3a9c21e0b4d655".into(),
            properties: Some(properties),
            tenant: 0,
            budget: 1500 * MS,
            read_at: 0,
            is_repeat: false,
            client_verified: true,
            body: bytes::Bytes::from_static(b"body"),
            content_type: None,
            correlation: format!("{ID:016x}").into(),
            generation: None,
            identity: None,
        })]);
        assert!(stage.first.is_some(), "the attempt was not sent at once");
        stage
    }

    fn write(&mut self, worker: u32) {
        let Some(conn) = self.lines.get_mut(&worker) else { return };
        let mut bytes = Vec::new();
        conn.fill_write(&mut bytes, self.now);
        conn.on_written(bytes.len(), self.now);
        self.runs += String::from_utf8_lossy(&bytes).matches("RUN ").count();
    }

    fn remove_ended(&mut self, inputs: &[Input]) {
        for item in inputs {
            if let Input::AttemptEnded { request, attempt, .. } = item {
                self.in_flight.remove(&(*request, *attempt));
            }
        }
    }

    /// Performs a step; the resulting inputs are added for the next batch.
    pub fn step(&mut self, step: Step, inputs: &mut Vec<Input>) {
        let (first, now, mut results) = (self.first.unwrap(), self.now, Vec::new());
        let conn = self.lines.get_mut(&first).unwrap();
        match step {
            Write => self.write(first),
            Answer | Again => {
                let text = format!("{ID:016x} OK - 2\r\nhi\r\n");
                conn.receive(text.as_bytes(), (now, now), &[], &mut results).unwrap();
            }
            Gone => inputs.push(Input::ClientGone(1)),
            Cut => self.now = START + 2000 * MS,
            Reset => {
                conn.end(Closure::Broken, now, &mut results);
                *conn = ConnectionState::new(now);
            }
            Drain => {
                conn.withdraw(now, &mut results);
                let listed = rows(Lifecycle::Draining, &[first]);
                results.push(Input::EndpointUpdate { kind: EndpointUpdate::Delta, endpoints: listed });
            }
        }
        self.remove_ended(&results);
        inputs.append(&mut results);
    }

    pub fn turn(&mut self, mut inputs: Vec<Input>) {
        self.now += 1;
        let mut out = Vec::new();
        for n in 0.. {
            assert!(n < 50, "the batches do not end");
            let gone = inputs.iter().any(|n| matches!(n, Input::ClientGone(_)));
            self.core.process(self.now, &mut inputs, &mut out);
            for command in out.drain(..) {
                self.execute(command, &mut inputs);
            }
            self.over |= gone;
            if inputs.is_empty() && self.core.due().is_none_or(|d| d > self.now) {
                return;
            }
        }
    }

    fn execute(&mut self, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Answer { .. } => (self.answers, self.over) = (self.answers + 1, true),
            Command::Attempt(a) => {
                self.after += usize::from(self.over);
                let exchange = Exchange::Attempt { request: a.request, attempt: a.attempt };
                let run = RunRequest { class: "look", function: &a.function, deadline: a.deadline };
                let conn = self.lines.entry(a.worker).or_insert_with(|| ConnectionState::new(START));
                if !conn.send_request((ID, &a.correlation), &run, &a.body, exchange, self.now) {
                    let result =
                        stagehoist_gateway::state::AttemptResult::without_answer(stagehoist::Outcome::Full);
                    return inputs.push(Input::AttemptEnded {
                        request: a.request,
                        attempt: a.attempt,
                        result,
                    });
                }
                self.in_flight.insert((a.request, a.attempt), a.worker);
                if self.first.is_none() {
                    self.first = Some(a.worker);
                } else {
                    self.write(a.worker);
                }
            }
            Command::Abort { request, attempt } => {
                let Some(worker) = self.in_flight.remove(&(request, attempt)) else { return };
                let conn = self.lines.get_mut(&worker).unwrap();
                if conn.abandon(ID, &format!("{ID:016x}"), self.now, 250 * MS) {
                    conn.end(Closure::ProtocolViolated, self.now, inputs);
                }
            }
            _ => {}
        }
    }

    /// Ends all connections, then lets all deadlines pass.
    pub fn end(&mut self) {
        for after in [0, 5000 * MS] {
            let (mut inputs, now) = (Vec::new(), self.now);
            self.lines.values_mut().for_each(|l| l.end(Closure::Broken, now, &mut inputs));
            self.remove_ended(&inputs);
            self.now += after;
            self.turn(inputs);
        }
    }

    pub fn check(&self, class: u16, order: &[Step]) {
        let seen = SEEN.take();
        assert!(seen.1.values().all(|n| *n == 1), "one end for each send: {order:?} {seen:?}");
        assert_eq!(seen.1.len(), seen.0, "an end for each send: {order:?}");
        assert_eq!(
            (self.core.attempts_in_flight(), self.core.unanswered(), self.in_flight.len()),
            (0, 0, 0),
            "{order:?}"
        );
        let gone = order.contains(&Gone);
        assert!(self.answers == 1 || (gone && self.answers == 0), "one answer: {order:?}");
        assert_eq!(self.after, 0, "an attempt after the call was over: {order:?}");
        // `book` may run at most once, and no executor reported here that it did not run.
        assert!(class == 0 || self.runs <= 1, "{} runs: {order:?}", self.runs);
    }
}
