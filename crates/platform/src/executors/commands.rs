//! Choices executed: attempts, health checks, orders.

use super::connection::Connection;
use super::{Executors, InFlight};
use crate::connection::{Closure, Exchange, RunRequest};
use crate::fields;
use stagehoist::{FunctionId, Micros, Outcome, RequestId, WorkerId};
use stagehoist_gateway::state::{Attempt, AttemptResult, Input};
use std::rc::Rc;

/// An order to hold copies of a function.
#[derive(Clone, Copy, Debug)]
pub struct LoadCommand<'a> {
    pub worker: WorkerId,
    pub function: FunctionId,
    pub name: &'a str,
    pub copies: u8,
    /// No byte of it is written after this time.
    pub start_by: Micros,
}

impl Executors {
    fn note_unwritten(&self, connection: Rc<Connection>) {
        if !connection.dirty.replace(true) {
            self.dirty.borrow_mut().push(connection);
        }
    }

    /// Begins an attempt; its end comes as [`Input::AttemptEnded`].
    pub fn attempt(self: &Rc<Self>, attempt: Attempt) {
        let (request, number) = (attempt.request, attempt.attempt);
        if let Err(outcome) = self.begin(attempt) {
            let result = AttemptResult::without_answer(outcome);
            self.late_inputs.borrow_mut().push_back(Input::AttemptEnded { request, attempt: number, result });
        }
    }

    /// What ends it here and now, which proves that nothing ran. For want of descriptors of its own it is `Full`: that speaks
    /// against no executor.
    fn begin(self: &Rc<Self>, attempt: Attempt) -> Result<(), Outcome> {
        let Some(id) = fields::hex16(attempt.correlation.as_bytes()) else {
            return Err(Outcome::ConnectFailed);
        };
        let Some(class) = self.limits.classes.get(attempt.class as usize) else {
            return Err(Outcome::ConnectFailed);
        };
        if !self.executors.borrow().get(&attempt.worker).is_some_and(|e| e.ready) {
            return Err(Outcome::ConnectFailed);
        }
        let Some(connection) = self.pick(attempt.worker, Some(id)) else { return Err(Outcome::Full) };
        let now = self.shared.clock.now();
        let run = RunRequest { class, function: &attempt.function, deadline: attempt.deadline };
        let what = Exchange::Attempt { request: attempt.request, attempt: attempt.attempt };
        let queued = connection.line.borrow_mut().send_request(
            (id, &attempt.correlation),
            &run,
            &attempt.body,
            what,
            now,
        );
        if !queued {
            return Err(Outcome::ConnectFailed);
        }
        let flying = InFlight {
            connection: connection.clone(),
            id: (id, attempt.correlation),
            ticket: attempt.ticket,
            begin_by: attempt.start_by.min(attempt.deadline),
        };
        self.in_flight_attempts.borrow_mut().insert((attempt.request, attempt.attempt), flying);
        self.note_unwritten(connection);
        Ok(())
    }

    /// Abandons an attempt; nothing more is heard of it.
    pub fn abort(&self, request: RequestId, attempt: u16) {
        let Some(flying) = self.in_flight_attempts.borrow_mut().remove(&(request, attempt)) else { return };
        let ends = self.stop(&mut flying.connection.line.borrow_mut(), (flying.id.0, &flying.id.1));
        if ends {
            return flying.connection.end(Closure::ProtocolViolated);
        }
        self.note_unwritten(flying.connection);
    }

    /// Asks an executor for its load; the answer comes as [`Input::HealthChecked`].
    pub fn probe(self: &Rc<Self>, worker: WorkerId) {
        let sent = self.shared.clock.now();
        match self.pick(worker, None) {
            Some(connection) => {
                let report = !self.limits.report.is_empty();
                connection.line.borrow_mut().send_health_check(
                    report,
                    Exchange::Probe { worker, sent },
                    sent,
                );
                self.note_unwritten(connection);
            }
            None => {
                // For want of descriptors of its own it speaks against no executor; one that is not listed is gone.
                let listed = self.executors.borrow().contains_key(&worker);
                let outcome = if listed { Outcome::Full } else { Outcome::ConnectFailed };
                let (report, draining) = (None, None);
                self.late_inputs.borrow_mut().push_back(Input::HealthChecked {
                    worker,
                    sent,
                    outcome,
                    report,
                    draining,
                });
            }
        }
    }

    /// Orders copies of a function; the answer comes as [`Input::Loaded`].
    pub fn load(self: &Rc<Self>, order: LoadCommand<'_>) {
        let LoadCommand { worker, function, name, copies, start_by } = order;
        let sent = self.shared.clock.now();
        let ready = self.executors.borrow().get(&worker).is_some_and(|e| e.ready);
        let connection = if ready || copies == 0 { self.pick(worker, None) } else { None };
        match connection {
            Some(connection) => {
                let what = Exchange::Load { worker, function, sent, start_by };
                connection.line.borrow_mut().send_load(name, copies, what, sent);
                // Its task sets an alarm for when this counts as lost.
                connection.wake.notify_one();
                self.note_unwritten(connection);
            }
            None => {
                // For want of a connection of its own it never left; one that is not listed takes none.
                let outcome = if ready { Outcome::Superseded } else { Outcome::ConnectFailed };
                let copies = 0;
                self.late_inputs.borrow_mut().push_back(Input::Loaded {
                    worker,
                    function,
                    sent,
                    outcome,
                    copies,
                });
            }
        }
    }

    /// Has idle copies unloaded; nothing is heard of it.
    pub fn unload(self: &Rc<Self>, worker: WorkerId, name: &str) {
        if let Some(connection) = self.pick(worker, None) {
            connection.line.borrow_mut().send_unload(name, self.shared.clock.now());
            self.note_unwritten(connection);
        }
    }

    /// Closes idle connections to an executor.
    pub fn close_idle(&self, worker: WorkerId) {
        if let Some(executor) = self.executors.borrow().get(&worker) {
            executor.links.iter().filter(|l| l.line.borrow().is_idle()).for_each(|l| l.end(Closure::Broken));
        }
    }

    /// Writes what the turn brought, and passes on what arose from it.
    pub fn flush_all(&self) {
        let dirty = std::mem::take(&mut *self.dirty.borrow_mut());
        for connection in dirty {
            connection.dirty.set(false);
            self.flush(&connection);
        }
        self.pass_on_late();
    }

    /// Passes on what arose while choices were executed.
    pub(super) fn pass_on_late(&self) {
        let mut late = self.late_inputs.borrow_mut();
        while let Some(item) = late.pop_front() {
            if let Err(tokio::sync::mpsc::error::TrySendError::Full(item)) = self.shared.inputs.try_send(item)
            {
                // Told with the next turn, which comes at once as the line is full.
                late.push_front(item);
                return;
            }
        }
    }
}
