//! Admission decisions of a front end, without I/O: how many messages it requests from a broker ([`Window`]), how
//! long a message without a timestamp has waited ([`QueueAge`]), whether a call may be held ([`Intake`]),
//! when a rejected caller should retry ([`Advice`]), and whether a call may start a run
//! in a pool that front ends share ([`permits::PermitPools`]).
//!
//! The decision module alone decides about a call once it is admitted.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod advice;
mod age;
mod intake;
pub mod permits;
mod window;

pub use advice::Advice;
pub use age::QueueAge;
pub use intake::{Bounds, Held, Intake, Refusal, TenantClass};
pub use window::Window;
