//! What the process knows of itself, shared by all its tasks.

use crate::descriptors::Descriptors;
use crate::pulse::{Pulse, BEAT};
use stagehoist::Micros;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::News;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Bytes read at once, into one buffer for all connections.
const READ: usize = 64 << 10;

/// What the process knows of itself, shared by all its tasks.
pub struct Shared {
    pub clock: Clock,
    pub pulse: RefCell<Pulse>,
    pub news: mpsc::Sender<News>,
    pub scratch: RefCell<Vec<u8>>,
    pub descriptors: Descriptors,
}

impl Shared {
    pub fn new(clock: Clock, news: mpsc::Sender<News>) -> Shared {
        let pulse = RefCell::new(Pulse::new(clock.now()));
        let (scratch, descriptors) = (RefCell::new(vec![0; READ]), Descriptors::default());
        Shared { clock, pulse, news, scratch, descriptors }
    }

    /// The time, and how long what is read now may have waited because this process did not run.
    pub fn read_time(&self) -> (Micros, Micros) {
        let now = self.clock.now();
        (now, self.pulse.borrow().late(now))
    }

    /// Beats the pulse until dropped.
    pub async fn beat(self: Rc<Self>) {
        let mut beat = tokio::time::interval(Duration::from_micros(BEAT as u64));
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            beat.tick().await;
            let now = self.clock.now();
            self.pulse.borrow_mut().beat(now);
        }
    }
}
