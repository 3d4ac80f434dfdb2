//! The final check before the first byte of a request is written: whether it may start now, given its deadline, its
//! client, its executor and its other attempts at this instant. No attempt starts without this check.

use super::connection::Connection;
use super::{ClientPresence, Executors, InFlight};
use crate::sockets;
use stagehoist::{Micros, RequestId};

/// Whether an attempt may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    Granted,
    /// The client cancelled the call or disconnected.
    ClientGone,
    Denied(Denial),
}

/// Why an attempt may not start, although its client is not known to have cancelled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// The client's socket has unread input, which may be a cancellation.
    ClientInputPending,
    /// The attempt's start time, its client's deadline or the validity of the executor's endpoint data has passed.
    TooLate,
    /// The executor accepts no new requests.
    ExecutorNotReady,
    /// The executor of an earlier attempt has sent data that is not read yet; it may be the answer.
    AnswerPending,
}

/// Attempts that were not allowed to start, by reason, and those that started in violation of the check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EgressCounters {
    pub client_gone: u64,
    pub client_unread: u64,
    pub too_late: u64,
    pub executor_not_ready: u64,
    pub answer_unread: u64,
    /// Attempts whose first byte was written after their start time had passed.
    pub violations: u64,
}

impl EgressCounters {
    pub(super) fn count(&mut self, permission: Permission) {
        match permission {
            Permission::Granted => {}
            Permission::ClientGone => self.client_gone += 1,
            Permission::Denied(Denial::ClientInputPending) => self.client_unread += 1,
            Permission::Denied(Denial::TooLate) => self.too_late += 1,
            Permission::Denied(Denial::ExecutorNotReady) => self.executor_not_ready += 1,
            Permission::Denied(Denial::AnswerPending) => self.answer_unread += 1,
        }
    }
}

impl Executors {
    /// Decides whether the attempt may start at this instant, or continue if it has started.
    pub(super) fn permission(
        &self,
        connection: &Connection,
        attempt: (RequestId, u16),
        has_started: bool,
    ) -> Permission {
        let Some((ticket, start_by)) = self.with_in_flight(attempt, |f| (f.ticket, f.start_by)) else {
            return Permission::Granted;
        };
        match self.clients.presence(ticket) {
            ClientPresence::Disconnected => return Permission::ClientGone,
            ClientPresence::InputPending => return Permission::Denied(Denial::ClientInputPending),
            ClientPresence::Waiting => {}
        }
        if self.shared.clock.now() >= start_by {
            return Permission::Denied(Denial::TooLate);
        }
        if has_started {
            return Permission::Granted;
        }
        if !self.executors.borrow().get(&connection.worker).is_some_and(|executor| executor.ready) {
            return Permission::Denied(Denial::ExecutorNotReady);
        }
        if self.has_unread_answer(attempt) {
            return Permission::Denied(Denial::AnswerPending);
        }
        Permission::Granted
    }

    /// Whether unread data has arrived from the executor of an earlier attempt that is still in flight.
    fn has_unread_answer(&self, (request, number): (RequestId, u16)) -> bool {
        (0..number).any(|earlier| {
            let stream = self.with_in_flight((request, earlier), |f| f.connection.stream.borrow().clone());
            stream.flatten().is_some_and(|stream| sockets::has_unread(&stream))
        })
    }

    /// Records that the first byte of these attempts was written; counts those whose start time had passed by then.
    pub(super) fn note_started(&self, started: &[(RequestId, u16)], now: Micros) {
        let is_late = |attempt: &&(RequestId, u16)| {
            self.with_in_flight(**attempt, |f| now >= f.start_by).unwrap_or(false)
        };
        let late = started.iter().filter(is_late).count() as u64;
        if late > 0 {
            self.count(|counters| counters.egress.violations += late);
        }
    }

    fn with_in_flight<T>(&self, attempt: (RequestId, u16), get: impl FnOnce(&InFlight) -> T) -> Option<T> {
        self.in_flight_attempts.borrow().get(&attempt).map(get)
    }
}
