//! Accepts client connections within the bounds.

use super::{ClientConnection, Clients};
use crate::bounds;
use crate::descriptors::{is_descriptor_limit, DescriptorHolder, DescriptorUse};
use crate::poll_times::{TaskKind, TimedTask};
use crate::session::Session;
use crate::sockets;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Maximum number of connections checked for one that can be evicted.
const MAX_EVICTION_CANDIDATES: usize = 8;

impl Clients {
    /// Accepts connections until dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let descriptors = &self.shared.descriptors;
        loop {
            let accepted = tokio::select! {
                biased;
                () = descriptors.changed() => {
                    descriptors.executors_first().await;
                    continue;
                }
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    if self.admit(stream) {
                        // The evicted connection must be closed before the next one is accepted.
                        tokio::task::yield_now().await;
                    }
                }
                Err(error) => {
                    self.count(|c| c.not_accepted += 1);
                    // The system allocates a descriptor before it checks whether a connection is pending. So one more
                    // connection is evicted after the last new one, and its descriptor is available for the next.
                    if is_descriptor_limit(&error) {
                        descriptors.refused(DescriptorUse::Client);
                        descriptors.release_one();
                    }
                    // Wait in any case, so that the loop does not spin at the descriptor limit.
                    descriptors.wait_last().await;
                }
            }
        }
    }

    pub(super) fn admit(self: &Rc<Self>, stream: TcpStream) -> bool {
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
        let session = RefCell::new(Session::new(self.shared.clock.now()));
        let [is_gone, is_inactive, dirty] = [false; 3].map(Cell::new);
        let (inputs, wake) = (RefCell::default(), Notify::new());
        let connection =
            Rc::new(ClientConnection { id, session, stream, inputs, wake, is_gone, is_inactive, dirty });
        self.conns.borrow_mut().insert(id, connection.clone());
        let serving = self.clone().serve_connection(connection);
        tokio::task::spawn_local(TimedTask::new(TaskKind::Clients, self.shared.clone(), serving));
        is_full
    }

    /// Unlists and returns the connection to evict. Connections with unread input are skipped, because that input may
    /// be a request.
    fn take_victim(&self) -> Option<Rc<ClientConnection>> {
        let (mut skipped, now) = (Vec::new(), self.shared.clock.now());
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
