//! Test harness: a front end's sockets in a process that runs out of descriptors, with the test acting as driver,
//! client, executor and bus. Test and front end share one thread, so a descriptor that the test releases and takes
//! again between two awaits is never available to the front end.

use bytes::Bytes;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use socket2::{Domain, SockAddr, Socket, Type};
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros};
use stagehoist_endpoints::NumberedEndpoint as Row;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::{Attempt, Input};
use stagehoist_platform::bounds::{Bounds, MAX_UNREAD_BYTES};
use stagehoist_platform::clients::{Clients, Shared};
use stagehoist_platform::executors::{Executors, Limits};
use stagehoist_platform::listener::Listener;
use stagehoist_platform::{session::Catalog, PlatformSettings};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use std::{fs::File, io::Read, io::Write};
use tokio::sync::mpsc;

pub const WAIT: Duration = Duration::from_secs(10);
/// Maximum number of descriptors of the process in these tests.
const MAX_DESCRIPTORS: u64 = 128;
const HEALTH: &[u8] = b"*3\r\n$6\r\nHEALTH\r\n$1\r\n8\r\n$0\r\n\r\n";
const CALL: &[u8] = b"*5\r\n$3\r\nREQ\r\n$1\r\n9\r\n$4\r\nlook\r\n$77\r\n\
    ref=9b1f03aa5c7e2d41,allow=1500,project=acme,lookup=7f3a9c21e0b4d655,effort=8\r\n$1\r\nx\r\n";

/// The limit applies to the whole process, so the tests run one at a time.
static SERIALIZE: Mutex<()> = Mutex::new(());

/// Runs a test on the front end's single thread, with a limit that it can reach.
pub fn at_the_limit<F: std::future::Future>(test: impl FnOnce(Full) -> F) {
    let _one = SERIALIZE.lock().unwrap_or_else(PoisonError::into_inner);
    let before = getrlimit(Resource::Nofile);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    setrlimit(Resource::Nofile, Rlimit { current: Some(MAX_DESCRIPTORS), ..before }).unwrap();
    let test = test(Full(Vec::new()));
    let done = local.block_on(&runtime, async { tokio::time::timeout(3 * WAIT, test).await });
    setrlimit(Resource::Nofile, before).unwrap();
    assert!(done.is_ok(), "in time");
}

/// Descriptors that the test holds so that the front end can't open them.
pub struct Full(Vec<File>);

impl Full {
    /// Takes all descriptors that are left.
    pub fn fill(&mut self) {
        while let Ok(file) = File::open("/dev/null") {
            self.0.push(file);
        }
    }

    /// Runs an action that needs descriptors, before the front end runs again; then takes those that are left.
    pub fn with<T>(&mut self, act: impl FnOnce() -> T) -> T {
        self.0.truncate(self.0.len() - 4);
        let done = act();
        self.fill();
        done
    }
}

pub struct Stage {
    pub shared: Rc<Shared>,
    pub clients: Rc<Clients>,
    pub executors: Rc<Executors>,
    pub inputs: mpsc::Receiver<Input>,
    pub listen: SocketAddr,
}

impl Stage {
    /// Creates a front end that accepts clients, with a maximum number of connections to executors.
    pub async fn new(max_connections: usize) -> Stage {
        let settings = PlatformSettings::parse(include_str!("../config.json")).unwrap();
        let (sender, inputs) = mpsc::channel(64);
        let shared = Rc::new(Shared::new(Clock::new(), sender));
        tokio::task::spawn_local(shared.clone().run_read_turns());
        let limits = Limits {
            streams: 1,
            may_probe: true,
            idle_close: 60_000_000,
            connect_timeout: 8_000_000,
            load_timeout: 8_000_000,
            report_fields: Vec::new(),
            classes: vec!["look".into()],
        };
        let bounds = Bounds {
            clients: 100,
            executors: max_connections,
            held_bytes: 1 << 20,
            unread_bytes: MAX_UNREAD_BYTES,
        };
        let clients = Rc::new(Clients::new(shared.clone(), Catalog::from(&settings), bounds));
        let executors = Rc::new(Executors::new(shared.clone(), clients.clone(), limits, bounds));
        shared.descriptors.add(&clients);
        shared.descriptors.add(&executors);
        clients.serve(true);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let listener = Rc::new(Listener::from_std(listener, shared.clock).unwrap());
        let listen = listener.local_addr().unwrap();
        tokio::task::spawn_local(clients.clone().accept(listener));
        Stage { shared, clients, executors, inputs, listen }
    }

    /// Reports these executors as ready at an address.
    pub fn at(&self, workers: &[u32], address: SocketAddr) {
        let row = |worker| Endpoint {
            worker,
            kind: 0,
            lifecycle: Lifecycle::Ready,
            zone: 0,
            started: 0,
            cell: 0,
            capacity: 4.0,
        };
        let listed =
            |w: &u32| Row { name: format!("s-{w:08x}"), address: address.to_string(), endpoint: row(*w) };
        self.executors.apply(EndpointUpdate::Delta, &workers.iter().map(listed).collect::<Vec<_>>());
    }

    /// Sends one small attempt in a batch of its own.
    pub fn send(&self, worker: u32, request: u32) {
        self.executors.start_attempt(Attempt {
            request,
            attempt: 0,
            worker,
            address: "".into(),
            class: 0,
            function: "7f3a9c21e0b4d655".into(),
            deadline: self.shared.clock.now() + 60_000_000 as Micros,
            body: Bytes::from_static(b"x"),
            content_type: None,
            correlation: format!("{request:016x}").into(),
            ticket: u64::from(request),
            start_by: i64::MAX,
            connected_by: Micros::MAX,
            intent: None,
        });
        self.executors.flush_all();
    }

    /// Returns the next input, except for reports of opened and closed connections.
    pub async fn next(&mut self) -> Input {
        loop {
            let input = tokio::time::timeout(WAIT, self.inputs.recv()).await.expect("in time").unwrap();
            if !matches!(input, Input::WorkerConnection { .. }) {
                return input;
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

    /// Returns how often the system refused to accept a connection.
    pub fn refused(&self) -> u64 {
        self.clients.counters.get().not_accepted
    }

    /// Connects clients; each has sent one request.
    pub async fn idle_clients(&self, many: usize) -> Vec<Client> {
        let mut clients: Vec<Client> = (0..many).map(|_| Client::new()).collect();
        for client in &mut clients {
            client.ask(self.listen);
            self.until(|| client.is_serving()).await;
        }
        clients
    }
}

/// A client whose descriptor is opened before the limit is reached.
pub struct Client {
    socket: Socket,
    connected: bool,
}

impl Client {
    pub fn new() -> Client {
        Client { socket: Socket::new(Domain::IPV4, Type::STREAM, None).unwrap(), connected: false }
    }

    /// Connects; the system completes the handshake although the front end has not accepted it yet.
    pub fn connect(&mut self, listen: SocketAddr) {
        if !std::mem::replace(&mut self.connected, true) {
            self.socket.connect(&listen.into()).unwrap();
            self.socket.set_nonblocking(true).unwrap();
        }
    }

    /// Writes HEALTH, and connects first if needed.
    pub fn ask(&mut self, listen: SocketAddr) {
        self.connect(listen);
        (&self.socket).write_all(HEALTH).unwrap();
    }

    /// Writes a request that stays open until it is answered.
    pub fn call(&mut self) {
        (&self.socket).write_all(CALL).unwrap();
    }

    /// Whether a `serving` answer has arrived; reads the available data.
    pub fn is_serving(&mut self) -> bool {
        let mut bytes = [0; 256];
        let n = (&self.socket).read(&mut bytes).unwrap_or(0);
        bytes[..n].windows(7).any(|w| w == b"serving")
    }
}

/// Creates a non-blocking listener.
pub fn listen(at: SocketAddr) -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SockAddr::from(at)).unwrap();
    socket.listen(64).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns an address that the system neither assigns nor connects from, for a bus that may be unreachable for a
/// while.
pub fn own_address() -> SocketAddr {
    let [_, b, c, d] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 + b % 64, c, d.clamp(1, 254)], 5400))
}

pub fn anywhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Accepts the next connection; the descriptor that it needs is never available to the front end.
pub async fn accept(stage: &Stage, full: &mut Full, listener: &TcpListener) -> TcpStream {
    let mut found = None;
    stage
        .until(|| {
            found = full.with(|| listener.accept().ok());
            found.is_some()
        })
        .await;
    let stream = found.unwrap().0;
    stream.set_nonblocking(true).unwrap();
    stream
}

/// Reads until a text has arrived.
pub async fn read_until(stage: &Stage, mut stream: &TcpStream, text: &str) {
    let mut read = String::new();
    let mut bytes = [0; 4096];
    stage
        .until(|| {
            if let Ok(n) = stream.read(&mut bytes) {
                read.push_str(std::str::from_utf8(&bytes[..n]).unwrap());
            }
            read.contains(text)
        })
        .await;
}
