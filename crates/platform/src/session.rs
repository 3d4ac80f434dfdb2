//! One client's connection without I/O: requests read and checked, answers written under their tags, at most one each.

mod answers;

use crate::bounds::ConnectionActivity;
use crate::deferred::DeferredRequests;
use crate::request::parse_request;
pub use crate::request::{Catalog, ClientRequest, Unusable, ANSWER_TRANSIT};
use crate::resp::{encode, Decoder, Words};
use answers::{FAILED, REFUSED};
use bytes::BytesMut;
use stagehoist::Micros;
use stagehoist_gateway::state::Ticket;
use std::collections::BTreeMap;

/// Requests open on one connection at once.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Bytes that wait for a client before nothing new is taken from it; what it cancels is heard all the same.
pub const MAX_OUTPUT: usize = 128 << 10;

/// What a client said.
#[derive(Debug, PartialEq)]
pub enum ClientEvent {
    Call(Ticket, Box<ClientRequest>),
    /// It no longer waits for this one.
    Cancelled(Ticket),
}

/// One connection.
#[derive(Debug)]
pub struct Session {
    decoder: Decoder,
    open: BTreeMap<u64, Ticket>,
    deferred: DeferredRequests,
    output: BytesMut,
    /// Nothing more is read; what is written goes out, then the connection closes.
    closing: bool,
    has_requested: bool,
    /// An executor served a request of this client. Bad ones send what reads well too, by hundreds; none serves them.
    is_verified: bool,
    opened_at: Micros,
    active: Micros,
    partial_since: Option<Micros>,
    /// When the client last took bytes, while some wait.
    answer_read_at: Micros,
    pub unusable: Option<Unusable>,
}

impl Session {
    /// The session of a connection that was just accepted.
    pub fn new(now: Micros) -> Session {
        Session {
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            deferred: DeferredRequests::default(),
            output: BytesMut::new(),
            closing: false,
            has_requested: false,
            is_verified: false,
            opened_at: now,
            active: now,
            partial_since: None,
            answer_read_at: now,
            unusable: None,
        }
    }

    /// Takes what the socket gave. `serving` is what HEALTH is answered.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        now: Micros,
        (catalog, serving): (&Catalog, bool),
        next_ticket: &mut Ticket,
        events: &mut Vec<ClientEvent>,
    ) {
        if self.closing {
            return;
        }
        self.active = now;
        self.decoder.feed(bytes);
        while self.wants_read() {
            if let Some(words) = self.can_resume().then(|| self.deferred.pop()).flatten() {
                self.take(words, (catalog, serving), next_ticket, events);
                continue;
            }
            match self.decoder.take() {
                Ok(Some(words)) => {
                    self.partial_since = None;
                    if self.output.len() < MAX_OUTPUT {
                        self.take(words, (catalog, serving), next_ticket, events);
                    } else {
                        self.defer(words, events);
                    }
                }
                Ok(None) => {
                    let partial = self.decoder.is_partial();
                    self.partial_since = partial.then(|| self.partial_since.unwrap_or(now));
                    return;
                }
                Err(_) => return self.unreadable(events),
            }
        }
    }

    /// Keeps what comes while the client takes no answers, and hears what it cancels.
    fn defer(&mut self, words: Words, events: &mut Vec<ClientEvent>) {
        let number = words.get(1).and_then(|tag| tag_number(tag));
        if let (Some(b"ABORT"), Some(number)) = (words.first().map(Vec::as_slice), number) {
            self.deferred.cancel(number);
            events.extend(self.open.remove(&number).map(ClientEvent::Cancelled));
            return;
        }
        self.deferred.push(number, words);
    }

    fn unreadable(&mut self, events: &mut Vec<ClientEvent>) {
        self.error(b"0");
        self.close(events);
    }

    /// Ends the connection once what waits is written; open requests are the client's loss.
    pub fn close(&mut self, events: &mut Vec<ClientEvent>) {
        self.closing = true;
        self.decoder = Decoder::default();
        self.deferred = DeferredRequests::default();
        self.partial_since = None;
        events.extend(std::mem::take(&mut self.open).into_values().map(ClientEvent::Cancelled));
    }

    fn error(&mut self, tag: &[u8]) {
        encode(&mut self.output, &[tag, FAILED]);
    }

    fn take(
        &mut self,
        words: Words,
        (catalog, serving): (&Catalog, bool),
        next_ticket: &mut Ticket,
        events: &mut Vec<ClientEvent>,
    ) {
        let word = |n: usize| words.get(n).map(Vec::as_slice).unwrap_or_default();
        let tag = word(1);
        let number = tag_number(tag);
        let known = matches!(word(0), b"REQ" | b"ABORT" | b"HEALTH");
        let Some(number) = number.filter(|_| known) else {
            // Without a verb and a number nothing can be said of this request alone.
            return self.unreadable(events);
        };
        match word(0) {
            b"HEALTH" => {
                self.has_requested = true;
                let health: &[u8] = if serving { b"serving" } else { b"not_serving" };
                encode(&mut self.output, &[tag, health]);
            }
            b"ABORT" => {
                if let Some(ticket) = self.open.remove(&number) {
                    events.push(ClientEvent::Cancelled(ticket));
                }
            }
            _ if self.open.contains_key(&number) => {
                // Two requests under one number: an answer could be meant for either.
                self.error(tag);
                self.close(events);
            }
            _ if self.open.len() >= MAX_OPEN_REQUESTS => encode(&mut self.output, &[tag, REFUSED]),
            _ => match parse_request(&words, catalog) {
                Ok(parse_request) => {
                    self.has_requested = true;
                    *next_ticket += 1;
                    self.open.insert(number, *next_ticket);
                    events.push(ClientEvent::Call(*next_ticket, Box::new(parse_request)));
                }
                Err(why) => {
                    self.unusable = Some(why);
                    self.error(tag);
                }
            },
        }
    }

    /// Whether more is read. From a client that takes no answers and sends on and on nothing is, until it takes some: what it
    /// asks may be as good as any other's, so its connection stays.
    pub fn wants_read(&self) -> bool {
        !self.closing && (self.output.len() < MAX_OUTPUT || !self.deferred.is_full())
    }

    /// Whether bytes were read that are not looked at, as the client takes no answers: what it cancels may be among them.
    pub fn has_unheard(&self) -> bool {
        !self.closing && !self.wants_read() && self.decoder.is_partial()
    }

    /// Whether what was kept back can be looked at, as the client took its answers.
    pub fn can_resume(&self) -> bool {
        !self.closing && !self.deferred.is_empty() && self.output.len() < MAX_OUTPUT
    }

    /// Whether the session reads no more requests.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether an executor served a request of this client.
    pub fn is_known(&self) -> bool {
        self.is_verified
    }

    /// For the choice of a connection that is evicted.
    pub fn activity(&self) -> ConnectionActivity {
        ConnectionActivity {
            has_requested: self.has_requested,
            open_requests: self.open.len(),
            active_at: self.active,
        }
    }

    /// Whether the client takes no bytes though some wait for it.
    pub fn is_stuck(&self, now: Micros) -> bool {
        !self.output.is_empty() && now - self.answer_read_at >= crate::bounds::ANSWER_READ_TIMEOUT
    }

    /// Whether the connection is over by the client's own silence.
    pub fn is_over(&self, now: Micros) -> bool {
        self.is_stuck(now)
            || crate::bounds::is_over(&self.activity(), self.opened_at, self.partial_since, now)
    }
}

fn tag_number(tag: &[u8]) -> Option<u64> {
    let digits = !tag.is_empty() && tag.len() <= 20 && tag.iter().all(u8::is_ascii_digit);
    let number: u64 = digits.then(|| std::str::from_utf8(tag).ok()?.parse().ok()).flatten()?;
    (number > 0 && tag[0] != b'0').then_some(number)
}
