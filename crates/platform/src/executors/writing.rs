//! Writes to connections; each request is checked once more just before its first byte.

use super::connection::{Connection, State};
use super::egress::Permission;
use super::selection::is_closed_by_peer;
use super::Executors;
use crate::connection::{Closure, ConnectionState};
use crate::sockets::uninterrupted;
use stagehoist::RequestId;
use std::io;

impl Executors {
    /// Writes as much as the socket accepts. A request that was selected in an earlier batch, or before this process
    /// stalled, may have been cancelled since. It is written only if its client still waits, given all input in that
    /// client's socket.
    pub(super) fn flush(&self, connection: &Connection) {
        let Some(stream) = connection.stream.borrow().clone() else { return };
        if connection.state.get() != State::Open {
            return;
        }
        let mut protocol = connection.protocol.borrow_mut();
        let mut bytes = Vec::new();
        let mut inputs = Vec::new();
        protocol.withdraw_overdue(self.shared.clock.now(), self.limits.load_timeout, &mut inputs);
        self.queued_inputs.borrow_mut().extend(inputs);
        if protocol.wants_write() && is_closed_by_peer(connection) {
            // The executor closed the connection after it had been selected. Requests that were not started are known
            // not to have run.
            return connection.end(Closure::Broken);
        }
        loop {
            if self.drop_unpermitted(connection, &mut protocol) {
                return connection.end(Closure::ProtocolViolated);
            }
            if !protocol.wants_write() {
                return;
            }
            bytes.clear();
            protocol.fill_write(&mut bytes, self.shared.clock.now());
            match uninterrupted(|| stream.try_write(&bytes)) {
                Ok(n) => {
                    let now = self.shared.clock.now();
                    let started = protocol.on_written(n, now);
                    self.note_started(&started, now);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return connection.wake.notify_one(),
                Err(_) => return connection.end(Closure::Broken),
            }
        }
    }

    /// Abandons the requests of the next write that were or may have been cancelled; the driver is notified in its
    /// next batch. Returns true if the connection is to be closed.
    fn drop_unpermitted(&self, connection: &Connection, protocol: &mut ConnectionState) -> bool {
        protocol.next_calls().into_iter().any(|id| {
            let Some(attempt) = protocol.awaits(id).and_then(|open| open.attempt()) else { return false };
            let permission = self.permission(connection, attempt, protocol.has_started(id));
            self.count(|counters| counters.egress.count(permission));
            match permission {
                Permission::Granted => false,
                Permission::ClientGone => {
                    self.in_flight_attempts.borrow_mut().remove(&attempt);
                    self.abandon(protocol, (id, &format!("{id:016x}")))
                }
                Permission::Denied(_) => self.withdraw_call(protocol, id, attempt),
            }
        })
    }

    /// Ends an attempt before it starts, because it may be cancelled or too late. The cause is on this side, so the
    /// attempt is reported as not accepted for lack of capacity. Returns true if the connection is to be closed.
    fn withdraw_call(&self, protocol: &mut ConnectionState, id: u64, attempt: (RequestId, u16)) -> bool {
        self.in_flight_attempts.borrow_mut().remove(&attempt);
        let (now, mut inputs) = (self.shared.clock.now(), Vec::new());
        let must_close = protocol.withdraw_call(id, now, &mut inputs);
        if protocol.is_truncated() && !must_close {
            protocol.withdraw(now, &mut inputs);
        }
        self.remove_ended(&mut inputs);
        self.queued_inputs.borrow_mut().extend(inputs);
        must_close
    }

    /// Abandons a request. If it is partly written, the requests queued behind it are withdrawn. Returns true if the
    /// connection is to be closed.
    pub(super) fn abandon(&self, protocol: &mut ConnectionState, (id, text): (u64, &str)) -> bool {
        let now = self.shared.clock.now();
        let must_close = protocol.abandon(id, text, now, self.limits.connect_timeout);
        if protocol.is_truncated() && !must_close {
            let mut inputs = Vec::new();
            protocol.withdraw(now, &mut inputs);
            self.remove_ended(&mut inputs);
            self.queued_inputs.borrow_mut().extend(inputs);
        }
        must_close
    }
}
