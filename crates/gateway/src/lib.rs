//! The running gateway. Each front end is one thread with one decision module, one AMQP connection, its own pool of
//! connections to workers and its own follower of the worker list; front ends share nothing.
//!
//! - [`state`]: calls, attempts, timers and names between sockets and the module, without I/O.
//! - [`transport`]: AMQP, KServe workers and lists as what the driver carries its choices out with.
//! - [`driver`]: the loop that gathers what sockets bring, lets the module choose once a batch, and executes its choices.
//! - [`amqp`], [`workers`], [`discovery`]: the protocols to callers, to workers and to the worker list.
//! - [`fleet`]: what a front end knows of retired functions, where its configuration has a fleet.
//! - [`intent_recorder`]: attempts that wait for their call's intent on disk.
//! - [`shards`]: one front end's part of a divided fleet.
//! - [`serve()`]: front ends started, watched and drained.
//!
//! Nothing here decides about a call: that is the module's, in the `stagehoist` package.
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
