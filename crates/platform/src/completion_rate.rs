//! Measures the rate of completed requests in a sliding window, and derives from it how long the requests in progress
//! take (Little's law: time in progress = requests in progress / rate of completions).

use stagehoist::Micros;

/// Length of each of the window's two parts; the older part is dropped as a whole.
const PART: Micros = 500_000;

/// Completions in the window.
#[derive(Clone, Copy, Debug)]
pub struct CompletionRate {
    started_at: Micros,
    current: u32,
    previous: u32,
    /// Whether a part before the current one was observed.
    has_previous: bool,
}

impl CompletionRate {
    /// Creates a rate without completions, observed from `now` on.
    pub fn new(now: Micros) -> CompletionRate {
        CompletionRate { started_at: now, current: 0, previous: 0, has_previous: false }
    }

    /// Records that a request was completed.
    pub fn record(&mut self, now: Micros) {
        self.advance(now);
        self.current += 1;
    }

    fn advance(&mut self, now: Micros) {
        let parts = (now - self.started_at).div_euclid(PART);
        if parts <= 0 {
            return;
        }
        self.previous = if parts == 1 { self.current } else { 0 };
        self.current = 0;
        self.has_previous = true;
        self.started_at += parts * PART;
    }

    /// Returns how long it takes to complete `requests` requests.
    pub fn time_for(&self, requests: usize, now: Micros) -> Micros {
        let mut window = *self;
        window.advance(now);
        let observed = (now - window.started_at) + if window.has_previous { PART } else { 0 };
        let completed = f64::from(window.current + window.previous).max(1.0);
        (requests as f64 * observed as f64 / completed) as Micros
    }
}

#[cfg(test)]
mod tests;
