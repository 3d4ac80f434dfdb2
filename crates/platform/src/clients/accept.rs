//! Accepts client connections within the bounds.

use super::{ClientConnection, Clients};
use crate::bounds;
use crate::descriptors::{is_descriptor_limit, DescriptorHolder, DescriptorUse};
use crate::listener::{Accepted, Listener};
use crate::poll_times::{TaskKind, TimedTask};
use crate::read_turns::{ReadCost, SourceKind, Turn};
use crate::session::Session;
use crate::sockets;
use stagehoist::Micros;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;

/// Maximum number of connections checked for one that can be evicted.
const MAX_EVICTION_CANDIDATES: usize = 8;
/// Accepting a connection costs as much as this many messages.
const ACCEPT_COST: ReadCost = ReadCost { bytes: 0, messages: 16, unproductive: 0 };
/// Maximum number of connections accepted in one turn.
const MAX_ACCEPTS: usize = 16;
/// Recent messages without effect from which a connection is evicted before idle ones.
const MIN_UNPRODUCTIVE: u32 = 16;
/// Maximum number of evicted connections that are not closed yet while more are accepted. They hold reserved
/// descriptors.
const MAX_CLOSING: usize = 8;

impl Clients {
    /// Accepts connections until dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<Listener>) {
        let descriptors = &self.shared.descriptors;
        let turns = &self.shared.read_turns;
        let turn = turns.add(SourceKind::Peer);
        let mut closing = 0;
        loop {
            turns.acquire(&turn).await;
            let accepted = tokio::select! {
                biased;
                () = descriptors.changed() => {
                    descriptors.executors_first().await;
                    continue;
                }
                accepted = listener.accept(turns) => accepted,
            };
            match accepted {
                Ok(first) => closing += self.admit_pending(first, &listener, &turn, MAX_CLOSING - closing),
                Err(error) => self.on_accept_error(&error).await,
            }
            if closing >= MAX_CLOSING {
                // Evicted connections must be closed before more are accepted.
                tokio::task::yield_now().await;
                closing = 0;
            }
        }
    }

    /// Admits a connection and those behind it: a turn may come only once in a round, and their clients wait too. Returns
    /// the number of connections that were evicted or not admitted, at which it stops once there are `max_closing`.
    fn admit_pending(
        self: &Rc<Self>,
        first: Accepted,
        listener: &Listener,
        turn: &Turn,
        max_closing: usize,
    ) -> usize {
        let mut closing = 0;
        let others = std::iter::from_fn(|| listener.try_accept()).take(MAX_ACCEPTS - 1);
        for accepted in std::iter::once(first).chain(others) {
            self.shared.read_turns.charge(turn, ACCEPT_COST);
            closing += usize::from(self.admit(accepted));
            if closing >= max_closing {
                break;
            }
        }
        closing
    }

    async fn on_accept_error(&self, error: &io::Error) {
        let descriptors = &self.shared.descriptors;
        self.count(|c| c.not_accepted += 1);
        // The system allocates a descriptor before it checks whether a connection is pending. So one more connection is
        // evicted after the last new one, and its descriptor is available for the next.
        if is_descriptor_limit(error) {
            descriptors.refused(DescriptorUse::Client);
            descriptors.release_one();
        }
        // Wait in any case, so that the loop does not spin at the descriptor limit.
        descriptors.wait_last().await;
    }

    /// Adds a connection. Returns whether another one was evicted for it, or it was not admitted.
    pub(super) fn admit(self: &Rc<Self>, accepted: Accepted) -> bool {
        let Accepted { stream, since } = accepted;
        let is_full = self.open_connections() >= self.bounds.clients;
        if is_full && !self.release_one() {
            self.count(|c| c.not_admitted += 1);
            return true;
        }
        if stream.set_nodelay(true).is_err() {
            return is_full;
        }
        self.count(|c| c.accepted += 1);
        let id = self.next_conn.get() + 1;
        self.next_conn.set(id);
        let session = RefCell::new(Session::new(self.bounds.unread_bytes, self.shared.clock.now()));
        let [is_gone, is_inactive, dirty, fills_reads] = [false; 4].map(Cell::new);
        let (inputs, wake) = (RefCell::default(), Notify::new());
        let turn = self.shared.read_turns.add(SourceKind::Client);
        if sockets::has_unread(&stream) {
            turn.set_first_input_since(since);
        }
        let received = Cell::default();
        let connection = Rc::new(ClientConnection {
            id,
            session,
            stream,
            inputs,
            wake,
            is_gone,
            is_inactive,
            dirty,
            fills_reads,
            turn,
            received,
        });
        self.conns.borrow_mut().insert(id, connection.clone());
        let serving = self.clone().serve_connection(connection);
        tokio::task::spawn_local(TimedTask::new(TaskKind::Clients, self.shared.clone(), serving));
        is_full
    }

    /// Returns the connection without open requests that has sent the most messages without effect, if it has sent
    /// more than a well-behaved client does.
    fn most_unproductive(&self, now: Micros) -> Option<u64> {
        let conns = self.conns.borrow();
        let count = |connection: &ClientConnection| {
            let open_requests = connection.session.borrow().activity().open_requests;
            if open_requests == 0 {
                self.shared.read_turns.unproductive(&connection.turn, now)
            } else {
                0
            }
        };
        let counts = conns.values().map(|connection| (count(connection), connection.id));
        counts.max().filter(|(count, _)| *count >= MIN_UNPRODUCTIVE).map(|(_, id)| id)
    }

    /// Unlists and returns the connection to evict: one with many messages without effect, else an idle one. Idle
    /// connections with unread input are skipped, because that input may be a request.
    fn take_victim(&self) -> Option<Rc<ClientConnection>> {
        let now = self.shared.clock.now();
        if let Some(unproductive) = self.most_unproductive(now) {
            return self.conns.borrow_mut().remove(&unproductive);
        }
        let mut skipped = Vec::new();
        for _ in 0..MAX_EVICTION_CANDIDATES {
            let conns = self.conns.borrow();
            let open = conns.values().filter(|c| !skipped.contains(&c.id));
            let id = bounds::victim(open.map(|c| (c.id, c.session.borrow().activity())), now)?;
            if conns.get(&id).is_some_and(|c| !sockets::has_unread(&c.stream)) {
                drop(conns);
                return self.conns.borrow_mut().remove(&id);
            }
            skipped.push(id);
        }
        None
    }
}

impl DescriptorHolder for Clients {
    /// Connections that are closed but still being read hold descriptors too.
    fn open_connections(&self) -> usize {
        self.connections() + self.lingering.get()
    }

    fn release_one(&self) -> bool {
        let Some(connection) = self.take_victim() else { return false };
        self.count(|c| c.released += 1);
        connection.is_gone.set(true);
        connection.wake.notify_one();
        true
    }
}
