//! One client's connection, without I/O: parses and checks requests, and writes at most one answer per request under
//! its tag.

mod answers;
mod message_counts;

use crate::bounds::ConnectionActivity;
use crate::deferred::DeferredRequests;
use crate::request::parse_request;
pub use crate::request::{Catalog, ClientRequest, RequestError, ANSWER_TRANSIT};
use crate::resp::{encode, Decoder, Words};
use answers::{FAILED, REFUSED};
use bytes::BytesMut;
pub use message_counts::MessageCounts;
use stagehoist::Micros;
use stagehoist_gateway::state::Ticket;
use std::collections::BTreeMap;

/// Maximum number of requests open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;

/// An event that a client's bytes lead to.
#[derive(Debug, PartialEq)]
pub enum ClientEvent {
    Call(Ticket, Box<ClientRequest>),
    /// The client no longer waits for this request.
    Cancelled(Ticket),
}

/// The state of one client's connection.
#[derive(Debug)]
pub struct Session {
    decoder: Decoder,
    open: BTreeMap<u64, Ticket>,
    deferred: DeferredRequests,
    output: BytesMut,
    /// Unsent output at which the session stops handling new requests of this client. Cancellations are still handled.
    max_output: usize,
    /// No more input is handled; the connection closes once the pending output is sent.
    closing: bool,
    has_requested: bool,
    /// An executor has served a request of this client. Misbehaving clients also send well-formed requests, by the
    /// hundreds, but no executor serves them.
    is_verified: bool,
    opened_at: Micros,
    active_at: Micros,
    partial_since: Option<Micros>,
    /// When the client last read bytes while output was pending.
    answer_read_at: Micros,
    pub request_error: Option<RequestError>,
    /// Messages since [`Session::take_counts`].
    counts: MessageCounts,
}

impl Session {
    /// Creates the session of a connection that was just accepted. `unread_bytes` limits the unsent output, and the
    /// requests deferred behind it.
    pub fn new(unread_bytes: usize, now: Micros) -> Session {
        Session {
            decoder: Decoder::default(),
            open: BTreeMap::new(),
            deferred: DeferredRequests::new(unread_bytes),
            output: BytesMut::new(),
            max_output: unread_bytes,
            closing: false,
            has_requested: false,
            is_verified: false,
            opened_at: now,
            active_at: now,
            partial_since: None,
            answer_read_at: now,
            request_error: None,
            counts: MessageCounts::default(),
        }
    }

    /// Handles bytes read from the socket. `serving` is the status that HEALTH requests are answered with.
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
        self.active_at = now;
        self.decoder.feed(bytes);
        while self.wants_read() {
            if let Some(words) = self.can_resume().then(|| self.deferred.pop()).flatten() {
                self.take(words, (catalog, serving), next_ticket, events);
                continue;
            }
            match self.decoder.next_array() {
                Ok(Some(words)) => {
                    self.counts.messages += 1;
                    self.partial_since = None;
                    if self.output.len() < self.max_output {
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
                Err(_) => return self.close_unreadable(events),
            }
        }
    }

    /// Queues a request of a client that does not read its answers. A cancellation takes effect at once.
    fn defer(&mut self, words: Words, events: &mut Vec<ClientEvent>) {
        let number = words.get(1).and_then(|tag| tag_number(tag));
        if let (Some(b"ABORT"), Some(number)) = (words.first().map(Vec::as_slice), number) {
            self.deferred.cancel(number);
            self.cancel(number, events);
            return;
        }
        self.deferred.push(number, words);
    }

    fn cancel(&mut self, number: u64, events: &mut Vec<ClientEvent>) {
        if let Some(ticket) = self.open.remove(&number) {
            self.counts.effective += 1;
            events.push(ClientEvent::Cancelled(ticket));
        }
    }

    /// Counts a request that became a call as one beyond what may be open, because it was rejected.
    pub fn count_excessive(&mut self) {
        self.counts.effective = self.counts.effective.saturating_sub(1);
        self.counts.excessive += 1;
    }

    /// Returns what was received since the last call.
    pub fn take_counts(&mut self) -> MessageCounts {
        std::mem::take(&mut self.counts)
    }

    fn close_unreadable(&mut self, events: &mut Vec<ClientEvent>) {
        self.error(b"0");
        self.close(events);
    }

    /// Closes the connection once the pending output is sent. Open requests are cancelled.
    pub fn close(&mut self, events: &mut Vec<ClientEvent>) {
        self.closing = true;
        self.decoder = Decoder::default();
        self.deferred.clear();
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
            // Without a known verb and a number, an error answer can't be matched to one request, so the connection
            // closes.
            return self.close_unreadable(events);
        };
        match word(0) {
            b"HEALTH" => {
                self.has_requested = true;
                self.counts.health_checks += 1;
                let health: &[u8] = if serving { b"serving" } else { b"not_serving" };
                encode(&mut self.output, &[tag, health]);
            }
            b"ABORT" => {
                self.cancel(number, events);
            }
            _ => self.take_request(number, tag, &words, catalog, next_ticket, events),
        }
    }

    fn take_request(
        &mut self,
        number: u64,
        tag: &[u8],
        words: &Words,
        catalog: &Catalog,
        next_ticket: &mut Ticket,
        events: &mut Vec<ClientEvent>,
    ) {
        if self.open.contains_key(&number) {
            // Two open requests have the same number: an answer would be ambiguous.
            self.error(tag);
            return self.close(events);
        }
        if self.open.len() >= MAX_OPEN_REQUESTS {
            self.counts.excessive += 1;
            return encode(&mut self.output, &[tag, REFUSED]);
        }
        match parse_request(words, catalog) {
            Ok(request) => {
                self.has_requested = true;
                self.counts.effective += 1;
                *next_ticket += 1;
                self.open.insert(number, *next_ticket);
                events.push(ClientEvent::Call(*next_ticket, Box::new(request)));
            }
            Err(why) => {
                self.counts.malformed += 1;
                self.request_error = Some(why);
                self.error(tag);
            }
        }
    }

    /// Whether more bytes may be read. A client that keeps sending without reading its answers is not read from until
    /// it reads some. Its connection stays open, as its requests may be as valid as those of other clients.
    pub fn wants_read(&self) -> bool {
        !self.closing && (self.output.len() < self.max_output || !self.deferred.is_full())
    }

    /// Returns the number of bytes that are missing from a request that has arrived in part, as far as it is known.
    pub fn missing_bytes(&self) -> usize {
        self.decoder.missing()
    }

    /// Whether bytes were read that are not parsed because the client does not read its answers. A cancellation may
    /// be among them.
    pub fn has_unparsed_input(&self) -> bool {
        !self.closing && !self.wants_read() && self.decoder.is_partial()
    }

    /// Whether deferred requests can be handled, because the client has read its answers.
    pub fn can_resume(&self) -> bool {
        !self.closing && !self.deferred.is_empty() && self.output.len() < self.max_output
    }

    /// Whether the session handles no more requests.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether an executor has served a request of this client.
    pub fn is_verified(&self) -> bool {
        self.is_verified
    }

    /// Returns what [`crate::bounds::victim`] needs to choose the connection to evict.
    pub fn activity(&self) -> ConnectionActivity {
        ConnectionActivity {
            has_requested: self.has_requested,
            is_verified: self.is_verified,
            open_requests: self.open.len(),
            active_at: self.active_at,
        }
    }

    /// Whether the client has not read pending output for too long.
    pub fn is_stuck(&self, now: Micros) -> bool {
        !self.output.is_empty() && now - self.answer_read_at >= crate::bounds::ANSWER_READ_TIMEOUT
    }

    /// Whether the connection is to be closed because the client is inactive.
    pub fn is_expired(&self, now: Micros) -> bool {
        self.is_stuck(now)
            || crate::bounds::is_expired(&self.activity(), self.opened_at, self.partial_since, now)
    }
}

fn tag_number(tag: &[u8]) -> Option<u64> {
    let digits = !tag.is_empty() && tag.len() <= 20 && tag.iter().all(u8::is_ascii_digit);
    let number: u64 = digits.then(|| std::str::from_utf8(tag).ok()?.parse().ok()).flatten()?;
    (number > 0 && tag[0] != b'0').then_some(number)
}
