//! The live front end on its whole path: the command as the platform starts it, between emulator clients, executors and an event
//! bus, judged by what crossed their sockets.

mod bad_clients;
mod calls;
mod closes;
mod descriptors;
mod ending;
mod leaving;
mod lists;
mod reload;
mod restart;
mod shutdown;
mod stage;
mod start;
mod together;
mod versions;
