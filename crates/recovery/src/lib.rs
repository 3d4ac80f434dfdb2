//! Recovery decisions: what to do with a message that a broker delivers again, with a reply of which nobody knows
//! whether it arrived, when to connect anew, and whom to let in after a restart. Pure: state and time in, choice out;
//! randomness from a told seed.
//!
//! - [`DeliveryCache`]: messages of late; [`Inquiries`]: those that wait for the word of whoever may have held them.
//! - [`IntentGate`]: attempts that wait until their call's mark is on disk.
//! - [`RecoveryPhases`]: waking, asking, reserved, open.
#![forbid(unsafe_code)]

mod backoff;
pub mod inquiry;
mod key;
pub mod marked;
mod memory;
pub mod stages;

pub use backoff::Backoff;
pub use inquiry::{AttemptKnowledge, Inquiries};
pub use key::{Identity, Key};
pub use marked::IntentGate;
pub use memory::{DeliveryCache, ReplyState, Verdict};
pub use stages::RecoveryPhases;
