//! Execution of the decision module's actions.

use super::super::{Answer, Attempt, Command};
use super::answers::LIST_OLD;
use super::{AttemptInFlight, Call, Core, LoadOrder};
use stagehoist::{Action, AttemptEnd, CopyReport, Effect, Event, Micros, Outcome, RequestId, WorkerId};
use std::rc::Rc;

/// A decision to send a request to a worker.
pub(super) struct SendOrder {
    pub request: RequestId,
    pub worker: WorkerId,
    /// Time limit of the attempt; 0: until the deadline of the request.
    pub timeout: Micros,
    /// Nothing may be sent after this time.
    pub start_by: Micros,
    /// The connection must have been established by this time.
    pub connected_by: Micros,
}

/// A decision to load copies of a function at a worker.
struct LoadCopies {
    worker: WorkerId,
    function: u64,
    copies: u8,
    /// Nothing may be sent after this time.
    start_by: Micros,
}

impl Core {
    pub(super) fn expire_load_orders(&mut self, now: Micros) {
        let lost: Vec<_> = self
            .load_orders
            .iter()
            .filter(|(_, order)| order.expires_at <= now)
            .map(|(key, order)| (*key, now - order.sent_at))
            .collect();
        for ((worker, function), elapsed) in lost {
            self.load_orders.remove(&(worker, function));
            let outcome = Outcome::Timeout;
            self.events.push(Event::Loaded { worker, function, outcome, elapsed, copies: 0 });
        }
    }

    pub(super) fn address(&self, worker: WorkerId) -> Rc<str> {
        self.endpoints.address(worker).unwrap_or("").into()
    }

    pub(super) fn execute(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Send { request, worker, timeout, start_by, connected_by } => {
                let order = SendOrder { request, worker, timeout, start_by, connected_by };
                self.send(now, order, commands);
            }
            Action::Reject { request, retry_after } => {
                let reason = self.reason(request, now);
                self.counters.refused_list_old += u64::from(reason == LIST_OLD);
                let retry_after = retry_after.min(self.settings.max_retry_after);
                let closing = self.answer_if_closed(request, now);
                let answer = closing.unwrap_or(Answer::Refused { reason, retry_after });
                self.answer(request, answer, now, commands);
            }
            Action::Fail { request } => {
                let reason = self.reason(request, now);
                self.answer(request, Answer::Failed { reason }, now, commands);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(now, request, attempt, commands),
            Action::SetTimer { after, token } => {
                self.timers.insert((now + after.max(1), token));
            }
            Action::HealthCheck { worker } => {
                self.counters.health_checks += 1;
                commands.push(Command::HealthCheck { worker, address: self.address(worker) });
            }
            Action::CloseIdle { worker } => commands.push(Command::CloseIdle { worker }),
            Action::Load { worker, function, copies, start_by } => {
                let order = LoadCopies { worker, function, copies, start_by };
                self.order_load(now, order, commands);
            }
            Action::Unload { worker, function } => {
                let Some(function) = self.names.name(function) else { return };
                self.counters.unloads += 1;
                commands.push(Command::Unload { worker, address: self.address(worker), function });
            }
            Action::SubscribeEndpoints { on } => commands.push(Command::SubscribeEndpoints(on)),
            Action::FetchEndpoints => commands.push(Command::FetchEndpoints),
            // These front ends don't gossip, so there is no peer to send it to; the settings tell the decision module so.
            Action::Gossip { .. } => {}
            Action::Log { text } => self.log_module(&text),
        }
    }

    fn order_load(&mut self, now: Micros, order: LoadCopies, commands: &mut Vec<Command>) {
        let LoadCopies { worker, function, copies, start_by } = order;
        let Some(name) = self.names.name(function) else {
            // The function was not called for so long that its name was removed. The order is reported as unanswered.
            let lost = Event::Loaded { worker, function, outcome: Outcome::Timeout, elapsed: 0, copies: 0 };
            return self.events.push(lost);
        };
        let order = LoadOrder { sent_at: now, expires_at: now + self.settings.load_timeout };
        self.load_orders.insert((worker, function), order);
        if self.closed(&name, now).is_some() {
            // The order is not sent, and counts as lost after its timeout. If its end were reported at once, the
            // decision module would only order the next load.
            return;
        }
        self.counters.loads += 1;
        tracing::debug!(
            worker = self.endpoints.name(worker),
            function = &*name,
            copies,
            "sending load order"
        );
        let address = self.address(worker);
        commands.push(Command::Load { worker, address, function, name, copies, start_by });
    }

    /// Logs a text of the decision module, which has worker numbers, with the name of the worker that an operator knows.
    fn log_module(&self, text: &str) {
        let number = text.split("worker ").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let worker = number.and_then(|number| self.endpoints.name(number));
        tracing::info!(text, worker, "message from the decision module");
    }

    pub(super) fn send(&mut self, now: Micros, order: SendOrder, commands: &mut Vec<Command>) {
        let SendOrder { request, worker, timeout, start_by, connected_by } = order;
        let closed = self.is_closed_call(request, now);
        let address = self.address(worker);
        let Some(call) = self.calls.get_mut(&request) else { return };
        let attempt = call.attempts.len() as u16;
        let exhausted = now >= call.deadline || u32::from(attempt) >= self.settings.settings.max_attempts;
        let superseded = call.answered || exhausted || closed;
        if superseded || address.is_empty() {
            let outcome = if superseded { Outcome::Superseded } else { Outcome::ConnectFailed };
            return self.skip_attempt(now, request, worker, outcome, commands);
        }
        let abort_at = if timeout > 0 { call.deadline.min(now + timeout) } else { call.deadline };
        let effect = self.settings.settings.classes.get(usize::from(call.class)).map(|class| class.effect);
        let start_by = start_by.min(latest_start(call, effect));
        call.attempts.push(Some(AttemptInFlight { worker, sent_at: now, deadline: abort_at }));
        self.attempt_deadlines.insert((abort_at, request, attempt));
        self.counters.attempts += 1;
        self.counters.retries += u64::from(attempt > 0);
        let name = self.endpoints.name(worker).unwrap_or("?");
        call.span.in_scope(|| {
            tracing::debug!(
                attempt,
                worker = name,
                held_us = now - call.accepted_at,
                "attempt assigned to worker"
            )
        });
        commands.push(Command::Attempt(Attempt {
            request,
            attempt,
            worker,
            address,
            class: call.class,
            function: call.arrival.function.clone(),
            deadline: abort_at,
            body: call.arrival.body.clone(),
            content_type: call.arrival.content_type.clone(),
            correlation: call.arrival.correlation.clone(),
            ticket: call.ticket,
            start_by,
            connected_by,
            intent: call.arrival.identity.map(|identity| (identity, call.ticket)),
        }));
    }

    /// Records an attempt that is not sent; the decision module gets its end in the next batch.
    fn skip_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        worker: WorkerId,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        let closed = self.is_closed_call(request, now);
        let Some(call) = self.calls.get_mut(&request) else { return };
        let attempt = call.attempts.len() as u16;
        call.attempts.push(None);
        let mut concluded = call.answered;
        if closed && !concluded && call.is_idle() {
            self.reject_closed(now, request, commands);
            concluded = true;
        }
        self.events
            .push(Event::AttemptEnded(unsent_attempt_end(request, attempt, worker, concluded, outcome)));
    }
}

/// Returns the latest time at which an attempt may begin. A worker that drops repeats by their key must then still
/// remember the key of the first attempt that may have run. An attempt decided in time may be written late; a quarter
/// of the window is reserved for this delay.
fn latest_start(call: &Call, effect: Option<Effect>) -> Micros {
    let Some(Effect::IdempotentWithKey { window, .. }) = effect else { return Micros::MAX };
    let sent_times = call.attempts.iter().flatten().map(|flight| flight.sent_at);
    sent_times.chain(call.ran_since).min().map_or(Micros::MAX, |first| first + window - window / 4)
}

/// Returns the end of an attempt that was not sent.
fn unsent_attempt_end(
    request: RequestId,
    attempt: u16,
    worker: WorkerId,
    concluded: bool,
    outcome: Outcome,
) -> AttemptEnd {
    let copy = CopyReport::default();
    let connected_at = Micros::MAX;
    AttemptEnd { request, attempt, worker, concluded, outcome, copy, elapsed: 0, report: None, connected_at }
}
