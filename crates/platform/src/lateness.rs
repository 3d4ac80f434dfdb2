//! Tracks how late the empty frames of the event bus are, and when to measure this on a new connection.

use stagehoist::Micros;

/// An empty frame that may have been written longer ago than this is late. Events that are this late still arrive well
/// within the drain grace.
const MAX_LATENESS: Micros = 100_000;
/// After this number of late frames in a row a new connection measures the lateness anew, because the interval of the
/// bus may differ from the expected one.
const MAX_LATE_FRAMES: u32 = 2;
/// First and longest pause between such measurements. The pause doubles while the frames remain late.
const FIRST_PAUSE: Micros = 4_000_000;
const MAX_PAUSE: Micros = 64_000_000;

/// The lateness of the event bus across connections.
#[derive(Debug)]
pub struct LatenessMonitor {
    /// The maximum lateness of the last empty frame.
    lateness: Micros,
    /// Number of late frames in a row on the present connection.
    late_frames: u32,
    next_measurement_at: Micros,
    /// Pause after the next measurement.
    pause: Micros,
}

impl LatenessMonitor {
    /// Creates a monitor of a bus that is not known to be late.
    pub fn new(now: Micros) -> LatenessMonitor {
        LatenessMonitor { lateness: 0, late_frames: 0, next_measurement_at: now, pause: FIRST_PAUSE }
    }

    /// Returns the maximum lateness of the last empty frame.
    pub fn lateness(&self) -> Micros {
        self.lateness
    }

    /// Whether the last empty frame was late.
    pub fn is_late(&self) -> bool {
        self.lateness > MAX_LATENESS
    }

    /// Records a new connection.
    pub fn on_connected(&mut self) {
        self.late_frames = 0;
    }

    /// Records the maximum lateness of an empty frame.
    pub fn record(&mut self, lateness: Micros) {
        let was_late = self.is_late();
        self.lateness = lateness;
        let is_late = self.is_late();
        if is_late != was_late {
            tracing::info!(lateness_ms = lateness / 1000, is_late, "lateness of the event bus changed");
        }
        if is_late {
            self.late_frames += 1;
        } else {
            self.late_frames = 0;
            self.pause = FIRST_PAUSE;
        }
    }

    /// Returns whether the lateness is to be measured on a new connection now; if so, the next measurement is paused.
    pub fn begin_measurement(&mut self, now: Micros) -> bool {
        if self.late_frames < MAX_LATE_FRAMES || now < self.next_measurement_at {
            return false;
        }
        self.next_measurement_at = now + self.pause;
        self.pause = (2 * self.pause).min(MAX_PAUSE);
        true
    }
}

#[cfg(test)]
mod tests;
