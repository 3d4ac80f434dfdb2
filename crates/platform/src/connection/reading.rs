//! Parses the bytes of an executor, and matches answers to pending exchanges.

use super::header::{is_header_byte, parse_header, parse_load_report, Header, Word};
use super::{ConnectionState, Exchange, ProtocolViolation, Tag, MAX_UNEXPECTED};
use crate::fields;
use bytes::{Bytes, BytesMut};
use stagehoist::{CopyReport, Micros, Outcome};
use stagehoist_gateway::state::{AttemptResult, Input};

/// Maximum length of a header line.
const MAX_LINE: usize = 2048;

impl ConnectionState {
    /// Handles bytes read from the socket; `at` is the estimated time of their arrival. After an error the connection
    /// must be closed as [`super::Closure::ProtocolViolated`].
    pub fn receive(
        &mut self,
        bytes: &[u8],
        (now, at): (Micros, Micros),
        report: &[String],
        inputs: &mut Vec<Input>,
    ) -> Result<(), ProtocolViolation> {
        (self.last_read, self.active_at, self.is_silent) = (now, now, false);
        self.buffer.extend_from_slice(bytes);
        loop {
            let Some(end) = self.buffer.iter().take(MAX_LINE).position(|&b| b == b'\n') else {
                if self.buffer.len() >= MAX_LINE {
                    return Err(ProtocolViolation::Endless);
                }
                if !self.buffer.iter().all(|b| is_header_byte(*b)) {
                    return Err(ProtocolViolation::Line);
                }
                if self.buffer.is_empty() {
                    // Releases the buffer so that idle connections hold no memory.
                    self.buffer = BytesMut::new();
                }
                return Ok(());
            };
            let line = &self.buffer[..end];
            let Some(line) = line.strip_suffix(b"\r") else { return Err(ProtocolViolation::Line) };
            let header = parse_header(line)?;
            let frame_length = match header.length {
                None => end + 1,
                Some(length) => end + 1 + length + 2,
            };
            if let Some(length) = header.length {
                let rest = &self.buffer[end + 1..];
                let differs = |at: usize, b: u8| rest.get(at).is_some_and(|&x| x != b);
                if differs(length, b'\r') || differs(length + 1, b'\n') {
                    return Err(ProtocolViolation::Length);
                }
            }
            if self.buffer.len() < frame_length {
                return Ok(());
            }
            let result = self.parse_answer(&header, report, at)?;
            let is_confirming = self.confirm_delivery(header.tag);
            self.count_answer(result.is_some() || is_confirming)?;
            let frame = self.buffer.split_to(frame_length);
            if let Some((tag, mut result, copies)) = result {
                if let Some(length) = header.length.filter(|_| result.outcome == Outcome::Ok) {
                    result.body = Bytes::copy_from_slice(&frame[end + 1..end + 1 + length]);
                }
                self.on_answer(tag, result, copies, inputs);
            }
        }
    }

    /// Records that the message which this answer belongs to has arrived. Returns whether there is such a message.
    fn confirm_delivery(&mut self, tag: Option<Tag>) -> bool {
        let Some(tag) = tag else { return false };
        let mut position =
            self.pending.get(&tag).and_then(|open| open.written).map(|written| written.position);
        self.abandoned.retain(|request| {
            let is_answered = tag == Tag::Call(request.id);
            if is_answered {
                position = position.max(Some(request.position));
            }
            !is_answered
        });
        if let Some(position) = position {
            self.deliveries.confirm(position);
        }
        position.is_some()
    }

    /// Counts an answer. Returns an error if the executor has sent too many that nothing awaits.
    fn count_answer(&mut self, is_expected: bool) -> Result<(), ProtocolViolation> {
        self.answers += 1;
        if is_expected {
            self.unexpected_in_a_row = 0;
            return Ok(());
        }
        self.unexpected_in_a_row += 1;
        match self.unexpected_in_a_row > MAX_UNEXPECTED {
            true => Err(ProtocolViolation::Unexpected),
            false => Ok(()),
        }
    }

    /// Returns the result that an answer carries, and the pending exchange that it belongs to; None if nothing awaits
    /// it.
    fn parse_answer(
        &self,
        header: &Header,
        report: &[String],
        at: Micros,
    ) -> Result<Option<(Tag, AttemptResult, u8)>, ProtocolViolation> {
        let fields = fields::parse(&header.fields).map_err(|_| ProtocolViolation::Line)?;
        let number = |name: &str, max: f64| match fields::get(&fields, name) {
            None => Ok(None),
            Some(text) => match fields::number(text) {
                Some(v) if (0.0..=max).contains(&v) => Ok(Some(v)),
                _ => Err(ProtocolViolation::Line),
            },
        };
        let queued = number("queue_fn", 1e6)?.unwrap_or(0.0) as u32;
        let copies = number("copies", 1e6)?;
        let stats =
            fields::get(&fields, "stats").map(|text| parse_load_report(text, report)).transpose()?.flatten();
        // An answer to an exchange that is not started can't be genuine; it is ignored.
        let started = |tag: Tag| self.pending.get(&tag).filter(|o| o.started_at.is_some()).map(|o| (tag, o));
        let Some((tag, open)) = header.tag.and_then(started) else {
            return Ok(None);
        };
        let is_attempt = matches!(open.exchange, Exchange::Attempt { .. });
        let is_probe = open.exchange.is_probe();
        let outcome = match header.word {
            Word::Ok if !is_probe => Outcome::Ok,
            Word::Miss if is_attempt => Outcome::Miss,
            Word::Busy if !is_probe => Outcome::Full,
            Word::Err if !is_probe => Outcome::Error,
            Word::Void if is_attempt => Outcome::Superseded,
            Word::Up if is_probe => Outcome::Ok,
            Word::Down if is_probe => Outcome::Error,
            _ => return Err(ProtocolViolation::Line),
        };
        let copy_report = CopyReport { state: 0, concurrency: queued };
        let result = AttemptResult {
            copy: copy_report,
            report: stats,
            read_at: at,
            ..AttemptResult::without_answer(outcome)
        };
        Ok(Some((tag, result, copies.unwrap_or(0.0).min(255.0) as u8)))
    }

    pub(super) fn on_answer(&mut self, tag: Tag, result: AttemptResult, copies: u8, inputs: &mut Vec<Input>) {
        let Some(open) = self.pending.remove(&tag) else { return };
        // An executor may reject a request before it is completely written. The rest is written all the same, because
        // the executor could not parse what follows otherwise.
        match open.exchange {
            Exchange::Attempt { request, attempt } => {
                self.attempts -= 1;
                inputs.push(Input::AttemptEnded { request, attempt, result });
            }
            Exchange::HealthCheck { worker, sent } => {
                let (outcome, report) = (result.outcome, result.report);
                inputs.push(Input::HealthChecked { worker, sent, outcome, report, draining: None });
            }
            Exchange::Load { worker, function, sent, .. } => {
                inputs.push(Input::Loaded { worker, function, sent, outcome: result.outcome, copies });
            }
            Exchange::DeliveryCheck { .. } => {}
        }
    }
}
