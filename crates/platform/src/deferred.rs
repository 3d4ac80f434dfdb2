//! What a client sends while it takes no answers: read, so that what it cancels is heard, and looked at
//! later.

use crate::resp::Words;
use std::collections::VecDeque;

/// Bytes kept of one client, one array more at most.
const MOST: usize = 128 << 10;
/// What an array costs beyond its words.
const EACH: usize = 64;

/// Arrays that wait, in their order.
#[derive(Debug, Default)]
pub struct DeferredRequests {
    waiting: VecDeque<(Option<u64>, Words)>,
    bytes: usize,
}

fn size(words: &Words) -> usize {
    EACH + words.iter().map(Vec::len).sum::<usize>()
}

impl DeferredRequests {
    /// Whether nothing is deferred.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether no more is to be kept.
    pub fn is_full(&self) -> bool {
        self.bytes >= MOST
    }

    /// Keeps an array under its number.
    pub fn push(&mut self, number: Option<u64>, words: Words) {
        self.bytes += size(&words);
        self.waiting.push_back((number, words));
    }

    /// Drops what waits under a number.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.retain(|(n, _)| *n != Some(number));
        self.bytes = self.waiting.iter().map(|(_, words)| size(words)).sum();
    }

    /// Takes the oldest request.
    pub fn pop(&mut self) -> Option<Words> {
        let (_, words) = self.waiting.pop_front()?;
        self.bytes -= size(&words);
        Some(words)
    }
}
