//! One executor's connection without I/O: many requests at once, answers in any order. What was not begun to be written is
//! known not to have run; what can't be read ends the connection, and all that was on it may have run.

use crate::fields;
use bytes::{Bytes, BytesMut};
use stagehoist::{FunctionId, Micros, Note, Outcome, Report, RequestId, WorkerId};
use stagehoist_gateway::state::{AttemptResult, News};
use std::collections::{HashMap, VecDeque};

/// Longest line of an answer.
const LINE_MOST: usize = 2048;
/// Longest body of an answer.
pub const ANSWER_MOST: usize = 64 << 10;
/// Bytes gathered for one write.
const WRITE_MOST: usize = 64 << 10;

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

#[derive(Debug)]
struct Open {
    what: What,
    /// When its first byte was written; None: none was.
    begun: Option<Micros>,
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
    /// When something was last read.
    read: Micros,
    active: Micros,
    silent: bool,
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

    pub fn has(&self, id: u64) -> bool {
        self.open.contains_key(&Tag::Call(id))
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
            self.open.insert(tag, Open { what, begun: None });
            tag
        });
        self.queue.push_back(Item { tag, bytes, done: 0 });
    }

    /// Gives up a request. Nothing is written where none of it was; the line counts as silent where nothing came since it
    /// was written `patience` ago or longer.
    pub fn stop(&mut self, id: u64, text: &str, now: Micros, patience: Micros) {
        let tag = Tag::Call(id);
        let Some(open) = self.open.remove(&tag) else { return };
        self.attempts -= 1;
        match open.begun {
            None => self.queue.retain(|item| item.tag != Some(tag)),
            Some(at) => {
                self.silent |= self.read <= at && now - at >= patience;
                self.push(None, format!("STOP {text}\r\n").into_bytes(), now);
            }
        }
    }

    /// Withdraws what was not begun to be written, as the executor takes nothing new.
    pub fn withdraw(&mut self, now: Micros, news: &mut Vec<News>) {
        let unbegun = |o: &Open| o.begun.is_none() && !matches!(o.what, What::Probe { .. });
        let tags: Vec<Tag> = self.open.iter().filter(|(_, o)| unbegun(o)).map(|(t, _)| *t).collect();
        for tag in tags {
            self.queue.retain(|item| item.tag != Some(tag));
            self.finish(tag, Outcome::ConnectFailed, now, news);
        }
    }

    /// Whether something waits to be written.
    pub fn wants_write(&self) -> bool {
        !self.queue.is_empty()
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
                self.queue.pop_front();
            }
        }
    }

    /// Takes what the socket gave; `at` is when it came, as far as is known. After an error the connection is to be ended
    /// as poisoned.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        (now, at): (Micros, Micros),
        report: &[String],
        news: &mut Vec<News>,
    ) -> Result<(), Poison> {
        (self.read, self.active, self.silent) = (now, now, false);
        self.buffer.extend_from_slice(bytes);
        loop {
            let Some(end) = self.buffer.iter().take(LINE_MOST).position(|&b| b == b'\n') else {
                if self.buffer.len() >= LINE_MOST {
                    return Err(Poison::Endless);
                }
                if !self.buffer.iter().all(|b| is_plain(*b)) {
                    return Err(Poison::Line);
                }
                if self.buffer.is_empty() {
                    // Idle connections hold nothing.
                    self.buffer = BytesMut::new();
                }
                return Ok(());
            };
            let line = &self.buffer[..end];
            let Some(line) = line.strip_suffix(b"\r") else { return Err(Poison::Line) };
            let head = head(line)?;
            let whole = match head.length {
                None => end + 1,
                Some(length) => end + 1 + length + 2,
            };
            if let Some(length) = head.length {
                let behind = &self.buffer[end + 1..];
                let wrong = |at: usize, b: u8| behind.get(at).is_some_and(|&x| x != b);
                if wrong(length, b'\r') || wrong(length + 1, b'\n') {
                    return Err(Poison::Length);
                }
            }
            if self.buffer.len() < whole {
                return Ok(());
            }
            let result = self.understand(&head, report, at)?;
            let frame = self.buffer.split_to(whole);
            if let Some((tag, mut result, copies)) = result {
                if let Some(length) = head.length.filter(|_| result.outcome == Outcome::Ok) {
                    result.body = Bytes::copy_from_slice(&frame[end + 1..end + 1 + length]);
                }
                self.answered(tag, result, copies, news);
            }
        }
    }

    /// What an answer says, if something open awaits it.
    fn understand(
        &self,
        head: &Head,
        report: &[String],
        at: Micros,
    ) -> Result<Option<(Tag, AttemptResult, u8)>, Poison> {
        let fields = fields::parse(&head.fields).map_err(|_| Poison::Line)?;
        let count = |name: &str, most: f64| match fields::get(&fields, name) {
            None => Ok(None),
            Some(text) => match fields::number(text) {
                Some(v) if (0.0..=most).contains(&v) => Ok(Some(v)),
                _ => Err(Poison::Line),
            },
        };
        let crowd = count("queue_fn", 1e6)?.unwrap_or(0.0) as u32;
        let copies = count("copies", 1e6)?;
        let stats = fields::get(&fields, "stats").map(|text| stats(text, report)).transpose()?.flatten();
        // What comes under the number of something of which nothing was written belongs to none that is open.
        let known = |tag: Tag| self.open.get(&tag).filter(|o| o.begun.is_some()).map(|o| (tag, o));
        let Some((tag, open)) = head.tag.and_then(known) else {
            return Ok(None);
        };
        let attempt = matches!(open.what, What::Attempt { .. });
        let probe = matches!(open.what, What::Probe { .. });
        let outcome = match head.word {
            Word::Ok if !probe => Outcome::Ok,
            Word::Miss if attempt => Outcome::Miss,
            Word::Busy if !probe => Outcome::Full,
            Word::Err if !probe => Outcome::Error,
            Word::Void if attempt => Outcome::Moot,
            Word::Up if probe => Outcome::Ok,
            Word::Down if probe => Outcome::Error,
            _ => return Err(Poison::Line),
        };
        let note = Note { copy: 0, crowd };
        let result = AttemptResult { note, report: stats, read: at, ..AttemptResult::bare(outcome) };
        Ok(Some((tag, result, copies.unwrap_or(0.0).min(255.0) as u8)))
    }

    fn answered(&mut self, tag: Tag, result: AttemptResult, copies: u8, news: &mut Vec<News>) {
        let Some(open) = self.open.remove(&tag) else { return };
        // What is answered before all of it was written (an executor may refuse early) need not be written on, but what
        // follows on the line must stay whole.
        news.push(match open.what {
            What::Attempt { request, attempt } => {
                self.attempts -= 1;
                News::Attempt { request, attempt, result }
            }
            What::Probe { worker, sent } => {
                let (outcome, report) = (result.outcome, result.report);
                News::Probed { worker, sent, outcome, report, draining: None }
            }
            What::Load { worker, function, sent } => {
                News::Loaded { worker, function, sent, outcome: result.outcome, copies }
            }
        });
    }

    fn finish(&mut self, tag: Tag, outcome: Outcome, at: Micros, news: &mut Vec<News>) {
        self.answered(tag, AttemptResult { read: at, ..AttemptResult::bare(outcome) }, 0, news);
    }

    /// The connection ended: each that was open ends, by what is known of it.
    pub fn end(&mut self, how: End, now: Micros, news: &mut Vec<News>) {
        let mut tags: Vec<(Tag, bool)> = self.open.iter().map(|(t, o)| (*t, o.begun.is_some())).collect();
        tags.sort_by_key(|(tag, _)| match tag {
            Tag::Call(id) | Tag::Own(id) => *id,
        });
        for (tag, begun) in tags {
            let outcome = match how {
                _ if !begun => Outcome::ConnectFailed,
                End::NotUp => Outcome::ConnectFailed,
                End::Broken => Outcome::Reset,
                End::Poisoned => Outcome::Error,
            };
            self.finish(tag, outcome, now, news);
        }
        self.queue.clear();
        self.buffer = BytesMut::new();
    }

    /// Ends probes and orders that were never answered, and tells whether an answer stopped short on the way.
    pub fn expire(
        &mut self,
        now: Micros,
        patience: Micros,
        order: Micros,
        news: &mut Vec<News>,
    ) -> Result<(), Poison> {
        if !self.buffer.is_empty() && now - self.read >= patience {
            return Err(Poison::Short);
        }
        let over = |o: &Open| match o.what {
            What::Attempt { .. } => false,
            What::Probe { sent, .. } => now - sent >= patience,
            What::Load { sent, .. } => now - sent >= order,
        };
        // An order that counts as lost must not arrive after all: what may still lie on its way goes with the connection.
        let lies = |o: &Open| matches!(o.what, What::Load { sent, .. } if over(o) && self.read <= sent);
        if self.open.values().any(lies) {
            return Err(Poison::Silent);
        }
        let tags: Vec<Tag> = self.open.iter().filter(|(_, o)| over(o)).map(|(t, _)| *t).collect();
        for tag in tags {
            self.queue.retain(|item| item.tag != Some(tag) || item.done > 0);
            self.finish(tag, Outcome::Timeout, now, news);
        }
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    Ok,
    Miss,
    Busy,
    Err,
    Void,
    Up,
    Down,
}

#[derive(Debug)]
struct Head {
    tag: Option<Tag>,
    word: Word,
    fields: Vec<u8>,
    length: Option<usize>,
}

fn is_plain(b: u8) -> bool {
    (0x20..0x7f).contains(&b) || b == b'\r'
}

/// `ID WORD FIELDS LENGTH`; the last two may be absent.
fn head(line: &[u8]) -> Result<Head, Poison> {
    if !line.iter().all(|b| (0x20..0x7f).contains(b)) {
        return Err(Poison::Line);
    }
    let mut words = line.split(|&b| b == b' ');
    let (Some(id), Some(word)) = (words.next(), words.next()) else { return Err(Poison::Line) };
    let (list, length) = (words.next(), words.next());
    if id.is_empty() || words.next().is_some() {
        return Err(Poison::Line);
    }
    let word = match word {
        b"OK" => Word::Ok,
        b"MISS" => Word::Miss,
        b"BUSY" => Word::Busy,
        b"ERR" => Word::Err,
        b"VOID" => Word::Void,
        b"UP" => Word::Up,
        b"DOWN" => Word::Down,
        _ => return Err(Poison::Line),
    };
    let digits = |text: &[u8]| -> Option<u64> {
        let plain = !text.is_empty() && text.len() <= 12 && text.iter().all(u8::is_ascii_digit);
        plain.then(|| std::str::from_utf8(text).ok()?.parse().ok()).flatten()
    };
    let length = match length {
        None => None,
        Some(text) => match digits(text) {
            Some(n) if n <= ANSWER_MOST as u64 => Some(n as usize),
            _ => return Err(Poison::Length),
        },
    };
    let tag = fields::hex16(id).map(Tag::Call).or_else(|| digits(id).map(Tag::Own));
    Ok(Head { tag, word, fields: list.unwrap_or_default().to_vec(), length })
}

/// A load report, its values in the order of the settings. The settings know some values by other names.
fn stats(text: &str, report: &[String]) -> Result<Report, Poison> {
    let mut values = [0f32; 4];
    let mut any = false;
    for pair in fields::pairs(text) {
        let (name, value) = pair.ok_or(Poison::Line)?;
        let known = match name {
            "inflight" => "rif",
            "queue" => "q",
            "util" => "busy",
            other => other,
        };
        let place = report.iter().position(|r| r == name || r == known);
        if let Some(slot) = place.and_then(|i| values.get_mut(i)) {
            *slot = value as f32;
            any = true;
        }
    }
    Ok(any.then_some(values))
}
