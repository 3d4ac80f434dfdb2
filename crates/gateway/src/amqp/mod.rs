//! Callers over AMQP 0-9-1: each message of a consumed queue is a call; its reply is published to `reply_to` with the
//! same `correlation_id`.
//!
//! - [`message`]: converts deliveries to calls and answers to replies.
//! - [`front`]: the state machine of deliveries, replies, confirms and recovery from lost connections, without I/O.
//! - [`link`]: the socket; it tries the configured brokers in turn.

mod commands;
pub mod front;
mod inquiries;
pub mod link;
pub mod message;

pub use front::{Front, FrontCounters};
pub use inquiries::InquirySettings;
