//! The channel: opening it, consuming, requesting queue depths, and handling its end.

use super::queues::QueueState;
use super::*;

impl Front {
    /// The socket is drained: if the broker may send more, its queues are empty.
    pub fn on_socket_drained(&mut self, now: Micros) {
        if self.phase != Phase::Ready
            || self.window.as_ref().is_some_and(|w| !w.is_open(self.acks.outstanding()))
        {
            return;
        }
        for (age, queue) in self.ages.iter_mut().zip(&self.queues) {
            if queue.from.prefetch.is_none_or(|prefetch| self.acks.outstanding() < usize::from(prefetch)) {
                age.on_idle(now);
            }
        }
    }

    /// Requests the depth of each consumed queue that has not been seen empty for [`DEPTH_REQUEST_INTERVAL`], at most once
    /// in this time, and sends the broker a new prefetch count if the window requires one.
    pub(super) fn check_queues(&mut self, now: Micros) {
        if self.phase != Phase::Ready || self.draining {
            return;
        }
        if now - self.depth_requested_at >= DEPTH_REQUEST_INTERVAL {
            self.depth_requested_at = now;
            for index in self.consumed().collect::<Vec<_>>() {
                if self.ages[index].needs_depth(now, DEPTH_REQUEST_INTERVAL) {
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

    /// Handles due timers: heartbeats, reopening the channel, consuming again, and missing confirms.
    pub fn tick(&mut self, now: Micros) {
        if let Some(client) = self.client.as_mut() {
            client.tick(now);
        }
        if matches!(self.phase, Phase::Waiting(at) if at <= now) {
            self.open_channel();
        }
        if self.endpoints_due().is_some_and(|deadline| deadline <= now) {
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
            // The state of each reply stays until the connection is lost: replies that flow control held back were
            // never sent.
            tracing::warn!("broker did not confirm replies in time; abandoning the connection");
            if let Some(client) = self.client.as_mut() {
                client.close(200, "no confirms in time");
            }
        }
        self.process_events(now);
    }

    /// Handles received bytes. `stopped_for` is how long this process may have been unable to read them, in
    /// microseconds.
    ///
    /// Messages sent during that time may arrive in several reads. The broker's answer to a depth request arrives
    /// after all of them.
    pub fn receive(&mut self, bytes: &[u8], now: Micros, stopped_for: Micros) {
        if stopped_for > 0 && self.phase == Phase::Ready {
            if !self.ages.iter().any(QueueAge::awaits_depth) {
                self.stopped_from = now - stopped_for;
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
        self.process_events(now);
        self.check_queues(now);
    }

    pub(super) fn process_events(&mut self, now: Micros) {
        while let Some(event) = self.client.as_mut().and_then(Client::event) {
            match event {
                ClientEvent::Open => self.open_channel(),
                ClientEvent::Method(_, method) => self.on_method(method, now),
                ClientEvent::Delivered(_, message) => self.on_delivery(*message, now),
                ClientEvent::Returned(_, message) => {
                    self.counters.unroutable += 1;
                    let correlation =
                        message.properties.correlation_id().as_ref().map(|c| c.as_str().to_string());
                    tracing::warn!(correlation, "reply queue does not exist; answer not delivered");
                }
                ClientEvent::Confirmed { seq, ok, .. } => self.on_confirm(seq, ok, now),
                ClientEvent::ChannelClosed { code, text, .. } => {
                    tracing::warn!(code, text, "channel closed by the broker");
                    self.counters.channels_lost += 1;
                    self.abandon_channel();
                    self.phase = Phase::Waiting(now + self.backoff.next_pause());
                }
                ClientEvent::Blocked(blocked) => {
                    tracing::warn!(blocked, "broker blocked or unblocked publishing")
                }
                ClientEvent::Closed { code, text } => {
                    tracing::info!(code, text, "connection to broker closed")
                }
                ClientEvent::Failed(fault) => tracing::warn!(%fault, "connection to broker failed"),
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

    pub(super) fn on_method(&mut self, method: AMQPClass, now: Micros) {
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
                // The broker does not count a consumer of this front that has not been confirmed yet.
                let starting = u64::from(index.is_none_or(|i| !self.consuming.contains(&i)));
                if let Some(age) = index.and_then(|i| self.ages.get_mut(i)) {
                    age.on_depth(u64::from(ok.message_count), u64::from(ok.consumer_count) + starting, now);
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
                // The queue was deleted; it may be declared again.
                tracing::warn!(consumer = cancel.consumer_tag.as_str(), "consumer cancelled by the broker");
                let index = self.queue_of(cancel.consumer_tag.as_str());
                if let Some(index) = index {
                    self.on_cancelled(index);
                    self.consuming.remove(&index);
                }
                let consumed = |i: &usize| self.queues[*i].state == QueueState::Consumed;
                if let Some(index) = index.filter(|i| !self.draining && consumed(i)) {
                    let pause = self.backoff.next_pause();
                    self.retry_at.insert(index, now + pause);
                }
            }
            _ => {}
        }
    }

    pub(super) fn consumer_tag(&self, index: usize) -> String {
        format!("{CONSUMER_TAG_PREFIX}{index}")
    }

    /// Returns the index of the queue whose consumer has this tag.
    pub(super) fn queue_of(&self, consumer_tag: &str) -> Option<usize> {
        consumer_tag
            .strip_prefix(CONSUMER_TAG_PREFIX)?
            .parse()
            .ok()
            .filter(|index| *index < self.queues.len())
    }

    /// Declares a queue, or only requests its depth if `passive` is set.
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
        let consume = stagehoist_amqp::consume(&from.queue, &self.consumer_tag(index));
        self.basic(basic::AMQPMethod::Consume(consume));
    }
}
