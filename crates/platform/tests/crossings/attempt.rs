//! One attempt between the executors' lines, the state and the module, with all that can become of it.

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
    /// The socket takes what waits.
    Write,
    Answer,
    Again,
    Gone,
    /// The call's time is over.
    Cut,
    Reset,
    /// The executor takes nothing new.
    Drain,
}

use Step::*;

/// How often each attempt ended.
type Ends = BTreeMap<(u32, u16), usize>;

thread_local! {
    /// Sends and ends as the module has them.
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
    /// The executor of the first attempt, whose line waits to be written.
    first: Option<u32>,
    flying: HashMap<(u32, u16), u32>,
    answers: usize,
    pub runs: usize,
    /// Attempts that the state sent out after the call was over.
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
        let told = PlatformSettings::parse(include_str!("../config.json")).unwrap();
        let decider =
            |settings, seed, now| Box::new(Watched(module(settings, seed, now))) as Box<dyn DecisionPolicy>;
        let mut stage = Stage {
            core: Core::with(decider, told.core_settings(), 3, START),
            now: START,
            lines: BTreeMap::new(),
            first: None,
            flying: HashMap::new(),
            answers: 0,
            runs: 0,
            after: 0,
            over: false,
        };
        stage.turn(vec![Input::EndpointUpdate {
            kind: EndpointUpdate::Full,
            endpoints: rows(Lifecycle::Ready, &[1, 2, 3]),
        }]);
        let figures = FunctionProperties {
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
            properties: Some(figures),
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
        assert!(stage.first.is_some(), "sent at once");
        stage
    }

    fn write(&mut self, worker: u32) {
        let Some(line) = self.lines.get_mut(&worker) else { return };
        let mut bytes = Vec::new();
        line.fill_write(&mut bytes, self.now);
        line.on_written(bytes.len(), self.now);
        self.runs += String::from_utf8_lossy(&bytes).matches("RUN ").count();
    }

    fn settled(&mut self, news: &[Input]) {
        for item in news {
            if let Input::AttemptEnded { request, attempt, .. } = item {
                self.flying.remove(&(*request, *attempt));
            }
        }
    }

    /// What a step brings for the next turn.
    pub fn step(&mut self, step: Step, news: &mut Vec<Input>) {
        let (first, now, mut came) = (self.first.unwrap(), self.now, Vec::new());
        let line = self.lines.get_mut(&first).unwrap();
        match step {
            Write => self.write(first),
            Answer | Again => {
                let text = format!("{ID:016x} OK - 2\r\nhi\r\n");
                line.receive(text.as_bytes(), (now, now), &[], &mut came).unwrap();
            }
            Gone => news.push(Input::ClientGone(1)),
            Cut => self.now = START + 2000 * MS,
            Reset => {
                line.end(Closure::Broken, now, &mut came);
                *line = ConnectionState::new(now);
            }
            Drain => {
                line.withdraw(now, &mut came);
                let told = rows(Lifecycle::Draining, &[first]);
                came.push(Input::EndpointUpdate { kind: EndpointUpdate::Delta, endpoints: told });
            }
        }
        self.settled(&came);
        news.append(&mut came);
    }

    pub fn turn(&mut self, mut news: Vec<Input>) {
        self.now += 1;
        let mut out = Vec::new();
        for n in 0.. {
            assert!(n < 50, "turns without end");
            let gone = news.iter().any(|n| matches!(n, Input::ClientGone(_)));
            self.core.process(self.now, &mut news, &mut out);
            for command in out.drain(..) {
                self.carry_out(command, &mut news);
            }
            self.over |= gone;
            if news.is_empty() && self.core.due().is_none_or(|d| d > self.now) {
                return;
            }
        }
    }

    fn carry_out(&mut self, command: Command, news: &mut Vec<Input>) {
        match command {
            Command::Answer { .. } => (self.answers, self.over) = (self.answers + 1, true),
            Command::Attempt(a) => {
                self.after += usize::from(self.over);
                let what = Exchange::Attempt { request: a.request, attempt: a.attempt };
                let run = RunRequest { class: "look", function: &a.function, deadline: a.deadline };
                let line = self.lines.entry(a.worker).or_insert_with(|| ConnectionState::new(START));
                if !line.send_request((ID, &a.correlation), &run, &a.body, what, self.now) {
                    let result =
                        stagehoist_gateway::state::AttemptResult::without_answer(stagehoist::Outcome::Full);
                    return news.push(Input::AttemptEnded { request: a.request, attempt: a.attempt, result });
                }
                self.flying.insert((a.request, a.attempt), a.worker);
                if self.first.is_none() {
                    self.first = Some(a.worker);
                } else {
                    self.write(a.worker);
                }
            }
            Command::Abort { request, attempt } => {
                let Some(worker) = self.flying.remove(&(request, attempt)) else { return };
                let line = self.lines.get_mut(&worker).unwrap();
                if line.abandon(ID, &format!("{ID:016x}"), self.now, 250 * MS) {
                    line.end(Closure::ProtocolViolated, self.now, news);
                }
            }
            _ => {}
        }
    }

    /// All connections end, then all time.
    pub fn end(&mut self) {
        for after in [0, 5000 * MS] {
            let (mut news, now) = (Vec::new(), self.now);
            self.lines.values_mut().for_each(|l| l.end(Closure::Broken, now, &mut news));
            self.settled(&news);
            self.now += after;
            self.turn(news);
        }
    }

    pub fn check(&self, class: u16, order: &[Step]) {
        let seen = SEEN.take();
        assert!(seen.1.values().all(|n| *n == 1), "one end for each send: {order:?} {seen:?}");
        assert_eq!(seen.1.len(), seen.0, "an end for each send: {order:?}");
        assert_eq!(
            (self.core.attempts_in_flight(), self.core.unanswered(), self.flying.len()),
            (0, 0, 0),
            "{order:?}"
        );
        let gone = order.contains(&Gone);
        assert!(self.answers == 1 || (gone && self.answers == 0), "one answer: {order:?}");
        assert_eq!(self.after, 0, "an attempt after the call was over: {order:?}");
        // `book` may run once at most, and no executor said here that it did not.
        assert!(class == 0 || self.runs <= 1, "{} runs: {order:?}", self.runs);
    }
}
