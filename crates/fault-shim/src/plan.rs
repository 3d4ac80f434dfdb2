//! The plan of faults, and the random draws that decide about each call. No unsafe code.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The environment variable that holds the plan.
const VARIABLE: &str = "FAULT_SHIM";
const MILLION: u64 = 1_000_000;

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time from the start of the process.
    pub at: Duration,
    /// Size of the step in nanoseconds; negative: the clock is set back.
    pub by: i64,
}

/// The faults to inject.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    seed: u64,
    sockets: u64,
    breaks: bool,
    files: u64,
    from: Duration,
    to: Option<Duration>,
    steps: Vec<Step>,
    share: Option<Share>,
}

/// A share of a processor core.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share(f64);

impl Eq for Share {}

impl Share {
    fn parse(text: &str) -> Option<Share> {
        let share: f64 = text.parse().ok()?;
        (share > 0.0 && share <= 1.0).then_some(Share(share))
    }
}

/// Error for a plan that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    /// The invalid part.
    pub part: String,
}

impl std::fmt::Display for PlanError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{VARIABLE}: '{}' is not valid", self.part)
    }
}

impl std::error::Error for PlanError {}

impl std::str::FromStr for Plan {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Plan, PlanError> {
        let mut plan = Plan::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let invalid = || PlanError { part: part.to_string() };
            let (name, value) = part.split_once('=').ok_or_else(invalid)?;
            let number = || value.parse::<u64>().map_err(|_| invalid());
            match name {
                "seed" => plan.seed = number()?,
                "sockets" => plan.sockets = number()?,
                "breaks" => plan.breaks = number()? > 0,
                "files" => plan.files = number()?,
                "from" => plan.from = Duration::from_millis(number()?),
                "to" => plan.to = Some(Duration::from_millis(number()?)),
                "share" => plan.share = Some(Share::parse(value).ok_or_else(invalid)?),
                "steps" => plan.steps = steps(value).ok_or_else(invalid)?,
                _ => return Err(invalid()),
            }
        }
        Ok(plan)
    }
}

fn steps(text: &str) -> Option<Vec<Step>> {
    let step = |part: &str| {
        let (at, by) = part.split_once(':')?;
        let by: i64 = by.parse().ok()?;
        Some(Step { at: Duration::from_millis(at.parse().ok()?), by: by.checked_mul(1_000_000)? })
    };
    text.split(';').filter(|part| !part.is_empty()).map(step).collect()
}

impl Plan {
    /// Returns the offset of the wall clock in nanoseconds, `elapsed` after the start.
    pub fn clock_offset(&self, elapsed: Duration) -> i64 {
        self.steps.iter().filter(|step| step.at <= elapsed).map(|step| step.by).sum()
    }

    /// Returns how long a thread sleeps to stay within its share of a core, as a multiple of the processor time that it
    /// uses; None if it has a whole core.
    pub fn idle_factor(&self) -> Option<f64> {
        self.share.map(|share| 1.0 / share.0 - 1.0).filter(|idle| *idle > 0.0)
    }

    fn is_on(&self, elapsed: Duration) -> bool {
        elapsed >= self.from && self.to.is_none_or(|to| elapsed < to)
    }
}

/// The plan of this process, its start time and the number of random draws so far.
struct ActivePlan {
    plan: Plan,
    start: Instant,
    draws: AtomicU64,
}

fn active_plan() -> &'static ActivePlan {
    static ACTIVE_PLAN: OnceLock<ActivePlan> = OnceLock::new();
    ACTIVE_PLAN.get_or_init(|| {
        let text = std::env::var(VARIABLE).unwrap_or_default();
        let plan = text.parse().unwrap_or_else(|error: PlanError| {
            // A test with an invalid plan must not pass.
            eprintln!("{error}");
            std::process::abort()
        });
        ActivePlan { plan, start: Instant::now(), draws: AtomicU64::new(0) }
    })
}

/// Returns the current offset of this process's wall clock in nanoseconds.
pub fn clock_offset() -> i64 {
    let active_plan = active_plan();
    if active_plan.plan.steps.is_empty() {
        return 0;
    }
    active_plan.plan.clock_offset(active_plan.start.elapsed())
}

/// Returns how long a thread sleeps, as a multiple of the processor time that it uses; None if it has a whole core.
pub fn idle_factor() -> Option<f64> {
    active_plan().plan.idle_factor()
}

/// Whether connections that this process opened may break.
pub fn connections_break() -> bool {
    active_plan().plan.breaks
}

/// Returns a random number if this socket call is to fail, None if it is passed on.
pub fn socket_fault() -> Option<u64> {
    fault(active_plan().plan.sockets)
}

/// Returns a random number if this file write or sync is to fail, None if it is passed on.
pub fn file_fault() -> Option<u64> {
    fault(active_plan().plan.files)
}

fn fault(per_million: u64) -> Option<u64> {
    let active_plan = active_plan();
    if per_million == 0 || !active_plan.plan.is_on(active_plan.start.elapsed()) {
        return None;
    }
    let draw = active_plan.draws.fetch_add(1, Ordering::Relaxed);
    let number = hash(active_plan.plan.seed ^ hash(draw));
    (number % MILLION < per_million).then_some(number / MILLION)
}

/// The finalizer of SplitMix64.
fn hash(number: u64) -> u64 {
    let mut x = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
