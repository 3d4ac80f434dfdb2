//! Deliveries: what is read of one, whether it was delivered before, and whether it becomes a call.

use super::queues::QueueState;
use super::*;
use crate::amqp::message::CallRequest;
use bytes::Bytes;
use stagehoist_sharding::FunctionPlacement;

/// The reason of a call that came over the queue of a shard that is not its function's.
const OTHER_SHARD: &str = "other-shard";

impl Front {
    pub(super) fn reject(&mut self, tag: u64) {
        self.counters.rejected += 1;
        self.acks.remove(tag);
        self.open.1 |= self.config.transactions;
        self.basic(basic::AMQPMethod::Reject(basic::Reject { delivery_tag: tag, requeue: false }));
    }

    pub(super) fn ack(&mut self, tag: u64) {
        self.open.1 |= self.config.transactions;
        self.acks.acknowledge(tag);
    }

    pub(super) fn take_delivery(&mut self, message: Message, now: Micros) {
        let Message { method, properties, body, size } = message;
        let AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)) = method else { return };
        self.count_delivery(&deliver);
        let queue = self.queue_of(deliver.consumer_tag.as_str()).unwrap_or(0);
        if self.queues.get(queue).is_some_and(|q| q.hold == QueueState::Released) {
            return self.return_delivery(deliver.delivery_tag);
        }
        let waited = self.waited(queue, &properties, deliver.redelivered, now);
        self.counters.redelivered += u64::from(deliver.redelivered);
        let (reply_to, correlation) = (text(properties.reply_to()), text(properties.correlation_id()));
        let message_id = text(properties.message_id());
        if reply_to.is_empty() {
            let key = deliver.routing_key.as_str();
            let reason = "no-reply-to";
            tracing::warn!(correlation, message_id, key, reason, "rejected to the dead letters");
            return self.reject(deliver.delivery_tag);
        }
        let key = Key::new(&reply_to, &correlation, &message_id);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let delivery = Delivery {
            generation: self.generation,
            tag: deliver.delivery_tag,
            reply_to: reply_to.into(),
            correlation: correlation.into(),
            key: key.clone(),
            answer: None,
            published: None,
            nacks: 0,
            held: None,
            home: None,
        };
        let routing_key = deliver.routing_key.as_str();
        let request = self.reader.read(&properties, routing_key, size, waited);
        let function = request.as_ref().ok().map(|request| &*request.function);
        let configured = function.and_then(|name| FunctionProperties::configured(&self.config, name));
        let effect = self.effect(&request, configured, &properties, routing_key);
        let received = Received {
            queue,
            ticket,
            redelivered: deliver.redelivered,
            routing_key,
            properties,
            body,
            size,
            request,
            configured,
            effect,
        };
        // One that can't be accepted is remembered too: its rejection is not given twice.
        let verdict = self.memory.on_delivery(key.as_ref(), deliver.redelivered, effect, ticket, now);
        self.on_verdict(verdict, received, delivery, now);
    }

    fn count_delivery(&mut self, deliver: &basic::Deliver) {
        self.counters.delivered += 1;
        self.acks.delivered(deliver.delivery_tag);
        if let Some(window) = self.window.as_mut() {
            window.delivered();
        }
    }

    /// How long a message waited at the broker, as far as is known.
    fn waited(
        &mut self,
        queue: usize,
        properties: &BasicProperties,
        redelivered: bool,
        now: Micros,
    ) -> Micros {
        let stamp = stamp(properties);
        let waited = self.ages.get_mut(queue).map_or(0, |age| age.on_message(stamp, redelivered, now));
        if stamp.is_none() && self.ages.get(queue).is_some_and(QueueAge::awaits_depth) {
            return waited.max(now - self.blind_from);
        }
        waited
    }

    /// Whether the call may be repeated, by its function's class.
    fn effect(
        &self,
        request: &Result<CallRequest, Unusable>,
        configured: Option<(FunctionProperties, Micros)>,
        properties: &BasicProperties,
        routing_key: &str,
    ) -> Effect {
        let configured = match request {
            // It may have run in time where it was before: that it is too late now does not tell that it did not.
            Err(Unusable::TooLate) => Reader::function(properties, routing_key)
                .ok()
                .and_then(|name| FunctionProperties::configured(&self.config, &name)),
            _ => configured,
        };
        let class = configured.map(|(function, _)| usize::from(function.class));
        class.map_or(Effect::Idempotent, |class| self.config.classes[class].effect)
    }

    fn on_verdict(
        &mut self,
        verdict: Verdict<Answer>,
        received: Received<'_>,
        delivery: Delivery,
        now: Micros,
    ) {
        let ticket = received.ticket;
        match verdict {
            Verdict::Join(in_progress) => {
                self.counters.joined += 1;
                if let Some(old) = self.deliveries.get_mut(&in_progress) {
                    old.generation = self.generation;
                    old.tag = delivery.tag;
                }
            }
            Verdict::Resend(answer) => {
                self.counters.from_memory += 1;
                let is_elsewhere = answer.reason() == OTHER_SHARD;
                let home = is_elsewhere.then(|| self.home_of(&received)).flatten();
                self.deliveries.insert(ticket, Delivery { answer: Some(answer), home, ..delivery });
                self.publish(ticket, now);
            }
            Verdict::Settle { doubtful } => {
                self.counters.withheld += u64::from(doubtful);
                let correlation = &*delivery.correlation;
                tracing::info!(correlation, doubtful, "delivered again after its reply left");
                self.ack(delivery.tag);
            }
            Verdict::Fail => {
                self.counters.failed_unknown += 1;
                if let Some(key) = &delivery.key {
                    self.memory.on_failing(key, ticket, now);
                }
                self.deliveries.insert(ticket, delivery);
                self.answer(ticket, Answer::Failed { reason: "delivered-before" }, now);
            }
            Verdict::Run => self.accept(received, delivery, false, now),
            Verdict::Inquire => self.accept(received, delivery, true, now),
        }
    }

    /// Makes a call of a delivery, or answers why not. `may_have_run`: others are to be asked whether it ran; what its
    /// caller has to know is then that it may have.
    fn accept(&mut self, received: Received<'_>, delivery: Delivery, may_have_run: bool, now: Micros) {
        let ticket = received.ticket;
        let (correlation, key) = (delivery.correlation.clone(), delivery.key.clone());
        self.deliveries.insert(ticket, delivery);
        match self.rejection(&received, &correlation, may_have_run) {
            Some(_) if may_have_run => return self.fail_unknown(ticket, now),
            Some(answer) => return self.answer(ticket, answer, now),
            None => {}
        }
        let Ok(request) = received.request else { return };
        match self.intake.admit((received.queue as u32, request.tenant), received.size) {
            Ok(held) => {
                self.deliveries.entry(ticket).and_modify(|delivery| delivery.held = Some(held));
            }
            Err(_) if may_have_run => return self.fail_unknown(ticket, now),
            Err(refusal) => {
                self.counters.rejected_at_intake += 1;
                let retry_after = self.advice.retry_after(self.intake.calls());
                return self.answer(ticket, Answer::Refused { reason: refusal.reason(), retry_after }, now);
            }
        }
        let content_type = received.properties.content_type().as_ref().map(|c| c.as_str().to_string());
        let configured = received.configured;
        let arrival = Arrival {
            ticket,
            function: request.function,
            properties: configured.map(|(function, _)| function),
            tenant: request.tenant,
            budget: configured.map_or(request.budget, |(_, give_up)| request.budget.min(give_up)),
            // The driver may come to it later, after a stop above all; its time runs from here.
            read_at: now,
            is_repeat: received.redelivered,
            // Whoever may publish to the queue is a caller.
            client_verified: true,
            body: received.body,
            content_type,
            correlation,
            generation: request.generation,
            identity: self.inquiries.as_ref().and_then(|_| Some(key.as_ref()?.identity())),
        };
        if may_have_run {
            self.inquire(arrival, now);
        } else {
            self.arrivals.push(arrival);
        }
    }

    /// Why a delivery can't become a call; `None` where it can. Counted and logged where its caller is to know.
    fn rejection(
        &mut self,
        received: &Received<'_>,
        correlation: &str,
        may_have_run: bool,
    ) -> Option<Answer> {
        let request = match &received.request {
            Ok(request) => request,
            Err(unusable) => {
                let reason = unusable.reason();
                if !may_have_run {
                    self.counters.answered_unusable += 1;
                    tracing::info!(correlation, reason, wrong = %unusable, "not taken");
                }
                return Some(Answer::Refused { reason, retry_after: 0 });
            }
        };
        if !may_have_run && received.effect != Effect::Idempotent && self.is_unknown() {
            let retry_after = self.config.retry_after_most;
            return Some(Answer::Refused { reason: "marks-not-ready", retry_after });
        }
        let place = self.places.as_ref().map(|places| places.over(received.queue, &request.function));
        if !matches!(place, Some(FunctionPlacement::Elsewhere(_))) {
            self.counters.leaving_shard += u64::from(place == Some(FunctionPlacement::Leaving));
            return None;
        }
        if !may_have_run {
            self.counters.other_shard += 1;
            let home = self.home_of(received);
            self.deliveries.entry(received.ticket).and_modify(|delivery| delivery.home = home);
            tracing::info!(correlation, ?home, reason = OTHER_SHARD, "not taken");
        }
        Some(Answer::Refused { reason: OTHER_SHARD, retry_after: 0 })
    }

    /// Generation and shard that a message should have been sent to.
    fn home_of(&self, received: &Received<'_>) -> Option<(u32, Shard)> {
        let function = Reader::function(&received.properties, received.routing_key).ok()?;
        // Calls of a function that is spread over shards are sent to each of them in turn.
        self.places.as_ref()?.home(received.queue, &function, received.ticket)
    }
}

/// A delivery as far as it was read.
struct Received<'a> {
    /// Index of its queue.
    queue: usize,
    ticket: Ticket,
    redelivered: bool,
    routing_key: &'a str,
    properties: BasicProperties,
    body: Bytes,
    /// Size of the body, also where that was left out.
    size: u64,
    request: Result<CallRequest, Unusable>,
    /// What is configured of its function, with its class's time until callers time out.
    configured: Option<(FunctionProperties, Micros)>,
    effect: Effect,
}

fn text(value: &Option<stagehoist_amqp::ShortString>) -> String {
    value.as_ref().map_or(String::new(), |value| value.as_str().to_string())
}
