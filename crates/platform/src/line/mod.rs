//! One executor's connection without I/O: many requests at once, answers in any order. What was not begun to be written is
//! known not to have run; what can't be read ends the connection, and all that was on it may have run.

mod ending;
mod reading;
mod words;

use bytes::BytesMut;
use stagehoist::{FunctionId, Micros, RequestId, WorkerId};
use std::collections::{HashMap, VecDeque};

/// Longest body of an answer.
pub const ANSWER_MOST: usize = 64 << 10;
/// Bytes gathered for one write.
const WRITE_MOST: usize = 64 << 10;
/// Ids kept that were given up: as many as may be on their way at once, twice over.
const STOPPED: usize = 64;

/// Why an executor's bytes can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Poison {
    #[error("a line can't be read")]
    Line,
    #[error("a line without end")]
    Endless,
    #[error("a length that does not fit")]
    Length,
    #[error("an answer that stopped short")]
    Short,
    #[error("nothing came since an order that counts as lost")]
    Silent,
}

/// What a number on the line stands for: a request's id as its client gave it, or a tag of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tag {
    Call(u64),
    Own(u64),
}

/// What an answer is awaited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Attempt { request: RequestId, attempt: u16 },
    Probe { worker: WorkerId, sent: Micros },
    Load { worker: WorkerId, function: FunctionId, sent: Micros },
}

impl What {
    /// Which attempt it is, if one.
    pub fn attempt(&self) -> Option<(RequestId, u16)> {
        match self {
            What::Attempt { request, attempt } => Some((*request, *attempt)),
            _ => None,
        }
    }
}

#[derive(Debug)]
struct Open {
    what: What,
    /// When its first byte was written; None: none was.
    begun: Option<Micros>,
    /// When its last byte was written.
    whole: Option<Micros>,
}

#[derive(Debug)]
struct Item {
    tag: Option<Tag>,
    bytes: Vec<u8>,
    done: usize,
}

/// How a connection ended, for what was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Refused, or not up in time: nothing was written.
    NotUp,
    /// It had no descriptor of this process: nothing was written, and it speaks against no executor.
    NoRoom,
    /// It broke or was closed.
    Broken,
    /// What came can't be read.
    Poisoned,
}

/// The state of one connection.
#[derive(Debug, Default)]
pub struct Line {
    buffer: BytesMut,
    queue: VecDeque<Item>,
    open: HashMap<Tag, Open>,
    attempts: usize,
    /// Given up after they were begun and not answered since, the newest last.
    stopped: VecDeque<u64>,
    /// When something was last read.
    read: Micros,
    active: Micros,
    silent: bool,
    /// A request of which a part was written is not completed: nothing more is written here.
    cut: bool,
    next: u64,
}

impl Line {
    pub fn new(now: Micros) -> Line {
        Line { read: now, active: now, ..Line::default() }
    }

    /// Requests open.
    pub fn attempts(&self) -> usize {
        self.attempts
    }

    /// Nothing is awaited and nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.queue.is_empty()
    }

    /// When something last came or was asked.
    pub fn active(&self) -> Micros {
        self.active
    }

    /// One request was given up on it with nothing read since: it takes no new ones.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Whether something under this id is open here, still partly written, or given up and perhaps answered yet: that
    /// answer would be taken for another request's under the same id.
    pub fn has(&self, id: u64) -> bool {
        let tag = Tag::Call(id);
        let written = || self.queue.front().is_some_and(|item| item.tag == Some(tag));
        self.open.contains_key(&tag) || self.stopped.contains(&id) || written()
    }

    /// Queues a request. False where one with this id is open here.
    pub fn run(&mut self, id: (u64, &str), fields: &str, body: &[u8], what: What, now: Micros) -> bool {
        if self.has(id.0) {
            return false;
        }
        let head = format!("RUN {} {fields} {}\r\n", id.1, body.len());
        let mut bytes = Vec::with_capacity(head.len() + body.len() + 2);
        bytes.extend_from_slice(head.as_bytes());
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        self.attempts += 1;
        self.push(Some((Tag::Call(id.0), what)), bytes, now);
        true
    }

    /// Queues a probe, with the load report asked for or not.
    pub fn probe(&mut self, report: bool, what: What, now: Micros) {
        let (word, tag) = (if report { "INFO" } else { "NOOP" }, self.own());
        self.push(Some((Tag::Own(tag), what)), format!("{word} {tag}\r\n").into_bytes(), now);
    }

    /// Queues an order to load.
    pub fn hold(&mut self, key: &str, copies: u8, what: What, now: Micros) {
        let tag = self.own();
        let bytes = format!("HOLD {tag} key={key},copies={copies}\r\n").into_bytes();
        self.push(Some((Tag::Own(tag), what)), bytes, now);
    }

    /// Queues an order to unload.
    pub fn free(&mut self, key: &str, now: Micros) {
        self.push(None, format!("FREE {key}\r\n").into_bytes(), now);
    }

    fn own(&mut self) -> u64 {
        // Fewer digits than an id has, so that neither is taken for the other.
        self.next = self.next % 1_000_000_000 + 1;
        self.next
    }

    fn push(&mut self, opens: Option<(Tag, What)>, bytes: Vec<u8>, now: Micros) {
        self.active = now;
        let tag = opens.map(|(tag, what)| {
            self.open.insert(tag, Open { what, begun: None, whole: None });
            tag
        });
        self.queue.push_back(Item { tag, bytes, done: 0 });
    }

    /// Whether something waits to be written.
    pub fn wants_write(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Requests of which the next write would carry something, in their order.
    pub fn next_calls(&self) -> Vec<u64> {
        let mut ahead = 0;
        let carried = self.queue.iter().take_while(|item| {
            let carried = ahead < WRITE_MOST;
            ahead += item.bytes.len() - item.done;
            carried
        });
        let tags = carried.filter_map(|item| item.tag).filter(|tag| self.open.contains_key(tag));
        tags.filter_map(|tag| if let Tag::Call(id) = tag { Some(id) } else { None }).collect()
    }

    /// What the answer to a request is awaited for.
    pub fn awaits(&self, id: u64) -> Option<What> {
        self.open.get(&Tag::Call(id)).map(|open| open.what)
    }

    /// Gathers what goes into one write.
    pub fn fill(&self, out: &mut Vec<u8>) {
        for item in &self.queue {
            out.extend_from_slice(&item.bytes[item.done..]);
            if out.len() >= WRITE_MOST {
                return;
            }
        }
    }

    /// So many bytes were written.
    pub fn wrote(&mut self, mut n: usize, now: Micros) {
        while n > 0 {
            let Some(item) = self.queue.front_mut() else { return };
            if let Some(open) = item.tag.and_then(|t| self.open.get_mut(&t)) {
                open.begun.get_or_insert(now);
            }
            let part = n.min(item.bytes.len() - item.done);
            item.done += part;
            n -= part;
            if item.done == item.bytes.len() {
                if let Some(open) = item.tag.and_then(|t| self.open.get_mut(&t)) {
                    open.whole = Some(now);
                }
                self.queue.pop_front();
            }
        }
    }
}
