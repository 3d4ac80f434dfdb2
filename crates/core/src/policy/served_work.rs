//! How much work the established workers serve for this front end: state without decisions.

use crate::interface::Micros;

/// Part of the distance that the usual work moves to that of a window.
const USUAL_GAIN: f64 = 0.3;

/// Work served for this front end, relative to the mean of all classes, by each unit of the established workers'
/// capacity.
#[derive(Default)]
pub(super) struct ServedWork {
    /// In a usual window.
    pub usual: f64,
    /// In the window under way.
    current: f64,
    pub window_start: Micros,
    /// Capacity of the established workers.
    pub established_capacity: f64,
}

impl ServedWork {
    /// Nothing served yet; the first window starts now.
    pub fn new(now: Micros) -> ServedWork {
        ServedWork { window_start: now, ..ServedWork::default() }
    }

    /// An established worker of this capacity served a request.
    pub fn record(&mut self, work: f64, capacity: f64) {
        self.current += work / self.established_capacity.max(capacity);
    }

    /// Ends a window of the given length that may have lasted longer.
    pub fn end_window(&mut self, now: Micros, window: Micros) {
        let span = now - std::mem::replace(&mut self.window_start, now);
        let work = std::mem::take(&mut self.current) * window as f64 / span as f64;
        if self.established_capacity > 0.0 {
            self.usual += USUAL_GAIN * (work - self.usual);
        }
    }
}
