//! Decoding of one record of a frame of events.

use super::decode::{EndpointLists, Record};
use super::error::{FieldError, WireError};
use super::fields::{f32_at, micros, millis_at, u16_at, u32_at, u64_at};
use super::settings::parse_settings;
use super::ENDPOINT_SIZE;
use crate::interface::*;
use std::rc::Rc;

/// Codes of the records.
pub(super) mod code {
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
/// Number of low bits that hold the state of the copy; the bits above hold the number of requests for the function.
const COPY_STATE_BITS: u32 = 3;

/// The bytes of one record.
pub(super) struct RawRecord<'a> {
    pub bytes: &'a [u8],
    /// Position of the record in its frame.
    pub position: usize,
    pub tail: &'a [u8],
}

impl<'a> RawRecord<'a> {
    /// The code of the record.
    pub fn code(&self) -> u8 {
        self.bytes[0]
    }

    /// Decodes the record; endpoint lists that it refers to are looked up in `lists`.
    pub fn decode(&self, lists: &EndpointLists) -> Result<Record, WireError> {
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
        let endpoints = lists.get(list).ok_or_else(|| self.error(3, FieldError::List(list)))?;
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
            connected_at: Micros::MAX,
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

    /// Decodes the endpoint list that the record contains.
    pub fn endpoints(&self) -> Result<Rc<[Endpoint]>, WireError> {
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

    /// Returns the part of the tail that a field refers to by offset and length; the length counts units of `unit` bytes.
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
