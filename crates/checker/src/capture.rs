//! What was recorded on the links.

use bytes::Bytes;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Microseconds since the capture began.
pub type Micros = i64;

/// Bytes that a capture holds at most; beyond it bytes are left out and the capture says so.
pub const BYTES_MOST: usize = 1 << 30;

/// Who is at the far end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// The broker, as a front end reaches it.
    Broker,
    /// The broker, as callers reach it.
    CallersBroker,
    Worker(String),
    List,
}

/// A link that is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// The front end on the near side; none for callers.
    pub front_end: Option<u32>,
    pub peer: Peer,
}

/// The direction of bytes, seen from the near side (front end or caller).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Out,
    In,
}

/// Something that happened on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum CaptureEvent {
    Opened,
    Bytes(Direction, Bytes),
    /// The connection ended, for both sides.
    Closed,
    /// The far side could not be reached; the near side saw its connection end with nothing said.
    Unreachable,
}

/// One line of a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub at: Micros,
    pub link: usize,
    pub connection: u64,
    pub event: CaptureEvent,
}

#[derive(Debug, Default)]
struct Inner {
    records: Vec<Record>,
    bytes: usize,
    truncated: bool,
    stopped: bool,
}

/// A recording, written by taps on any thread.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { start: Instant::now(), inner: Arc::default() }
    }
}

impl Recorder {
    /// Microseconds since the recording began.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Writes a line.
    pub fn write(&self, link: usize, connection: u64, what: CaptureEvent) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.stopped {
            return;
        }
        if let CaptureEvent::Bytes(_, bytes) = &what {
            if inner.bytes + bytes.len() > BYTES_MOST {
                inner.truncated = true;
                return;
            }
            inner.bytes += bytes.len();
        }
        // Taken under the lock, so that times never go backwards in a capture.
        let at = self.now();
        inner.records.push(Record { at, link, connection, event: what });
    }

    /// Records nothing from here on.
    pub fn stop(&self) {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).stopped = true;
    }

    /// Ends the recording and gives what was recorded.
    pub fn finish(&self, links: Vec<Link>) -> Capture {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.stopped = true;
        let records = std::mem::take(&mut inner.records);
        Capture { links, records, truncated: inner.truncated }
    }
}

/// A whole recording, in order of time.
#[derive(Clone, Debug, Default)]
pub struct Capture {
    pub links: Vec<Link>,
    pub records: Vec<Record>,
    /// Bytes were left out; nothing can be proven from such a capture.
    pub truncated: bool,
}
