//! The connection to the event bus, without I/O: parses frames from arbitrary pieces, decides by their numbers which
//! events are new, detects silence and lateness, which require a new connection, and computes the pauses between
//! connections.

use crate::endpoint_events::{self, EndpointEvent};
use crate::frame_schedule::{FrameSchedule, HEARTBEAT_INTERVAL};
use crate::lateness::LatenessMonitor;
use crate::replay::Replay;
use bytes::{Buf, BytesMut};
use stagehoist::{EndpointUpdate, Micros};
use std::collections::BTreeSet;

/// Maximum length of a frame, enough for some forty thousand executors.
const MAX_FRAME: usize = 1 << 20;
/// Length of the number and kind that every frame begins with.
const FRAME_HEADER: usize = 9;
/// The bus sends a frame each second; a connection without any for this time is closed.
pub const SILENCE_TIMEOUT: Micros = 1_600_000;
/// The same before the first frame of a connection, so that the frames of a bus that is late by up to the silence
/// timeout are read at all.
const FIRST_FRAME_TIMEOUT: Micros = 2_000_000;
/// Pauses between connections: none at first, then the first of these, doubling up to the second.
const RECONNECT_PAUSE: (Micros, Micros) = (50_000, 400_000);
/// Maximum number of malformed events that are requested a second time; further ones are not.
const MAX_MALFORMED: usize = 256;

/// Why the input of the event bus can't be parsed or continued; the connection is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubscriptionError {
    #[error("the length of a frame, {0} bytes, is out of range")]
    Length(usize),
    #[error("event {number}: {error}")]
    Event { number: u64, error: endpoint_events::EndpointEventError },
    #[error("events are missing: expected event {expected}, received event {got}")]
    Gap { expected: u64, got: u64 },
    #[error("the event bus regressed to event {got} after event {last}")]
    Regressed { last: u64, got: u64 },
    #[error("frames of the event bus may be {} ms late; measuring on a new connection", .lateness / 1000)]
    Late { lateness: Micros },
}

/// Whether an empty frame carries the number of the last event of the bus, which the protocol specification leaves
/// open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeartbeatNumbering {
    Unknown,
    /// An empty frame had the number of the event before it.
    LastEvent,
    /// An empty frame had a smaller number although the bus still had all events.
    Other,
}

/// The state of the subscription across connections.
#[derive(Debug)]
pub struct EventSubscription {
    last: u64,
    buffer: BytesMut,
    received_at: Micros,
    failures: u32,
    /// When the connection was established; None once it has delivered an event.
    connected_at: Option<Micros>,
    /// Number of consecutive connections that were established, delivered no event and ended soon.
    short_sessions: u32,
    /// Events after `last` that were malformed when first received.
    malformed: BTreeSet<u64>,
    heartbeats: HeartbeatNumbering,
    /// The replay in progress, while all events are received again.
    replay: Option<Replay>,
    /// Until when the received events count as all that were published.
    valid_until: Micros,
    /// The received events are known to be all that were published by this time.
    complete_at: Micros,
    /// When the frames of the present connection were due.
    schedule: FrameSchedule,
    lateness: LatenessMonitor,
}

impl EventSubscription {
    /// Creates a subscription to the events after `last`.
    pub fn new(last: u64, now: Micros) -> EventSubscription {
        EventSubscription {
            last,
            buffer: BytesMut::new(),
            received_at: now,
            failures: 0,
            connected_at: None,
            short_sessions: 0,
            malformed: BTreeSet::new(),
            heartbeats: HeartbeatNumbering::Unknown,
            replay: None,
            valid_until: now,
            complete_at: Micros::MIN,
            schedule: FrameSchedule::new(now),
            lateness: LatenessMonitor::new(now),
        }
    }

    /// Returns the time until which the received events count as complete. It advances only while a connection
    /// is open and has not been silent for too long, because an event counts as published, and thus as known to this
    /// front end, once it is in the bus. While the bus is unreachable, the platform allows front ends some time before
    /// such an event counts (2 s after a break, 4 s after a silence). This allowance is not used: it ends with the
    /// outage, and an outage may end briefly without this front end noticing.
    pub fn valid_until(&self) -> Micros {
        self.valid_until
    }

    /// Returns the time up to which the received events are known to be complete: that since which the last empty frame
    /// was written. The validity extends beyond it, because the next frame is not due yet.
    pub fn complete_at(&self) -> Micros {
        self.complete_at
    }

    /// Records that the connection ended, at most `late` ago. The bus may be reachable for others, so the received
    /// events no longer count as complete.
    pub fn ended(&mut self, now: Micros, late: Micros) {
        self.valid_until = self.valid_until.min(now - late);
    }

    /// Extends the validity after an empty frame, which shows that the bus had nothing more to send when it wrote the
    /// frame. An event does not show this, because other events may follow it, for example after an outage.
    ///
    /// The list is valid until the next frame is due. A late frame proves only that nothing was missing when it was
    /// written, and as the following frames will be late as well, nothing is known of the time since.
    fn extend_validity(&mut self, written_at: Micros) {
        let valid_until = if self.lateness.is_late() { written_at } else { written_at + HEARTBEAT_INTERVAL };
        self.valid_until = self.valid_until.max(valid_until);
        self.complete_at = self.complete_at.max(written_at);
    }

    /// Returns the number of the last applied event.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Records a new connection and returns the request to write on it. A partial frame of the previous connection is
    /// discarded. The request names the event before the last one: the bus answers it with that event at once, and this
    /// answer shows how late the connection is.
    pub fn connected(&mut self, now: Micros) -> [u8; 8] {
        self.buffer = BytesMut::new();
        self.received_at = now;
        self.connected_at = Some(now);
        self.schedule = FrameSchedule::new(now);
        self.lateness.on_connected();
        // Once the bus receives the request, all events that it holds count as published.
        self.valid_until = self.valid_until.min(now);
        match &mut self.replay {
            Some(replay) => {
                replay.restart();
                0u64.to_be_bytes()
            }
            None => self.last.saturating_sub(1).to_be_bytes(),
        }
    }

    /// Returns when the connection counts as silent.
    pub fn silence_deadline(&self) -> Micros {
        let is_first_frame_due = !self.schedule.has_frames();
        self.received_at + if is_first_frame_due { FIRST_FRAME_TIMEOUT } else { SILENCE_TIMEOUT }
    }

    /// Returns the pause before the next connection. Received frames alone do not shorten it, because a bus that
    /// closes each connection after one frame would be contacted without a pause.
    pub fn next_pause(&mut self) -> Micros {
        self.failures += 1;
        if let Some(connected_at) = self.connected_at.take() {
            self.short_sessions =
                if self.received_at - connected_at < RECONNECT_PAUSE.1 { self.short_sessions + 1 } else { 0 };
        }
        match self.failures.max(self.short_sessions) {
            0 | 1 => 0,
            n => (RECONNECT_PAUSE.0 << (n - 2).min(10)).min(RECONNECT_PAUSE.1),
        }
    }

    /// Handles bytes read from the socket at `now`, which arrived at `arrived_at` or later. Events are pushed in order.
    /// After an error the connection must be closed.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        (now, arrived_at): (Micros, Micros),
        events: &mut Vec<EndpointEvent>,
    ) -> Result<(), SubscriptionError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            let Some(length) = self.buffer.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) else {
                return Ok(());
            };
            if !(FRAME_HEADER..=MAX_FRAME).contains(&length) {
                return Err(SubscriptionError::Length(length));
            }
            if self.buffer.len() < 4 + length {
                return Ok(());
            }
            let mut frame = self.buffer.split_to(4 + length);
            frame.advance(4);
            let (number, kind) = (frame.get_u64(), frame.get_u8());
            (self.received_at, self.failures) = (now, 0);
            if kind == 0 {
                self.on_empty_frame(number, &frame, (now, arrived_at), events)?;
                continue;
            }
            self.schedule.on_event(arrived_at);
            if self.replay.is_some() {
                self.on_replayed(number, kind, &frame, events)?;
                continue;
            }
            if number <= self.last {
                continue;
            }
            let event = self.decode(number, kind, &frame)?;
            let expected = self.last + 1;
            if number > expected && event.kind == EndpointUpdate::Delta {
                // The missing event may be a drain, and only a replay of all events gives the correct list.
                self.replay = Some(Replay::until(number));
                return Err(SubscriptionError::Gap { expected, got: number });
            }
            self.on_event(event, events);
        }
    }

    /// Handles an empty frame: extends the validity, unless events are missing.
    fn on_empty_frame(
        &mut self,
        number: u64,
        payload: &[u8],
        (now, arrived_at): (Micros, Micros),
        events: &mut Vec<EndpointEvent>,
    ) -> Result<(), SubscriptionError> {
        let written_at = self.schedule.on_heartbeat(arrived_at, now);
        self.lateness.record(arrived_at - written_at);
        let is_complete = if self.replay.is_some() {
            self.on_replayed(number, 0, payload, events)?;
            self.replay.is_none()
        } else {
            self.on_heartbeat(number)?;
            number <= self.last || self.heartbeats != HeartbeatNumbering::LastEvent
        };
        if is_complete {
            self.extend_validity(written_at);
        }
        if self.lateness.begin_measurement(now) {
            return Err(SubscriptionError::Late { lateness: self.lateness.lateness() });
        }
        Ok(())
    }

    fn on_event(&mut self, event: EndpointEvent, events: &mut Vec<EndpointEvent>) {
        self.last = event.number;
        self.malformed = self.malformed.split_off(&(self.last + 1));
        (self.connected_at, self.short_sessions) = (None, 0);
        events.push(event);
    }

    /// Decodes an event. A malformed one is requested a second time, because it may have been damaged in transit;
    /// after that its valid records are used, so that later events are not held up.
    fn decode(&mut self, number: u64, kind: u8, payload: &[u8]) -> Result<EndpointEvent, SubscriptionError> {
        endpoint_events::decode(number, kind, payload).or_else(|error| {
            if self.malformed.len() < MAX_MALFORMED && self.malformed.insert(number) {
                return Err(SubscriptionError::Event { number, error });
            }
            tracing::error!(number, %error, "event of the bus is malformed; applying its valid records");
            Ok(endpoint_events::decode_lossy(number, kind, payload))
        })
    }

    /// Handles an empty frame. A number that goes backwards means that the bus lost its events and restarted its
    /// numbering.
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

    /// Handles a frame during a replay.
    fn on_replayed(
        &mut self,
        number: u64,
        kind: u8,
        payload: &[u8],
        events: &mut Vec<EndpointEvent>,
    ) -> Result<(), SubscriptionError> {
        let event = if kind == 0 { None } else { Some(self.decode(number, kind, payload)?) };
        let Some(mut replay) = self.replay.take() else { return Ok(()) };
        let is_ended = match event {
            Some(event) => {
                replay.add(event);
                false
            }
            None => number > 0 && number == replay.last(),
        };
        if replay.is_done() && replay.is_until(self.last) {
            // All known events are still there, so empty frames are numbered in another way.
            self.heartbeats = HeartbeatNumbering::Other;
        }
        if replay.is_done() || is_ended {
            let event = replay.event();
            tracing::info!(number = event.number, form = ?event.kind, "endpoint events replayed from the first");
            self.on_event(event, events);
        } else {
            self.replay = Some(replay);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
