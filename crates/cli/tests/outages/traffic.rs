//! A client of a front end: sends requests at a given rate over successive connections, and records requests and answers.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{Answered, Client, SentRequest};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A request sent within this time before its connection closes may have crossed the close, and is retried once.
const CROSSING: Duration = Duration::from_millis(50);
/// Delay after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of requests in flight on a connection.
const MAX_OPEN: usize = 32;
/// Fraction of requests that call the newest function.
const NEWEST_PART: f64 = 0.2;
/// Upper bound of the short client timeouts.
const MAX_SHORT_ALLOW_MS: u64 = 60;
/// Size of the range of request numbers of one client.
const NUMBERS: u64 = 1 << 24;

/// Parameters of the clients' load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Clients of each front end; each uses one connection at a time.
    pub clients: usize,
    /// Requests per second at each front end.
    pub rate: f64,
    /// Number of functions that are called from the start.
    pub functions: u64,
    /// Number of requests after which each client calls another new function; 0: never.
    pub new_function_after: u64,
    /// Timeout of the clients.
    pub allow: Duration,
    /// Fraction of requests that are non-idempotent.
    pub unsafe_part: f64,
    /// Fraction of requests that are cancelled shortly after they are sent.
    pub cancelled_part: f64,
    /// Fraction of requests with a short client timeout.
    pub short_part: f64,
}

/// Phases of a run, which determine whether clients may connect and send requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Clients connect when needed.
    Open,
    /// Clients keep their connections open and send no requests.
    Quiet,
    /// Clients use only connections that are already open.
    OpenConnections,
    /// Clients send no further requests.
    Over,
}

/// Requests and answers of a client.
#[derive(Default)]
pub struct Ledger {
    pub requests: Vec<SentRequest>,
    pub answers: Vec<Answered>,
}

struct Connection {
    client: Client,
    /// Positions of its requests in the ledger.
    request_positions: Vec<usize>,
}

/// Sends requests until the phase is `Over`, then waits for outstanding answers until they time out.
pub async fn run_client(
    number: usize,
    to: SocketAddr,
    load: Load,
    seed: u64,
    mut phase: watch::Receiver<Phase>,
) -> Ledger {
    let mut traffic = Traffic {
        ledger: Ledger::default(),
        random: ChaCha8Rng::seed_from_u64(seed ^ (number as u64) << 32),
        number,
        next: 1,
        load,
    };
    let mut connection: Option<Connection> = None;
    loop {
        let pause =
            Duration::from_secs_f64(traffic.random.random_range(0.0..2.0) * load.clients as f64 / load.rate);
        tokio::time::sleep(pause).await;
        let now = *phase.borrow_and_update();
        match now {
            Phase::Over => break,
            Phase::Quiet => continue,
            Phase::Open | Phase::OpenConnections => {}
        }
        if connection.as_ref().is_some_and(|open| open.client.closed().is_some()) {
            let crossed = connection.take().map(|closed| traffic.collect(closed)).unwrap_or_default();
            connection = traffic.connect(to, now).await;
            if let Some(open) = connection.as_mut() {
                for index in crossed {
                    traffic.retry(open, index).await;
                }
            }
        }
        if connection.is_none() {
            connection = traffic.connect(to, now).await;
        }
        if let Some(open) = connection.as_mut() {
            traffic.send_request(open).await;
        }
    }
    if let Some(mut open) = connection {
        let answers = open.request_positions.len();
        open.client.wait(answers, load.allow + CROSSING).await;
        traffic.collect(open);
    }
    traffic.ledger
}

struct Traffic {
    ledger: Ledger,
    random: ChaCha8Rng,
    number: usize,
    next: u64,
    load: Load,
}

impl Traffic {
    async fn connect(&mut self, to: SocketAddr, phase: Phase) -> Option<Connection> {
        if phase != Phase::Open {
            return None;
        }
        match Client::connect(to).await {
            Ok(client) => Some(Connection { client, request_positions: Vec::new() }),
            Err(_) => {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                None
            }
        }
    }

    /// Records the answers of a finished connection. Removes the requests that are to be retried from the ledger and returns
    /// them.
    fn collect(&mut self, connection: Connection) -> Vec<SentRequest> {
        let answers = connection.client.answers();
        let closed = connection.client.closed();
        let mut crossed = Vec::new();
        for &position in &connection.request_positions {
            let request = &self.ledger.requests[position];
            let is_answered = answers.iter().any(|answer| answer.tag == request.tag);
            let has_crossed = closed.is_some_and(|at| request.at + CROSSING > at);
            if !is_answered && has_crossed && request.left.is_none() {
                crossed.push(position);
            }
        }
        self.ledger.answers.extend(answers);
        // Removes from the end, so that the earlier positions remain valid.
        let again = crossed.iter().rev().map(|&position| self.ledger.requests.remove(position));
        again.collect()
    }

    async fn send_request(&mut self, connection: &mut Connection) {
        let open = connection.request_positions.len().saturating_sub(connection.client.answers().len());
        if open >= MAX_OPEN {
            return;
        }
        let n = self.number as u64 * NUMBERS + self.next;
        self.next += 1;
        let is_unsafe = self.random.random_bool(self.load.unsafe_part);
        let first_calls = self.next.checked_div(self.load.new_function_after).unwrap_or(0);
        let functions = self.load.functions + first_calls;
        let is_newest = self.random.random_bool(NEWEST_PART);
        let function = if is_newest { functions - 1 } else { self.random.random_range(0..functions) };
        let allow = self.draw_allow();
        let request = SentRequest {
            at: Instant::now(),
            id: format!("{n:016x}"),
            tag: n.to_string(),
            allow,
            is_unsafe,
            body: format!("{function:x}").into_bytes(),
            left: None,
        };
        self.write(connection, request).await;
        if self.random.random_bool(self.load.cancelled_part) {
            self.cancel_last(connection).await;
        }
    }

    fn draw_allow(&mut self) -> Duration {
        if self.load.short_part > 0.0 && self.random.random_bool(self.load.short_part) {
            return Duration::from_millis(self.random.random_range(1..=MAX_SHORT_ALLOW_MS));
        }
        self.load.allow
    }

    async fn retry(&mut self, connection: &mut Connection, crossed: SentRequest) {
        // The retry uses a number above the ranges of all clients, so that no other request has it.
        let tag = (NUMBERS * 512 + crossed.tag.parse::<u64>().unwrap_or(0)).to_string();
        if crossed.tag.len() < tag.len() {
            self.write(connection, SentRequest { at: Instant::now(), tag, ..crossed }).await;
        }
    }

    async fn write(&mut self, connection: &mut Connection, request: SentRequest) {
        let function = String::from_utf8_lossy(&request.body).into_owned();
        let fields = format!(
            "ref={},allow={},project=acme,lookup={function:0>16},effort=20,extras=memory_mb:64;lanes:4",
            request.id,
            request.allow.as_millis()
        );
        let class = if request.is_unsafe { "book" } else { "look" };
        let tag = request.tag.parse().unwrap_or(0);
        if connection.client.request(tag, class, &fields, &request.body).await.is_ok() {
            connection.request_positions.push(self.ledger.requests.len());
            self.ledger.requests.push(request);
        }
    }

    async fn cancel_last(&mut self, connection: &mut Connection) {
        let Some(&position) = connection.request_positions.last() else { return };
        let pause = Duration::from_millis(self.random.random_range(0..30));
        tokio::time::sleep(pause).await;
        let request = &mut self.ledger.requests[position];
        let left = Instant::now();
        if connection.client.raw(&array(&[b"ABORT", request.tag.as_bytes()])).await.is_ok() {
            request.left = Some(left);
        }
    }
}
