//! What work costs: bytes allocated by the process, processor time of the thread.

use cap::Cap;
use std::alloc::System;
use std::time::Duration;

/// Most bytes that a run may hold: half of the machine's memory that the tests are made for.
const MOST: usize = 12 << 30;

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, MOST);

/// Bytes allocated now by all threads of the process.
pub fn allocated() -> f64 {
    HEAP.allocated() as f64
}

/// Processor time that this thread has used.
pub fn thread_time() -> Duration {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(t.tv_sec.max(0) as u64, t.tv_nsec.max(0) as u32)
}

/// Processor time, in seconds, that this thread spends on something.
pub fn spent<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = thread_time();
    let done = work();
    (done, (thread_time() - before).as_secs_f64())
}
