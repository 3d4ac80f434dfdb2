//! Controls how many unsettled messages this consumer may have (`basic.qos`, AMQP 0-9-1 section 1.8.3.1).
//!
//! Messages beyond the window wait in the broker, where the decision module can't rank them. So the window always exceeds
//! the number of unsettled messages by a slack that covers the arrivals until the next check. It is no wider than that,
//! because a broker sends a front end that stopped (a swapped-out process, a dead machine) up to the slack in messages
//! before the window closes.

use stagehoist::Micros;

/// Minimum slack, in messages.
const MIN_SLACK: u32 = 64;
/// Maximum window that can be requested from a broker (a 16-bit prefetch count), in messages.
const MAX_WINDOW: u32 = 65_535;
/// The slack covers twice the arrivals within this interval, in microseconds.
const CHECK_INTERVAL: Micros = 100_000;

/// The window of one channel.
#[derive(Clone, Debug)]
pub struct Window {
    requested: u32,
    slack: u32,
    /// Deliveries in the current interval.
    arrivals: u32,
    interval_start: Micros,
}

impl Window {
    /// Creates a window with the initial size.
    pub fn new(now: Micros) -> Window {
        Window { requested: 4 * MIN_SLACK, slack: 2 * MIN_SLACK, arrivals: 0, interval_start: now }
    }

    /// Returns the prefetch count that was last requested from the broker.
    pub fn requested(&self) -> u16 {
        self.requested as u16
    }

    /// Whether the broker may send another message while `unsettled` messages are unsettled.
    pub fn is_open(&self, unsettled: usize) -> bool {
        (unsettled as u64) < u64::from(self.requested)
    }

    /// Records a delivered message.
    pub fn delivered(&mut self) {
        self.arrivals = self.arrivals.saturating_add(1);
    }

    /// Returns the prefetch count to request from the broker, if it differs from the last requested one.
    ///
    /// The window widens as soon as half the slack is used, and narrows only when it is four times too wide, because each
    /// change costs a round trip to the broker.
    pub fn next_request(&mut self, unsettled: usize, now: Micros) -> Option<u16> {
        let elapsed = now - self.interval_start;
        if elapsed >= CHECK_INTERVAL {
            let per_interval = f64::from(self.arrivals) * CHECK_INTERVAL as f64 / elapsed as f64;
            let needed_slack = ((2.0 * per_interval) as u32).clamp(MIN_SLACK, MAX_WINDOW / 4);
            // The slack grows at once and shrinks slowly, because bursts recur.
            self.slack = needed_slack.max(self.slack - self.slack / 8).max(MIN_SLACK);
            self.arrivals = 0;
            self.interval_start = now;
        } else if self.arrivals > self.slack {
            self.slack = (2 * self.arrivals).min(MAX_WINDOW / 4);
        }
        let unsettled = u32::try_from(unsettled).unwrap_or(MAX_WINDOW).min(MAX_WINDOW);
        let target = (unsettled + self.slack).min(MAX_WINDOW);
        let too_narrow = self.requested < MAX_WINDOW && self.requested < unsettled + self.slack / 2;
        let too_wide = self.requested > 4 * target;
        if !too_narrow && !too_wide {
            return None;
        }
        self.requested = if too_narrow { (unsettled + 2 * self.slack).min(MAX_WINDOW) } else { target };
        Some(self.requested as u16)
    }
}
