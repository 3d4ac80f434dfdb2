//! The events that the decision module observes.

use super::{FunctionId, Micros, Request, RequestId, WorkerId};
use std::rc::Rc;

/// Maximum number of values in a load report.
pub const MAX_REPORT_VALUES: usize = 4;

/// Values of a load report, in the order of [`super::Settings::report_fields`].
pub type LoadReport = Option<[f32; MAX_REPORT_VALUES]>;

/// State of a worker according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it holds and accepts no new ones.
    Draining,
    /// It is not in the list.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Kind of machine, as an index into [`super::Settings::memory_mb`].
    pub kind: u16,
    /// Whether it accepts requests.
    pub lifecycle: Lifecycle,
    /// Zone in which it runs.
    pub zone: u8,
    /// When its process last started; 0: long ago.
    pub started: Micros,
    /// Cell in which it runs.
    pub cell: u16,
    /// Requests that it runs concurrently at full speed.
    pub capacity: f64,
}

/// How an endpoint list was obtained, and what it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The complete list.
    Full,
    /// The entries that changed.
    Delta,
    /// The complete list from a cache, possibly outdated.
    Cached,
    /// The list could not be read; the subscription is over.
    Failed,
}

/// How an attempt, a health check or a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// The worker answered with an error.
    Error,
    /// The worker rejected it for lack of capacity; nothing ran.
    Full,
    /// No answer arrived in time.
    Timeout,
    /// No connection was established; nothing ran.
    ConnectFailed,
    /// The connection was lost.
    Reset,
    /// It was cancelled by the front end.
    Cancelled,
    /// Another attempt had answered the request already; nothing ran.
    Superseded,
    /// The worker has not loaded the function; nothing ran.
    Miss,
}

/// What an answer reports about the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct CopyReport {
    /// One of the state codes defined as constants of this type.
    pub state: u8,
    /// Requests for the function that the worker holds.
    pub concurrency: u32,
}

impl CopyReport {
    /// The answer does not report the state.
    pub const UNKNOWN: u8 = 0;
    /// The copy was loaded before.
    pub const LOADED: u8 = 1;
    /// The request started the load.
    pub const LOAD_STARTED: u8 = 2;
    /// The request waited for a load already in progress.
    pub const LOAD_JOINED: u8 = 3;
    /// The load failed.
    pub const LOAD_FAILED: u8 = 4;
}

/// An observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint list arrived.
    Endpoints {
        /// What the list covers.
        update: EndpointUpdate,
        /// Its entries.
        endpoints: Rc<[Endpoint]>,
    },
    /// The source guarantees that the endpoint list is complete up to this time, on the clock of the events. A later
    /// change counts as known to this front end even though no report of it arrived. Without this event, a list is
    /// valid forever.
    EndpointListValid {
        /// End of the validity; may be in the past.
        until: Micros,
        /// The list is known to contain every change up to this time. Between then and `until` further changes may
        /// have happened that the source has not reported yet.
        complete_at: Micros,
    },
    /// The oldest open connection to a worker changed.
    WorkerConnection {
        /// The worker.
        worker: WorkerId,
        /// When the oldest connection that is open now was established, at the latest; `None`: none is open.
        open_since: Option<Micros>,
    },
    /// A request arrived.
    Request(Request),
    /// The first part of a streamed answer arrived; the request can no longer be rejected.
    Started {
        /// The request.
        request: RequestId,
        /// Number of the attempt that answers.
        attempt: u16,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client cancelled the request or closed its connection; no answer is expected.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer that was set has expired.
    Timer {
        /// The number under which it was set.
        token: u32,
    },
    /// A health check ended.
    HealthChecked {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Duration of the health check.
        elapsed: Micros,
        /// The worker's load report, if the answer carried one.
        report: LoadReport,
    },
    /// Another front end sent a message.
    Gossip {
        /// Number of the sender.
        from: u32,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// A load order ended.
    Loaded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Time from the order to its answer.
        elapsed: Micros,
        /// Copies that the worker holds after the order.
        copies: u8,
    },
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, counted from 0.
    pub attempt: u16,
    /// The worker it was sent to.
    pub worker: WorkerId,
    /// The request has its final answer; nothing more is expected for it.
    pub concluded: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What the answer reports about the copy.
    pub copy: CopyReport,
    /// Time from sending the attempt to its end.
    pub elapsed: Micros,
    /// The worker's load report, if the answer carried one.
    pub report: LoadReport,
    /// When the connection that carried it was established, at the latest; [`Micros::MAX`]: not known.
    pub connected_at: Micros,
}
