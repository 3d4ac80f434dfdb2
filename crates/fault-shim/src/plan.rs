//! What is to fail, and the draws that decide it. Nothing here is unsafe.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The variable that holds the plan.
const VARIABLE: &str = "FAULT_SHIM";
const MILLION: u64 = 1_000_000;

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time from the start of the process.
    pub at: Duration,
    /// By how many nanoseconds the clock is put forward, or back.
    pub by: i64,
}

/// What is to fail.
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

/// A plan that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    /// The part at fault.
    pub part: String,
}

impl std::fmt::Display for PlanError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{VARIABLE}: '{}' can't be read", self.part)
    }
}

impl std::error::Error for PlanError {}

impl std::str::FromStr for Plan {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Plan, PlanError> {
        let mut plan = Plan::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let wrong = || PlanError { part: part.to_string() };
            let (name, value) = part.split_once('=').ok_or_else(wrong)?;
            let number = || value.parse::<u64>().map_err(|_| wrong());
            match name {
                "seed" => plan.seed = number()?,
                "sockets" => plan.sockets = number()?,
                "breaks" => plan.breaks = number()? > 0,
                "files" => plan.files = number()?,
                "from" => plan.from = Duration::from_millis(number()?),
                "to" => plan.to = Some(Duration::from_millis(number()?)),
                "share" => plan.share = Some(Share::parse(value).ok_or_else(wrong)?),
                "steps" => plan.steps = steps(value).ok_or_else(wrong)?,
                _ => return Err(wrong()),
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
    /// By how many nanoseconds the wall clock is off, so long after the start.
    pub fn clock_offset(&self, elapsed: Duration) -> i64 {
        self.steps.iter().filter(|step| step.at <= elapsed).map(|step| step.by).sum()
    }

    /// For how long a thread that has its share of a core sleeps, relative to the processor time that it uses; None where
    /// it has a whole core.
    pub fn idle_part(&self) -> Option<f64> {
        self.share.map(|share| 1.0 / share.0 - 1.0).filter(|idle| *idle > 0.0)
    }

    fn is_on(&self, elapsed: Duration) -> bool {
        elapsed >= self.from && self.to.is_none_or(|to| elapsed < to)
    }
}

/// The plan of this process, since when it runs, and how many draws were made.
struct Running {
    plan: Plan,
    start: Instant,
    draws: AtomicU64,
}

fn running() -> &'static Running {
    static RUNNING: OnceLock<Running> = OnceLock::new();
    RUNNING.get_or_init(|| {
        let text = std::env::var(VARIABLE).unwrap_or_default();
        let plan = text.parse().unwrap_or_else(|error: PlanError| {
            // A test with a plan that means nothing must not pass.
            eprintln!("{error}");
            std::process::abort()
        });
        Running { plan, start: Instant::now(), draws: AtomicU64::new(0) }
    })
}

/// By how many nanoseconds the wall clock of this process is off now.
pub fn clock_offset() -> i64 {
    let running = running();
    if running.plan.steps.is_empty() {
        return 0;
    }
    running.plan.clock_offset(running.start.elapsed())
}

/// For how long a thread sleeps, relative to the processor time that it uses; None where it has a whole core.
pub fn idle_part() -> Option<f64> {
    running().plan.idle_part()
}

/// Whether connections that this process made may break.
pub fn connections_break() -> bool {
    running().plan.breaks
}

/// A number for a call on a socket that is to go wrong; None where it goes through.
pub fn socket_fault() -> Option<u64> {
    fault(running().plan.sockets)
}

/// A number for a write or sync of a file that is to fail; None where it goes through.
pub fn file_fault() -> Option<u64> {
    fault(running().plan.files)
}

fn fault(per_million: u64) -> Option<u64> {
    let running = running();
    if per_million == 0 || !running.plan.is_on(running.start.elapsed()) {
        return None;
    }
    let draw = running.draws.fetch_add(1, Ordering::Relaxed);
    let number = hash(running.plan.seed ^ hash(draw));
    (number % MILLION < per_million).then_some(number / MILLION)
}

/// The finaliser of SplitMix64.
fn hash(number: u64) -> u64 {
    let mut x = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
