//! The maximum and the minimum of a zone's weight that a shard holds, and how both are rounded.

use crate::division::Table;
use crate::Shard;

/// A fraction: numerator and denominator.
pub(crate) type Fraction = (i64, i64);

/// Maximum weight of a shard as a fraction of its share of the zone's weight. The last member admitted may
/// exceed the limit. A lower limit causes more moves with each change: with 1.125 about one member in five is
/// not in the shard that it prefers most.
pub(crate) const LIMIT: Fraction = (9, 8);

/// Minimum weight of a shard as a fraction of its share of the zone's weight. Substitutes from other shards
/// serve a shard whose own members weigh less, up to this minimum. So a shard has capacity even when all its
/// members have left, and no member's home changes for that.
pub(crate) const MIN_LOAD: Fraction = (7, 8);

/// The minimum for front ends. It is lower than for workers because a substitute front end holds the workers
/// and functions of two shards, which makes each of its calls more expensive, while a front end in a shard with
/// few others only handles more calls: in the shard with the fewest front ends each has 1.5 times the mean.
pub(crate) const MIN_FRONT_END_LOAD: Fraction = (1, 4);

/// The weight of a member of the usual size.
pub(crate) const UNIT: i64 = 1_000;

/// Returns the shard at which a zone's rounding of limits starts. Zones start at different shards so that
/// their rounding errors don't add up. The offsets are multiples of the golden ratio, scaled to the number of
/// shards.
pub(crate) fn rounding_offset(table: &Table, zone: u16) -> i64 {
    let part = (u64::from(zone) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((u128::from(part) * u128::from(table.shards())) >> 64) as i64
}

/// Returns a fraction of a shard's share of a zone's weight; the share is proportional to the shard's weight.
pub(crate) fn share(table: &Table, weight: u32, total: i64, part: Fraction) -> i64 {
    let scale = part.1 * table.weight as i64;
    (total * part.0 * i64::from(weight) + scale - 1) / scale
}

/// Returns the amount added to a share so that limits are rounded to whole members of the mean weight, at a
/// different point for each shard: adding or removing one member then changes about one limit and not all of
/// them at once.
pub(crate) fn rounding(table: &Table, rounding_offset: i64, shard: Shard, mean: i64) -> i64 {
    let shards = i64::from(table.shards());
    mean * (2 * ((i64::from(shard) + rounding_offset) % shards) + 1 - shards) / (2 * shards)
}
