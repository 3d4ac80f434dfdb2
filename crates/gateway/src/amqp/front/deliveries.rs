//! Handles deliveries: parses them, detects redelivered messages, and decides which become calls.

use super::queues::QueueState;
use super::*;
use crate::amqp::message::CallRequest;
use bytes::Bytes;
use stagehoist_sharding::FunctionPlacement;

/// Reason of the refusal of a call that arrived on the queue of a shard to which its function does not belong.
const OTHER_SHARD: &str = "other-shard";

impl Front {
    pub(super) fn reject(&mut self, tag: u64) {
        self.counters.rejected += 1;
        self.acks.remove(tag);
        self.transaction.1 |= self.config.transactions;
        self.basic(basic::AMQPMethod::Reject(basic::Reject { delivery_tag: tag, requeue: false }));
    }

    pub(super) fn ack(&mut self, tag: u64) {
        self.transaction.1 |= self.config.transactions;
        self.acks.acknowledge(tag);
    }

    pub(super) fn on_delivery(&mut self, message: Message, now: Micros) {
        let Message { method, properties, body, size } = message;
        let AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)) = method else { return };
        self.count_delivery(&deliver);
        let queue = self.queue_of(deliver.consumer_tag.as_str()).unwrap_or(0);
        if self.queues.get(queue).is_some_and(|q| q.state == QueueState::Released) {
            return self.return_delivery(deliver.delivery_tag);
        }
        let waited = self.waited(queue, &properties, deliver.redelivered, now);
        self.counters.redelivered += u64::from(deliver.redelivered);
        let (reply_to, correlation) = (text(properties.reply_to()), text(properties.correlation_id()));
        let message_id = text(properties.message_id());
        if reply_to.is_empty() {
            let key = deliver.routing_key.as_str();
            let reason = "no-reply-to";
            tracing::warn!(correlation, message_id, key, reason, "message rejected and dead-lettered");
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
        // A delivery that can't be accepted is recorded too, so that a redelivery does not get a second refusal.
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

    /// Returns how long a message waited at the broker, as far as it is known.
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
            return waited.max(now - self.stopped_from);
        }
        waited
    }

    /// Returns whether the call is idempotent, by its function's class.
    fn effect(
        &self,
        request: &Result<CallRequest, InvalidMessage>,
        configured: Option<(FunctionProperties, Micros)>,
        properties: &BasicProperties,
        routing_key: &str,
    ) -> Effect {
        let configured = match request {
            // An earlier recipient may have run the call in time. The message is too late now, but this does not
            // prove that the call has not run.
            Err(InvalidMessage::TooLate) => Reader::function(properties, routing_key)
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
                let is_other_shard = answer.reason() == OTHER_SHARD;
                let home = is_other_shard.then(|| self.home_of(&received)).flatten();
                self.deliveries.insert(ticket, Delivery { answer: Some(answer), home, ..delivery });
                self.publish(ticket, now);
            }
            Verdict::Settle { doubtful } => {
                self.counters.withheld += u64::from(doubtful);
                let correlation = &*delivery.correlation;
                tracing::info!(
                    correlation,
                    doubtful,
                    "redelivered message acknowledged without a second reply: its reply was already sent, or, if doubtful, may have been sent"
                );
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

    /// Turns a delivery into a call, or answers it with the reason for which it is refused. If `may_have_run` is set,
    /// the members are asked first whether the call ran, and a failure tells the caller that it may have run.
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
            // The driver may process the call later, particularly after this process was stopped; the budget counts
            // from this time.
            read_at: now,
            is_repeat: received.redelivered,
            // The broker authenticates publishers: everyone who may publish to the queue may call.
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

    /// Returns the refusal of a delivery that can't become a call, else `None`. It is counted and logged unless the
    /// call may have run, as the caller then gets another answer.
    fn rejection(
        &mut self,
        received: &Received<'_>,
        correlation: &str,
        may_have_run: bool,
    ) -> Option<Answer> {
        let request = match &received.request {
            Ok(request) => request,
            Err(invalid) => {
                let reason = invalid.reason();
                if !may_have_run {
                    self.counters.refused_invalid += 1;
                    tracing::info!(correlation, reason, wrong = %invalid, "message rejected: not a valid call");
                }
                return Some(Answer::Refused { reason, retry_after: 0 });
            }
        };
        if !may_have_run && received.effect != Effect::Idempotent && self.is_unknown() {
            let retry_after = self.config.max_retry_after;
            return Some(Answer::Refused { reason: "marks-not-ready", retry_after });
        }
        let placement = self.places.as_ref().map(|places| places.over(received.queue, &request.function));
        if !matches!(placement, Some(FunctionPlacement::Elsewhere(_))) {
            self.counters.leaving_shard += u64::from(placement == Some(FunctionPlacement::Leaving));
            return None;
        }
        if !may_have_run {
            self.counters.other_shard += 1;
            let home = self.home_of(received);
            self.deliveries.entry(received.ticket).and_modify(|delivery| delivery.home = home);
            tracing::info!(
                correlation,
                ?home,
                reason = OTHER_SHARD,
                "message rejected: function belongs to another shard"
            );
        }
        Some(Answer::Refused { reason: OTHER_SHARD, retry_after: 0 })
    }

    /// Returns the generation and shard that a message should have been sent to.
    fn home_of(&self, received: &Received<'_>) -> Option<(u32, Shard)> {
        let function = Reader::function(&received.properties, received.routing_key).ok()?;
        // A function that is spread over several shards gets its calls in each of them in turn.
        self.places.as_ref()?.home(received.queue, &function, received.ticket)
    }
}

/// A parsed delivery.
struct Received<'a> {
    /// Index of its queue.
    queue: usize,
    ticket: Ticket,
    redelivered: bool,
    routing_key: &'a str,
    properties: BasicProperties,
    body: Bytes,
    /// Size of the body, also if the body was too large to be kept.
    size: u64,
    request: Result<CallRequest, InvalidMessage>,
    /// The configured properties of its function, with the time after which its class's callers time out.
    configured: Option<(FunctionProperties, Micros)>,
    effect: Effect,
}

fn text(value: &Option<stagehoist_amqp::ShortString>) -> String {
    value.as_ref().map_or(String::new(), |value| value.as_str().to_string())
}
