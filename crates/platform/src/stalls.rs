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

/// A stall that a check found.
#[derive(Clone, Copy, Debug, Default)]
struct Pause {
    found_at: Micros,
    length: Micros,
}

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

/// When the process last checked, and its last stall.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last_check: Micros,
    last_pause: Pause,
    /// All stalls so far.
    pub totals: StallTotals,
}

impl StallDetector {
    /// A detector whose first check is due one interval after `now`.
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_check: now, last_pause: Pause::default(), totals: StallTotals::default() }
    }

    /// The process checks, as it should every [`CHECK_INTERVAL`].
    pub fn check(&mut self, now: Micros) {
        let passed = now - self.last_check;
        self.last_check = now;
        if is_stall(passed) {
            self.last_pause = Pause { found_at: now, length: passed };
            self.totals.sum += passed;
            self.totals.longest = self.totals.longest.max(passed);
            self.totals.count += 1;
        }
    }

    /// How long bytes read now may have waited in their socket because this process did not run; 0 as a rule.
    pub fn delay(&self, now: Micros) -> Micros {
        let passed = now - self.last_check;
        if is_stall(passed) {
            return passed;
        }
        // What the stall left behind is read in the turns right after it.
        if now - self.last_pause.found_at <= CHECK_INTERVAL {
            self.last_pause.length
        } else {
            0
        }
    }
}

fn is_stall(passed: Micros) -> bool {
    passed > CHECK_INTERVAL + CHECK_SLACK
}
