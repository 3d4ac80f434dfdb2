//! Tests front ends while discovery is unreachable: real front-end processes run between emulated clients, executors and one
//! event bus per front end, and the recorded traffic is judged.

mod connecting;
mod drains;
mod fleet_soak;
mod flood;
mod flood_signals;
mod flood_soak;
mod floods;
mod front_end;
mod late_discovery;
mod machine;
mod peer_flood;
mod processor_share;
mod rig;
mod rig_host;
mod soak;
mod threads;
mod traffic;
mod usage;
