//! The interface of the decision module: its configuration ([`Settings`]), the events that it observes ([`Event`]) and
//! the actions that it may order ([`Action`]). Plain data without logic; all times are integer microseconds.

mod action;
mod event;
mod request;
mod settings;

pub use action::Action;
pub use event::{
    AttemptEnd, CopyReport, Endpoint, EndpointUpdate, Event, Lifecycle, LoadReport, Outcome,
    MAX_REPORT_VALUES,
};
pub use request::Request;
pub use settings::{
    ClassSettings, DeduplicationScope, Effect, OnMiss, ReportChannel, ReportField, RetryBudget, Settings,
};

/// A point in time or a duration, in microseconds.
pub type Micros = i64;
/// Number of a request, never assigned twice at one front end.
pub type RequestId = u32;
/// Number of a worker, the same at every front end.
pub type WorkerId = u32;
/// Number of a function, the program that a worker must have loaded to run a call.
pub type FunctionId = u64;
