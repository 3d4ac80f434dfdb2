//! Stand-ins for a platform's own parties, written from its protocol and sharing no code with the front end they meet:
//! clients over RESP, executors over lines, the event bus, and a judge of the five rules by what the executors and
//! clients saw on their sockets.

mod backlog;
pub mod bus;
pub mod client;
pub mod configuration;
pub mod executor;
pub mod judge;
pub mod process;

pub use bus::EventBus;
pub use client::{Answered, Client};
pub use executor::{Executor, ExecutorRequest, Fault, Intake, ObservedRequest};
pub use judge::{after_leaving, judge, notified_at, AfterLeaving, Outage, RuleSettings, SentRequest};
