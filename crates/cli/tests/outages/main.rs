//! Front ends while discovery is out of reach: processes of the command between emulated clients, executors and an event bus
//! for each, judged by what crossed their sockets.

mod drains;
mod fleet_soak;
mod front_end;
mod machine;
mod processor_share;
mod rig;
mod soak;
mod traffic;
mod usage;
