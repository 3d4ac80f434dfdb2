//! Decides for a front end that sends calls to workers, which load programs on demand: where each
//! call goes, when it is sent, and when it is rejected. It predicts the finish time of each request on each worker
//! and sends it to the worker that finishes first within the deadline, or rejects it, as Clockwork does (Gujarati et al.,
//! OSDI 2020). It opens no socket and reads no clock: the caller passes events in and executes the actions.
//!
//! ```
//! use stagehoist::{wire, Action, Event, FrontEnd};
//!
//! let settings = wire::parse_settings("balancers=1\nclasses.count=1\nclasses.0.aim=800.0\n").unwrap();
//! let mut front_end = FrontEnd::new(settings, 7, 0);
//! let mut actions: Vec<Action> = Vec::new();
//! let events: Vec<Event> = Vec::new();
//! front_end.handle(0, &events, &mut actions);
//! assert!(actions.iter().all(|action| matches!(action, Action::SetTimer { .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
pub mod policy;
pub mod wire;

pub use interface::*;
pub use policy::{ConfirmationCounters, FrontEnd, TableSizes};
