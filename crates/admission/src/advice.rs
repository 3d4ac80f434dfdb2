//! When a caller that is rejected at the door had better return: once what is held is predicted to have drained, spread
//! so that those rejected together do not come back together.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist::Micros;

/// Weight of a new second in the pace.
const GAIN: f64 = 0.3;
const CHECK_INTERVAL: Micros = 250_000;

/// The pace at which answers leave, and advice by it.
#[derive(Clone, Debug)]
pub struct Advice {
    max: Micros,
    /// Calls that left in the present interval, and when it began; calls a microsecond, smoothed.
    last_leave: (u64, Micros),
    interval: Option<f64>,
    random: ChaCha8Rng,
}

impl Advice {
    /// Advice of at most `most` microseconds; `seed` spreads it.
    pub fn new(most: Micros, seed: u64, now: Micros) -> Advice {
        Advice { max: most, last_leave: (0, now), interval: None, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// A held call left with its final answer.
    pub fn last_leave(&mut self, now: Micros) {
        self.last_leave.0 += 1;
        let passed = now - self.last_leave.1;
        if passed >= CHECK_INTERVAL {
            let pace = self.last_leave.0 as f64 / passed as f64;
            self.interval = Some(self.interval.map_or(pace, |p| p + GAIN * (pace - p)));
            self.last_leave = (0, now);
        }
    }

    /// How long to stay away while so many calls are held, in microseconds: the predicted drain, drawn from its half to one
    /// and a half times it; the whole bound where nothing leaves.
    pub fn retry_after(&mut self, held: u64) -> Micros {
        let drain = match self.interval {
            Some(pace) if pace > 0.0 => held as f64 / pace,
            _ => self.max as f64,
        };
        let part: f64 = self.random.random();
        let drain = drain.min(self.max as f64 / 1.5);
        (drain * (0.5 + part)) as Micros
    }
}
