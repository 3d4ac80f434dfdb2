//! Client sockets: accepts them within bounds, reads them into sessions, and writes answers in the batch that
//! produces them.

mod accept;
mod calls;
mod cancelled;
mod exchange;
mod finish;

use crate::bounds::Bounds;
use crate::log_interval::LogInterval;
use crate::read_turns::Turn;
use crate::recent_ids::RecentIds;
use crate::session::{Catalog, MessageCounts, Session};
pub use crate::shared::Shared;
use crate::sockets;
use stagehoist::Micros;
use stagehoist_gateway::state::{Input, Ticket};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Minimum interval between log lines about limited connections.
const LIMITED_LOG_INTERVAL: Duration = Duration::from_millis(100);

struct ClientConnection {
    id: u64,
    session: RefCell<Session>,
    stream: TcpStream,
    /// Inputs that were read and not yet passed to the driver, in order.
    inputs: RefCell<VecDeque<Input>>,
    wake: Notify,
    /// The client is gone or does not read its answers.
    is_gone: Cell<bool>,
    /// The client seems inactive; its socket is read once more before the connection is closed.
    is_inactive: Cell<bool>,
    dirty: Cell<bool>,
    /// The client, of which no request was served yet, sends more than is read at once.
    fills_reads: Cell<bool>,
    /// The connection's right to read.
    turn: Rc<Turn>,
    /// What the client has sent.
    received: Cell<MessageCounts>,
}

struct AcceptedCall {
    connection: Rc<ClientConnection>,
    reference: u64,
    bytes: usize,
    /// The call must never run twice.
    is_non_idempotent: bool,
}

/// Counters of client connections and requests, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounters {
    pub accepted: u64,
    pub released: u64,
    pub not_admitted: u64,
    /// Connections that the system failed to accept.
    pub not_accepted: u64,
    pub unusable: u64,
    pub unreadable: u64,
    pub rejected_at_intake: u64,
    /// Connections that sent so many messages without effect that they were limited.
    pub limited: u64,
}

/// All clients of a front end.
pub struct Clients {
    shared: Rc<Shared>,
    catalog: Catalog,
    bounds: Bounds,
    conns: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    calls: RefCell<HashMap<Ticket, AcceptedCall>>,
    references: RefCell<HashMap<u64, Ticket>>,
    /// Ids of ended calls that may have run and must not run again.
    ended_ids: RefCell<RecentIds>,
    /// When each call was cancelled or its client disconnected. An entry is kept while a part of the call may still
    /// be queued for writing.
    cancelled: RefCell<HashMap<Ticket, Micros>>,
    held_bytes: Cell<usize>,
    next_ticket: Cell<Ticket>,
    next_conn: Cell<u64>,
    serving: Cell<bool>,
    /// While draining: when the process exits at the latest.
    exit_by: Cell<Option<Micros>>,
    accepts_requests: Cell<bool>,
    /// Number of connections that are closed but still being read.
    lingering: Cell<usize>,
    /// Notified when a connection's output is completely written or the connection ended.
    written: Notify,
    dirty: RefCell<Vec<Rc<ClientConnection>>>,
    /// Bounds the log lines about limited connections.
    limited_log: LogInterval,
    pub counters: Cell<ClientCounters>,
}

impl Clients {
    /// Creates the set of clients, without connections.
    pub fn new(shared: Rc<Shared>, catalog: Catalog, bounds: Bounds) -> Clients {
        Clients {
            shared,
            catalog,
            bounds,
            conns: RefCell::default(),
            calls: RefCell::default(),
            references: RefCell::default(),
            ended_ids: RefCell::default(),
            cancelled: RefCell::default(),
            held_bytes: Cell::new(0),
            next_ticket: Cell::new(0),
            next_conn: Cell::new(0),
            serving: Cell::new(false),
            exit_by: Cell::new(None),
            accepts_requests: Cell::new(true),
            lingering: Cell::new(0),
            written: Notify::new(),
            dirty: RefCell::default(),
            limited_log: LogInterval::new(LIMITED_LOG_INTERVAL),
            counters: Cell::default(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut ClientCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Sets the status that HEALTH requests are answered with.
    pub fn serve(&self, serving: bool) {
        self.serving.set(serving);
    }

    /// Whether HEALTH requests are answered with `serving`.
    pub fn is_serving(&self) -> bool {
        self.serving.get()
    }

    /// Sets the time by which the process exits; calls that arrive now get no deadline beyond it.
    pub fn set_exit_deadline(&self, at: Micros) {
        self.exit_by.set(Some(at));
    }

    /// Rejects new requests from now on.
    pub fn stop_accepting(&self) {
        self.accepts_requests.set(false);
    }

    /// Returns the number of unanswered requests and of connections with unsent output.
    pub fn unfinished(&self) -> (usize, usize) {
        let conns = self.conns.borrow();
        (
            self.calls.borrow().len(),
            conns.values().filter(|c| !c.session.borrow().output().is_empty()).count(),
        )
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.conns.borrow().len()
    }

    /// Returns once a connection's output is completely written or a connection ended.
    pub async fn written(&self) {
        self.written.notified().await;
    }

    /// Closes connections of inactive clients.
    pub fn on_tick(&self) {
        self.forget_cancelled();
        let now = self.shared.clock.now();
        self.ended_ids.borrow_mut().purge(now);
        for connection in self.conns.borrow().values() {
            let awaits_turn = connection.turn.is_waiting();
            if awaits_turn && sockets::is_read_closed(&connection.stream) {
                connection.is_gone.set(true);
                connection.wake.notify_one();
            }
            let (expired, stuck) = {
                let session = connection.session.borrow();
                // A client whose input waits for a turn is not inactive.
                let is_stuck = session.is_stuck(now);
                (is_stuck || (session.is_expired(now) && !awaits_turn), is_stuck)
            };
            if expired {
                // An inactive one is read once more before it is closed.
                let flag = if stuck { &connection.is_gone } else { &connection.is_inactive };
                flag.set(true);
                connection.wake.notify_one();
            }
        }
    }
}
