//! What is told of the dealing, and the floor that each front end has in a pool.

use crate::Micros;

/// Thousandths of a pool that are its floors, the same at all front ends and keepers of every fleet.
pub const GUARANTEED_SHARE: u32 = 200;

/// What the dealer is told alike at every keeper; `fleet` and `floor_share` alike at every front end too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AllocationLimits {
    /// Front ends that there are at most; at least 1.
    pub front_ends: u32,
    /// Thousandths of a pool that are its floors.
    pub guaranteed_share: u32,
    /// The longest that a run goes on, from its start until all its attempts are known to have ended.
    pub longest_run: Micros,
    /// How often targets are reckoned anew at most.
    pub interval: Micros,
}

/// Lanes that each front end may always use in a pool of this size: an equal part of the floors' share,
/// rounded down, so that all floors together never pass it. By-workers pools: of the ready lanes that the
/// front end counts itself.
pub fn guaranteed_permits(size: u32, limits: &AllocationLimits) -> u32 {
    let share = u64::from(size) * u64::from(limits.guaranteed_share.min(1000)) / 1000;
    u32::try_from(share / u64::from(limits.front_ends.max(1))).unwrap_or(u32::MAX)
}
