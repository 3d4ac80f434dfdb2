//! Whether a client still waits, asked of its socket past the runtime: that has heard only of what came
//! before it last waited.

use super::{sockets, Clients, Conn};
use crate::executors::Callers;
use stagehoist::Micros;
use stagehoist_gateway::state::Ticket;
use std::rc::Rc;

/// For how long it is kept that a request was cancelled: until the driver has heard of it and nothing of it
/// waits to be written.
const KEPT: Micros = 1_000_000;

impl Callers for Clients {
    fn is_cancelled(&self, ticket: Ticket) -> bool {
        let conn = self.calls.borrow().get(&ticket).map(|held| held.conn.clone());
        if let Some(conn) = conn {
            self.hear(&conn);
            if conn.over.get() {
                return true;
            }
        }
        self.cancelled.borrow().contains_key(&ticket)
    }
}

impl Clients {
    /// Reads what lies in a client's socket now; its own task passes it on, in its order.
    fn hear(&self, conn: &Rc<Conn>) {
        if conn.over.get() {
            return;
        }
        let mut news = Vec::new();
        let more = conn.session.borrow().wants_read();
        if !self.read_all(conn, &mut news) || (!more && sockets::has_left(&conn.stream)) {
            conn.over.set(true);
        }
        if conn.over.get() || !news.is_empty() || !conn.session.borrow().out().is_empty() {
            conn.wake.notify_one();
        }
        conn.news.borrow_mut().extend(news);
    }

    /// Forgets what was cancelled long ago.
    pub(super) fn forget_cancelled(&self) {
        let (now, late) = self.shared.read_time();
        if late == 0 {
            self.cancelled.borrow_mut().retain(|_, at| now - *at < KEPT);
        }
    }
}
