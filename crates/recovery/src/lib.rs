//! Recovery decisions: how to handle a redelivered message and a reply whose arrival is unknown, when to reconnect, and
//! which calls to admit after a restart. Pure: takes state and time, returns decisions; random numbers come from a given
//! seed.
//!
//! - [`DeliveryCache`]: recent messages; [`Inquiries`]: messages that wait for the answers of their possible former holders.
//! - [`IntentGate`]: attempts that wait until their call's intent is on disk.
//! - [`RecoveryPhases`]: opening storage, resolving in-doubt messages, ramping, serving.
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
