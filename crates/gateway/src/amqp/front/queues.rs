//! The queues of a front. Where own shards follow a list of front ends they come and go on the running channel. Each keeps its
//! place, so that what comes late over a cancelled consumer is known by its tag; there are no more than divisions have shards.

use super::*;
use crate::shards::{queue, Arrives, OwnedShards};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueState {
    Consumed,
    /// Its consumer is cancelled; what was on its way is taken.
    Retained,
    /// What comes over it still is given back: its workers aren't known here any more.
    Released,
}

#[derive(Clone, Debug)]
pub(super) struct Queue {
    pub from: Consume,
    pub hold: QueueState,
    /// The place of its division among those served.
    pub division: usize,
}

/// Queues at the start: as they are told, or none before the first list of front ends.
pub(super) fn at_start(config: &Config) -> Vec<Queue> {
    if config.front_ends_list.is_some() {
        return Vec::new();
    }
    let queue = |from: &Consume| Queue { from: from.clone(), hold: QueueState::Consumed, division: 0 };
    config.consume.iter().map(queue).collect()
}

impl Front {
    /// Places of queues that are consumed, or are to be.
    pub(super) fn consumed(&self) -> impl Iterator<Item = usize> + '_ {
        let consumed = |q: &(usize, &Queue)| q.1.hold == QueueState::Consumed;
        self.queues.iter().enumerate().filter(consumed).map(|q| q.0)
    }

    /// Own shards changed: queues are consumed anew, or cancelled.
    pub fn serve_shards(&mut self, owned: &[OwnedShards], now: Micros) {
        // By queue: how it is held, its division, and whether its calls are ones that leave.
        let mut held: BTreeMap<String, (QueueState, Arrives, Consume)> = BTreeMap::new();
        for (at, division) in owned.iter().enumerate() {
            let old = at + 1 < owned.len();
            let own = division.current.iter().map(|s| (s, QueueState::Consumed, old));
            let leaving = division.leaving.iter().map(|s| (s, QueueState::Consumed, true));
            let kept = division.retained.iter().map(|s| (s, QueueState::Retained, true));
            for (shard, hold, left) in own.chain(leaving).chain(kept) {
                for from in &self.config.consume {
                    let name = queue(&from.queue, division.generation, *shard);
                    held.insert(name.clone(), (hold, (at, left), Consume { queue: name, ..from.clone() }));
                }
            }
        }
        let mut arrives = Vec::new();
        for index in 0..self.queues.len() {
            let found = held.remove(&self.queues[index].from.queue);
            let division = self.queues[index].division;
            let (hold, told) = found.map_or((QueueState::Released, (division, true)), |h| (h.0, h.1));
            arrives.push(told);
            self.set_queue_state(index, hold, now);
        }
        for (hold, told, from) in held.into_values() {
            self.queues.push(Queue { from, hold: QueueState::Released, division: told.0 });
            self.ages.push(QueueAge::default());
            arrives.push(told);
            self.set_queue_state(self.queues.len() - 1, hold, now);
        }
        if let Some(places) = self.places.as_mut() {
            places.set_served(owned, arrives);
        }
        self.update_ready();
    }

    fn set_queue_state(&mut self, index: usize, hold: QueueState, now: Micros) {
        let before = std::mem::replace(&mut self.queues[index].hold, hold);
        let (was, is) = (before == QueueState::Consumed, hold == QueueState::Consumed);
        if was == is || !self.is_open || self.draining {
            return;
        }
        if is {
            self.ages[index].on_reconnect();
            return self.consume(index, now);
        }
        // One that the broker cancelled has no consumer to cancel.
        if self.retry_at.remove(&index).is_none() {
            self.cancel(index);
        }
    }

    pub(super) fn cancel(&mut self, index: usize) {
        let cancel = basic::Cancel { consumer_tag: short(&self.tag(index)), nowait: false };
        self.basic(basic::AMQPMethod::Cancel(cancel));
        self.consuming.remove(&index);
        self.stopping.push(index);
    }

    /// The consumer of a queue is gone, by a word of the broker or an answer to one.
    pub(super) fn on_cancelled(&mut self, index: usize) {
        if let Some(at) = self.stopping.iter().position(|i| *i == index) {
            self.stopping.swap_remove(at);
        }
    }

    /// All consumers stand: messages come.
    pub(super) fn update_ready(&mut self) {
        if self.phase == Phase::Setup
            && self.consumed().next().is_some()
            && self.consumed().all(|i| self.consuming.contains(&i))
        {
            self.phase = Phase::Ready;
            self.backoff.reset();
            tracing::info!("consuming");
        }
    }

    /// Gives a message back to its queue, untaken: another front end's consumer gets it.
    pub(super) fn return_delivery(&mut self, tag: u64) {
        self.counters.given_back += 1;
        self.acks.remove(tag);
        self.open.1 |= self.config.transactions;
        self.basic(basic::AMQPMethod::Reject(basic::Reject { delivery_tag: tag, requeue: true }));
    }
}
