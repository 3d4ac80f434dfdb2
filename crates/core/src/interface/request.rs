//! A request as the decision module sees it.

use super::{FunctionId, Micros, RequestId};

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Number of the request at this front end.
    pub id: RequestId,
    /// Index of its class in [`super::Settings::classes`].
    pub class: u16,
    /// Index of its tenant in [`super::Settings::tenant_quotas`].
    pub tenant: u32,
    /// The function that it calls.
    pub function: FunctionId,
    /// Time from the arrival of the request until its client times out.
    pub budget: Micros,
    /// Run time on a standard core, if declared.
    pub work: Option<Micros>,
    /// Memory of a loaded copy, in megabytes.
    pub memory_mb: f64,
    /// Calls that one copy runs concurrently.
    pub concurrency: f64,
    /// Usual duration of a load; 0 if not declared.
    pub load_time: Micros,
    /// The client resent it after an earlier rejection.
    pub is_repeat: bool,
    /// When the request was accepted; 0: with this batch.
    pub accepted_at: Micros,
    /// The client counts as genuine, so that the request adds to the load budget: a worker served an earlier call on
    /// the same connection, or the deployment requires no such proof.
    pub client_verified: bool,
}
