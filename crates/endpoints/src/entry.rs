//! What sources say of workers, and what the module is notified of it.

use stagehoist::{Endpoint, EndpointUpdate, Micros};

/// A worker as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Name, unique in the list and kept over restarts.
    pub name: String,
    /// `host:port`.
    pub address: String,
    /// It finishes what it has and gets nothing new.
    pub draining: bool,
    /// Hardware kind, by the name that the configuration uses; empty where the list has none.
    pub kind: String,
    /// Zone, by the name that the configuration uses; empty where the list has none.
    pub zone: String,
    /// Number of the group that shares its memory of keys; 0 where none is configured.
    pub cell: u16,
    /// Size for comparison with other workers; 1 where none is configured.
    pub capacity: f64,
    /// Last start, microseconds since 1970; 0 where none is configured.
    pub started: Micros,
}

impl ListedWorker {
    /// A ready worker with the usual size and nothing else told.
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

/// A worker as a source tells it that numbers workers itself and tells changes.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedEndpoint {
    /// Name, for logs.
    pub name: String,
    /// `host:port`.
    pub address: String,
    /// The worker as the decision module sees it.
    pub endpoint: Endpoint,
}

/// What to tell the module.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Whether the rows are all workers, those that changed, or none as the list failed.
    pub kind: EndpointUpdate,
    /// The rows.
    pub endpoints: Vec<Endpoint>,
}
