//! Workers as the endpoint sources report them, and the updates that the decision module receives.

use stagehoist::{Endpoint, EndpointUpdate, Micros};

/// A worker as an endpoint list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Name, unique in the list and stable across restarts.
    pub name: String,
    /// `host:port`.
    pub address: String,
    /// The worker finishes the calls that it holds and accepts no new ones.
    pub draining: bool,
    /// Hardware kind, by the name that the configuration uses; empty if the list has none.
    pub kind: String,
    /// Zone, by the name that the configuration uses; empty if the list has none.
    pub zone: String,
    /// Number of the cell, the group of workers that shares its idempotency keys; 0 if none is configured.
    pub cell: u16,
    /// Capacity relative to other workers; 1 if none is configured.
    pub capacity: f64,
    /// Last start, in microseconds since 1970; 0 if none is configured.
    pub started: Micros,
}

impl ListedWorker {
    /// Creates a ready worker with capacity 1 and no other properties.
    pub fn new(name: impl Into<String>, address: impl Into<String>) -> ListedWorker {
        ListedWorker {
            name: name.into(),
            address: address.into(),
            draining: false,
            kind: String::new(),
            zone: String::new(),
            cell: 0,
            capacity: 1.0,
            started: 0,
        }
    }
}

/// A worker as reported by a source that numbers workers itself and reports changes.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedEndpoint {
    /// Name, for logs.
    pub name: String,
    /// `host:port`.
    pub address: String,
    /// The worker as the decision module sees it.
    pub endpoint: Endpoint,
}

/// An endpoint update for the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Whether the rows are all workers, only the changed ones, or none because the list failed.
    pub kind: EndpointUpdate,
    /// The rows.
    pub endpoints: Vec<Endpoint>,
}
