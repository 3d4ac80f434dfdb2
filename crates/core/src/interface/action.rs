//! The actions that the decision module may order.

use super::{FunctionId, Micros, RequestId, WorkerId};

/// An order to the process around the module. Orders are executed in sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time limit of the attempt; 0: the remaining time of the request.
        timeout: Micros,
        /// No byte of the attempt is written after this time; [`Micros::MAX`]: no limit.
        start_by: Micros,
        /// The attempt is written only to a connection that was established by this time, so that it reaches a known
        /// process; [`Micros::MAX`]: no limit. Without such a connection it ends as [`super::Outcome::Full`].
        connected_by: Micros,
    },
    /// Answer that the request was rejected and had no effect.
    Reject {
        /// The request.
        request: RequestId,
        /// Advice on when to send it again.
        retry_after: Micros,
    },
    /// Answer that the request failed and may have had an effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Set a timer.
    SetTimer {
        /// Time until it expires.
        after: Micros,
        /// The number that its event carries.
        token: u32,
    },
    /// Start a health check.
    HealthCheck {
        /// The worker.
        worker: WorkerId,
    },
    /// Close idle connections.
    CloseIdle {
        /// The worker.
        worker: WorkerId,
    },
    /// Send a message to one other front end, or to all.
    Gossip {
        /// The receiver; `None` for all.
        peer: Option<u16>,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
    /// Subscribe to endpoint updates, or end the subscription.
    SubscribeEndpoints {
        /// Whether the subscription starts.
        on: bool,
    },
    /// Read the endpoint list once.
    FetchEndpoints,
    /// Load a function.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies to hold at least; 0 only queries the number of loaded copies.
        copies: u8,
        /// No byte of the order is written after this time; [`Micros::MAX`]: no limit.
        start_by: Micros,
    },
    /// Unload the idle copies of a function.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
}
