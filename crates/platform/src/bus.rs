//! The event bus' connection without I/O: frames from pieces, numbers that decide what is news, silence that calls for a new
//! connection, and pauses between connections.

use crate::roster::{self, Event};
use bytes::{Buf, BytesMut};
use stagehoist::{Micros, RosterForm};

/// Longest frame: some forty thousand executors.
const FRAME_MOST: usize = 1 << 20;
/// Number and kind, which every frame has.
const HEAD: usize = 9;
/// A frame is told each second; after so much longer silence the connection is given up.
pub const SILENCE: Micros = 1_600_000;
/// Pauses between connections: at once, then doubling up to the longest.
const PAUSE: (Micros, Micros) = (50_000, 400_000);

/// What makes the bus' bytes unreadable; the connection is of no further use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BusError {
    #[error("a frame of {0} bytes")]
    Length(usize),
    #[error("event {number}: {error}")]
    Event { number: u64, error: roster::RosterError },
    #[error("event {got} where {expected} was due")]
    Gap { expected: u64, got: u64 },
}

/// The reading side, over connections.
#[derive(Debug)]
pub struct Bus {
    last: u64,
    buffer: BytesMut,
    heard: Micros,
    failures: u32,
    /// A gap that came again after asking anew is what there is.
    gap: Option<u64>,
}

impl Bus {
    /// Events up to `last` are known.
    pub fn new(last: u64, now: Micros) -> Bus {
        Bus { last, buffer: BytesMut::new(), heard: now, failures: 0, gap: None }
    }

    /// The number of the last event taken.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A connection stands; gives what to write on it. A frame that was cut off is forgotten.
    pub fn connected(&mut self, now: Micros) -> [u8; 8] {
        self.buffer = BytesMut::new();
        self.heard = now;
        self.last.to_be_bytes()
    }

    /// When the connection counts as silent.
    pub fn silent_at(&self) -> Micros {
        self.heard + SILENCE
    }

    /// How long to wait before the next connection.
    pub fn pause(&mut self) -> Micros {
        self.failures += 1;
        match self.failures {
            1 => 0,
            n => (PAUSE.0 << (n - 2).min(10)).min(PAUSE.1),
        }
    }

    /// Takes what the socket gave; news are pushed in their order. After an error the connection is to be given up.
    pub fn feed(&mut self, bytes: &[u8], now: Micros, news: &mut Vec<Event>) -> Result<(), BusError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            let Some(length) = self.buffer.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) else {
                return Ok(());
            };
            if !(HEAD..=FRAME_MOST).contains(&length) {
                return Err(BusError::Length(length));
            }
            if self.buffer.len() < 4 + length {
                return Ok(());
            }
            let mut frame = self.buffer.split_to(4 + length);
            frame.advance(4);
            let (number, kind) = (frame.get_u64(), frame.get_u8());
            (self.heard, self.failures) = (now, 0);
            if kind == 0 || number <= self.last {
                continue;
            }
            let event =
                roster::decode(number, kind, &frame).map_err(|error| BusError::Event { number, error })?;
            let expected = self.last + 1;
            if number > expected && event.form == RosterForm::Delta && self.gap != Some(expected) {
                self.gap = Some(expected);
                return Err(BusError::Gap { expected, got: number });
            }
            self.last = number;
            news.push(event);
        }
    }
}

#[cfg(test)]
mod tests;
