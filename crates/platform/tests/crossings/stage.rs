//! Test harness: a front end's sockets, with the test acting as driver, executors and clients. Test and front end
//! share one thread, so everything the test does between two awaits happens before the front end runs again.

use bytes::Bytes;
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, Outcome};
use stagehoist_endpoints::NumberedEndpoint;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::{Attempt, Input, Ticket};
use stagehoist_platform::bounds::{Bounds, MAX_UNREAD_BYTES};
use stagehoist_platform::clients::{Clients, Shared};
use stagehoist_platform::executors::{Executors, Limits};
use stagehoist_platform::listener::Listener;
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
    /// The address that clients connect to.
    pub listen: SocketAddr,
    pub shared: Rc<Shared>,
    pub inputs: mpsc::Receiver<Input>,
    /// Tickets of the requests that clients sent, by request number.
    pub tickets: RefCell<HashMap<u32, Ticket>>,
    /// The time before which attempts must start.
    pub start_by: Cell<Micros>,
    /// The time by which the connection of an attempt must have been established.
    pub connected_by: Cell<Micros>,
}

/// Runs a test on the front end's single thread.
pub fn on_one_thread<F: std::future::Future>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { tokio::time::timeout(3 * WAIT, test).await.expect("in time") });
}

/// Returns the list's entry of an executor.
pub fn listed(worker: u32, address: SocketAddr, lifecycle: Lifecycle) -> NumberedEndpoint {
    let endpoint = Endpoint { worker, kind: 0, lifecycle, zone: 0, started: 0, cell: 0, capacity: 4.0 };
    NumberedEndpoint { name: format!("s-{worker:08x}"), address: address.to_string(), endpoint }
}

impl Stage {
    /// Creates a harness with a maximum number of connections and a capacity of the driver's queue.
    pub fn new(max_connections: usize, capacity: usize) -> Stage {
        Stage::with(max_connections, capacity, 8_000_000)
    }

    /// The same with a timeout of load orders.
    pub fn with(max_connections: usize, capacity: usize, load_timeout: Micros) -> Stage {
        let (sender, inputs) = mpsc::channel(capacity);
        let shared = Rc::new(Shared::new(Clock::new(), sender));
        tokio::task::spawn_local(shared.clone().run_read_turns());
        let limits = Limits {
            streams: 32,
            may_probe: true,
            idle_close: 60_000_000,
            connect_timeout: 8_000_000,
            load_timeout,
            report_fields: Vec::new(),
            classes: vec!["look".into()],
        };
        let bounds = Bounds {
            clients: 4,
            executors: max_connections,
            held_bytes: 1 << 20,
            unread_bytes: MAX_UNREAD_BYTES,
        };
        let settings = stagehoist_platform::PlatformSettings::parse(include_str!("../config.json")).unwrap();
        let clients = Rc::new(Clients::new(shared.clone(), Catalog::from(&settings), bounds));
        let (listener, listen) = listen(8);
        // The buffer holds all data of a client before any of it is read.
        SockRef::from(&listener).set_recv_buffer_size(1 << 20).unwrap();
        let listener = Listener::from_std(listener, shared.clock).unwrap();
        tokio::task::spawn_local(clients.clone().accept(Rc::new(listener)));
        let executors = Rc::new(Executors::new(shared.clone(), clients.clone(), limits, bounds));
        Stage {
            executors,
            clients,
            listen,
            shared,
            inputs,
            tickets: RefCell::default(),
            start_by: Cell::new(Micros::MAX),
            connected_by: Cell::new(Micros::MAX),
        }
    }

    /// Reports executor 1 as ready at an address.
    pub fn at(&self, address: SocketAddr) -> Vec<Input> {
        self.worker_at(1, address)
    }

    /// Reports an executor as ready at an address.
    pub fn worker_at(&self, worker: u32, address: SocketAddr) -> Vec<Input> {
        let listed = listed(worker, address, Lifecycle::Ready);
        self.executors.apply(EndpointUpdate::Delta, &[listed])
    }

    pub fn start(&self, request: u32, body: Bytes) {
        self.start_at(1, request, body);
    }

    /// Starts an attempt; nothing is written before the end of the batch.
    pub fn start_at(&self, worker: u32, request: u32, body: Bytes) {
        self.start_attempt_at(worker, (request, 0), body);
    }

    /// The same with the number of the attempt.
    pub fn start_attempt_at(&self, worker: u32, (request, attempt): (u32, u16), body: Bytes) {
        self.executors.start_attempt(Attempt {
            request,
            attempt,
            worker,
            address: "".into(),
            class: 0,
            function: "7f3a9c21e0b4d655".into(),
            start_by: self.start_by.get(),
            connected_by: self.connected_by.get(),
            deadline: self.shared.clock.now() + 60_000_000 as Micros,
            body,
            content_type: None,
            correlation: format!("{request:016x}").into(),
            // Requests that no client sent get tickets that are otherwise unused.
            ticket: self
                .tickets
                .borrow()
                .get(&request)
                .copied()
                .unwrap_or(Ticket::MAX - Ticket::from(request)),
            intent: None,
        });
    }

    /// Sends one small attempt in a batch of its own.
    pub fn send(&self, request: u32) {
        self.start(request, Bytes::from_static(b"x"));
        self.executors.flush_all();
    }

    /// Returns the ticket of a request once it is read; drops all inputs before it.
    pub async fn asked(&mut self, n: u32) -> Ticket {
        loop {
            let item = tokio::time::timeout(WAIT, self.inputs.recv()).await.expect("in time").unwrap();
            match item {
                Input::Call(arrival) if *arrival.correlation == *format!("{n:016x}") => {
                    self.tickets.borrow_mut().insert(n, arrival.ticket);
                    return arrival.ticket;
                }
                _ => {}
            }
        }
    }

    /// Returns how the next attempt ended.
    pub async fn end(&mut self) -> (u32, Outcome) {
        loop {
            let item = tokio::time::timeout(WAIT, self.inputs.recv()).await.expect("in time").unwrap();
            if let Input::AttemptEnded { request, result, .. } = item {
                return (request, result.outcome);
            }
        }
    }

    /// Waits until a condition holds, while the front end runs.
    pub async fn until(&self, mut holds: impl FnMut() -> bool) {
        let by = tokio::time::Instant::now() + WAIT;
        while !holds() {
            assert!(tokio::time::Instant::now() < by, "in time");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Creates a non-blocking listener of an executor.
pub fn listen(backlog: i32) -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SockAddr::from(SocketAddr::from(([127, 0, 0, 1], 0)))).unwrap();
    socket.listen(backlog).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An executor's end of a connection, and the data received on it.
pub struct Peer {
    pub stream: TcpStream,
    pub read: String,
}

impl Peer {
    pub async fn accept(stage: &Stage, listener: &TcpListener) -> Peer {
        let mut found = None;
        stage
            .until(|| {
                found = listener.accept().ok();
                found.is_some()
            })
            .await;
        let stream = found.unwrap().0;
        stream.set_nonblocking(true).unwrap();
        Peer { stream, read: String::new() }
    }

    /// Reads the available data; returns false once the connection ended.
    pub fn read_available(&mut self) -> bool {
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
        self.read_available();
        self.read.contains(text)
    }
}
