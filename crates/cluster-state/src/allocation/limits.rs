//! What is known of the allocation, and the guaranteed minimum that each front end has in a pool.

use crate::Micros;

/// Thousandths of a pool that are its guaranteed minimums, the same at all front ends and replicas of every fleet.
pub const GUARANTEED_SHARE: u32 = 200;

/// What the allocator is configured alike at every replica; `fleet` and `floor_share` alike at every front end too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AllocationLimits {
    /// Front ends that there are at most; at least 1.
    pub front_ends: u32,
    /// Thousandths of a pool that are its guaranteed minimums.
    pub guaranteed_share: u32,
    /// The longest that a run goes on, from its start until all its attempts are known to have ended.
    pub longest_run: Micros,
    /// How often targets are reckoned anew at most.
    pub interval: Micros,
}

/// Permits that each front end may always use in a pool of this size: an equal part of the guaranteed minimums' share,
/// rounded down, so that all guaranteed minimums together never pass it. By-workers pools: of the ready permits that the
/// front end counts itself.
pub fn guaranteed_permits(size: u32, limits: &AllocationLimits) -> u32 {
    let share = u64::from(size) * u64::from(limits.guaranteed_share.min(1000)) / 1000;
    u32::try_from(share / u64::from(limits.front_ends.max(1))).unwrap_or(u32::MAX)
}
