//! Big-endian fields of records.

use crate::interface::Micros;

/// Longest time that is accepted unclamped, in milliseconds.
const MAX_MILLIS: f64 = 1e12;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

fn bytes_at<const N: usize>(record: &[u8], position: usize) -> [u8; N] {
    record[position..position + N].try_into().expect("the slice has exactly N bytes")
}

pub(super) fn u16_at(record: &[u8], position: usize) -> u16 {
    u16::from_be_bytes(bytes_at(record, position))
}

pub(super) fn u32_at(record: &[u8], position: usize) -> u32 {
    u32::from_be_bytes(bytes_at(record, position))
}

pub(super) fn u64_at(record: &[u8], position: usize) -> u64 {
    u64::from_be_bytes(bytes_at(record, position))
}

/// Reads a 32-bit float; 0 if it is not finite.
pub(super) fn f32_at(record: &[u8], position: usize) -> f64 {
    let value = f32::from_be_bytes(bytes_at(record, position));
    if value.is_finite() {
        f64::from(value)
    } else {
        0.0
    }
}

/// Reads a time given in milliseconds as a 64-bit float.
pub(super) fn millis_at(record: &[u8], position: usize) -> Micros {
    micros(f64::from_be_bytes(bytes_at(record, position)))
}

/// Converts milliseconds to microseconds. NaN becomes 0; values beyond [`MAX_MILLIS`] are clamped.
pub(super) fn micros(millis: f64) -> Micros {
    if millis.is_nan() {
        0
    } else {
        (millis.clamp(-MAX_MILLIS, MAX_MILLIS) * MICROS_PER_MILLI).round() as Micros
    }
}

/// Converts microseconds to milliseconds.
pub(super) fn millis(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
