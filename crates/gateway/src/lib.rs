//! The gateway. Each front end is one thread with one decision module, one AMQP connection, its own pool of connections to
//! workers and its own watch of the worker list; front ends share no state.
//!
//! - [`state`]: calls, attempts, timers and names between the sockets and the decision module, without I/O.
//! - [`transport`]: AMQP, KServe workers and lists, through which the driver executes commands.
//! - [`driver`]: the loop that batches inputs from sockets, lets the decision module decide once per batch, and executes the
//!   resulting commands.
//! - [`amqp`], [`workers`], [`discovery`]: the protocols to callers, to workers and to the worker list.
//! - [`fleet`]: retired functions, pool admission and recovery, if a fleet is configured.
//! - [`intent_recorder`]: attempts that wait until their call's intent is on disk.
//! - [`shards`]: the shards that one front end of a divided fleet owns.
//! - [`serve()`]: starts, monitors and drains the front ends.
//!
//! This package makes no decisions about calls; the decision module in the `stagehoist` package does.
#![forbid(unsafe_code)]

pub mod amqp;
pub mod clock;
pub mod discovery;
pub mod driver;
pub mod error;
pub mod fleet;
pub mod intent_recorder;
pub mod metrics;
pub mod serve;
pub mod shards;
pub mod state;
pub mod transport;
pub mod workers;

pub use error::GatewayError;
pub use serve::{serve, serve_with, Running};
