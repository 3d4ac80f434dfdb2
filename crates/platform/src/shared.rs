//! What the process knows of itself, shared by all its tasks.

use crate::descriptors::Descriptors;
use crate::loop_lag::{LagReport, LoopLag};
use crate::stalls::{StallDetector, CHECK_INTERVAL};
use stagehoist::Micros;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::Input;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Bytes read at once, into one buffer for all connections.
const READ_BUFFER: usize = 64 << 10;

/// What the process knows of itself, shared by all its tasks.
pub struct Shared {
    /// The clock of all front-end decisions.
    pub clock: Clock,
    /// For how long this process itself did not run.
    pub stalls: RefCell<StallDetector>,
    /// How far the loop is behind.
    pub lag: RefCell<LoopLag>,
    /// To the driver.
    pub inputs: mpsc::Sender<Input>,
    /// One buffer for the reads of all connections.
    pub scratch: RefCell<Vec<u8>>,
    /// What is done while no descriptor is free.
    pub descriptors: Descriptors,
}

impl Shared {
    /// What a process begins with.
    pub fn new(clock: Clock, inputs: mpsc::Sender<Input>) -> Shared {
        Shared {
            clock,
            stalls: RefCell::new(StallDetector::new(clock.now())),
            lag: RefCell::new(LoopLag::new(clock.now())),
            inputs,
            scratch: RefCell::new(vec![0; READ_BUFFER]),
            descriptors: Descriptors::default(),
        }
    }

    /// The time, and how long what is read now may have waited because this process did not run.
    pub fn read_time(&self) -> (Micros, Micros) {
        let now = self.clock.now();
        (now, self.stalls.borrow().delay(now))
    }

    /// The time, and how long what is read now, or a signal, may have waited at most because this process did not run.
    pub fn earliest_time(&self) -> (Micros, Micros) {
        let now = self.clock.now();
        (now, self.stalls.borrow().longest_delay(now))
    }

    /// Checks for stalls until dropped.
    pub async fn check_stalls(self: Rc<Self>) {
        let mut interval = tokio::time::interval(Duration::from_micros(CHECK_INTERVAL as u64));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let now = self.clock.now();
            let late = self.stalls.borrow_mut().check(now);
            if let Some(report) = self.lag.borrow_mut().record(late, now) {
                let LagReport { worst, refused, named, turns } = report;
                tracing::warn!(worst_ms = worst / 1000, refused, ?named, %turns, "loop behind");
            }
        }
    }
}
