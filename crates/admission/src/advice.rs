//! Retry advice for rejected callers: the delay is the predicted time until the calls held now have ended, randomized so
//! that callers rejected together do not retry together.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist::Micros;

/// Weight of a new interval in the exponential moving average of the rate.
const RATE_WEIGHT: f64 = 0.3;
/// Minimum interval over which the rate is measured, in microseconds.
const CHECK_INTERVAL: Micros = 250_000;

/// Measures the rate at which calls end and derives retry delays from it.
#[derive(Clone, Debug)]
pub struct Advice {
    max: Micros,
    /// Calls that ended in the current interval.
    departures: u64,
    interval_start: Micros,
    /// Exponential moving average of the calls that end per microsecond.
    rate: Option<f64>,
    random: ChaCha8Rng,
}

impl Advice {
    /// Creates advice with delays of at most `limit` microseconds; `seed` seeds the randomization.
    pub fn new(limit: Micros, seed: u64, now: Micros) -> Advice {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Advice { max: limit, departures: 0, interval_start: now, rate: None, random }
    }

    /// Records that a held call ended with its final answer.
    pub fn on_departure(&mut self, now: Micros) {
        self.departures += 1;
        let elapsed = now - self.interval_start;
        if elapsed < CHECK_INTERVAL {
            return;
        }
        let rate = self.departures as f64 / elapsed as f64;
        self.rate = Some(self.rate.map_or(rate, |average| average + RATE_WEIGHT * (rate - average)));
        self.departures = 0;
        self.interval_start = now;
    }

    /// Returns the advised retry delay in microseconds while `held` calls are held: 0.5 to 1.5 times, at random, the
    /// predicted time until they have ended. If no rate is known yet, the prediction is the maximum.
    pub fn retry_after(&mut self, held: u64) -> Micros {
        let drain_time = match self.rate {
            Some(rate) if rate > 0.0 => held as f64 / rate,
            _ => self.max as f64,
        };
        let jitter: f64 = self.random.random();
        let drain_time = drain_time.min(self.max as f64 / 1.5);
        (drain_time * (0.5 + jitter)) as Micros
    }
}
