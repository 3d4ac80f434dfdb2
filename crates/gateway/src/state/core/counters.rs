//! Counters of a front end.

/// Counters of a front end's work, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Calls refused before they reached the decision module, for example for an unknown function or too many held calls.
    pub rejected_at_intake: u64,
    pub abandoned_calls: u64,
    pub attempts: u64,
    /// Attempts other than the first of their call.
    pub retries: u64,
    pub loads: u64,
    pub unloads: u64,
    pub health_checks: u64,
    pub batches: u64,
    /// Full worker lists received, including empty ones.
    pub endpoint_lists: u64,
    /// Refused calls for which no worker could be confirmed while the endpoint list was outdated.
    pub refused_list_old: u64,
    /// Time spent in the decision module, in nanoseconds.
    pub module_ns: u64,
    /// Failed fetches of the list of front ends; the last known list stays in use.
    pub front_end_list_failures: u64,
}
