//! Clients' sockets: accepted within bounds, read into sessions, answers written in the turn that brings them.

mod accept;
mod calls;
mod cancelled;
mod exchange;
mod finish;

use crate::bounds::Bounds;
use crate::session::{Catalog, Session};
pub use crate::shared::Shared;
use stagehoist::Micros;
use stagehoist_gateway::state::{Input, Ticket};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

struct ClientConnection {
    id: u64,
    session: RefCell<Session>,
    stream: TcpStream,
    /// What was read and not passed on yet, in its order.
    inputs: RefCell<VecDeque<Input>>,
    wake: Notify,
    /// The client is gone, or takes nothing.
    over: Cell<bool>,
    /// It looks over by its own silence.
    silent: Cell<bool>,
    dirty: Cell<bool>,
}

struct AcceptedCall {
    connection: Rc<ClientConnection>,
    reference: u64,
    bytes: usize,
}

/// What was done with clients, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounters {
    pub accepted: u64,
    pub released: u64,
    pub not_admitted: u64,
    /// The system refused to accept one.
    pub not_accepted: u64,
    pub unusable: u64,
    pub unreadable: u64,
    pub rejected_at_intake: u64,
}

/// All clients of a front end.
pub struct Clients {
    shared: Rc<Shared>,
    catalog: Catalog,
    bounds: Bounds,
    conns: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    calls: RefCell<HashMap<Ticket, AcceptedCall>>,
    references: RefCell<HashMap<u64, Ticket>>,
    /// When clients cancelled what, or left over it, for as long as something of it may wait to be written.
    cancelled: RefCell<HashMap<Ticket, Micros>>,
    held_bytes: Cell<usize>,
    next_ticket: Cell<Ticket>,
    next_conn: Cell<u64>,
    serving: Cell<bool>,
    /// While draining: when the process ends at the latest, and whether new requests are still taken.
    ends: Cell<Option<Micros>>,
    taking: Cell<bool>,
    /// Connections that are closed and read on for a while.
    lingering: Cell<usize>,
    /// Something was written to its end, or a connection ended.
    written: Notify,
    dirty: RefCell<Vec<Rc<ClientConnection>>>,
    pub counters: Cell<ClientCounters>,
}

impl Clients {
    /// Clients without a connection yet.
    pub fn new(shared: Rc<Shared>, catalog: Catalog, bounds: Bounds) -> Clients {
        Clients {
            shared,
            catalog,
            bounds,
            conns: RefCell::default(),
            calls: RefCell::default(),
            references: RefCell::default(),
            cancelled: RefCell::default(),
            held_bytes: Cell::new(0),
            next_ticket: Cell::new(0),
            next_conn: Cell::new(0),
            serving: Cell::new(false),
            ends: Cell::new(None),
            taking: Cell::new(true),
            lingering: Cell::new(0),
            written: Notify::new(),
            dirty: RefCell::default(),
            counters: Cell::default(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut ClientCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// HEALTH is answered so from now on.
    pub fn serve(&self, serving: bool) {
        self.serving.set(serving);
    }

    /// Whether new requests are accepted.
    pub fn is_serving(&self) -> bool {
        self.serving.get()
    }

    /// The process ends by then: calls that come now are given no more time.
    pub fn ends_by(&self, at: Micros) {
        self.ends.set(Some(at));
    }

    /// New requests are refused from now on.
    pub fn stop_taking(&self) {
        self.taking.set(false);
    }

    /// Requests that wait for their answer, and connections that wait to be written.
    pub fn unfinished(&self) -> (usize, usize) {
        let conns = self.conns.borrow();
        (
            self.calls.borrow().len(),
            conns.values().filter(|c| !c.session.borrow().output().is_empty()).count(),
        )
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.conns.borrow().len()
    }

    /// Returns once something was written to its end or a connection ended.
    pub async fn written(&self) {
        self.written.notified().await;
    }

    /// Closes connections whose clients are silent.
    pub fn on_tick(&self) {
        self.forget_cancelled();
        let now = self.shared.clock.now();
        for connection in self.conns.borrow().values() {
            let (over, stuck) = {
                let session = connection.session.borrow();
                (session.is_over(now), session.is_stuck(now))
            };
            if over {
                // A silent one is read once more before it is closed.
                let why = if stuck { &connection.over } else { &connection.silent };
                why.set(true);
                connection.wake.notify_one();
            }
        }
    }
}
