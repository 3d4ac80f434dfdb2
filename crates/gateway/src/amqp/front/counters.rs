//! Counters of a front.

/// Event counts of a front, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontCounters {
    pub delivered: u64,
    pub redelivered: u64,
    pub rejected: u64,
    pub refused_invalid: u64,
    /// Messages refused at intake, as the maximum of held calls or bytes was reached.
    pub rejected_at_intake: u64,
    /// Changes of the prefetch window requested from the broker.
    pub windows: u64,
    pub replies: u64,
    /// Acknowledgements sent; one may cover several messages.
    pub acks: u64,
    pub confirmed: u64,
    pub unroutable: u64,
    pub from_memory: u64,
    pub joined: u64,
    pub withheld: u64,
    pub failed_unknown: u64,
    /// Redelivered messages that were unknown here, so that members were asked about them. `run_by_intents` counts
    /// those of them that ran because no member had sent them.
    pub inquired: u64,
    pub run_by_intents: u64,
    /// Calls accepted for a function that is leaving the owned shards; `other_shard` counts calls refused because
    /// their function belongs to another front end's shards.
    pub leaving_shard: u64,
    pub other_shard: u64,
    /// Messages returned to their queues, because this front end no longer had their shard when they arrived.
    pub requeued: u64,
    pub connections_lost: u64,
    pub channels_lost: u64,
}
