//! What a front end has to do with a function that is asked for over one of its queues, without I/O.

use super::{homes, owned, queue, OwnedShards};
use stagehoist_config::{Config, Consume};
use stagehoist_sharding::{place, Division, FunctionPlacement, HomeShards, Key, Shard};

/// Of a queue: the place of its division among those served, and whether calls over it are ones that leave.
pub type Arrives = (usize, bool);

/// The homes and own shards of the divisions served, the newest last; what each queue is; and the divisions' generations.
pub struct Places(Vec<(HomeShards, Vec<Shard>)>, Vec<Arrives>, Vec<u32>);

impl Places {
    /// The placement of functions; `None` where the fleet isn't divided.
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
        let arrives = |c: &Consume| at(c).map_or((newest, false), |at| (at, at < newest));
        let queues = config.consume.iter().map(arrives).collect();
        Some(Places(sharding.divisions.served().filter_map(of).collect(), queues, generations))
    }

    /// What the front end has to do with a function that was asked for over one of its queues, by that queue's place in the
    /// configuration: over a queue of the older division every call is one that leaves.
    pub fn over(&self, queue: usize, function: &str) -> FunctionPlacement {
        match self.of(function) {
            FunctionPlacement::Owned if self.1.get(queue).is_some_and(|arrives| arrives.1) => {
                FunctionPlacement::Leaving
            }
            place => place,
        }
    }

    /// Generation and shard that a call should have been sent to, by the division over whose queue it came: its
    /// caller sends by that one. In a change the other may not be served by all yet, or any more.
    pub fn home(&self, queue: usize, function: &str, call: u64) -> Option<(u32, Shard)> {
        let newest = self.0.len().checked_sub(1)?;
        let at = self.1.get(queue).map_or(newest, |arrives| arrives.0);
        Some((*self.2.get(at)?, self.0.get(at)?.0.for_call(Key::of(function), call)))
    }

    /// Where a function belongs, over all queues.
    pub fn of(&self, function: &str) -> FunctionPlacement {
        place(self.0.iter().map(|(homes, own)| (homes, &own[..])), Key::of(function), 0)
    }

    /// Own shards changed; `queues` tells what each queue is, by its place.
    pub fn set_served(&mut self, owned: &[OwnedShards], queues: Vec<Arrives>) {
        for ((_, own), told) in self.0.iter_mut().zip(owned) {
            *own = told.served();
        }
        self.1 = queues;
    }
}
