//! Limits messages that lead to no work for an executor. A few are normal; a connection that sends very many of them
//! shares a small rate with all others that do.

use stagehoist::Micros;

/// Number of unproductive messages, in the recent past, from which a connection is limited.
const MAX_RECENT: f64 = 1024.0;
/// Half-life of the recent past.
const HALF_LIFE: Micros = 1_000_000;
/// Unproductive messages per second that are read from all limited connections together, and how many may be saved up.
const SHARED_RATE: f64 = 20_000.0;
const SHARED_BURST: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The recent unproductive messages of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentMessages {
    count: f64,
    at: Micros,
}

impl RecentMessages {
    /// Returns the number of recent messages.
    pub fn value(&self, now: Micros) -> f64 {
        let half_lives = (now - self.at).max(0) as f64 / HALF_LIFE as f64;
        self.count * (-half_lives).exp2()
    }

    /// Adds messages that were read now.
    pub fn record(&mut self, messages: u32, now: Micros) {
        self.count = self.value(now) + f64::from(messages);
        self.at = now;
    }

    /// Whether a connection with these messages is limited.
    pub fn is_limited(&self, now: Micros) -> bool {
        // Most connections never send such a message.
        self.count >= MAX_RECENT && self.value(now) >= MAX_RECENT
    }
}

/// The rate that all limited connections share.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedRate {
    tokens: f64,
    at: Micros,
}

impl SharedRate {
    /// Creates a rate with its burst saved up.
    pub fn new(now: Micros) -> SharedRate {
        SharedRate { tokens: SHARED_BURST, at: now }
    }

    /// Returns when messages may be read again; `now` if they may be read now.
    pub fn available_at(&mut self, now: Micros) -> Micros {
        let earned = (now - self.at).max(0) as f64 * SHARED_RATE / MICROS_PER_SECOND;
        self.tokens = (self.tokens + earned).min(SHARED_BURST);
        self.at = now;
        if self.tokens > 0.0 {
            return now;
        }
        now + 1 + (-self.tokens * MICROS_PER_SECOND / SHARED_RATE) as Micros
    }

    /// Spends tokens; the rate may be overdrawn by one read.
    pub fn spend(&mut self, messages: u32) {
        self.tokens -= f64::from(messages);
    }
}
