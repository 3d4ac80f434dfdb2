//! What driver and link tell each other.

use super::{Front, FrontCounters};
use crate::shards::OwnedShards;
use crate::state::{Answer, Ticket};
use stagehoist::Micros;
use std::rc::Rc;
use tokio::sync::watch;

/// What the driver says to its link.
#[derive(Debug)]
pub enum LinkCommand {
    Answer(Ticket, Answer),
    /// The first endpoint list came.
    EndpointsReady,
    /// Own shards changed.
    ServeShards(Rc<[OwnedShards]>),
    /// Take no more messages.
    Drain,
}

impl LinkCommand {
    /// Tells the front; gives whether it is to drain.
    pub(super) fn take(self, front: &mut Front, now: Micros) -> bool {
        match self {
            LinkCommand::Answer(ticket, answer) => front.answer(ticket, answer, now),
            LinkCommand::EndpointsReady => front.on_endpoints_ready(now),
            LinkCommand::ServeShards(owned) => front.serve_shards(&owned, now),
            LinkCommand::Drain => return true,
        }
        false
    }
}

/// What a link shows of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkState {
    pub ready: bool,
    /// All stands, but nothing is consumed before the first endpoint list.
    pub awaits_endpoints: bool,
    pub drained: bool,
    pub at_work: usize,
    pub counters: FrontCounters,
}

pub(super) fn publish_state(front: &Front, state: &watch::Sender<LinkState>, drained: bool) {
    state.send_replace(LinkState {
        ready: front.is_ready(),
        awaits_endpoints: front.awaits_endpoints(),
        drained,
        at_work: front.at_work(),
        counters: front.counters,
    });
}
