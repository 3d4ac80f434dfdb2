//! Writes answers under their tags, and keeps the output that is not sent yet.

use super::Session;
use crate::resp::{decimal, encode};
use bytes::BytesMut;
use stagehoist::Micros;
use stagehoist_gateway::state::{Answer, Ticket};

const SERVED: &[u8] = b"200";
pub(super) const REFUSED: &[u8] = b"503";
pub(super) const FAILED: &[u8] = b"500";

impl Session {
    fn tag_of(&self, ticket: Ticket) -> Option<u64> {
        self.open.iter().find(|(_, t)| **t == ticket).map(|(tag, _)| *tag)
    }

    /// Writes the only answer of a request; does nothing if the client no longer waits for it.
    pub fn answer(&mut self, ticket: Ticket, answer: &Answer, now: Micros) {
        let Some(number) = self.tag_of(ticket) else { return };
        self.open.remove(&number);
        self.active_at = now;
        self.is_verified |= matches!(answer, Answer::Served { .. });
        if self.output.is_empty() {
            self.answer_read_at = now;
        }
        let mut digits = [0u8; 20];
        let tag = decimal(number, &mut digits);
        match answer {
            Answer::Served { body, .. } => encode(&mut self.output, &[tag, SERVED, b"", body]),
            Answer::Gated(gated) => encode(&mut self.output, &[tag, SERVED, b"", &gated.body]),
            Answer::Refused { retry_after, .. } if *retry_after > 0 => {
                let cooldown = format!("cooldown={}", retry_after / 1000);
                encode(&mut self.output, &[tag, REFUSED, cooldown.as_bytes(), b""]);
            }
            Answer::Refused { .. } => encode(&mut self.output, &[tag, REFUSED, b"", b""]),
            Answer::Failed { .. } | Answer::Retired(_) => encode(&mut self.output, &[tag, FAILED, b"", b""]),
        }
    }

    /// Answers a well-formed request that can't be accepted with an error.
    pub fn reject(&mut self, ticket: Ticket) {
        if let Some(number) = self.tag_of(ticket) {
            self.open.remove(&number);
            self.counts.effective = self.counts.effective.saturating_sub(1);
            self.counts.malformed += 1;
            self.error(decimal(number, &mut [0u8; 20]));
        }
    }

    /// Returns the output that is not sent yet.
    pub fn output(&self) -> &[u8] {
        &self.output
    }

    /// Removes `n` bytes that the socket accepted.
    pub fn on_written(&mut self, n: usize, now: Micros) {
        let _ = self.output.split_to(n);
        if n > 0 {
            self.answer_read_at = now;
        }
        if self.output.is_empty() {
            // Releases the buffer so that idle connections hold no memory.
            self.output = BytesMut::new();
        }
    }
}
