//! Recovery decisions: what to do with a message that a broker delivers again, with a reply of which nobody knows
//! whether it arrived, when to connect anew, and whom to admitted after a restart. Pure: state and time in, choice out;
//! randomness from a told seed.
//!
//! - [`DeliveryCache`]: messages of late; [`Inquiries`]: those that wait for the word of whoever may have held them.
//! - [`IntentGate`]: attempts that wait until their call's intent is on disk.
//! - [`RecoveryPhases`]: waking, asking, reserved, open.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod backoff;
mod delivery_cache;
pub mod inquiry;
pub mod intent_gate;
mod key;
pub mod phases;

pub use backoff::Backoff;
pub use delivery_cache::{DeliveryCache, ReplyState, Verdict};
pub use inquiry::{AttemptKnowledge, Inquiries};
pub use intent_gate::IntentGate;
pub use key::{Identity, Key};
pub use phases::RecoveryPhases;
