//! Requests of a client that does not read its answers. They are read, so that cancellations among them take effect,
//! and handled later.

use crate::resp::Words;
use std::collections::VecDeque;

/// Maximum number of bytes deferred per client; one more array may exceed it.
const MAX_BYTES: usize = 128 << 10;
/// Memory overhead of an array beyond its words.
const ARRAY_OVERHEAD: usize = 64;

/// Deferred arrays in order of arrival.
#[derive(Debug, Default)]
pub struct DeferredRequests {
    waiting: VecDeque<(Option<u64>, Words)>,
    bytes: usize,
}

fn size(words: &Words) -> usize {
    ARRAY_OVERHEAD + words.iter().map(Vec::len).sum::<usize>()
}

impl DeferredRequests {
    /// Whether nothing is deferred.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether no more arrays may be deferred.
    pub fn is_full(&self) -> bool {
        self.bytes >= MAX_BYTES
    }

    /// Defers an array under its request number.
    pub fn push(&mut self, number: Option<u64>, words: Words) {
        self.bytes += size(&words);
        self.waiting.push_back((number, words));
    }

    /// Drops the arrays deferred under a request number.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.retain(|(n, _)| *n != Some(number));
        self.bytes = self.waiting.iter().map(|(_, words)| size(words)).sum();
    }

    /// Removes and returns the oldest array.
    pub fn pop(&mut self) -> Option<Words> {
        let (_, words) = self.waiting.pop_front()?;
        self.bytes -= size(&words);
        Some(words)
    }
}
