//! What driver and link tell each other.

use super::{Front, FrontCounters};
use crate::shards::Owned;
use crate::state::{Answer, Ticket};
use stagehoist::Micros;
use std::rc::Rc;

/// What the driver says to its link.
#[derive(Debug)]
pub enum ToLink {
    Answer(Ticket, Answer),
    /// Own shards changed.
    Own(Rc<[Owned]>),
    /// Take no more messages.
    Drain,
}

impl ToLink {
    /// Tells the front; gives whether it is to drain.
    pub(super) fn take(self, front: &mut Front, now: Micros) -> bool {
        match self {
            ToLink::Answer(ticket, answer) => front.answer(ticket, answer, now),
            ToLink::Own(owned) => front.owns(&owned, now),
            ToLink::Drain => return true,
        }
        false
    }
}

/// What a link shows of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkState {
    pub ready: bool,
    pub drained: bool,
    pub at_work: usize,
    pub counters: FrontCounters,
}
