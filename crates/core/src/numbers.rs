//! Arithmetic without judgement: a hash, a number from 0 to 1 drawn by it, exponential decay, a percentile of few.

use crate::interface::Micros;
use std::collections::VecDeque;

/// A hash of two numbers (the finaliser of SplitMix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// The same as a number from 0 up to 1.
pub fn rank(a: u64, b: u64) -> f64 {
    (mix(a, b) >> 11) as f64 / (1u64 << 53) as f64
}

/// What is left of 1 after `passed`, where `over` leaves 1/e.
pub fn fade(passed: Micros, over: Micros) -> f64 {
    (-(passed as f64) / over.max(1) as f64).exp()
}

/// The 99th percentile of so few runs (the greatest), where there are so many, unless a long tail makes it tell of one
/// heavy request more than of the next.
pub fn p99(runs: &VecDeque<f64>, many: usize) -> Option<f64> {
    let (top, sum) = runs.iter().fold((0.0, 0.0), |(top, sum), &x| (f64::max(top, x), sum + x));
    (runs.len() == many && top * many as f64 <= 1.5 * sum).then_some(top)
}

/// Moves a running mean towards a sample by `gain` of the way; the first sample is the mean.
pub fn blend(mean: &mut Option<f64>, sample: f64, gain: f64) {
    *mean = Some(mean.map_or(sample, |m| m + gain * (sample - m)));
}
