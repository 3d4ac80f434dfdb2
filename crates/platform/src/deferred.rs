//! Requests of a client that does not read its answers. They are read, so that cancellations among them take effect,
//! and handled later.

use crate::resp::Words;
use std::collections::VecDeque;

/// Memory overhead of an array, and of each of its words.
const ARRAY_OVERHEAD: usize = 64;
const WORD_OVERHEAD: usize = 40;

/// Deferred arrays in order of arrival.
#[derive(Debug)]
pub struct DeferredRequests {
    /// Maximum number of bytes; one more array may exceed it.
    max_bytes: usize,
    waiting: VecDeque<(Option<u64>, Words)>,
    bytes: usize,
}

fn size(words: &Words) -> usize {
    ARRAY_OVERHEAD + words.iter().map(|word| WORD_OVERHEAD + word.len()).sum::<usize>()
}

impl DeferredRequests {
    /// Creates an empty queue.
    pub fn new(max_bytes: usize) -> DeferredRequests {
        DeferredRequests { max_bytes, waiting: VecDeque::new(), bytes: 0 }
    }

    /// Drops all arrays.
    pub fn clear(&mut self) {
        *self = DeferredRequests::new(self.max_bytes);
    }

    /// Whether nothing is deferred.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether no more arrays may be deferred.
    pub fn is_full(&self) -> bool {
        self.bytes >= self.max_bytes
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
