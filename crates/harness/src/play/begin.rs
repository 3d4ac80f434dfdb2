//! Troubles as they begin.

use super::{ScenarioRunner, Undo};
use crate::callers::Pace;
use crate::day::{LinkFault, ScenarioFault};
use crate::stack::HarnessError;
use stagehoist_checker::tap::Fault as TapFault;
use stagehoist_emulator::broker::{Disconnect as BrokerCut, Faults};
use std::time::{Duration, Instant};

impl ScenarioRunner<'_> {
    pub(super) fn begin(&mut self, trouble: &ScenarioFault) -> Result<(), HarnessError> {
        match trouble {
            ScenarioFault::Drain { worker, span, lag } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.drain(true);
                }
                self.later(*lag, Undo::ListDrain(worker.clone()));
                self.later(*span, Undo::Undrain(worker.clone()));
            }
            ScenarioFault::Vanish { hall, span } => {
                let workers = self.stack.layout.workers.iter().filter(|w| w.hall == *hall);
                let names: Vec<String> = workers.map(|w| w.name.clone()).collect();
                names.iter().for_each(|name| self.stack.kill_worker(name));
                self.later(*span, Undo::Workers(names));
            }
            ScenarioFault::Die { worker, span } => {
                self.stack.kill_worker(worker);
                self.later(*span, Undo::Worker(worker.clone()));
            }
            ScenarioFault::StoreSlow { percent, span } => {
                self.stack.store.slow(*percent);
                self.later(*span, Undo::Store);
            }
            ScenarioFault::LoseAnswers { percent, span } => {
                self.taps(None, |c| c.fault(TapFault::LoseAnswer, *percent));
                let all = self.stack.layout.workers.iter().map(|w| w.name.clone()).collect();
                self.later(*span, Undo::Taps(all));
            }
            ScenarioFault::Reset { worker, percent, span } => {
                self.befall(worker, TapFault::ResetAfterRequest, *percent, *span);
            }
            ScenarioFault::Stall { worker, span } => self.befall(worker, TapFault::Stall, 100, *span),
            ScenarioFault::Garbage { worker, percent, span } => {
                self.befall(worker, TapFault::Garbage, *percent, *span)
            }
            ScenarioFault::Truncate { worker, percent, span } => {
                self.befall(worker, TapFault::Truncate, *percent, *span);
            }
            ScenarioFault::Late { worker, by, span } => {
                self.taps(Some(worker), |c| c.delay(*by));
                self.later(*span, Undo::Delay(worker.clone()));
            }
            ScenarioFault::Slow { worker, percent, span } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.slow(*percent);
                }
                self.later(*span, Undo::SlowWorker(worker.clone()));
            }
            ScenarioFault::Fail { worker, percent, span } => {
                if let Some(controls) = self.stack.worker(worker) {
                    controls.fail(*percent);
                }
                self.later(*span, Undo::SlowWorker(worker.clone()));
            }
            ScenarioFault::BrokerCut { how } => {
                let how = match how {
                    LinkFault::BeforeRouting => BrokerCut::BeforeRouting,
                    LinkFault::BeforeConfirm => BrokerCut::BeforeConfirm,
                    LinkFault::MidDelivery => BrokerCut::MidDelivery,
                };
                self.stack
                    .broker
                    .fault(Faults::Cut { queue: self.stack.addresses.borrow().queues().swap_remove(0), how });
            }
            ScenarioFault::BrokerDelay { by, span } => {
                self.stack.broker.fault(Faults::Delay(*by));
                self.later(*span, Undo::BrokerDelay);
            }
            ScenarioFault::BrokerDeaf { span } => self.stack.broker.fault(Faults::StopReading(*span)),
            ScenarioFault::BrokerBlocked { span } => {
                self.stack.broker.fault(Faults::Blocked(true));
                self.later(*span, Undo::Unblock);
            }
            ScenarioFault::BrokerFlow { span } => {
                self.stack.broker.fault(Faults::Flow(false));
                self.later(*span, Undo::FlowOn);
            }
            ScenarioFault::BrokerRestart => self.stack.broker.fault(Faults::Restart { keep_durable: true }),
            ScenarioFault::ListFails { span } => {
                self.stack.registry.set_failing(true);
                self.later(*span, Undo::ListWell);
            }
            ScenarioFault::ListLags { by, span } => {
                self.stack.registry.set_lag(*by);
                self.later(*span, Undo::ListLag);
            }
            ScenarioFault::ListFlaps { worker, span } => {
                let until = Instant::now() + *span;
                self.stack.registry.set_draining(worker, true);
                self.later(Duration::from_millis(150), Undo::Flap(worker.clone(), false, until));
            }
            ScenarioFault::ListIndexResets => self.stack.registry.reset_index(),
            ScenarioFault::Flood { times, span } => {
                let rate = self.stack.day.rate * times;
                self.stack.pace.send_replace(Pace { rate, stop: false });
                self.later(*span, Undo::Pace);
            }
            ScenarioFault::Stop { front_end, span } => self.stop(front_end.number(), *span),
            ScenarioFault::Terminate { front_end } => self.terminate(front_end.number()),
            ScenarioFault::Kill { front_end, span: None } => self.kill(front_end.number())?,
            ScenarioFault::Kill { front_end, span: Some(span) } => self.kill_for(front_end.number(), *span),
            ScenarioFault::MachineKill { machine, span } => self.kill_machine(machine.number(), *span),
            ScenarioFault::MachineStop { machine, span } => {
                let front_ends = self.stack.day.of_machine(machine.number());
                front_ends.for_each(|front_end| self.stop(front_end, *span));
            }
            ScenarioFault::Shards { to } => self.changes.push_back(*to),
            ScenarioFault::Link { .. }
            | ScenarioFault::LeaderKill { .. }
            | ScenarioFault::LeaderStop { .. }
            | ScenarioFault::Retire { .. }
            | ScenarioFault::Everything { .. }
            | ScenarioFault::Store { .. }
            | ScenarioFault::Surge { .. } => self.begin_fleet(trouble)?,
        }
        Ok(())
    }
}
