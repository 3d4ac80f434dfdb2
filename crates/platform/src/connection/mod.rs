//! One executor's connection, without I/O. It carries many requests at once, and answers may arrive in any order. A
//! request of which no byte was written is known not to have run. Unparsable input ends the connection, and every
//! request started on it may have run.

mod delivery;
mod ending;
mod header;
mod reading;

use bytes::BytesMut;
use delivery::{DeliveryTracker, Position};
use stagehoist::{FunctionId, Micros, RequestId, WorkerId};
use std::collections::{HashMap, VecDeque};
use std::ops::Range;

/// Maximum length of an answer's body.
pub const MAX_ANSWER: usize = 64 << 10;
/// Maximum number of bytes gathered for one write.
const MAX_WRITE: usize = 64 << 10;
/// Maximum number of abandoned ids kept: twice the number of requests that may be in flight at once.
const MAX_ABANDONED: usize = 64;
/// Maximum number of consecutive answers without a pending exchange. A few are normal: second copies, and answers to
/// abandoned requests.
const MAX_UNEXPECTED: u32 = 4096;

/// The header fields of a request.
#[derive(Clone, Copy, Debug)]
pub struct RunRequest<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// The function.
    pub function: &'a str,
    /// When its client times out.
    pub deadline: Micros,
}

/// Why the input of an executor is a protocol violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    #[error("a header line of an executor is malformed")]
    Line,
    #[error("a header line of an executor exceeds the maximum length")]
    Endless,
    #[error("the body length in an executor's answer is invalid, too large or does not match the body")]
    Length,
    #[error("an executor's answer was not complete before the timeout")]
    Short,
    #[error("the executor keeps sending answers that nothing awaits")]
    Unexpected,
    #[error("the executor has sent nothing since a load order that timed out")]
    Silent,
    #[error("the executor did not confirm in time that an abandoned request had arrived")]
    Unconfirmed,
}

/// Identifies an exchange on the connection: the id that the client gave its request, or a tag of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tag {
    Call(u64),
    Internal(u64),
}

/// An exchange whose answer is awaited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exchange {
    Attempt {
        request: RequestId,
        attempt: u16,
    },
    HealthCheck {
        worker: WorkerId,
        sent: Micros,
    },
    /// No byte of the load order is written after `start_by`.
    Load {
        worker: WorkerId,
        function: FunctionId,
        sent: Micros,
        start_by: Micros,
    },
    /// Confirms that everything written before it has arrived.
    DeliveryCheck {
        sent: Micros,
    },
}

impl Exchange {
    /// Returns the attempt that this exchange belongs to, if any.
    pub fn attempt(&self) -> Option<(RequestId, u16)> {
        match self {
            Exchange::Attempt { request, attempt } => Some((*request, *attempt)),
            _ => None,
        }
    }

    /// Whether the executor answers it at once with its health.
    fn is_probe(&self) -> bool {
        matches!(self, Exchange::HealthCheck { .. } | Exchange::DeliveryCheck { .. })
    }
}

/// A request that was started and abandoned, and is not answered.
#[derive(Debug)]
struct AbandonedRequest {
    id: u64,
    position: Position,
}

#[derive(Debug)]
struct PendingExchange {
    exchange: Exchange,
    /// When its first byte was written, if it was.
    started_at: Option<Micros>,
    /// Set once its last byte was written.
    written: Option<WrittenMessage>,
}

/// A message of which all bytes were written.
#[derive(Clone, Copy, Debug)]
struct WrittenMessage {
    at: Micros,
    position: Position,
}

impl PendingExchange {
    fn is_delivery_check(&self) -> bool {
        matches!(self.exchange, Exchange::DeliveryCheck { .. })
    }

    /// Whether bytes of it were written, other than those of a delivery check, which starts nothing at the executor.
    fn is_started(&self) -> bool {
        self.started_at.is_some() && !self.is_delivery_check()
    }
}

#[derive(Debug)]
struct Outgoing {
    tag: Option<Tag>,
    bytes: Vec<u8>,
    done: usize,
    wait: Option<Wait>,
}

/// The field of a queued request that states how long its client waits.
#[derive(Debug)]
struct Wait {
    /// When the client times out.
    deadline: Micros,
    /// The position of the number in the message's bytes.
    digits: Range<usize>,
}

impl Outgoing {
    /// Updates the stated client wait of a request that is not started.
    fn update_wait(&mut self, now: Micros) {
        let Some(wait) = self.wait.as_mut().filter(|_| self.done == 0) else { return };
        let remaining = remaining_ms(wait.deadline, now);
        self.bytes.splice(wait.digits.clone(), remaining.bytes());
        wait.digits.end = wait.digits.start + remaining.len();
    }
}

/// Formats the remaining client wait in milliseconds.
fn remaining_ms(deadline: Micros, now: Micros) -> String {
    ((deadline - now) / 1000).max(1).to_string()
}

/// How a connection ended; determines the outcome of the exchanges on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closure {
    /// The connection was refused or not established in time: nothing was written.
    NotConnected,
    /// A failure of this machine, such as a lack of descriptors, prevented the connection. Nothing was written, and
    /// the failure does not count against the executor.
    LocalFailure,
    /// The connection broke or was closed.
    Broken,
    /// The input could not be parsed.
    ProtocolViolated,
}

/// The state of one connection.
#[derive(Debug, Default)]
pub struct ConnectionState {
    buffer: BytesMut,
    queue: VecDeque<Outgoing>,
    pending: HashMap<Tag, PendingExchange>,
    attempts: usize,
    /// The newest last.
    abandoned: VecDeque<AbandonedRequest>,
    deliveries: DeliveryTracker,
    forbids_probes: bool,
    /// When bytes were last read.
    last_read: Micros,
    active_at: Micros,
    is_silent: bool,
    /// A partly written request is not completed: nothing more may be written.
    is_truncated: bool,
    next: u64,
    /// Number of answers since [`ConnectionState::take_answer_count`].
    answers: u32,
    /// Number of unexpected answers since the last expected one.
    unexpected_in_a_row: u32,
}

impl ConnectionState {
    /// Creates the state of a connection that was just established.
    pub fn new(now: Micros) -> ConnectionState {
        ConnectionState { last_read: now, active_at: now, ..ConnectionState::default() }
    }

    /// Creates the state of a connection on which the settings permit no probes. The arrival of a request is then
    /// confirmed by the answers to it and to later messages alone.
    pub fn without_probes(now: Micros) -> ConnectionState {
        ConnectionState { forbids_probes: true, ..ConnectionState::new(now) }
    }

    /// Returns the number of answers parsed since the last call.
    pub fn take_answer_count(&mut self) -> u32 {
        std::mem::take(&mut self.answers)
    }

    /// Returns the number of open attempts.
    pub fn attempts(&self) -> usize {
        self.attempts
    }

    /// Whether no answer is awaited, except to delivery checks, and nothing is queued.
    pub fn is_idle(&self) -> bool {
        self.pending.values().all(PendingExchange::is_delivery_check) && self.queue.is_empty()
    }

    /// Returns when bytes were last read or a message was last queued.
    pub fn active_at(&self) -> Micros {
        self.active_at
    }

    /// Whether a request was abandoned without any input since it was written; such a connection accepts no new
    /// requests.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Whether this id is in use: its request is open, partly written, or abandoned with an answer that may still
    /// arrive. That answer would be attributed to a new request under the same id.
    pub fn has(&self, id: u64) -> bool {
        let tag = Tag::Call(id);
        let written = || self.queue.front().is_some_and(|item| item.tag == Some(tag));
        self.pending.contains_key(&tag) || self.abandoned.iter().any(|request| request.id == id) || written()
    }

    /// Queues a request. Its stated client wait is updated when it is written. Returns false if a request with this
    /// id is already open here.
    pub fn send_request(
        &mut self,
        id: (u64, &str),
        run: &RunRequest<'_>,
        body: &[u8],
        exchange: Exchange,
        now: Micros,
    ) -> bool {
        if self.has(id.0) {
            return false;
        }
        let before = format!("RUN {} class={},key={},wait=", id.1, run.class, run.function);
        let remaining = remaining_ms(run.deadline, now);
        let digits = before.len()..before.len() + remaining.len();
        let after = format!(" {}\r\n", body.len());
        let bytes = [before.as_bytes(), remaining.as_bytes(), after.as_bytes(), body, b"\r\n"].concat();
        self.attempts += 1;
        let tag = self.open(Tag::Call(id.0), exchange, now);
        let wait = Some(Wait { deadline: run.deadline, digits });
        self.queue.push_back(Outgoing { tag: Some(tag), bytes, done: 0, wait });
        true
    }

    /// Queues a health check; `report` requests the load report.
    pub fn send_health_check(&mut self, report: bool, exchange: Exchange, now: Micros) {
        self.send_probe(if report { "INFO" } else { "NOOP" }, exchange, now);
    }

    fn send_probe(&mut self, word: &str, exchange: Exchange, now: Micros) {
        let tag = self.next_internal_tag();
        self.push(Some((Tag::Internal(tag), exchange)), format!("{word} {tag}\r\n").into_bytes(), now);
    }

    /// Queues an order to load copies.
    pub fn send_load(&mut self, key: &str, copies: u8, exchange: Exchange, now: Micros) {
        let tag = self.next_internal_tag();
        let bytes = format!("HOLD {tag} key={key},copies={copies}\r\n").into_bytes();
        self.push(Some((Tag::Internal(tag), exchange)), bytes, now);
    }

    /// Queues an order to unload.
    pub fn send_unload(&mut self, key: &str, now: Micros) {
        self.push(None, format!("FREE {key}\r\n").into_bytes(), now);
    }

    fn next_internal_tag(&mut self) -> u64 {
        // Tags have fewer digits than ids, so that the two can't be confused.
        self.next = self.next % 1_000_000_000 + 1;
        self.next
    }

    fn push(&mut self, opens: Option<(Tag, Exchange)>, bytes: Vec<u8>, now: Micros) {
        self.active_at = now;
        let tag = opens.map(|(tag, exchange)| self.open(tag, exchange, now));
        self.queue.push_back(Outgoing { tag, bytes, done: 0, wait: None });
    }

    /// Registers a pending exchange under this tag.
    fn open(&mut self, tag: Tag, exchange: Exchange, now: Micros) -> Tag {
        self.active_at = now;
        let pending = PendingExchange { exchange, started_at: None, written: None };
        self.pending.insert(tag, pending);
        tag
    }

    /// Whether output is queued.
    pub fn wants_write(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the requests of which the next write would contain bytes, in order.
    pub fn next_calls(&self) -> Vec<u64> {
        let mut ahead = 0;
        let carried = self.queue.iter().take_while(|item| {
            let carried = ahead < MAX_WRITE;
            ahead += item.bytes.len() - item.done;
            carried
        });
        let tags = carried.filter_map(|item| item.tag).filter(|tag| self.pending.contains_key(tag));
        tags.filter_map(|tag| if let Tag::Call(id) = tag { Some(id) } else { None }).collect()
    }

    /// Returns the pending exchange of a request.
    pub fn awaits(&self, id: u64) -> Option<Exchange> {
        self.pending.get(&Tag::Call(id)).map(|open| open.exchange)
    }

    /// Whether the first byte of a request was written.
    pub fn has_started(&self, id: u64) -> bool {
        self.pending.get(&Tag::Call(id)).is_some_and(|open| open.started_at.is_some())
    }

    /// Appends the queued bytes for the next write to `out`.
    pub fn fill_write(&mut self, out: &mut Vec<u8>, now: Micros) {
        for item in &mut self.queue {
            item.update_wait(now);
            out.extend_from_slice(&item.bytes[item.done..]);
            if out.len() >= MAX_WRITE {
                return;
            }
        }
    }

    /// Records that `n` bytes were written. Returns the attempts that were started by this write.
    pub fn on_written(&mut self, mut n: usize, now: Micros) -> Vec<(RequestId, u16)> {
        let mut started = Vec::new();
        while n > 0 {
            let Some(item) = self.queue.front_mut() else { break };
            if let Some(open) = item.tag.and_then(|t| self.pending.get_mut(&t)) {
                if open.started_at.is_none() {
                    open.started_at = Some(now);
                    started.extend(open.exchange.attempt());
                }
            }
            let part = n.min(item.bytes.len() - item.done);
            item.done += part;
            n -= part;
            if item.done == item.bytes.len() {
                let position = self.deliveries.on_written();
                if let Some(open) = item.tag.and_then(|t| self.pending.get_mut(&t)) {
                    open.written = Some(WrittenMessage { at: now, position });
                }
                self.queue.pop_front();
            }
        }
        started
    }
}
