//! State that all tasks of the process share.

use crate::descriptors::Descriptors;
use crate::loop_lag::{LagReport, LoopLag};
use crate::read_turns::ReadTurns;
use crate::stalls::{StallDetector, CHECK_INTERVAL};
use stagehoist::Micros;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::Input;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Size of the read buffer that all connections share.
const READ_BUFFER: usize = 64 << 10;

/// State that all tasks of the process share.
pub struct Shared {
    /// The clock on which all decisions of the front end are based.
    pub clock: Clock,
    /// Detects times in which this process did not run.
    pub stalls: RefCell<StallDetector>,
    /// Tracks how far the event loop is behind.
    pub lag: RefCell<LoopLag>,
    /// Input queue of the driver.
    pub inputs: mpsc::Sender<Input>,
    /// Read buffer of all connections.
    pub read_buffer: RefCell<Vec<u8>>,
    /// Frees descriptors and orders the waiters while the process has none left.
    pub descriptors: Descriptors,
    /// Decides which connection may read next.
    pub read_turns: Rc<ReadTurns>,
}

impl Shared {
    /// Creates the state of a process that starts now.
    pub fn new(clock: Clock, inputs: mpsc::Sender<Input>) -> Shared {
        Shared {
            clock,
            stalls: RefCell::new(StallDetector::new(clock.now())),
            lag: RefCell::new(LoopLag::new(clock.now())),
            inputs,
            read_buffer: RefCell::new(vec![0; READ_BUFFER]),
            descriptors: Descriptors::default(),
            read_turns: Rc::new(ReadTurns::new(clock)),
        }
    }

    /// Returns the current time, and an estimate of how long data read now waited in its socket because this process
    /// did not run.
    pub fn read_time(&self) -> (Micros, Micros) {
        let now = self.clock.now();
        (now, self.stalls.borrow().delay(now))
    }

    /// Returns the current time, and the maximum time for which data read now (or a signal handled now) waited
    /// because this process did not run.
    pub fn earliest_time(&self) -> (Micros, Micros) {
        let now = self.clock.now();
        (now, self.stalls.borrow().longest_delay(now))
    }

    /// Begins rounds of reading until dropped.
    pub async fn run_read_turns(self: Rc<Self>) {
        self.read_turns.clone().run(|| self.queued_inputs()).await;
    }

    /// Returns the length of the driver's input queue.
    fn queued_inputs(&self) -> usize {
        self.inputs.max_capacity() - self.inputs.capacity()
    }

    /// Checks for stalls and lag until dropped.
    pub async fn check_stalls(self: Rc<Self>) {
        let mut interval = tokio::time::interval(Duration::from_micros(CHECK_INTERVAL as u64));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let now = self.clock.now();
            let late = self.stalls.borrow_mut().check(now);
            if let Some(report) = self.lag.borrow_mut().record(late, now) {
                let LagReport { worst, refused, named, turns } = report;
                let (reads, queued) = (self.read_turns.take_stats(), self.queued_inputs());
                tracing::warn!(worst_ms = worst / 1000, refused, ?named, %turns, queued, ?reads, "loop behind");
            }
        }
    }
}
