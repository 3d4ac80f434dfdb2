//! Detects stalls: times in which this process did not run, because it was stopped, throttled, or busy with one
//! computation. Data read after a stall may have waited in the socket for that long. That time must not be attributed
//! to the workers, and it is lost for the clients.

use stagehoist::Micros;

#[cfg(test)]
mod tests;

/// How often the process is expected to check.
pub const CHECK_INTERVAL: Micros = 10_000;
/// A check that is later than expected by more than this means that the process did not run.
const CHECK_SLACK: Micros = 15_000;

/// Maximum error by which a delay is underestimated: less than the margin of the time that executors are given.
const MAX_DELAY_ERROR: Micros = 100_000;

/// All stalls so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StallTotals {
    /// Their sum, in microseconds.
    pub sum: Micros,
    /// The longest, in microseconds.
    pub longest: Micros,
    /// Their number.
    pub count: u64,
}

/// Detects stalls from the times of regular checks.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last_check: Micros,
    /// The time of the check before the last one.
    previous_check: Micros,
    /// All stalls so far.
    pub totals: StallTotals,
}

impl StallDetector {
    /// Creates a detector whose first check is expected one interval after `now`.
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_check: now, previous_check: now, totals: StallTotals::default() }
    }

    /// Records a check, which is expected every [`CHECK_INTERVAL`]. Returns how late it is.
    pub fn check(&mut self, now: Micros) -> Micros {
        let passed = now - self.last_check;
        self.previous_check = self.last_check;
        self.last_check = now;
        if is_stall(passed) {
            self.totals.sum += passed;
            self.totals.longest = self.totals.longest.max(passed);
            self.totals.count += 1;
        }
        (passed - CHECK_INTERVAL).max(0)
    }

    /// Returns how long data read now may have waited in its socket because this process did not run or was
    /// computing; usually 0. The data arrived at an unknown time between two checks, so this is somewhat less than
    /// the maximum.
    pub fn delay(&self, now: Micros) -> Micros {
        let between_checks = self.last_check - self.previous_check;
        (self.longest_delay(now) - (between_checks / 2).min(MAX_DELAY_ERROR)).max(0)
    }

    /// Returns the maximum time for which data read now waited. Sockets are polled between checks, so data that the
    /// poll before the last did not find arrived after that poll.
    pub fn longest_delay(&self, now: Micros) -> Micros {
        let passed = now - self.last_check;
        if is_stall(passed) || is_stall(self.last_check - self.previous_check) {
            return now - self.previous_check;
        }
        0
    }
}

fn is_stall(passed: Micros) -> bool {
    passed > CHECK_INTERVAL + CHECK_SLACK
}
