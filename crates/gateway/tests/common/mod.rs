//! Test harness of one front end of a fleet without sockets: the test supplies the cluster status, the calls and the
//! workers' answers.

// Each test target uses only a part of it.
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
    /// The time that the egress check reads when something is sent.
    pub clock: Rc<Cell<Micros>>,
    status: ClusterStatus,
}

impl Stage {
    /// Creates a front end of a fleet whose view is known to be the newest for ten seconds.
    pub fn new() -> Stage {
        Stage::deciding(module)
    }

    /// Creates the same front end with the given decision policy.
    pub fn deciding(policy: PolicyFactory) -> Stage {
        let fleet =
            "member a\nkeeper 1 127.0.0.1:1\nfunction later class lookup memory 64MB lanes 4 generation 3\n\
                     function strict class lookup memory 64MB lanes 4 load 200ms retire strict\n";
        let mut stage = Stage::with(policy, fleet);
        let clock = stage.clock.clone();
        stage
            .core
            .join_fleet(EgressCheck::new(RetirementGate::new(stage.config.clone()), move || clock.get()));
        stage.fresh(10_000 * MS);
        stage
    }

    /// Creates the same front end with the pools of these configuration lines, and with a tenant `clinic` (number 1)
    /// beside all other tenants (number 0).
    pub fn with_pools(policy: PolicyFactory, pools: &str) -> Stage {
        let fleet = format!(
            "member a\nkeeper 1 127.0.0.1:1\nfleet-front-ends 2\ntenant other quota 100/s\n\
             tenant clinic quota 100/s\n{pools}"
        );
        let mut stage = Stage::with(policy, &fleet);
        let clock = stage.clock.clone();
        stage
            .core
            .join_fleet(EgressCheck::new(RetirementGate::new(stage.config.clone()), move || clock.get()));
        if let Some(pool_admission) = PoolAdmission::new(&stage.config, 3, stage.now) {
            stage.core.set_pool_admission(pool_admission);
        }
        stage.fresh(10_000 * MS);
        stage
    }

    /// Allocates permits of the pool `p` to `others` and to `clinic` for the duration `span`.
    pub fn granted(&mut self, number: u64, others: u32, clinic: u32, span: Micros) -> Vec<Command> {
        let permits = |tenant: &str, lanes| (("p".to_string(), tenant.to_string()), lanes);
        self.status.permits = Arc::new([permits("", others), permits("clinic", clinic)].into());
        (self.status.permits_grant, self.status.permits_until) = (number, self.now + span);
        self.turn(0, vec![Input::ClusterStatus(self.status.clone())])
    }

    /// Sends a call of a tenant with a time budget.
    pub fn call_by(&mut self, ticket: u64, tenant: u32, budget: Micros) -> Vec<Command> {
        let arrival = self.arrival(ticket, "free-times", None);
        self.turn(MS, vec![Input::Call(Arrival { tenant, budget, ..arrival })])
    }

    pub fn alone() -> Stage {
        Stage::with(module, "")
    }

    fn with(policy: PolicyFactory, more: &str) -> Stage {
        let text = format!(
            "class lookup aim 800ms give-up 2500ms\nclass record aim 800ms give-up 2500ms effect unsafe\n\
             function free-times class lookup memory 64MB lanes 4 load 200ms\n\
             function recurring class record memory 64MB lanes 4 load 200ms\n\
             broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n{more}"
        );
        let config = Rc::new(parse("fleet.conf", &text).unwrap());
        let now = 1_700_000_000_000_000;
        let core = Core::with(policy, CoreSettings::from(&*config), 3, now);
        let status = ClusterStatus { fresh_until: Micros::MIN, ..ClusterStatus::default() };
        let mut stage = Stage { core, config, now, clock: Rc::new(Cell::new(now)), status };
        stage.list(&["w1", "w2", "w3"]);
        stage
    }

    pub fn turn(&mut self, after: Micros, mut inputs: Vec<Input>) -> Vec<Command> {
        self.now += after;
        self.clock.set(self.now);
        let mut out = Vec::new();
        self.core.process(self.now, &mut inputs, &mut out);
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

    /// Delivers the cluster view that results from these commands.
    pub fn view(&mut self, commands: &[registry::Command]) -> Vec<Command> {
        let mut state = ClusterState::default();
        for (i, command) in commands.iter().enumerate() {
            state.apply(i as u64 + 1, command);
        }
        self.status.view = Arc::new(state.view);
        self.turn(0, vec![Input::ClusterStatus(self.status.clone())])
    }

    /// Delivers an outdated view late.
    pub fn older(&mut self, version: u64) {
        let view = Arc::new(ClusterView { version, ..ClusterView::default() });
        self.turn(0, vec![Input::ClusterStatus(ClusterStatus { view, ..self.status.clone() })]);
    }

    /// Makes the view known to be the newest for the duration `span` from now.
    pub fn fresh(&mut self, span: Micros) {
        self.status.fresh_until = self.now + span;
        self.turn(0, vec![Input::ClusterStatus(self.status.clone())]);
    }

    pub fn fresh_until(&self) -> Micros {
        self.status.fresh_until
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
    let copy_report = CopyReport { state: 1, concurrency: 0 };
    let result = AttemptResult { copy: copy_report, ..AttemptResult::without_answer(outcome) };
    Input::AttemptEnded { request: a.request, attempt: a.attempt, result }
}

/// Returns the outcome and the reason in a reply's headers.
pub fn frame(answer: &Answer) -> String {
    let (properties, _) = reply(answer, "c");
    let headers = properties.headers().clone().unwrap_or_default();
    let text = |key: &str| stagehoist_amqp::header_text(&headers, key);
    [text("outcome"), text("reason")].into_iter().flatten().collect::<Vec<_>>().join(" ")
}
