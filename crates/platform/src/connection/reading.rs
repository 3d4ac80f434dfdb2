//! What came from the executor, and which of the open it answers.

use super::header::{head, is_plain, stats, Head, Word};
use super::{ConnectionState, Exchange, ProtocolViolation, Tag};
use crate::fields;
use bytes::{Bytes, BytesMut};
use stagehoist::{CopyReport, Micros, Outcome};
use stagehoist_gateway::state::{AttemptResult, Input};

/// Longest line of an answer.
const MAX_LINE: usize = 2048;

impl ConnectionState {
    /// Takes what the socket gave; `at` is when it came, as far as is known. After an error the connection is to be ended
    /// as poisoned.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        (now, at): (Micros, Micros),
        report: &[String],
        inputs: &mut Vec<Input>,
    ) -> Result<(), ProtocolViolation> {
        (self.read, self.active, self.silent) = (now, now, false);
        self.buffer.extend_from_slice(bytes);
        loop {
            let Some(end) = self.buffer.iter().take(MAX_LINE).position(|&b| b == b'\n') else {
                if self.buffer.len() >= MAX_LINE {
                    return Err(ProtocolViolation::Endless);
                }
                if !self.buffer.iter().all(|b| is_plain(*b)) {
                    return Err(ProtocolViolation::Line);
                }
                if self.buffer.is_empty() {
                    // Idle connections hold nothing.
                    self.buffer = BytesMut::new();
                }
                return Ok(());
            };
            let line = &self.buffer[..end];
            let Some(line) = line.strip_suffix(b"\r") else { return Err(ProtocolViolation::Line) };
            let head = head(line)?;
            let whole = match head.length {
                None => end + 1,
                Some(length) => end + 1 + length + 2,
            };
            if let Some(length) = head.length {
                let behind = &self.buffer[end + 1..];
                let wrong = |at: usize, b: u8| behind.get(at).is_some_and(|&x| x != b);
                if wrong(length, b'\r') || wrong(length + 1, b'\n') {
                    return Err(ProtocolViolation::Length);
                }
            }
            if self.buffer.len() < whole {
                return Ok(());
            }
            let result = self.understand(&head, report, at)?;
            if let Some(Tag::Call(id)) = head.tag {
                self.stopped.retain(|s| *s != id);
            }
            let frame = self.buffer.split_to(whole);
            if let Some((tag, mut result, copies)) = result {
                if let Some(length) = head.length.filter(|_| result.outcome == Outcome::Ok) {
                    result.body = Bytes::copy_from_slice(&frame[end + 1..end + 1 + length]);
                }
                self.answered(tag, result, copies, inputs);
            }
        }
    }

    /// What an answer says, if something open awaits it.
    fn understand(
        &self,
        head: &Head,
        report: &[String],
        at: Micros,
    ) -> Result<Option<(Tag, AttemptResult, u8)>, ProtocolViolation> {
        let fields = fields::parse(&head.fields).map_err(|_| ProtocolViolation::Line)?;
        let count = |name: &str, most: f64| match fields::get(&fields, name) {
            None => Ok(None),
            Some(text) => match fields::number(text) {
                Some(v) if (0.0..=most).contains(&v) => Ok(Some(v)),
                _ => Err(ProtocolViolation::Line),
            },
        };
        let crowd = count("queue_fn", 1e6)?.unwrap_or(0.0) as u32;
        let copies = count("copies", 1e6)?;
        let stats = fields::get(&fields, "stats").map(|text| stats(text, report)).transpose()?.flatten();
        // What comes under the number of something of which nothing was written belongs to none that is open.
        let known = |tag: Tag| self.pending.get(&tag).filter(|o| o.started_at.is_some()).map(|o| (tag, o));
        let Some((tag, open)) = head.tag.and_then(known) else {
            return Ok(None);
        };
        let attempt = matches!(open.exchange, Exchange::Attempt { .. });
        let probe = matches!(open.exchange, Exchange::Probe { .. });
        let outcome = match head.word {
            Word::Ok if !probe => Outcome::Ok,
            Word::Miss if attempt => Outcome::Miss,
            Word::Busy if !probe => Outcome::Full,
            Word::Err if !probe => Outcome::Error,
            Word::Void if attempt => Outcome::Superseded,
            Word::Up if probe => Outcome::Ok,
            Word::Down if probe => Outcome::Error,
            _ => return Err(ProtocolViolation::Line),
        };
        let note = CopyReport { state: 0, concurrency: crowd };
        let result = AttemptResult {
            copy: note,
            report: stats,
            read_at: at,
            ..AttemptResult::without_answer(outcome)
        };
        Ok(Some((tag, result, copies.unwrap_or(0.0).min(255.0) as u8)))
    }

    pub(super) fn answered(&mut self, tag: Tag, result: AttemptResult, copies: u8, inputs: &mut Vec<Input>) {
        let Some(open) = self.pending.remove(&tag) else { return };
        // What is answered before all of it was written (an executor may refuse early) need not be written on, but what
        // follows on the line must stay whole.
        inputs.push(match open.exchange {
            Exchange::Attempt { request, attempt } => {
                self.attempts -= 1;
                Input::AttemptEnded { request, attempt, result }
            }
            Exchange::Probe { worker, sent } => {
                let (outcome, report) = (result.outcome, result.report);
                Input::HealthChecked { worker, sent, outcome, report, draining: None }
            }
            Exchange::Load { worker, function, sent, .. } => {
                Input::Loaded { worker, function, sent, outcome: result.outcome, copies }
            }
        });
    }
}
