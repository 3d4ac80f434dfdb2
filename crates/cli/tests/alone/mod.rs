//! One stack at a time in a test's process. A stack has eight threads and processes that are busy under a flood; a dozen of
//! them beside each other measure the machine, and cargo plays test files one after the other.

use std::sync::{Mutex, MutexGuard, PoisonError};

static ALONE: Mutex<()> = Mutex::new(());

/// Waits until no other stack stands. A test that failed leaves no stack behind.
pub fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}
