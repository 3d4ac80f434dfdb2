//! When a caller that is rejected at the door had better return: once what is held is predicted to have drained, spread
//! so that those rejected together do not come back together.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist::Micros;

/// Weight of a new interval in the smoothed rate.
const GAIN: f64 = 0.3;
/// Shortest interval over which the rate is taken, in microseconds.
const CHECK_INTERVAL: Micros = 250_000;

/// The rate at which calls end, and advice by it.
#[derive(Clone, Debug)]
pub struct Advice {
    max: Micros,
    /// Calls that ended in the present interval.
    departures: u64,
    interval_start: Micros,
    /// Calls that end in a microsecond, smoothed.
    rate: Option<f64>,
    random: ChaCha8Rng,
}

impl Advice {
    /// Advice of at most `most` microseconds; `seed` spreads it.
    pub fn new(most: Micros, seed: u64, now: Micros) -> Advice {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Advice { max: most, departures: 0, interval_start: now, rate: None, random }
    }

    /// A held call left with its final answer.
    pub fn on_departure(&mut self, now: Micros) {
        self.departures += 1;
        let passed = now - self.interval_start;
        if passed < CHECK_INTERVAL {
            return;
        }
        let rate = self.departures as f64 / passed as f64;
        self.rate = Some(self.rate.map_or(rate, |smoothed| smoothed + GAIN * (rate - smoothed)));
        self.departures = 0;
        self.interval_start = now;
    }

    /// How long to stay away while so many calls are held, in microseconds: the predicted drain, drawn from its half to one
    /// and a half times it; the whole bound where nothing leaves.
    pub fn retry_after(&mut self, held: u64) -> Micros {
        let drain = match self.rate {
            Some(rate) if rate > 0.0 => held as f64 / rate,
            _ => self.max as f64,
        };
        let spread: f64 = self.random.random();
        let drain = drain.min(self.max as f64 / 1.5);
        (drain * (0.5 + spread)) as Micros
    }
}
