//! Clients that send at full speed for some seconds, on threads of their own, so that they do not delay the other
//! emulated systems.

use stagehoist_emulator::platform::client::array;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout_at;

/// Threads that the flooding clients of a run share.
const THREADS: usize = 4;
/// Size of a write of small messages, and of a read.
const WRITE_SIZE: usize = 64 << 10;
const READ_SIZE: usize = 64 << 10;
/// Number of writes that a client prepares and repeats where its messages need not be new, so that it sends faster than a
/// front end parses.
const PREPARED_WRITES: usize = 4;
/// Number of sound requests after which a client of [`Flood::NewConnections`] connects again.
const REQUESTS_PER_CONNECTION: usize = 300;
/// Maximum length of a body, and of the list of further figures.
const MAX_BODY: usize = 16 << 10;
/// Pause after a connection that was not established.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Time within which a client is owed an answer or a close.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
/// The first id and function of the flooding clients, which no other client uses.
const FIRST_NUMBER: u64 = 0xf100_0000_0000_0000;

/// What the flooding clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    Health,
    /// Health checks whose answers are never read.
    UnreadHealth,
    /// Requests of classes that do not exist, each another one.
    UnknownClasses,
    /// Requests without an id and a time.
    NoIdNoTime,
    /// Sound requests, each for another function.
    NewFunctions,
    /// The same, on a new connection after some hundreds of them.
    NewConnections,
    /// Requests whose body never ends.
    UnfinishedBodies,
    /// Requests with thousands of short fields.
    ManyFields,
}

impl Flood {
    pub const ALL: [Flood; 8] = [
        Flood::Health,
        Flood::UnreadHealth,
        Flood::UnknownClasses,
        Flood::NoIdNoTime,
        Flood::NewFunctions,
        Flood::NewConnections,
        Flood::UnfinishedBodies,
        Flood::ManyFields,
    ];

    /// Whether a message may be sent more than once: it never becomes a call.
    fn is_repeatable(self) -> bool {
        matches!(self, Flood::Health | Flood::UnreadHealth | Flood::UnknownClasses | Flood::NoIdNoTime)
    }
}

/// What became of the flooding clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct FloodReport {
    pub connections: usize,
    pub bytes: u64,
    /// Connections that got neither an answer nor a close in time.
    pub unanswered: usize,
    /// Longest time from the first message of a connection to its first answer or its close, or to the end of the flood.
    pub slowest_answer: Duration,
}

impl FloodReport {
    fn add(&mut self, other: &FloodReport) {
        self.connections += other.connections;
        self.bytes += other.bytes;
        self.unanswered += other.unanswered;
        self.slowest_answer = self.slowest_answer.max(other.slowest_answer);
    }
}

static NUMBERS: AtomicU64 = AtomicU64::new(FIRST_NUMBER);

/// Floods a front end from `connections` connections at once until the given time; blocks the calling thread.
pub fn run_flood(kind: Flood, connections: usize, to: SocketAddr, until: Instant) -> FloodReport {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
    runtime.unwrap().block_on(async {
        let mut clients = JoinSet::new();
        for _ in 0..connections {
            clients.spawn(run_client(kind, to, until));
        }
        let mut total = FloodReport::default();
        while let Some(report) = clients.join_next().await {
            total.add(&report.unwrap());
        }
        total
    })
}

async fn run_client(kind: Flood, to: SocketAddr, until: Instant) -> FloodReport {
    let mut report = FloodReport::default();
    while Instant::now() < until {
        let Ok(Ok(stream)) = timeout_at(until.into(), TcpStream::connect(to)).await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        report.connections += 1;
        let (read, write) = stream.into_split();
        let is_read = kind != Flood::UnreadHealth;
        let reading = tokio::spawn(read_all(read, is_read, until));
        let written = write_all(kind, write, until).await;
        report.bytes += written.bytes;
        let first_answer = reading.await.unwrap();
        if let Some(written_at) = written.first_at.filter(|_| is_read) {
            let waited = first_answer.unwrap_or(until).saturating_duration_since(written_at);
            report.unanswered += usize::from(waited >= ANSWER_LIMIT);
            report.slowest_answer = report.slowest_answer.max(waited);
        }
    }
    report
}

/// What a client has written on a connection.
#[derive(Clone, Copy, Debug, Default)]
struct Written {
    bytes: u64,
    /// When the first messages began to be written.
    first_at: Option<Instant>,
}

/// Writes until the end of the flood, or until the connection is closed or has carried enough.
async fn write_all(kind: Flood, mut write: OwnedWriteHalf, until: Instant) -> Written {
    let mut written = Written::default();
    let prepared: Vec<Vec<u8>> = match kind.is_repeatable() {
        true => (0..PREPARED_WRITES).map(|_| next_messages(kind)).collect(),
        false => Vec::new(),
    };
    let mut repeated = prepared.iter().cycle();
    while Instant::now() < until {
        let new_messages;
        let messages = match repeated.next() {
            Some(messages) => messages,
            None => {
                new_messages = next_messages(kind);
                &new_messages
            }
        };
        written.first_at = written.first_at.or(Some(Instant::now()));
        match timeout_at(until.into(), write.write_all(messages)).await {
            Ok(Ok(())) => written.bytes += messages.len() as u64,
            _ => break,
        }
        // The other clients of this thread send at the same time.
        tokio::task::yield_now().await;
        match kind {
            Flood::NewConnections => break,
            // The connection stays open until the front end closes it.
            Flood::UnfinishedBodies => {
                let _ = timeout_at(until.into(), write.as_ref().ready(tokio::io::Interest::ERROR)).await;
                break;
            }
            _ => {}
        }
    }
    written
}

/// Reads until the connection is closed or the flood ends. Returns when the first answer or the close was seen.
async fn read_all(mut read: OwnedReadHalf, is_read: bool, until: Instant) -> Option<Instant> {
    if !is_read {
        tokio::time::sleep_until(until.into()).await;
        return None;
    }
    let mut first = None;
    let mut buffer = vec![0; READ_SIZE];
    while let Ok(length) = timeout_at(until.into(), read.read(&mut buffer)).await {
        first = first.or(Some(Instant::now()));
        if !matches!(length, Ok(1..)) {
            break;
        }
    }
    first
}

fn next_messages(kind: Flood) -> Vec<u8> {
    let mut messages = Vec::new();
    let mut count = 0;
    loop {
        messages.extend(next_message(kind));
        count += 1;
        let is_enough = match kind {
            Flood::UnfinishedBodies => true,
            Flood::NewConnections => count == REQUESTS_PER_CONNECTION,
            _ => messages.len() >= WRITE_SIZE,
        };
        if is_enough {
            return messages;
        }
    }
}

fn next_message(kind: Flood) -> Vec<u8> {
    let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
    let tag = (number - FIRST_NUMBER + 1).to_string();
    let sound = format!("ref={number:016x},allow=1200,project=acme,lookup={number:016x},effort=20");
    let request = |class: &str, fields: &str, body: &[u8]| {
        array(&[b"REQ", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), body])
    };
    match kind {
        Flood::Health | Flood::UnreadHealth => array(&[b"HEALTH", tag.as_bytes(), b""]),
        Flood::UnknownClasses => request(&format!("class-{number:x}"), &sound, b"x"),
        Flood::NoIdNoTime => request("look", &format!("project=acme,lookup={number:016x}"), b"x"),
        Flood::NewFunctions | Flood::NewConnections => request("look", &sound, b"x"),
        Flood::UnfinishedBodies => {
            let mut message = request("look", &sound, &vec![b'x'; MAX_BODY]);
            message.truncate(message.len() - MAX_BODY / 8);
            message
        }
        Flood::ManyFields => {
            let figures = "a:1;".repeat((MAX_BODY - sound.len()) / 4 - 4);
            request("look", &format!("{sound},extras={figures}b:1"), b"x")
        }
    }
}
