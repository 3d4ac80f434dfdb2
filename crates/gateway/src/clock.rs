//! One monotonic clock, read once a batch. It counts microseconds since 1970 as the system's clock had them at the start,
//! so that workers' start times can be compared with it, and never goes backwards after that.

use stagehoist::Micros;
use std::pin::Pin;
use std::time::{Duration, Instant, SystemTime};
use tokio::time::Sleep;

/// A clock that begins at the system's time and goes on monotonically.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    offset: Micros,
}

impl Clock {
    /// Reads the system's time once.
    pub fn new() -> Clock {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), offset: since.as_micros() as Micros }
    }

    /// Microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.offset + self.start.elapsed().as_micros() as Micros
    }

    /// The runtime's instant of a moment on this clock.
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

/// A timer that a loop keeps over its turns, so that a turn which does not change it costs nothing.
pub struct Alarm {
    clock: Clock,
    at: Micros,
    sleep: Pin<Box<Sleep>>,
}

impl Alarm {
    /// A timer that is far away.
    pub fn new(clock: Clock) -> Alarm {
        let at = clock.now() + 3_600_000_000;
        Alarm { clock, at, sleep: Box::pin(tokio::time::sleep_until(clock.instant(at))) }
    }

    /// Rings at this moment and at no other.
    pub fn set(&mut self, at: Micros) {
        if at != self.at {
            self.at = at;
            self.sleep.as_mut().reset(self.clock.instant(at));
        }
    }

    /// Waits for the moment that was set; at once where it is over.
    pub async fn rings(&mut self) {
        self.sleep.as_mut().await;
    }
}
