//! Decisions at a front end's intake, without I/O: how many messages it asks a broker for ([`Window`]), how
//! long a message has waited where nothing on it tells ([`Age`]), whether a call may be held ([`Intake`]),
//! and when a caller that is rejected had better return ([`Advice`]), and whether a call may start a run
//! in a pool that front ends share ([`permits::PermitPools`]).
//!
//! What happens to a call once taken is the module's matter alone.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod advice;
mod age;
mod intake;
pub mod permits;
mod window;

pub use advice::Advice;
pub use age::Age;
pub use intake::{Bounds, Held, Intake, Refusal, TenantClass};
pub use window::Window;
