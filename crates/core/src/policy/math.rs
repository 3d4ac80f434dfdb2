//! Arithmetic helpers: a hash, a fraction from 0 to 1 derived from it, exponential decay, moving averages, exact sums
//! and the 99th percentile of a few samples.

use crate::interface::Micros;
use std::collections::VecDeque;

/// Weight of a new sample in the moving averages.
pub const GAIN: f64 = 0.15;

/// Largest ratio of the greatest sample to the mean at which the greatest sample counts as the percentile.
const MAX_TAIL_RATIO: f64 = 1.5;

/// Hashes two numbers with the finaliser of SplitMix64.
pub fn hash(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// Returns the hash of two numbers as a fraction in `[0, 1)`.
pub fn hash_fraction(a: u64, b: u64) -> f64 {
    (hash(a, b) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the factor of an exponential decay after `elapsed`: 1/e after one `time_constant`.
pub fn decay(elapsed: Micros, time_constant: Micros) -> f64 {
    (-(elapsed as f64) / time_constant.max(1) as f64).exp()
}

/// Returns the 99th percentile of `required` samples, which is the greatest of them. Returns `None` if there are fewer
/// samples, or if the greatest is so far above the mean that it probably comes from a single heavy request and does
/// not predict the next one.
pub fn percentile_99(samples: &VecDeque<f64>, required: usize) -> Option<f64> {
    let greatest = samples.iter().fold(0.0, |greatest, &sample| f64::max(greatest, sample));
    let sum = samples.iter().fold(0.0, |sum, &sample| sum + sample);
    let is_typical = greatest * required as f64 <= MAX_TAIL_RATIO * sum;
    (samples.len() == required && is_typical).then_some(greatest)
}

/// Moves a moving average towards a sample by `gain` of the distance; the first sample becomes the average.
pub fn update_average(average: &mut Option<f64>, sample: f64, gain: f64) {
    *average = Some(average.map_or(sample, |mean| mean + gain * (sample - mean)));
}

/// A sum in fixed-point arithmetic: subtracting an amount that was added leaves no rounding error, however often the
/// parts are replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExactSum {
    /// In units of 2^-60.
    units: i128,
}

impl ExactSum {
    const UNITS_IN_ONE: f64 = (1u64 << 60) as f64;

    /// Returns the sum.
    pub fn value(self) -> f64 {
        self.units as f64 / Self::UNITS_IN_ONE
    }

    /// Subtracts `old` and adds `new`.
    pub fn replace(&mut self, old: f64, new: f64) {
        let units = |amount: f64| (amount * Self::UNITS_IN_ONE) as i128;
        self.units += units(new) - units(old);
    }
}

/// A sum of amounts that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    /// The sum at `updated_at`.
    pub value: f64,
    /// Time of the last update.
    pub updated_at: Micros,
}

impl DecayingSum {
    /// Returns the sum decayed to `now`.
    pub fn at(&self, now: Micros, time_constant: Micros) -> f64 {
        self.value * decay(now - self.updated_at, time_constant)
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Micros, time_constant: Micros) {
        *self = DecayingSum { value: self.at(now, time_constant) + amount, updated_at: now };
    }
}
