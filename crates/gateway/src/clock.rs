//! One monotonic clock, read once a batch. It counts microseconds since 1970 as the system's clock had them at the start,
//! so that workers' start times can be compared with it, and never goes backwards after that.

use stagehoist::Micros;
use std::time::{Duration, Instant, SystemTime};

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
