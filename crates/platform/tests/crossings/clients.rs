//! Clients' connections, with the test as client and as a driver that takes no inputs: a newcomer for whom one makes way, and
//! the end of a process whose line is full.

use crate::stage::{on_one_thread, WAIT};
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::Input;
use stagehoist_platform::bounds::Bounds;
use stagehoist_platform::clients::{Clients, Shared};
use stagehoist_platform::session::Catalog;
use stagehoist_platform::PlatformSettings;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const HEALTH: &str = "*3\r\n$6\r\nHEALTH\r\n$1\r\n8\r\n$0\r\n\r\n";

struct Front {
    clients: Rc<Clients>,
    listener: Rc<TcpListener>,
    address: SocketAddr,
    news: mpsc::Receiver<Input>,
}

impl Front {
    /// With so many clients at once, and room for so much inputs.
    async fn new(clients: usize, line: usize) -> Front {
        let told = PlatformSettings::parse(include_str!("../config.json")).unwrap();
        let (sender, news) = mpsc::channel(line);
        let shared = Rc::new(Shared::new(Clock::new(), sender));
        let bounds = Bounds { clients, executors: 4, held_bytes: 1 << 20 };
        let clients = Rc::new(Clients::new(shared, Catalog::from(&told), bounds));
        clients.serve(true);
        let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(clients.clone().accept(listener.clone()));
        Front { clients, listener, address, news }
    }

    async fn until(&self, mut holds: impl FnMut() -> bool) {
        let by = tokio::time::Instant::now() + WAIT;
        while !holds() {
            assert!(tokio::time::Instant::now() < by, "in time");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Clients that were accepted in this order and have asked once.
    async fn idle(&self, many: usize) -> Vec<Side> {
        let mut sides = Vec::new();
        for _ in 0..many {
            let mut side = Side::connect(self.address);
            side.write(HEALTH);
            self.until(|| side.answers("serving") == 1).await;
            sides.push(side);
        }
        sides
    }
}

/// A client's side of a connection, and what came on it.
struct Side {
    stream: TcpStream,
    read: String,
    closed: bool,
}

impl Side {
    fn connect(to: SocketAddr) -> Side {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_nonblocking(true).unwrap();
        Side { stream, read: String::new(), closed: false }
    }

    fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    fn take(&mut self) {
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

    /// How many answers with this word came.
    fn answers(&mut self, word: &str) -> usize {
        self.take();
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

/// The newcomer is in the listener's line first, then a request comes on the connection that has been idle for longest, in
/// one instant: another makes way.
#[test]
fn a_connection_with_a_request_in_its_socket_makes_way_for_no_newcomer() {
    on_one_thread(async {
        let front = Front::new(3, 64).await;
        let mut idle = front.idle(3).await;
        let mut new = Side::connect(front.address);
        new.write(HEALTH);
        idle[0].write(HEALTH);
        front.until(|| new.answers("serving") == 1 && idle[0].answers("serving") == 2).await;
        front.until(|| idle[1].answers("serving") == 1 && idle[1].closed).await;
        idle.iter_mut().for_each(Side::take);
        assert_eq!([idle[0].closed, idle[1].closed, idle[2].closed], [false, true, false]);
        let counters = front.clients.counters.get();
        assert_eq!((counters.accepted, counters.released, counters.not_admitted), (4, 1, 0));
    });
}

/// The same with a request on each: all of them are answered, and the newcomer is not admitted.
#[test]
fn where_a_request_lies_in_every_socket_the_newcomer_is_not_admitted() {
    on_one_thread(async {
        let front = Front::new(3, 64).await;
        let mut idle = front.idle(3).await;
        let mut new = Side::connect(front.address);
        idle.iter_mut().for_each(|side| side.write(HEALTH));
        for side in &mut idle {
            front.until(|| side.answers("serving") == 2).await;
        }
        front.until(|| front.clients.counters.get().not_admitted == 1).await;
        front
            .until(|| {
                new.take();
                new.closed
            })
            .await;
        idle.iter_mut().for_each(Side::take);
        assert!(idle.iter().all(|side| !side.closed) && new.read.is_empty());
        assert_eq!(front.clients.counters.get().released, 0);
    });
}

/// The driver's line has room for two and the driver takes none: the others wait for it, one by one on each connection, when
/// the process ends. Each is refused, once: none reached the module.
#[test]
fn calls_that_wait_for_a_full_line_are_refused_at_the_end() {
    on_one_thread(async {
        let mut front = Front::new(8, 2).await;
        let mut sides: Vec<Side> = (0..4).map(|_| Side::connect(front.address)).collect();
        for (n, side) in sides.iter_mut().enumerate() {
            // Two in one read, and one that lies in the socket as its connection waits for the line.
            side.write(&(call(10 * n + 1) + &call(10 * n + 2)));
        }
        front.until(|| front.clients.unfinished().0 == 8).await;
        sides.iter_mut().enumerate().for_each(|(n, side)| side.write(&call(10 * n + 3)));
        tokio::task::yield_now().await;
        assert_eq!((front.news.len(), front.news.capacity()), (2, 0), "the line is full");
        front.clients.finish(&front.listener).await;
        for side in &mut sides {
            assert_eq!((side.answers("503"), side.answers("200"), side.answers("500")), (3, 0, 0));
        }
        assert_eq!(front.clients.unfinished(), (0, 0));
        let mut reached = 0;
        while front.news.try_recv().is_ok() {
            reached += 1;
        }
        assert!(reached >= 2, "what filled the line");
    });
}
