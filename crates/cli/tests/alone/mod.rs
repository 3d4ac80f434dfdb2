//! Limits how many stacks run concurrently in one test process. A stack has eight threads and processes that are busy under a
//! flood, so the results of a dozen concurrent stacks would depend on the machine. Cargo runs test files one after another, so
//! a limit per process is enough.
// Not every test file uses both functions.
#![allow(dead_code)]

use std::sync::{Condvar, Mutex, PoisonError};

/// Cores per concurrent stack. At least one stack may run on any machine.
const CORES_PER_STACK: usize = 4;

static PERMITS_IN_USE: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// Permits to run a stack, released on drop. A failed test drops its stack, so releasing its permits is safe.
pub struct Permits(usize);

fn max_permits() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get() / CORES_PER_STACK).max(1)
}

fn acquire(count: usize) -> Permits {
    let mut in_use = PERMITS_IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    while *in_use + count > max_permits() {
        in_use = RELEASED.wait(in_use).unwrap_or_else(PoisonError::into_inner);
    }
    *in_use += count;
    Permits(count)
}

/// Waits until no other stack runs, and takes all permits.
pub fn acquire_all() -> Permits {
    acquire(max_permits())
}

/// Waits until there are cores for one more stack, and takes one permit.
pub fn acquire_one() -> Permits {
    acquire(1)
}

impl Drop for Permits {
    fn drop(&mut self) {
        *PERMITS_IN_USE.lock().unwrap_or_else(PoisonError::into_inner) -= self.0;
        RELEASED.notify_all();
    }
}
