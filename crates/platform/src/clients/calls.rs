//! Calls that clients wait for, from what they said to their answers.

use super::{AcceptedCall, ClientConnection, Clients};
use crate::session::{ClientEvent, ClientRequest};
use stagehoist::Micros;
use stagehoist_gateway::state::{Answer, Arrival, Input, Ticket};
use std::rc::Rc;

impl Clients {
    pub(super) fn on_client_events(
        &self,
        connection: &Rc<ClientConnection>,
        events: Vec<ClientEvent>,
        (now, late): (Micros, Micros),
    ) -> Vec<Input> {
        let mut inputs = Vec::with_capacity(events.len());
        for events in events {
            match events {
                ClientEvent::Call(ticket, asked) => {
                    inputs.extend(self.call(connection, ticket, *asked, (now, late)))
                }
                ClientEvent::Cancelled(ticket) => {
                    if self.release(ticket).is_some() {
                        self.cancelled.borrow_mut().insert(ticket, now);
                        inputs.push(Input::ClientGone(ticket));
                    }
                }
            }
        }
        inputs
    }

    pub(super) fn call(
        &self,
        connection: &Rc<ClientConnection>,
        ticket: Ticket,
        asked: ClientRequest,
        (now, late): (Micros, Micros),
    ) -> Option<Input> {
        let bytes = asked.body.len() + 512;
        if self.references.borrow().contains_key(&asked.reference) {
            // Its answer could be meant for either; the one that is open goes on.
            connection.session.borrow_mut().reject(ticket);
            self.count(|c| c.unusable += 1);
            return None;
        }
        if !self.taking.get() || self.held_bytes.get() + bytes > self.bounds.held_bytes {
            let answer = Answer::Refused { reason: "too-many-held", retry_after: 0 };
            connection.session.borrow_mut().answer(ticket, &answer, now);
            self.count(|c| c.rejected_at_intake += 1);
            return None;
        }
        let lag = self.shared.lag.borrow().expected(now);
        let in_progress = self.calls.borrow().len();
        if self.shared.lag.borrow().refuses(asked.budget - late, in_progress, now) {
            self.shared.lag.borrow_mut().note_refused(asked.reference);
            let answer = Answer::Refused { reason: "loop-behind", retry_after: 0 };
            connection.session.borrow_mut().answer(ticket, &answer, now);
            self.count(|c| c.rejected_at_intake += 1);
            return None;
        }
        self.held_bytes.set(self.held_bytes.get() + bytes);
        self.references.borrow_mut().insert(asked.reference, ticket);
        let held = AcceptedCall { connection: connection.clone(), reference: asked.reference, bytes };
        self.calls.borrow_mut().insert(ticket, held);
        let ends = self.ends.get().map_or(Micros::MAX, |at| at - now);
        Some(Input::Call(Arrival {
            ticket,
            function: asked.function,
            properties: Some(asked.figures),
            tenant: asked.tenant,
            // What it may have waited in its socket is taken off with its age; what its answer is to wait, here.
            budget: (asked.budget - lag).min(ends.saturating_add(late)),
            read_at: now - late,
            is_repeat: false,
            client_verified: connection.session.borrow().is_known(),
            body: asked.body,
            content_type: None,
            correlation: asked.id,
            generation: None,
            identity: None,
        }))
    }

    pub(super) fn release(&self, ticket: Ticket) -> Option<AcceptedCall> {
        let mut calls = self.calls.borrow_mut();
        let held = calls.remove(&ticket)?;
        if calls.capacity() > 8 * calls.len() + 1024 {
            calls.shrink_to_fit();
        }
        self.held_bytes.set(self.held_bytes.get().saturating_sub(held.bytes));
        self.references.borrow_mut().remove(&held.reference);
        self.shared.lag.borrow_mut().completions.record(self.shared.clock.now());
        Some(held)
    }

    /// The final answer of a call; written at the end of the turn.
    pub fn answer(&self, ticket: Ticket, answer: &Answer) {
        let Some(AcceptedCall { connection, .. }) = self.release(ticket) else { return };
        connection.session.borrow_mut().answer(ticket, answer, self.shared.clock.now());
        if !connection.dirty.replace(true) {
            self.dirty.borrow_mut().push(connection);
        }
    }
}
