//! Recovery after a loss of the whole fleet: the recovery phases decide whether an arriving call is admitted, waits or is
//! rejected.

use super::super::{Answer, Arrival, Command};
use super::Core;
use crate::fleet::FleetRecovery;
use stagehoist::{Micros, RequestId};
use stagehoist_recovery::phases::{Admission, RecoveryPhase};

impl Core {
    /// Follows the recovery phases if this start turns out to follow such a loss; must be called before the first call.
    pub fn set_recovery(&mut self, recovery: FleetRecovery) {
        self.recovery = Some(Box::new(recovery));
    }

    /// Returns the recovery phase; None if recovery phases are not configured.
    pub fn recovery_phase(&self) -> Option<RecoveryPhase> {
        self.recovery.as_ref().map(|recovery| recovery.phase())
    }

    /// Returns whether a call may be admitted now. Its `read_at` is set.
    pub(super) fn recovery_admission(&mut self, now: Micros, arrival: &Arrival) -> Admission {
        let Some(recovery) = self.recovery.as_mut() else { return Admission::Admit };
        let time_left = arrival.read_at.min(now) + arrival.budget - now;
        recovery.admit((arrival.tenant, &arrival.function), time_left, now)
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

    /// Answers a call that never reached the decision module.
    fn reject_waiting(&mut self, now: Micros, arrival: Arrival, answer: Answer, commands: &mut Vec<Command>) {
        self.counters.rejected_at_intake += 1;
        let (correlation, function) = (&*arrival.correlation, &*arrival.function);
        tracing::debug!(correlation, function, reason = answer.reason(), "call rejected");
        let took = (now - arrival.read_at).max(0);
        commands.push(Command::Answer { ticket: arrival.ticket, answer, elapsed: took });
    }

    /// Updates the recovery state and checks waiting calls again: all of them if the admission conditions changed,
    /// otherwise those that are due.
    pub(super) fn advance_recovery(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let is_view_fresh =
            self.fleet.as_ref().is_none_or(|membership| membership.egress.gate().is_fresh(now));
        let Some(recovery) = self.recovery.as_mut() else { return };
        let waiting = match recovery.update(is_view_fresh, now) {
            true => self.waiting.take_if(|_| true),
            false => self.waiting.take_due(now),
        };
        for waiting in waiting {
            // The function may have been retired since the call arrived.
            if let Some(closed) = self.closed(&waiting.arrival.function, now) {
                let answer = self.closed_answer(closed);
                self.reject_waiting(now, waiting.arrival, answer, commands);
                continue;
            }
            let known = self.names.on_call(
                waiting.properties.id,
                &waiting.arrival.function,
                waiting.arrival.client_verified,
                now,
            );
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

    /// Rejects waiting calls whose function has been retired.
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

    /// Reports the end of an admitted call to the recovery phases.
    pub(super) fn record_call_end(&mut self, request: RequestId, now: Micros, served: bool) {
        let (Some(recovery), Some(call)) = (self.recovery.as_mut(), self.calls.get(&request)) else { return };
        let latency_objective =
            self.settings.settings.classes.get(usize::from(call.class)).map_or(0, |c| c.latency_objective);
        recovery.ended(served && now - call.accepted_at <= latency_objective, now);
    }
}
