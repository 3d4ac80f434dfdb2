//! Clients' sockets: accepted within bounds, read into sessions, answers written in the turn that brings them.

use crate::bounds::{self, Bounds};
use crate::pulse::Pulse;
use crate::session::{Asked, Catalog, Said, Session};
use socket2::SockRef;
use stagehoist::Micros;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::{Answer, Arrival, News, Ticket};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};

/// Bytes read at once, into one buffer for all connections.
const READ: usize = 64 << 10;
/// A connection that is closed over what it sent is read on for so long and so much, so that the error reaches it.
const LINGER: (Duration, usize) = (Duration::from_millis(250), 1 << 20);
/// A pause after a connection could not be accepted, so that the loop does not spin at the limit of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the process knows of itself, shared by all its tasks.
pub struct Shared {
    pub clock: Clock,
    pub pulse: RefCell<Pulse>,
    pub news: mpsc::Sender<News>,
    pub scratch: RefCell<Vec<u8>>,
}

impl Shared {
    pub fn new(clock: Clock, news: mpsc::Sender<News>) -> Shared {
        let pulse = RefCell::new(Pulse::new(clock.now()));
        Shared { clock, pulse, news, scratch: RefCell::new(vec![0; READ]) }
    }

    /// The time, and how long what is read now may have waited because this process did not run.
    pub fn read_time(&self) -> (Micros, Micros) {
        let now = self.clock.now();
        (now, self.pulse.borrow().late(now))
    }
}

struct Conn {
    id: u64,
    session: RefCell<Session>,
    stream: TcpStream,
    wake: Notify,
    over: Cell<bool>,
    dirty: Cell<bool>,
}

struct Held {
    conn: Rc<Conn>,
    reference: u64,
    bytes: usize,
}

/// What was done with clients, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounters {
    pub accepted: u64,
    pub made_way: u64,
    pub not_admitted: u64,
    pub unusable: u64,
    pub unreadable: u64,
    pub turned_away: u64,
}

/// All clients of a front end.
pub struct Clients {
    shared: Rc<Shared>,
    catalog: Catalog,
    bounds: Bounds,
    conns: RefCell<HashMap<u64, Rc<Conn>>>,
    calls: RefCell<HashMap<Ticket, Held>>,
    references: RefCell<HashMap<u64, Ticket>>,
    held_bytes: Cell<usize>,
    next_ticket: Cell<Ticket>,
    next_conn: Cell<u64>,
    serving: Cell<bool>,
    /// While draining: when the process ends at the latest, and whether new requests are still taken.
    ends: Cell<Option<Micros>>,
    taking: Cell<bool>,
    dirty: RefCell<Vec<Rc<Conn>>>,
    pub counters: Cell<ClientCounters>,
}

impl Clients {
    pub fn new(shared: Rc<Shared>, catalog: Catalog, bounds: Bounds) -> Clients {
        Clients {
            shared,
            catalog,
            bounds,
            conns: RefCell::default(),
            calls: RefCell::default(),
            references: RefCell::default(),
            held_bytes: Cell::new(0),
            next_ticket: Cell::new(0),
            next_conn: Cell::new(0),
            serving: Cell::new(false),
            ends: Cell::new(None),
            taking: Cell::new(true),
            dirty: RefCell::default(),
            counters: Cell::default(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut ClientCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// HEALTH is told so from now on.
    pub fn serve(&self, serving: bool) {
        self.serving.set(serving);
    }

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
        (self.calls.borrow().len(), conns.values().filter(|c| !c.session.borrow().out().is_empty()).count())
    }

    pub fn connections(&self) -> usize {
        self.conns.borrow().len()
    }

    /// Accepts until dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
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

    fn admit(self: &Rc<Self>, stream: TcpStream) -> bool {
        let full = self.conns.borrow().len() >= self.bounds.clients;
        if full {
            let victim = {
                let conns = self.conns.borrow();
                bounds::victim(conns.values().map(|c| (c.id, c.session.borrow().seen())))
            };
            let Some(conn) = victim.and_then(|id| self.conns.borrow_mut().remove(&id)) else {
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
        let (over, dirty) = (Cell::new(false), Cell::new(false));
        let conn = Rc::new(Conn { id, session, stream, wake: Notify::new(), over, dirty });
        self.conns.borrow_mut().insert(id, conn.clone());
        tokio::task::spawn_local(self.clone().talk(conn));
        full
    }

    async fn talk(self: Rc<Self>, conn: Rc<Conn>) {
        let mut news = Vec::new();
        loop {
            let (read, write, closing) = {
                let session = conn.session.borrow();
                (session.wants_read(), !session.out().is_empty(), session.is_closing())
            };
            if conn.over.get() || (closing && !write) {
                break;
            }
            tokio::select! {
                biased;
                () = conn.wake.notified() => {}
                ready = conn.stream.writable(), if write => {
                    if ready.is_err() || !self.flush(&conn) {
                        conn.over.set(true);
                    }
                }
                ready = conn.stream.readable(), if read => {
                    if ready.is_err() || !self.read(&conn, &mut news) {
                        conn.over.set(true);
                    }
                }
            }
            for item in news.drain(..) {
                // A driver that ended needs no news.
                let _ = self.shared.news.send(item).await;
            }
        }
        self.conns.borrow_mut().remove(&conn.id);
        let mut said = Vec::new();
        let lingers = conn.session.borrow().is_closing() && !conn.over.get();
        conn.session.borrow_mut().close(&mut said);
        for item in self.heard(&conn, said, self.shared.read_time()) {
            let _ = self.shared.news.send(item).await;
        }
        if lingers {
            linger(&conn.stream, &self.shared).await;
        }
    }

    /// False once the client is gone.
    fn read(&self, conn: &Rc<Conn>, news: &mut Vec<News>) -> bool {
        let mut scratch = self.shared.scratch.borrow_mut();
        let n = match conn.stream.try_read(&mut scratch) {
            Ok(0) => return false,
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
            Err(_) => return false,
        };
        let time = self.shared.read_time();
        let mut said = Vec::new();
        {
            let mut session = conn.session.borrow_mut();
            let mut next = self.next_ticket.get();
            session.receive(&scratch[..n], time.0, (&self.catalog, self.serving.get()), &mut next, &mut said);
            self.next_ticket.set(next);
            if let Some(why) = session.unusable.take() {
                self.count(|c| c.unusable += 1);
                tracing::debug!(%why, "not taken");
            }
            if session.is_closing() {
                self.count(|c| c.unreadable += 1);
            }
        }
        drop(scratch);
        news.extend(self.heard(conn, said, time));
        let waits = !conn.session.borrow().out().is_empty();
        !waits || self.flush(conn)
    }

    fn heard(&self, conn: &Rc<Conn>, said: Vec<Said>, (now, late): (Micros, Micros)) -> Vec<News> {
        let mut news = Vec::with_capacity(said.len());
        for said in said {
            match said {
                Said::Call(ticket, asked) => news.extend(self.call(conn, ticket, *asked, (now, late))),
                Said::Gone(ticket) => {
                    if self.release(ticket).is_some() {
                        news.push(News::Gone(ticket));
                    }
                }
            }
        }
        news
    }

    fn call(
        &self,
        conn: &Rc<Conn>,
        ticket: Ticket,
        asked: Asked,
        (now, late): (Micros, Micros),
    ) -> Option<News> {
        let bytes = asked.body.len() + 512;
        if self.references.borrow().contains_key(&asked.reference) {
            // Its answer could be meant for either; the one that is open goes on.
            conn.session.borrow_mut().reject(ticket);
            self.count(|c| c.unusable += 1);
            return None;
        }
        if !self.taking.get() || self.held_bytes.get() + bytes > self.bounds.held_bytes {
            let answer = Answer::Refused { reason: "too-many-held", retry_after: 0 };
            conn.session.borrow_mut().answer(ticket, &answer, now);
            self.count(|c| c.turned_away += 1);
            return None;
        }
        self.held_bytes.set(self.held_bytes.get() + bytes);
        self.references.borrow_mut().insert(asked.reference, ticket);
        let held = Held { conn: conn.clone(), reference: asked.reference, bytes };
        self.calls.borrow_mut().insert(ticket, held);
        let ends = self.ends.get().map_or(Micros::MAX, |at| at - now);
        Some(News::Call(Arrival {
            ticket,
            function: asked.function,
            figures: Some(asked.figures),
            tenant: asked.tenant,
            // What it may have waited in its socket is taken off with its age.
            budget: asked.budget.min(ends.saturating_add(late)),
            read: now - late,
            repeat: false,
            known: conn.session.borrow().is_known(),
            body: asked.body,
            content_type: None,
            correlation: asked.id,
            generation: None,
            identity: None,
        }))
    }

    fn release(&self, ticket: Ticket) -> Option<Rc<Conn>> {
        let mut calls = self.calls.borrow_mut();
        let held = calls.remove(&ticket)?;
        if calls.capacity() > 8 * calls.len() + 1024 {
            calls.shrink_to_fit();
        }
        self.held_bytes.set(self.held_bytes.get().saturating_sub(held.bytes));
        self.references.borrow_mut().remove(&held.reference);
        Some(held.conn)
    }

    /// The final answer of a call; written at the end of the turn.
    pub fn answer(&self, ticket: Ticket, answer: &Answer) {
        let Some(conn) = self.release(ticket) else { return };
        conn.session.borrow_mut().answer(ticket, answer, self.shared.clock.now());
        if !conn.dirty.replace(true) {
            self.dirty.borrow_mut().push(conn);
        }
    }

    /// Writes what the turn brought.
    pub fn turned(&self) {
        let dirty = std::mem::take(&mut *self.dirty.borrow_mut());
        for conn in dirty {
            conn.dirty.set(false);
            if !self.flush(&conn) {
                conn.over.set(true);
            }
            if conn.over.get() || !conn.session.borrow().out().is_empty() {
                conn.wake.notify_one();
            }
        }
    }

    /// False once the client is gone.
    fn flush(&self, conn: &Conn) -> bool {
        let mut session = conn.session.borrow_mut();
        while !session.out().is_empty() {
            match conn.stream.try_write(session.out()) {
                Ok(n) => session.wrote(n, self.shared.clock.now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }

    /// Closes connections whose clients are silent.
    pub fn tend(&self) {
        let now = self.shared.clock.now();
        for conn in self.conns.borrow().values() {
            if conn.session.borrow().is_over(now) {
                conn.over.set(true);
                conn.wake.notify_one();
            }
        }
    }
}

/// Says that no more is written, and drops what still comes for a while: a close over unread bytes would become a reset
/// that can overtake the answer.
async fn linger(stream: &TcpStream, shared: &Shared) {
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let drop_all = async {
        let mut dropped = 0;
        while dropped < LINGER.1 && stream.readable().await.is_ok() {
            let mut scratch = shared.scratch.borrow_mut();
            match stream.try_read(&mut scratch) {
                Ok(0) => return,
                Ok(n) => dropped += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER.0, drop_all).await;
}
