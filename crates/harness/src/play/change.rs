//! The number of shards changed, stage by stage: each comes in force by restarts of one machine after the other.

use super::ScenarioRunner;
use crate::layout::GIVE_UP;
use crate::stack::HarnessError;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Callers have gone over; what they sent to the old queues has had its time after so long.
const OLD_QUEUES: Duration = Duration::from_micros(GIVE_UP as u64 + 500_000);
/// Between two looks at the processes' logs.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A stage under way.
#[derive(Debug)]
pub(super) struct Change {
    /// Machines not begun with.
    machines: VecDeque<u32>,
    /// Front ends that were told to end, and how often each had come to consume by then.
    restarting: Vec<(u32, usize)>,
    /// Nothing more before.
    not_before: Instant,
    /// Callers send by the new division.
    gone_over: bool,
}

impl ScenarioRunner<'_> {
    /// Goes on with a change of the number of shards, where one is under way.
    pub(super) fn change(&mut self) -> Result<(), HarnessError> {
        let Some(&to) = self.changes.front() else { return Ok(()) };
        let now = Instant::now();
        let Some(mut change) = self.change.take() else {
            let further = self.stack.day.division.and_then(|d| d.further(to));
            let Some(division) = further else {
                self.changes.pop_front();
                return Ok(());
            };
            tracing::info!(?division, "comes in force");
            self.stack.divide(division)?;
            let machines = (0..self.stack.day.machines()).collect();
            let restarting = Vec::new();
            self.change = Some(Change { machines, restarting, not_before: now, gone_over: false });
            return Ok(());
        };
        if now < change.not_before {
            self.change = Some(change);
            return Ok(());
        }
        change.not_before = now + CHECK_INTERVAL;
        let stack = &self.stack;
        change.restarting.retain(|(front_end, before)| stack.times_consuming(*front_end) <= *before);
        // One that was down starts with what it is given by then, and is waited for as the others.
        if change.restarting.is_empty() {
            match change.machines.pop_front() {
                Some(machine) => {
                    for front_end in self.stack.day.of_machine(machine) {
                        change.restarting.push((front_end, self.stack.times_consuming(front_end)));
                        self.terminate(front_end);
                    }
                }
                // All have it. Callers go over at both; before the old queues are left, what is in them has had its time.
                None if !change.gone_over && self.stage_is("both") => {
                    self.stack.address()?;
                    change.gone_over = true;
                    change.not_before = now + OLD_QUEUES;
                }
                None => return self.stack.address(),
            }
        }
        self.change = Some(change);
        Ok(())
    }

    fn stage_is(&self, word: &str) -> bool {
        self.stack.day.division.is_some_and(|d| d.stage() == Some(word))
    }
}
