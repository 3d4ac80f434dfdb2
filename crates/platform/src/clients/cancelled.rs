//! Whether a client still waits, asked of its socket past the runtime: that has heard only of what came
//! before it last waited.

use super::finish::Socket;
use super::{ClientConnection, Clients};
use crate::executors::{ClientLookup, ClientPresence};
use crate::sockets;
use stagehoist::Micros;
use stagehoist_gateway::state::Ticket;
use std::rc::Rc;

/// For how long it is kept that a request was cancelled: until the driver has heard of it and nothing of it
/// waits to be written.
const CANCELLATION_RETENTION: Micros = 1_000_000;

impl ClientLookup for Clients {
    fn presence(&self, ticket: Ticket) -> ClientPresence {
        let connection = self.calls.borrow().get(&ticket).map(|held| held.connection.clone());
        let heard = connection.as_ref().is_none_or(|connection| self.read_pending(connection));
        if connection.is_some_and(|connection| connection.over.get())
            || self.cancelled.borrow().contains_key(&ticket)
        {
            return ClientPresence::Disconnected;
        }
        if heard {
            ClientPresence::Waiting
        } else {
            ClientPresence::Unread
        }
    }
}

impl Clients {
    /// Reads what lies in a client's socket now; its own task passes it on, in its order. False where more lies there than
    /// is read at once or from a client that takes no answers: what it cancels may be among it.
    fn read_pending(&self, connection: &Rc<ClientConnection>) -> bool {
        if connection.over.get() {
            return true;
        }
        let mut inputs = Vec::new();
        let more = connection.session.borrow().wants_read();
        let socket = self.read_all(connection, &mut inputs);
        if socket == Socket::Over || (!more && sockets::has_left(&connection.stream)) {
            connection.over.set(true);
        }
        if connection.over.get() || !inputs.is_empty() || !connection.session.borrow().output().is_empty() {
            connection.wake.notify_one();
        }
        connection.inputs.borrow_mut().extend(inputs);
        socket == Socket::Dry && !connection.session.borrow().has_unheard()
    }

    /// Forgets what was cancelled long ago.
    pub(super) fn forget_cancelled(&self) {
        let (now, late) = self.shared.read_time();
        if late == 0 {
            self.cancelled.borrow_mut().retain(|_, at| now - *at < CANCELLATION_RETENTION);
        }
    }
}
