//! A request that has no final answer yet: state without decisions.

use crate::interface::*;

/// What is known of the execution of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Execution {
    InFlight,
    /// It ended, and nothing ran.
    NeverRan,
    /// It ended, and the request may have run.
    MayHaveRun,
}

/// An attempt of a request.
pub(super) struct AttemptRecord {
    pub worker: WorkerId,
    pub sent_at: Micros,
    pub execution: Execution,
}

/// When a request has to be over.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    pub at: Micros,
    pub request: RequestId,
}

/// A position in the queue: requests that can no longer meet their objective come last, then by required start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub late: bool,
    pub required_start: Micros,
    pub request: RequestId,
}

impl QueuePosition {
    /// The first position among the late requests.
    pub const FIRST_LATE: QueuePosition =
        QueuePosition { late: true, required_start: Micros::MIN, request: 0 };

    /// The last position among the late requests whose required start is not after `now`.
    pub fn last_late(now: Micros) -> QueuePosition {
        QueuePosition { late: true, required_start: now, request: RequestId::MAX }
    }
}

/// Queued requests for which the choice of a worker would be the same.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallGroup {
    pub function: FunctionId,
    pub class: u16,
    pub is_retry: bool,
}

pub(super) struct PendingCall {
    pub request: Request,
    /// Predicted run time at a worker of the usual speed.
    pub base_run: f64,
    /// Value for each microsecond of its work.
    pub weight: f64,
    pub deadline: Micros,
    /// Until when an answer earns the full value.
    pub objective_at: Micros,
    /// By attempt number.
    pub attempts: Vec<AttemptRecord>,
    /// Its position where it is queued.
    pub queued: Option<QueuePosition>,
}

impl PendingCall {
    /// The group that it belongs to while it is queued.
    pub fn group(&self) -> CallGroup {
        CallGroup {
            function: self.request.function,
            class: self.request.class,
            is_retry: !self.attempts.is_empty(),
        }
    }

    /// Whether an attempt has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.execution == Execution::InFlight)
    }

    /// Whether no attempt may have run.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.execution == Execution::NeverRan)
    }
}
