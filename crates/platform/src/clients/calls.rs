//! Calls that clients wait for, from the parsed request to the answer.

use super::{AcceptedCall, ClientConnection, Clients};
use crate::session::{ClientEvent, ClientRequest};
use stagehoist::Micros;
use stagehoist_gateway::state::{Answer, Arrival, Input, Ticket};
use std::rc::Rc;

/// Memory overhead of a request.
const REQUEST_OVERHEAD: usize = 512;

/// Returns the memory that a request takes while it is open, in bytes.
fn held_bytes(request: &ClientRequest) -> usize {
    request.body.len() + REQUEST_OVERHEAD
}

impl Clients {
    pub(super) fn on_client_events(
        &self,
        connection: &Rc<ClientConnection>,
        events: Vec<ClientEvent>,
        (now, late): (Micros, Micros),
    ) -> Vec<Input> {
        let mut inputs = Vec::with_capacity(events.len());
        for event in events {
            match event {
                ClientEvent::Call(ticket, request) => {
                    inputs.extend(self.accept_call(connection, ticket, *request, (now, late)))
                }
                ClientEvent::Cancelled(ticket) => {
                    if let Some(accepted) = self.release(ticket) {
                        self.remember_id(&accepted, now);
                        self.cancelled.borrow_mut().insert(ticket, now);
                        inputs.push(Input::ClientGone(ticket));
                    }
                }
            }
        }
        inputs
    }

    /// Accepts a request as a call for the driver, or rejects it.
    fn accept_call(
        &self,
        connection: &Rc<ClientConnection>,
        ticket: Ticket,
        request: ClientRequest,
        (now, late): (Micros, Micros),
    ) -> Option<Input> {
        let is_open = self.references.borrow().contains_key(&request.reference);
        if is_open || self.ended_ids.borrow().contains(request.reference) {
            // An answer would be ambiguous, or the request would run twice. One that is already open continues.
            connection.session.borrow_mut().reject(ticket);
            self.count(|c| c.unusable += 1);
            return None;
        }
        if let Some(reason) = self.intake_refusal(connection, &request, (now, late)) {
            let answer = Answer::Refused { reason, retry_after: 0 };
            connection.session.borrow_mut().answer(ticket, &answer, now);
            self.count(|c| c.rejected_at_intake += 1);
            return None;
        }
        self.hold(connection, ticket, &request);
        Some(Input::Call(self.arrival(connection, ticket, request, (now, late))))
    }

    /// Returns why a request is refused before the module sees it, if it is.
    fn intake_refusal(
        &self,
        connection: &ClientConnection,
        request: &ClientRequest,
        (now, late): (Micros, Micros),
    ) -> Option<&'static str> {
        if !self.accepts_requests.get()
            || self.held_bytes.get() + held_bytes(request) > self.bounds.held_bytes
        {
            return Some("too-many-held");
        }
        let lag = self.shared.lag.borrow().expected(now);
        let is_excessive = lag > 0 && connection.fills_reads.get();
        let is_too_late = || {
            let in_progress = self.fair_in_progress(connection);
            self.shared.lag.borrow().should_reject(request.budget - late, in_progress, now)
        };
        // Requests in progress are counted only while the loop is behind.
        let is_refused = is_excessive || (lag > 0 && is_too_late());
        if !is_refused {
            return None;
        }
        self.shared.lag.borrow_mut().record_rejected(request.reference);
        if is_excessive {
            connection.session.borrow_mut().count_excessive();
        }
        Some("loop-behind")
    }

    /// Adds a request to the calls that clients wait for.
    fn hold(&self, connection: &Rc<ClientConnection>, ticket: Ticket, request: &ClientRequest) {
        let bytes = held_bytes(request);
        self.held_bytes.set(self.held_bytes.get() + bytes);
        self.references.borrow_mut().insert(request.reference, ticket);
        let accepted = AcceptedCall {
            connection: connection.clone(),
            reference: request.reference,
            bytes,
            is_non_idempotent: self.catalog.is_non_idempotent(request.properties.class),
        };
        self.calls.borrow_mut().insert(ticket, accepted);
    }

    fn arrival(
        &self,
        connection: &ClientConnection,
        ticket: Ticket,
        request: ClientRequest,
        (now, late): (Micros, Micros),
    ) -> Arrival {
        let lag = self.shared.lag.borrow().expected(now);
        let remaining = self.exit_by.get().map_or(Micros::MAX, |at| at - now);
        Arrival {
            ticket,
            function: request.function,
            properties: Some(request.properties),
            tenant: request.tenant,
            // The expected wait of the answer is subtracted here. The time that the request may have waited in its
            // socket is not: `read_at` accounts for it.
            budget: (request.budget - lag).min(remaining.saturating_add(late)),
            read_at: now - late,
            is_repeat: false,
            client_verified: connection.session.borrow().is_verified(),
            body: request.body,
            content_type: None,
            correlation: request.id,
            generation: None,
            identity: None,
        }
    }

    /// Returns how many requests would be in progress if every client had as many as this one, but not more than there
    /// are. So the first requests to be rejected are those of the clients with the most requests.
    fn fair_in_progress(&self, connection: &ClientConnection) -> usize {
        let open_requests =
            |connection: &ClientConnection| connection.session.borrow().activity().open_requests;
        let conns = self.conns.borrow();
        let waiting_clients = conns.values().filter(|connection| open_requests(connection) > 0).count();
        self.calls.borrow().len().min(open_requests(connection) * waiting_clients)
    }

    pub(super) fn release(&self, ticket: Ticket) -> Option<AcceptedCall> {
        let mut calls = self.calls.borrow_mut();
        let accepted = calls.remove(&ticket)?;
        if calls.capacity() > 8 * calls.len() + 1024 {
            calls.shrink_to_fit();
        }
        self.held_bytes.set(self.held_bytes.get().saturating_sub(accepted.bytes));
        self.references.borrow_mut().remove(&accepted.reference);
        self.shared.lag.borrow_mut().completions.record(self.shared.clock.now());
        Some(accepted)
    }

    /// Remembers the id of a call that ended, if it may have run and must not run again.
    fn remember_id(&self, ended: &AcceptedCall, now: Micros) {
        if ended.is_non_idempotent {
            self.ended_ids.borrow_mut().insert(ended.reference, now);
        }
    }

    /// Passes the answer of a call to its session; it is written at the end of the batch.
    pub fn answer(&self, ticket: Ticket, answer: &Answer) {
        let Some(accepted) = self.release(ticket) else { return };
        let now = self.shared.clock.now();
        if !matches!(answer, Answer::Refused { .. }) {
            self.remember_id(&accepted, now);
        }
        let connection = accepted.connection;
        let mut session = connection.session.borrow_mut();
        let was_verified = session.is_verified();
        session.answer(ticket, answer, now);
        if session.is_verified() && !was_verified {
            self.shared.read_turns.prefer(&connection.turn);
        }
        drop(session);
        if !connection.dirty.replace(true) {
            self.dirty.borrow_mut().push(connection);
        }
    }
}
