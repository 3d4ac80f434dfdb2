//! A replica: Raft over the store, its peers, and the sessions of front ends while it leads.

mod connection;
mod formation;
mod leading;
mod listener;
mod membership;
pub(crate) mod messages;
mod network;
mod participation;
mod peer_handler;
mod run;
mod service;
mod service_state;

pub use run::{run, Parts};
