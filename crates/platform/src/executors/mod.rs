//! Executors' sockets: a few connections to each, kept by its id; handshakes beside the path of calls; what an ended
//! connection means for each request that was on it.

mod commands;
mod connection;
mod handshake;
mod selection;
mod writing;

pub use commands::LoadCommand;

use crate::bounds::Bounds;
use crate::clients::Shared;
use crate::connection::Closure;
use connection::{Connection, State};
use stagehoist::{EndpointUpdate, Lifecycle, Micros, RequestId, WorkerId};
use stagehoist_endpoints::NumberedEndpoint;
use stagehoist_gateway::state::{Input, Ticket};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

struct Executor {
    address: Rc<str>,
    ready: bool,
    links: Vec<Rc<Connection>>,
}

impl Executor {
    /// Whether a connection to its present address is up.
    fn is_connected(&self) -> bool {
        self.links.iter().any(|link| link.state.get() == State::Up && !link.moved.get())
    }
}

/// Settings that the executors' side needs.
#[derive(Clone, Debug)]
pub struct Limits {
    pub streams: usize,
    pub idle_close: Micros,
    pub connect_timeout: Micros,
    pub order_timeout: Micros,
    /// Names of the values in a load report.
    pub report: Vec<String>,
    /// Class names by place.
    pub classes: Vec<String>,
}

/// What was seen on the executors' side, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutorCounters {
    pub connected: u64,
    pub not_up: u64,
    pub broken: u64,
    pub poisoned: u64,
    /// Attempts that were not begun as their client could not be heard.
    pub unheard: u64,
    /// Attempts that were not begun as it was too late for them.
    pub too_late: u64,
}

/// Those whose requests are forwarded.
pub trait ClientLookup {
    /// Whether the client of this call still waits for it, by all that has reached this process.
    fn presence(&self, ticket: Ticket) -> ClientPresence;
}

/// What is known of a call's client in the instant before an attempt begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPresence {
    /// Its socket was read to its end, and it waits.
    Waiting,
    /// It cancelled the call or is gone.
    Disconnected,
    /// Its socket was not read to its end: what it cancelled may lie there, so nothing begins for it.
    Unread,
}

struct InFlight {
    connection: Rc<Connection>,
    id: (u64, Rc<str>),
    ticket: Ticket,
    begin_by: Micros,
}

/// All executors of a front end.
pub struct Executors {
    shared: Rc<Shared>,
    callers: Rc<dyn ClientLookup>,
    limits: Limits,
    bounds: Bounds,
    executors: RefCell<HashMap<WorkerId, Executor>>,
    in_flight_attempts: RefCell<HashMap<(RequestId, u16), InFlight>>,
    links: Cell<usize>,
    dirty: RefCell<Vec<Rc<Connection>>>,
    /// News that arose while choices were executed.
    late_inputs: RefCell<VecDeque<Input>>,
    pub counters: Cell<ExecutorCounters>,
}

impl Executors {
    /// Executors before the first endpoint list.
    pub fn new(
        shared: Rc<Shared>,
        callers: Rc<dyn ClientLookup>,
        limits: Limits,
        bounds: Bounds,
    ) -> Executors {
        Executors {
            shared,
            callers,
            limits,
            bounds,
            executors: RefCell::default(),
            in_flight_attempts: RefCell::default(),
            links: Cell::new(0),
            dirty: RefCell::default(),
            late_inputs: RefCell::default(),
            counters: Cell::default(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut ExecutorCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Attempts out by worker, as the sockets have them.
    pub fn in_flight(&self) -> Vec<(WorkerId, usize, usize)> {
        let of = |e: &Executor| e.links.iter().map(|l| l.line.borrow().attempts()).sum();
        let mut all: Vec<_> =
            self.executors.borrow().iter().map(|(w, e)| (*w, of(e), e.links.len())).collect();
        all.sort_unstable();
        all
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.links.get()
    }

    /// What the event bus told. What waits for an executor that takes nothing new is withdrawn at once.
    pub fn apply(&self, form: EndpointUpdate, settings: &[NumberedEndpoint]) -> Vec<Input> {
        let now = self.shared.clock.now();
        let mut inputs = Vec::new();
        let mut executors = self.executors.borrow_mut();
        if form != EndpointUpdate::Delta {
            let listed: HashSet<WorkerId> = settings.iter().map(|t| t.endpoint.worker).collect();
            executors.iter_mut().filter(|(w, _)| !listed.contains(w)).for_each(|(_, e)| e.ready = false);
        }
        for t in settings {
            let ready = t.endpoint.lifecycle == Lifecycle::Ready;
            let entry = executors.entry(t.endpoint.worker).or_insert_with(|| Executor {
                address: "".into(),
                ready,
                links: Vec::new(),
            });
            entry.ready = ready;
            if ready && *entry.address != *t.address {
                entry.address = t.address.as_str().into();
                // What stands at the old address is no longer this executor: nothing new goes there.
                entry.links.iter().for_each(|l| l.moved.set(true));
            }
        }
        let over = |e: &Executor, l: &Connection| !e.ready || l.moved.get();
        for connection in executors.values().flat_map(|e| e.links.iter().filter(|l| over(e, l))) {
            connection.line.borrow_mut().withdraw(now, &mut inputs);
            if connection.line.borrow().is_idle()
                || (connection.moved.get() && connection.state.get() == State::Connecting)
            {
                connection.end(Closure::Broken);
            }
        }
        executors.retain(|_, e| e.ready || !e.links.is_empty());
        self.on_ended(&inputs);
        inputs
    }

    /// These attempts are over.
    fn on_ended(&self, inputs: &[Input]) {
        let mut flying = self.in_flight_attempts.borrow_mut();
        for item in inputs {
            if let Input::AttemptEnded { request, attempt, .. } = item {
                flying.remove(&(*request, *attempt));
            }
        }
        if flying.capacity() > 8 * flying.len() + 1024 {
            flying.shrink_to_fit();
        }
    }
}
