//! Troubles as they begin.

use super::{Player, Undo};
use crate::callers::Pace;
use crate::day::{Cut, Trouble};
use crate::stack::StageError;
use stagehoist_checker::tap::Trouble as Tapped;
use stagehoist_emulator::broker::{Cut as BrokerCut, Faults};
use std::time::{Duration, Instant};

impl Player<'_> {
    pub(super) fn begin(&mut self, trouble: &Trouble) -> Result<(), StageError> {
        match trouble {
            Trouble::Drain { worker, span, lag } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.drain(true);
                }
                self.later(*lag, Undo::ListDrain(worker.clone()));
                self.later(*span, Undo::Undrain(worker.clone()));
            }
            Trouble::Vanish { hall, span } => {
                let workers = self.stack.layout.workers.iter().filter(|w| w.hall == *hall);
                let names: Vec<String> = workers.map(|w| w.name.clone()).collect();
                names.iter().for_each(|name| self.stack.kill_worker(name));
                self.later(*span, Undo::Workers(names));
            }
            Trouble::Die { worker, span } => {
                self.stack.kill_worker(worker);
                self.later(*span, Undo::Worker(worker.clone()));
            }
            Trouble::StoreSlow { percent, span } => {
                self.stack.store.slow(*percent);
                self.later(*span, Undo::Store);
            }
            Trouble::LoseAnswers { percent, span } => {
                self.taps(None, |c| c.trouble(Tapped::LoseAnswer, *percent));
                let all = self.stack.layout.workers.iter().map(|w| w.name.clone()).collect();
                self.later(*span, Undo::Taps(all));
            }
            Trouble::Reset { worker, percent, span } => {
                self.befall(worker, Tapped::ResetAfterRequest, *percent, *span);
            }
            Trouble::Stall { worker, span } => self.befall(worker, Tapped::Stall, 100, *span),
            Trouble::Garbage { worker, percent, span } => {
                self.befall(worker, Tapped::Garbage, *percent, *span)
            }
            Trouble::Truncate { worker, percent, span } => {
                self.befall(worker, Tapped::Truncate, *percent, *span);
            }
            Trouble::Late { worker, by, span } => {
                self.taps(Some(worker), |c| c.delay(*by));
                self.later(*span, Undo::Delay(worker.clone()));
            }
            Trouble::Slow { worker, percent, span } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.slow(*percent);
                }
                self.later(*span, Undo::SlowWorker(worker.clone()));
            }
            Trouble::Fail { worker, percent, span } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.fail(*percent);
                }
                self.later(*span, Undo::SlowWorker(worker.clone()));
            }
            Trouble::BrokerCut { how } => {
                let how = match how {
                    Cut::BeforeRouting => BrokerCut::BeforeRouting,
                    Cut::BeforeConfirm => BrokerCut::BeforeConfirm,
                    Cut::MidDelivery => BrokerCut::MidDelivery,
                };
                self.stack
                    .broker
                    .fault(Faults::Cut { queue: self.stack.addresses.borrow().queues().swap_remove(0), how });
            }
            Trouble::BrokerDelay { by, span } => {
                self.stack.broker.fault(Faults::Delay(*by));
                self.later(*span, Undo::BrokerDelay);
            }
            Trouble::BrokerDeaf { span } => self.stack.broker.fault(Faults::StopReading(*span)),
            Trouble::BrokerBlocked { span } => {
                self.stack.broker.fault(Faults::Blocked(true));
                self.later(*span, Undo::Unblock);
            }
            Trouble::BrokerFlow { span } => {
                self.stack.broker.fault(Faults::Flow(false));
                self.later(*span, Undo::FlowOn);
            }
            Trouble::BrokerRestart => self.stack.broker.fault(Faults::Restart { keep_durable: true }),
            Trouble::ListFails { span } => {
                self.stack.registry.set_failing(true);
                self.later(*span, Undo::ListWell);
            }
            Trouble::ListLags { by, span } => {
                self.stack.registry.set_lag(*by);
                self.later(*span, Undo::ListLag);
            }
            Trouble::ListFlaps { worker, span } => {
                let until = Instant::now() + *span;
                self.stack.registry.set_draining(worker, true);
                self.later(Duration::from_millis(150), Undo::Flap(worker.clone(), false, until));
            }
            Trouble::ListIndexResets => self.stack.registry.reset_index(),
            Trouble::Flood { times, span } => {
                let rate = self.stack.day.rate * times;
                self.stack.pace.send_replace(Pace { rate, stop: false });
                self.later(*span, Undo::Pace);
            }
            Trouble::Stop { front_end, span } => self.stop(front_end.number(), *span),
            Trouble::Terminate { front_end } => self.terminate(front_end.number()),
            Trouble::Kill { front_end, span: None } => self.kill(front_end.number())?,
            Trouble::Kill { front_end, span: Some(span) } => self.kill_for(front_end.number(), *span),
            Trouble::MachineKill { machine, span } => self.kill_machine(machine.number(), *span),
            Trouble::MachineStop { machine, span } => {
                let front_ends = self.stack.day.of_machine(machine.number());
                front_ends.for_each(|front_end| self.stop(front_end, *span));
            }
            Trouble::Shards { to } => self.changes.push_back(*to),
            Trouble::Link { .. }
            | Trouble::LeaderKill { .. }
            | Trouble::LeaderStop { .. }
            | Trouble::Retire { .. }
            | Trouble::Everything { .. }
            | Trouble::Store { .. }
            | Trouble::Surge { .. } => self.begin_fleet(trouble)?,
        }
        Ok(())
    }
}
