//! A front end as part of a fleet: calls of retired functions are ended, and nothing more is sent for them.

use super::super::{Answer, Arrival, Command};
use super::Core;
use crate::fleet::{CheckedAnswer, ClosedReason, EgressCheck, FleetMembership, SessionReport};
use bytes::Bytes;
use stagehoist::{Effect, Event, FunctionId, Micros, Outcome, RequestId, WorkerId};
use stagehoist_cluster_state::ClusterStatus;
use std::rc::Rc;

impl Core {
    /// Makes the front end part of a fleet; must be called before its first call.
    pub fn join_fleet(&mut self, egress: EgressCheck) {
        self.fleet = Some(Box::new(FleetMembership::new(egress)));
    }

    /// Records that the front end runs; called at least four times a second, before inputs are processed.
    pub fn record_activity(&mut self, now: Micros) {
        if let Some(membership) = &self.fleet {
            membership.egress.gate_mut().record_activity(now);
        }
    }

    /// Returns the report for the replicas; None if there is no fleet.
    pub fn session_report(&self) -> Option<SessionReport> {
        let membership = self.fleet.as_ref()?;
        let demand = self.pool_admission.as_ref().map_or_else(Vec::new, |admission| admission.demand());
        Some(SessionReport {
            confirmed: membership.confirmed(),
            ready_capacity: self.endpoints.ready_capacity(),
            demand,
        })
    }

    /// Returns the version of the cluster view, whether it is known to be the newest, and the number of calls answered as
    /// retired.
    pub fn fleet_state(&self) -> Option<(u64, bool, u64)> {
        let membership = self.fleet.as_ref()?;
        let (version, fresh) = membership.egress.view_state();
        Some((version, fresh, membership.rejected_calls))
    }

    pub(super) fn on_cluster_status(
        &mut self,
        now: Micros,
        status: ClusterStatus,
        commands: &mut Vec<Command>,
    ) {
        let Some(membership) = self.fleet.as_mut() else { return };
        if let Some(pool_admission) = self.pool_admission.as_mut() {
            pool_admission.on_cluster_status(&status, now);
        }
        if !membership.egress.gate_mut().update(status) {
            return;
        }
        membership.log();
        for request in self.retired_calls(|call| !call.answered && call.is_idle()) {
            self.reject_closed(now, request, commands);
        }
        self.reject_closed_waiting(now, commands);
        self.unload_retired(commands);
        self.apply_view();
    }

    /// Returns the matching calls of functions with a tombstone, in order of their IDs. Answered calls are included while
    /// they have attempts in flight.
    fn retired_calls(&self, matches: impl Fn(&super::Call) -> bool) -> Vec<RequestId> {
        let Some(membership) = self.fleet.as_ref() else { return Vec::new() };
        let gate = membership.egress.gate();
        let found = self.calls.iter().filter(|(_, call)| matches(call));
        let found = found.filter(|(_, call)| gate.retired(&call.arrival.function).is_some());
        let mut found: Vec<RequestId> = found.map(|(id, _)| *id).collect();
        found.sort_unstable();
        found
    }

    /// Applies the newest view. It is confirmed once the calls of its retired functions that are in progress now have ended.
    fn apply_view(&mut self) {
        let named = |id: RequestId| Some((id, self.calls.get(&id)?.arrival.function.clone()));
        let in_progress = self.retired_calls(|_| true).into_iter().filter_map(named).collect();
        if let Some(membership) = self.fleet.as_mut() {
            membership.applied(in_progress);
        }
    }

    /// Confirms the applied view as soon as no call that it retires is in progress and no answer to one is being sent, then
    /// applies the newest view.
    pub(super) fn confirm(&mut self, now: Micros) {
        loop {
            let calls = &self.calls;
            if !self
                .fleet
                .as_mut()
                .is_some_and(|membership| membership.confirm(now, |id| calls.contains_key(&id)))
            {
                return;
            }
            self.apply_view();
        }
    }

    pub(super) fn has_copy(&mut self, function: FunctionId, worker: WorkerId) {
        if let (Some(membership), Some(name)) = (self.fleet.as_mut(), self.names.name(function)) {
            membership.record_copy(&name, worker);
        }
    }

    fn unload_retired(&mut self, commands: &mut Vec<Command>) {
        let unload = self.fleet.as_mut().map(|membership| membership.take_unloads()).unwrap_or_default();
        for (worker, function) in unload {
            let address = self.address(worker);
            if !address.is_empty() {
                self.counters.unloads += 1;
                commands.push(Command::Unload { worker, address, function });
            }
        }
    }

    /// Returns whether a call may be admitted, and if so replaces its function name by that of the generation. A call
    /// that may not be admitted is answered.
    pub(super) fn admit(&mut self, now: Micros, arrival: &mut Arrival, commands: &mut Vec<Command>) -> bool {
        let Some(membership) = self.fleet.as_ref() else { return true };
        let admitted = membership.egress.gate().admit(&arrival.function, arrival.generation, now);
        let closed = match admitted {
            Ok(generation_name) => {
                arrival.function = generation_name;
                return true;
            }
            Err(closed) => closed,
        };
        let answer = self.closed_answer(closed);
        self.counters.rejected_at_intake += 1;
        let (correlation, function) = (&*arrival.correlation, &*arrival.function);
        tracing::info!(correlation, function, reason = answer.reason(), "call rejected");
        commands.push(Command::Answer { ticket: arrival.ticket, answer, elapsed: 0 });
        false
    }

    /// Returns the answer to a call of a closed function that never ran.
    pub(super) fn closed_answer(&mut self, closed: ClosedReason) -> Answer {
        match closed {
            ClosedReason::Retired(retired) => {
                if let Some(membership) = self.fleet.as_mut() {
                    membership.rejected_calls += 1;
                }
                Answer::Retired(retired)
            }
            ClosedReason::ViewNotCurrent => {
                let retry_after = self.settings.max_retry_after;
                Answer::Refused { reason: "view-not-current", retry_after }
            }
            ClosedReason::UnknownGeneration => {
                Answer::Refused { reason: "unknown-generation", retry_after: 0 }
            }
        }
    }

    /// Returns why requests for a function may not be sent to a worker now; None if they may.
    pub(super) fn closed(&self, generation_name: &str, now: Micros) -> Option<ClosedReason> {
        self.fleet.as_ref().and_then(|membership| membership.egress.gate().closed(generation_name, now))
    }

    /// Returns whether the function of a call is closed, so that nothing may be sent for the call.
    pub(super) fn is_closed_call(&self, request: RequestId, now: Micros) -> bool {
        let function = self.fleet.as_ref().and_then(|_| Some(&self.calls.get(&request)?.arrival.function));
        function.is_some_and(|f| self.closed(f, now).is_some())
    }

    /// Returns whether the end of an attempt ends its call because the function is closed. A successful answer is still
    /// served, unless the function is strict and may be retired by now without this front end knowing. After any other
    /// outcome the call of a closed function gets no retry; it ends once none of its attempts is in flight.
    pub(super) fn ends_as_closed(&self, request: RequestId, outcome: Outcome, now: Micros) -> bool {
        let (Some(membership), Some(call)) = (self.fleet.as_ref(), self.calls.get(&request)) else {
            return false;
        };
        match outcome {
            Outcome::Ok => membership.egress.gate().in_doubt(&call.arrival.function, now),
            _ => call.is_idle() && self.closed(&call.arrival.function, now).is_some(),
        }
    }

    /// Returns the answer that replaces the decision module's refusal if the call's function is closed.
    pub(super) fn answer_if_closed(&mut self, request: RequestId, now: Micros) -> Option<Answer> {
        let call = self.calls.get(&request).filter(|c| !c.answered)?;
        let closed = self.closed(&call.arrival.function, now)?;
        let class = self.settings.settings.classes.get(usize::from(call.class));
        let is_idempotent = class.is_none_or(|class| class.effect == Effect::Idempotent);
        if call.ran_since.is_none() || is_idempotent {
            return Some(self.closed_answer(closed));
        }
        // The call may have run, so the caller must get `Failed` instead of an answer that allows a repeat.
        let reason = if closed == ClosedReason::ViewNotCurrent {
            "view-not-current"
        } else {
            self.reason(request, now)
        };
        Some(Answer::Failed { reason })
    }

    /// Answers a call whose function is closed, and removes it from the decision module.
    pub(super) fn reject_closed(&mut self, now: Micros, request: RequestId, commands: &mut Vec<Command>) {
        if let Some(answer) = self.answer_if_closed(request, now) {
            if !self.is_waiting(request) {
                self.events.push(Event::ClientGone { request });
            }
            self.answer(request, answer, now, commands);
        }
    }

    /// Returns the answer with a worker's response; in a fleet it carries a permit that is checked before it leaves.
    pub(super) fn served(
        &mut self,
        (function, worker): (&Rc<str>, WorkerId),
        body: Bytes,
        content_type: Option<String>,
    ) -> Answer {
        match &mut self.fleet {
            None => Answer::Served { body, content_type },
            Some(membership) => {
                membership.record_copy(function, worker);
                let egress_permit = membership.egress.permit(function);
                Answer::Gated(Box::new(CheckedAnswer { body, content_type, permit: egress_permit }))
            }
        }
    }
}
