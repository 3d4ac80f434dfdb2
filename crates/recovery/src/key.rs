//! The key that identifies a message across deliveries, and its short form in intents and inquiries.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// A 128-bit hash of a message's [`Key`], the same in every process and version. Two messages with the same identity count
/// as one message. This errs on the safe side: one of them may be answered `failed` although it could have run. A collision
/// by chance becomes likely at about 2^64 messages remembered at the same time; with a thousand million messages its
/// probability is about 1 in 10^21.
pub type Identity = u128;

/// Identifies a message across deliveries: its reply queue, correlation id and message id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The queue from which the caller consumes its answers.
    pub reply_to: String,
    /// The caller's correlation id.
    pub correlation: String,
    /// The message id; empty if the message has none.
    pub message: String,
}

impl Key {
    /// Returns None if the message has neither id, so that a caller's messages can't be distinguished.
    pub fn new(reply_to: &str, correlation: &str, message: &str) -> Option<Key> {
        (!correlation.is_empty() || !message.is_empty()).then(|| Key {
            reply_to: reply_to.into(),
            correlation: correlation.into(),
            message: message.into(),
        })
    }

    /// Returns the short form of the key. SipHash has a fixed definition. Its key is not secret, so a caller can choose ids
    /// that collide, but only among its own messages, because the reply queue is part of the hash.
    pub fn identity(&self) -> Identity {
        let mut hasher = SipHasher13::new_with_keys(0x7374_6167_6568_6f69, 0x7374_206d_6172_6b73);
        for part in [&self.reply_to, &self.correlation, &self.message] {
            // Hash the length first, so that no two keys produce the same bytes.
            hasher.write(&(part.len() as u64).to_le_bytes());
            hasher.write(part.as_bytes());
        }
        hasher.finish128().as_u128()
    }
}
