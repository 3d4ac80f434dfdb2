//! The queues of a front. If its owned shards follow a list of front ends, queues are added and cancelled on the open
//! channel. Each queue keeps its index, so that late deliveries of a cancelled consumer are attributed to it by their
//! consumer tag; the number of queues is bounded by the number of shards in the divisions.

use super::*;
use crate::shards::{queue, OwnedShards, QueueOrigin};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueState {
    Consumed,
    /// Its consumer is cancelled; deliveries that were already on their way are accepted.
    Retained,
    /// Its workers are no longer known here; late deliveries are returned to the queue.
    Released,
}

#[derive(Clone, Debug)]
pub(super) struct Queue {
    pub from: Consume,
    pub state: QueueState,
    /// Index of its division among the divisions served.
    pub division: usize,
}

/// Returns the initial queues: the configured ones, or none if they follow a list of front ends.
pub(super) fn at_start(config: &Config) -> Vec<Queue> {
    if config.front_ends_list.is_some() {
        return Vec::new();
    }
    let queue = |from: &Consume| Queue { from: from.clone(), state: QueueState::Consumed, division: 0 };
    config.consume.iter().map(queue).collect()
}

impl Front {
    /// Returns the indexes of queues that are consumed or are to be consumed.
    pub(super) fn consumed(&self) -> impl Iterator<Item = usize> + '_ {
        let consumed = |q: &(usize, &Queue)| q.1.state == QueueState::Consumed;
        self.queues.iter().enumerate().filter(consumed).map(|q| q.0)
    }

    /// The owned shards changed: consumes added queues and cancels removed ones.
    pub fn serve_shards(&mut self, owned: &[OwnedShards], now: Micros) {
        // By queue name: its state, the division and whether its calls are leaving, and its settings.
        let mut held: BTreeMap<String, (QueueState, QueueOrigin, Consume)> = BTreeMap::new();
        for (index, division) in owned.iter().enumerate() {
            let is_older = index + 1 < owned.len();
            let current = division.current.iter().map(|s| (s, QueueState::Consumed, is_older));
            let leaving = division.leaving.iter().map(|s| (s, QueueState::Consumed, true));
            let retained = division.retained.iter().map(|s| (s, QueueState::Retained, true));
            for (shard, state, is_leaving) in current.chain(leaving).chain(retained) {
                for from in &self.config.consume {
                    let name = queue(&from.queue, division.generation, *shard);
                    held.insert(
                        name.clone(),
                        (state, (index, is_leaving), Consume { queue: name, ..from.clone() }),
                    );
                }
            }
        }
        let mut arrivals = Vec::new();
        for index in 0..self.queues.len() {
            let wanted = held.remove(&self.queues[index].from.queue);
            let division = self.queues[index].division;
            let (state, arrival) = wanted.map_or((QueueState::Released, (division, true)), |h| (h.0, h.1));
            arrivals.push(arrival);
            self.set_queue_state(index, state, now);
        }
        for (state, arrival, from) in held.into_values() {
            self.queues.push(Queue { from, state: QueueState::Released, division: arrival.0 });
            self.ages.push(QueueAge::default());
            arrivals.push(arrival);
            self.set_queue_state(self.queues.len() - 1, state, now);
        }
        if let Some(places) = self.places.as_mut() {
            places.set_served(owned, arrivals);
        }
        self.update_ready();
    }

    fn set_queue_state(&mut self, index: usize, state: QueueState, now: Micros) {
        let previous = std::mem::replace(&mut self.queues[index].state, state);
        let (was_consumed, is_consumed) = (previous == QueueState::Consumed, state == QueueState::Consumed);
        if was_consumed == is_consumed || !self.is_open || self.draining {
            return;
        }
        if is_consumed {
            self.ages[index].on_reconnect();
            return self.consume(index, now);
        }
        // A queue that waits for a retry after a cancellation by the broker has no consumer to cancel.
        if self.retry_at.remove(&index).is_none() {
            self.cancel(index);
        }
    }

    pub(super) fn cancel(&mut self, index: usize) {
        let cancel = basic::Cancel { consumer_tag: short(&self.consumer_tag(index)), nowait: false };
        self.basic(basic::AMQPMethod::Cancel(cancel));
        self.consuming.remove(&index);
        self.cancelling.push(index);
    }

    /// The consumer of a queue has ended: the broker cancelled it, or confirmed its cancellation.
    pub(super) fn on_cancelled(&mut self, index: usize) {
        if let Some(position) = self.cancelling.iter().position(|i| *i == index) {
            self.cancelling.swap_remove(position);
        }
    }

    /// Sets the phase to ready once the broker has confirmed all consumers.
    pub(super) fn update_ready(&mut self) {
        if self.phase == Phase::Setup
            && self.consumed().next().is_some()
            && self.consumed().all(|i| self.consuming.contains(&i))
        {
            self.phase = Phase::Ready;
            self.backoff.reset();
            tracing::info!("consuming from all queues");
        }
    }

    /// Returns a message to its queue without processing it; another front end's consumer receives it.
    pub(super) fn return_delivery(&mut self, tag: u64) {
        self.counters.requeued += 1;
        self.acks.remove(tag);
        self.transaction.1 |= self.config.transactions;
        self.basic(basic::AMQPMethod::Reject(basic::Reject { delivery_tag: tag, requeue: true }));
    }
}
