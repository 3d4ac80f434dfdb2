//! Callers over AMQP 0-9-1: messages of a queue are calls, replies go to `reply_to` with `correlation_id`.
//!
//! - [`message`]: a delivery to a call, an answer to a reply.
//! - [`front`]: deliveries, replies, confirms and what a lost connection leaves behind, without I/O.
//! - [`link`]: the socket, brokers tried in turn.

mod commands;
pub mod front;
mod inquiries;
pub mod link;
pub mod message;

pub use front::{Front, FrontCounters};
pub use inquiries::InquirySettings;
