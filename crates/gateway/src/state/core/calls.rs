//! Calls from their arrival to their answer, and the ends of their attempts.

use super::super::{Answer, Arrival, AttemptResult, Command, FunctionProperties};
use super::{Call, Core};
use crate::fleet::pool_admission::Entry;
use bytes::Bytes;
use stagehoist::{AttemptEnd, Event, Micros, Outcome, Request, RequestId, WorkerId};
use stagehoist_admission::permits::NO_PERMIT;
use stagehoist_recovery::phases::Admission;

impl Core {
    pub(super) fn on_call(&mut self, now: Micros, mut arrival: Arrival, commands: &mut Vec<Command>) {
        if !self.admit(now, &mut arrival, commands) {
            return;
        }
        let ticket = arrival.ticket;
        let known = arrival.properties.filter(|function| {
            self.names.on_call(function.id, &arrival.function, arrival.client_verified, now)
        });
        let reason = if (self.calls.len() + self.waiting.len()) as u64 >= self.settings.max_calls {
            Some("too-many-held")
        } else if known.is_none() {
            Some("unknown-function")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.counters.rejected_at_intake += 1;
            // A later retry can succeed when too many calls are held, but not when the function is unknown.
            let retry_after = if reason == "too-many-held" { self.settings.max_retry_after } else { 0 };
            let answer = Answer::Refused { reason, retry_after };
            // One line a call would let a client fill the log.
            tracing::debug!(
                correlation = &*arrival.correlation,
                function = &*arrival.function,
                reason,
                "call rejected"
            );
            return commands.push(Command::Answer { ticket, answer, elapsed: 0 });
        }
        let Some(function) = known else { return };
        if arrival.read_at == 0 {
            arrival.read_at = now;
        }
        match self.recovery_admission(now, &arrival) {
            Admission::Admit => self.enter(now, arrival, function, commands),
            Admission::Wait { until } => self.waiting.insert(until, arrival, function),
            Admission::Reject { retry_after, .. } => {
                self.reject_in_recovery(now, arrival, retry_after, commands)
            }
        }
    }

    /// Passes a call to the decision module or lets it wait for a permit. The name of `function` is cached.
    pub(super) fn enter(
        &mut self,
        now: Micros,
        arrival: Arrival,
        function: FunctionProperties,
        commands: &mut Vec<Command>,
    ) {
        let ticket = arrival.ticket;
        let request = self.request(&arrival, function, now);
        let (id, accepted_at, deadline) = (request.id, request.accepted_at, now + request.budget);
        let mut entry = Entry::Free;
        if let Some(pool_admission) = self.pool_admission.as_mut() {
            entry = pool_admission.enter(&request, &arrival.function, deadline, now);
        }
        if let Entry::Rejected { retry_after } = entry {
            self.counters.rejected_at_intake += 1;
            let retry_after = retry_after.min(self.settings.max_retry_after);
            let answer = Answer::Refused { reason: NO_PERMIT, retry_after };
            tracing::debug!(correlation = &*arrival.correlation, reason = NO_PERMIT, "call rejected");
            return commands.push(Command::Answer { ticket, answer, elapsed: 0 });
        }
        self.advance_next_request();
        let span = tracing::debug_span!(
            "call",
            correlation = &*arrival.correlation,
            request = id,
            function = &*arrival.function,
            budget_ms = request.budget / 1000,
            work_ms = function.work.map(|w| w / 1000)
        );
        span.in_scope(|| tracing::debug!(repeat = arrival.is_repeat, "call accepted"));
        self.counters.taken += 1;
        if !matches!(entry, Entry::Wait) {
            self.new_calls.push(id);
            self.events.push(Event::Request(request));
        }
        let permit = if let Entry::Admitted(permit) = entry { Some(permit) } else { None };
        self.by_ticket.insert(ticket, id);
        let call = Call {
            ticket,
            arrival,
            class: function.class,
            accepted_at,
            deadline,
            attempts: Vec::new(),
            last_outcome: None,
            answered: false,
            ran_since: None,
            permit,
            span,
        };
        self.calls.insert(id, call);
    }

    /// Creates the decision module's request for a call.
    fn request(&self, arrival: &Arrival, function: FunctionProperties, now: Micros) -> Request {
        // The time that the call waited between its socket and this batch counts against its budget.
        let accepted_at = if arrival.read_at > 0 { arrival.read_at.min(now) } else { now };
        Request {
            id: self.next_request,
            class: function.class,
            tenant: arrival.tenant,
            function: function.id,
            budget: (arrival.budget - (now - accepted_at)).max(0),
            work: function.work,
            memory_mb: function.memory_mb,
            concurrency: function.concurrency,
            load_time: function.load_time,
            is_repeat: arrival.is_repeat,
            accepted_at,
            client_verified: arrival.client_verified,
        }
    }

    /// Advances to the next request ID. IDs of open calls are skipped when the counter wraps around after 2^32 calls.
    fn advance_next_request(&mut self) {
        loop {
            self.next_request = self.next_request.wrapping_add(1);
            if !self.calls.contains_key(&self.next_request) {
                return;
            }
        }
    }

    /// Marks a call as answered. It is removed once it has no attempts in flight, because the end of each attempt must be
    /// reported to the decision module.
    pub(super) fn close_call(&mut self, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.answered = true;
        self.by_ticket.remove(&call.ticket);
        call.arrival.body = bytes::Bytes::new();
        let is_idle = call.is_idle();
        if let Some(pool_admission) = self.pool_admission.as_mut() {
            pool_admission.forget(request);
            if let Some(permit) = call.permit.take_if(|_| is_idle) {
                pool_admission.release(permit);
            }
        }
        if is_idle {
            self.calls.remove(&request);
        }
    }

    /// Aborts an attempt if it is in flight, and reports its end as cancelled.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        commands: &mut Vec<Command>,
    ) {
        let call = self.calls.get(&request);
        if call.is_some_and(|c| c.attempts.get(attempt as usize).is_some_and(Option::is_some)) {
            commands.push(Command::Abort { request, attempt });
            self.on_attempt_ended(
                now,
                request,
                attempt,
                AttemptResult::without_answer(Outcome::Cancelled),
                commands,
            );
        }
    }

    /// Cancels the attempts of a call whose caller left, as nobody waits for their results.
    pub(super) fn cancel_attempts(&mut self, now: Micros, request: RequestId, commands: &mut Vec<Command>) {
        let count = self.calls.get(&request).map_or(0, |c| c.attempts.len());
        (0..count as u16).for_each(|attempt| self.cancel_attempt(now, request, attempt, commands));
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        result: AttemptResult,
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        let Some(flight) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        if let Some(recovery) = self.recovery.as_mut() {
            recovery.attempt(flight.worker, result.outcome, result.copy.state, now);
        }
        self.attempt_deadlines.remove(&(flight.deadline, request, attempt));
        // The time that the answer waited in this process is not part of the attempt's duration.
        let ended_at = if result.read_at > 0 { result.read_at.clamp(flight.sent_at, now) } else { now };
        let took = ended_at - flight.sent_at;
        let name = self.endpoints.name(flight.worker).unwrap_or("?");
        log_attempt_end(call, attempt, name, &result, took);
        call.record_outcome(result.outcome, flight.sent_at);
        let mut ended = AttemptEnd {
            request,
            attempt,
            worker: flight.worker,
            concluded: call.answered,
            outcome: result.outcome,
            copy: result.copy,
            elapsed: took,
            report: result.report,
            connected_at: result.connected_at,
        };
        if !ended.concluded {
            let answer = (result.body, result.content_type);
            ended.concluded = self.conclude(now, &ended, answer, commands);
        }
        if ended.concluded {
            self.close_call(request);
        }
        // The worker's announcement is applied before the attempt's end, so that a draining worker gets no new request.
        self.on_announcement(now, flight.worker, result.draining);
        self.events.push(Event::AttemptEnded(ended));
    }

    /// Answers a call if the end of an attempt decides it. Returns whether it did.
    fn conclude(
        &mut self,
        now: Micros,
        ended: &AttemptEnd,
        answer: (Bytes, Option<String>),
        commands: &mut Vec<Command>,
    ) -> bool {
        if self.fleet.is_some() && self.ends_as_closed(ended.request, ended.outcome, now) {
            self.reject_closed(now, ended.request, commands);
            return true;
        }
        if ended.outcome == Outcome::Ok {
            self.answer_served(now, ended.request, ended.worker, answer, commands);
            return true;
        }
        false
    }

    /// Answers a call with a worker's response.
    fn answer_served(
        &mut self,
        now: Micros,
        request: RequestId,
        worker: WorkerId,
        (body, content_type): (Bytes, Option<String>),
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get(&request) else { return };
        let (ticket, elapsed, function) =
            (call.ticket, now - call.accepted_at, call.arrival.function.clone());
        call.span.in_scope(|| tracing::debug!(outcome = "served", took_us = elapsed, "call answered"));
        self.counters.served += 1;
        self.record_call_end(request, now, true);
        let answer = self.served((&function, worker), body, content_type);
        commands.push(Command::Answer { ticket, answer, elapsed });
    }
}

fn log_attempt_end(call: &Call, attempt: u16, worker: &str, result: &AttemptResult, took_us: Micros) {
    call.span.in_scope(|| {
        tracing::debug!(
            attempt,
            worker,
            outcome = ?result.outcome,
            took_us,
            copy = result.copy.state,
            "attempt ended"
        );
    });
}
