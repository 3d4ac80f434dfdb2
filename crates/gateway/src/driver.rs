//! The driver loop of one front end: it gathers the inputs since the last turn into one batch, has the decision module
//! decide once, and executes the commands. It holds the only reference to the module; sockets talk to it by channels. The
//! protocols of the sockets are behind [`Transport`].

use crate::clock::{Alarm, Clock};
use crate::fleet::{publish_report, SessionHandle, SessionReport};
use crate::state::{Command, Core, Input};
use stagehoist::Micros;
use stagehoist_cluster_state::ClusterStatus;
use std::future::Future;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Interval;

/// Inputs that wait for the driver; a full queue holds back reading from sockets.
pub const INPUT_QUEUE_CAPACITY: usize = 16_384;
/// Inputs in one batch at most, and at least where they are there.
const MAX_BATCH: usize = 4096;
const MIN_BATCH: usize = 8;
/// A batch is to take no longer than this, in microseconds: its answers are written at its end.
const BATCH_TIME: f64 = 20_000.0;
/// Weight of a batch in the mean time of an input.
const INPUT_TIME_GAIN: f64 = 0.2;
/// A timer that rings later than this means that this process did not run: what lies in the sockets is read first.
const MAX_OVERSLEEP: Micros = 20_000;
/// How often [`Transport::on_tick`] is called.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time for which the alarm is set.
const MAX_ALARM: Micros = 60_000_000;

/// The protocols around a front end: its callers, its workers and the source of its endpoint list.
pub trait Transport {
    /// Executes one command.
    fn execute(&mut self, command: Command);

    /// All commands of a turn were executed.
    fn flush(&mut self) {}

    /// The first endpoint list came, and the turn that took it is done.
    fn on_endpoints_ready(&mut self) {}

    /// Called four times a second.
    fn on_tick(&mut self, core: &Core);

    /// Takes no more calls as soon as its callers allow; accepted calls are answered. Returns for how long the order to drain
    /// may have waited because this process did not run: who sent it counts from then.
    fn drain(&mut self) -> Micros;

    /// Takes no more calls and has passed on all answers.
    fn is_drained(&mut self) -> bool;

    /// Whether callers are being served.
    fn is_serving(&mut self) -> bool;

    /// Whether no calls are taken as the first endpoint list is awaited.
    fn awaits_endpoints(&mut self) -> bool {
        false
    }

    /// Whether sockets are read before attempts time out when this process did not run for a while: only where what is read
    /// carries its age, which a link that dates messages by its queue does not give.
    fn reads_before_timeouts(&self) -> bool {
        false
    }

    /// Whether calls left over when the drain runs out of time are answered all the same, as no one else will: a broker would
    /// deliver them again.
    fn answers_remaining(&self) -> bool {
        false
    }

    /// The driver takes no more inputs: the sockets are closed in order, within a time of their own.
    fn finish(&mut self) -> impl Future<Output = ()> {
        std::future::ready(())
    }

    /// Returns when [`Transport::is_drained`] may have changed; may wait for ever, as it is looked at in each turn too.
    fn changed(&mut self) -> impl Future<Output = ()>;
}

/// What a front end shows of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrontEndState {
    /// Callers are served.
    pub consuming: bool,
    /// All is connected, but nothing is consumed before the first endpoint list.
    pub awaits_endpoints: bool,
    /// Workers that take requests.
    pub ready_workers: usize,
    /// Calls accepted and not answered.
    pub unanswered: usize,
    /// It has ended.
    pub drained: bool,
}

/// What a front end is run with.
pub struct FrontEndParts<T> {
    /// Its state.
    pub core: Core,
    /// Its sockets.
    pub transport: T,
    /// What its sockets bring.
    pub inputs: mpsc::Receiver<Input>,
    /// The clock of its decisions.
    pub clock: Clock,
    /// Longest time from the order to drain to the end.
    pub max_drain: Micros,
    /// The order to drain.
    pub drain: watch::Receiver<bool>,
    /// What it shows of itself.
    pub state: watch::Sender<FrontEndState>,
    /// Its session with the replicas; `None` where it shares nothing.
    pub session: Option<SessionHandle>,
}

/// Runs one front end on the current thread until it is ordered to drain and has, or the time for that ran out. Must be
/// called inside a `LocalSet`.
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
    /// To the session; kept when the session ends.
    report: Option<watch::Sender<SessionReport>>,
    ticks: Interval,
    alarm: Alarm,
    /// When the drain is over at the latest, once it has begun.
    drain_by: Option<Micros>,
    /// The first endpoint list came.
    endpoints_ready: bool,
    batch: Vec<Input>,
    commands: Vec<Command>,
    /// Mean time that an input of a batch takes, in microseconds.
    input_time: f64,
}

impl<T: Transport> Driver<T> {
    fn new(parts: FrontEndParts<T>) -> Driver<T> {
        let mut session = parts.session;
        if let Some(session) = session.as_mut() {
            // The status that is known already is an input to the front end.
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
            ticks: tokio::time::interval(TICK_INTERVAL),
            alarm: Alarm::new(parts.clock),
            drain_by: None,
            endpoints_ready: false,
            batch: Vec::new(),
            commands: Vec::new(),
            input_time: 0.0,
        }
    }

    /// Inputs that a batch may have.
    fn max_batch(&self) -> usize {
        ((BATCH_TIME / self.input_time.max(1.0)) as usize).clamp(MIN_BATCH, MAX_BATCH)
    }

    /// Waits for an input or a time that is due; whether a batch is to be processed.
    async fn wait(&mut self) -> bool {
        // The end of a drain is a time to wake up for like any other.
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
                // Before calls that came with it: what is retired is not accepted any more.
                if status.is_none() {
                    tracing::warn!("the session with the replicas ended");
                    self.session = None;
                }
                self.batch.extend(status.map(Input::ClusterStatus));
                true
            }
            first = self.inputs.recv() => {
                self.batch.extend(first);
                self.gather();
                true
            }
            () = self.alarm.rings(), if due.is_some() => {
                self.gather_after_stall(due).await;
                true
            }
            _ = self.ticks.tick() => {
                self.on_tick();
                false
            }
            () = self.transport.changed(), if self.drain_by.is_some() => false,
        }
    }

    fn begin_drain(&mut self) {
        tracing::info!(unanswered = self.core.unanswered(), "draining");
        let delay = self.transport.drain();
        self.drain_by = Some(self.clock.now() - delay + self.max_drain);
    }

    /// Takes the inputs that are here.
    fn gather(&mut self) {
        let most = self.max_batch();
        while self.batch.len() < most {
            match self.inputs.try_recv() {
                Ok(input) => self.batch.push(input),
                Err(_) => return,
            }
        }
    }

    /// Where this process did not run while a time came, the sockets are read first: answers that came meanwhile are no
    /// time-outs.
    async fn gather_after_stall(&mut self, due: Option<Micros>) {
        let overslept = due.is_some_and(|due| due > 0 && self.clock.now() - due > MAX_OVERSLEEP);
        if self.transport.reads_before_timeouts() && overslept {
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

    /// Processes the batch; whether more inputs wait than it had room for.
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

    /// Whether the front end is to end: it has drained, or the time for that ran out.
    fn is_drain_over(&mut self) -> bool {
        let Some(drain_by) = self.drain_by else { return false };
        let is_done = self.transport.is_drained() && self.core.unanswered() == 0;
        let is_late = self.clock.now() >= drain_by;
        if is_late && !is_done {
            tracing::warn!(unanswered = self.core.unanswered(), "drain ran out of time");
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

async fn next_status(session: &mut Option<SessionHandle>) -> Option<ClusterStatus> {
    session.as_mut()?.next().await
}
