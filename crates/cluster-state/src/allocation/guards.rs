//! The safety rules of the allocation. Tests disable them one at a time to show that each is necessary.

/// Safety rules that a test can disable one at a time; production code enables all.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Allocates nothing until permits granted by earlier leaders can no longer be in use.
    pub takeover_wait: bool,
    /// Counts runs that continue after the lease under which they started.
    pub runs: bool,
    /// Excludes the guaranteed minimums from allocation.
    pub guarantees: bool,
    /// Counts a grant until the member reports that it has applied a later one.
    pub applied: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards { takeover_wait: true, runs: true, guarantees: true, applied: true }
    }
}
