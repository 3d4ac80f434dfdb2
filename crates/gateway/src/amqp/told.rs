//! What driver and link tell each other.

use super::FrontCounters;
use crate::state::{Answer, Ticket};

/// What the driver says to its link.
#[derive(Debug)]
pub enum ToLink {
    Answer(Ticket, Answer),
    /// Take no more messages.
    Drain,
}

/// What a link shows of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkState {
    pub ready: bool,
    pub drained: bool,
    pub at_work: usize,
    pub counters: FrontCounters,
}
