//! Troubles as they end.

use super::{ScenarioRunner, Undo};
use crate::callers::Pace;
use crate::stack::HarnessError;
use rustix::process::Signal;
use stagehoist_checker::rules::WorkerStart;
use stagehoist_checker::tap::Fault as TapFault;
use stagehoist_emulator::broker::Faults;
use std::time::{Duration, Instant};

impl ScenarioRunner<'_> {
    pub(super) fn end_due(&mut self) -> Result<(), HarnessError> {
        let now = Instant::now();
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.undo).into_iter().partition(|u| u.0 <= now);
        self.undo = rest;
        for (_, undo) in due {
            match undo {
                Undo::Worker(name) => self.bring_back(&name),
                Undo::Workers(names) => names.iter().for_each(|name| self.bring_back(name)),
                Undo::ListDrain(name) => self.stack.registry.set_draining(&name, true),
                Undo::Undrain(name) => {
                    if let Some(controls) = self.stack.worker(&name) {
                        controls.drain(false);
                    }
                    self.stack.registry.set_draining(&name, false);
                }
                Undo::Taps(names) => {
                    for name in names {
                        self.taps(Some(&name), |c| c.fault(TapFault::None, 0));
                    }
                }
                Undo::Delay(name) => self.taps(Some(&name), |c| c.delay(Duration::ZERO)),
                Undo::SlowWorker(name) => {
                    if let Some(controls) = self.stack.worker(&name) {
                        controls.slow(100);
                        controls.fail(0);
                    }
                }
                Undo::Store => self.stack.store.slow(100),
                Undo::BrokerDelay => self.stack.broker.fault(Faults::Delay(Duration::ZERO)),
                Undo::Unblock => self.stack.broker.fault(Faults::Blocked(false)),
                Undo::FlowOn => self.stack.broker.fault(Faults::Flow(true)),
                Undo::ListWell => self.stack.registry.set_failing(false),
                Undo::ListLag => self.stack.registry.set_lag(Duration::ZERO),
                Undo::Flap(name, draining, until) => {
                    self.stack.registry.set_draining(&name, draining);
                    if draining || now < until {
                        self.later(Duration::from_millis(150), Undo::Flap(name, !draining, until));
                    }
                }
                Undo::Pace => {
                    let rate =
                        if self.start.elapsed() < self.stack.day.length { self.stack.day.rate } else { 0.0 };
                    self.stack.pace.send_replace(Pace { rate, stop: false });
                }
                // A process that was killed meanwhile has nothing to go on with.
                Undo::Continue(front_end) if self.down.contains_key(&front_end) => {}
                Undo::Continue(front_end) => {
                    self.stack.signal(front_end, Signal::CONT);
                    let at = self.stack.recorder.now();
                    if let Some(frozen) = self.charter.frozen.iter_mut().rev().find(|f| f.0 == front_end) {
                        frozen.2 = frozen.2.max(at);
                    }
                }
                Undo::Heal(ticket) => self.stack.between.heal(ticket),
                Undo::Start(front_end) => self.start_again(front_end)?,
                Undo::Leader(trouble, by) => self.leader(&trouble, by)?,
                Undo::Surge(number) => {
                    self.surges.retain(|s| s.0 != number);
                    self.tell_surges();
                }
                Undo::Reap(front_end, by) => self.reap(front_end, by)?,
            }
        }
        Ok(())
    }

    fn bring_back(&mut self, name: &str) {
        self.stack.return_worker(name);
        let at = self.stack.recorder.now();
        let capacity = self.stack.layout.capacity();
        self.charter.starts.push(WorkerStart { worker: name.to_string(), at, capacity });
    }

    /// A front end that was ordered to end must do so with exit code 0 within the longest give-up time and a little.
    fn reap(&mut self, front_end: u32, by: Instant) -> Result<(), HarnessError> {
        let process = &mut self.stack.front_ends[front_end as usize].process;
        let code = match process.try_wait() {
            Ok(Some(status)) => status.code(),
            _ if Instant::now() < by => {
                self.later(Duration::from_millis(10), Undo::Reap(front_end, by));
                return Ok(());
            }
            _ => {
                // It may have ended in the meantime; either way it did not in time.
                let _ = process.kill();
                let _ = process.wait();
                None
            }
        };
        if code != Some(0) {
            let log = self.stack.log(front_end);
            self.stack
                .disorderly
                .push(format!("front end {front_end} did not end in order: {code:?}\n{log}"));
        }
        self.begin_anew(front_end)
    }

    pub(super) fn begin_anew(&mut self, front_end: u32) -> Result<(), HarnessError> {
        self.charter.begun.push((front_end, self.stack.recorder.now()));
        self.stack.restart_front_end(front_end)
    }
}
