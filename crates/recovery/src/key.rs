//! What identifies a message over deliveries, and its short form in intents and questions.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// A message's [`Key`] in 128 bits, the same in every process and version. Two messages of one identity count as one, which
/// errs on the safe side: one of them may be answered `failed` though it could have run. By chance that takes some 2^64
/// messages remembered at once; of a thousand million, one pair in 10^21.
pub type Identity = u128;

/// What identifies a message over deliveries: its reply queue, correlation id and message id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The queue that the caller takes its answers from.
    pub reply_to: String,
    /// The caller's correlation id.
    pub correlation: String,
    /// The message id; empty where the message has none.
    pub message: String,
}

impl Key {
    /// None where nothing tells one message of a caller from its next.
    pub fn new(reply_to: &str, correlation: &str, message: &str) -> Option<Key> {
        (!correlation.is_empty() || !message.is_empty()).then(|| Key {
            reply_to: reply_to.into(),
            correlation: correlation.into(),
            message: message.into(),
        })
    }

    /// Its short form. SipHash has a fixed definition; its key is not secret, so that a caller may choose ids that collide,
    /// to the harm of its own messages only: the reply queue is part of it.
    pub fn identity(&self) -> Identity {
        let mut hasher = SipHasher13::new_with_keys(0x7374_6167_6568_6f69, 0x7374_206d_6172_6b73);
        for part in [&self.reply_to, &self.correlation, &self.message] {
            // The length first, so that no two keys give the same bytes.
            hasher.write(&(part.len() as u64).to_le_bytes());
            hasher.write(part.as_bytes());
        }
        hasher.finish128().as_u128()
    }
}
