//! The loop of one front end: it gathers what came since the last turn into one batch, lets the module choose once, and
//! executes the choices. It holds the only reference to the module; sockets talk to it by channels. What the sockets
//! speak is behind [`Transport`].

use crate::clock::{Alarm, Clock};
use crate::fleet::{publish_report, SessionHandle};
use crate::state::{Command, Core, Input};
use stagehoist::Micros;
use stagehoist_cluster_state::ClusterStatus;
use std::future::Future;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// News that wait for the driver; a full line holds back reading from sockets.
pub const INPUT_QUEUE_CAPACITY: usize = 16_384;
/// News in one batch at most, so that answers are not kept back behind a flood.
const MAX_BATCH: usize = 4096;
/// A timer that rings later than this means that this process did not run: what lies in the sockets is read first.
const MAX_OVERSLEEP: Micros = 20_000;

/// The protocols around a front end: its callers, its workers and the source of its endpoint list.
pub trait Transport {
    /// Executes one command.
    fn execute(&mut self, command: Command);

    /// All choices of a turn were executed.
    fn flush(&mut self) {}

    /// The first endpoint list came, and the turn that took it is done.
    fn on_endpoints_ready(&mut self) {}

    /// Called four times a second.
    fn on_tick(&mut self, core: &Core);

    /// Takes no more calls as soon as its callers allow; what is held is answered. Gives for how long the word to drain may
    /// have waited because this process did not run: who sent it counts from then.
    fn drain(&mut self) -> Micros;

    /// Takes no more calls and has passed on all answers.
    fn is_drained(&mut self) -> bool;

    /// Whether callers are being served.
    fn is_serving(&mut self) -> bool;

    /// Whether no calls are taken as the first endpoint list is awaited.
    fn awaits_endpoints(&mut self) -> bool {
        false
    }

    /// Whether sockets are read before attempts are cut when this process did not run for a while: only where what is read
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
    pub consuming: bool,
    /// All stands, but nothing is consumed before the first endpoint list.
    pub awaits_endpoints: bool,
    pub ready_workers: usize,
    pub unanswered: usize,
    pub drained: bool,
}

/// Runs one front end on the current thread until it is ordered to drain and has, or `drain_most` ran out. Must be called
/// inside a `LocalSet`.
pub async fn run<W: Transport>(
    mut core: Core,
    mut ways: W,
    mut incoming: mpsc::Receiver<Input>,
    (clock, drain_most): (Clock, Micros),
    mut drain: watch::Receiver<bool>,
    state: watch::Sender<FrontEndState>,
    link: Option<SessionHandle>,
) {
    let mut batch: Vec<Input> = Vec::new();
    let mut commands: Vec<Command> = Vec::new();
    let mut housekeeping = tokio::time::interval(Duration::from_millis(250));
    let mut drain_by: Option<Micros> = None;
    let mut alarm = Alarm::new(clock);
    let (mut told, mut keepers) = (None, link);
    let mut listed = false;
    if let Some(link) = keepers.as_mut() {
        // What is known already is inputs to the front end.
        link.status.mark_changed();
        told = Some(link.report.clone());
    }
    loop {
        // The end of a drain is a time to wake up for like any other.
        let due = core.due().into_iter().chain(drain_by).min();
        alarm.set(due.unwrap_or(Micros::MAX / 2).max(0).min(clock.now() + 60_000_000));
        let mut turn = false;
        tokio::select! {
            biased;
            changed = drain.changed(), if drain_by.is_none() => {
                if changed.is_err() || *drain.borrow() {
                    tracing::info!(unanswered = core.unanswered(), "draining");
                    let late = ways.drain();
                    drain_by = Some(clock.now() - late + drain_most);
                }
            }
            status = next_standing(&mut keepers), if keepers.is_some() => {
                // Before calls that came with it: what is retired is not taken any more.
                if status.is_none() {
                    tracing::warn!("the session with the replicas ended");
                    keepers = None;
                }
                batch.extend(status.map(Input::ClusterStatus));
                turn = true;
            }
            first = incoming.recv() => {
                batch.extend(first);
                gather(&mut incoming, &mut batch);
                turn = true;
            }
            () = alarm.rings(), if due.is_some() => {
                if ways.reads_before_timeouts() && due.is_some_and(|d| d > 0 && clock.now() - d > MAX_OVERSLEEP) {
                    // Yielding lets the sockets be read: answers that came meanwhile are no time-outs.
                    tokio::task::yield_now().await;
                    gather(&mut incoming, &mut batch);
                }
                turn = true;
            }
            _ = housekeeping.tick() => {
                ways.on_tick(&core);
                state.send_replace(FrontEndState {
                    consuming: ways.is_serving(),
                    awaits_endpoints: ways.awaits_endpoints(),
                    ready_workers: core.ready_workers(),
                    unanswered: core.unanswered(),
                    drained: false,
                });
            }
            () = ways.changed(), if drain_by.is_some() => {}
        }
        if told.is_some() {
            core.record_activity(clock.now());
        }
        if turn {
            core.process(clock.now(), &mut batch, &mut commands);
            for command in commands.drain(..) {
                ways.execute(command);
            }
            ways.flush();
            if core.counters.endpoint_lists > 0 && !std::mem::replace(&mut listed, true) {
                ways.on_endpoints_ready();
            }
            if let (Some(sender), Some(inputs)) = (&told, core.session_report()) {
                publish_report(sender, inputs);
            }
        }
        if let Some(by) = drain_by {
            let done = ways.is_drained() && core.unanswered() == 0;
            if done || clock.now() >= by {
                if !done {
                    tracing::warn!(unanswered = core.unanswered(), "drain ran out of time");
                    if ways.answers_remaining() {
                        core.answer_remaining(clock.now(), &mut commands);
                        commands.drain(..).for_each(|command| ways.execute(command));
                        ways.flush();
                    }
                }
                ways.finish().await;
                ways.on_tick(&core);
                state.send_replace(FrontEndState { drained: true, ..Default::default() });
                return;
            }
        }
    }
}

async fn next_standing(link: &mut Option<SessionHandle>) -> Option<ClusterStatus> {
    link.as_mut()?.next().await
}

fn gather(incoming: &mut mpsc::Receiver<Input>, batch: &mut Vec<Input>) {
    while batch.len() < MAX_BATCH {
        match incoming.try_recv() {
            Ok(item) => batch.push(item),
            Err(_) => return,
        }
    }
}
