//! The live front end on the platform's protocol. It uses the same [`stagehoist_gateway::state::Core`], driver loop
//! and decision module as the gateway's other front ends; only the transports differ.
//!
//! Without I/O (these modules receive bytes and the current time):
//! - [`config`]: checks and translates the front end's configuration (`GW_CONFIG`).
//! - [`resp`], [`request`], [`session`]: a client's connection, from RESP to calls and back to answers.
//! - [`connection`]: an executor's connection, which carries many requests at once.
//! - [`subscription`], [`replay`], [`endpoint_events`]: the frames of the event bus and the executors that they
//!   describe. `frame_schedule` bounds the age of the frames, `lateness` tracks it.
//! - [`bounds`]: how descriptors and memory are divided so that the process does not run out of them.
//! - [`start_times`]: when executors started, independent of steps of the wall clock.
//! - [`completion_rate`]: how long requests in progress take.
//! - [`loop_lag`]: how far the event loop is behind, and which requests are rejected because of it.
//! - [`read_turns`]: which connection may read next, so that none keeps the event loop from the others.
//! - [`recent_ids`]: ids of calls that must not run again.
//! - [`stalls`]: for how long this process did not run.
//! - [`reload`]: rereads the configuration at a signal, and retries until the file is readable.
//!
//! Thin modules with sockets: [`shared`], [`listener`], [`poll_times`], [`descriptors`], [`clients`], [`executors`], [`watch`],
//! [`run()`].
//!
//! Nothing here decides about a call: the decision module in the `stagehoist` package does.
#![forbid(unsafe_code)]

pub mod bounds;
pub mod clients;
pub mod completion_rate;
pub mod config;
pub mod connection;
mod deferred;
pub mod descriptors;
pub mod endpoint_events;
pub mod executors;
pub mod fields;
mod flatten;
mod frame_schedule;
mod lateness;
pub mod listener;
mod log_interval;
pub mod loop_lag;
pub mod poll_times;
pub mod read_turns;
pub mod recent_ids;
pub mod reload;
pub mod replay;
pub mod request;
pub mod resp;
pub mod run;
pub mod session;
pub mod shared;
mod sockets;
pub mod stalls;
pub mod start_times;
pub mod subscription;
pub mod watch;

pub use config::{ConfigError, PlatformSettings};
pub use run::run;
