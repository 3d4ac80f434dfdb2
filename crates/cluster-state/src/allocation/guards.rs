//! The guards of the allocation, which tests take out one at a time to show that each matters.

/// Rules that a test takes out one at a time; all stand in use.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Promises of earlier leaders are waited for.
    pub takeover_wait: bool,
    /// Runs count after the lease that they began under.
    pub runs: bool,
    /// Guaranteed minimums are never allocated.
    pub guarantees: bool,
    /// A grant stands until the member says that it goes by a later one.
    pub applied: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards { takeover_wait: true, runs: true, guarantees: true, applied: true }
    }
}
