//! Detection of stalls: for how long this process itself did not run, because it was stopped, throttled, or busy with one
//! thing. What it reads after that may have waited in the socket for so long, which is neither the workers' slowness nor
//! time that callers still have.

use stagehoist::Micros;

#[cfg(test)]
mod tests;

/// How often the process is expected to check.
pub const CHECK_INTERVAL: Micros = 10_000;
/// A check that comes so much later than expected means that the process did not run.
const CHECK_SLACK: Micros = 15_000;

/// A delay is taken for so much shorter at most than it may be: less than the slack of the time that executors are told.
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

/// When the process last checked.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last_check: Micros,
    /// When it had checked before that.
    previous_check: Micros,
    /// All stalls so far.
    pub totals: StallTotals,
}

impl StallDetector {
    /// A detector whose first check is due one interval after `now`.
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_check: now, previous_check: now, totals: StallTotals::default() }
    }

    /// The process checks, as it should every [`CHECK_INTERVAL`]. Gives by how much it is late.
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

    /// How long bytes read now may have waited in their socket because this process did not run, or computed; 0 as a rule.
    /// As they came at some time between two checks, it is somewhat less than they may have waited at most.
    pub fn delay(&self, now: Micros) -> Micros {
        let between_checks = self.last_check - self.previous_check;
        (self.longest_delay(now) - (between_checks / 2).min(MAX_DELAY_ERROR)).max(0)
    }

    /// How long they may have waited at most. Sockets are looked at between checks: what the look before the last did not find
    /// came after it.
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
