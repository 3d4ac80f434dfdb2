//! How much of a zone's weight a shard may hold, and how much it must.

use crate::division::Table;
use crate::Shard;

/// A part of a whole: numerator and denominator.
pub(crate) type Part = (i64, i64);

/// A shard may hold this part of the zone's weight, its own share being 1, and the rest of one member beyond
/// it. Less means more moves with each change: with 1.125 about one in five is not where it wants to be most.
pub(crate) const LIMIT: Part = (9, 8);

/// Where less than this part of the zone's weight is at home in a shard, its own share being 1, others stand
/// in up to it. So a shard has capacity even where all that were at home in it left, and nobody moves for
/// that.
pub(crate) const MIN_LOAD: Part = (7, 8);

/// The same for front ends, where one that stands in knows the workers and functions of two shards, and pays for both with each
/// call, while one with few others beside it pays for its calls alone: those of the emptiest shard have 1.5 times the mean.
pub(crate) const MIN_FRONT_END_LOAD: Part = (1, 4);

/// The usual weight of a member.
pub(crate) const UNIT: i64 = 1_000;

/// Where in a zone the roundings of limits begin, so that those of the zones don't add up: multiples of the
/// golden ratio, the same part of the way through the shards whatever their number.
pub(crate) fn turn(table: &Table, zone: u16) -> i64 {
    let part = (u64::from(zone) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((u128::from(part) * u128::from(table.shards())) >> 64) as i64
}

/// A part of a shard's share of a zone's weight, by the weight of the shard.
pub(crate) fn share(table: &Table, weight: u32, total: i64, part: Part) -> i64 {
    let scale = part.1 * table.weight as i64;
    (total * part.0 * i64::from(weight) + scale - 1) / scale
}

/// What is added to a share so that limits are rounded to whole members of the mean weight, each at another point: one
/// member more or less changes about one limit and not all of them at once.
pub(crate) fn rounding(table: &Table, turn: i64, shard: Shard, mean: i64) -> i64 {
    let shards = i64::from(table.shards());
    mean * (2 * ((i64::from(shard) + turn) % shards) + 1 - shards) / (2 * shards)
}
