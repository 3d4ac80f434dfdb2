//! Which connection a request goes to, and when a further one is opened.

use super::connection::{Connection, State};
use super::Executors;
use crate::connection::{Closure, ConnectionState};
use crate::descriptors::DescriptorHolder;
use crate::poll_times::{TaskKind, TimedTask};
use crate::sockets;
use stagehoist::WorkerId;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Handshakes with one executor at once.
const HANDSHAKES: usize = 2;

impl Executors {
    /// Opens a connection, off the path of calls.
    fn open(self: &Rc<Self>, worker: WorkerId) -> Option<Rc<Connection>> {
        if self.links.get() >= self.bounds.executors && !self.release_for(Some(worker)) {
            return None;
        }
        let mut executors = self.executors.borrow_mut();
        let executor = executors.get_mut(&worker)?;
        let connection = Rc::new(Connection {
            worker,
            line: RefCell::new(ConnectionState::new(self.shared.clock.now())),
            stream: RefCell::default(),
            wake: Notify::new(),
            state: Cell::new(State::Connecting),
            moved: Cell::new(false),
            dirty: Cell::new(false),
        });
        executor.links.push(connection.clone());
        self.links.set(self.links.get() + 1);
        let talking = self.clone().talk(connection.clone(), executor.address.clone());
        tokio::task::spawn_local(TimedTask::new(TaskKind::Executors, self.shared.clone(), talking));
        Some(connection)
    }

    /// Closes an idle connection, of another executor than this one.
    fn release_for(&self, but: Option<WorkerId>) -> bool {
        let executors = self.executors.borrow();
        let idle = executors.iter().filter(|(w, _)| Some(**w) != but).flat_map(|(_, e)| &e.links);
        let idle = idle.filter(|l| l.state.get() == State::Up && l.line.borrow().is_idle());
        match idle.min_by_key(|l| l.line.borrow().active()) {
            Some(connection) => {
                self.count(|c| c.evicted += 1);
                connection.end(Closure::Broken);
                true
            }
            None => false,
        }
    }

    /// A connection for a request: an idle one, else one with room, else one in its handshake, else a new one. Connections
    /// come by need: a further one only where none stood idle, as every front end holds some at every executor.
    pub(super) fn pick(self: &Rc<Self>, worker: WorkerId, id: Option<u64>) -> Option<Rc<Connection>> {
        let (chosen, spare) = {
            let executors = self.executors.borrow();
            let executor = executors.get(&worker)?;
            let each = self.bounds.each(self.ready.get());
            let usable = |l: &&Rc<Connection>| {
                let line = l.line.borrow();
                let room = line.attempts() < self.limits.streams && !id.is_some_and(|id| line.has(id));
                room && !l.moved.get()
                    && !line.is_silent()
                    && !line.is_truncated()
                    && !matches!(l.state.get(), State::Over(_))
            };
            let mut idle = None;
            for connection in executor.links.iter().filter(usable) {
                if connection.state.get() != State::Up || !connection.line.borrow().is_idle() {
                    continue;
                }
                // Found dead before anything is written.
                if is_dead(connection) {
                    connection.end(Closure::Broken);
                    continue;
                }
                let active = connection.line.borrow().active();
                if idle.as_ref().is_none_or(|(at, _)| active > *at) {
                    idle = Some((active, connection.clone()));
                }
            }
            let least = |state: State| {
                let links = executor.links.iter().filter(usable).filter(|l| l.state.get() == state);
                links.min_by_key(|l| l.line.borrow().attempts()).cloned()
            };
            let connecting = executor.links.iter().filter(|l| l.state.get() == State::Connecting).count();
            let spare = idle.is_none() && executor.links.len() < each && connecting < HANDSHAKES;
            let chosen =
                idle.map(|(_, l)| l).or_else(|| least(State::Up)).or_else(|| least(State::Connecting));
            (chosen, spare && executor.ready)
        };
        if chosen.is_none() || spare {
            let opened = self.open(worker);
            return chosen.or(opened);
        }
        self.count(|c| c.reused += 1);
        chosen
    }
}

impl DescriptorHolder for Executors {
    fn open_connections(&self) -> usize {
        self.connections()
    }

    fn release_one(&self) -> bool {
        self.release_for(None)
    }
}

/// Whether the other side closed a connection on which nothing more is to be read: what the socket knows already, asked without waiting.
pub(super) fn is_dead(connection: &Connection) -> bool {
    let Some(stream) = connection.stream.borrow().clone() else { return true };
    sockets::is_closed(&stream)
}
