//! Pauses between connection attempts: they double from the first to the maximum, and each is drawn at random from the
//! upper half of its range, so that clients that lost the same broker together do not reconnect at the same time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist::Micros;

/// Randomized exponential backoff.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Micros,
    max: Micros,
    failures: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff from `first` to at most `limit`, both in microseconds.
    pub fn new(first: Micros, limit: Micros, seed: u64) -> Backoff {
        Backoff { first, max: limit, failures: 0, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns a uniformly distributed random number between 0 and 1.
    pub fn next_fraction(&mut self) -> f64 {
        self.random.random()
    }

    /// Returns the pause before the next attempt.
    pub fn next_pause(&mut self) -> Micros {
        let pause = self.first.saturating_mul(1 << self.failures.min(30)).clamp(1, self.max.max(1));
        self.failures = self.failures.saturating_add(1);
        pause / 2 + (pause as f64 / 2.0 * self.next_fraction()) as Micros
    }

    /// Resets the sequence after a successful connection: the next pause is the first one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
