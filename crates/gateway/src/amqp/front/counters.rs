//! What a front counts.

/// What a front has done, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontCounters {
    pub delivered: u64,
    pub redelivered: u64,
    pub rejected: u64,
    pub answered_unusable: u64,
    /// Refused at intake: the bounds on held calls or bytes are reached.
    pub rejected_at_intake: u64,
    /// Changes of the window that the broker was asked for.
    pub windows: u64,
    pub replies: u64,
    /// Acknowledgements sent; one may stand for many messages.
    pub acks: u64,
    pub confirmed: u64,
    pub unroutable: u64,
    pub from_memory: u64,
    pub joined: u64,
    pub withheld: u64,
    pub failed_unknown: u64,
    /// Delivered again, not known here, and asked about; and those of them that ran by the word of all intents.
    pub inquired: u64,
    pub run_by_intents: u64,
    /// Taken for a function that is leaving own shards, and refused for one of others.
    pub leaving_shard: u64,
    pub other_shard: u64,
    /// Not taken, as their shard had gone when they came: given back to their queues.
    pub given_back: u64,
    pub connections_lost: u64,
    pub channels_lost: u64,
}
