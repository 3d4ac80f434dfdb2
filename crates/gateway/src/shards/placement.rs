//! Decides how a front end handles a call, by the queue that it arrived on and by the function, without I/O.

use super::{homes, owned, queue, OwnedShards};
use stagehoist_config::{Config, Consume};
use stagehoist_sharding::{place, Division, FunctionPlacement, HomeShards, Key, Shard};

/// For a queue: the index of its division among those served, and whether calls that arrive on it are leaving this
/// front end.
pub type QueueOrigin = (usize, bool);

/// The home shards and owned shards of the divisions served, the newest last; the kind of each queue; and the
/// divisions' generations.
pub struct Places(Vec<(HomeShards, Vec<Shard>)>, Vec<QueueOrigin>, Vec<u32>);

impl Places {
    /// Creates the placement of functions; returns `None` if the fleet isn't divided.
    pub fn new(config: &Config) -> Option<Places> {
        let sharding = config.sharding.as_ref()?;
        let of = |d: &Division| Some((homes(sharding, d)?, owned(config, sharding, d)));
        let generations: Vec<u32> = sharding.divisions.served().map(Division::generation).collect();
        let newest = generations.len().checked_sub(1)?;
        let shard = |c: &Consume| c.queue.rsplit_once(".shard-")?.1.parse().ok();
        let at = |c: &Consume| {
            let shard = shard(c)?;
            generations.iter().position(|g| c.queue.ends_with(&queue("", *g, shard)))
        };
        let arrival = |c: &Consume| at(c).map_or((newest, false), |at| (at, at < newest));
        let queues = config.consume.iter().map(arrival).collect();
        Some(Places(sharding.divisions.served().filter_map(of).collect(), queues, generations))
    }

    /// Returns how the front end handles a call of a function that arrived on the queue with this index in the
    /// configuration. Every call that arrives on a queue of the older division is leaving.
    pub fn over(&self, queue: usize, function: &str) -> FunctionPlacement {
        match self.of(function) {
            FunctionPlacement::Owned if self.1.get(queue).is_some_and(|arrival| arrival.1) => {
                FunctionPlacement::Leaving
            }
            place => place,
        }
    }

    /// Returns the generation and shard that a call should have been sent to. The division is that of the queue on
    /// which the call arrived, because the caller routes by it. During a change of divisions, some front ends may not
    /// yet, or no longer, serve the other division.
    pub fn home(&self, queue: usize, function: &str, call: u64) -> Option<(u32, Shard)> {
        let newest = self.0.len().checked_sub(1)?;
        let at = self.1.get(queue).map_or(newest, |arrival| arrival.0);
        Some((*self.2.get(at)?, self.0.get(at)?.0.for_call(Key::of(function), call)))
    }

    /// Returns where a function belongs, regardless of the queue.
    pub fn of(&self, function: &str) -> FunctionPlacement {
        place(self.0.iter().map(|(homes, owned_shards)| (homes, &owned_shards[..])), Key::of(function), 0)
    }

    /// Applies changed owned shards; `queues` has the kind of each queue, by its index.
    pub fn set_served(&mut self, owned: &[OwnedShards], queues: Vec<QueueOrigin>) {
        for ((_, owned_shards), shards) in self.0.iter_mut().zip(owned) {
            *owned_shards = shards.served();
        }
        self.1 = queues;
    }
}
