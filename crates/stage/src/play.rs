//! A day played: troubles at their times, callers throughout, and the ledger at the end.

use crate::callers::Pace;
use crate::day::{Cut, Day, Trouble};
use crate::stack::{Stack, StageError};
use rustix::process::Signal;
use serde::Serialize;
use stagehoist_judge::rules::{judge, served_times, Charter, Verdict, WorkerStart};
use stagehoist_judge::tap::Trouble as Tapped;
use stagehoist_judge::Story;
use stagehoist_standin::broker::{Cut as BrokerCut, Faults};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Longest time for the stack to stand, and for the last answers after the last call.
const PATIENCE: Duration = Duration::from_secs(20);

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
    /// By then the process must have ended.
    Reap(u32, Instant),
}

struct Player<'a> {
    stack: &'a mut Stack,
    charter: Charter,
    start: Instant,
    undo: Vec<(Instant, Undo)>,
}

/// Plays a day on a new stack. `binary` is the project's own binary.
pub fn play(day: &Day, binary: &Path, show: &mut dyn FnMut(Progress<'_>)) -> Result<Ledger, StageError> {
    let mut stack = Stack::start(day.clone(), binary)?;
    stack.wait_ready(PATIENCE)?;
    show(Progress::Ready);
    play_on(&mut stack, show)
}

/// Plays the stack's day and judges it. The stack has ended after it.
pub fn play_on(stack: &mut Stack, show: &mut dyn FnMut(Progress<'_>)) -> Result<Ledger, StageError> {
    let day = stack.day.clone();
    let charter = stack.layout.charter();
    let start = Instant::now();
    stack.pace.send_replace(Pace { rate: day.rate, stop: false });
    let mut player = Player { stack, charter, start, undo: Vec::new() };
    let mut troubles = day.troubles.iter().peekable();
    let mut shown = Duration::ZERO;
    while start.elapsed() < day.length {
        while let Some((_, trouble)) = troubles.next_if(|t| t.0 <= start.elapsed()) {
            show(Progress::Trouble(&format!("{trouble:?}")));
            player.begin(trouble)?;
        }
        player.end_due()?;
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
        std::thread::sleep(Duration::from_millis(5));
    }
    let Player { charter, .. } = player;
    show(Progress::Judging);
    let mut mishaps = std::mem::take(&mut stack.disorderly);
    mishaps.extend(stack.fallen().into_iter().map(|w| format!("worker {w} fell over cold")));
    if let Err(error) = stack.end(PATIENCE) {
        mishaps.push(error.to_string());
    }
    let capture = stack.recorder.finish(stack.links.clone());
    if capture.cut_short {
        mishaps.push("the recording was cut short; its verdict proves nothing".into());
    }
    let story = Story::read(&capture);
    let verdict = judge(&story, &charter);
    Ok(Ledger {
        verdict,
        latency_ms: percentiles(&served_times(&story)),
        mishaps,
        store_fetches: stack.store.fetches(),
        seconds: start.elapsed().as_secs_f64(),
    })
}

fn percentiles(times: &[i64]) -> BTreeMap<String, f64> {
    let Ok(mut histogram) = hdrhistogram::Histogram::<u64>::new(3) else { return BTreeMap::new() };
    for time in times {
        // The histogram grows by itself; only a count overflow could fail.
        let _ = histogram.record((*time).max(1) as u64);
    }
    let of = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999), ("max", 1.0)]
        .into_iter()
        .map(|(name, q)| (name.to_string(), of(q)))
        .collect()
}

impl Player<'_> {
    fn later(&mut self, after: Duration, undo: Undo) {
        self.undo.push((Instant::now() + after, undo));
    }

    fn taps(&self, worker: Option<&str>, with: impl Fn(&stagehoist_judge::tap::Controls)) {
        let own = |name: &String| worker.is_none_or(|w| w == name);
        self.stack.worker_taps.iter().filter(|((_, n), _)| own(n)).for_each(|(_, controls)| with(controls));
    }

    fn befall(&mut self, worker: &str, trouble: Tapped, percent: u32, span: Duration) {
        self.taps(Some(worker), |c| c.trouble(trouble, percent));
        self.later(span, Undo::Taps(vec![worker.to_string()]));
    }

    fn begin(&mut self, trouble: &Trouble) -> Result<(), StageError> {
        match trouble {
            Trouble::Drain { worker, span, lag } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.drain(true);
                }
                self.later(*lag, Undo::ListDrain(worker.clone()));
                self.later(*span, Undo::Undrain(worker.clone()));
            }
            Trouble::Vanish { hall, span } => {
                let workers = self.stack.layout.workers.iter().filter(|w| w.hall == *hall);
                let names: Vec<String> = workers.map(|w| w.name.clone()).collect();
                names.iter().for_each(|name| self.stack.kill_worker(name));
                self.later(*span, Undo::Workers(names));
            }
            Trouble::Die { worker, span } => {
                self.stack.kill_worker(worker);
                self.later(*span, Undo::Worker(worker.clone()));
            }
            Trouble::StoreSlow { percent, span } => {
                self.stack.store.slow(*percent);
                self.later(*span, Undo::Store);
            }
            Trouble::LoseAnswers { percent, span } => {
                self.taps(None, |c| c.trouble(Tapped::LoseAnswer, *percent));
                let all = self.stack.layout.workers.iter().map(|w| w.name.clone()).collect();
                self.later(*span, Undo::Taps(all));
            }
            Trouble::Reset { worker, percent, span } => {
                self.befall(worker, Tapped::ResetAfterRequest, *percent, *span);
            }
            Trouble::Stall { worker, span } => self.befall(worker, Tapped::Stall, 100, *span),
            Trouble::Garbage { worker, percent, span } => {
                self.befall(worker, Tapped::Garbage, *percent, *span)
            }
            Trouble::Truncate { worker, percent, span } => {
                self.befall(worker, Tapped::Truncate, *percent, *span);
            }
            Trouble::Late { worker, by, span } => {
                self.taps(Some(worker), |c| c.delay(*by));
                self.later(*span, Undo::Delay(worker.clone()));
            }
            Trouble::Slow { worker, percent, span } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.slow(*percent);
                }
                self.later(*span, Undo::SlowWorker(worker.clone()));
            }
            Trouble::Fail { worker, percent, span } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.fail(*percent);
                }
                self.later(*span, Undo::SlowWorker(worker.clone()));
            }
            Trouble::BrokerCut { how } => {
                let how = match how {
                    Cut::BeforeRouting => BrokerCut::BeforeRouting,
                    Cut::BeforeConfirm => BrokerCut::BeforeConfirm,
                    Cut::MidDelivery => BrokerCut::MidDelivery,
                };
                self.stack.broker.fault(Faults::Cut { queue: crate::layout::QUEUE.into(), how });
            }
            Trouble::BrokerDelay { by, span } => {
                self.stack.broker.fault(Faults::Delay(*by));
                self.later(*span, Undo::BrokerDelay);
            }
            Trouble::BrokerDeaf { span } => self.stack.broker.fault(Faults::StopReading(*span)),
            Trouble::BrokerBlocked { span } => {
                self.stack.broker.fault(Faults::Blocked(true));
                self.later(*span, Undo::Unblock);
            }
            Trouble::BrokerFlow { span } => {
                self.stack.broker.fault(Faults::Flow(false));
                self.later(*span, Undo::FlowOn);
            }
            Trouble::BrokerRestart => self.stack.broker.fault(Faults::Restart { keep_durable: true }),
            Trouble::ListFails { span } => {
                self.stack.registry.set_failing(true);
                self.later(*span, Undo::ListWell);
            }
            Trouble::ListLags { by, span } => {
                self.stack.registry.set_lag(*by);
                self.later(*span, Undo::ListLag);
            }
            Trouble::ListFlaps { worker, span } => {
                let until = Instant::now() + *span;
                self.stack.registry.set_draining(worker, true);
                self.later(Duration::from_millis(150), Undo::Flap(worker.clone(), false, until));
            }
            Trouble::ListIndexResets => self.stack.registry.reset_index(),
            Trouble::Flood { times, span } => {
                let rate = self.stack.day.rate * times;
                self.stack.pace.send_replace(Pace { rate, stop: false });
                self.later(*span, Undo::Pace);
            }
            Trouble::Stop { front_end, span } => {
                self.stack.signal(*front_end, Signal::STOP);
                let now = self.stack.recorder.now();
                self.charter.frozen.push((*front_end, now, now + span.as_micros() as i64));
                self.later(*span, Undo::Continue(*front_end));
            }
            Trouble::Terminate { front_end } => {
                self.stack.signal(*front_end, Signal::TERM);
                self.later(
                    Duration::from_millis(50),
                    Undo::Reap(*front_end, Instant::now() + Duration::from_secs(3)),
                );
            }
            Trouble::Kill { front_end } => {
                self.stack.signal(*front_end, Signal::KILL);
                self.stack.wait_end(*front_end, PATIENCE);
                // What it held is the broker's again; from here on the new process is judged.
                let now = self.stack.recorder.now();
                self.charter.frozen.push((*front_end, now - 2_500_000, now));
                self.begin_anew(*front_end)?;
            }
        }
        Ok(())
    }

    fn end_due(&mut self) -> Result<(), StageError> {
        let now = Instant::now();
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.undo).into_iter().partition(|u| u.0 <= now);
        self.undo = rest;
        for (_, undo) in due {
            match undo {
                Undo::Worker(name) => self.bring_back(&name),
                Undo::Workers(names) => names.iter().for_each(|name| self.bring_back(name)),
                Undo::ListDrain(name) => self.stack.registry.set_draining(&name, true),
                Undo::Undrain(name) => {
                    if let Some(controls) = self.stack.worker(&name) {
                        controls.drain(false);
                    }
                    self.stack.registry.set_draining(&name, false);
                }
                Undo::Taps(names) => {
                    for name in names {
                        self.taps(Some(&name), |c| c.trouble(Tapped::None, 0));
                    }
                }
                Undo::Delay(name) => self.taps(Some(&name), |c| c.delay(Duration::ZERO)),
                Undo::SlowWorker(name) => {
                    if let Some(controls) = self.stack.worker(&name) {
                        controls.slow(100);
                        controls.fail(0);
                    }
                }
                Undo::Store => self.stack.store.slow(100),
                Undo::BrokerDelay => self.stack.broker.fault(Faults::Delay(Duration::ZERO)),
                Undo::Unblock => self.stack.broker.fault(Faults::Blocked(false)),
                Undo::FlowOn => self.stack.broker.fault(Faults::Flow(true)),
                Undo::ListWell => self.stack.registry.set_failing(false),
                Undo::ListLag => self.stack.registry.set_lag(Duration::ZERO),
                Undo::Flap(name, draining, until) => {
                    self.stack.registry.set_draining(&name, draining);
                    if draining || now < until {
                        self.later(Duration::from_millis(150), Undo::Flap(name, !draining, until));
                    }
                }
                Undo::Pace => {
                    let rate =
                        if self.start.elapsed() < self.stack.day.length { self.stack.day.rate } else { 0.0 };
                    self.stack.pace.send_replace(Pace { rate, stop: false });
                }
                Undo::Continue(front_end) => {
                    self.stack.signal(front_end, Signal::CONT);
                    let at = self.stack.recorder.now();
                    if let Some(frozen) = self.charter.frozen.iter_mut().rev().find(|f| f.0 == front_end) {
                        frozen.2 = frozen.2.max(at);
                    }
                }
                Undo::Reap(front_end, by) => self.reap(front_end, by)?,
            }
        }
        Ok(())
    }

    fn bring_back(&mut self, name: &str) {
        self.stack.return_worker(name);
        let at = self.stack.recorder.now();
        let capacity = self.stack.layout.capacity();
        self.charter.starts.push(WorkerStart { worker: name.to_string(), at, capacity });
    }

    /// A front end that was told to end must do so with exit code 0 within the longest give-up time and a little.
    fn reap(&mut self, front_end: u32, by: Instant) -> Result<(), StageError> {
        let process = &mut self.stack.front_ends[front_end as usize].process;
        let code = match process.try_wait() {
            Ok(Some(status)) => status.code(),
            _ if Instant::now() < by => {
                self.later(Duration::from_millis(10), Undo::Reap(front_end, by));
                return Ok(());
            }
            _ => {
                // It may have ended in the meantime; either way it did not in time.
                let _ = process.kill();
                let _ = process.wait();
                None
            }
        };
        if code != Some(0) {
            let log = self.stack.log(front_end);
            self.stack
                .disorderly
                .push(format!("front end {front_end} did not end in order: {code:?}\n{log}"));
        }
        self.begin_anew(front_end)
    }

    fn begin_anew(&mut self, front_end: u32) -> Result<(), StageError> {
        self.charter.begun.push((front_end, self.stack.recorder.now()));
        self.stack.restart_front_end(front_end)
    }
}
