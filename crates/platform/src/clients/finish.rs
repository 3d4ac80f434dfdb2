//! The end of a process: whatever reached it whole is answered, and no close resets what was written.

use super::{ClientConnection, Clients};
use crate::sockets;
use stagehoist_gateway::state::{Answer, Input, Ticket};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Connections looked for in the listener's line at most: as many as the system lets wait there.
const MAX_WAITING: usize = 4096;
/// Reads of one socket in a row at most, as some clients never cease to write.
const MAX_READS: usize = 64;
/// How long clients are given to take what was written and to close.
const CLOSING: Duration = Duration::from_millis(60);

/// What a client's socket is found to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Socket {
    /// Read to its end.
    Dry,
    /// More lies there than is read.
    Unread,
    /// The client is gone.
    Over,
}

impl Clients {
    /// Refuses whatever lies whole in a socket, also of connections that no one accepted yet, then says on each that nothing
    /// more is written, and goes on reading for a while: a close over unread bytes would reset what was written.
    pub async fn finish(self: &Rc<Self>, listener: &TcpListener) {
        self.stop_taking();
        // They never reached the module, as its line was full.
        let left: Vec<Ticket> = self.calls.borrow().keys().copied().collect();
        for ticket in left {
            self.answer(ticket, &Answer::Refused { reason: "front-end-ends", retry_after: 0 });
        }
        self.flush_all();
        self.answer_unread();
        for stream in std::iter::from_fn(|| sockets::accept(listener)).take(MAX_WAITING) {
            self.admit(stream);
        }
        self.answer_unread();
        for connection in self.conns.borrow().values() {
            // What waits for its client is written first. Nothing is open any more.
            connection.session.borrow_mut().close(&mut Vec::new());
            connection.wake.notify_one();
        }
        let all_closed = async {
            while self.connections() + self.lingering.get() > 0 {
                self.written.notified().await;
            }
        };
        // Those that stay open end with the process.
        let _ = tokio::time::timeout(CLOSING, all_closed).await;
    }

    fn answer_unread(self: &Rc<Self>) {
        let conns: Vec<Rc<ClientConnection>> = self.conns.borrow().values().cloned().collect();
        for connection in conns.iter().filter(|c| !c.over.get()) {
            // The driver is over: what is left to say is refused here, and it needs no inputs.
            if self.read_all(connection, &mut Vec::new()) == Socket::Over || !self.write_all(connection) {
                connection.over.set(true);
            }
        }
    }

    /// Reads what lies in the socket now, as far as it is to be read.
    pub(super) fn read_all(&self, connection: &Rc<ClientConnection>, inputs: &mut Vec<Input>) -> Socket {
        for _ in 0..MAX_READS {
            if !connection.session.borrow().wants_read() {
                break;
            }
            let mut scratch = self.shared.scratch.borrow_mut();
            match sockets::read(&connection.stream, &mut scratch) {
                Ok(0) => return Socket::Over,
                Ok(n) => inputs.extend(self.receive(connection, &scratch[..n])),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Socket::Dry,
                Err(_) => return Socket::Over,
            }
        }
        if sockets::has_unread(&connection.stream) {
            Socket::Unread
        } else {
            Socket::Dry
        }
    }

    /// False once the client is gone.
    fn write_all(&self, connection: &ClientConnection) -> bool {
        let mut session = connection.session.borrow_mut();
        while !session.output().is_empty() {
            match sockets::write(&connection.stream, session.output()) {
                Ok(n) => session.wrote(n, self.shared.clock.now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }
}
