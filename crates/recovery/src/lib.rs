//! Recovery decisions: what to do with a message that a broker delivers again, with a reply of which nobody knows
//! whether it arrived, and when to connect anew. Pure: state and time in, choice out; randomness from a told seed.
#![forbid(unsafe_code)]

mod backoff;
mod memory;

pub use backoff::Backoff;
pub use memory::{Key, Memory, Sent, Verdict};
