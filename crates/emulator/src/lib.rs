//! Stand-ins for the outside systems that the gateway meets, written from their public specifications: an AMQP
//! 0-9-1 broker, workers that load functions on demand, the program store behind them, an endpoint list, a
//! platform's clients, executors and event bus, and a proxy that records what crosses a socket and breaks it on
//! command. For tests, demonstrations and experiments; never linked into the gateway's library.
#![forbid(unsafe_code)]

pub mod broker;
pub mod list;
pub mod platform;
pub mod proxy;
pub mod store;
pub mod worker;
