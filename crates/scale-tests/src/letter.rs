//! The numbers of the users' letter of 2026-12-02: the fleet to come and what control of it may cost.

/// Front ends.
pub const FRONT_ENDS: f64 = 7_200.0;
/// Instances of functions.
pub const INSTANCES: f64 = 610_000.0;
/// Functions, most called less than once a minute.
pub const FUNCTIONS: f64 = 170_000.0;
/// Calls a second of the whole fleet.
pub const CALLS: f64 = 880_000.0;
/// Calls a second of one front end.
pub const CALLS_EACH: f64 = 122.0;
/// Seconds that a cold start takes at most, for 99 in 100.
pub const COLD_START: f64 = 0.56;
pub const REGIONS: f64 = 2.0;
pub const ZONES: f64 = 7.0;
/// Changes of configuration a day.
pub const CHANGES: f64 = 25_000.0;
/// Seconds until a change is in force everywhere.
pub const IN_FORCE: f64 = 5.0;
/// Share of a core that one front end spends on control at most.
pub const CONTROL_CORE: f64 = 0.015;
/// Bytes that one front end spends on control at most.
pub const CONTROL_MEMORY: f64 = 128e6;
/// Bytes a second that one front end spends on control at most.
pub const CONTROL_BYTES: f64 = 5_000.0;
/// Machines set aside for control.
pub const MACHINES: f64 = 6.0;
/// Machines that fail on an ordinary day.
pub const FAILING: f64 = 20.0;
/// Machines that are restarted or replaced on an ordinary day.
pub const RESTARTED: f64 = 990.0;
/// Seconds that regions lose each other for, now and then.
pub const APART: f64 = 3_600.0;
/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// Workers, where instances share them: assumed, as the letter counts instances only. Some twenty instances each.
pub const WORKERS: f64 = 30_000.0;
