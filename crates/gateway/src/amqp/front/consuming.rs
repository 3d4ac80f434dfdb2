//! The channel: opened, consuming, asked about its queues, and left.

use super::queues::QueueState;
use super::*;

impl Front {
    /// The socket holds nothing more: where the broker may send, its queues are empty.
    pub fn on_socket_drained(&mut self, now: Micros) {
        if self.phase != Phase::Ready
            || self.window.as_ref().is_some_and(|w| !w.is_open(self.acks.outstanding()))
        {
            return;
        }
        for (age, queue) in self.ages.iter_mut().zip(&self.queues) {
            if queue.from.prefetch.is_none_or(|most| self.acks.outstanding() < usize::from(most)) {
                age.on_idle(now);
            }
        }
    }

    /// Asks for the depth of queues that were not seen empty for a while, and for a window that stands open.
    pub(super) fn check_queues(&mut self, now: Micros) {
        if self.phase != Phase::Ready || self.draining {
            return;
        }
        if now - self.depth_requested_at >= CHECK_INTERVAL {
            self.depth_requested_at = now;
            for index in self.consumed().collect::<Vec<_>>() {
                if self.ages[index].needs_depth(now, CHECK_INTERVAL) {
                    self.declare(index, true, false);
                }
            }
        }
        if let Some(count) = self.window.as_mut().and_then(|w| w.next_request(self.acks.outstanding(), now)) {
            self.counters.windows += 1;
            self.qos(count, true);
        }
    }

    pub(super) fn qos(&mut self, prefetch_count: u16, global: bool) {
        self.basic(basic::AMQPMethod::Qos(basic::Qos { prefetch_count, global }));
    }

    /// Time passes: heartbeats, channels opened again, confirms that don't come.
    pub fn tick(&mut self, now: Micros) {
        if let Some(client) = self.client.as_mut() {
            client.tick(now);
        }
        if matches!(self.phase, Phase::Waiting(at) if at <= now) {
            self.open_channel();
        }
        if self.endpoints_due().is_some_and(|by| by <= now) {
            self.consume_without_endpoints(now);
        }
        let due: Vec<usize> = self.retry_at.iter().filter(|(_, at)| **at <= now).map(|(i, _)| *i).collect();
        for index in due {
            self.retry_at.remove(&index);
            self.consume(index, now);
        }
        self.check_queues(now);
        self.expire_inquiries(now);
        if self.confirm_due().is_some_and(|at| now >= at) {
            // What is known of each reply stays until the connection is lost: those held back never left.
            tracing::warn!("the broker confirms no replies; connection abandoned");
            if let Some(client) = self.client.as_mut() {
                client.close(200, "no confirms in time");
            }
        }
        self.events(now);
    }

    /// Bytes came. `blind` is how long this process may have been unable to read them, in microseconds.
    ///
    /// What it was sent meanwhile may come in many parts. The answer to a question about a queue comes after all of them.
    pub fn receive(&mut self, bytes: &[u8], now: Micros, blind: Micros) {
        if blind > 0 && self.phase == Phase::Ready {
            if !self.ages.iter().any(QueueAge::awaits_depth) {
                self.blind_from = now - blind;
            }
            self.depth_requested_at = now;
            for index in self.consumed().collect::<Vec<_>>() {
                self.ages[index].on_suspended();
                self.declare(index, true, false);
            }
        }
        if let Some(client) = self.client.as_mut() {
            client.receive(bytes, now);
        }
        self.events(now);
        self.check_queues(now);
    }

    pub(super) fn events(&mut self, now: Micros) {
        while let Some(event) = self.client.as_mut().and_then(Client::event) {
            match event {
                ClientEvent::Open => self.open_channel(),
                ClientEvent::Method(_, method) => self.take_method(method, now),
                ClientEvent::Delivered(_, message) => self.take_delivery(*message, now),
                ClientEvent::Returned(_, message) => {
                    self.counters.unroutable += 1;
                    let correlation =
                        message.properties.correlation_id().as_ref().map(|c| c.as_str().to_string());
                    tracing::warn!(correlation, "reply queue is gone; the answer can't be delivered");
                }
                ClientEvent::Confirmed { seq, ok, .. } => self.take_confirm(seq, ok, now),
                ClientEvent::ChannelClosed { code, text, .. } => {
                    tracing::warn!(code, text, "channel closed by the broker");
                    self.counters.channels_lost += 1;
                    self.leave_channel();
                    self.phase = Phase::Waiting(now + self.backoff.next_pause());
                }
                ClientEvent::Blocked(blocked) => tracing::warn!(blocked, "broker takes no replies for now"),
                ClientEvent::Closed { code, text } => tracing::info!(code, text, "connection closed"),
                ClientEvent::Failed(fault) => tracing::warn!(%fault, "connection failed"),
            }
        }
    }

    pub(super) fn open_channel(&mut self) {
        if let Some(number) = self.client.as_mut().and_then(Client::open_channel) {
            self.channel = number;
            self.generation += 1;
            self.phase = Phase::Setup;
        }
    }

    pub(super) fn send(&mut self, method: AMQPClass) {
        let channel = self.channel;
        if let Some(client) = self.client.as_mut() {
            client.send(channel, method);
        }
    }

    pub(super) fn basic(&mut self, method: basic::AMQPMethod) {
        self.send(AMQPClass::Basic(method));
    }

    pub(super) fn take_method(&mut self, method: AMQPClass, now: Micros) {
        match method {
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(_)) => {
                if self.config.transactions {
                    self.send(AMQPClass::Tx(tx::AMQPMethod::Select(tx::Select {})));
                } else {
                    let select = confirm::Select { nowait: false };
                    self.send(AMQPClass::Confirm(confirm::AMQPMethod::Select(select)));
                }
                self.ages.iter_mut().for_each(QueueAge::on_reconnect);
                self.on_channel_open(now);
            }
            AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(ok)) => {
                let index = self.queue_of(ok.consumer_tag.as_str());
                self.consuming.extend(index);
                self.update_ready();
            }
            AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)) => {
                let index = self.queues.iter().position(|q| q.from.queue == ok.queue.as_str());
                // Before its consumer stands, this one is not among those told.
                let own = u64::from(index.is_none_or(|i| !self.consuming.contains(&i)));
                if let Some(age) = index.and_then(|i| self.ages.get_mut(i)) {
                    age.on_depth(u64::from(ok.message_count), u64::from(ok.consumer_count) + own, now);
                }
            }
            AMQPClass::Tx(tx::AMQPMethod::CommitOk(_)) => {
                for ticket in self.committing.pop_front().map(|c| c.1).unwrap_or_default() {
                    let Some(delivery) = self.deliveries.remove(&ticket) else { continue };
                    self.counters.confirmed += 1;
                    if let Some(key) = &delivery.key {
                        self.memory.on_reply_state(key, ReplyState::Confirmed);
                    }
                }
            }
            AMQPClass::Basic(basic::AMQPMethod::CancelOk(ok)) => {
                if let Some(index) = self.queue_of(ok.consumer_tag.as_str()) {
                    self.on_cancelled(index);
                }
            }
            AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel)) => {
                // The queue went away under us; it may be declared again.
                tracing::warn!(consumer = cancel.consumer_tag.as_str(), "consumer cancelled by the broker");
                let index = self.queue_of(cancel.consumer_tag.as_str());
                if let Some(index) = index {
                    self.on_cancelled(index);
                    self.consuming.remove(&index);
                }
                let consumed = |i: &usize| self.queues[*i].hold == QueueState::Consumed;
                if let Some(index) = index.filter(|i| !self.draining && consumed(i)) {
                    let pause = self.backoff.next_pause();
                    self.retry_at.insert(index, now + pause);
                }
            }
            _ => {}
        }
    }

    pub(super) fn tag(&self, index: usize) -> String {
        format!("{TAG}{index}")
    }

    /// The place of the queue whose consumer has this tag.
    pub(super) fn queue_of(&self, tag: &str) -> Option<usize> {
        tag.strip_prefix(TAG)?.parse().ok().filter(|index| *index < self.queues.len())
    }

    /// Declares a queue, or only asks for its depth.
    pub(super) fn declare(&mut self, index: usize, passive: bool, durable: bool) {
        let declare =
            queue::Declare { passive, durable, ..stagehoist_amqp::declare(&self.queues[index].from.queue) };
        self.send(AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
    }

    pub(super) fn consume(&mut self, index: usize, now: Micros) {
        let Some(from) = self.queues.get(index).map(|q| q.from.clone()) else { return };
        self.depth_requested_at = now;
        self.declare(index, from.declare.is_none(), from.declare.unwrap_or(false));
        self.qos(from.prefetch.unwrap_or(0), false);
        let consume = stagehoist_amqp::consume(&from.queue, &self.tag(index));
        self.basic(basic::AMQPMethod::Consume(consume));
    }
}
