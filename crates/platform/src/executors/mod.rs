//! Executor sockets: a few connections to each executor, kept by its id. Handshakes run outside the path of calls.
//! When a connection ends, each request on it gets an outcome.

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
    connections: Vec<Rc<Connection>>,
    /// When its oldest open connection was established, as last reported to the driver.
    reported_open_since: Option<Micros>,
}

impl Executor {
    /// Returns when its oldest open connection that accepts new requests was established.
    fn open_since(&self) -> Option<Micros> {
        let open = self.connections.iter().filter_map(|connection| connection.open_since());
        open.min()
    }

    /// Returns the report of its oldest open connection, if that changed since the last report.
    fn connection_report(&mut self, worker: WorkerId) -> Option<Input> {
        let open_since = self.open_since();
        if open_since == self.reported_open_since {
            return None;
        }
        self.reported_open_since = open_since;
        Some(Input::WorkerConnection { worker, open_since })
    }
}

/// Settings of the connections to executors.
#[derive(Clone, Debug)]
pub struct Limits {
    pub streams: usize,
    /// Whether the settings permit probes.
    pub may_probe: bool,
    pub idle_close: Micros,
    pub connect_timeout: Micros,
    pub load_timeout: Micros,
    /// Names of the values in a load report.
    pub report_fields: Vec<String>,
    /// Class names by index.
    pub classes: Vec<String>,
}

/// Counters of connections to executors, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutorCounters {
    pub connected: u64,
    pub not_up: u64,
    pub broken: u64,
    pub poisoned: u64,
    /// Connections closed because an abandoned request on them was not known to have arrived; included in `poisoned`.
    pub unconfirmed: u64,
    /// Connections reused for an attempt, a health check or a load order; `evicted` counts those closed to make room
    /// for others.
    pub reused: u64,
    pub evicted: u64,
    /// Connections that ended with requests on them.
    pub ended_under_requests: u64,
    /// Attempts that were not allowed to start.
    pub egress: EgressCounters,
}

/// Looks up the clients of calls.
pub trait ClientLookup {
    /// Whether the client of this call still waits for it, given all input that has reached this process.
    fn presence(&self, ticket: Ticket) -> ClientPresence;
}

/// The state of a call's client just before an attempt starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPresence {
    /// Its socket has no unread input, and it waits.
    Waiting,
    /// It cancelled the call or disconnected.
    Disconnected,
    /// Its socket has unread input, which may contain a cancellation, so no attempt starts for it.
    InputPending,
}

struct InFlight {
    connection: Rc<Connection>,
    id: (u64, Rc<str>),
    ticket: Ticket,
    start_by: Micros,
}

/// All executors of a front end.
pub struct Executors {
    shared: Rc<Shared>,
    clients: Rc<dyn ClientLookup>,
    limits: Limits,
    bounds: Bounds,
    executors: RefCell<HashMap<WorkerId, Executor>>,
    /// The executors with a connection, so that work on all connections does not grow with the fleet.
    connected: RefCell<HashSet<WorkerId>>,
    /// Number of executors that accept requests.
    ready: Cell<usize>,
    in_flight_attempts: RefCell<HashMap<(RequestId, u16), InFlight>>,
    connections: Cell<usize>,
    dirty: RefCell<Vec<Rc<Connection>>>,
    /// Inputs that arose while commands were executed.
    queued_inputs: RefCell<VecDeque<Input>>,
    pub counters: Cell<ExecutorCounters>,
}

impl Executors {
    /// Creates the set of executors, before the first endpoint list.
    pub fn new(
        shared: Rc<Shared>,
        clients: Rc<dyn ClientLookup>,
        limits: Limits,
        bounds: Bounds,
    ) -> Executors {
        Executors {
            shared,
            clients,
            limits,
            bounds,
            executors: RefCell::default(),
            connected: RefCell::default(),
            ready: Cell::new(0),
            in_flight_attempts: RefCell::default(),
            connections: Cell::new(0),
            dirty: RefCell::default(),
            queued_inputs: RefCell::default(),
            counters: Cell::default(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut ExecutorCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Returns the attempts in flight and the connections by worker.
    pub fn in_flight(&self) -> Vec<(WorkerId, usize, usize)> {
        let attempts = |e: &Executor| e.connections.iter().map(|l| l.protocol.borrow().attempts()).sum();
        let mut all: Vec<_> =
            self.executors.borrow().iter().map(|(w, e)| (*w, attempts(e), e.connections.len())).collect();
        all.sort_unstable();
        all
    }

    /// Calls `visit` with each connection and its executor.
    fn for_each_connection(&self, mut visit: impl FnMut(&Executor, &Rc<Connection>)) {
        let executors = self.executors.borrow();
        for worker in self.connected.borrow().iter() {
            let Some(executor) = executors.get(worker) else { continue };
            executor.connections.iter().for_each(|connection| visit(executor, connection));
        }
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Applies an endpoint update. Requests queued for an executor that accepts nothing new are withdrawn at once.
    pub fn apply(&self, kind: EndpointUpdate, endpoints: &[NumberedEndpoint]) -> Vec<Input> {
        let mut inputs = Vec::new();
        let mut executors = self.executors.borrow_mut();
        if kind != EndpointUpdate::Delta {
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
                // The process at the old address is no longer this executor, so nothing new is sent there.
                executor.connections.iter().for_each(|connection| connection.has_moved.set(true));
                self.queued_inputs.borrow_mut().extend(executor.connection_report(listed.endpoint.worker));
            }
            self.withdraw(&mut executors, listed.endpoint.worker, &mut inputs);
        }
        self.remove_ended(&mut inputs);
        inputs
    }

    /// Reports the oldest open connection to an executor with the next inputs, if it changed.
    fn report_connection(&self, worker: WorkerId) {
        let mut executors = self.executors.borrow_mut();
        let report = executors.get_mut(&worker).and_then(|executor| executor.connection_report(worker));
        self.queued_inputs.borrow_mut().extend(report);
    }

    fn set_ready(&self, executor: &mut Executor, is_ready: bool) {
        let ready = self.ready.get() - usize::from(executor.ready) + usize::from(is_ready);
        self.ready.set(ready);
        executor.ready = is_ready;
    }

    /// Withdraws the requests queued on connections that accept nothing new, and removes an executor that is gone.
    fn withdraw(
        &self,
        executors: &mut HashMap<WorkerId, Executor>,
        worker: WorkerId,
        inputs: &mut Vec<Input>,
    ) {
        let now = self.shared.clock.now();
        let Some(executor) = executors.get(&worker) else { return };
        for connection in
            executor.connections.iter().filter(|connection| !executor.ready || connection.has_moved.get())
        {
            connection.protocol.borrow_mut().withdraw(now, inputs);
            let is_moving = connection.has_moved.get() && connection.state.get() == State::Connecting;
            if is_moving || connection.protocol.borrow().is_idle() {
                connection.end(Closure::Broken);
            }
        }
        if !executor.ready && executor.connections.is_empty() {
            executors.remove(&worker);
        }
    }

    /// Removes the attempts that these inputs end, and completes the inputs with what is known of their connections.
    fn remove_ended(&self, inputs: &mut [Input]) {
        let mut in_flight = self.in_flight_attempts.borrow_mut();
        for item in inputs {
            let Input::AttemptEnded { request, attempt, result } = item else { continue };
            if let Some(ended) = in_flight.remove(&(*request, *attempt)) {
                result.connected_at = ended.connection.established_at.get();
            }
        }
        if in_flight.capacity() > 8 * in_flight.len() + 1024 {
            in_flight.shrink_to_fit();
        }
    }
}
