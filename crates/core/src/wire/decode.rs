//! Decoding of frames of events.

use super::error::{FieldError, WireError};
use super::fields::{f32_at, micros, millis_at, u16_at, u32_at, u64_at};
use super::settings::parse_settings;
use super::{BATCH_HEADER_SIZE, ENDPOINT_SIZE, EVENT_SIZE, MAX_FRAME_SIZE};
use crate::interface::*;
use std::collections::HashMap;
use std::rc::Rc;

/// Codes of the records.
mod code {
    pub const START: u8 = 10;
    pub const ENDPOINTS: u8 = 20;
    pub const REQUEST: u8 = 30;
    pub const STARTED: u8 = 40;
    pub const ATTEMPT_ENDED: u8 = 50;
    pub const CLIENT_GONE: u8 = 60;
    pub const TIMER: u8 = 70;
    pub const HEALTH_CHECKED: u8 = 80;
    pub const GOSSIP: u8 = 90;
    pub const STOP: u8 = 100;
    pub const LOADED: u8 = 110;
    pub const ENDPOINT_LIST: u8 = 120;
}

/// Flags of a request.
const HAS_WORK: u8 = 1;
const IS_REPEAT: u8 = 2;
/// The state of the copy stands in these bits, the count of requests alike above them.
const COPY_STATE_BITS: u32 = 3;

/// Endpoint lists by number, as the process holds them.
#[derive(Default)]
pub struct EndpointLists(HashMap<u8, Rc<[Endpoint]>>);

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// Time of the batch.
    pub now: Micros,
    /// Length of the whole frame in bytes.
    pub length: usize,
    /// Number of records.
    pub count: usize,
}

/// One record of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A front end starts.
    Start {
        /// Its number in this process.
        instance: u16,
        /// Its seed.
        seed: u64,
        /// Its configuration.
        settings: Box<Settings>,
    },
    /// A front end ends.
    Stop {
        /// Its number in this process.
        instance: u16,
    },
    /// An observation of a front end.
    Event {
        /// Its number in this process.
        instance: u16,
        /// The observation.
        event: Event,
    },
}

/// Reads and checks the header of a frame.
///
/// # Errors
/// The length or the count of records can't be right.
pub fn batch_header(header: &[u8; BATCH_HEADER_SIZE]) -> Result<BatchHeader, WireError> {
    let length = u32_at(header, 8) as usize;
    let count = u32_at(header, 12) as usize;
    if !(BATCH_HEADER_SIZE..=MAX_FRAME_SIZE).contains(&length) {
        return Err(WireError::FrameLength { length });
    }
    if count > (length - BATCH_HEADER_SIZE) / EVENT_SIZE {
        return Err(WireError::RecordCount { count, length });
    }
    Ok(BatchHeader { now: millis_at(header, 0), length, count })
}

/// Decodes the records of a frame, of which `body` is all behind the header, in their order. Endpoint lists go to
/// `lists`, from which later records take them.
///
/// # Errors
/// The first record that can't be read.
pub fn decode(body: &[u8], count: usize, lists: &mut EndpointLists) -> Result<Vec<Record>, WireError> {
    if body.len() / EVENT_SIZE < count {
        return Err(WireError::Truncated { count, available: body.len() });
    }
    let (records, tail) = body.split_at(count * EVENT_SIZE);
    let mut decoded = Vec::with_capacity(count);
    for (number, bytes) in records.chunks_exact(EVENT_SIZE).enumerate() {
        let position = BATCH_HEADER_SIZE + number * EVENT_SIZE;
        let raw = RawRecord { bytes, position, tail };
        if raw.code() == code::ENDPOINT_LIST {
            lists.0.insert(bytes[1], raw.endpoints()?);
        } else {
            decoded.push(raw.decode(lists)?);
        }
    }
    Ok(decoded)
}

/// The bytes of one record.
struct RawRecord<'a> {
    bytes: &'a [u8],
    /// Of the cluster state in its frame.
    position: usize,
    tail: &'a [u8],
}

impl<'a> RawRecord<'a> {
    fn code(&self) -> u8 {
        self.bytes[0]
    }

    fn decode(&self, lists: &EndpointLists) -> Result<Record, WireError> {
        let instance = u16_at(self.bytes, 1);
        let event = match self.code() {
            code::START => return self.start(instance),
            code::STOP => return Ok(Record::Stop { instance }),
            code::ENDPOINTS => self.endpoint_update(lists)?,
            code::REQUEST => Event::Request(self.request()),
            code::STARTED => {
                Event::Started { request: u32_at(self.bytes, 3), attempt: u16_at(self.bytes, 7) }
            }
            code::ATTEMPT_ENDED => Event::AttemptEnded(self.attempt_end()?),
            code::CLIENT_GONE => Event::ClientGone { request: u32_at(self.bytes, 3) },
            code::TIMER => Event::Timer { token: u32_at(self.bytes, 3) },
            code::HEALTH_CHECKED => self.health_checked()?,
            code::GOSSIP => {
                Event::Gossip { from: u32_at(self.bytes, 3), bytes: self.tail_part(7, 1)?.to_vec() }
            }
            code::LOADED => self.loaded()?,
            code => return Err(WireError::UnknownEvent { code, position: self.position }),
        };
        Ok(Record::Event { instance, event })
    }

    fn start(&self, instance: u16) -> Result<Record, WireError> {
        let text = self.tail_part(11, 1)?;
        let text = std::str::from_utf8(text).map_err(|_| self.error(0, FieldError::SettingsText))?;
        let settings = Box::new(parse_settings(text)?);
        Ok(Record::Start { instance, seed: u64_at(self.bytes, 3), settings })
    }

    fn endpoint_update(&self, lists: &EndpointLists) -> Result<Event, WireError> {
        let update = match self.bytes[8] {
            0 => EndpointUpdate::Full,
            1 => EndpointUpdate::Delta,
            2 => EndpointUpdate::Cached,
            3 => EndpointUpdate::Failed,
            kind => return Err(self.error(8, FieldError::UpdateKind(kind))),
        };
        if update == EndpointUpdate::Failed {
            return Ok(Event::Endpoints { update, endpoints: Rc::from(Vec::new()) });
        }
        let list = self.bytes[3];
        let endpoints = lists.0.get(&list).ok_or_else(|| self.error(3, FieldError::List(list)))?;
        Ok(Event::Endpoints { update, endpoints: endpoints.clone() })
    }

    fn request(&self) -> Request {
        let bytes = self.bytes;
        let flags = bytes[49];
        let has_work = flags & HAS_WORK != 0;
        Request {
            id: u32_at(bytes, 3),
            class: u16_at(bytes, 7),
            tenant: u32_at(bytes, 9),
            function: u64_at(bytes, 13),
            budget: millis_at(bytes, 21),
            work: has_work.then(|| millis_at(bytes, 29)),
            memory_mb: f32_at(bytes, 37),
            concurrency: f32_at(bytes, 41),
            load_time: micros(f32_at(bytes, 45)),
            is_repeat: flags & IS_REPEAT != 0,
            accepted_at: 0,
            client_verified: true,
        }
    }

    fn attempt_end(&self) -> Result<AttemptEnd, WireError> {
        let bytes = self.bytes;
        let copy = u32_at(bytes, 12);
        Ok(AttemptEnd {
            request: u32_at(bytes, 3),
            worker: u32_at(bytes, 7),
            concluded: bytes[11] != 0,
            copy: CopyReport {
                state: (copy & ((1 << COPY_STATE_BITS) - 1)) as u8,
                concurrency: copy >> COPY_STATE_BITS,
            },
            attempt: u16_at(bytes, 16),
            elapsed: millis_at(bytes, 18),
            outcome: self.outcome(26)?,
            report: load_report(bytes, 28),
        })
    }

    fn health_checked(&self) -> Result<Event, WireError> {
        Ok(Event::HealthChecked {
            outcome: self.outcome(3)?,
            worker: u32_at(self.bytes, 5),
            elapsed: millis_at(self.bytes, 9),
            report: load_report(self.bytes, 17),
        })
    }

    fn loaded(&self) -> Result<Event, WireError> {
        Ok(Event::Loaded {
            worker: u32_at(self.bytes, 3),
            function: u64_at(self.bytes, 7),
            outcome: self.outcome(15)?,
            elapsed: millis_at(self.bytes, 17),
            copies: self.bytes[25],
        })
    }

    fn endpoints(&self) -> Result<Rc<[Endpoint]>, WireError> {
        self.tail_part(2, ENDPOINT_SIZE)?
            .chunks_exact(ENDPOINT_SIZE)
            .map(|entry| self.endpoint(entry))
            .collect()
    }

    fn endpoint(&self, entry: &[u8]) -> Result<Endpoint, WireError> {
        let lifecycle = match entry[6] {
            0 => Lifecycle::Gone,
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            state => return Err(self.error(0, FieldError::Lifecycle(state))),
        };
        Ok(Endpoint {
            kind: u16_at(entry, 0),
            worker: u32_at(entry, 2),
            lifecycle,
            zone: entry[7],
            started: millis_at(entry, 8),
            cell: u16_at(entry, 16),
            capacity: f32_at(entry, 18),
        })
    }

    fn outcome(&self, field: usize) -> Result<Outcome, WireError> {
        use Outcome::*;
        let outcomes = [Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Superseded, Miss];
        let outcome = outcomes.get(usize::from(u16_at(self.bytes, field))).copied();
        outcome.ok_or_else(|| self.error(field, FieldError::Outcome))
    }

    /// The part of the tail that a field names by offset and length in units of so many bytes.
    fn tail_part(&self, field: usize, unit: usize) -> Result<&'a [u8], WireError> {
        let offset = u32_at(self.bytes, field) as usize;
        let length = u32_at(self.bytes, field + 4) as usize;
        let end = length.checked_mul(unit).and_then(|length| length.checked_add(offset));
        let part = end.and_then(|end| self.tail.get(offset..end));
        part.ok_or_else(|| WireError::TailRange {
            code: self.code(),
            position: self.position + field,
            offset,
            length,
            available: self.tail.len(),
        })
    }

    fn error(&self, field: usize, source: FieldError) -> WireError {
        WireError::Field { code: self.code(), position: self.position + field, source }
    }
}

fn load_report(record: &[u8], field: usize) -> LoadReport {
    let count = usize::from(record[field]).min(MAX_REPORT_VALUES);
    if count == 0 {
        return None;
    }
    let mut values = [0f32; MAX_REPORT_VALUES];
    for (number, value) in values.iter_mut().enumerate().take(count) {
        *value = f32_at(record, field + 1 + 4 * number) as f32;
    }
    Some(values)
}
