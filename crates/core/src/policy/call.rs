//! The state of a request that has no final answer yet; holds no decisions.

use crate::interface::*;

/// Whether an attempt is in flight, never ran or may have run.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Execution {
    InFlight,
    /// It ended, and the request did not run.
    NeverRan,
    /// It ended, and the request may have run.
    MayHaveRun,
}

/// The workers with which a worker shares its memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeyGroup {
    pub zone: u8,
    pub cell: u16,
}

impl KeyGroup {
    /// Returns the group of the worker that an endpoint entry describes.
    pub fn of(endpoint: &Endpoint) -> KeyGroup {
        KeyGroup { zone: endpoint.zone, cell: endpoint.cell }
    }

    /// Whether workers of both groups share their keys.
    pub fn shares_keys(self, other: KeyGroup, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }
}

/// An attempt of a request.
pub(super) struct AttemptRecord {
    pub worker: WorkerId,
    pub sent_at: Micros,
    pub execution: Execution,
    /// The group that the endpoint list named for the worker when the attempt was sent.
    pub key_group: KeyGroup,
    pub process: ReachedProcess,
}

/// Whether the process that an attempt reached is known to be the worker that the endpoint list named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReachedProcess {
    Known,
    /// It is known once the list turns out to have named the worker up to the time at which the connection was
    /// established, at the latest. `Micros::MAX`: the attempt is in flight.
    ConnectedBy(Micros),
}

/// The time by which a request must have its final answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    pub at: Micros,
    pub request: RequestId,
}

/// A position in the queue: late requests (those that can no longer meet their objective, or have a low value) come
/// last; within each part, requests are ordered by required start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub late: bool,
    pub required_start: Micros,
    pub request: RequestId,
}

impl QueuePosition {
    /// Lower bound of the positions of late requests.
    pub const FIRST_LATE: QueuePosition =
        QueuePosition { late: true, required_start: Micros::MIN, request: 0 };

    /// Returns the upper bound of the positions of late requests whose required start is not after `now`.
    pub fn last_late(now: Micros) -> QueuePosition {
        QueuePosition { late: true, required_start: now, request: RequestId::MAX }
    }
}

/// Key of queued requests that would be placed alike.
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
    /// Value per microsecond of work.
    pub weight: f64,
    pub deadline: Micros,
    /// Time up to which an answer earns the full value.
    pub objective_at: Micros,
    /// Indexed by attempt number.
    pub attempts: Vec<AttemptRecord>,
    /// Its position in the queue, if it is queued.
    pub queued: Option<QueuePosition>,
}

impl PendingCall {
    /// Returns the group that the request belongs to while it is queued.
    pub fn group(&self) -> CallGroup {
        CallGroup {
            function: self.request.function,
            class: self.request.class,
            is_retry: !self.attempts.is_empty(),
        }
    }

    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.execution == Execution::InFlight)
    }

    /// Whether it is certain that no attempt ran.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.execution == Execution::NeverRan)
    }
}
