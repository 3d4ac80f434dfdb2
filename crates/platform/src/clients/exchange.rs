//! One client's connection: read into its session, its answers written, closed in order.

use super::{finish::Socket, sockets, ClientConnection, Clients};
use crate::shared::Shared;
use stagehoist_gateway::state::Input;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// A connection that is closed over what it sent is read on for so long and so much, so that the error reaches it.
const LINGER_LIMITS: (Duration, usize) = (Duration::from_millis(250), 1 << 20);
/// How soon a client's leaving is seen while nothing is read from it.
const LEFT_WITHIN: Duration = Duration::from_millis(50);

impl Clients {
    pub(super) async fn talk(self: Rc<Self>, conn: Rc<ClientConnection>) {
        let mut retired = false;
        loop {
            let (read, write, closing) = {
                let session = conn.session.borrow();
                (session.wants_read(), !session.output().is_empty(), session.is_closing())
            };
            if conn.over.get() || retired || (closing && !write) {
                break;
            }
            let held_back = !read && !closing;
            tokio::select! {
                biased;
                () = conn.wake.notified() => {}
                ready = conn.stream.writable(), if write => {
                    if ready.is_err() || !self.flush(&conn) {
                        conn.over.set(true);
                    }
                }
                ready = conn.stream.readable(), if read => {
                    if ready.is_err() || !self.read(&conn) {
                        conn.over.set(true);
                    }
                }
                () = tokio::time::sleep(LEFT_WITHIN), if held_back => {
                    if sockets::has_left(&conn.stream) {
                        conn.over.set(true);
                    }
                }
            }
            if conn.silent.take() {
                // What lies in its socket may be the very request that ends its silence.
                let mut news = Vec::new();
                if self.read_all(&conn, &mut news) == Socket::Over {
                    conn.over.set(true);
                }
                conn.inputs.borrow_mut().extend(news);
                retired = conn.session.borrow().is_over(self.shared.clock.now());
            }
            if conn.session.borrow().can_resume() {
                let news = self.receive(&conn, b"");
                conn.inputs.borrow_mut().extend(news);
            }
            self.pass_on(&conn).await;
        }
        self.conns.borrow_mut().remove(&conn.id);
        let mut said = Vec::new();
        let in_order = retired || conn.session.borrow().is_closing();
        let lingers = in_order && !conn.over.get() && self.lingering.get() < self.bounds.clients / 4;
        conn.session.borrow_mut().close(&mut said);
        let news = self.on_client_events(&conn, said, self.shared.read_time());
        conn.inputs.borrow_mut().extend(news);
        self.pass_on(&conn).await;
        if lingers {
            self.lingering.set(self.lingering.get() + 1);
            linger(&conn.stream, &self.shared).await;
            self.lingering.set(self.lingering.get() - 1);
        }
        self.written.notify_one();
        drop(conn);
        self.shared.descriptors.freed();
    }

    async fn pass_on(&self, conn: &ClientConnection) {
        loop {
            let Some(item) = conn.inputs.borrow_mut().pop_front() else { return };
            // A driver that ended needs no inputs.
            let _ = self.shared.inputs.send(item).await;
        }
    }

    /// False once the client is gone.
    fn read(&self, conn: &Rc<ClientConnection>) -> bool {
        let mut scratch = self.shared.scratch.borrow_mut();
        let n = match conn.stream.try_read(&mut scratch) {
            Ok(0) => return false,
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
            Err(_) => return false,
        };
        let news = self.receive(conn, &scratch[..n]);
        drop(scratch);
        conn.inputs.borrow_mut().extend(news);
        let waits = !conn.session.borrow().output().is_empty();
        !waits || self.flush(conn)
    }

    /// What these bytes mean; answers that are owed at once wait to be written.
    pub(super) fn receive(&self, conn: &Rc<ClientConnection>, bytes: &[u8]) -> Vec<Input> {
        let time = self.shared.read_time();
        let mut said = Vec::new();
        {
            let mut session = conn.session.borrow_mut();
            let mut next = self.next_ticket.get();
            session.receive(bytes, time.0, (&self.catalog, self.serving.get()), &mut next, &mut said);
            self.next_ticket.set(next);
            if let Some(why) = session.unusable.take() {
                self.count(|c| c.unusable += 1);
                tracing::debug!(%why, "not taken");
            }
            if session.is_closing() {
                self.count(|c| c.unreadable += 1);
            }
        }
        self.on_client_events(conn, said, time)
    }

    /// Writes what the turn brought.
    pub fn flush_all(&self) {
        let dirty = std::mem::take(&mut *self.dirty.borrow_mut());
        for conn in dirty {
            conn.dirty.set(false);
            if !self.flush(&conn) {
                conn.over.set(true);
            }
            let session = conn.session.borrow();
            if conn.over.get() || !session.output().is_empty() || session.can_resume() {
                conn.wake.notify_one();
            }
        }
    }

    /// False once the client is gone.
    pub(super) fn flush(&self, conn: &ClientConnection) -> bool {
        let mut session = conn.session.borrow_mut();
        while !session.output().is_empty() {
            match conn.stream.try_write(session.output()) {
                Ok(n) => session.wrote(n, self.shared.clock.now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        self.written.notify_one();
        true
    }
}

/// Says that no more is written, and drops what still comes for a while: a close over unread bytes would become a reset
/// that can overtake the answer.
async fn linger(stream: &TcpStream, shared: &Shared) {
    sockets::end_writing(stream);
    let drop_all = async {
        let mut dropped = 0;
        while dropped < LINGER_LIMITS.1 && stream.readable().await.is_ok() {
            let mut scratch = shared.scratch.borrow_mut();
            match stream.try_read(&mut scratch) {
                Ok(0) => return,
                Ok(n) => dropped += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_LIMITS.0, drop_all).await;
}
