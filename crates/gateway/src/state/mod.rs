//! The state of a front end between its sockets and the decision module. It does no I/O: it takes inputs and the current
//! time, and returns commands. Tests and models call it in the same way as the driver.

mod answer;
mod core;
mod functions;

pub use answer::Answer;
pub use core::{Core, Counters};
pub use functions::{FunctionProperties, NameLimits, Names};

use bytes::Bytes;
use stagehoist::{
    Action, ConfirmationCounters, CopyReport, EndpointUpdate, Event, FrontEnd, FunctionId, LoadReport,
    Micros, Outcome, RequestId, Settings, WorkerId,
};
use stagehoist_cluster_state::ClusterStatus;
use stagehoist_config::Config;
use stagehoist_endpoints::NumberedEndpoint;
use stagehoist_recovery::Identity;
use std::rc::Rc;

/// Makes the decisions of a front end: the decision module, or another policy to compare it with on the same stack.
pub trait DecisionPolicy {
    /// Handles one batch: takes the events since the previous batch and appends the resulting actions to `out`.
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>);

    /// Returns the counters of requests and workers that an outdated endpoint list affected; zero if the policy has none.
    fn confirmation_counters(&self) -> ConfirmationCounters {
        ConfirmationCounters::default()
    }
}

impl DecisionPolicy for FrontEnd {
    fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        FrontEnd::handle(self, now, events, out)
    }

    fn confirmation_counters(&self) -> ConfirmationCounters {
        FrontEnd::confirmation_counters(self)
    }
}

/// Creates the decision policy of one front end from its settings, its seed and the current time.
pub type PolicyFactory = fn(Settings, u64, Micros) -> Box<dyn DecisionPolicy>;

/// Creates the decision module.
pub fn module(settings: Settings, seed: u64, now: Micros) -> Box<dyn DecisionPolicy> {
    Box::new(FrontEnd::new(settings, seed, now))
}

/// The settings of a front end's state: those of the decision module, and those of [`Core`] itself.
#[derive(Clone, Debug, Default)]
pub struct CoreSettings {
    pub settings: Settings,
    /// Names of the worker kinds and zones, in the order of the configuration.
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// How long a worker's own announcement of draining or serving takes precedence over the endpoint list.
    pub announcement_retention: Micros,
    /// Maximum number of workers used from a list; None: [`stagehoist_endpoints::MAX_WORKERS`].
    pub max_workers: Option<usize>,
    /// Maximum number of unanswered calls.
    pub max_calls: u64,
    pub max_retry_after: Micros,
    /// A load order without a result counts as lost after this time.
    pub load_timeout: Micros,
    pub name_limits: NameLimits,
    /// Whether the attempts of a call are cancelled when its caller leaves; otherwise they run to completion.
    pub cancel_abandoned: bool,
}

impl From<&Config> for CoreSettings {
    fn from(config: &Config) -> CoreSettings {
        let mut settings = config.settings();
        crate::shards::settings(config, &mut settings);
        CoreSettings {
            settings,
            kinds: config.kinds.iter().map(|k| k.name.clone()).collect(),
            zones: config.zones.clone(),
            // The list takes precedence again once it has contradicted a worker's announcement for longer than it may lag.
            announcement_retention: 60_000_000.max(4 * config.list_ask_within),
            max_workers: Some(config.max_workers),
            max_calls: config.max_held_calls,
            max_retry_after: config.max_retry_after,
            load_timeout: config.load_timeout,
            name_limits: NameLimits::new(100_000, 600_000_000),
            cancel_abandoned: false,
        }
    }
}

/// The number that a protocol front (AMQP, ...) assigns to each of its calls; unique within one front end.
pub type Ticket = u64;

/// A call as received by a protocol front.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub ticket: Ticket,
    pub function: Rc<str>,
    /// The properties of the function; None if the function is unknown.
    pub properties: Option<FunctionProperties>,
    pub tenant: u32,
    /// Time until the caller times out, in microseconds, counted from when the call was read.
    pub budget: Micros,
    /// When the call was read from its socket; 0: now.
    pub read_at: Micros,
    /// Whether the caller marked the call as a repeat, or the broker redelivered it.
    pub is_repeat: bool,
    /// See [`stagehoist::Request::client_verified`].
    pub client_verified: bool,
    pub body: Bytes,
    pub content_type: Option<String>,
    /// The caller's correlation ID of the call, passed to logs and workers.
    pub correlation: Rc<str>,
    /// The generation of the function that the call asks for; None: the configured one.
    pub generation: Option<u32>,
    /// The identity of the call's message, if attempts are recorded on disk.
    pub identity: Option<Identity>,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub copy: CopyReport,
    pub report: LoadReport,
    /// The body of the worker's answer, if the outcome is `Ok`.
    pub body: Bytes,
    pub content_type: Option<String>,
    /// Whether the worker announced that it is draining (`Some(true)`) or serving (`Some(false)`).
    pub draining: Option<bool>,
    /// When the end of the attempt was read from the socket; 0: now.
    pub read_at: Micros,
    /// When the connection that carried the attempt was established, at the latest; `Micros::MAX`: not known.
    pub connected_at: Micros,
}

impl AttemptResult {
    /// Returns the result of an attempt that ended without an answer of the worker.
    pub fn without_answer(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            copy: CopyReport::default(),
            report: None,
            body: Bytes::new(),
            content_type: None,
            draining: None,
            read_at: 0,
            connected_at: Micros::MAX,
        }
    }
}

/// An input from the sockets.
#[derive(Debug)]
pub enum Input {
    Call(Arrival),
    /// The caller left; the call needs no answer.
    ClientGone(Ticket),
    AttemptEnded {
        request: RequestId,
        attempt: u16,
        result: AttemptResult,
    },
    HealthChecked {
        worker: WorkerId,
        sent: Micros,
        outcome: Outcome,
        report: LoadReport,
        draining: Option<bool>,
    },
    Loaded {
        worker: WorkerId,
        function: FunctionId,
        sent: Micros,
        outcome: Outcome,
        copies: u8,
    },
    EndpointList(Vec<stagehoist_endpoints::ListedWorker>),
    EndpointListFailed,
    /// The source of the list guarantees its validity until a time: see [`stagehoist::Event::EndpointListValid`].
    EndpointListValid {
        until: Micros,
        complete_at: Micros,
    },
    /// The oldest open connection to a worker changed: see [`stagehoist::Event::WorkerConnection`].
    WorkerConnection {
        worker: WorkerId,
        open_since: Option<Micros>,
    },
    /// A full list of front ends, if it determines the division of the fleet; None: fetching it failed.
    FrontEndList(Option<Vec<crate::discovery::front_ends::Entry>>),
    /// Workers that already have numbers: a full list or the changes to it.
    EndpointUpdate {
        kind: EndpointUpdate,
        endpoints: Vec<NumberedEndpoint>,
    },
    /// A cluster status from the replicas.
    ClusterStatus(ClusterStatus),
}

/// A command to the sockets.
#[derive(Debug)]
pub enum Command {
    /// `elapsed` is the time since the call was accepted, in microseconds.
    Answer {
        ticket: Ticket,
        answer: Answer,
        elapsed: Micros,
    },
    Attempt(Attempt),
    /// Ends an attempt by closing its connection; its result is not reported.
    Abort {
        request: RequestId,
        attempt: u16,
    },
    HealthCheck {
        worker: WorkerId,
        address: Rc<str>,
    },
    Load {
        worker: WorkerId,
        address: Rc<str>,
        function: FunctionId,
        name: Rc<str>,
        copies: u8,
        /// Nothing may be sent after this time.
        start_by: Micros,
    },
    Unload {
        worker: WorkerId,
        address: Rc<str>,
        function: Rc<str>,
    },
    CloseIdle {
        worker: WorkerId,
    },
    /// Sent only if attempts wait for intents: the worker has been draining since this time, is gone (`Micros::MIN`), or is
    /// serving (None).
    WorkerDraining {
        worker: WorkerId,
        since: Option<Micros>,
    },
    /// The owned shards changed, and with them the queues to consume.
    ServeShards(Rc<[crate::shards::OwnedShards]>),
    /// Starts or stops watching the endpoint list.
    SubscribeEndpoints(bool),
    /// Fetches the endpoint list once.
    FetchEndpoints,
}

/// One attempt of a call at a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestId,
    pub attempt: u16,
    pub worker: WorkerId,
    pub address: Rc<str>,
    pub class: u16,
    pub function: Rc<str>,
    /// When the attempt is aborted.
    pub deadline: Micros,
    pub body: Bytes,
    pub content_type: Option<String>,
    pub correlation: Rc<str>,
    /// The call that the attempt belongs to; correlation IDs are not unique.
    pub ticket: Ticket,
    /// Nothing may be sent from this time on, because a worker that drops repeats by their key may have forgotten the key.
    pub start_by: Micros,
    /// The attempt may be sent only on a connection established by this time; `Micros::MAX`: on any. Only sources that
    /// report how complete their list is cause such a limit, on attempts after one that may have run.
    pub connected_by: Micros,
    /// The key of the call's intent record, if attempts are recorded on disk.
    pub intent: Option<(Identity, Ticket)>,
}
