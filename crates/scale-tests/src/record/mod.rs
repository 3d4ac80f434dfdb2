//! The cluster state: sessions of front ends with real replicas over loopback, changes until they are in force, losses, and the
//! state itself. Replicas and members are processes of their own; one line asks them, one line answers.

pub mod apart;
mod board;
pub mod change;
pub mod cluster;
pub mod ease;
mod fault;
pub mod lines;
pub mod loss;
pub mod marks;
pub mod members;
mod names;
pub mod questions;
mod relay;
pub mod replica;
mod rows;
mod settings;
pub mod state;
pub mod survey;
pub mod usage;

pub use board::Manner;
pub use fault::{Fault, Outcome};
pub use rows::MEASURES;
pub use settings::{clock, Settings};

/// A process of a measurement: which part, and what it is given.
///
/// # Errors
/// It is given something else, or can't do its part.
pub fn part(name: &str, told: &str) -> Outcome<()> {
    match name {
        "replica" => replica::run(serde_json::from_str(told)?),
        "members" => members::run(serde_json::from_str(told)?),
        _ => Err(Fault::Part(name.into())),
    }
}
