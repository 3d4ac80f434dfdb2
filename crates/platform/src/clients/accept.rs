//! Clients accepted within bounds.

use super::{sockets, Clients, Conn};
use crate::bounds;
use crate::session::Session;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// A pause after a connection could not be accepted, so that the loop does not spin at the limit of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections looked at for one that makes way.
const VICTIMS_MOST: usize = 8;

impl Clients {
    /// Accepts until dropped.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if self.admit(stream) {
                        // The connection that made way must be let go of first.
                        tokio::task::yield_now().await;
                    }
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    pub(super) fn admit(self: &Rc<Self>, stream: TcpStream) -> bool {
        let full = self.conns.borrow().len() >= self.bounds.clients;
        if full {
            let Some(conn) = self.victim() else {
                self.count(|c| c.not_admitted += 1);
                return true;
            };
            self.count(|c| c.made_way += 1);
            conn.over.set(true);
            conn.wake.notify_one();
        }
        if stream.set_nodelay(true).is_err() {
            return full;
        }
        self.count(|c| c.accepted += 1);
        let id = self.next_conn.get() + 1;
        self.next_conn.set(id);
        let session = RefCell::new(Session::new(self.shared.clock.now()));
        let [over, silent, dirty] = [false; 3].map(Cell::new);
        let (news, wake) = (RefCell::default(), Notify::new());
        let conn = Rc::new(Conn { id, session, stream, news, wake, over, silent, dirty });
        self.conns.borrow_mut().insert(id, conn.clone());
        tokio::task::spawn_local(self.clone().talk(conn));
        full
    }

    /// The connection that makes way, no longer listed; none in whose socket something lies, as that may be a request.
    fn victim(&self) -> Option<Rc<Conn>> {
        let mut passed = Vec::new();
        for _ in 0..VICTIMS_MOST {
            let conns = self.conns.borrow();
            let open = conns.values().filter(|c| !passed.contains(&c.id));
            let id = bounds::victim(open.map(|c| (c.id, c.session.borrow().seen())))?;
            if conns.get(&id).is_some_and(|c| !sockets::has_unread(&c.stream)) {
                drop(conns);
                return self.conns.borrow_mut().remove(&id);
            }
            passed.push(id);
        }
        None
    }
}
