//! A monotonic clock, read once per batch. It counts microseconds since 1970, starting from the system time at process
//! start, so that it can be compared with the start times of workers, and it never goes backwards.

use stagehoist::Micros;
use std::pin::Pin;
use std::time::{Duration, Instant, SystemTime};
use tokio::time::Sleep;

/// A monotonic clock that starts at the system time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    offset: Micros,
}

impl Clock {
    /// Creates a clock that starts at the current system time, which is read only here.
    pub fn new() -> Clock {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), offset: since.as_micros() as Micros }
    }

    /// Returns the current time in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.offset + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant of the runtime.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let since = Duration::from_micros((at - self.offset).max(0) as u64);
        tokio::time::Instant::from_std(self.start + since)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

/// A timer that a loop reuses across its iterations, so that an iteration that does not change it costs nothing.
pub struct Alarm {
    clock: Clock,
    at: Micros,
    sleep: Pin<Box<Sleep>>,
}

impl Alarm {
    /// Creates an alarm that is set far in the future.
    pub fn new(clock: Clock) -> Alarm {
        let at = clock.now() + 3_600_000_000;
        Alarm { clock, at, sleep: Box::pin(tokio::time::sleep_until(clock.instant(at))) }
    }

    /// Sets the alarm to a time, replacing the previous one.
    pub fn set(&mut self, at: Micros) {
        if at != self.at {
            self.at = at;
            self.sleep.as_mut().reset(self.clock.instant(at));
        }
    }

    /// Waits for the time that was set; returns at once if it has passed.
    pub async fn wait(&mut self) {
        self.sleep.as_mut().await;
    }
}
