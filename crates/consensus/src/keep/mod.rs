//! A keeper: Raft over the store, its peers, and the sessions of front ends while it leads.

mod desk;
mod desk_state;
mod form;
mod gate;
mod host;
mod leading;
mod listen;
mod peer;
mod run;
mod serve;
mod tend;
pub(crate) mod wire;

pub use run::{run, Parts};
