//! Client connections, with the test as client and as a driver that does not read its inputs: eviction for a new
//! connection, and process exit with a full driver queue.

use crate::stage::{on_one_thread, WAIT};
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::Input;
use stagehoist_platform::bounds::{Bounds, MAX_UNREAD_BYTES};
use stagehoist_platform::clients::{Clients, Shared};
use stagehoist_platform::listener::Listener;
use stagehoist_platform::session::Catalog;
use stagehoist_platform::PlatformSettings;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Any free port.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const HEALTH: &str = "*3\r\n$6\r\nHEALTH\r\n$1\r\n8\r\n$0\r\n\r\n";

/// Maximum number of connections in a row that may come while the system does not run the test.
const MAX_STALLED: usize = 10;

struct Front {
    clock: Clock,
    shared: Rc<Shared>,
    clients: Rc<Clients>,
    listener: Rc<Listener>,
    address: SocketAddr,
    inputs: mpsc::Receiver<Input>,
}

impl Front {
    /// Creates a front end with a maximum number of clients and a capacity of the driver's queue.
    fn new(clients: usize, capacity: usize) -> Front {
        let front = Front::listening(clients, capacity);
        front.accept();
        front
    }

    /// The same before it accepts connections.
    fn listening(clients: usize, capacity: usize) -> Front {
        let settings = PlatformSettings::parse(include_str!("../config.json")).unwrap();
        let (sender, inputs) = mpsc::channel(capacity);
        let clock = Clock::new();
        let shared = Rc::new(Shared::new(clock, sender));
        tokio::task::spawn_local(shared.clone().run_read_turns());
        tokio::task::spawn_local(shared.clone().check_stalls());
        let bounds = Bounds { clients, executors: 4, held_bytes: 1 << 20, unread_bytes: MAX_UNREAD_BYTES };
        let clients = Rc::new(Clients::new(shared.clone(), Catalog::from(&settings), bounds));
        clients.serve(true);
        let listener = Rc::new(Listener::bind(LOOPBACK, clock).unwrap());
        let address = listener.local_addr().unwrap();
        Front { clock, shared, clients, listener, address, inputs }
    }

    fn accept(&self) {
        tokio::task::spawn_local(self.clients.clone().accept(self.listener.clone()));
    }

    async fn until(&self, mut holds: impl FnMut() -> bool) {
        let by = tokio::time::Instant::now() + WAIT;
        while !holds() {
            assert!(tokio::time::Instant::now() < by, "in time");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Connects clients in order; each has sent one request.
    async fn idle(&self, many: usize) -> Vec<Peer> {
        let mut peers = Vec::new();
        for _ in 0..many {
            let mut peer = Peer::connect(self.address);
            peer.write(HEALTH);
            self.until(|| peer.answers("serving") == 1).await;
            peers.push(peer);
        }
        peers
    }
}

/// A client's end of a connection, and the data received on it.
struct Peer {
    stream: TcpStream,
    read: String,
    closed: bool,
}

impl Peer {
    fn connect(to: SocketAddr) -> Peer {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_nonblocking(true).unwrap();
        Peer { stream, read: String::new(), closed: false }
    }

    fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    fn read_available(&mut self) {
        let mut bytes = [0; 4096];
        while !self.closed {
            match self.stream.read(&mut bytes) {
                Ok(0) => self.closed = true,
                Ok(n) => self.read.push_str(std::str::from_utf8(&bytes[..n]).unwrap()),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => self.closed = true,
            }
        }
    }

    /// Returns the number of answers with this word.
    fn answers(&mut self, word: &str) -> usize {
        self.read_available();
        self.read.matches(&format!("\r\n{word}\r\n")).count()
    }
}

fn call(n: usize) -> String {
    let fields = format!("ref={n:016x},allow=1500,project=acme,lookup=7f3a9c21e0b4d655,effort=8");
    let tag = n.to_string();
    let words = ["REQ", &tag, "look", &fields, "x"];
    let words = words.map(|w| format!("${}\r\n{w}\r\n", w.len()));
    format!("*{}\r\n{}", words.len(), words.concat())
}

/// Guards against the eviction of a connection with an unread request: a new connection is pending when a request
/// arrives on the connection that was idle for the longest time. Another idle connection must be evicted.
#[test]
fn a_connection_with_an_unread_request_is_not_evicted_for_a_new_one() {
    on_one_thread(async {
        let front = Front::new(3, 64);
        let mut idle = front.idle(3).await;
        let mut new = Peer::connect(front.address);
        new.write(HEALTH);
        idle[0].write(HEALTH);
        front.until(|| new.answers("serving") == 1 && idle[0].answers("serving") == 2).await;
        front.until(|| idle[1].answers("serving") == 1 && idle[1].closed).await;
        idle.iter_mut().for_each(Peer::read_available);
        assert_eq!([idle[0].closed, idle[1].closed, idle[2].closed], [false, true, false]);
        let counters = front.clients.counters.get();
        assert_eq!((counters.accepted, counters.released, counters.not_admitted), (4, 1, 0));
    });
}

/// The same with a request on each connection: all are answered, and the new connection is not admitted.
#[test]
fn a_new_connection_is_not_admitted_while_every_socket_has_an_unread_request() {
    on_one_thread(async {
        let front = Front::new(3, 64);
        let mut idle = front.idle(3).await;
        let mut new = Peer::connect(front.address);
        idle.iter_mut().for_each(|peer| peer.write(HEALTH));
        for peer in &mut idle {
            front.until(|| peer.answers("serving") == 2).await;
        }
        front.until(|| front.clients.counters.get().not_admitted == 1).await;
        front
            .until(|| {
                new.read_available();
                new.closed
            })
            .await;
        idle.iter_mut().for_each(Peer::read_available);
        assert!(idle.iter().all(|peer| !peer.closed) && new.read.is_empty());
        assert_eq!(front.clients.counters.get().released, 0);
    });
}

/// The driver's queue has room for two inputs and the driver reads none, so the other calls wait on their connections
/// when the process exits. Each must be rejected exactly once, because none reached the module.
#[test]
fn calls_that_wait_for_a_full_driver_queue_are_rejected_at_exit() {
    on_one_thread(async {
        let mut front = Front::new(8, 2);
        let mut peers: Vec<Peer> = (0..4).map(|_| Peer::connect(front.address)).collect();
        for (n, peer) in peers.iter_mut().enumerate() {
            // Two arrive in one read, and one stays in the socket while its connection waits for the queue.
            peer.write(&(call(10 * n + 1) + &call(10 * n + 2)));
        }
        front.until(|| front.clients.unfinished().0 == 8).await;
        peers.iter_mut().enumerate().for_each(|(n, peer)| peer.write(&call(10 * n + 3)));
        tokio::task::yield_now().await;
        assert_eq!((front.inputs.len(), front.inputs.capacity()), (2, 0), "the queue is not full");
        front.clients.finish(&front.listener).await;
        for peer in &mut peers {
            assert_eq!((peer.answers("503"), peer.answers("200"), peer.answers("500")), (3, 0, 0));
        }
        assert_eq!(front.clients.unfinished(), (0, 0));
        let mut reached = 0;
        while front.inputs.try_recv().is_ok() {
            reached += 1;
        }
        assert!(reached >= 2, "the queue was not filled");
    });
}

/// Guards against counting the time in the listener's queue as the client's remaining time: the executor would be told
/// to wait longer than the client does.
#[test]
fn a_request_that_waited_in_the_listeners_queue_is_as_old_as_its_connection() {
    on_one_thread(async {
        let mut front = Front::listening(3, 64);
        let mut peer = Peer::connect(front.address);
        peer.write(&call(1));
        let sent_at = front.clock.now();
        tokio::time::sleep(Duration::from_millis(300)).await;
        front.accept();
        let Some(Input::Call(first)) = front.inputs.recv().await else { panic!("a call") };
        assert!(first.read_at <= sent_at, "read at {}, sent at {sent_at}", first.read_at);
        // A connection that comes while the front end runs is not taken for an old one. While the system does not run this
        // thread, it may be.
        for number in 2..2 + MAX_STALLED {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let connected_at = front.clock.now();
            let mut later = Peer::connect(front.address);
            later.write(&call(number));
            let Some(Input::Call(second)) = front.inputs.recv().await else { panic!("a call") };
            let (_, stalled) = front.shared.earliest_time();
            if stalled == 0 {
                let read_at = second.read_at;
                assert!(read_at >= connected_at, "read at {read_at}, connected at {connected_at}");
                return;
            }
        }
        panic!("the test's thread stalled {MAX_STALLED} times in a row");
    });
}
