//! Ends the clients' side at process exit: every complete request is answered, and no close resets written answers.

use super::exchange::VERIFIED_READ_SIZE;
use super::{ClientConnection, Clients};
use crate::listener::{Listener, MAX_BACKLOG};
use crate::sockets;
use stagehoist::Micros;
use stagehoist_gateway::state::{Answer, Input, Ticket};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of consecutive reads of one socket, and of messages in them, because some clients never stop writing.
/// This is enough for all requests that may be open on a connection, with bodies of the maximum length.
const MAX_READS: usize = 160;
const MAX_MESSAGES: u32 = 256;
/// Maximum time for which connections are accepted at the end.
const LAST_ACCEPTS_TIMEOUT: Micros = 20_000;
/// Maximum time for which clients' sockets are read for the last time.
const LAST_READS_TIMEOUT: Micros = 30_000;
/// How long clients have to read the written answers and to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(60);

/// The state of a client's socket after reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadState {
    /// No unread input is left.
    Drained,
    /// Unread input is left.
    InputPending,
    /// The client is gone.
    Closed,
}

/// What becomes of a connection after its last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastRead {
    Open,
    Close,
}

impl Clients {
    /// Rejects every complete request in a socket, also on connections that were not accepted yet. Then shuts down
    /// writing on each connection and goes on reading for a while, because closing a socket with unread input would
    /// reset what was written.
    pub async fn finish(self: &Rc<Self>, listener: &Listener) {
        self.stop_accepting();
        // These calls never reached the module because its queue was full.
        let unanswered: Vec<Ticket> = self.calls.borrow().keys().copied().collect();
        for ticket in unanswered {
            self.answer(ticket, &Answer::Refused { reason: "front-end-ends", retry_after: 0 });
        }
        self.flush_all();
        self.answer_unread(LastRead::Open);
        self.accept_backlog(listener);
        self.answer_unread(LastRead::Close);
        for connection in self.conns.borrow().values() {
            // Pending output is written first. No request is open any more.
            connection.session.borrow_mut().close(&mut Vec::new());
            connection.wake.notify_one();
        }
        let all_closed = async {
            while self.connections() + self.lingering.get() > 0 {
                self.written.notified().await;
            }
        };
        // Connections that stay open end with the process.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, all_closed).await;
    }

    /// Accepts the connections of the listener's backlog. Clients that connect again and again may fill it all the time,
    /// so the time is limited.
    fn accept_backlog(self: &Rc<Self>, listener: &Listener) {
        let end = self.shared.clock.now() + LAST_ACCEPTS_TIMEOUT;
        for accepted in std::iter::from_fn(|| listener.accept_last()).take(MAX_BACKLOG) {
            self.admit(accepted);
            if self.shared.clock.now() >= end {
                return;
            }
        }
    }

    /// Returns the connections in the order of their last reads: clients of which a request was served, then the others,
    /// those with the most messages without effect last.
    fn last_read_order(&self, now: Micros) -> Vec<Rc<ClientConnection>> {
        let mut conns: Vec<Rc<ClientConnection>> = self.conns.borrow().values().cloned().collect();
        conns.sort_by_cached_key(|connection| {
            let is_verified = connection.session.borrow().is_verified();
            (!is_verified, self.shared.read_turns.unproductive(&connection.turn, now))
        });
        conns
    }

    /// Reads and answers each connection once more, for a limited time. With [`LastRead::Close`], each connection is
    /// closed for writing right after that: requests that cross a close are sent again by their clients only if they
    /// were sent shortly before it.
    fn answer_unread(self: &Rc<Self>, last_read: LastRead) {
        let now = self.shared.clock.now();
        let conns = self.last_read_order(now);
        let end = now + LAST_READS_TIMEOUT;
        for connection in conns.iter().filter(|c| !c.is_gone.get()) {
            if self.shared.clock.now() >= end {
                return;
            }
            // The driver has ended, so requests are rejected here and inputs can be dropped.
            if self.read_all(connection, &mut Vec::new()) == ReadState::Closed || !self.write_all(connection)
            {
                connection.is_gone.set(true);
            } else if last_read == LastRead::Close && connection.session.borrow().output().is_empty() {
                sockets::shutdown_write(&connection.stream);
            }
        }
    }

    /// Reads the pending input of a socket, as far as the session wants it.
    pub(super) fn read_all(&self, connection: &Rc<ClientConnection>, inputs: &mut Vec<Input>) -> ReadState {
        // Input that waits for a turn has been there since the turn was requested.
        let now = self.shared.clock.now();
        let waited_since = if connection.turn.is_waiting() { connection.turn.input_since() } else { now };
        let mut messages = 0;
        for _ in 0..MAX_READS {
            if messages >= MAX_MESSAGES || !connection.session.borrow().wants_read() {
                break;
            }
            let mut read_buffer = self.shared.read_buffer.borrow_mut();
            match sockets::read(&connection.stream, &mut read_buffer[..VERIFIED_READ_SIZE]) {
                Ok(0) => return ReadState::Closed,
                Ok(n) => {
                    let received = self.receive(connection, &read_buffer[..n], waited_since);
                    messages += received.cost.messages;
                    inputs.extend(received.inputs);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return ReadState::Drained,
                Err(_) => return ReadState::Closed,
            }
        }
        if sockets::has_unread(&connection.stream) {
            ReadState::InputPending
        } else {
            ReadState::Drained
        }
    }

    /// Returns false once the client is gone.
    fn write_all(&self, connection: &ClientConnection) -> bool {
        let mut session = connection.session.borrow_mut();
        while !session.output().is_empty() {
            match sockets::write(&connection.stream, session.output()) {
                Ok(n) => session.on_written(n, self.shared.clock.now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }
}
