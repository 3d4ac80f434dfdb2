//! Counts of a client's messages by their kind.

/// What a client has sent since its last read, or over the whole connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    pub messages: u32,
    /// Requests that became calls, and cancellations of open ones.
    pub effective: u32,
    pub health_checks: u32,
    pub malformed: u32,
    /// Requests beyond those that may be open at once.
    pub excessive: u32,
}

impl MessageCounts {
    /// Adds the messages of another read.
    pub fn add(&mut self, other: &MessageCounts) {
        self.messages = self.messages.saturating_add(other.messages);
        self.effective = self.effective.saturating_add(other.effective);
        self.health_checks = self.health_checks.saturating_add(other.health_checks);
        self.malformed = self.malformed.saturating_add(other.malformed);
        self.excessive = self.excessive.saturating_add(other.excessive);
    }

    /// Returns the number of messages that lead to no work for an executor.
    pub fn without_effect(&self) -> u32 {
        self.messages.saturating_sub(self.effective)
    }
}
