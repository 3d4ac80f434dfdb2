//! How many stacks stand at a time in a test's process. A stack has eight threads and processes that are busy under a flood; a
//! dozen of them beside each other measure the machine, and cargo plays test files one after the other.
// Not every test file takes both kinds of seat.
#![allow(dead_code)]

use std::sync::{Condvar, Mutex, PoisonError};

/// A stack for each so many cores; one at least.
const CORES: usize = 4;

static TAKEN: Mutex<usize> = Mutex::new(0);
static LEFT: Condvar = Condvar::new();

/// Room for a stack, until it is dropped. A test that failed leaves no stack behind.
pub struct Seat(usize);

fn seats() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get() / CORES).max(1)
}

fn take(many: usize) -> Seat {
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    while *taken + many > seats() {
        taken = LEFT.wait(taken).unwrap_or_else(PoisonError::into_inner);
    }
    *taken += many;
    Seat(many)
}

/// Waits until no other stack stands.
pub fn alone() -> Seat {
    take(seats())
}

/// Waits until no more stacks stand than the cores have room for.
pub fn beside_few() -> Seat {
    take(1)
}

impl Drop for Seat {
    fn drop(&mut self) {
        *TAKEN.lock().unwrap_or_else(PoisonError::into_inner) -= self.0;
        LEFT.notify_all();
    }
}
