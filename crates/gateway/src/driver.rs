//! The loop of one front end: it gathers what came since the last turn into one batch, lets the module choose once, and
//! carries out the choices. It holds the only reference to the module; sockets talk to it by channels.

use crate::amqp::link::{self, LinkState, ToLink};
use crate::clock::{Alarm, Clock};
use crate::list::{self, ToList};
use crate::metrics_page::Gauges;
use crate::state::{Command, Core, Decider, News};
use crate::workers::Workers;
use stagehoist::Micros;
use stagehoist_config::Config;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// News that wait for the driver; a full line holds back reading from sockets.
const LINE: usize = 16_384;
/// News in one batch at most, so that answers are not kept back behind a flood.
const BATCH: usize = 4096;

/// What a front end shows of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrontEndState {
    pub consuming: bool,
    pub ready_workers: usize,
    pub unanswered: usize,
    pub drained: bool,
}

/// Runs one front end on the current thread until it is told to drain and has, or `drain_most` ran out. Must be called
/// inside a `LocalSet`.
pub async fn run(
    decider: Decider,
    config: Rc<Config>,
    number: u32,
    clock: Clock,
    mut drain: watch::Receiver<bool>,
    state: watch::Sender<FrontEndState>,
) {
    let seed = config.seed.wrapping_add(u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let (news, mut incoming) = mpsc::channel(LINE);
    let (to_link, from_driver) = mpsc::unbounded_channel();
    let (link_state, mut link_seen) = watch::channel(LinkState::default());
    let (to_list, asks) = mpsc::unbounded_channel();
    let workers = Workers::new(config.clone(), clock, news.clone());
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn_local(link::run(config.clone(), seed, clock, news.clone(), from_driver, link_state));
    tasks.spawn_local(list::follow(config.clone(), seed, clock, news.clone(), asks));
    let mut core = Core::with(decider, config.clone(), seed, clock.now());
    let gauges = Gauges::new(number);
    let mut batch: Vec<News> = Vec::new();
    let mut commands: Vec<Command> = Vec::new();
    let mut housekeeping = tokio::time::interval(Duration::from_millis(250));
    let mut drain_by: Option<Micros> = None;
    let mut alarm = Alarm::new(clock);
    loop {
        let due = core.due();
        alarm.set(due.unwrap_or(Micros::MAX / 2).max(0).min(clock.now() + 60_000_000));
        let mut turn = false;
        tokio::select! {
            biased;
            changed = drain.changed(), if drain_by.is_none() => {
                if changed.is_err() || *drain.borrow() {
                    tracing::info!(front_end = number, unanswered = core.unanswered(), "draining");
                    drain_by = Some(clock.now() + config.drain_most);
                    // A link that ended has nothing left to drain.
                    let _ = to_link.send(ToLink::Drain);
                }
            }
            first = incoming.recv() => {
                batch.extend(first);
                while batch.len() < BATCH {
                    match incoming.try_recv() {
                        Ok(item) => batch.push(item),
                        Err(_) => break,
                    }
                }
                turn = true;
            }
            () = alarm.rings(), if due.is_some() => turn = true,
            _ = housekeeping.tick() => {
                workers.sweep();
                let link = *link_seen.borrow_and_update();
                gauges.publish(&core, &link);
                state.send_replace(FrontEndState {
                    consuming: link.ready,
                    ready_workers: core.ready_workers(),
                    unanswered: core.unanswered(),
                    drained: false,
                });
            }
            _ = link_seen.changed(), if drain_by.is_some() => {}
        }
        if turn {
            core.turn(clock.now(), &mut batch, &mut commands);
            for command in commands.drain(..) {
                carry_out(command, &workers, &to_link, &to_list, &gauges);
            }
        }
        if let Some(by) = drain_by {
            let done = link_seen.borrow().drained && core.unanswered() == 0;
            if done || clock.now() >= by {
                if !done {
                    tracing::warn!(
                        front_end = number,
                        unanswered = core.unanswered(),
                        "drain ran out of time"
                    );
                }
                gauges.publish(&core, &link_seen.borrow());
                state.send_replace(FrontEndState { drained: true, ..Default::default() });
                return;
            }
        }
    }
}

fn carry_out(
    command: Command,
    workers: &Workers,
    to_link: &mpsc::UnboundedSender<ToLink>,
    to_list: &mpsc::UnboundedSender<ToList>,
    gauges: &Gauges,
) {
    // Sends fail only once a link or follower ended, which it does after the driver or at the end of a drain.
    match command {
        Command::Answer { ticket, answer, took } => {
            gauges.answered(&answer, took);
            let _ = to_link.send(ToLink::Answer(ticket, answer));
        }
        Command::Attempt(attempt) => workers.attempt(attempt),
        Command::Abort { request, attempt } => workers.abort(request, attempt),
        Command::Probe { worker, address } => workers.probe(worker, address),
        Command::Load { worker, address, function, copies } => {
            workers.load(worker, address, function, copies)
        }
        Command::Unload { address, function, .. } => workers.unload(address, &function),
        Command::CloseIdle { worker } => workers.close_idle(worker),
        Command::Watch(on) => drop(to_list.send(ToList::Watch(on))),
        Command::Fetch => drop(to_list.send(ToList::Fetch)),
    }
}
