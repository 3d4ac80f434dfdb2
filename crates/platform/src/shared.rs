//! What the process knows of itself, shared by all its tasks.

use crate::pulse::Pulse;
use stagehoist::Micros;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::News;
use std::cell::RefCell;
use tokio::sync::mpsc;

/// Bytes read at once, into one buffer for all connections.
const READ: usize = 64 << 10;

/// What the process knows of itself, shared by all its tasks.
pub struct Shared {
    pub clock: Clock,
    pub pulse: RefCell<Pulse>,
    pub news: mpsc::Sender<News>,
    pub scratch: RefCell<Vec<u8>>,
}

impl Shared {
    pub fn new(clock: Clock, news: mpsc::Sender<News>) -> Shared {
        let pulse = RefCell::new(Pulse::new(clock.now()));
        Shared { clock, pulse, news, scratch: RefCell::new(vec![0; READ]) }
    }

    /// The time, and how long what is read now may have waited because this process did not run.
    pub fn read_time(&self) -> (Micros, Micros) {
        let now = self.clock.now();
        (now, self.pulse.borrow().late(now))
    }
}
