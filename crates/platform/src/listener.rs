//! The listener of the clients, and since when the connections in its queue may have waited there.

use crate::read_turns::ReadTurns;
use crate::sockets::into_stream;
use socket2::SockRef;
use stagehoist::Micros;
use stagehoist_gateway::clock::Clock;
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::coop::has_budget_remaining;

/// Maximum number of connections in the listener's queue: the system's own maximum by default. Many clients may connect
/// while this process does not run, and the system sends again only after a second what does not fit.
pub const MAX_BACKLOG: usize = 4096;
/// Maximum number of consecutive failures to accept: connections aborted by the peer, or a lack of resources in the
/// system.
const MAX_ACCEPT_FAILURES: usize = 64;

/// A new connection.
#[derive(Debug)]
pub struct Accepted {
    pub stream: TcpStream,
    /// The earliest time at which it may have been established.
    pub since: Micros,
}

/// The listener of the clients.
pub struct Listener {
    socket: TcpListener,
    clock: Clock,
    /// The earliest time at which the connections in the queue may have been established.
    queued_since: Cell<Micros>,
    /// The queue was found empty since the last connection was accepted.
    was_empty: Cell<bool>,
}

impl Listener {
    /// Listens at an address.
    pub fn bind(address: SocketAddr, clock: Clock) -> io::Result<Listener> {
        Listener::from_std(std::net::TcpListener::bind(address)?, clock)
    }

    /// Takes over a socket that listens from now on, and gives it a queue of [`MAX_BACKLOG`] connections.
    pub fn from_std(socket: std::net::TcpListener, clock: Clock) -> io::Result<Listener> {
        // Listening again changes only the length of the queue.
        SockRef::from(&socket).listen(MAX_BACKLOG as i32)?;
        socket.set_nonblocking(true)?;
        let queued_since = Cell::new(clock.now());
        Ok(Listener {
            socket: TcpListener::from_std(socket)?,
            clock,
            queued_since,
            was_empty: Cell::new(false),
        })
    }

    /// Returns the address at which it listens.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits for a connection.
    pub async fn accept(&self, turns: &ReadTurns) -> io::Result<Accepted> {
        let (stream, _) = poll_fn(|context| self.poll_accept(context)).await?;
        if self.was_empty.take() {
            let arrived_since = turns.input_since(self.clock.now());
            self.queued_since.set(self.queued_since.get().max(arrived_since));
        }
        Ok(self.accepted(stream))
    }

    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
        let polled = self.socket.poll_accept(context);
        // A task that has used up its budget has to wait although a connection may be there.
        if polled.is_pending() && has_budget_remaining() {
            self.was_empty.set(true);
        }
        polled
    }

    /// Returns the next connection of the queue, if there is one and it can be accepted at once.
    pub fn try_accept(&self) -> Option<Accepted> {
        let before = self.clock.now();
        let accepted = self.accept_now();
        if matches!(&accepted, Err(error) if error.kind() == io::ErrorKind::WouldBlock) {
            self.queued_since.set(before);
        }
        accepted.ok()
    }

    /// Returns the next connection of the queue, if any. A connection that the peer aborted, or a transient lack of
    /// resources in the system, does not hide those behind it.
    pub fn accept_last(&self) -> Option<Accepted> {
        for _ in 0..MAX_ACCEPT_FAILURES {
            match self.accept_now() {
                Ok(accepted) => return Some(accepted),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                Err(_) => {}
            }
        }
        None
    }

    /// Accepts without the runtime, which knows only of connections that arrived before it last polled the sockets.
    fn accept_now(&self) -> io::Result<Accepted> {
        let (socket, _) = SockRef::from(&self.socket).accept()?;
        Ok(self.accepted(into_stream(socket)?))
    }

    fn accepted(&self, stream: TcpStream) -> Accepted {
        Accepted { stream, since: self.queued_since.get() }
    }
}
