//! A day played: troubles at their times, callers throughout, and the ledger at the end.

mod begin;
mod change;
mod end;
mod fleet;
mod ledger;
mod listing;
mod loss;
mod tenants;

use crate::callers::Pace;
use crate::day::{Calls, Day, ScenarioFault};
use crate::lateness::Lateness;
use crate::retired::Retirements;
use crate::stack::{HarnessError, Stack};
use ledger::{percentiles, pools};
pub use loss::Loss;
use serde::Serialize;
use stagehoist_checker::rules::{check, served_times, RuleSet, Verdict};
use stagehoist_checker::tap::Fault as TapFault;
use stagehoist_checker::{Capture, Story};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::PoisonError;
use std::time::{Duration, Instant};
use tenants::{tenants, TenantShare};

/// Longest time for the stack to stand, and for the last answers after the last call.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What happened on a day, as callers and sockets saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Ledger {
    /// Its fields stand beside the others in JSON.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Milliseconds from publish to answer, of served calls.
    pub latency_ms: BTreeMap<String, f64>,
    /// Workers that fell over cold, front ends that did not end in order.
    pub mishaps: Vec<String>,
    pub store_fetches: u64,
    pub seconds: f64,
    /// Answers by outcome and reason, as callers got them.
    pub answers: BTreeMap<String, u64>,
    /// Milliseconds from when the day asked for a function's retirement until it was in force; none where it never was.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub in_force_after_ms: BTreeMap<String, Option<f64>>,
    /// What came of the first loss of everything on this day.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub loss: Option<Loss>,
    /// Calls by tenant, on a day with pools.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub tenants: BTreeMap<String, TenantShare>,
    /// Lines of a day file with what was drawn, which play the same again.
    pub drawn: Vec<String>,
}

impl Ledger {
    /// Whether every rule was kept and nothing ended out of order.
    pub fn good(&self) -> bool {
        let verdict = &self.verdict;
        verdict.kept() && self.mishaps.is_empty() && verdict.sent > 0 && verdict.served > 0
    }
}

/// What is shown while a day runs.
pub enum Progress<'a> {
    Ready,
    Trouble(&'a str),
    Second { at: Duration, length: Duration, sent: u64, served: u64, refused: u64, failed: u64 },
    Judging,
}

enum Undo {
    Worker(String),
    Workers(Vec<String>),
    Undrain(String),
    ListDrain(String),
    Taps(Vec<String>),
    Delay(String),
    SlowWorker(String),
    Store,
    BrokerDelay,
    Unblock,
    FlowOn,
    ListWell,
    ListLag,
    Flap(String, bool, Instant),
    Pace,
    Continue(u32),
    /// A link's fault, by its ticket.
    Heal(u64),
    /// A front end that was killed starts again.
    Start(u32),
    /// Nobody led when it was to begin; it is tried again until then.
    Leader(ScenarioFault, Instant),
    Surge(u64),
    /// By then the process must have ended.
    Reap(u32, Instant),
}

struct ScenarioRunner<'a> {
    stack: &'a mut Stack,
    charter: RuleSet,
    start: Instant,
    undo: Vec<(Instant, Undo)>,
    /// Front ends whose process is dead, and until when.
    down: BTreeMap<u32, Instant>,
    retirements: Retirements,
    /// Tenants that send more than usual, and how many times as much.
    surges: Vec<(u64, Calls)>,
    /// Numbers of shards that are still to come in force, the first under way, and how far it is.
    changes: VecDeque<u32>,
    change: Option<change::Change>,
    /// The list of front ends, where owners follow one.
    listing: listing::Listing,
    /// Since everything lost its power.
    lost: Option<loss::Watch>,
}

/// Plays a day on a new stack. `binary` is the project's own binary.
pub fn play(day: &Day, binary: &Path, show: &mut dyn FnMut(Progress<'_>)) -> Result<Ledger, HarnessError> {
    let mut stack = Stack::start(day.clone(), binary)?;
    stack.wait_ready(START_TIMEOUT)?;
    show(Progress::Ready);
    play_on(&mut stack, show)
}

/// Plays the stack's day and judges it. The stack has ended after it.
pub fn play_on(stack: &mut Stack, show: &mut dyn FnMut(Progress<'_>)) -> Result<Ledger, HarnessError> {
    record_on(stack, show).map(|played| played.0)
}

/// The same, and gives what was judged and by what: a checker is shown to see a fault by a capture that was altered.
pub fn record_on(
    stack: &mut Stack,
    show: &mut dyn FnMut(Progress<'_>),
) -> Result<(Ledger, Capture, RuleSet), HarnessError> {
    let day = stack.day.drawn(stack.day.seed);
    let drawn = day.drawn_text().lines().map(str::to_string).collect();
    let charter = stack.layout.charter();
    let lateness = Lateness::start(stack.recorder.clone());
    let start = Instant::now();
    stack.pace.send_replace(Pace { rate: day.rate, stop: false });
    let mut player = ScenarioRunner {
        stack,
        charter,
        start,
        undo: Vec::new(),
        down: BTreeMap::new(),
        retirements: Retirements::default(),
        surges: Vec::new(),
        changes: VecDeque::new(),
        change: None,
        listing: listing::Listing::default(),
        lost: None,
    };
    let mut troubles = day.troubles.iter().peekable();
    let mut shown = Duration::ZERO;
    while start.elapsed() < day.length {
        while let Some(planned) = troubles.next_if(|t| t.from <= start.elapsed()) {
            show(Progress::Trouble(&planned.text));
            player.begin(&planned.trouble)?;
        }
        player.end_due()?;
        player.watch();
        player.list_front_ends()?;
        player.change()?;
        if start.elapsed() >= shown + Duration::from_secs(1) {
            shown = start.elapsed();
            let c = &player.stack.counts;
            let count = |a: &std::sync::atomic::AtomicU64| a.load(Ordering::Relaxed);
            let (sent, served) = (count(&c.sent), count(&c.served));
            let (refused, failed) = (count(&c.refused), count(&c.failed));
            show(Progress::Second { at: shown, length: day.length, sent, served, refused, failed });
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // No more calls; the last ones get their time, and what still is wrong is mended.
    player.stack.pace.send_replace(Pace { rate: 0.0, stop: false });
    let by = Instant::now() + Duration::from_millis(3500);
    while Instant::now() < by || !player.undo.is_empty() {
        player.end_due()?;
        player.watch();
        player.list_front_ends()?;
        std::thread::sleep(Duration::from_millis(5));
    }
    let unchanged = player.changes.len();
    let ScenarioRunner { mut charter, retirements, lost, .. } = player;
    charter.gaps = lateness.finish();
    charter.retired = retirements.charter();
    charter.pools = pools(&day.fleet);
    show(Progress::Judging);
    let mut mishaps = std::mem::take(&mut stack.disorderly);
    let in_force_after_ms = retirements.after_ms();
    let never = in_force_after_ms.iter().filter(|r| r.1.is_none());
    mishaps.extend(never.map(|(function, _)| format!("the retirement of {function} never came in force")));
    if unchanged > 0 {
        mishaps.push(format!("{unchanged} changes of the number of shards did not come to their end"));
    }
    mishaps.extend(stack.fallen().into_iter().map(|w| format!("worker {w} fell over cold")));
    if let Err(error) = stack.end(START_TIMEOUT) {
        mishaps.push(error.to_string());
    }
    let capture = stack.recorder.finish(stack.links.clone());
    if capture.truncated {
        mishaps.push("the recording was cut short; its verdict proves nothing".into());
    }
    let story = Story::read(&capture);
    let verdict = check(&story, &charter);
    let ledger = Ledger {
        verdict,
        latency_ms: percentiles(&served_times(&story)),
        mishaps,
        store_fetches: stack.store.fetches(),
        seconds: start.elapsed().as_secs_f64(),
        answers: stack.counts.answers.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        in_force_after_ms,
        loss: lost.map(|lost| lost.told(&story, &day.fleet)),
        tenants: tenants(&story, &day.fleet),
        drawn,
    };
    Ok((ledger, capture, charter))
}

impl ScenarioRunner<'_> {
    fn later(&mut self, after: Duration, undo: Undo) {
        self.undo.push((Instant::now() + after, undo));
    }

    fn taps(&self, worker: Option<&str>, with: impl Fn(&stagehoist_checker::tap::Controls)) {
        let own = |name: &String| worker.is_none_or(|w| w == name);
        self.stack.worker_taps.iter().filter(|((_, n), _)| own(n)).for_each(|(_, controls)| with(controls));
    }

    fn befall(&mut self, worker: &str, trouble: TapFault, percent: u32, span: Duration) {
        self.taps(Some(worker), |c| c.fault(trouble, percent));
        self.later(span, Undo::Taps(vec![worker.to_string()]));
    }
}
