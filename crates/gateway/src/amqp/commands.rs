//! Messages between the driver and its AMQP link.

use super::{Front, FrontCounters};
use crate::shards::OwnedShards;
use crate::state::{Answer, Ticket};
use stagehoist::Micros;
use std::rc::Rc;
use tokio::sync::watch;

/// A command from the driver to its link.
#[derive(Debug)]
pub enum LinkCommand {
    Answer(Ticket, Answer),
    /// The first endpoint list was received.
    EndpointsReady,
    /// The shards that this front end owns changed.
    ServeShards(Rc<[OwnedShards]>),
    /// Stop consuming; deliveries already received are still answered.
    Drain,
}

impl LinkCommand {
    /// Applies the command to the front; returns whether the front has to drain.
    pub(super) fn apply(self, front: &mut Front, now: Micros) -> bool {
        match self {
            LinkCommand::Answer(ticket, answer) => front.answer(ticket, answer, now),
            LinkCommand::EndpointsReady => front.on_endpoints_ready(now),
            LinkCommand::ServeShards(owned) => front.serve_shards(&owned, now),
            LinkCommand::Drain => return true,
        }
        false
    }
}

/// The state that a link publishes.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkState {
    pub ready: bool,
    /// The channel is open, but consuming waits for the first endpoint list.
    pub awaits_endpoints: bool,
    pub drained: bool,
    pub calls_in_progress: usize,
    pub counters: FrontCounters,
}

pub(super) fn publish_state(front: &Front, state: &watch::Sender<LinkState>, drained: bool) {
    state.send_replace(LinkState {
        ready: front.is_ready(),
        awaits_endpoints: front.awaits_endpoints(),
        drained,
        calls_in_progress: front.calls_in_progress(),
        counters: front.counters,
    });
}
