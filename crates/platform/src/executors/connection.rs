//! One connection: its handshake, what it reads and writes, and its end.

use super::Executors;
use crate::connection::{Closure, ConnectionState};
use socket2::SockRef;
use stagehoist::WorkerId;
use stagehoist_gateway::state::Input;
use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Most that is read of a connection after it ended.
const MAX_UNREAD_INPUT: usize = 4 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Connecting,
    Up,
    /// Takes nothing more; `Closure` is how.
    Over(Closure),
}

/// One connection.
pub(super) struct Connection {
    pub worker: WorkerId,
    pub line: RefCell<ConnectionState>,
    pub stream: RefCell<Option<Rc<TcpStream>>>,
    pub wake: Notify,
    pub state: Cell<State>,
    pub dirty: Cell<bool>,
    /// The executor is somewhere else now: it takes nothing more.
    pub moved: Cell<bool>,
}

impl Connection {
    /// Ends the connection, once its task sees it.
    pub fn end(&self, how: Closure) {
        if !matches!(self.state.get(), State::Over(_)) {
            self.state.set(State::Over(how));
        }
        self.wake.notify_one();
    }
}

impl Executors {
    pub(super) async fn talk(self: Rc<Self>, link: Rc<Connection>, address: Rc<str>) {
        let (stream, wants) = self.handshake(&link, &address).await;
        match stream.filter(|s| s.set_nodelay(true).is_ok() && link.state.get() == State::Connecting) {
            None => {
                self.count(|c| c.not_up += 1);
                link.state.set(State::Over(if wants {
                    Closure::NoDescriptors
                } else {
                    Closure::NotConnected
                }));
            }
            Some(stream) => {
                self.count(|c| c.connected += 1);
                let stream = Rc::new(stream);
                *link.stream.borrow_mut() = Some(stream.clone());
                link.state.set(State::Up);
                self.read_clients_first().await;
                self.flush(&link);
                self.pass_on_late();
                self.exchange(&link, &stream).await;
            }
        }
        self.ended(&link).await;
    }

    async fn exchange(&self, link: &Rc<Connection>, stream: &TcpStream) {
        let mut news = Vec::new();
        while link.state.get() == State::Up {
            let write = link.line.borrow().wants_write();
            let due = link.line.borrow().order_due(self.limits.order_timeout);
            let lost_at = self.shared.clock.instant(due.unwrap_or_default());
            let mut writes = false;
            tokio::select! {
                biased;
                () = link.wake.notified() => {}
                ready = stream.readable() => match ready {
                    Ok(()) => self.read(link, stream, &mut news),
                    Err(_) => link.end(Closure::Broken),
                },
                ready = stream.writable(), if write => match ready {
                    Ok(()) => writes = true,
                    Err(_) => link.end(Closure::Broken),
                },
                () = tokio::time::sleep_until(lost_at), if due.is_some() => {
                    self.expire_orders(link, stream, &mut news);
                }
            }
            if writes {
                self.read_clients_first().await;
                self.flush(link);
                self.pass_on_late();
            }
            self.pass_on(&mut news).await;
        }
        if link.state.get() == State::Over(Closure::Broken) {
            // A write may find the end before what was answered ahead of it was read.
            self.read_remaining(link, stream, &mut news);
            self.pass_on(&mut news).await;
        }
    }

    /// An order counts as lost in this instant: what lies in the socket is read first, then it is cut or never begun.
    fn expire_orders(&self, link: &Connection, stream: &TcpStream, news: &mut Vec<Input>) {
        self.read_remaining(link, stream, news);
        let (now, limits) = (self.shared.clock.now(), &self.limits);
        if link.line.borrow_mut().expire(now, limits.connect_timeout, limits.order_timeout, news).is_err() {
            link.end(Closure::ProtocolViolated);
        }
    }

    /// After a gap of this process, what lies in the other sockets (a drain above all) is read and acted on
    /// before anything that waited is written: a turn to read them, one for the driver, one for those who had
    /// more to read.
    async fn read_clients_first(&self) {
        if self.shared.read_time().1 > 0 {
            for _ in 0..3 {
                tokio::task::yield_now().await;
            }
        }
    }

    async fn pass_on(&self, news: &mut Vec<Input>) {
        self.on_ended(news);
        for item in news.drain(..) {
            // A driver that ended needs no inputs.
            let _ = self.shared.inputs.send(item).await;
        }
    }

    fn read(&self, link: &Connection, stream: &TcpStream, news: &mut Vec<Input>) {
        let mut scratch = self.shared.scratch.borrow_mut();
        match stream.try_read(&mut scratch) {
            Ok(0) => link.end(Closure::Broken),
            Ok(n) => {
                self.received(link, &scratch[..n], news);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => link.end(Closure::Broken),
        }
    }

    fn received(&self, link: &Connection, bytes: &[u8], news: &mut Vec<Input>) -> bool {
        let (now, late) = self.shared.read_time();
        let mut line = link.line.borrow_mut();
        let read = line.receive(bytes, (now, now - late), &self.limits.report, news);
        if line.is_spent() {
            link.end(Closure::ProtocolViolated);
        }
        if let Err(why) = read {
            tracing::debug!(worker = format!("s-{:08x}", link.worker), %why, "connection abandoned");
            link.end(Closure::ProtocolViolated);
        }
        read.is_ok()
    }

    /// Reads what lies in the socket of a connection that ended, asked of the socket itself: the runtime may not have heard.
    fn read_remaining(&self, link: &Connection, stream: &TcpStream, news: &mut Vec<Input>) {
        let mut scratch = self.shared.scratch.borrow_mut();
        let mut left = MAX_UNREAD_INPUT;
        while let Ok(n) = (&*SockRef::from(stream)).read(&mut scratch) {
            left = left.saturating_sub(n);
            if n == 0 || left == 0 || !self.received(link, &scratch[..n], news) {
                return;
            }
        }
    }
    async fn ended(&self, link: &Rc<Connection>) {
        let how = match link.state.get() {
            State::Over(how) => how,
            _ => Closure::Broken,
        };
        link.state.set(State::Over(how));
        if let (Closure::ProtocolViolated, Some(stream)) = (how, &*link.stream.borrow()) {
            // What was written and not read there yet is dropped with it.
            let _ = stream.set_zero_linger();
        }
        *link.stream.borrow_mut() = None;
        if how != Closure::NoDescriptors {
            self.shared.descriptors.freed();
        }
        match how {
            Closure::NotConnected | Closure::NoDescriptors => {}
            Closure::Broken => self.count(|c| c.broken += 1),
            Closure::ProtocolViolated => self.count(|c| c.poisoned += 1),
        }
        let mut news = Vec::new();
        link.line.borrow_mut().end(how, self.shared.clock.now(), &mut news);
        self.on_ended(&news);
        {
            let mut executors = self.executors.borrow_mut();
            if let Some(executor) = executors.get_mut(&link.worker) {
                executor.links.retain(|l| !Rc::ptr_eq(l, link));
                if !executor.ready && executor.links.is_empty() {
                    executors.remove(&link.worker);
                }
            }
        }
        self.links.set(self.links.get().saturating_sub(1));
        for item in news {
            let _ = self.shared.inputs.send(item).await;
        }
    }

    /// Ends what waited in vain: health checks, orders, answers that stopped short; closes idle connections.
    pub fn on_tick(&self) {
        let (now, late) = self.shared.read_time();
        let limits = &self.limits;
        let mut news = Vec::new();
        for executor in self.executors.borrow().values() {
            for link in &executor.links {
                if link.state.get() != State::Up {
                    continue;
                }
                let mut line = link.line.borrow_mut();
                // After a gap of this process its sockets are read first.
                let over = late == 0
                    && line.expire(now, limits.connect_timeout, limits.order_timeout, &mut news).is_err();
                let idle = line.is_idle();
                let unused = now - line.active() >= limits.idle_close - limits.idle_close / 8;
                let shut = link.moved.get() || line.is_silent() || line.is_truncated();
                let useless = idle && (unused || !executor.ready || shut);
                drop(line);
                if over {
                    link.end(Closure::ProtocolViolated);
                } else if useless {
                    link.end(Closure::Broken);
                }
            }
        }
        self.late_inputs.borrow_mut().extend(news);
        self.flush_all();
    }
}
