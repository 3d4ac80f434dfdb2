//! One client's connection: read into its session, its answers written, closed in order.

use super::{finish::Socket, ClientConnection, Clients};
use crate::shared::Shared;
use crate::sockets::{self, uninterrupted};
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
    pub(super) async fn talk(self: Rc<Self>, connection: Rc<ClientConnection>) {
        let mut retired = false;
        loop {
            let (read, write, closing) = {
                let session = connection.session.borrow();
                (session.wants_read(), !session.output().is_empty(), session.is_closing())
            };
            if connection.over.get() || retired || (closing && !write) {
                break;
            }
            let held_back = !read && !closing;
            tokio::select! {
                biased;
                () = connection.wake.notified() => {}
                ready = connection.stream.writable(), if write => {
                    if ready.is_err() || !self.flush(&connection) {
                        connection.over.set(true);
                    }
                }
                ready = connection.stream.readable(), if read => {
                    if ready.is_err() || !self.read(&connection) {
                        connection.over.set(true);
                    }
                }
                () = tokio::time::sleep(LEFT_WITHIN), if held_back => {
                    if sockets::has_left(&connection.stream) {
                        connection.over.set(true);
                    }
                }
            }
            if connection.silent.take() {
                // What lies in its socket may be the very request that ends its silence.
                let mut inputs = Vec::new();
                if self.read_all(&connection, &mut inputs) == Socket::Over {
                    connection.over.set(true);
                }
                connection.inputs.borrow_mut().extend(inputs);
                retired = connection.session.borrow().is_over(self.shared.clock.now());
            }
            if connection.session.borrow().can_resume() {
                let inputs = self.receive(&connection, b"");
                connection.inputs.borrow_mut().extend(inputs);
            }
            self.pass_on(&connection).await;
        }
        self.conns.borrow_mut().remove(&connection.id);
        let mut events = Vec::new();
        let in_order = retired || connection.session.borrow().is_closing();
        let lingers = in_order && !connection.over.get() && self.lingering.get() < self.bounds.clients / 4;
        connection.session.borrow_mut().close(&mut events);
        let inputs = self.on_client_events(&connection, events, self.shared.read_time());
        connection.inputs.borrow_mut().extend(inputs);
        self.pass_on(&connection).await;
        if lingers {
            self.lingering.set(self.lingering.get() + 1);
            linger(&connection.stream, &self.shared).await;
            self.lingering.set(self.lingering.get() - 1);
        }
        self.written.notify_one();
        drop(connection);
        self.shared.descriptors.freed();
    }

    async fn pass_on(&self, connection: &ClientConnection) {
        loop {
            let Some(item) = connection.inputs.borrow_mut().pop_front() else { return };
            // A driver that ended needs no inputs.
            let _ = self.shared.inputs.send(item).await;
        }
    }

    /// False once the client is gone.
    fn read(&self, connection: &Rc<ClientConnection>) -> bool {
        let mut scratch = self.shared.scratch.borrow_mut();
        let n = match uninterrupted(|| connection.stream.try_read(&mut scratch)) {
            Ok(0) => return false,
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
            Err(_) => return false,
        };
        let inputs = self.receive(connection, &scratch[..n]);
        drop(scratch);
        connection.inputs.borrow_mut().extend(inputs);
        let waits = !connection.session.borrow().output().is_empty();
        !waits || self.flush(connection)
    }

    /// What these bytes mean; answers that are owed at once wait to be written.
    pub(super) fn receive(&self, connection: &Rc<ClientConnection>, bytes: &[u8]) -> Vec<Input> {
        let time = self.shared.read_time();
        let mut events = Vec::new();
        {
            let mut session = connection.session.borrow_mut();
            let mut next = self.next_ticket.get();
            session.receive(bytes, time.0, (&self.catalog, self.serving.get()), &mut next, &mut events);
            self.next_ticket.set(next);
            if let Some(why) = session.unusable.take() {
                self.count(|c| c.unusable += 1);
                tracing::debug!(%why, "not taken");
            }
            if session.is_closing() {
                self.count(|c| c.unreadable += 1);
            }
        }
        self.on_client_events(connection, events, time)
    }

    /// Writes what the turn brought.
    pub fn flush_all(&self) {
        let dirty = std::mem::take(&mut *self.dirty.borrow_mut());
        for connection in dirty {
            connection.dirty.set(false);
            if !self.flush(&connection) {
                connection.over.set(true);
            }
            let session = connection.session.borrow();
            if connection.over.get() || !session.output().is_empty() || session.can_resume() {
                connection.wake.notify_one();
            }
        }
    }

    /// False once the client is gone.
    pub(super) fn flush(&self, connection: &ClientConnection) -> bool {
        let mut session = connection.session.borrow_mut();
        while !session.output().is_empty() {
            match uninterrupted(|| connection.stream.try_write(session.output())) {
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
            match uninterrupted(|| stream.try_read(&mut scratch)) {
                Ok(0) => return,
                Ok(n) => dropped += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_LIMITS.0, drop_all).await;
}
