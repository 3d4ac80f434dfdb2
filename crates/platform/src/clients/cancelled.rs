//! Whether a client still waits, asked of its socket past the runtime: that has heard only of what came
//! before it last waited.

use super::finish::Socket;
use super::{sockets, ClientConnection, Clients};
use crate::executors::{ClientLookup, ClientPresence};
use stagehoist::Micros;
use stagehoist_gateway::state::Ticket;
use std::rc::Rc;

/// For how long it is kept that a request was cancelled: until the driver has heard of it and nothing of it
/// waits to be written.
const CANCELLATION_RETENTION: Micros = 1_000_000;

impl ClientLookup for Clients {
    fn presence(&self, ticket: Ticket) -> ClientPresence {
        let conn = self.calls.borrow().get(&ticket).map(|held| held.conn.clone());
        let heard = conn.as_ref().is_none_or(|conn| self.read_pending(conn));
        if conn.is_some_and(|conn| conn.over.get()) || self.cancelled.borrow().contains_key(&ticket) {
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
    fn read_pending(&self, conn: &Rc<ClientConnection>) -> bool {
        if conn.over.get() {
            return true;
        }
        let mut news = Vec::new();
        let more = conn.session.borrow().wants_read();
        let socket = self.read_all(conn, &mut news);
        if socket == Socket::Over || (!more && sockets::has_left(&conn.stream)) {
            conn.over.set(true);
        }
        if conn.over.get() || !news.is_empty() || !conn.session.borrow().output().is_empty() {
            conn.wake.notify_one();
        }
        conn.inputs.borrow_mut().extend(news);
        socket == Socket::Dry && !conn.session.borrow().has_unheard()
    }

    /// Forgets what was cancelled long ago.
    pub(super) fn forget_cancelled(&self) {
        let (now, late) = self.shared.read_time();
        if late == 0 {
            self.cancelled.borrow_mut().retain(|_, at| now - *at < CANCELLATION_RETENTION);
        }
    }
}
