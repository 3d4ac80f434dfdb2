//! One client's connection without I/O: requests read and checked, answers written under their tags, at most one each.

use crate::bounds::Seen;
use crate::config::{Class, Told};
use crate::fields;
use crate::resp::{decimal, encode, Decoder};
use bytes::{Bytes, BytesMut};
use stagehoist::Micros;
use stagehoist_gateway::state::{Answer, CallFigures, Ticket};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Requests open on one connection at once.
pub const OPEN_MOST: usize = 32;
/// Bytes that wait for a client before no more is read from it.
pub const OUT_MOST: usize = 128 << 10;
/// Time kept for the answer's way and for this process, so that the whole answer is there in time.
pub const ANSWER_WAY: Micros = 5_000;
/// What a figure of a call may be at most; beyond it makes no sense on any machine.
const FIGURE_MOST: f64 = 1e7;

const SERVED: &[u8] = b"200";
const REFUSED: &[u8] = b"503";
const FAILED: &[u8] = b"500";

/// What clients may name.
#[derive(Clone, Debug)]
pub struct Catalog {
    classes: Vec<Class>,
    tenants: Vec<String>,
    memory_most_mb: f64,
}

impl From<&Told> for Catalog {
    fn from(told: &Told) -> Catalog {
        let memory_most_mb = told.memory_most_mb;
        Catalog { classes: told.classes.clone(), tenants: told.tenants.clone(), memory_most_mb }
    }
}

/// A request as a client asked it.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Its id, as a number and as it came.
    pub reference: u64,
    pub id: Rc<str>,
    pub function: Rc<str>,
    pub figures: CallFigures,
    pub tenant: u32,
    /// Time until the client gives up, the answer's way taken off.
    pub budget: Micros,
    pub body: Bytes,
}

/// What a client said.
#[derive(Debug, PartialEq)]
pub enum Said {
    Call(Ticket, Box<Asked>),
    /// It no longer waits for this one.
    Gone(Ticket),
}

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    #[error("words missing")]
    Words,
    #[error("fields can't be read")]
    Fields,
    #[error("no id or none of 16 hex digits")]
    Id,
    #[error("unknown class")]
    Class,
    #[error("unknown tenant")]
    Tenant,
    #[error("no function or none of 16 hex digits")]
    Function,
    #[error("a figure is no number or out of range")]
    Figure,
}

/// One connection.
#[derive(Debug)]
pub struct Session {
    decoder: Decoder,
    open: BTreeMap<u64, Ticket>,
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
        while !self.closing {
            match self.decoder.take() {
                Ok(Some(words)) => {
                    self.partial_since = None;
                    self.take(words, (catalog, serving), next_ticket, said);
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

    fn unreadable(&mut self, said: &mut Vec<Said>) {
        self.error(b"0");
        self.close(said);
    }

    /// Ends the connection once what waits is written; open requests are the client's loss.
    pub fn close(&mut self, said: &mut Vec<Said>) {
        self.closing = true;
        self.decoder = Decoder::default();
        self.partial_since = None;
        said.extend(std::mem::take(&mut self.open).into_values().map(Said::Gone));
    }

    fn error(&mut self, tag: &[u8]) {
        encode(&mut self.out, &[tag, FAILED]);
    }

    fn take(
        &mut self,
        words: Vec<Vec<u8>>,
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

    fn tag_of(&self, ticket: Ticket) -> Option<u64> {
        self.open.iter().find(|(_, t)| **t == ticket).map(|(tag, _)| *tag)
    }

    /// Writes the one answer of a request; nothing where the client no longer waits for it.
    pub fn answer(&mut self, ticket: Ticket, answer: &Answer, now: Micros) {
        let Some(number) = self.tag_of(ticket) else { return };
        self.open.remove(&number);
        self.active = now;
        self.known |= matches!(answer, Answer::Served { .. });
        if self.out.is_empty() {
            self.took = now;
        }
        let mut digits = [0u8; 20];
        let tag = decimal(number, &mut digits);
        match answer {
            Answer::Served { body, .. } => encode(&mut self.out, &[tag, SERVED, b"", body]),
            Answer::Gated(gated) => encode(&mut self.out, &[tag, SERVED, b"", &gated.body]),
            Answer::Refused { retry_after, .. } if *retry_after > 0 => {
                let cooldown = format!("cooldown={}", retry_after / 1000);
                encode(&mut self.out, &[tag, REFUSED, cooldown.as_bytes(), b""]);
            }
            Answer::Refused { .. } => encode(&mut self.out, &[tag, REFUSED, b"", b""]),
            Answer::Failed { .. } | Answer::Retired(_) => encode(&mut self.out, &[tag, FAILED, b"", b""]),
        }
    }

    /// An error for a request that can't be taken though it reads well.
    pub fn reject(&mut self, ticket: Ticket) {
        if let Some(number) = self.tag_of(ticket) {
            self.open.remove(&number);
            self.error(decimal(number, &mut [0u8; 20]));
        }
    }

    /// What waits for the socket.
    pub fn out(&self) -> &[u8] {
        &self.out
    }

    /// So many bytes were taken.
    pub fn wrote(&mut self, n: usize, now: Micros) {
        let _ = self.out.split_to(n);
        if n > 0 {
            self.took = now;
        }
        if self.out.is_empty() {
            // Idle connections hold nothing.
            self.out = BytesMut::new();
        }
    }

    /// Whether more may be read: not while the client takes no answers.
    pub fn wants_read(&self) -> bool {
        !self.closing && self.out.len() < OUT_MOST
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

    /// Whether the connection is over by the client's own silence.
    pub fn is_over(&self, now: Micros) -> bool {
        let stuck = !self.out.is_empty() && now - self.took >= crate::bounds::TAKE_WITHIN;
        stuck || crate::bounds::is_over(&self.seen(), self.born, self.partial_since, now)
    }
}

fn tag_number(tag: &[u8]) -> Option<u64> {
    let digits = !tag.is_empty() && tag.len() <= 20 && tag.iter().all(u8::is_ascii_digit);
    let number: u64 = digits.then(|| std::str::from_utf8(tag).ok()?.parse().ok()).flatten()?;
    (number > 0 && tag[0] != b'0').then_some(number)
}

fn asked(words: &[Vec<u8>], catalog: &Catalog) -> Result<Asked, Unusable> {
    let (4 | 5, Some(class), Some(list)) = (words.len(), words.get(2), words.get(3)) else {
        return Err(Unusable::Words);
    };
    let fields = fields::parse(list).map_err(|_| Unusable::Fields)?;
    let get = |name| fields::get(&fields, name);
    let id = get("ref").ok_or(Unusable::Id)?;
    let reference = fields::hex16(id.as_bytes()).ok_or(Unusable::Id)?;
    let at = catalog.classes.iter().position(|c| c.name.as_bytes() == class.as_slice());
    let at = at.ok_or(Unusable::Class)?;
    let tenant = match get("project") {
        None if catalog.tenants.is_empty() => 0,
        None => return Err(Unusable::Tenant),
        Some(name) => catalog.tenants.iter().position(|t| t == name).ok_or(Unusable::Tenant)?,
    };
    let function = get("lookup").ok_or(Unusable::Function)?;
    let number = fields::hex16(function.as_bytes()).ok_or(Unusable::Function)?;
    let within = |text: &str, least: f64, most: f64| {
        fields::number(text).filter(|v| (least..=most).contains(v)).ok_or(Unusable::Figure)
    };
    let allow = within(get("allow").ok_or(Unusable::Figure)?, 0.0, FIGURE_MOST)?;
    let allow = (allow * 1000.0) as Micros;
    let hard_limit = catalog.classes[at].hard_limit;
    if allow <= 0 || allow > hard_limit + hard_limit / 100 {
        return Err(Unusable::Figure);
    }
    let work = get("effort").map(|t| within(t, 0.0, FIGURE_MOST)).transpose()?;
    let mut figures = CallFigures {
        id: number,
        class: at as u16,
        memory_mb: 0.0,
        lanes: 1.0,
        load: 0,
        work: work.map(|ms| (ms * 1000.0) as Micros),
    };
    for pair in fields::pairs(get("extras").unwrap_or_default()) {
        let (name, value) = pair.ok_or(Unusable::Figure)?;
        let most = match name {
            "memory_mb" => catalog.memory_most_mb,
            "lanes" | "per_copy" => 10_000.0,
            _ => FIGURE_MOST,
        };
        if !(0.0..=most).contains(&value) {
            return Err(Unusable::Figure);
        }
        match name {
            "memory_mb" => figures.memory_mb = value,
            "lanes" | "per_copy" => figures.lanes = value,
            "load_ms" | "warm_ms" => figures.load = (value * 1000.0) as Micros,
            _ => {}
        }
    }
    Ok(Asked {
        reference,
        id: id.into(),
        function: function.into(),
        figures,
        tenant: tenant as u32,
        budget: (allow - ANSWER_WAY).max(0),
        body: words.get(4).map(|b| Bytes::copy_from_slice(b)).unwrap_or_default(),
    })
}
