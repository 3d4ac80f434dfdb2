//! A front end of a fleet without sockets: its replicas' word, its calls and its workers' answers are told by the test.

// Each test target takes its part of it.
#![allow(dead_code)]

use bytes::Bytes;
use stagehoist::{CopyReport, Micros, Outcome};
use stagehoist_cluster_state::{
    self as registry, ClusterState, ClusterStatus, ClusterView, Retirement, RetirementMode,
};
use stagehoist_config::{parse, Config};
use stagehoist_endpoints::ListedWorker;
use stagehoist_gateway::amqp::message::reply;
use stagehoist_gateway::fleet::{EgressCheck, PoolAdmission, RetirementGate};
use stagehoist_gateway::state::{
    module, Answer, Arrival, Attempt, AttemptResult, Command, Core, CoreSettings, FunctionProperties, Input,
    PolicyFactory,
};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

pub const MS: Micros = 1000;

pub struct Stage {
    pub core: Core,
    config: Rc<Config>,
    pub now: Micros,
    /// What the desk reads as the time, where something leaves.
    pub clock: Rc<Cell<Micros>>,
    standing: ClusterStatus,
}

impl Stage {
    /// Part of a fleet, with fresh word for ten seconds.
    pub fn new() -> Stage {
        Stage::deciding(module)
    }

    /// The same with decisions told.
    pub fn deciding(decider: PolicyFactory) -> Stage {
        let fleet =
            "member a\nkeeper 1 127.0.0.1:1\nfunction later class lookup memory 64MB lanes 4 generation 3\n\
                     function strict class lookup memory 64MB lanes 4 load 200ms retire strict\n";
        let mut stage = Stage::with(decider, fleet);
        let clock = stage.clock.clone();
        stage
            .core
            .join_fleet(EgressCheck::new(RetirementGate::new(stage.config.clone()), move || clock.get()));
        stage.fresh(10_000 * MS);
        stage
    }

    /// The same with pools: these lines, for a tenant `clinic` (number 1) beside all others (number 0).
    pub fn with_pools(decider: PolicyFactory, pools: &str) -> Stage {
        let fleet = format!(
            "member a\nkeeper 1 127.0.0.1:1\nfleet-front-ends 2\ntenant other quota 100/s\n\
             tenant clinic quota 100/s\n{pools}"
        );
        let mut stage = Stage::with(decider, &fleet);
        let clock = stage.clock.clone();
        stage
            .core
            .join_fleet(EgressCheck::new(RetirementGate::new(stage.config.clone()), move || clock.get()));
        if let Some(entrance) = PoolAdmission::new(&stage.config, 3, stage.now) {
            stage.core.set_pool_admission(entrance);
        }
        stage.fresh(10_000 * MS);
        stage
    }

    /// Permits of the pool `p` are allocated: to all others and to the clinic, for so long.
    pub fn granted(&mut self, number: u64, others: u32, clinic: u32, span: Micros) -> Vec<Command> {
        let of = |tenant: &str, lanes| (("p".to_string(), tenant.to_string()), lanes);
        self.standing.permits = Arc::new([of("", others), of("clinic", clinic)].into());
        (self.standing.permits_grant, self.standing.permits_until) = (number, self.now + span);
        self.turn(0, vec![Input::ClusterStatus(self.standing.clone())])
    }

    /// A call of a tenant whose caller waits for so long.
    pub fn call_by(&mut self, ticket: u64, tenant: u32, budget: Micros) -> Vec<Command> {
        let arrival = self.arrival(ticket, "free-times", None);
        self.turn(MS, vec![Input::Call(Arrival { tenant, budget, ..arrival })])
    }

    pub fn alone() -> Stage {
        Stage::with(module, "")
    }

    fn with(decider: PolicyFactory, more: &str) -> Stage {
        let text = format!(
            "class lookup aim 800ms give-up 2500ms\nclass record aim 800ms give-up 2500ms effect unsafe\n\
             function free-times class lookup memory 64MB lanes 4 load 200ms\n\
             function recurring class record memory 64MB lanes 4 load 200ms\n\
             broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n{more}"
        );
        let config = Rc::new(parse("fleet.conf", &text).unwrap());
        let now = 1_700_000_000_000_000;
        let core = Core::with(decider, CoreSettings::from(&*config), 3, now);
        let standing = ClusterStatus { fresh_until: Micros::MIN, ..ClusterStatus::default() };
        let mut stage = Stage { core, config, now, clock: Rc::new(Cell::new(now)), standing };
        stage.list(&["w1", "w2", "w3"]);
        stage
    }

    pub fn turn(&mut self, after: Micros, mut news: Vec<Input>) -> Vec<Command> {
        self.now += after;
        self.clock.set(self.now);
        let mut out = Vec::new();
        self.core.process(self.now, &mut news, &mut out);
        while self.core.due().is_some_and(|d| d <= self.now) {
            self.core.process(self.now, &mut Vec::new(), &mut out);
        }
        out
    }

    pub fn list(&mut self, names: &[&str]) -> Vec<Command> {
        self.turn(0, vec![Input::EndpointList(entries(names))])
    }

    pub fn call(&mut self, ticket: u64, function: &str) -> Vec<Command> {
        self.call_of(ticket, function, None)
    }

    pub fn call_of(&mut self, ticket: u64, function: &str, generation: Option<u32>) -> Vec<Command> {
        let arrival = self.arrival(ticket, function, generation);
        self.turn(MS, vec![Input::Call(arrival)])
    }

    fn arrival(&self, ticket: u64, function: &str, generation: Option<u32>) -> Arrival {
        Arrival {
            ticket,
            function: function.into(),
            properties: FunctionProperties::configured(&self.config, function).map(|f| f.0),
            tenant: 0,
            budget: 2500 * MS,
            read_at: 0,
            is_repeat: false,
            client_verified: true,
            body: Bytes::from_static(b"{}"),
            content_type: None,
            correlation: "c".into(),
            generation,
            identity: None,
        }
    }

    /// The replicas tell the view that these commands come to.
    pub fn view(&mut self, commands: &[registry::Command]) -> Vec<Command> {
        let mut record = ClusterState::default();
        for (i, command) in commands.iter().enumerate() {
            record.apply(i as u64 + 1, command);
        }
        self.standing.view = Arc::new(record.view);
        self.turn(0, vec![Input::ClusterStatus(self.standing.clone())])
    }

    /// Word of a view that was overtaken comes late.
    pub fn older(&mut self, version: u64) {
        let view = Arc::new(ClusterView { version, ..ClusterView::default() });
        self.turn(0, vec![Input::ClusterStatus(ClusterStatus { view, ..self.standing.clone() })]);
    }

    /// The view is known to be the newest for so long from now.
    pub fn fresh(&mut self, span: Micros) {
        self.standing.fresh_until = self.now + span;
        self.turn(0, vec![Input::ClusterStatus(self.standing.clone())]);
    }

    pub fn fresh_until(&self) -> Micros {
        self.standing.fresh_until
    }

    pub fn confirmed(&self) -> u64 {
        self.core.session_report().unwrap().confirmed
    }
}

pub fn entries(names: &[&str]) -> Vec<ListedWorker> {
    names.iter().map(|n| ListedWorker { capacity: 4.0, ..ListedWorker::new(*n, format!("{n}:1")) }).collect()
}

pub fn retire(function: &str, generation: u32) -> registry::Command {
    registry::Command::Retire(Retirement {
        function: function.into(),
        generation,
        successor: Some("next".into()),
        reason: "old".into(),
        mode: RetirementMode::Available,
        requested_ms: 7,
    })
}

pub fn in_force(function: &str, generation: u32) -> registry::Command {
    registry::Command::InForce { function: function.into(), generation, but_for: Default::default() }
}

pub fn attempts(commands: &[Command]) -> Vec<Attempt> {
    let attempt = |c: &Command| match c {
        Command::Attempt(a) => Some(a.clone()),
        _ => None,
    };
    commands.iter().filter_map(attempt).collect()
}

pub fn loads(commands: &[Command]) -> usize {
    commands.iter().filter(|c| matches!(c, Command::Load { .. })).count()
}

pub fn unloads(commands: &[Command]) -> usize {
    commands.iter().filter(|c| matches!(c, Command::Unload { .. })).count()
}

pub fn answers(commands: &[Command]) -> Vec<(u64, &'static str, &'static str)> {
    let answer = |c: &Command| match c {
        Command::Answer { ticket, answer, .. } => Some((*ticket, answer.outcome(), answer.reason())),
        _ => None,
    };
    commands.iter().filter_map(answer).collect()
}

pub fn ended(a: &Attempt, outcome: Outcome) -> Input {
    let note = CopyReport { state: 1, concurrency: 0 };
    let result = AttemptResult { copy: note, ..AttemptResult::without_answer(outcome) };
    Input::AttemptEnded { request: a.request, attempt: a.attempt, result }
}

/// Outcome and reason as a reply's headers have them.
pub fn frame(answer: &Answer) -> String {
    let (properties, _) = reply(answer, "c");
    let headers = properties.headers().clone().unwrap_or_default();
    let text = |key: &str| stagehoist_amqp::header_text(&headers, key);
    [text("outcome"), text("reason")].into_iter().flatten().collect::<Vec<_>>().join(" ")
}
