//! The amount of work that the established workers serve for this front end; holds no decisions.

use crate::interface::Micros;

/// Part of the distance that the usual work moves towards that of the last window.
const USUAL_GAIN: f64 = 0.3;

/// Work served for this front end per unit of the established workers' capacity. Work is relative to the mean of all
/// classes.
#[derive(Default)]
pub(super) struct ServedWork {
    /// Work in a usual window: a moving average.
    pub usual: f64,
    /// Work in the current window.
    current: f64,
    pub window_start: Micros,
    /// Capacity of the established workers.
    pub established_capacity: f64,
}

impl ServedWork {
    /// Creates the state without served work; the first window starts now.
    pub fn new(now: Micros) -> ServedWork {
        ServedWork { window_start: now, ..ServedWork::default() }
    }

    /// Records work served by an established worker of this capacity.
    pub fn record(&mut self, work: f64, capacity: f64) {
        self.current += work / self.established_capacity.max(capacity);
    }

    /// Ends the current window. `window` is its nominal length; it may have lasted longer.
    pub fn end_window(&mut self, now: Micros, window: Micros) {
        let span = now - std::mem::replace(&mut self.window_start, now);
        let work = std::mem::take(&mut self.current) * window as f64 / span as f64;
        if self.established_capacity > 0.0 {
            self.usual += USUAL_GAIN * (work - self.usual);
        }
    }
}
