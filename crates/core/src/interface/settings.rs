//! The configuration of a front end, fixed at its start.

use super::Micros;

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running it twice does no harm.
    Idempotent,
    /// Workers that share their idempotency keys drop a repeated request for as long as they remember its key.
    IdempotentWithKey {
        /// The workers that share their memory of keys.
        scope: DeduplicationScope,
        /// How long a worker remembers a key.
        window: Micros,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The workers that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// An answer within this time earns the full value.
    pub latency_objective: Micros,
    /// The objective is extended by the request's own work times this factor.
    pub objective_work_factor: f64,
    /// Whether a request may be sent again after it may have run.
    pub effect: Effect,
    /// Value of an answer within the objective, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the value that an answer past the objective still earns.
    pub late_value: f64,
    /// Answers arrive in parts, after an event [`super::Event::Started`].
    pub streaming: bool,
}

/// What a worker does with a call for a function that it has not loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnMiss {
    /// Loads the function, then runs the call.
    #[default]
    Load,
    /// Answers with [`super::Outcome::Miss`].
    Miss,
}

/// Meaning of one value of a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in flight at the worker.
    InFlight,
    /// Requests that wait in the worker's queue.
    Queue,
    /// Fraction of the worker's capacity in use.
    Busy,
    /// A value that the module does not use.
    Other,
}

/// How load reports reach the front end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportChannel {
    /// There are none.
    #[default]
    None,
    /// With the answers to requests.
    Answers,
    /// With the answers to health checks.
    HealthChecks,
}

/// How many retries are allowed in addition to first attempts, in a sliding window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// Length of the window in microseconds; 0: no limit.
    pub window: Micros,
    /// Retries that are always allowed in each window.
    pub free: f64,
    /// Further retries for each first attempt in the window.
    pub share: f64,
}

/// The configuration of one front end. The limits describe the deployment; no decision rule is tuned to one deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Front ends in the fleet.
    pub front_ends: u32,
    /// Zone of this front end.
    pub zone: u32,
    /// Classes of requests, by number.
    pub classes: Vec<ClassSettings>,
    /// Quota of each tenant in requests per second, over all front ends; empty without tenants.
    pub tenant_quotas: Vec<f64>,
    /// Factor on the value of a request beyond its tenant's quota.
    pub over_quota_weight: f64,
    /// A request's value is counted per unit of its work instead of per request.
    pub weight_by_work: bool,
    /// Granularity of the clock.
    pub tick: Micros,
    /// Endpoint updates require a subscription.
    pub subscribe_endpoints: bool,
    /// Maximum time between two polls of the endpoint list.
    pub poll_within: Micros,
    /// Time after a drain notice during which new requests may still reach the worker.
    pub drain_grace: Micros,
    /// Window over which the load of a warming worker is limited.
    pub overload_window: Micros,
    /// Load that a warming worker can take in a window, as a multiple of its share of the work.
    pub overload_factor: f64,
    /// Capacity of a worker at its start, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Time from a worker's start to its full capacity.
    pub warm_up: Micros,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight at the same time.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Workers may be health-checked.
    pub may_health_check: bool,
    /// Workers may be ordered to load and unload functions.
    pub may_order_loads: bool,
    /// Front ends may send each other messages.
    pub may_gossip: bool,
    /// Answers report the state of the copy that served them.
    pub answers_report_copy: bool,
    /// Answers report how many requests for the function the worker holds.
    pub answers_report_concurrency: bool,
    /// Time limit of a connection attempt.
    pub connect_timeout: Micros,
    /// Maximum retry delay advised to the caller of a rejected request; 0: no delay is advised.
    pub max_retry_after: Micros,
    /// Minimum time for which a worker retains an unused copy.
    pub idle_retention: Micros,
    /// What a worker does with a call for a function that it has not loaded.
    pub on_miss: OnMiss,
    /// Time after which a load order without an answer counts as lost.
    pub load_timeout: Micros,
    /// Maximum time from issuing a load order to its arrival; 0: it counts as arrived when issued.
    pub load_delay: Micros,
    /// Window of the load budget; 0: no limit.
    pub load_window: Micros,
    /// Loads that are always allowed in each window.
    pub load_free: f64,
    /// Further loads for each request that was accepted in the window.
    pub load_share: f64,
    /// Limit on retries.
    pub retry_budget: RetryBudget,
    /// Memory of a worker by its kind, in megabytes.
    pub memory_mb: Vec<f64>,
    /// Price of memory in use.
    pub price_memory: f64,
    /// Price of a health check.
    pub price_health_check: f64,
    /// Price of a request to another zone, as a fraction of its value.
    pub price_cross_zone: f64,
    /// Price of a request for the endpoint list.
    pub price_fetch: f64,
    /// Meaning of the values of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// How load reports arrive.
    pub report_channel: ReportChannel,
}
