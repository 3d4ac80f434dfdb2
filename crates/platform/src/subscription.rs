//! The event bus' connection without I/O: frames from pieces, numbers that decide what is inputs, silence that calls for a new
//! connection, and pauses between connections.

use crate::endpoint_events::{self, EndpointEvent};
use crate::replay::Replay;
use bytes::{Buf, BytesMut};
use stagehoist::{EndpointUpdate, Micros};
use std::collections::BTreeSet;

/// Longest frame: some forty thousand executors.
const MAX_FRAME: usize = 1 << 20;
/// Number and kind, which every frame has.
const HEAD: usize = 9;
/// A frame is sent each second; after so much longer silence the connection is abandoned.
pub const SILENCE: Micros = 1_600_000;
/// Pauses between connections: at once, then doubling up to the longest.
const PAUSE: (Micros, Micros) = (50_000, 400_000);
/// Events that could not be read and are asked for a second time; beyond them none is.
const MAX_UNREADABLE: usize = 256;

/// What makes the event subscription' bytes unreadable; the connection is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubscriptionError {
    #[error("a frame of {0} bytes")]
    Length(usize),
    #[error("event {number}: {error}")]
    Event { number: u64, error: endpoint_events::EndpointEventError },
    #[error("event {got} where {expected} was due")]
    Gap { expected: u64, got: u64 },
    #[error("the bus is at event {got}, after {last}")]
    Regressed { last: u64, got: u64 },
}

/// Whether an empty frame carries the number of the event subscription' last event, which the protocol's page does not say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatNumbering {
    Unknown,
    /// One had the number of the event before it.
    LastEvent,
    /// One with a smaller number came of a bus that still had all events.
    Other,
}

/// The reading side, over connections.
#[derive(Debug)]
pub struct EventSubscription {
    last: u64,
    buffer: BytesMut,
    received_at: Micros,
    failures: u32,
    /// When the connection came up, until it has brought inputs.
    opened: Option<Micros>,
    /// Connections in a row that came up, brought no inputs and soon ended.
    short_sessions: u32,
    /// Events after `last` that could not be read at first.
    unreadable: BTreeSet<u64>,
    heartbeats: HeartbeatNumbering,
    /// While all events are told anew.
    replay: Option<Replay>,
    /// The events taken are all that counts as told up to then.
    valid_until: Micros,
}

impl EventSubscription {
    /// Events up to `last` are known.
    pub fn new(last: u64, now: Micros) -> EventSubscription {
        EventSubscription {
            last,
            buffer: BytesMut::new(),
            received_at: now,
            failures: 0,
            opened: None,
            short_sessions: 0,
            unreadable: BTreeSet::new(),
            heartbeats: HeartbeatNumbering::Unknown,
            replay: None,
            valid_until: now,
        }
    }

    /// Up to when the events that were taken are all that counts as told: for as long as a connection stands that was not silent
    /// for too long. An event counts as told once it is in the bus, and the pages' relief while the bus is out of reach (2 s
    /// after a break, 4 s after a silence) can't be used: it ends with the outage, which may be over for a moment unseen.
    pub fn valid_until(&self) -> Micros {
        self.valid_until
    }

    /// The connection ended, `late` ago at most. The bus may be there for others, so that from now on nothing vouches for the
    /// events that were taken.
    pub fn ended(&mut self, now: Micros, late: Micros) {
        self.valid_until = self.valid_until.min(now - late);
    }

    /// An empty frame shows that the bus had nothing more to tell. An event does not: others may be on their way behind it,
    /// as after an outage.
    fn nothing_new(&mut self, read_at: Micros) {
        if self.replay.is_none() {
            self.valid_until = self.valid_until.max(read_at + SILENCE);
        }
    }

    /// The number of the last event taken.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A connection stands; gives what to write on it. A frame that was cut off is forgotten.
    pub fn connected(&mut self, now: Micros) -> [u8; 8] {
        self.buffer = BytesMut::new();
        self.received_at = now;
        self.opened = Some(now);
        // Once the bus is asked again, all that it holds counts as told.
        self.valid_until = self.valid_until.min(now);
        match &mut self.replay {
            Some(replay) => {
                replay.restart();
                0u64.to_be_bytes()
            }
            None => self.last.to_be_bytes(),
        }
    }

    /// When the connection counts as silent.
    pub fn silent_at(&self) -> Micros {
        self.received_at + SILENCE
    }

    /// How long to wait before the next connection. Frames alone do not make it short: a bus whose connections end at
    /// once after one would be asked without a pause.
    pub fn pause(&mut self) -> Micros {
        self.failures += 1;
        if let Some(opened) = self.opened.take() {
            self.short_sessions =
                if self.received_at - opened < PAUSE.1 { self.short_sessions + 1 } else { 0 };
        }
        match self.failures.max(self.short_sessions) {
            0 | 1 => 0,
            n => (PAUSE.0 << (n - 2).min(10)).min(PAUSE.1),
        }
    }

    /// Takes what the socket gave, by `read_at` at the latest; inputs are pushed in their order. After an error the connection is to be abandoned.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        (now, read_at): (Micros, Micros),
        inputs: &mut Vec<EndpointEvent>,
    ) -> Result<(), SubscriptionError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            let Some(length) = self.buffer.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) else {
                return Ok(());
            };
            if !(HEAD..=MAX_FRAME).contains(&length) {
                return Err(SubscriptionError::Length(length));
            }
            if self.buffer.len() < 4 + length {
                return Ok(());
            }
            let mut frame = self.buffer.split_to(4 + length);
            frame.advance(4);
            let (number, kind) = (frame.get_u64(), frame.get_u8());
            (self.received_at, self.failures) = (now, 0);
            if self.replay.is_some() {
                self.replayed(number, kind, &frame, inputs)?;
                if kind == 0 {
                    self.nothing_new(read_at);
                }
                continue;
            }
            if kind == 0 {
                self.on_heartbeat(number)?;
                if number <= self.last || self.heartbeats != HeartbeatNumbering::LastEvent {
                    self.nothing_new(read_at);
                }
                continue;
            }
            if number <= self.last {
                continue;
            }
            let event = self.read(number, kind, &frame)?;
            let expected = self.last + 1;
            if number > expected && event.kind == EndpointUpdate::Delta {
                // What is missing may be a drain, and only all events together say how the list stands.
                self.replay = Some(Replay::until(number));
                return Err(SubscriptionError::Gap { expected, got: number });
            }
            self.on_event(event, inputs);
        }
    }

    fn on_event(&mut self, event: EndpointEvent, inputs: &mut Vec<EndpointEvent>) {
        self.last = event.number;
        self.unreadable = self.unreadable.split_off(&(self.last + 1));
        (self.opened, self.short_sessions) = (None, 0);
        inputs.push(event);
    }

    /// An event that can't be read is asked for once more, as it may have been spoilt on its way; what can be read of it
    /// counts then, so that those after it are not held up for ever.
    fn read(&mut self, number: u64, kind: u8, payload: &[u8]) -> Result<EndpointEvent, SubscriptionError> {
        endpoint_events::decode(number, kind, payload).or_else(|error| {
            if self.unreadable.len() < MAX_UNREADABLE && self.unreadable.insert(number) {
                return Err(SubscriptionError::Event { number, error });
            }
            tracing::error!(number, %error, "an event of the bus can't be read; what can be of it counts");
            Ok(endpoint_events::readable(number, kind, payload))
        })
    }

    /// An empty frame came. A number that falls back means that the event subscription lost its events and counts anew.
    fn on_heartbeat(&mut self, number: u64) -> Result<(), SubscriptionError> {
        if number == 0 || self.heartbeats == HeartbeatNumbering::Other {
            return Ok(());
        }
        if number == self.last {
            self.heartbeats = HeartbeatNumbering::LastEvent;
        }
        if number < self.last && self.heartbeats == HeartbeatNumbering::LastEvent {
            self.replay = Some(Replay::until(self.last));
            return Err(SubscriptionError::Regressed { last: self.last, got: number });
        }
        Ok(())
    }

    /// A frame while all events are told anew.
    fn replayed(
        &mut self,
        number: u64,
        kind: u8,
        payload: &[u8],
        inputs: &mut Vec<EndpointEvent>,
    ) -> Result<(), SubscriptionError> {
        let event = if kind == 0 { None } else { Some(self.read(number, kind, payload)?) };
        let Some(mut replay) = self.replay.take() else { return Ok(()) };
        let ended = match event {
            Some(event) => {
                replay.take(event);
                false
            }
            None => number > 0 && number == replay.at(),
        };
        if replay.is_done() && replay.until_known(self.last) {
            // All that was known is still there: empty frames are numbered otherwise.
            self.heartbeats = HeartbeatNumbering::Other;
        }
        if replay.is_done() || ended {
            let event = replay.event();
            tracing::info!(number = event.number, form = ?event.kind, "the endpoint list was sent again");
            self.on_event(event, inputs);
        } else {
            self.replay = Some(replay);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
