//! Serves one client's connection: reads it into its session, writes answers, and closes it in order.

use super::{finish::ReadState, ClientConnection, Clients};
use crate::read_turns::ReadCost;
use crate::session::MessageCounts;
use crate::shared::Shared;
use crate::sockets::{self, uninterrupted};
use stagehoist::Micros;
use stagehoist_gateway::state::Input;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// After a protocol error a connection is still read for this time and this many bytes, so that the error answer
/// reaches the client.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_LINGER_BYTES: usize = 1 << 20;
/// How often a connection that is not read from is checked for a close by the client.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of bytes read in one turn: some dozens of messages, or more from a client whose requests were served.
const READ_SIZE: usize = 1 << 10;
pub(super) const VERIFIED_READ_SIZE: usize = 4 << 10;

/// What a read of a client's socket led to.
pub(super) struct Received {
    pub inputs: Vec<Input>,
    pub cost: ReadCost,
}

impl Clients {
    /// Serves a connection until it ends.
    pub(super) async fn serve_connection(self: Rc<Self>, connection: Rc<ClientConnection>) {
        let mut is_expired = false;
        loop {
            let (closing, write) = {
                let session = connection.session.borrow();
                (session.is_closing(), !session.output().is_empty())
            };
            if connection.is_gone.get() || is_expired || (closing && !write) {
                break;
            }
            self.wait_for_event(&connection).await;
            if connection.turn.take() && !connection.is_gone.get() && !self.read(&connection) {
                connection.is_gone.set(true);
            }
            if connection.is_inactive.take() {
                is_expired = self.is_expired_after_reading(&connection);
            }
            if connection.session.borrow().can_resume() {
                let received = self.receive(&connection, b"", self.shared.clock.now());
                connection.inputs.borrow_mut().extend(received.inputs);
            }
            self.forward_inputs(&connection).await;
        }
        self.end_connection(connection, is_expired).await;
    }

    /// Waits until there is something to do on a connection: requests a turn for its input, and writes its output.
    async fn wait_for_event(&self, connection: &ClientConnection) {
        let (read, write, closing) = {
            let session = connection.session.borrow();
            (session.wants_read(), !session.output().is_empty(), session.is_closing())
        };
        let awaits_turn = connection.turn.is_waiting();
        let held_back = !read && !closing;
        tokio::select! {
            biased;
            () = connection.wake.notified() => {}
            () = connection.turn.granted(), if awaits_turn => {}
            ready = connection.stream.writable(), if write => {
                if ready.is_err() || !self.flush(connection) {
                    connection.is_gone.set(true);
                }
            }
            ready = connection.stream.readable(), if read && !awaits_turn => match ready {
                Ok(()) => self.shared.read_turns.request(&connection.turn),
                Err(_) => connection.is_gone.set(true),
            },
            () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if held_back => {
                if sockets::is_read_closed(&connection.stream) {
                    connection.is_gone.set(true);
                }
            }
        }
    }

    /// Reads an inactive connection once more: the unread input may be the request that makes its client active again.
    /// Returns whether it is to be closed nevertheless.
    fn is_expired_after_reading(&self, connection: &Rc<ClientConnection>) -> bool {
        let mut inputs = Vec::new();
        if self.read_all(connection, &mut inputs) == ReadState::Closed {
            connection.is_gone.set(true);
        }
        connection.inputs.borrow_mut().extend(inputs);
        connection.session.borrow().is_expired(self.shared.clock.now())
    }

    /// Cancels the open requests of a connection, and closes it.
    async fn end_connection(&self, connection: Rc<ClientConnection>, is_expired: bool) {
        self.conns.borrow_mut().remove(&connection.id);
        self.shared.read_turns.remove(&connection.turn);
        let mut events = Vec::new();
        let in_order = is_expired || connection.session.borrow().is_closing();
        let lingers = in_order && !connection.is_gone.get() && self.lingering.get() < self.bounds.clients / 4;
        connection.session.borrow_mut().close(&mut events);
        let inputs = self.on_client_events(&connection, events, self.shared.read_time());
        connection.inputs.borrow_mut().extend(inputs);
        self.forward_inputs(&connection).await;
        if lingers {
            self.lingering.set(self.lingering.get() + 1);
            linger(&connection.stream, &self.shared).await;
            self.lingering.set(self.lingering.get() - 1);
        }
        self.written.notify_one();
        drop(connection);
        self.shared.descriptors.freed();
    }

    async fn forward_inputs(&self, connection: &ClientConnection) {
        loop {
            let Some(item) = connection.inputs.borrow_mut().pop_front() else { return };
            // If the driver has ended, inputs can be dropped.
            let _ = self.shared.inputs.send(item).await;
        }
    }

    /// Reads once. Returns false once the client is gone.
    fn read(&self, connection: &Rc<ClientConnection>) -> bool {
        let size = {
            let session = connection.session.borrow();
            if !session.wants_read() {
                return true;
            }
            let usual = if session.is_verified() { VERIFIED_READ_SIZE } else { READ_SIZE };
            // The rest of a large string costs little more than a part of it, and contains no other message.
            usual.max(session.missing_bytes())
        };
        let mut read_buffer = self.shared.read_buffer.borrow_mut();
        let n = match uninterrupted(|| connection.stream.try_read(&mut read_buffer[..size])) {
            Ok(0) => return false,
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
            Err(_) => return false,
        };
        connection.fills_reads.set(size == READ_SIZE && n == size);
        let waited_since = connection.turn.input_since();
        let received = self.receive(connection, &read_buffer[..n], waited_since);
        drop(read_buffer);
        connection.inputs.borrow_mut().extend(received.inputs);
        let has_output = !connection.session.borrow().output().is_empty();
        !has_output || self.flush(connection)
    }

    /// Parses bytes, which were in the socket at `waited_since`, into inputs for the driver; immediate answers are
    /// queued for writing.
    pub(super) fn receive(
        &self,
        connection: &Rc<ClientConnection>,
        bytes: &[u8],
        waited_since: Micros,
    ) -> Received {
        let (now, late) = self.shared.read_time();
        let time = (now, late.max(now - waited_since));
        let mut events = Vec::new();
        {
            let mut session = connection.session.borrow_mut();
            let mut next = self.next_ticket.get();
            session.receive(bytes, time.0, (&self.catalog, self.serving.get()), &mut next, &mut events);
            self.next_ticket.set(next);
            if let Some(why) = session.request_error.take() {
                self.count(|c| c.unusable += 1);
                tracing::debug!(%why, "client request rejected as malformed");
            }
            if session.is_closing() {
                self.count(|c| c.unreadable += 1);
            }
        }
        let inputs = self.on_client_events(connection, events, time);
        let cost = self.charge(connection, bytes.len());
        Received { inputs, cost }
    }

    /// Charges the connection's turn with the messages that were just parsed, and reports a connection that is limited
    /// from now on.
    fn charge(&self, connection: &ClientConnection, bytes: usize) -> ReadCost {
        let counts = connection.session.borrow_mut().take_counts();
        let mut received = connection.received.get();
        received.add(&counts);
        connection.received.set(received);
        let cost = ReadCost { bytes, messages: counts.messages, unproductive: counts.without_effect() };
        if self.shared.read_turns.charge(&connection.turn, cost) {
            self.count(|c| c.limited += 1);
            self.report_limited(connection, &received);
        }
        cost
    }

    fn report_limited(&self, connection: &ClientConnection, received: &MessageCounts) {
        if !self.limited_log.may_log() {
            return;
        }
        let peer = connection.stream.peer_addr().map(|address| address.to_string()).unwrap_or_default();
        tracing::warn!(
            connection = connection.id,
            peer,
            messages = received.messages,
            effective = received.effective,
            health_checks = received.health_checks,
            malformed = received.malformed,
            excessive = received.excessive,
            limited = self.counters.get().limited,
            "client connection limited: too many messages without effect"
        );
    }

    /// Writes the answers that the batch produced.
    pub fn flush_all(&self) {
        let dirty = std::mem::take(&mut *self.dirty.borrow_mut());
        for connection in dirty {
            connection.dirty.set(false);
            if !self.flush(&connection) {
                connection.is_gone.set(true);
            }
            let session = connection.session.borrow();
            if connection.is_gone.get() || !session.output().is_empty() || session.can_resume() {
                connection.wake.notify_one();
            }
        }
    }

    /// Returns false once the client is gone.
    pub(super) fn flush(&self, connection: &ClientConnection) -> bool {
        let mut session = connection.session.borrow_mut();
        while !session.output().is_empty() {
            match uninterrupted(|| connection.stream.try_write(session.output())) {
                Ok(n) => session.on_written(n, self.shared.clock.now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        self.written.notify_one();
        true
    }
}

/// Shuts down writing, and discards further input for a while: closing a socket with unread input would send a reset,
/// which can overtake the answer.
async fn linger(stream: &TcpStream, shared: &Shared) {
    sockets::shutdown_write(stream);
    let drop_all = async {
        let mut dropped = 0;
        while dropped < MAX_LINGER_BYTES && stream.readable().await.is_ok() {
            let mut read_buffer = shared.read_buffer.borrow_mut();
            match uninterrupted(|| stream.try_read(&mut read_buffer)) {
                Ok(0) => return,
                Ok(n) => dropped += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drop_all).await;
}
