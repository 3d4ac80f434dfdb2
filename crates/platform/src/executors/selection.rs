//! Selects the connection for a request, and decides when to open another one.

use super::connection::{Connection, State};
use super::{Executor, Executors};
use crate::connection::{Closure, ConnectionState};
use crate::descriptors::DescriptorHolder;
use crate::poll_times::{TaskKind, TimedTask};
use crate::read_turns::SourceKind;
use crate::sockets;
use stagehoist::{Micros, WorkerId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Maximum number of concurrent handshakes with one executor.
const MAX_HANDSHAKES: usize = 2;

/// What a request needs of its connection.
#[derive(Clone, Copy)]
pub(super) struct ConnectionNeeds {
    /// No request with this id may be open on it.
    pub id: Option<u64>,
    /// It must have been established by this time; `Micros::MAX`: a new one will do.
    pub connected_by: Micros,
}

impl ConnectionNeeds {
    /// Any connection will do.
    pub const ANY: ConnectionNeeds = ConnectionNeeds { id: None, connected_by: Micros::MAX };

    fn are_met_by(&self, connection: &Connection) -> bool {
        let has_id = self.id.is_some_and(|id| connection.protocol.borrow().has(id));
        let by = self.connected_by;
        !has_id && (by == Micros::MAX || connection.open_since().is_some_and(|since| since <= by))
    }
}

impl Executors {
    /// Opens a connection without delaying the current call.
    fn open(self: &Rc<Self>, worker: WorkerId) -> Option<Rc<Connection>> {
        if self.connections.get() >= self.bounds.executors && !self.release_for(Some(worker)) {
            return None;
        }
        let mut executors = self.executors.borrow_mut();
        let executor = executors.get_mut(&worker)?;
        let now = self.shared.clock.now();
        let protocol = match self.limits.may_probe {
            true => ConnectionState::new(now),
            false => ConnectionState::without_probes(now),
        };
        let connection = Rc::new(Connection {
            worker,
            protocol: RefCell::new(protocol),
            stream: RefCell::default(),
            wake: Notify::new(),
            state: Cell::new(State::Connecting),
            established_at: Cell::new(Micros::MAX),
            has_moved: Cell::new(false),
            dirty: Cell::new(false),
            turn: self.shared.read_turns.add(SourceKind::Peer),
        });
        executor.connections.push(connection.clone());
        self.connected.borrow_mut().insert(worker);
        self.connections.set(self.connections.get() + 1);
        let serving = self.clone().serve_connection(connection.clone(), executor.address.clone());
        tokio::task::spawn_local(TimedTask::new(TaskKind::Executors, self.shared.clone(), serving));
        Some(connection)
    }

    /// Closes the longest unused idle connection of any executor except `except`.
    fn release_for(&self, except: Option<WorkerId>) -> bool {
        let mut longest_unused: Option<(Micros, Rc<Connection>)> = None;
        self.for_each_connection(|_, connection| {
            let protocol = connection.protocol.borrow();
            let is_idle = connection.state.get() == State::Open && protocol.is_idle();
            let active_at = protocol.active_at();
            let is_longest = longest_unused.as_ref().is_none_or(|(earliest, _)| active_at < *earliest);
            if is_idle && is_longest && Some(connection.worker) != except {
                longest_unused = Some((active_at, connection.clone()));
            }
        });
        match longest_unused {
            Some((_, connection)) => {
                self.count(|c| c.evicted += 1);
                connection.end(Closure::Broken);
                true
            }
            None => false,
        }
    }

    /// Selects a connection for a request: an idle one, else the open one with the fewest attempts that has capacity, else
    /// one in its handshake, else a new one. If none is idle, a further connection is also opened within the limits on
    /// connections and handshakes of an executor, if the executor is ready. None is opened beside an idle one, because
    /// every front end holds connections to every executor. A new connection is not selected for a request that needs an
    /// earlier one.
    pub(super) fn select(
        self: &Rc<Self>,
        worker: WorkerId,
        needs: ConnectionNeeds,
    ) -> Option<Rc<Connection>> {
        let (chosen, may_open) = {
            let executors = self.executors.borrow();
            let executor = executors.get(&worker)?;
            let usable: Vec<&Rc<Connection>> =
                executor.connections.iter().filter(|connection| self.is_usable(connection, needs)).collect();
            let idle = take_idle(&usable);
            let may_open = idle.is_none() && self.may_open(executor);
            let chosen = idle
                .or_else(|| least_loaded(&usable, State::Open))
                .or_else(|| least_loaded(&usable, State::Connecting));
            (chosen, may_open)
        };
        if chosen.is_none() || may_open {
            let opened = self.open(worker);
            return chosen.or(opened.filter(|connection| needs.are_met_by(connection)));
        }
        self.count(|c| c.reused += 1);
        chosen
    }

    /// Whether a connection has capacity for a request with these needs.
    fn is_usable(&self, connection: &Connection, needs: ConnectionNeeds) -> bool {
        connection.protocol.borrow().attempts() < self.limits.streams
            && needs.are_met_by(connection)
            && !connection.accepts_none()
            && !matches!(connection.state.get(), State::Closed(_))
    }

    /// Whether a further connection to an executor may be opened beside those that it has.
    fn may_open(&self, executor: &Executor) -> bool {
        let is_connecting = |connection: &&Rc<Connection>| connection.state.get() == State::Connecting;
        let connecting = executor.connections.iter().filter(is_connecting).count();
        let max_connections = self.bounds.per_executor(self.ready.get());
        executor.ready && executor.connections.len() < max_connections && connecting < MAX_HANDSHAKES
    }
}

/// Returns the idle connection that was used last. Those that the executor closed are detected before anything is
/// written to them, and ended.
fn take_idle(usable: &[&Rc<Connection>]) -> Option<Rc<Connection>> {
    let mut idle: Option<(Micros, Rc<Connection>)> = None;
    for &connection in usable {
        if connection.state.get() != State::Open || !connection.protocol.borrow().is_idle() {
            continue;
        }
        if is_closed_by_peer(connection) {
            connection.end(Closure::Broken);
            continue;
        }
        let active_at = connection.protocol.borrow().active_at();
        if idle.as_ref().is_none_or(|(latest, _)| active_at > *latest) {
            idle = Some((active_at, connection.clone()));
        }
    }
    idle.map(|(_, connection)| connection)
}

/// Returns the connection in this state with the fewest attempts.
fn least_loaded(usable: &[&Rc<Connection>], state: State) -> Option<Rc<Connection>> {
    let in_state = usable.iter().filter(|connection| connection.state.get() == state);
    in_state
        .min_by_key(|connection| connection.protocol.borrow().attempts())
        .map(|&connection| connection.clone())
}

impl DescriptorHolder for Executors {
    fn open_connections(&self) -> usize {
        self.connections()
    }

    fn release_one(&self) -> bool {
        self.release_for(None)
    }
}

/// Whether the executor closed the connection and no input is left, checked on the socket itself without waiting.
pub(super) fn is_closed_by_peer(connection: &Connection) -> bool {
    let Some(stream) = connection.stream.borrow().clone() else { return true };
    sockets::is_closed(&stream)
}
