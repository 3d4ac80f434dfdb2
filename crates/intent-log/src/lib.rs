//! Write-ahead log of attempt intents. Before the first attempt of a non-idempotent call is sent, an intent is written to disk.
//! After a restart, a redelivered message without an intent is known not to have run here.
//!
//! - [`IntentStore`]: one member's intents in redb; each commit is on disk when it returns. Has no thread and no clock.
//! - [`IntentLog`]: a store on its own thread, accessed through channels. Requests that arrive during a commit go into the
//!   next one.
//!
//! A store answers [`AttemptKnowledge::None`](stagehoist_recovery::AttemptKnowledge) only if its data is provably complete:
//! - a run has begun, and its start is on disk;
//! - the previous run in the file is the one that an externally stored [`LastRun`] names, with at least as many commits.
//!   Otherwise the file is an older state restored from a copy, or a different file;
//! - within the last [`Options::retention`], no intent was dropped early and the file was not new. A new file (at the first
//!   start, or after a damaged file was quarantined) has no intents of attempts sent earlier.
//!
//! Two gaps remain. A copy of the file that was taken during the last run, after the commit that the [`LastRun`] names, cannot
//! be distinguished from the current file; so the check is only as strict as the [`LastRun`] is recent. And a message that is
//! redelivered later than [`Options::retention`] after its intent may run twice: the retention must exceed the age of any
//! message that a broker may still deliver.
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
