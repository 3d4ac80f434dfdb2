//! Race tests: two events coincide at an executor's connection, in each forced order.

mod answers;
mod attempt;
mod cancelled;
mod client;
mod clients;
mod held_back;
mod keyed;
mod lines;
mod orders;
mod permutations;
mod queues;
mod sockets;
mod stage;
mod undelivered;
mod unheard;
