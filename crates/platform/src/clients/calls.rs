//! Calls that clients wait for, from what they said to their answers.

use super::{Clients, Conn, Held};
use crate::session::{Asked, Said};
use stagehoist::Micros;
use stagehoist_gateway::state::{Answer, Arrival, News, Ticket};
use std::rc::Rc;

impl Clients {
    pub(super) fn heard(&self, conn: &Rc<Conn>, said: Vec<Said>, (now, late): (Micros, Micros)) -> Vec<News> {
        let mut news = Vec::with_capacity(said.len());
        for said in said {
            match said {
                Said::Call(ticket, asked) => news.extend(self.call(conn, ticket, *asked, (now, late))),
                Said::Gone(ticket) => {
                    if self.release(ticket).is_some() {
                        self.cancelled.borrow_mut().insert(ticket, now);
                        news.push(News::Gone(ticket));
                    }
                }
            }
        }
        news
    }

    pub(super) fn call(
        &self,
        conn: &Rc<Conn>,
        ticket: Ticket,
        asked: Asked,
        (now, late): (Micros, Micros),
    ) -> Option<News> {
        let bytes = asked.body.len() + 512;
        if self.references.borrow().contains_key(&asked.reference) {
            // Its answer could be meant for either; the one that is open goes on.
            conn.session.borrow_mut().reject(ticket);
            self.count(|c| c.unusable += 1);
            return None;
        }
        if !self.taking.get() || self.held_bytes.get() + bytes > self.bounds.held_bytes {
            let answer = Answer::Refused { reason: "too-many-held", retry_after: 0 };
            conn.session.borrow_mut().answer(ticket, &answer, now);
            self.count(|c| c.turned_away += 1);
            return None;
        }
        self.held_bytes.set(self.held_bytes.get() + bytes);
        self.references.borrow_mut().insert(asked.reference, ticket);
        let held = Held { conn: conn.clone(), reference: asked.reference, bytes };
        self.calls.borrow_mut().insert(ticket, held);
        let ends = self.ends.get().map_or(Micros::MAX, |at| at - now);
        Some(News::Call(Arrival {
            ticket,
            function: asked.function,
            figures: Some(asked.figures),
            tenant: asked.tenant,
            // What it may have waited in its socket is taken off with its age.
            budget: asked.budget.min(ends.saturating_add(late)),
            read: now - late,
            repeat: false,
            known: conn.session.borrow().is_known(),
            body: asked.body,
            content_type: None,
            correlation: asked.id,
            generation: None,
            identity: None,
        }))
    }

    pub(super) fn release(&self, ticket: Ticket) -> Option<Held> {
        let mut calls = self.calls.borrow_mut();
        let held = calls.remove(&ticket)?;
        if calls.capacity() > 8 * calls.len() + 1024 {
            calls.shrink_to_fit();
        }
        self.held_bytes.set(self.held_bytes.get().saturating_sub(held.bytes));
        self.references.borrow_mut().remove(&held.reference);
        Some(held)
    }

    /// The final answer of a call; written at the end of the turn.
    pub fn answer(&self, ticket: Ticket, answer: &Answer) {
        let Some(Held { conn, .. }) = self.release(ticket) else { return };
        conn.session.borrow_mut().answer(ticket, answer, self.shared.clock.now());
        if !conn.dirty.replace(true) {
            self.dirty.borrow_mut().push(conn);
        }
    }
}
