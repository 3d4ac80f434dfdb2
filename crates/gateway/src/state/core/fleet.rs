//! A front end as part of a fleet: calls of retired functions end, and nothing of them goes out.

use super::super::{Answer, Arrival, Command};
use super::Core;
use crate::fleet::{CheckedAnswer, ClosedReason, EgressCheck, FleetMembership, SessionReport};
use bytes::Bytes;
use stagehoist::{Effect, Event, FunctionId, Micros, Outcome, RequestId, WorkerId};
use stagehoist_cluster_state::ClusterStatus;
use std::rc::Rc;

impl Core {
    /// Becomes part of a fleet; before its first call.
    pub fn join_fleet(&mut self, egress: EgressCheck) {
        self.fleet = Some(Box::new(FleetMembership::new(egress)));
    }

    /// Told at least four times a second while the front end runs, before what came is looked at.
    pub fn record_activity(&mut self, now: Micros) {
        if let Some(membership) = &self.fleet {
            membership.egress.gate_mut().record_activity(now);
        }
    }

    /// What the replicas are to be told; None where there is no fleet.
    pub fn session_report(&self) -> Option<SessionReport> {
        let membership = self.fleet.as_ref()?;
        let demand = self.pool_admission.as_ref().map_or_else(Vec::new, |e| e.demand());
        Some(SessionReport {
            confirmed: membership.confirmed(),
            ready_capacity: self.endpoints.ready_capacity(),
            demand,
        })
    }

    /// Version of the view, whether it is known to be the newest, and calls answered as retired.
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
        if let Some(entrance) = self.pool_admission.as_mut() {
            entrance.on_cluster_status(&status, now);
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

    /// Calls under tombstones, in their order; answered ones stay while their attempts are out.
    fn retired_calls(&self, which: impl Fn(&super::Call) -> bool) -> Vec<RequestId> {
        let Some(membership) = self.fleet.as_ref() else { return Vec::new() };
        let gate = membership.egress.gate();
        let found = self.calls.iter().filter(|(_, call)| which(call));
        let found = found.filter(|(_, call)| gate.retired(&call.arrival.function).is_some());
        let mut found: Vec<RequestId> = found.map(|(id, _)| *id).collect();
        found.sort_unstable();
        found
    }

    /// What is in progress under the newest view is what its confirming waits for.
    fn apply_view(&mut self) {
        let named = |id: RequestId| Some((id, self.calls.get(&id)?.arrival.function.clone()));
        let at_work = self.retired_calls(|_| true).into_iter().filter_map(named).collect();
        if let Some(membership) = self.fleet.as_mut() {
            membership.applied(at_work);
        }
    }

    /// Confirms the view as soon as nothing under it is in progress or on its way out, and then goes on to the newest.
    pub(super) fn confirm(&mut self, now: Micros) {
        loop {
            let calls = &self.calls;
            if !self.fleet.as_mut().is_some_and(|p| p.confirm(now, |id| calls.contains_key(&id))) {
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
        let unload = self.fleet.as_mut().map(|p| p.take_unloads()).unwrap_or_default();
        for (worker, function) in unload {
            let address = self.address(worker);
            if !address.is_empty() {
                self.counters.unloads += 1;
                commands.push(Command::Unload { worker, address, function });
            }
        }
    }

    /// Whether a call may be taken; its function is named by the generation from here on. What may not is answered.
    pub(super) fn admit(&mut self, now: Micros, arrival: &mut Arrival, commands: &mut Vec<Command>) -> bool {
        let Some(membership) = self.fleet.as_ref() else { return true };
        let admitted = membership.egress.gate().admit(&arrival.function, arrival.generation, now);
        let closed = match admitted {
            Ok(inner) => {
                arrival.function = inner;
                return true;
            }
            Err(closed) => closed,
        };
        let answer = self.closed_answer(closed);
        self.counters.rejected_at_intake += 1;
        let (correlation, function) = (&*arrival.correlation, &*arrival.function);
        tracing::info!(correlation, function, reason = answer.reason(), "rejected");
        commands.push(Command::Answer { ticket: arrival.ticket, answer, elapsed: 0 });
        false
    }

    /// The answer to a call that never ran.
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

    /// Why nothing of a function may go to a worker now.
    pub(super) fn closed(&self, inner: &str, now: Micros) -> Option<ClosedReason> {
        self.fleet.as_ref().and_then(|membership| membership.egress.gate().closed(inner, now))
    }

    /// Whether nothing may be sent for a call now.
    pub(super) fn is_closed_call(&self, request: RequestId, now: Micros) -> bool {
        let function = self.fleet.as_ref().and_then(|_| Some(&self.calls.get(&request)?.arrival.function));
        function.is_some_and(|f| self.closed(f, now).is_some())
    }

    /// Whether a call ends with an attempt's end, as its function is closed: a call in progress is served where that is still
    /// known to be right, and gets no retry.
    pub(super) fn ends_as_closed(&self, request: RequestId, outcome: Outcome, now: Micros) -> bool {
        let (Some(membership), Some(call)) = (self.fleet.as_ref(), self.calls.get(&request)) else {
            return false;
        };
        match outcome {
            Outcome::Ok => membership.egress.gate().in_doubt(&call.arrival.function, now),
            _ => call.is_idle() && self.closed(&call.arrival.function, now).is_some(),
        }
    }

    /// The answer that a call gets in place of the module's refusal, where its function is closed.
    pub(super) fn answer_if_closed(&mut self, request: RequestId, now: Micros) -> Option<Answer> {
        let call = self.calls.get(&request).filter(|c| !c.answered)?;
        let closed = self.closed(&call.arrival.function, now)?;
        let repeats = self.settings.settings.classes.get(usize::from(call.class));
        let repeats = repeats.is_none_or(|class| class.effect == Effect::Idempotent);
        if call.ran_since.is_none() || repeats {
            return Some(self.closed_answer(closed));
        }
        // It may have run, and that is what its caller has to know.
        let reason = if closed == ClosedReason::ViewNotCurrent {
            "view-not-current"
        } else {
            self.reason(request, now)
        };
        Some(Answer::Failed { reason })
    }

    /// Answers a call whose function is closed, and takes it from the module.
    pub(super) fn reject_closed(&mut self, now: Micros, request: RequestId, commands: &mut Vec<Command>) {
        if let Some(answer) = self.answer_if_closed(request, now) {
            if !self.is_waiting(request) {
                self.events.push(Event::ClientGone { request });
            }
            self.answer(request, answer, now, commands);
        }
    }

    /// A worker's answer, with a pass where there is a fleet.
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
                let pass = membership.egress.permit(function);
                Answer::Gated(Box::new(CheckedAnswer { body, content_type, permit: pass }))
            }
        }
    }
}
