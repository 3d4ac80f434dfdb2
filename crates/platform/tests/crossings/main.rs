//! Two events meet at an executor's connection: each crossing forced.

mod attempt;
mod clients;
mod lines;
mod permutations;
mod sockets;
mod stage;
