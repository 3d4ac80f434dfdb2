//! Decoding of frames of events.

use super::error::WireError;
use super::fields::{millis_at, u32_at};
use super::raw_record::{code, RawRecord};
use super::{BATCH_HEADER_SIZE, EVENT_SIZE, MAX_FRAME_SIZE};
use crate::interface::*;
use std::collections::HashMap;
use std::rc::Rc;

/// The endpoint lists that the process holds, by number.
#[derive(Default)]
pub struct EndpointLists(HashMap<u8, Rc<[Endpoint]>>);

impl EndpointLists {
    pub(super) fn get(&self, number: u8) -> Option<&Rc<[Endpoint]>> {
        self.0.get(&number)
    }
}

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
/// Returns an error if the length or the count of records is out of range.
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

/// Decodes the records of a frame in order; `body` is the frame without its header. Endpoint lists are stored in
/// `lists`, where later records look them up.
///
/// # Errors
/// Returns the error of the first record that can't be read.
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
