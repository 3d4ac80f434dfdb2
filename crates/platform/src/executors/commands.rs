//! Executes the module's commands: attempts, health checks, load and unload orders.

use super::connection::Connection;
use super::selection::ConnectionNeeds;
use super::{Executors, InFlight};
use crate::connection::{Closure, Exchange, RunRequest};
use crate::fields;
use stagehoist::{FunctionId, Micros, Outcome, RequestId, WorkerId};
use stagehoist_gateway::state::{Attempt, AttemptResult, Input};
use std::rc::Rc;

/// An order to keep copies of a function loaded.
#[derive(Clone, Copy, Debug)]
pub struct LoadCommand<'a> {
    pub worker: WorkerId,
    pub function: FunctionId,
    pub name: &'a str,
    pub copies: u8,
    /// No byte of the order is written after this time.
    pub start_by: Micros,
}

impl Executors {
    fn mark_dirty(&self, connection: Rc<Connection>) {
        if !connection.dirty.replace(true) {
            self.dirty.borrow_mut().push(connection);
        }
    }

    /// Starts an attempt; its end is reported as [`Input::AttemptEnded`].
    pub fn start_attempt(self: &Rc<Self>, attempt: Attempt) {
        let (request, number) = (attempt.request, attempt.attempt);
        if let Err(outcome) = self.try_start(attempt) {
            let result = AttemptResult::without_answer(outcome);
            self.queued_inputs.borrow_mut().push_back(Input::AttemptEnded {
                request,
                attempt: number,
                result,
            });
        }
    }

    /// Queues an attempt, or returns the outcome that ends it at once, which proves that nothing ran. A lack of
    /// descriptors or of a connection that is old enough ends it as `Full`, which does not count against the executor.
    fn try_start(self: &Rc<Self>, attempt: Attempt) -> Result<(), Outcome> {
        let Some(id) = fields::hex16(attempt.correlation.as_bytes()) else {
            return Err(Outcome::ConnectFailed);
        };
        let Some(class) = self.limits.classes.get(attempt.class as usize) else {
            return Err(Outcome::ConnectFailed);
        };
        if !self.executors.borrow().get(&attempt.worker).is_some_and(|e| e.ready) {
            return Err(Outcome::ConnectFailed);
        }
        let needs = ConnectionNeeds { id: Some(id), connected_by: attempt.connected_by };
        let Some(connection) = self.select(attempt.worker, needs) else {
            // The connection that the decision relied on may have ceased to accept requests.
            self.report_connection(attempt.worker);
            return Err(Outcome::Full);
        };
        let now = self.shared.clock.now();
        let run = RunRequest { class, function: &attempt.function, deadline: attempt.deadline };
        let exchange = Exchange::Attempt { request: attempt.request, attempt: attempt.attempt };
        let queued = connection.protocol.borrow_mut().send_request(
            (id, &attempt.correlation),
            &run,
            &attempt.body,
            exchange,
            now,
        );
        if !queued {
            return Err(Outcome::ConnectFailed);
        }
        let in_flight = InFlight {
            connection: connection.clone(),
            id: (id, attempt.correlation),
            ticket: attempt.ticket,
            start_by: attempt.start_by.min(attempt.deadline),
        };
        self.in_flight_attempts.borrow_mut().insert((attempt.request, attempt.attempt), in_flight);
        self.mark_dirty(connection);
        Ok(())
    }

    /// Abandons an attempt; its end is not reported.
    pub fn abort(&self, request: RequestId, attempt: u16) {
        let Some(ended) = self.in_flight_attempts.borrow_mut().remove(&(request, attempt)) else { return };
        let must_close = self.abandon(&mut ended.connection.protocol.borrow_mut(), (ended.id.0, &ended.id.1));
        if must_close {
            return ended.connection.end(Closure::ProtocolViolated);
        }
        // The connection's task sets a timer for the confirmation of the request's arrival.
        ended.connection.wake.notify_one();
        self.mark_dirty(ended.connection);
    }

    /// Sends a health check, which reads the executor's load; the result is reported as [`Input::HealthChecked`].
    pub fn check_health(self: &Rc<Self>, worker: WorkerId) {
        let sent = self.shared.clock.now();
        match self.select(worker, ConnectionNeeds::ANY) {
            Some(connection) => {
                let report = !self.limits.report_fields.is_empty();
                connection.protocol.borrow_mut().send_health_check(
                    report,
                    Exchange::HealthCheck { worker, sent },
                    sent,
                );
                self.mark_dirty(connection);
            }
            None => {
                // A lack of descriptors does not count against the executor; an executor that is not listed is gone.
                let is_listed = self.executors.borrow().contains_key(&worker);
                let outcome = if is_listed { Outcome::Full } else { Outcome::ConnectFailed };
                let (report, draining) = (None, None);
                self.queued_inputs.borrow_mut().push_back(Input::HealthChecked {
                    worker,
                    sent,
                    outcome,
                    report,
                    draining,
                });
            }
        }
    }

    /// Orders copies of a function; the result is reported as [`Input::Loaded`].
    pub fn load(self: &Rc<Self>, order: LoadCommand<'_>) {
        let LoadCommand { worker, function, name, copies, start_by } = order;
        let sent = self.shared.clock.now();
        let is_ready = self.executors.borrow().get(&worker).is_some_and(|e| e.ready);
        let connection =
            if is_ready || copies == 0 { self.select(worker, ConnectionNeeds::ANY) } else { None };
        match connection {
            Some(connection) => {
                let exchange = Exchange::Load { worker, function, sent, start_by };
                connection.protocol.borrow_mut().send_load(name, copies, exchange, sent);
                // The connection's task sets a timer for the load timeout.
                connection.wake.notify_one();
                self.mark_dirty(connection);
            }
            None => {
                // Without a connection the order was never sent. An executor that is not ready accepts no order.
                let outcome = if is_ready { Outcome::Superseded } else { Outcome::ConnectFailed };
                let copies = 0;
                self.queued_inputs.borrow_mut().push_back(Input::Loaded {
                    worker,
                    function,
                    sent,
                    outcome,
                    copies,
                });
            }
        }
    }

    /// Orders idle copies to be unloaded; the result is not reported.
    pub fn unload(self: &Rc<Self>, worker: WorkerId, name: &str) {
        if let Some(connection) = self.select(worker, ConnectionNeeds::ANY) {
            connection.protocol.borrow_mut().send_unload(name, self.shared.clock.now());
            self.mark_dirty(connection);
        }
    }

    /// Closes idle connections to an executor.
    pub fn close_idle(&self, worker: WorkerId) {
        if let Some(executor) = self.executors.borrow().get(&worker) {
            executor
                .connections
                .iter()
                .filter(|l| l.protocol.borrow().is_idle())
                .for_each(|l| l.end(Closure::Broken));
        }
    }

    /// Writes the messages that the batch produced, and forwards the inputs that resulted from it.
    pub fn flush_all(&self) {
        let dirty = std::mem::take(&mut *self.dirty.borrow_mut());
        for connection in dirty {
            connection.dirty.set(false);
            self.flush(&connection);
        }
        self.forward_queued_inputs();
    }

    /// Forwards the inputs that arose while commands were executed.
    pub(super) fn forward_queued_inputs(&self) {
        let mut queued_inputs = self.queued_inputs.borrow_mut();
        while let Some(item) = queued_inputs.pop_front() {
            if let Err(tokio::sync::mpsc::error::TrySendError::Full(item)) = self.shared.inputs.try_send(item)
            {
                // Retried with the next batch, which follows at once because the queue is full.
                queued_inputs.push_front(item);
                return;
            }
        }
    }
}
