//! Recovery decisions: what to do with a message that a broker delivers again, with a reply of which nobody knows
//! whether it arrived, when to connect anew, and whom to let in after a restart. Pure: state and time in, choice out;
//! randomness from a told seed.
//!
//! - [`Memory`]: messages of late; [`Inquiries`]: those that wait for the word of whoever may have held them.
//! - [`Marked`]: attempts that wait until their call's mark is on disk.
//! - [`Stages`]: waking, asking, reserved, open.
#![forbid(unsafe_code)]

mod backoff;
pub mod inquiry;
mod key;
pub mod marked;
mod memory;
pub mod stages;

pub use backoff::Backoff;
pub use inquiry::{Inquiries, Told};
pub use key::{Identity, Key};
pub use marked::Marked;
pub use memory::{Memory, Sent, Verdict};
pub use stages::Stages;
