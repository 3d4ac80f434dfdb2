//! How many requests are completed in a second, in a sliding window, and how long those in progress take by that (Little's
//! law: time in progress is requests in progress by the rate of completions).

use stagehoist::Micros;

/// The window has two parts of this length; the older one is dropped as a whole.
const PART: Micros = 500_000;

/// Completions in the window.
#[derive(Clone, Copy, Debug)]
pub struct CompletionRate {
    began_at: Micros,
    current: u32,
    previous: u32,
    /// Where a part before the current one was observed.
    has_previous: bool,
}

impl CompletionRate {
    /// Nothing completed; observed from `now` on.
    pub fn new(now: Micros) -> CompletionRate {
        CompletionRate { began_at: now, current: 0, previous: 0, has_previous: false }
    }

    /// A request was completed.
    pub fn record(&mut self, now: Micros) {
        self.advance(now);
        self.current += 1;
    }

    fn advance(&mut self, now: Micros) {
        let parts = (now - self.began_at).div_euclid(PART);
        if parts <= 0 {
            return;
        }
        self.previous = if parts == 1 { self.current } else { 0 };
        self.current = 0;
        self.has_previous = true;
        self.began_at += parts * PART;
    }

    /// How long so many requests take to be completed.
    pub fn time_for(&self, requests: usize, now: Micros) -> Micros {
        let mut window = *self;
        window.advance(now);
        let observed = (now - window.began_at) + if window.has_previous { PART } else { 0 };
        let completed = f64::from(window.current + window.previous).max(1.0);
        (requests as f64 * observed as f64 / completed) as Micros
    }
}

#[cfg(test)]
mod tests;
