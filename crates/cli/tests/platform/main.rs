//! End-to-end tests of the live front end: the command as the platform starts it, with emulated clients, executors
//! and an event bus, judged by the data on their sockets.

mod bad_clients;
mod calls;
mod closes;
mod descriptors;
mod ending;
mod leaving;
mod link;
mod lists;
mod partition;
mod reload;
mod replacement;
mod restart;
mod shutdown;
mod stage;
mod start;
mod together;
mod versions;
