//! Replies, their confirms, and the acknowledgements that follow them.

use super::*;

impl Front {
    /// When the reply that waits longest for its confirm, or commit, was sent.
    pub(super) fn oldest_unconfirmed(&self) -> Option<Micros> {
        // Replies are published in turn, so that the lowest number is the oldest.
        let reply = self.replies.values().next().and_then(|t| self.deliveries.get(t)?.published);
        reply.map(|r| r.1).or(self.committing.front().map(|c| c.0))
    }

    /// When the broker has had its time to confirm; once, as a connection that is abandoned is closed.
    pub(super) fn confirm_due(&self) -> Option<Micros> {
        let open = self.client.as_ref().is_some_and(Client::is_open);
        let oldest = self.oldest_unconfirmed().filter(|_| open);
        oldest.map(|at| at + self.config.confirm_timeout)
    }

    /// Sends the acknowledgements that wait, and ends the open transaction, if it holds anything: what was put into it since
    /// the last call takes effect together.
    ///
    /// No transaction ends while replies are held back by the broker: a commit would overtake them and acknowledge without
    /// a reply.
    pub fn flush(&mut self, now: Micros) {
        let held_back = self.client.as_ref().is_some_and(|c| c.is_held_back(self.channel));
        if held_back && self.config.transactions {
            return;
        }
        for (delivery_tag, multiple) in self.acks.take() {
            self.counters.acks += 1;
            self.basic(basic::AMQPMethod::Ack(basic::Ack { delivery_tag, multiple }));
        }
        if std::mem::take(&mut self.open.1) {
            let tickets = std::mem::take(&mut self.open.0);
            self.committing.push_back((now, tickets));
            self.send(AMQPClass::Tx(tx::AMQPMethod::Commit(tx::Commit {})));
        }
    }

    /// A call has its final answer.
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
            // Its connection is lost: the broker delivers it again, here or elsewhere.
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
        if let Some(seq) = client.publish(self.channel, publish, &properties, &body) {
            self.counters.replies += 1;
            if self.config.transactions {
                // The acknowledgement takes effect with the reply or not at all, so that a message which comes again has
                // had no reply: there is no doubt to keep.
                let tag = delivery.tag;
                if let Some(key) = &delivery.key {
                    self.memory.on_reply_state(key, ReplyState::NotSent);
                }
                self.open.0.push(ticket);
                return self.ack(tag);
            }
            delivery.published = Some((seq, now));
            self.replies.insert(seq, ticket);
            if let Some(key) = &delivery.key {
                self.memory.on_reply_state(key, ReplyState::Doubtful);
            }
            return;
        }
        // The broker closed the channel or the connection in the same read that brought the delivery, or the word
        // that the last try was not taken: nothing left, and the message comes again.
        let delivery = self.deliveries.remove(&ticket);
        if let Some(key) = delivery.and_then(|d| d.key) {
            self.memory.on_reply_state(&key, ReplyState::NotSent);
        }
    }

    pub(super) fn take_confirm(&mut self, seq: u64, ok: bool, now: Micros) {
        let Some(ticket) = self.replies.remove(&seq) else { return };
        if !ok {
            let Some(delivery) = self.deliveries.get_mut(&ticket) else { return };
            delivery.nacks += 1;
            if delivery.nacks <= MAX_NACKS {
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
                "the broker can't take the reply; dead-lettered"
            );
            self.reject(delivery.tag);
        }
    }

    /// The channel is gone: what was on it comes again. Calls in progress go on.
    pub(super) fn leave_channel(&mut self) {
        let channel = self.channel;
        for ticket in std::mem::take(&mut self.replies).into_values() {
            let Some(delivery) = self.deliveries.remove(&ticket) else { continue };
            let (Some(key), Some((seq, _))) = (&delivery.key, delivery.published) else { continue };
            let unsent = self.client.as_ref().is_some_and(|c| c.surely_unsent(channel, seq));
            self.memory.on_reply_state(key, if unsent { ReplyState::NotSent } else { ReplyState::Doubtful });
        }
        // Tags mean nothing on another channel.
        self.acks = Acks::default();
        let open = std::mem::take(&mut self.open).0;
        for ticket in std::mem::take(&mut self.committing).into_iter().flat_map(|c| c.1).chain(open) {
            self.deliveries.remove(&ticket);
        }
        self.generation += 1;
        self.retry_at.clear();
        self.stopping.clear();
        self.is_open = false;
        self.consuming.clear();
    }
}
