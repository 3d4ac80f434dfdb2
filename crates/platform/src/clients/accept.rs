//! Clients accepted within bounds.

use super::{ClientConnection, Clients};
use crate::bounds;
use crate::descriptors::{is_want, DescriptorHolder, Refusal};
use crate::poll_times::{TaskKind, TimedTask};
use crate::session::Session;
use crate::sockets;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Connections looked at for one that is evicted.
const MAX_VICTIMS: usize = 8;

impl Clients {
    /// Accepts until dropped.
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
                        // The connection that made way must be let go of first.
                        tokio::task::yield_now().await;
                    }
                }
                Err(error) => {
                    self.count(|c| c.not_accepted += 1);
                    // The system takes a descriptor before it looks whether anyone is in line: after the last newcomer one
                    // more connection is evicted, and its descriptor is in hand for the next.
                    if is_want(&error) {
                        descriptors.refused(Refusal::Client);
                        descriptors.release_one();
                    }
                    // A pause whatever became of it, so that the loop does not spin at the limit of descriptors.
                    descriptors.wait_last().await;
                }
            }
        }
    }

    pub(super) fn admit(self: &Rc<Self>, stream: TcpStream) -> bool {
        let full = self.open_connections() >= self.bounds.clients;
        if full && !self.release_one() {
            self.count(|c| c.not_admitted += 1);
            return true;
        }
        if stream.set_nodelay(true).is_err() {
            return full;
        }
        self.count(|c| c.accepted += 1);
        let id = self.next_conn.get() + 1;
        self.next_conn.set(id);
        let session = RefCell::new(Session::new(self.shared.clock.now()));
        let [over, silent, dirty] = [false; 3].map(Cell::new);
        let (inputs, wake) = (RefCell::default(), Notify::new());
        let connection = Rc::new(ClientConnection { id, session, stream, inputs, wake, over, silent, dirty });
        self.conns.borrow_mut().insert(id, connection.clone());
        let talking = self.clone().talk(connection);
        tokio::task::spawn_local(TimedTask::new(TaskKind::Clients, self.shared.clone(), talking));
        full
    }

    /// The connection that is evicted, no longer listed; none in whose socket something lies, as that may be a request.
    fn victim(&self) -> Option<Rc<ClientConnection>> {
        let (mut passed, now) = (Vec::new(), self.shared.clock.now());
        for _ in 0..MAX_VICTIMS {
            let conns = self.conns.borrow();
            let open = conns.values().filter(|c| !passed.contains(&c.id));
            let id = bounds::victim(open.map(|c| (c.id, c.session.borrow().activity())), now)?;
            if conns.get(&id).is_some_and(|c| !sockets::has_unread(&c.stream)) {
                drop(conns);
                return self.conns.borrow_mut().remove(&id);
            }
            passed.push(id);
        }
        None
    }
}

impl DescriptorHolder for Clients {
    /// Those that are closed and read on for a while hold theirs too.
    fn open_connections(&self) -> usize {
        self.connections() + self.lingering.get()
    }

    fn release_one(&self) -> bool {
        let Some(connection) = self.victim() else { return false };
        self.count(|c| c.released += 1);
        connection.over.set(true);
        connection.wake.notify_one();
        true
    }
}
