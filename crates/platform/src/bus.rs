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
mod tests {
    use super::*;

    fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
        let mut b = ((HEAD + payload.len()) as u32).to_be_bytes().to_vec();
        b.extend(number.to_be_bytes());
        b.push(kind);
        b.extend(payload);
        b
    }

    fn numbers(news: &[Event]) -> Vec<u64> {
        news.iter().map(|e| e.number).collect()
    }

    #[test]
    fn numbers_decide_what_is_news() {
        let (mut bus, mut news) = (Bus::new(3, 0), Vec::new());
        assert_eq!(bus.connected(0), 3u64.to_be_bytes());
        let mut bytes = frame(3, 2, &[]);
        bytes.extend(frame(4, 2, &[0; 27]));
        bytes.extend(frame(4, 2, &[0; 27]));
        bytes.extend(frame(4, 0, &[]));
        bytes.extend(frame(5, 1, &[]));
        for piece in bytes.chunks(5) {
            bus.feed(piece, 10, &mut news).unwrap();
        }
        assert_eq!((numbers(&news), bus.last(), bus.silent_at()), (vec![4, 5], 5, 10 + SILENCE));
    }

    #[test]
    fn a_frame_cut_off_is_dropped_whole_and_told_again() {
        let (mut bus, mut news) = (Bus::new(0, 0), Vec::new());
        let bytes = frame(1, 1, &[0; 54]);
        bus.feed(&bytes[..40], 0, &mut news).unwrap();
        assert_eq!(bus.connected(1), 0u64.to_be_bytes());
        bus.feed(&bytes, 2, &mut news).unwrap();
        assert_eq!(numbers(&news), [1]);
    }

    #[test]
    fn a_gap_is_asked_for_once_and_then_taken_as_it_is() {
        let (mut bus, mut news) = (Bus::new(1, 0), Vec::new());
        let gap = Err(BusError::Gap { expected: 2, got: 4 });
        assert_eq!(bus.feed(&frame(4, 2, &[]), 0, &mut news), gap);
        bus.connected(1);
        bus.feed(&frame(4, 2, &[]), 1, &mut news).unwrap();
        assert_eq!(numbers(&news), [4]);
    }

    #[test]
    fn absurd_frames_end_the_connection_before_anything_is_kept() {
        for length in [0u32, 8, 1 << 30, u32::MAX] {
            let mut bus = Bus::new(0, 0);
            let fed = bus.feed(&length.to_be_bytes(), 0, &mut Vec::new());
            assert_eq!(fed, Err(BusError::Length(length as usize)));
        }
        let mut bus = Bus::new(0, 0);
        assert!(matches!(bus.feed(&frame(1, 7, &[]), 0, &mut Vec::new()), Err(BusError::Event { .. })));
    }

    #[test]
    fn connections_follow_at_once_and_then_with_short_pauses() {
        let mut bus = Bus::new(0, 0);
        let pauses: Vec<_> = (0..6).map(|_| bus.pause() / 1000).collect();
        assert_eq!(pauses, [0, 50, 100, 200, 400, 400]);
        bus.feed(&frame(0, 0, &[]), 0, &mut Vec::new()).unwrap();
        assert_eq!(bus.pause(), 0);
    }
}
