//! Checks on the socket itself whether a client still waits, because the runtime knows only of data that arrived
//! before it last polled the sockets.

use super::finish::ReadState;
use super::{ClientConnection, Clients};
use crate::executors::{ClientLookup, ClientPresence};
use crate::sockets;
use stagehoist::Micros;
use stagehoist_gateway::state::Ticket;
use std::rc::Rc;

/// How long a cancellation is remembered: until the driver has processed it and nothing of the request is queued for
/// writing.
const CANCELLATION_RETENTION: Micros = 1_000_000;

impl ClientLookup for Clients {
    fn presence(&self, ticket: Ticket) -> ClientPresence {
        let connection = self.calls.borrow().get(&ticket).map(|call| call.connection.clone());
        let is_read = connection.as_ref().is_none_or(|connection| self.read_pending(connection));
        if connection.is_some_and(|connection| connection.is_gone.get())
            || self.cancelled.borrow().contains_key(&ticket)
        {
            return ClientPresence::Disconnected;
        }
        if is_read {
            ClientPresence::Waiting
        } else {
            ClientPresence::InputPending
        }
    }
}

impl Clients {
    /// Reads the pending input of a client's socket; its own task forwards the resulting inputs in order. Returns
    /// false if unread input remains that may contain a cancellation: more than is read at once, or input of a client
    /// that does not read its answers.
    fn read_pending(&self, connection: &Rc<ClientConnection>) -> bool {
        if connection.is_gone.get() {
            return true;
        }
        if self.shared.read_turns.is_backlogged(&connection.turn) {
            return self.is_drained(connection);
        }
        let mut inputs = Vec::new();
        let wants_read = connection.session.borrow().wants_read();
        let socket = self.read_all(connection, &mut inputs);
        if socket == ReadState::Closed || (!wants_read && sockets::is_read_closed(&connection.stream)) {
            connection.is_gone.set(true);
        }
        if connection.is_gone.get() || !inputs.is_empty() || !connection.session.borrow().output().is_empty()
        {
            connection.wake.notify_one();
        }
        connection.inputs.borrow_mut().extend(inputs);
        socket == ReadState::Drained && !connection.session.borrow().has_unparsed_input()
    }

    /// Whether nothing is left to read from a client that has had more than its share of reads. It is not read here.
    fn is_drained(&self, connection: &ClientConnection) -> bool {
        if sockets::is_closed(&connection.stream) || sockets::is_read_closed(&connection.stream) {
            connection.is_gone.set(true);
            connection.wake.notify_one();
            return true;
        }
        let has_input =
            sockets::has_unread(&connection.stream) || connection.session.borrow().has_unparsed_input();
        !has_input
    }

    /// Removes old cancellations.
    pub(super) fn forget_cancelled(&self) {
        let (now, late) = self.shared.read_time();
        if late == 0 {
            self.cancelled.borrow_mut().retain(|_, at| now - *at < CANCELLATION_RETENTION);
        }
    }
}
