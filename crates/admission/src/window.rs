//! How many messages may be out at this consumer (`basic.qos`, AMQP 0-9-1 section 1.8.3.1).
//!
//! What lies beyond waits in the broker, where nothing weighs it. So the window stands open: always wider than what is
//! unsettled, by a slack that takes what comes until the next look. It is no wider than that, as a front end that stops
//! (a swapped-out process, a dead machine) has up to its slack sent into the void before the window shuts.

use stagehoist::Micros;

/// Slack at the least, and the longest window that a broker can be asked for.
const LEAST: u32 = 64;
const MOST: u32 = 65_535;
/// The slack takes what came within this time, twice.
const CHECK_INTERVAL: Micros = 100_000;

/// The window of one channel.
#[derive(Clone, Debug)]
pub struct Window {
    requested: u32,
    slack: u32,
    /// Deliveries in the present interval, and when it began.
    arrivals: (u32, Micros),
}

impl Window {
    /// A window as it is asked for first.
    pub fn new(now: Micros) -> Window {
        Window { requested: 4 * LEAST, slack: 2 * LEAST, arrivals: (0, now) }
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
        self.arrivals.0 = self.arrivals.0.saturating_add(1);
    }

    /// What to ask the broker for now, where that differs from what it was asked for.
    ///
    /// Widened as soon as half the slack is used up; narrowed only when four times too wide, as each change is a round
    /// trip to the broker.
    pub fn next_request(&mut self, unsettled: usize, now: Micros) -> Option<u16> {
        let passed = now - self.arrivals.1;
        if passed >= CHECK_INTERVAL {
            let in_a_look = f64::from(self.arrivals.0) * CHECK_INTERVAL as f64 / passed as f64;
            let wanted = ((2.0 * in_a_look) as u32).clamp(LEAST, MOST / 4);
            // Grows at once, shrinks slowly: bursts come again.
            self.slack = wanted.max(self.slack - self.slack / 8).max(LEAST);
            self.arrivals = (0, now);
        } else if self.arrivals.0 > self.slack {
            self.slack = (2 * self.arrivals.0).min(MOST / 4);
        }
        let unsettled = u32::try_from(unsettled).unwrap_or(MOST).min(MOST);
        let fit = (unsettled + self.slack).min(MOST);
        let narrow = self.requested < MOST && self.requested < unsettled + self.slack / 2;
        let wide = self.requested > 4 * fit;
        if !narrow && !wide {
            return None;
        }
        self.requested = if narrow { (unsettled + 2 * self.slack).min(MOST) } else { fit };
        Some(self.requested as u16)
    }
}
