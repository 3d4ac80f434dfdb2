//! Executors' sockets: a few connections to each, kept by its id; handshakes beside the path of calls; what an ended
//! connection means for each request that was on it.

mod commands;
mod connection;
mod egress;
mod handshake;
mod selection;
mod writing;

pub use commands::LoadCommand;
pub use egress::EgressCounters;

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

#[derive(Default)]
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
    /// Connections reused for an attempt, a check or an order, and closed to make room for others.
    pub reused: u64,
    pub evicted: u64,
    /// Connections that ended with requests on them.
    pub ended_under_requests: u64,
    /// Attempts that did not begin.
    pub egress: EgressCounters,
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
    /// Executors that take requests.
    ready: Cell<usize>,
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
            ready: Cell::new(0),
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
    pub fn apply(&self, form: EndpointUpdate, endpoints: &[NumberedEndpoint]) -> Vec<Input> {
        let mut inputs = Vec::new();
        let mut executors = self.executors.borrow_mut();
        if form != EndpointUpdate::Delta {
            let listed: HashSet<WorkerId> = endpoints.iter().map(|listed| listed.endpoint.worker).collect();
            let unlisted: Vec<WorkerId> =
                executors.keys().filter(|worker| !listed.contains(worker)).copied().collect();
            for worker in unlisted {
                if let Some(executor) = executors.get_mut(&worker) {
                    self.set_ready(executor, false);
                }
                self.withdraw(&mut executors, worker, &mut inputs);
            }
        }
        for listed in endpoints {
            let executor = executors.entry(listed.endpoint.worker).or_default();
            let is_ready = listed.endpoint.lifecycle == Lifecycle::Ready;
            self.set_ready(executor, is_ready);
            if is_ready && *executor.address != *listed.address {
                executor.address = listed.address.as_str().into();
                // What stands at the old address is no longer this executor: nothing new goes there.
                executor.links.iter().for_each(|link| link.moved.set(true));
            }
            self.withdraw(&mut executors, listed.endpoint.worker, &mut inputs);
        }
        self.on_ended(&inputs);
        inputs
    }

    fn set_ready(&self, executor: &mut Executor, is_ready: bool) {
        let ready = self.ready.get() - usize::from(executor.ready) + usize::from(is_ready);
        self.ready.set(ready);
        executor.ready = is_ready;
    }

    /// Withdraws what waits for an executor on connections that get nothing new, and forgets one that is over.
    fn withdraw(
        &self,
        executors: &mut HashMap<WorkerId, Executor>,
        worker: WorkerId,
        inputs: &mut Vec<Input>,
    ) {
        let now = self.shared.clock.now();
        let Some(executor) = executors.get(&worker) else { return };
        for connection in executor.links.iter().filter(|link| !executor.ready || link.moved.get()) {
            connection.line.borrow_mut().withdraw(now, inputs);
            let is_moving = connection.moved.get() && connection.state.get() == State::Connecting;
            if is_moving || connection.line.borrow().is_idle() {
                connection.end(Closure::Broken);
            }
        }
        if !executor.ready && executor.links.is_empty() {
            executors.remove(&worker);
        }
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
