//! Bounds log lines that a peer can cause.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Lets a log line through once in an interval.
#[derive(Debug)]
pub struct LogInterval {
    interval: Duration,
    last: Cell<Option<Instant>>,
}

impl LogInterval {
    /// Creates an interval that lets the first line through.
    pub const fn new(interval: Duration) -> LogInterval {
        LogInterval { interval, last: Cell::new(None) }
    }

    /// Whether a line may be logged now; if so, the interval begins.
    pub fn may_log(&self) -> bool {
        let now = Instant::now();
        let may_log = self.last.get().is_none_or(|at| now - at >= self.interval);
        if may_log {
            self.last.set(Some(now));
        }
        may_log
    }
}
