//! The whole stack on loopback: emulator broker, workers, store and list, a recording proxy on every link, callers, and
//! gateway processes started from the project's own binary. A [`Day`] scripts what goes wrong; [`play`] plays it and has
//! the checker decide the rules from what crossed the sockets.
#![forbid(unsafe_code)]

mod callers;
mod day;
mod division;
mod fleet;
mod lateness;
mod layout;
mod measure;
mod play;
pub mod process;
pub mod relay;
mod retired;
mod stack;

pub use day::{Day, DayFault, Fleet, Pick, Planned, Pool, Reserve, ScenarioFault, StoreFault};
pub use division::{Addresses, Division};
pub use lateness::Lateness;
pub use layout::Layout;
pub use measure::{measure, Measured};
pub use play::{play, play_on, record_on, Ledger, Progress};
pub use retired::ObservedRetirement;
pub use stack::{HarnessError, Stack};
