//! A front end's sockets with the test as driver, as executors and as clients: its own block, so that what
//! the test does between two waits is one instant for the front end.

use bytes::Bytes;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, Outcome};
use stagehoist_endpoints::NumberedEndpoint;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::{Attempt, Input, Ticket};
use stagehoist_platform::bounds::Bounds;
use stagehoist_platform::clients::{Clients, Shared};
use stagehoist_platform::executors::{Executors, Limits};
use stagehoist_platform::session::Catalog;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

pub const WAIT: Duration = Duration::from_secs(10);

pub struct Stage {
    pub executors: Rc<Executors>,
    pub clients: Rc<Clients>,
    /// Where clients connect.
    pub listen: SocketAddr,
    pub shared: Rc<Shared>,
    pub news: mpsc::Receiver<Input>,
    /// Tickets of requests that clients asked for, by number.
    pub tickets: RefCell<HashMap<u32, Ticket>>,
    /// When attempts must have begun.
    pub begin_by: Cell<Micros>,
}

/// Runs a test on the front end's one thread.
pub fn on_one_thread<F: std::future::Future>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { tokio::time::timeout(3 * WAIT, test).await.expect("in time") });
}

impl Stage {
    /// With so many connections at most, and room for so much inputs.
    pub fn new(links: usize, line: usize) -> Stage {
        Stage::with(links, line, 8_000_000)
    }

    /// With orders that count as lost after so long.
    pub fn with(links: usize, line: usize, load_timeout: Micros) -> Stage {
        let (sender, news) = mpsc::channel(line);
        let shared = Rc::new(Shared::new(Clock::new(), sender));
        let limits = Limits {
            streams: 32,
            idle_close: 60_000_000,
            connect_timeout: 8_000_000,
            load_timeout,
            report_fields: Vec::new(),
            classes: vec!["look".into()],
        };
        let bounds = Bounds { clients: 4, executors: links, held_bytes: 1 << 20 };
        let told = stagehoist_platform::PlatformSettings::parse(include_str!("../config.json")).unwrap();
        let clients = Rc::new(Clients::new(shared.clone(), Catalog::from(&told), bounds));
        let (listener, listen) = listen(8);
        // What a client says lies there whole before any of it is read.
        SockRef::from(&listener).set_recv_buffer_size(1 << 20).unwrap();
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        tokio::task::spawn_local(clients.clone().accept(Rc::new(listener)));
        let executors = Rc::new(Executors::new(shared.clone(), clients.clone(), limits, bounds));
        Stage {
            executors,
            clients,
            listen,
            shared,
            news,
            tickets: RefCell::default(),
            begin_by: Cell::new(Micros::MAX),
        }
    }

    /// Executor 1 is ready at an address.
    pub fn at(&self, address: SocketAddr) -> Vec<Input> {
        self.worker_at(1, address)
    }

    /// An executor is ready at an address.
    pub fn worker_at(&self, worker: u32, address: SocketAddr) -> Vec<Input> {
        let row = Endpoint {
            worker,
            kind: 0,
            lifecycle: Lifecycle::Ready,
            zone: 0,
            started: 0,
            cell: 0,
            capacity: 4.0,
        };
        let told =
            NumberedEndpoint { name: format!("s-{worker:08x}"), address: address.to_string(), endpoint: row };
        self.executors.apply(EndpointUpdate::Delta, &[told])
    }

    pub fn begin(&self, request: u32, body: Bytes) {
        self.begin_at(1, request, body);
    }

    /// Begins an attempt; nothing is written before the turn's end.
    pub fn begin_at(&self, worker: u32, request: u32, body: Bytes) {
        self.begin_attempt(worker, (request, 0), body);
    }

    /// The same with the attempt's number among those of its request.
    pub fn begin_attempt(&self, worker: u32, (request, attempt): (u32, u16), body: Bytes) {
        self.executors.start_attempt(Attempt {
            request,
            attempt,
            worker,
            address: "".into(),
            class: 0,
            function: "7f3a9c21e0b4d655".into(),
            start_by: self.begin_by.get(),
            deadline: self.shared.clock.now() + 60_000_000 as Micros,
            body,
            content_type: None,
            correlation: format!("{request:016x}").into(),
            // Those that no client asked for have tickets that none is given.
            ticket: self
                .tickets
                .borrow()
                .get(&request)
                .copied()
                .unwrap_or(Ticket::MAX - Ticket::from(request)),
            intent: None,
        });
    }

    /// One small attempt in a turn of its own.
    pub fn send(&self, request: u32) {
        self.begin(request, Bytes::from_static(b"x"));
        self.executors.flush_all();
    }

    /// The ticket of a request, once it is read; what came before it is passed over.
    pub async fn asked(&mut self, n: u32) -> Ticket {
        loop {
            let item = tokio::time::timeout(WAIT, self.news.recv()).await.expect("in time").unwrap();
            match item {
                Input::Call(arrival) if *arrival.correlation == *format!("{n:016x}") => {
                    self.tickets.borrow_mut().insert(n, arrival.ticket);
                    return arrival.ticket;
                }
                _ => {}
            }
        }
    }

    /// How the next attempt ended.
    pub async fn end(&mut self) -> (u32, Outcome) {
        loop {
            let item = tokio::time::timeout(WAIT, self.news.recv()).await.expect("in time").unwrap();
            if let Input::AttemptEnded { request, result, .. } = item {
                return (request, result.outcome);
            }
        }
    }

    /// Waits until something holds, with the front end running.
    pub async fn until(&self, mut holds: impl FnMut() -> bool) {
        let by = tokio::time::Instant::now() + WAIT;
        while !holds() {
            assert!(tokio::time::Instant::now() < by, "in time");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// An executor's listener that never waits.
pub fn listen(backlog: i32) -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SockAddr::from(SocketAddr::from(([127, 0, 0, 1], 0)))).unwrap();
    socket.listen(backlog).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// What an executor has of a connection so far.
pub struct Side {
    pub stream: TcpStream,
    pub read: String,
}

impl Side {
    pub async fn accept(stage: &Stage, listener: &TcpListener) -> Side {
        let mut found = None;
        stage
            .until(|| {
                found = listener.accept().ok();
                found.is_some()
            })
            .await;
        let stream = found.unwrap().0;
        stream.set_nonblocking(true).unwrap();
        Side { stream, read: String::new() }
    }

    /// Takes what lies in the socket; false once it ended.
    pub fn take(&mut self) -> bool {
        let mut bytes = vec![0; 1 << 20];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(n) => self.read.push_str(std::str::from_utf8(&bytes[..n]).unwrap()),
                Err(e) => return e.kind() == std::io::ErrorKind::WouldBlock,
            }
        }
    }

    pub fn has(&mut self, text: &str) -> bool {
        self.take();
        self.read.contains(text)
    }
}
