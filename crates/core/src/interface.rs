//! The interface of the decision module: what it is told ([`Settings`]), what it observes ([`Event`]) and
//! what it may do ([`Action`]). Plain data; all times are integer microseconds. Nothing here decides.

use std::rc::Rc;

/// A moment or a span, in microseconds.
pub type Micros = i64;
/// Number of a request, never given twice to one front end.
pub type RequestId = u32;
/// Number of a worker, the same at every front end.
pub type WorkerId = u32;
/// Number of a function, the program that a call needs loaded.
pub type FunctionId = u64;

/// What may be done with a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped by the workers of one group, for as long as they remember the key.
    Keyed { group: Group, window: Micros },
    /// Must never run twice.
    Unsafe,
}

/// The workers that share their memory of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// The aim grows by this many times the request's own work.
    pub aim_stretch: f64,
    pub effect: Effect,
    pub worth: f64,
    /// Part of the worth that an answer past the aim still earns.
    pub late_worth: f64,
    pub streaming: bool,
}

/// What happens to a call at a worker that lacks its function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnMiss {
    #[default]
    Load,
    Miss,
}

/// A value of a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    InFlight,
    Queue,
    Busy,
    Other,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportVia {
    #[default]
    Never,
    Answers,
    Probe,
}

/// What the front end is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub front_ends: u32,
    pub zone: u32,
    pub classes: Vec<ClassSettings>,
    /// Told requests a second of each tenant that lie within its share; empty without tenants.
    pub tenant_quota: Vec<f64>,
    pub over_share_worth: f64,
    pub worth_by_work: bool,
    pub tick: Micros,
    pub ask_discovery: bool,
    pub ask_within: Micros,
    pub drain_grace: Micros,
    pub fall_window: Micros,
    pub fall_multiple: f64,
    pub start_share: f64,
    pub warm_up: Micros,
    pub max_attempts: u32,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_order: bool,
    pub may_tell: bool,
    pub tells_warm: bool,
    pub tells_crowd: bool,
    pub connect_timeout: Micros,
    pub max_retry_after: Micros,
    pub keep: Micros,
    pub on_miss: OnMiss,
    pub order_timeout: Micros,
    /// An order to load may arrive so much later than it was given; 0: it counts when it is given.
    pub order_delay: Micros,
    pub load_window: Micros,
    pub load_free: f64,
    pub load_share: f64,
    pub retry_budget: crate::tries::RetryBudget,
    pub memory_mb: Vec<f64>,
    pub memory_price: f64,
    pub price_probe: f64,
    pub price_cross_zone: f64,
    pub price_fetch: f64,
    pub report: Vec<ReportField>,
    pub report_via: ReportVia,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A line of the list of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RosterRow {
    pub worker: WorkerId,
    pub kind: u16,
    pub lifecycle: Lifecycle,
    pub zone: u8,
    /// Last start; 0: long ago.
    pub started: Micros,
    pub cell: u16,
    pub capacity: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterForm {
    Full,
    Delta,
    Cached,
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: u16,
    pub tenant: u32,
    pub function: FunctionId,
    pub budget: Micros,
    /// Work on a standard core, where told.
    pub work: Option<Micros>,
    pub memory_mb: f64,
    pub lanes: f64,
    /// Usual time of a load; 0 where not told.
    pub load: Micros,
    pub repeat: bool,
    /// When it was taken; 0: with this batch.
    pub came: Micros,
    /// Something speaks for its caller: a worker served an earlier call of the same connection, or callers need none.
    pub known: bool,
}

/// How an attempt, a probe or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    Miss,
}

/// What an outcome tells of the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Note {
    /// 1 stood loaded, 2 began a load, 3 waited for a load, 4 the load failed, 0 not told.
    pub copy: u8,
    /// Requests for the function that the worker held.
    pub crowd: u32,
}

/// Values of a load report, in the order of [`Settings::report`].
pub type Report = Option<[f32; 4]>;

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Roster { form: RosterForm, rows: Rc<[RosterRow]> },
    Request(Request),
    Began { request: RequestId, attempt: u16 },
    Ended(Ended),
    Gone { request: RequestId },
    Timer { token: u32 },
    Probed { worker: WorkerId, outcome: Outcome, took: Micros, report: Report },
    Peer { from: u32, bytes: Vec<u8> },
    Loaded { worker: WorkerId, function: FunctionId, outcome: Outcome, took: Micros, copies: u8 },
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    pub request: RequestId,
    pub attempt: u16,
    pub worker: WorkerId,
    /// The request is over; nothing more is owed for it.
    pub concluded: bool,
    pub outcome: Outcome,
    pub note: Note,
    pub took: Micros,
    pub report: Report,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        request: RequestId,
        worker: WorkerId,
        timeout: Micros,
    },
    Refuse {
        request: RequestId,
        retry_after: Micros,
    },
    Fail {
        request: RequestId,
    },
    Cancel {
        request: RequestId,
        attempt: u16,
    },
    Timer {
        after: Micros,
        token: u32,
    },
    Probe {
        worker: WorkerId,
    },
    CloseIdle {
        worker: WorkerId,
    },
    /// To one peer, or to all.
    Tell {
        peer: Option<u16>,
        bytes: Vec<u8>,
    },
    Log {
        text: String,
    },
    Watch {
        on: bool,
    },
    Fetch,
    /// Hold at least `copies` copies; 0 only asks how many stand.
    Load {
        worker: WorkerId,
        function: FunctionId,
        copies: u8,
    },
    /// Unload the idle copies.
    Drop {
        worker: WorkerId,
        function: FunctionId,
    },
}
