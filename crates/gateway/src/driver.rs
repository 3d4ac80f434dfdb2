//! The driver loop of one front end. Each iteration gathers the pending inputs into a batch, lets the decision module
//! decide once, and executes the resulting commands. The loop owns the decision module; sockets communicate with it
//! through channels. The protocols of the sockets are behind [`Transport`].

use crate::clock::{Alarm, Clock};
use crate::fleet::{publish_report, SessionHandle, SessionReport};
use crate::state::{Command, Core, Input};
use stagehoist::Micros;
use stagehoist_cluster_state::ClusterStatus;
use std::future::Future;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Interval, MissedTickBehavior};

/// Capacity of the input queue of the driver; while it is full, sockets are not read.
pub const INPUT_QUEUE_CAPACITY: usize = 16_384;
/// Upper and lower bound of the batch size limit, which depends on [`BATCH_TIME`].
const MAX_BATCH: usize = 4096;
const MIN_BATCH: usize = 8;
/// Target duration of a batch, in microseconds. Its answers are written only at its end, so a longer batch delays them.
const BATCH_TIME: f64 = 20_000.0;
/// Assumed processing time per input before the first batch, in microseconds.
const INITIAL_INPUT_TIME: f64 = 250.0;
/// Weight of a batch in the exponential moving average of the time per input.
const INPUT_TIME_GAIN: f64 = 0.2;
/// If a timer fires later than this, the process was stalled, and the sockets are read before timers are processed.
const MAX_TIMER_DELAY: Micros = 20_000;
/// Interval of calls of [`Transport::on_tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time for which the alarm is set.
const MAX_ALARM: Micros = 60_000_000;

/// The protocols of a front end: to its callers, its workers and the source of its endpoint list.
pub trait Transport {
    /// Executes one command.
    fn execute(&mut self, command: Command);

    /// Called when all commands of an iteration were executed.
    fn flush(&mut self) {}

    /// Called when the first endpoint list was received and its batch was processed.
    fn on_endpoints_ready(&mut self) {}

    /// Called four times a second.
    fn on_tick(&mut self, core: &Core);

    /// Begins the drain: accepts no more calls as soon as the protocol allows; accepted calls are still answered. Returns
    /// how long the drain order may have waited because this process was stalled. The drain timeout is reduced by it,
    /// because the sender of the order counts from when it was sent.
    fn drain(&mut self) -> Micros;

    /// Returns whether no more calls are accepted and all answers were sent.
    fn is_drained(&mut self) -> bool;

    /// Returns whether calls are accepted.
    fn is_serving(&mut self) -> bool;

    /// Returns whether no calls are accepted because the first endpoint list was not received yet.
    fn awaits_endpoints(&mut self) -> bool {
        false
    }

    /// Returns whether sockets are read before attempts time out after a stall of this process. This requires that
    /// received messages carry their age, which they do not on a link that dates messages by its queue.
    fn reads_before_timeouts(&self) -> bool {
        false
    }

    /// Returns whether calls left when the drain times out are answered. This is needed if nobody else will answer them;
    /// a broker would redeliver them.
    fn answers_remaining(&self) -> bool {
        false
    }

    /// Closes the sockets gracefully, within their own timeout. The driver accepts no more inputs.
    fn finish(&mut self) -> impl Future<Output = ()> {
        std::future::ready(())
    }

    /// Waits until [`Transport::is_drained`] may have changed. It may wait forever, because each iteration checks it as
    /// well.
    fn changed(&mut self) -> impl Future<Output = ()>;
}

/// The published state of a front end.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrontEndState {
    /// Calls are accepted.
    pub consuming: bool,
    /// The callers' side is connected, but no calls are consumed before the first endpoint list.
    pub awaits_endpoints: bool,
    /// Number of workers that accept requests.
    pub ready_workers: usize,
    /// Number of accepted calls without an answer.
    pub unanswered: usize,
    /// The front end has ended.
    pub drained: bool,
}

/// The parts of a front end.
pub struct FrontEndParts<T> {
    /// The state.
    pub core: Core,
    /// The sockets.
    pub transport: T,
    /// Inputs from the sockets.
    pub inputs: mpsc::Receiver<Input>,
    /// The clock that decisions use.
    pub clock: Clock,
    /// Drain timeout: the maximum time from the drain order to the end.
    pub max_drain: Micros,
    /// Becomes true when a drain is ordered.
    pub drain: watch::Receiver<bool>,
    /// Receives the published state.
    pub state: watch::Sender<FrontEndState>,
    /// The session with the replicas; `None` outside a fleet.
    pub session: Option<SessionHandle>,
}

/// Runs one front end on the current thread until a drain is ordered and completes or times out. Must be called inside a
/// `LocalSet`.
pub async fn run<T: Transport>(parts: FrontEndParts<T>) {
    let mut driver = Driver::new(parts);
    loop {
        let has_work = driver.wait().await;
        if driver.report.is_some() {
            driver.core.record_activity(driver.clock.now());
        }
        if has_work && driver.process_batch() {
            // Sockets are read between batches.
            tokio::task::yield_now().await;
        }
        if driver.is_drain_over() {
            driver.finish().await;
            return;
        }
    }
}

/// The state of a driver loop.
struct Driver<T> {
    core: Core,
    transport: T,
    inputs: mpsc::Receiver<Input>,
    clock: Clock,
    max_drain: Micros,
    drain: watch::Receiver<bool>,
    state: watch::Sender<FrontEndState>,
    session: Option<SessionHandle>,
    /// Sender of reports to the session; kept when the session ends.
    report: Option<watch::Sender<SessionReport>>,
    ticks: Interval,
    alarm: Alarm,
    /// When the drain times out, once it has begun.
    drain_by: Option<Micros>,
    /// The first endpoint list was received.
    endpoints_ready: bool,
    batch: Vec<Input>,
    commands: Vec<Command>,
    /// Exponential moving average of the processing time per input, in microseconds.
    input_time: f64,
}

impl<T: Transport> Driver<T> {
    fn new(parts: FrontEndParts<T>) -> Driver<T> {
        let mut session = parts.session;
        if let Some(session) = session.as_mut() {
            // The status received before the start is an input to the front end too.
            session.status.mark_changed();
        }
        Driver {
            core: parts.core,
            transport: parts.transport,
            inputs: parts.inputs,
            clock: parts.clock,
            max_drain: parts.max_drain,
            drain: parts.drain,
            state: parts.state,
            report: session.as_ref().map(|session| session.report.clone()),
            session,
            ticks: tick_interval(),
            alarm: Alarm::new(parts.clock),
            drain_by: None,
            endpoints_ready: false,
            batch: Vec::new(),
            commands: Vec::new(),
            input_time: INITIAL_INPUT_TIME,
        }
    }

    /// Returns the maximum number of inputs of a batch.
    fn max_batch(&self) -> usize {
        ((BATCH_TIME / self.input_time.max(1.0)) as usize).clamp(MIN_BATCH, MAX_BATCH)
    }

    /// Waits for an input or a due time. Returns whether a batch must be processed.
    async fn wait(&mut self) -> bool {
        // The loop must also wake up when the drain times out.
        let due = self.core.due().into_iter().chain(self.drain_by).min();
        let latest = self.clock.now() + MAX_ALARM;
        self.alarm.set(due.unwrap_or(latest).max(0).min(latest));
        tokio::select! {
            biased;
            changed = self.drain.changed(), if self.drain_by.is_none() => {
                if changed.is_err() || *self.drain.borrow() {
                    self.begin_drain();
                }
                false
            }
            status = next_status(&mut self.session), if self.session.is_some() => {
                // Polled before the inputs, so that calls of retired functions received at the same time are not accepted.
                if status.is_none() {
                    tracing::warn!("session with the replicas ended");
                    self.session = None;
                }
                self.batch.extend(status.map(Input::ClusterStatus));
                true
            }
            // Polled before the inputs, which may be pending all the time.
            _ = self.ticks.tick() => {
                self.on_tick();
                false
            }
            first = self.inputs.recv() => {
                self.batch.extend(first);
                self.gather();
                true
            }
            () = self.alarm.wait(), if due.is_some() => {
                self.gather_after_stall(due).await;
                true
            }
            () = self.transport.changed(), if self.drain_by.is_some() => false,
        }
    }

    fn begin_drain(&mut self) {
        tracing::info!(unanswered = self.core.unanswered(), "draining front end");
        let delay = self.transport.drain();
        self.drain_by = Some(self.clock.now() - delay + self.max_drain);
    }

    /// Adds the pending inputs to the batch, up to its maximum size.
    fn gather(&mut self) {
        let max_batch = self.max_batch();
        while self.batch.len() < max_batch {
            match self.inputs.try_recv() {
                Ok(input) => self.batch.push(input),
                Err(_) => return,
            }
        }
    }

    /// If the process was stalled past a due time, reads the sockets first: attempts whose answers arrived meanwhile must
    /// not time out.
    async fn gather_after_stall(&mut self, due: Option<Micros>) {
        let was_stalled = due.is_some_and(|due| due > 0 && self.clock.now() - due > MAX_TIMER_DELAY);
        if self.transport.reads_before_timeouts() && was_stalled {
            tokio::task::yield_now().await;
            self.gather();
        }
    }

    fn on_tick(&mut self) {
        self.transport.on_tick(&self.core);
        self.state.send_replace(FrontEndState {
            consuming: self.transport.is_serving(),
            awaits_endpoints: self.transport.awaits_endpoints(),
            ready_workers: self.core.ready_workers(),
            unanswered: self.core.unanswered(),
            drained: false,
        });
    }

    /// Processes the batch. Returns whether the batch was full, so that more inputs may be pending.
    fn process_batch(&mut self) -> bool {
        let (start, inputs) = (self.clock.now(), self.batch.len());
        let is_full = inputs >= self.max_batch();
        self.core.process(self.clock.now(), &mut self.batch, &mut self.commands);
        self.execute_commands();
        if self.core.counters.endpoint_lists > 0 && !self.endpoints_ready {
            self.endpoints_ready = true;
            self.transport.on_endpoints_ready();
        }
        if let (Some(sender), Some(report)) = (&self.report, self.core.session_report()) {
            publish_report(sender, report);
        }
        let time = (self.clock.now() - start) as f64 / inputs.max(1) as f64;
        self.input_time += INPUT_TIME_GAIN * (time - self.input_time);
        is_full
    }

    fn execute_commands(&mut self) {
        for command in self.commands.drain(..) {
            self.transport.execute(command);
        }
        self.transport.flush();
    }

    /// Returns whether the front end must end, because the drain is complete or has timed out.
    fn is_drain_over(&mut self) -> bool {
        let Some(drain_by) = self.drain_by else { return false };
        let is_done = self.transport.is_drained() && self.core.unanswered() == 0;
        let is_late = self.clock.now() >= drain_by;
        if is_late && !is_done {
            tracing::warn!(unanswered = self.core.unanswered(), "drain of front end timed out");
            if self.transport.answers_remaining() {
                self.core.answer_remaining(self.clock.now(), &mut self.commands);
                self.execute_commands();
            }
        }
        is_done || is_late
    }

    async fn finish(&mut self) {
        self.transport.finish().await;
        self.transport.on_tick(&self.core);
        self.state.send_replace(FrontEndState { drained: true, ..Default::default() });
    }
}

/// A tick that is late is not made up for.
fn tick_interval() -> Interval {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn next_status(session: &mut Option<SessionHandle>) -> Option<ClusterStatus> {
    session.as_mut()?.next().await
}
