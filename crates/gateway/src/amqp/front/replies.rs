//! Replies, their confirms, and the acknowledgements that follow them.

use super::*;

impl Front {
    /// Returns when the oldest reply without a confirm, or the oldest transaction without a commit, was sent.
    pub(super) fn oldest_unconfirmed(&self) -> Option<Micros> {
        // Sequence numbers ascend, so the lowest number is the oldest reply.
        let reply = self.replies.values().next().and_then(|t| self.deliveries.get(t)?.published);
        reply.map(|r| r.1).or(self.committing.front().map(|c| c.0))
    }

    /// Returns the deadline for the broker's oldest missing confirm. `None` unless the connection is open, so that a
    /// connection is abandoned only once.
    pub(super) fn confirm_due(&self) -> Option<Micros> {
        let is_open = self.client.as_ref().is_some_and(Client::is_open);
        let oldest = self.oldest_unconfirmed().filter(|_| is_open);
        oldest.map(|at| at + self.config.confirm_timeout)
    }

    /// Sends pending acknowledgements and commits the open transaction if it contains anything, so that everything
    /// added since the last call takes effect together.
    ///
    /// No transaction is committed while the broker holds replies back by flow control: the commit would overtake the
    /// replies and acknowledge messages without a reply.
    pub fn flush(&mut self, now: Micros) {
        let held_back = self.client.as_ref().is_some_and(|c| c.is_held_back(self.channel));
        if held_back && self.config.transactions {
            return;
        }
        for (delivery_tag, multiple) in self.acks.take() {
            self.counters.acks += 1;
            self.basic(basic::AMQPMethod::Ack(basic::Ack { delivery_tag, multiple }));
        }
        if std::mem::take(&mut self.transaction.1) {
            let tickets = std::mem::take(&mut self.transaction.0);
            self.committing.push_back((now, tickets));
            self.send(AMQPClass::Tx(tx::AMQPMethod::Commit(tx::Commit {})));
        }
    }

    /// Handles the final answer of a call.
    pub fn answer(&mut self, ticket: Ticket, answer: Answer, now: Micros) {
        let Some(delivery) = self.deliveries.get_mut(&ticket) else { return };
        if let Some(held) = delivery.held.take() {
            self.intake.release(held);
            self.advice.on_departure(now);
        }
        if let Some(key) = &delivery.key {
            self.memory.on_answer(key, ticket, answer.clone(), ReplyState::NotSent);
        }
        if delivery.generation != self.generation || self.client.as_ref().is_none_or(|c| !c.is_open()) {
            // Its connection is lost; the broker redelivers the message to this front end or another one.
            self.deliveries.remove(&ticket);
            return;
        }
        delivery.answer = Some(answer);
        self.publish(ticket, now);
    }

    pub(super) fn publish(&mut self, ticket: Ticket, now: Micros) {
        let Some(delivery) = self.deliveries.get_mut(&ticket) else { return };
        let (Some(answer), Some(client)) = (&delivery.answer, self.client.as_mut()) else { return };
        let (mut properties, body) = reply(answer, &delivery.correlation);
        if let Some(home) = delivery.home {
            properties = with_home(properties, home);
        }
        let publish = basic::Publish {
            exchange: short(""),
            routing_key: short(&delivery.reply_to),
            mandatory: true,
            immediate: false,
        };
        if let Some(sequence) = client.publish(self.channel, publish, &properties, &body) {
            self.counters.replies += 1;
            if self.config.transactions {
                // The reply and the acknowledgement take effect together or not at all. A redelivered message has
                // therefore had no reply, and its reply state is never doubtful.
                let tag = delivery.tag;
                if let Some(key) = &delivery.key {
                    self.memory.on_reply_state(key, ReplyState::NotSent);
                }
                self.transaction.0.push(ticket);
                return self.ack(tag);
            }
            delivery.published = Some((sequence, now));
            self.replies.insert(sequence, ticket);
            if let Some(key) = &delivery.key {
                self.memory.on_reply_state(key, ReplyState::Doubtful);
            }
            return;
        }
        // The broker closed the channel or the connection in the same read that contained the delivery or the
        // `basic.nack` of the last attempt. Nothing was sent, and the message will be redelivered.
        let delivery = self.deliveries.remove(&ticket);
        if let Some(key) = delivery.and_then(|d| d.key) {
            self.memory.on_reply_state(&key, ReplyState::NotSent);
        }
    }

    pub(super) fn on_confirm(&mut self, sequence: u64, ok: bool, now: Micros) {
        let Some(ticket) = self.replies.remove(&sequence) else { return };
        if !ok {
            let Some(delivery) = self.deliveries.get_mut(&ticket) else { return };
            delivery.nacks += 1;
            if delivery.nacks <= MAX_NACKS_PER_REPLY {
                return self.publish(ticket, now);
            }
        }
        let Some(delivery) = self.deliveries.remove(&ticket) else { return };
        if ok {
            self.counters.confirmed += 1;
            if let Some(key) = &delivery.key {
                self.memory.on_reply_state(key, ReplyState::Confirmed);
            }
            self.ack(delivery.tag);
        } else {
            tracing::warn!(
                correlation = &*delivery.correlation,
                "broker rejected the reply; message dead-lettered"
            );
            self.reject(delivery.tag);
        }
    }

    /// The channel is closed: its unacknowledged messages will be redelivered. Calls in progress continue.
    pub(super) fn abandon_channel(&mut self) {
        let channel = self.channel;
        for ticket in std::mem::take(&mut self.replies).into_values() {
            let Some(delivery) = self.deliveries.remove(&ticket) else { continue };
            let (Some(key), Some((sequence, _))) = (&delivery.key, delivery.published) else { continue };
            let is_unsent = self.client.as_ref().is_some_and(|c| c.is_certainly_unsent(channel, sequence));
            self.memory
                .on_reply_state(key, if is_unsent { ReplyState::NotSent } else { ReplyState::Doubtful });
        }
        // Delivery tags are not valid on another channel.
        self.acks = Acks::default();
        let uncommitted = std::mem::take(&mut self.transaction).0;
        for ticket in std::mem::take(&mut self.committing).into_iter().flat_map(|c| c.1).chain(uncommitted) {
            self.deliveries.remove(&ticket);
        }
        self.generation += 1;
        self.retry_at.clear();
        self.cancelling.clear();
        self.is_open = false;
        self.consuming.clear();
    }
}
