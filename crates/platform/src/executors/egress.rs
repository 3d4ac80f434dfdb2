//! The last look before the first byte of a request is written: whether it may begin now, by its time, its client, its
//! executor and its other attempts as they are in this instant. Nothing else lets an attempt begin.

use super::connection::Connection;
use super::{ClientPresence, Executors, InFlight};
use crate::sockets;
use stagehoist::{Micros, RequestId};

/// Whether an attempt may begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    Granted,
    /// Its client cancelled it or is gone.
    ClientGone,
    Denied(Denial),
}

/// Why an attempt does not begin, though its client waits as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// Its client's socket was not read to its end.
    ClientUnread,
    /// Its time, its client's, or that of the news of its executor is over.
    TooLate,
    /// Its executor takes nothing new.
    ExecutorNotReady,
    /// What came from the executor of an earlier attempt is not read yet: it may be the answer.
    AnswerUnread,
}

/// Attempts that did not begin, by the reason, and what got past that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EgressCounters {
    pub client_gone: u64,
    pub client_unread: u64,
    pub too_late: u64,
    pub executor_not_ready: u64,
    pub answer_unread: u64,
    /// Attempts whose first byte left after their time was over all the same.
    pub violations: u64,
}

impl EgressCounters {
    pub(super) fn count(&mut self, permission: Permission) {
        match permission {
            Permission::Granted => {}
            Permission::ClientGone => self.client_gone += 1,
            Permission::Denied(Denial::ClientUnread) => self.client_unread += 1,
            Permission::Denied(Denial::TooLate) => self.too_late += 1,
            Permission::Denied(Denial::ExecutorNotReady) => self.executor_not_ready += 1,
            Permission::Denied(Denial::AnswerUnread) => self.answer_unread += 1,
        }
    }
}

impl Executors {
    /// Whether the attempt may begin in this instant, or, where it has, go on.
    pub(super) fn permission(
        &self,
        connection: &Connection,
        attempt: (RequestId, u16),
        has_begun: bool,
    ) -> Permission {
        let Some((ticket, begin_by)) = self.with_in_flight(attempt, |f| (f.ticket, f.begin_by)) else {
            return Permission::Granted;
        };
        match self.callers.presence(ticket) {
            ClientPresence::Disconnected => return Permission::ClientGone,
            ClientPresence::Unread => return Permission::Denied(Denial::ClientUnread),
            ClientPresence::Waiting => {}
        }
        if self.shared.clock.now() >= begin_by {
            return Permission::Denied(Denial::TooLate);
        }
        if has_begun {
            return Permission::Granted;
        }
        if !self.executors.borrow().get(&connection.worker).is_some_and(|executor| executor.ready) {
            return Permission::Denied(Denial::ExecutorNotReady);
        }
        if self.has_unread_answer(attempt) {
            return Permission::Denied(Denial::AnswerUnread);
        }
        Permission::Granted
    }

    /// Whether something lies unread from the executor of an earlier attempt that is still out.
    fn has_unread_answer(&self, (request, number): (RequestId, u16)) -> bool {
        (0..number).any(|earlier| {
            let stream = self.with_in_flight((request, earlier), |f| f.connection.stream.borrow().clone());
            stream.flatten().is_some_and(|stream| sockets::has_unread(&stream))
        })
    }

    /// Notes that the first byte of attempts left: late where their time was over by then.
    pub(super) fn note_begun(&self, begun: &[(RequestId, u16)], now: Micros) {
        let is_late = |attempt: &&(RequestId, u16)| {
            self.with_in_flight(**attempt, |f| now >= f.begin_by).unwrap_or(false)
        };
        let late = begun.iter().filter(is_late).count() as u64;
        if late > 0 {
            self.count(|counters| counters.egress.violations += late);
        }
    }

    fn with_in_flight<T>(&self, attempt: (RequestId, u16), look: impl FnOnce(&InFlight) -> T) -> Option<T> {
        self.in_flight_attempts.borrow().get(&attempt).map(look)
    }
}
