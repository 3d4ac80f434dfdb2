//! Settings of the allocation, and the guaranteed minimum of each front end in a pool.

use crate::Micros;

/// Thousandths of a pool set aside for guaranteed minimums, the same at all front ends and replicas of every fleet.
pub const GUARANTEED_SHARE: u32 = 200;

/// Settings of the allocator. All must be equal at every replica; [`AllocationLimits::front_ends`] and
/// [`AllocationLimits::guaranteed_share`] must also be equal at every front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AllocationLimits {
    /// Maximum number of front ends; at least 1.
    pub front_ends: u32,
    /// Thousandths of a pool set aside for guaranteed minimums.
    pub guaranteed_share: u32,
    /// Maximum duration of a run, from its start until all its attempts are known to have ended.
    pub longest_run: Micros,
    /// Minimum time between two computations of the targets.
    pub interval: Micros,
}

/// Returns the permits that each front end may always use in a pool of this size: an equal part of the share for
/// guaranteed minimums, rounded down so that their sum never exceeds that share. For a pool sized by workers, `size` is the
/// ready capacity that the front end itself counts.
pub fn guaranteed_permits(size: u32, limits: &AllocationLimits) -> u32 {
    let share = u64::from(size) * u64::from(limits.guaranteed_share.min(1000)) / 1000;
    u32::try_from(share / u64::from(limits.front_ends.max(1))).unwrap_or(u32::MAX)
}
