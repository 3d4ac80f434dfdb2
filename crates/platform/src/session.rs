//! One client's connection without I/O: requests read and checked, answers written under their tags, at most one each.

mod answers;

use crate::bounds::Seen;
use crate::parked::Parked;
use crate::request::asked;
pub use crate::request::{Asked, Catalog, Unusable, ANSWER_WAY};
use crate::resp::{encode, Decoder, Words};
use answers::{FAILED, REFUSED};
use bytes::BytesMut;
use stagehoist::Micros;
use stagehoist_gateway::state::Ticket;
use std::collections::BTreeMap;

/// Requests open on one connection at once.
pub const OPEN_MOST: usize = 32;
/// Bytes that wait for a client before nothing new is taken from it; what it cancels is heard all the same.
pub const OUT_MOST: usize = 128 << 10;

/// What a client said.
#[derive(Debug, PartialEq)]
pub enum Said {
    Call(Ticket, Box<Asked>),
    /// It no longer waits for this one.
    Gone(Ticket),
}

/// One connection.
#[derive(Debug)]
pub struct Session {
    decoder: Decoder,
    open: BTreeMap<u64, Ticket>,
    parked: Parked,
    out: BytesMut,
    /// Nothing more is read; what is written goes out, then the connection closes.
    closing: bool,
    asked: bool,
    /// An executor served a request of this client. Bad ones send what reads well too, by hundreds; none serves them.
    known: bool,
    born: Micros,
    active: Micros,
    partial_since: Option<Micros>,
    /// When the client last took bytes, while some wait.
    took: Micros,
    pub unusable: Option<Unusable>,
}

impl Session {
    pub fn new(now: Micros) -> Session {
        Session {
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            parked: Parked::default(),
            out: BytesMut::new(),
            closing: false,
            asked: false,
            known: false,
            born: now,
            active: now,
            partial_since: None,
            took: now,
            unusable: None,
        }
    }

    /// Takes what the socket gave. `serving` is what HEALTH is told.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        now: Micros,
        (catalog, serving): (&Catalog, bool),
        next_ticket: &mut Ticket,
        said: &mut Vec<Said>,
    ) {
        if self.closing {
            return;
        }
        self.active = now;
        self.decoder.feed(bytes);
        while self.wants_read() {
            if let Some(words) = self.can_resume().then(|| self.parked.pop()).flatten() {
                self.take(words, (catalog, serving), next_ticket, said);
                continue;
            }
            match self.decoder.take() {
                Ok(Some(words)) => {
                    self.partial_since = None;
                    if self.out.len() < OUT_MOST {
                        self.take(words, (catalog, serving), next_ticket, said);
                    } else {
                        self.park(words, said);
                    }
                }
                Ok(None) => {
                    let partial = self.decoder.is_partial();
                    self.partial_since = partial.then(|| self.partial_since.unwrap_or(now));
                    return;
                }
                Err(_) => return self.unreadable(said),
            }
        }
    }

    /// Keeps what comes while the client takes no answers, and hears what it cancels.
    fn park(&mut self, words: Words, said: &mut Vec<Said>) {
        let number = words.get(1).and_then(|tag| tag_number(tag));
        if let (Some(b"ABORT"), Some(number)) = (words.first().map(Vec::as_slice), number) {
            self.parked.cancel(number);
            said.extend(self.open.remove(&number).map(Said::Gone));
            return;
        }
        self.parked.push(number, words);
    }

    fn unreadable(&mut self, said: &mut Vec<Said>) {
        self.error(b"0");
        self.close(said);
    }

    /// Ends the connection once what waits is written; open requests are the client's loss.
    pub fn close(&mut self, said: &mut Vec<Said>) {
        self.closing = true;
        self.decoder = Decoder::default();
        self.parked = Parked::default();
        self.partial_since = None;
        said.extend(std::mem::take(&mut self.open).into_values().map(Said::Gone));
    }

    fn error(&mut self, tag: &[u8]) {
        encode(&mut self.out, &[tag, FAILED]);
    }

    fn take(
        &mut self,
        words: Words,
        (catalog, serving): (&Catalog, bool),
        next_ticket: &mut Ticket,
        said: &mut Vec<Said>,
    ) {
        let word = |n: usize| words.get(n).map(Vec::as_slice).unwrap_or_default();
        let tag = word(1);
        let number = tag_number(tag);
        let known = matches!(word(0), b"REQ" | b"ABORT" | b"HEALTH");
        let Some(number) = number.filter(|_| known) else {
            // Without a verb and a number nothing can be said of this request alone.
            return self.unreadable(said);
        };
        match word(0) {
            b"HEALTH" => {
                self.asked = true;
                let health: &[u8] = if serving { b"serving" } else { b"not_serving" };
                encode(&mut self.out, &[tag, health]);
            }
            b"ABORT" => {
                if let Some(ticket) = self.open.remove(&number) {
                    said.push(Said::Gone(ticket));
                }
            }
            _ if self.open.contains_key(&number) => {
                // Two requests under one number: an answer could be meant for either.
                self.error(tag);
                self.close(said);
            }
            _ if self.open.len() >= OPEN_MOST => encode(&mut self.out, &[tag, REFUSED]),
            _ => match asked(&words, catalog) {
                Ok(asked) => {
                    self.asked = true;
                    *next_ticket += 1;
                    self.open.insert(number, *next_ticket);
                    said.push(Said::Call(*next_ticket, Box::new(asked)));
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
        !self.closing && (self.out.len() < OUT_MOST || !self.parked.is_full())
    }

    /// Whether bytes were read that are not looked at, as the client takes no answers: what it cancels may be among them.
    pub fn has_unheard(&self) -> bool {
        !self.closing && !self.wants_read() && self.decoder.is_partial()
    }

    /// Whether what was kept back can be looked at, as the client took its answers.
    pub fn can_resume(&self) -> bool {
        !self.closing && !self.parked.is_empty() && self.out.len() < OUT_MOST
    }

    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether an executor served a request of this client.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// For the choice of a connection that makes way.
    pub fn seen(&self) -> Seen {
        Seen { asked: self.asked, open: self.open.len(), active: self.active }
    }

    /// Whether the client takes no bytes though some wait for it.
    pub fn is_stuck(&self, now: Micros) -> bool {
        !self.out.is_empty() && now - self.took >= crate::bounds::TAKE_WITHIN
    }

    /// Whether the connection is over by the client's own silence.
    pub fn is_over(&self, now: Micros) -> bool {
        self.is_stuck(now) || crate::bounds::is_over(&self.seen(), self.born, self.partial_since, now)
    }
}

fn tag_number(tag: &[u8]) -> Option<u64> {
    let digits = !tag.is_empty() && tag.len() <= 20 && tag.iter().all(u8::is_ascii_digit);
    let number: u64 = digits.then(|| std::str::from_utf8(tag).ok()?.parse().ok()).flatten()?;
    (number > 0 && tag[0] != b'0').then_some(number)
}
