//! How many messages may be out at this consumer (`basic.qos`, AMQP 0-9-1 section 1.8.3.1).
//!
//! What lies beyond waits in the broker, where nothing weighs it. So the window stands open: always wider than what is
//! unsettled, by a slack that takes what comes until the next look. It is no wider than that, as a front end that stops
//! (a swapped-out process, a dead machine) has up to its slack sent into the void before the window shuts.

use stagehoist::Micros;

/// Smallest slack, in messages.
const MIN_SLACK: u32 = 64;
/// Longest window that a broker can be asked for (a 16-bit prefetch count), in messages.
const MAX_WINDOW: u32 = 65_535;
/// The slack takes twice what came within this time, in microseconds.
const CHECK_INTERVAL: Micros = 100_000;

/// The window of one channel.
#[derive(Clone, Debug)]
pub struct Window {
    requested: u32,
    slack: u32,
    /// Deliveries in the present interval.
    arrivals: u32,
    interval_start: Micros,
}

impl Window {
    /// A window as it is asked for first.
    pub fn new(now: Micros) -> Window {
        Window { requested: 4 * MIN_SLACK, slack: 2 * MIN_SLACK, arrivals: 0, interval_start: now }
    }

    /// The prefetch count that the broker was last asked for.
    pub fn requested(&self) -> u16 {
        self.requested as u16
    }

    /// Whether the broker may send another message while so many are unsettled.
    pub fn is_open(&self, unsettled: usize) -> bool {
        (unsettled as u64) < u64::from(self.requested)
    }

    /// A message was delivered.
    pub fn delivered(&mut self) {
        self.arrivals = self.arrivals.saturating_add(1);
    }

    /// What to ask the broker for now, where that differs from what it was asked for.
    ///
    /// Widened as soon as half the slack is used up; narrowed only when four times too wide, as each change is a round
    /// trip to the broker.
    pub fn next_request(&mut self, unsettled: usize, now: Micros) -> Option<u16> {
        let passed = now - self.interval_start;
        if passed >= CHECK_INTERVAL {
            let per_interval = f64::from(self.arrivals) * CHECK_INTERVAL as f64 / passed as f64;
            let wanted = ((2.0 * per_interval) as u32).clamp(MIN_SLACK, MAX_WINDOW / 4);
            // Grows at once, shrinks slowly: bursts come again.
            self.slack = wanted.max(self.slack - self.slack / 8).max(MIN_SLACK);
            self.arrivals = 0;
            self.interval_start = now;
        } else if self.arrivals > self.slack {
            self.slack = (2 * self.arrivals).min(MAX_WINDOW / 4);
        }
        let unsettled = u32::try_from(unsettled).unwrap_or(MAX_WINDOW).min(MAX_WINDOW);
        let fit = (unsettled + self.slack).min(MAX_WINDOW);
        let narrow = self.requested < MAX_WINDOW && self.requested < unsettled + self.slack / 2;
        let wide = self.requested > 4 * fit;
        if !narrow && !wide {
            return None;
        }
        self.requested = if narrow { (unsettled + 2 * self.slack).min(MAX_WINDOW) } else { fit };
        Some(self.requested as u16)
    }
}
