//! Executors' sockets: a few connections to each, kept by its id; handshakes beside the path of calls; what an ended
//! connection means for each request that was on it.

use crate::bounds::Bounds;
use crate::clients::Shared;
use crate::fields;
use crate::line::{End, Line, What};
use socket2::SockRef;
use stagehoist::{FunctionId, Lifecycle, Micros, Outcome, RequestId, RosterForm, WorkerId};
use stagehoist_gateway::state::{Attempt, AttemptResult, News};
use stagehoist_membership::Told;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Handshakes with one executor at once.
const HANDSHAKES: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    Up,
    /// Takes nothing more; `End` is how.
    Over(End),
}

/// One connection.
struct Link {
    worker: WorkerId,
    line: RefCell<Line>,
    stream: RefCell<Option<Rc<TcpStream>>>,
    wake: Notify,
    state: Cell<State>,
    dirty: Cell<bool>,
}

impl Link {
    fn end(&self, how: End) {
        if !matches!(self.state.get(), State::Over(_)) {
            self.state.set(State::Over(how));
        }
        self.wake.notify_one();
    }
}

struct Executor {
    address: Rc<str>,
    ready: bool,
    links: Vec<Rc<Link>>,
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
}

struct Flying {
    link: Rc<Link>,
    id: (u64, Rc<str>),
}

/// All executors of a front end.
pub struct Executors {
    shared: Rc<Shared>,
    limits: Limits,
    bounds: Bounds,
    executors: RefCell<HashMap<WorkerId, Executor>>,
    flying: RefCell<HashMap<(RequestId, u16), Flying>>,
    links: Cell<usize>,
    dirty: RefCell<Vec<Rc<Link>>>,
    /// News that arose while choices were carried out.
    late_news: RefCell<Vec<News>>,
    pub counters: Cell<ExecutorCounters>,
}

impl Executors {
    pub fn new(shared: Rc<Shared>, limits: Limits, bounds: Bounds) -> Executors {
        Executors {
            shared,
            limits,
            bounds,
            executors: RefCell::default(),
            flying: RefCell::default(),
            links: Cell::new(0),
            dirty: RefCell::default(),
            late_news: RefCell::default(),
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

    pub fn connections(&self) -> usize {
        self.links.get()
    }

    /// What the event bus told. What waits for an executor that takes nothing new is withdrawn at once.
    pub fn told(&self, form: RosterForm, told: &[Told]) -> Vec<News> {
        let now = self.shared.clock.now();
        let mut news = Vec::new();
        let mut executors = self.executors.borrow_mut();
        if form != RosterForm::Delta {
            let listed: HashSet<WorkerId> = told.iter().map(|t| t.row.worker).collect();
            executors.iter_mut().filter(|(w, _)| !listed.contains(w)).for_each(|(_, e)| e.ready = false);
        }
        for t in told {
            let ready = t.row.lifecycle == Lifecycle::Ready;
            let entry = executors.entry(t.row.worker).or_insert_with(|| Executor {
                address: "".into(),
                ready,
                links: Vec::new(),
            });
            entry.ready = ready;
            if ready && *entry.address != *t.address {
                entry.address = t.address.as_str().into();
                // What stands at the old address is no longer this executor.
                entry.links.iter().filter(|l| l.line.borrow().is_idle()).for_each(|l| l.end(End::Broken));
            }
        }
        for link in executors.values().filter(|e| !e.ready).flat_map(|e| &e.links) {
            link.line.borrow_mut().withdraw(now, &mut news);
            if link.line.borrow().is_idle() {
                link.end(End::Broken);
            }
        }
        executors.retain(|_, e| e.ready || !e.links.is_empty());
        self.settled(&news);
        news
    }

    /// Opens a connection, off the path of calls.
    fn open(self: &Rc<Self>, worker: WorkerId) -> Option<Rc<Link>> {
        if self.links.get() >= self.bounds.executors && !self.spare_one(worker) {
            return None;
        }
        let mut executors = self.executors.borrow_mut();
        let executor = executors.get_mut(&worker)?;
        let link = Rc::new(Link {
            worker,
            line: RefCell::new(Line::new(self.shared.clock.now())),
            stream: RefCell::default(),
            wake: Notify::new(),
            state: Cell::new(State::Connecting),
            dirty: Cell::new(false),
        });
        executor.links.push(link.clone());
        self.links.set(self.links.get() + 1);
        tokio::task::spawn_local(self.clone().talk(link.clone(), executor.address.clone()));
        Some(link)
    }

    /// Closes an idle connection of another executor.
    fn spare_one(&self, but: WorkerId) -> bool {
        let executors = self.executors.borrow();
        let idle = executors.iter().filter(|(w, _)| **w != but).flat_map(|(_, e)| &e.links);
        let idle = idle.filter(|l| l.state.get() == State::Up && l.line.borrow().is_idle());
        match idle.min_by_key(|l| l.line.borrow().active()) {
            Some(link) => {
                link.end(End::Broken);
                true
            }
            None => false,
        }
    }

    /// A connection for a request: an idle one, else one with room, else one in its handshake, else a new one. Connections
    /// come by need: a further one only where none stood idle, as every front end holds some at every executor.
    fn pick(self: &Rc<Self>, worker: WorkerId, id: Option<u64>) -> Option<Rc<Link>> {
        let (chosen, spare) = {
            let executors = self.executors.borrow();
            let executor = executors.get(&worker)?;
            let each = self.bounds.each(executors.values().filter(|e| e.ready).count());
            let usable = |l: &&Rc<Link>| {
                let line = l.line.borrow();
                let room = line.attempts() < self.limits.streams && !id.is_some_and(|id| line.has(id));
                room && !line.is_silent() && !matches!(l.state.get(), State::Over(_))
            };
            let mut idle = None;
            for link in executor.links.iter().filter(usable) {
                if link.state.get() != State::Up || !link.line.borrow().is_idle() {
                    continue;
                }
                // Found dead before anything is written.
                if is_dead(link) {
                    link.end(End::Broken);
                    continue;
                }
                let active = link.line.borrow().active();
                if idle.as_ref().is_none_or(|(at, _)| active > *at) {
                    idle = Some((active, link.clone()));
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
        chosen
    }

    fn mark(&self, link: Rc<Link>) {
        if !link.dirty.replace(true) {
            self.dirty.borrow_mut().push(link);
        }
    }

    /// Begins an attempt; its end comes as [`News::Attempt`].
    pub fn attempt(self: &Rc<Self>, attempt: Attempt) {
        let (request, number) = (attempt.request, attempt.attempt);
        if let Err(outcome) = self.begin(attempt) {
            let result = AttemptResult::bare(outcome);
            self.late_news.borrow_mut().push(News::Attempt { request, attempt: number, result });
        }
    }

    /// What ends it here and now, which proves that nothing ran. For want of descriptors of its own it is `Full`: that speaks
    /// against no executor.
    fn begin(self: &Rc<Self>, attempt: Attempt) -> Result<(), Outcome> {
        let Some(id) = fields::hex16(attempt.correlation.as_bytes()) else {
            return Err(Outcome::ConnectFailed);
        };
        let Some(class) = self.limits.classes.get(attempt.class as usize) else {
            return Err(Outcome::ConnectFailed);
        };
        if !self.executors.borrow().get(&attempt.worker).is_some_and(|e| e.ready) {
            return Err(Outcome::ConnectFailed);
        }
        let Some(link) = self.pick(attempt.worker, Some(id)) else { return Err(Outcome::Full) };
        let now = self.shared.clock.now();
        let wait = ((attempt.due - now) / 1000).max(1);
        let list = format!("class={class},key={},wait={wait}", attempt.function);
        let what = What::Attempt { request: attempt.request, attempt: attempt.attempt };
        let queued = link.line.borrow_mut().run((id, &attempt.correlation), &list, &attempt.body, what, now);
        if !queued {
            return Err(Outcome::ConnectFailed);
        }
        let flying = Flying { link: link.clone(), id: (id, attempt.correlation) };
        self.flying.borrow_mut().insert((attempt.request, attempt.attempt), flying);
        self.mark(link);
        Ok(())
    }

    /// Gives up an attempt; nothing more is heard of it.
    pub fn abort(&self, request: RequestId, attempt: u16) {
        let Some(flying) = self.flying.borrow_mut().remove(&(request, attempt)) else { return };
        let now = self.shared.clock.now();
        flying.link.line.borrow_mut().stop(flying.id.0, &flying.id.1, now, self.limits.connect_timeout);
        self.mark(flying.link);
    }

    /// Asks an executor for its load; the answer comes as [`News::Probed`].
    pub fn probe(self: &Rc<Self>, worker: WorkerId) {
        let sent = self.shared.clock.now();
        match self.pick(worker, None) {
            Some(link) => {
                let report = !self.limits.report.is_empty();
                link.line.borrow_mut().probe(report, What::Probe { worker, sent }, sent);
                self.mark(link);
            }
            None => {
                let (outcome, report, draining) = (Outcome::ConnectFailed, None, None);
                self.late_news.borrow_mut().push(News::Probed { worker, sent, outcome, report, draining });
            }
        }
    }

    /// Orders copies of a function; the answer comes as [`News::Loaded`].
    pub fn load(self: &Rc<Self>, worker: WorkerId, function: FunctionId, name: &str, copies: u8) {
        let sent = self.shared.clock.now();
        let ready = self.executors.borrow().get(&worker).is_some_and(|e| e.ready);
        let link = if ready || copies == 0 { self.pick(worker, None) } else { None };
        match link {
            Some(link) => {
                let what = What::Load { worker, function, sent };
                link.line.borrow_mut().hold(name, copies, what, sent);
                self.mark(link);
            }
            None => {
                let (outcome, copies) = (Outcome::ConnectFailed, 0);
                self.late_news.borrow_mut().push(News::Loaded { worker, function, sent, outcome, copies });
            }
        }
    }

    /// Has idle copies unloaded; nothing is heard of it.
    pub fn unload(self: &Rc<Self>, worker: WorkerId, name: &str) {
        if let Some(link) = self.pick(worker, None) {
            link.line.borrow_mut().free(name, self.shared.clock.now());
            self.mark(link);
        }
    }

    /// Closes idle connections to an executor.
    pub fn close_idle(&self, worker: WorkerId) {
        if let Some(executor) = self.executors.borrow().get(&worker) {
            executor.links.iter().filter(|l| l.line.borrow().is_idle()).for_each(|l| l.end(End::Broken));
        }
    }

    /// Writes what the turn brought, and passes on what arose from it.
    pub fn turned(&self) {
        let dirty = std::mem::take(&mut *self.dirty.borrow_mut());
        for link in dirty {
            link.dirty.set(false);
            self.flush(&link);
        }
        let mut late = self.late_news.borrow_mut();
        while let Some(item) = late.pop() {
            if let Err(tokio::sync::mpsc::error::TrySendError::Full(item)) = self.shared.news.try_send(item) {
                // Told with the next turn or tending.
                late.push(item);
                return;
            }
        }
    }

    fn flush(&self, link: &Link) {
        let Some(stream) = link.stream.borrow().clone() else { return };
        if link.state.get() != State::Up {
            return;
        }
        let mut line = link.line.borrow_mut();
        let mut bytes = Vec::new();
        while line.wants_write() {
            bytes.clear();
            line.fill(&mut bytes);
            match stream.try_write(&bytes) {
                Ok(n) => line.wrote(n, self.shared.clock.now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return link.wake.notify_one(),
                Err(_) => return link.end(End::Broken),
            }
        }
    }

    async fn talk(self: Rc<Self>, link: Rc<Link>, address: Rc<str>) {
        let limit = Duration::from_micros(self.limits.connect_timeout as u64);
        let connecting = tokio::time::timeout(limit, TcpStream::connect(&*address));
        tokio::pin!(connecting);
        let stream = loop {
            tokio::select! {
                done = &mut connecting => break done.ok().and_then(Result::ok),
                () = link.wake.notified() => if matches!(link.state.get(), State::Over(_)) { break None },
            }
        };
        match stream.filter(|s| s.set_nodelay(true).is_ok() && link.state.get() == State::Connecting) {
            None => {
                self.count(|c| c.not_up += 1);
                link.state.set(State::Over(End::NotUp));
            }
            Some(stream) => {
                self.count(|c| c.connected += 1);
                let stream = Rc::new(stream);
                *link.stream.borrow_mut() = Some(stream.clone());
                link.state.set(State::Up);
                self.flush(&link);
                self.exchange(&link, &stream).await;
            }
        }
        self.ended(&link).await;
    }

    async fn exchange(&self, link: &Rc<Link>, stream: &TcpStream) {
        let mut news = Vec::new();
        while link.state.get() == State::Up {
            let write = link.line.borrow().wants_write();
            tokio::select! {
                biased;
                () = link.wake.notified() => {}
                ready = stream.readable() => match ready {
                    Ok(()) => self.read(link, stream, &mut news),
                    Err(_) => link.end(End::Broken),
                },
                ready = stream.writable(), if write => match ready {
                    Ok(()) => self.flush(link),
                    Err(_) => link.end(End::Broken),
                },
            }
            self.settled(&news);
            for item in news.drain(..) {
                // A driver that ended needs no news.
                let _ = self.shared.news.send(item).await;
            }
        }
    }

    fn read(&self, link: &Link, stream: &TcpStream, news: &mut Vec<News>) {
        let mut scratch = self.shared.scratch.borrow_mut();
        match stream.try_read(&mut scratch) {
            Ok(0) => link.end(End::Broken),
            Ok(n) => {
                let (now, late) = self.shared.read_time();
                let read = link.line.borrow_mut().receive(
                    &scratch[..n],
                    (now, now - late),
                    &self.limits.report,
                    news,
                );
                if let Err(why) = read {
                    tracing::debug!(worker = format!("s-{:08x}", link.worker), %why, "connection given up");
                    link.end(End::Poisoned);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => link.end(End::Broken),
        }
    }

    /// These attempts are over.
    fn settled(&self, news: &[News]) {
        let mut flying = self.flying.borrow_mut();
        for item in news {
            if let News::Attempt { request, attempt, .. } = item {
                flying.remove(&(*request, *attempt));
            }
        }
        if flying.capacity() > 8 * flying.len() + 1024 {
            flying.shrink_to_fit();
        }
    }

    async fn ended(&self, link: &Rc<Link>) {
        let how = match link.state.get() {
            State::Over(how) => how,
            _ => End::Broken,
        };
        link.state.set(State::Over(how));
        if let (End::Poisoned, Some(stream)) = (how, &*link.stream.borrow()) {
            // What was written and not read there yet is dropped with it.
            let _ = stream.set_zero_linger();
        }
        *link.stream.borrow_mut() = None;
        match how {
            End::NotUp => {}
            End::Broken => self.count(|c| c.broken += 1),
            End::Poisoned => self.count(|c| c.poisoned += 1),
        }
        let mut news = Vec::new();
        link.line.borrow_mut().end(how, self.shared.clock.now(), &mut news);
        self.settled(&news);
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
            let _ = self.shared.news.send(item).await;
        }
    }

    /// Ends what waited in vain: probes, orders, answers that stopped short; closes idle connections.
    pub fn tend(&self) {
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
                let useless = idle && (unused || !executor.ready || line.is_silent());
                drop(line);
                if over {
                    link.end(End::Poisoned);
                } else if useless {
                    link.end(End::Broken);
                }
            }
        }
        self.late_news.borrow_mut().extend(news);
        self.turned();
    }
}

/// Whether the other side closed a connection that is idle: what the socket knows already, asked without waiting.
fn is_dead(link: &Link) -> bool {
    let Some(stream) = link.stream.borrow().clone() else { return true };
    match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit(); 1]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}
