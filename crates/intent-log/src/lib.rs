//! Intents of attempts on disk: before the first attempt of a call that is not idempotent, that it may have run.
//! After a restart a message that is delivered again and has no intent is known not to have run here.
//!
//! - [`IntentStore`]: one member's intents in redb; each commit is on disk when it returns. No thread, no clock.
//! - [`IntentLog`]: a store on a thread of its own, asked and known by channels; what came while a commit ran goes into the next.
//!
//! A store answers [`Told::None`](stagehoist_recovery::AttemptKnowledge) only if it can show that it lacks nothing:
//! - a run has begun, and that is on disk;
//! - the last run before it is the one that a [`LastRun`] from elsewhere names, with no fewer commits than it names: else the
//!   file is older than what was, set back by a copy, or another one;
//! - nothing was dropped early, and the file was not new, within the last `keep`. A new file (the first start, or after a
//!   damaged one was quarantined) knows nothing of what its forerunner sent.
//!
//! What that leaves open: a copy taken in the midst of the last run, after the commit that the witness names, is not told from
//! the store itself. A witness is as good as it is new. And a message that is delivered again later than `keep` after its
//! intent may run twice: `keep` is to exceed the age of any message that a broker may still deliver.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod commit;
mod error;
mod file;
mod store;
mod thread;

pub use error::IntentLogError;
pub use file::read_last_run;
pub use store::{Batch, Intent, IntentStore, LastRun, Opener, Options};
pub use thread::{start, EventSender, IntentLog, LogEvent, LogLocation};
