//! A front end after a loss of everything: calls that come are admitted, wait or are rejected as the stages say.

use super::super::{Answer, Arrival, Command};
use super::Core;
use crate::fleet::FleetRecovery;
use stagehoist::{Micros, RequestId};
use stagehoist_recovery::phases::{Admission, RecoveryPhase};

impl Core {
    /// Goes by stages where this start shows itself as one after a loss; before its first call.
    pub fn set_recovery(&mut self, recovery: FleetRecovery) {
        self.recovery = Some(Box::new(recovery));
    }

    /// The stage; None where none are told.
    pub fn recovery_phase(&self) -> Option<RecoveryPhase> {
        self.recovery.as_ref().map(|s| s.phase())
    }

    /// Whether a call may go in now. Its `read` is set.
    pub(super) fn recovery_admission(&mut self, now: Micros, arrival: &Arrival) -> Admission {
        let Some(recovery) = self.recovery.as_mut() else { return Admission::Admit };
        let left = arrival.read_at.min(now) + arrival.budget - now;
        recovery.admit((arrival.tenant, &arrival.function), left, now)
    }

    pub(super) fn reject_in_recovery(
        &mut self,
        now: Micros,
        arrival: Arrival,
        retry_after: Micros,
        commands: &mut Vec<Command>,
    ) {
        let retry_after = retry_after.min(self.settings.max_retry_after);
        let answer = Answer::Refused { reason: "fleet-starting", retry_after };
        self.reject_waiting(now, arrival, answer, commands);
    }

    /// Answers a call that the module did not see.
    fn reject_waiting(&mut self, now: Micros, arrival: Arrival, answer: Answer, commands: &mut Vec<Command>) {
        self.counters.rejected_at_intake += 1;
        let (correlation, function) = (&*arrival.correlation, &*arrival.function);
        tracing::debug!(correlation, function, reason = answer.reason(), "rejected");
        let took = (now - arrival.read_at).max(0);
        commands.push(Command::Answer { ticket: arrival.ticket, answer, elapsed: took });
    }

    /// Shows the stages what is known, and asks again for calls that wait: all where the harness changed, else those due.
    pub(super) fn advance_recovery(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let record = self.fleet.as_ref().is_none_or(|p| p.egress.gate().is_fresh(now));
        let Some(recovery) = self.recovery.as_mut() else { return };
        let waiting = match recovery.update(record, now) {
            true => self.waiting.take_if(|_| true),
            false => self.waiting.take_due(now),
        };
        for waiting in waiting {
            // What was known when it came may hold no more.
            if let Some(closed) = self.closed(&waiting.arrival.function, now) {
                let answer = self.closed_answer(closed);
                self.reject_waiting(now, waiting.arrival, answer, commands);
                continue;
            }
            let known = self.names.on_call(waiting.properties.id, &waiting.arrival.function, now);
            match self.recovery_admission(now, &waiting.arrival) {
                Admission::Admit if known => self.enter(now, waiting.arrival, waiting.properties, commands),
                Admission::Admit => {
                    let answer = Answer::Refused { reason: "unknown-function", retry_after: 0 };
                    self.reject_waiting(now, waiting.arrival, answer, commands);
                }
                Admission::Wait { until } => self.waiting.requeue(until, waiting),
                Admission::Reject { retry_after, .. } => {
                    self.reject_in_recovery(now, waiting.arrival, retry_after, commands);
                }
            }
        }
    }

    /// Answers calls outside whose function is retired by now.
    pub(super) fn reject_closed_waiting(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let Some(membership) = self.fleet.as_ref() else { return };
        let gate = membership.egress.gate();
        let closed = self.waiting.take_if(|w| gate.retired(&w.arrival.function).is_some());
        drop(gate);
        for waiting in closed {
            if let Some(closed) = self.closed(&waiting.arrival.function, now) {
                let answer = self.closed_answer(closed);
                self.reject_waiting(now, waiting.arrival, answer, commands);
            }
        }
    }

    /// A call that was admitted is answered: evidence for the stages.
    pub(super) fn record_call_end(&mut self, request: RequestId, now: Micros, served: bool) {
        let (Some(recovery), Some(call)) = (self.recovery.as_mut(), self.calls.get(&request)) else { return };
        let aim =
            self.settings.settings.classes.get(usize::from(call.class)).map_or(0, |c| c.latency_objective);
        recovery.ended(served && now - call.taken <= aim, now);
    }
}
