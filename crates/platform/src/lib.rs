//! The live front end on the platform's protocol: the same [`stagehoist_gateway::state::Core`], driver loop and decision
//! module as the gateway's other fronts, with other ways in and out.
//!
//! Without I/O, fed bytes and the time:
//! - [`config`]: what a front end is given at its start (`GW_CONFIG`), checked and translated.
//! - [`resp`], [`request`], [`session`]: a client's connection, from RESP to calls and back.
//! - [`connection`]: an executor's connection, many requests at once.
//! - [`subscription`], [`replay`], [`endpoint_events`]: the event bus' frames and what they say of executors.
//! - [`bounds`]: how descriptors and memory are shared out, so that the process lives.
//! - [`start_times`]: when executors started, whatever wall clocks say.
//! - [`completion_rate`]: how long requests in progress take.
//! - [`loop_lag`]: how far the loop is behind, and what is refused for it.
//! - [`stalls`]: for how long this process itself did not run.
//! - [`reload`]: a configuration read again at a signal, until it can be read.
//!
//! With sockets, thin: [`shared`], [`poll_times`], [`descriptors`], [`clients`], [`executors`], [`watch`], [`run()`].
//!
//! Nothing here decides about a call: that is the module's, in the `stagehoist` package.
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
pub mod loop_lag;
pub mod poll_times;
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
