//! One connection to an executor: its handshake, reads, writes and end.

use super::Executors;
use crate::connection::{Closure, ConnectionState, ProtocolViolation};
use crate::read_turns::{ReadCost, Turn};
use crate::sockets::{self, uninterrupted};
use stagehoist::{Micros, WorkerId};
use stagehoist_gateway::state::Input;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum number of bytes read from a connection after it ended.
const MAX_UNREAD_INPUT: usize = 4 << 20;
/// Number of bytes read in one turn.
const READ_SIZE: usize = 16 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Connecting,
    Open,
    /// The connection accepts nothing more; `Closure` tells how it ended.
    Closed(Closure),
}

/// One connection to an executor.
pub(super) struct Connection {
    pub worker: WorkerId,
    pub protocol: RefCell<ConnectionState>,
    pub stream: RefCell<Option<Rc<TcpStream>>>,
    pub wake: Notify,
    pub state: Cell<State>,
    /// When it was established, at the latest; set once it is open.
    pub established_at: Cell<Micros>,
    pub dirty: Cell<bool>,
    /// The executor has a new address; this connection accepts nothing new.
    pub has_moved: Cell<bool>,
    /// The connection's right to read.
    pub turn: Rc<Turn>,
}

impl Connection {
    /// Whether it accepts no new requests although it may be open.
    pub fn accepts_none(&self) -> bool {
        let protocol = self.protocol.borrow();
        self.has_moved.get() || protocol.is_silent() || protocol.is_truncated()
    }

    /// Returns when it was established, if it is open and accepts new requests.
    pub fn open_since(&self) -> Option<Micros> {
        let is_usable = self.state.get() == State::Open && !self.accepts_none();
        is_usable.then(|| self.established_at.get())
    }

    /// Marks the connection as ended and wakes its task.
    pub fn end(&self, closure: Closure) {
        if !matches!(self.state.get(), State::Closed(_)) {
            self.state.set(State::Closed(closure));
        }
        self.wake.notify_one();
    }

    /// Lets the system send what it still holds after the socket is closed, if nothing of that could start a request.
    pub fn release_settled(&self) {
        if let Some(stream) = self.stream.borrow().as_ref().filter(|_| self.protocol.borrow().is_settled()) {
            sockets::close_in_order(stream);
        }
    }
}

impl Executors {
    pub(super) async fn serve_connection(self: Rc<Self>, connection: Rc<Connection>, address: Rc<str>) {
        let (stream, is_local_failure) = self.handshake(&connection, &address).await;
        match stream.filter(|s| s.set_nodelay(true).is_ok() && connection.state.get() == State::Connecting) {
            None => {
                self.count(|c| c.not_up += 1);
                connection.state.set(State::Closed(if is_local_failure {
                    Closure::LocalFailure
                } else {
                    Closure::NotConnected
                }));
            }
            Some(stream) => {
                self.count(|c| c.connected += 1);
                // However the connection or this process ends, the system sends no more of what it still holds.
                let _ = stream.set_zero_linger();
                let stream = Rc::new(stream);
                *connection.stream.borrow_mut() = Some(stream.clone());
                self.note_connected(&connection);
                self.yield_to_pending_reads().await;
                self.flush(&connection);
                self.forward_queued_inputs();
                self.exchange(&connection, &stream).await;
            }
        }
        self.on_connection_ended(&connection).await;
    }

    async fn exchange(&self, connection: &Rc<Connection>, stream: &TcpStream) {
        let mut inputs = Vec::new();
        while connection.state.get() == State::Open {
            let wants_write = connection.protocol.borrow().wants_write();
            let timeout = connection.protocol.borrow().next_timeout(self.limits.load_timeout);
            let times_out_at = self.shared.clock.instant(timeout.unwrap_or_default());
            let mut is_writable = false;
            let awaits_turn = connection.turn.is_waiting();
            tokio::select! {
                biased;
                () = connection.wake.notified() => {}
                () = connection.turn.granted(), if awaits_turn => {}
                ready = stream.readable(), if !awaits_turn => match ready {
                    Ok(()) => self.shared.read_turns.request(&connection.turn),
                    Err(_) => connection.end(Closure::Broken),
                },
                ready = stream.writable(), if wants_write => match ready {
                    Ok(()) => is_writable = true,
                    Err(_) => connection.end(Closure::Broken),
                },
                () = tokio::time::sleep_until(times_out_at), if timeout.is_some() => {
                    self.expire(connection, stream, &mut inputs);
                }
            }
            if connection.turn.take() && connection.state.get() == State::Open {
                self.read(connection, stream, &mut inputs);
            }
            if is_writable {
                self.yield_to_pending_reads().await;
                self.flush(connection);
                self.forward_queued_inputs();
            }
            self.forward_inputs(&mut inputs).await;
        }
        if connection.state.get() == State::Closed(Closure::Broken) {
            // A write may detect the end before the answers received ahead of it were read.
            self.read_remaining(connection, stream, &mut inputs);
            self.forward_inputs(&mut inputs).await;
        }
    }

    /// Handles the timeout of a load order or of an abandoned request: reads the pending input first, then closes the
    /// connection or withdraws the order.
    fn expire(&self, connection: &Connection, stream: &TcpStream, inputs: &mut Vec<Input>) {
        self.read_remaining(connection, stream, inputs);
        let now = self.shared.clock.now();
        let result = self.expire_exchanges(&mut connection.protocol.borrow_mut(), now, inputs);
        if let Err(violation) = result {
            self.close_expired(connection, violation);
        }
    }

    fn expire_exchanges(
        &self,
        protocol: &mut ConnectionState,
        now: Micros,
        inputs: &mut Vec<Input>,
    ) -> Result<(), ProtocolViolation> {
        protocol.expire(now, self.limits.connect_timeout, self.limits.load_timeout, inputs)
    }

    fn close_expired(&self, connection: &Connection, violation: ProtocolViolation) {
        if violation == ProtocolViolation::Unconfirmed {
            self.count(|c| c.unconfirmed += 1);
        }
        tracing::debug!(worker = format!("s-{:08x}", connection.worker), why = %violation, "closing a connection to an executor");
        connection.end(Closure::ProtocolViolated);
    }

    /// After a stall of this process, the input of the other sockets (above all a drain) is read and processed before
    /// any queued request is written: one yield to read them, one for the driver, and one for sockets that had more
    /// to read.
    async fn yield_to_pending_reads(&self) {
        if self.shared.read_time().1 > 0 {
            for _ in 0..3 {
                tokio::task::yield_now().await;
            }
        }
    }

    async fn forward_inputs(&self, inputs: &mut Vec<Input>) {
        self.remove_ended(inputs);
        for item in inputs.drain(..) {
            // If the driver has ended, inputs can be dropped.
            let _ = self.shared.inputs.send(item).await;
        }
    }

    fn read(&self, connection: &Connection, stream: &TcpStream, inputs: &mut Vec<Input>) {
        let mut read_buffer = self.shared.read_buffer.borrow_mut();
        match uninterrupted(|| stream.try_read(&mut read_buffer[..READ_SIZE])) {
            Ok(0) => connection.end(Closure::Broken),
            Ok(n) => {
                self.receive(connection, &read_buffer[..n], inputs);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => connection.end(Closure::Broken),
        }
    }

    fn receive(&self, connection: &Connection, bytes: &[u8], inputs: &mut Vec<Input>) -> bool {
        let (now, late) = self.shared.read_time();
        let mut protocol = connection.protocol.borrow_mut();
        let result = protocol.receive(bytes, (now, now - late), &self.limits.report_fields, inputs);
        let cost = ReadCost { bytes: bytes.len(), messages: protocol.take_answer_count(), unproductive: 0 };
        self.shared.read_turns.charge(&connection.turn, cost);
        if protocol.is_spent() {
            connection.end(Closure::ProtocolViolated);
        }
        if let Err(why) = result {
            tracing::debug!(worker = format!("s-{:08x}", connection.worker), %why, "executor violated the protocol; closing its connection");
            connection.end(Closure::ProtocolViolated);
        }
        result.is_ok()
    }

    /// Reads the pending input of a connection that ended, from the socket itself: the runtime may not know of it
    /// yet.
    fn read_remaining(&self, connection: &Connection, stream: &TcpStream, inputs: &mut Vec<Input>) {
        let mut read_buffer = self.shared.read_buffer.borrow_mut();
        let mut remaining = MAX_UNREAD_INPUT;
        while let Ok(n) = sockets::read(stream, &mut read_buffer) {
            remaining = remaining.saturating_sub(n);
            if n == 0 || remaining == 0 || !self.receive(connection, &read_buffer[..n], inputs) {
                return;
            }
        }
    }

    /// Marks the connection as open, and reports it if it is the oldest one to its executor.
    fn note_connected(&self, connection: &Connection) {
        connection.established_at.set(self.shared.clock.now());
        connection.state.set(State::Open);
        self.report_connection(connection.worker);
    }

    async fn on_connection_ended(&self, connection: &Rc<Connection>) {
        let closure = match connection.state.get() {
            State::Closed(closure) => closure,
            _ => Closure::Broken,
        };
        connection.state.set(State::Closed(closure));
        if closure == Closure::Broken {
            connection.release_settled();
        }
        *connection.stream.borrow_mut() = None;
        self.shared.read_turns.remove(&connection.turn);
        if closure != Closure::LocalFailure {
            self.shared.descriptors.freed();
        }
        match closure {
            Closure::NotConnected | Closure::LocalFailure => {}
            Closure::Broken => self.count(|c| c.broken += 1),
            Closure::ProtocolViolated => self.count(|c| c.poisoned += 1),
        }
        if connection.protocol.borrow().attempts() > 0 {
            self.count(|c| c.ended_under_requests += 1);
        }
        let mut inputs = Vec::new();
        connection.protocol.borrow_mut().end(closure, self.shared.clock.now(), &mut inputs);
        self.remove_ended(&mut inputs);
        {
            let mut executors = self.executors.borrow_mut();
            if let Some(executor) = executors.get_mut(&connection.worker) {
                executor.connections.retain(|l| !Rc::ptr_eq(l, connection));
                if executor.connections.is_empty() {
                    self.connected.borrow_mut().remove(&connection.worker);
                }
                inputs.extend(executor.connection_report(connection.worker));
                if !executor.ready && executor.connections.is_empty() {
                    executors.remove(&connection.worker);
                }
            }
        }
        self.connections.set(self.connections.get().saturating_sub(1));
        for item in inputs {
            let _ = self.shared.inputs.send(item).await;
        }
    }

    /// Lets the connections on which no request may start any more end in order when the process exits.
    pub fn finish(&self) {
        self.for_each_connection(|_, connection| connection.release_settled());
    }

    /// Ends health checks, load orders and incomplete answers that timed out, and closes idle connections.
    pub fn on_tick(&self) {
        let (now, late) = self.shared.read_time();
        let limits = &self.limits;
        let mut inputs = Vec::new();
        self.for_each_connection(|executor, connection| {
            if connection.state.get() != State::Open {
                return;
            }
            let mut protocol = connection.protocol.borrow_mut();
            // After a stall of this process, its sockets are read before anything expires.
            let expired = match late {
                0 => self.expire_exchanges(&mut protocol, now, &mut inputs),
                _ => Ok(()),
            };
            let is_idle = protocol.is_idle();
            let is_unused = now - protocol.active_at() >= limits.idle_close - limits.idle_close / 8;
            drop(protocol);
            let can_close = is_idle && (is_unused || !executor.ready || connection.accepts_none());
            if let Err(violation) = expired {
                self.close_expired(connection, violation);
            } else if can_close {
                connection.end(Closure::Broken);
            }
        });
        self.queued_inputs.borrow_mut().extend(inputs);
        self.flush_all();
    }
}
