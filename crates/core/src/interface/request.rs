//! A request as the decision module sees it.

use super::{FunctionId, Micros, RequestId};

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Number of the request at this front end.
    pub id: RequestId,
    /// Number of its class in [`super::Settings::classes`].
    pub class: u16,
    /// Number of its tenant in [`super::Settings::tenant_quotas`].
    pub tenant: u32,
    /// The function that it calls.
    pub function: FunctionId,
    /// Time until its client times out, from its arrival.
    pub budget: Micros,
    /// Work on a standard core, where it is declared.
    pub work: Option<Micros>,
    /// Memory of a loaded copy, in megabytes.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub concurrency: f64,
    /// Usual time of a load; 0 where it is not declared.
    pub load_time: Micros,
    /// The client sends it again after an earlier rejection.
    pub is_repeat: bool,
    /// When it was accepted; 0: with this batch.
    pub accepted_at: Micros,
    /// Its client counts as genuine, so that the request adds to the load budget: a worker served an earlier call of
    /// the same connection, or the deployment asks for no such proof.
    pub client_verified: bool,
}
