//! The rules, judged from the bytes that crossed the sockets and from nothing that the gateway says of itself.
//!
//! - [`tap`]: a proxy that records what crosses a link, and breaks links on command.
//! - [`capture`]: what was recorded.
//! - [`streams`]: bytes to AMQP messages and HTTP exchanges.
//! - [`story`]: what happened to each call, attempt, order and worker.
//! - [`rules`]: the verdict.
//!
//! Of the project's packages it uses `stagehoist-amqp` for wire types alone.
#![forbid(unsafe_code)]

pub mod capture;
pub mod rules;
pub mod story;
pub mod streams;
pub mod tap;

pub use capture::{Capture, CaptureEvent, Direction, Link, Micros, Peer, Record};
pub use rules::{check, ClassRule, Effect, PoolRule, Retired, Rule, RuleSet, Verdict, WorkerStart};
pub use story::Story;
