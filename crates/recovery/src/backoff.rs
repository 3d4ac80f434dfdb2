//! Pauses between attempts to connect: doubling from the first to the longest, each drawn from its upper half, so that
//! clients that lost one broker together come back spread out.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist::Micros;

/// A sequence of pauses.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Micros,
    max: Micros,
    failures: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// From `first` to `most`, both in microseconds.
    pub fn new(first: Micros, most: Micros, seed: u64) -> Backoff {
        Backoff { first, max: most, failures: 0, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// A number drawn evenly from 0 to 1.
    pub fn next_fraction(&mut self) -> f64 {
        self.random.random()
    }

    /// The pause before the next attempt.
    pub fn next_pause(&mut self) -> Micros {
        let grown = self.first.saturating_mul(1 << self.failures.min(30)).clamp(1, self.max.max(1));
        self.failures = self.failures.saturating_add(1);
        grown / 2 + (grown as f64 / 2.0 * self.next_fraction()) as Micros
    }

    /// A connection stood: the next failure is a first one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
