//! The broker on a listening socket, with faults on command.

use super::{Broker, Disconnect, Micros};
use bytes::{Buf, Bytes, BytesMut};
use stagehoist_amqp::codec::put_heartbeat;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};

/// A client that takes nothing for this time is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of a write of a flood.
const FLOOD_WRITE: usize = 64 << 10;

/// What the broker's operators, or a scripted day, can do to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Faults {
    /// Cut connections that consume from a queue, at their next publish or delivery.
    Cut { queue: String, how: Disconnect },
    /// Close connections that consume from a queue, now.
    Drop { queue: String },
    /// Hold back everything written to clients for so long each time; zero ends it.
    Delay(Duration),
    /// Read nothing from any client for so long.
    StopReading(Duration),
    /// Publishes are not taken, or are again (`connection.blocked`).
    Blocked(bool),
    /// `channel.flow` to every channel.
    Flow(bool),
    /// Send heartbeats at full speed, for so long, on connections that consume from a queue.
    Heartbeats { queue: String, span: Duration },
    /// All connections end; durable queues and persistent messages stay, or nothing does.
    Restart { keep_durable: bool },
}

/// A way to give commands to a running broker and to look into it.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Faults>,
}

impl Handle {
    /// Gives a command; it is carried out at once.
    pub fn fault(&self, fault: Faults) {
        // A broker that ended takes no commands; nothing depends on it then.
        let _ = self.commands.send(fault);
    }

    /// A handle and the end of it that [`serve`] takes.
    pub fn new() -> (Handle, mpsc::UnboundedReceiver<Faults>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Handle { commands }, receiver)
    }
}

struct Shared {
    broker: RefCell<Broker>,
    wakers: RefCell<BTreeMap<u64, Rc<Notify>>>,
    started: Instant,
    delay: RefCell<Duration>,
    deaf_until: RefCell<Instant>,
    /// Connections that are flooded with heartbeats, and until when.
    heartbeats: RefCell<BTreeMap<u64, Instant>>,
}

impl Shared {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Whether a connection is flooded with heartbeats now.
    fn floods(&self, number: u64) -> bool {
        self.heartbeats.borrow().get(&number).is_some_and(|until| Instant::now() < *until)
    }

    fn wake(&self) {
        let dirty = self.broker.borrow_mut().take_dirty();
        let wakers = self.wakers.borrow();
        dirty.iter().filter_map(|number| wakers.get(number)).for_each(|waker| waker.notify_one());
    }
}

/// Serves until the listener fails or the future is dropped. Must run inside a `LocalSet`.
pub async fn serve(
    listener: TcpListener,
    broker: Broker,
    mut commands: mpsc::UnboundedReceiver<Faults>,
) -> io::Result<()> {
    let shared = Rc::new(Shared {
        broker: RefCell::new(broker),
        wakers: RefCell::default(),
        started: Instant::now(),
        delay: RefCell::default(),
        deaf_until: RefCell::new(Instant::now()),
        heartbeats: RefCell::default(),
    });
    let mut tick = tokio::time::interval(Duration::from_millis(20));
    let mut tasks = tokio::task::JoinSet::new();
    let mut commanded = true;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                let number = shared.broker.borrow_mut().connect(shared.now());
                let waker = Rc::new(Notify::new());
                shared.wakers.borrow_mut().insert(number, waker.clone());
                let shared = shared.clone();
                tasks.spawn_local(async move {
                    // A client that goes away in any manner ends its connection; there is no one to tell.
                    let _ = connection(&shared, number, stream, &waker).await;
                    shared.broker.borrow_mut().disconnect(number, shared.now());
                    shared.wakers.borrow_mut().remove(&number);
                    shared.wake();
                });
            }
            _ = tick.tick() => {
                let now = shared.now();
                shared.broker.borrow_mut().tick(now);
                shared.wake();
            }
            command = commands.recv(), if commanded => match command {
                Some(fault) => apply(&shared, fault),
                None => commanded = false,
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

fn apply(shared: &Shared, fault: Faults) {
    let now = shared.now();
    {
        let mut broker = shared.broker.borrow_mut();
        match fault {
            Faults::Cut { queue, how } => {
                for number in broker.consumers_of(&queue) {
                    broker.arm_disconnect(number, how);
                }
            }
            Faults::Drop { queue } => {
                for number in broker.consumers_of(&queue) {
                    broker.disconnect(number, now);
                    broker.dirty.insert(number);
                }
            }
            Faults::Delay(delay) => *shared.delay.borrow_mut() = delay,
            Faults::StopReading(span) => *shared.deaf_until.borrow_mut() = Instant::now() + span,
            Faults::Blocked(blocked) => broker.set_blocked(blocked),
            Faults::Flow(active) => broker.set_flow(active),
            Faults::Heartbeats { queue, span } => {
                let until = Instant::now() + span;
                for number in broker.consumers_of(&queue) {
                    shared.heartbeats.borrow_mut().insert(number, until);
                    broker.dirty.insert(number);
                }
            }
            Faults::Restart { keep_durable } => broker.restart(keep_durable, now),
        }
    }
    shared.wake();
}

/// Returns heartbeats that fill a write.
fn heartbeat_flood() -> Bytes {
    let mut flood = BytesMut::with_capacity(FLOOD_WRITE);
    while flood.len() < FLOOD_WRITE {
        put_heartbeat(&mut flood);
    }
    flood.freeze()
}

/// Writes all of the output. A client that takes nothing for [`WRITE_TIMEOUT`] is given up.
async fn write(stream: &mut TcpStream, output: &mut impl Buf) -> io::Result<()> {
    let written = tokio::time::timeout(WRITE_TIMEOUT, stream.write_all_buf(output)).await;
    written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn connection(shared: &Shared, number: u64, mut stream: TcpStream, waker: &Notify) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = vec![0u8; 64 << 10];
    let flood = heartbeat_flood();
    loop {
        let Some(mut output) = shared.broker.borrow_mut().take_output(number) else {
            return Ok(());
        };
        if !output.is_empty() {
            let delay = *shared.delay.borrow();
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            write(&mut stream, &mut output).await?;
            continue;
        }
        if shared.broker.borrow().is_over(number) {
            return stream.shutdown().await;
        }
        let deaf = *shared.deaf_until.borrow();
        if deaf > Instant::now() {
            tokio::select! {
                _ = waker.notified() => {}
                _ = tokio::time::sleep_until(deaf.into()) => {}
            }
            continue;
        }
        let floods = shared.floods(number);
        if floods {
            write(&mut stream, &mut flood.clone()).await?;
        }
        tokio::select! {
            biased;
            _ = waker.notified() => {}
            read = stream.read(&mut buffer) => {
                let n = read?;
                if n == 0 {
                    return Ok(());
                }
                shared.broker.borrow_mut().receive(number, &buffer[..n], shared.now());
                shared.wake();
            }
            // Between two writes of a flood only what is there is read.
            () = tokio::task::yield_now(), if floods => {}
        }
    }
}
