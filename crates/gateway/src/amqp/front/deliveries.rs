//! What becomes of a delivery.

use super::queues::QueueState;
use super::*;
use stagehoist_sharding::FunctionPlacement;

/// The reason of a call that came over the queue of a shard that is not its function's.
const OTHER_SHARD: &str = "other-shard";

impl Front {
    /// Generation and shard that a message should have been sent to.
    fn home(
        &self,
        queue: usize,
        properties: &BasicProperties,
        routing_key: &str,
        ticket: Ticket,
    ) -> Option<(u32, Shard)> {
        let function = Reader::function(properties, routing_key).ok()?;
        // Calls of a function that is spread over shards are sent to each of them in turn.
        self.places.as_ref()?.home(queue, &function, ticket)
    }

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
        let AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)) = message.method else { return };
        self.counters.delivered += 1;
        self.acks.delivered(deliver.delivery_tag);
        if let Some(window) = self.window.as_mut() {
            window.delivered();
        }
        let queue = self.queue_of(deliver.consumer_tag.as_str()).unwrap_or(0);
        if self.queues.get(queue).is_some_and(|q| q.hold == QueueState::Released) {
            return self.return_delivery(deliver.delivery_tag);
        }
        let stamp = stamp(&message.properties);
        let mut waited = self.ages.get_mut(queue).map_or(0, |a| a.taken(stamp, deliver.redelivered, now));
        if stamp.is_none() && self.ages.get(queue).is_some_and(Age::is_doubted) {
            waited = waited.max(now - self.blind_from);
        }
        self.counters.redelivered += u64::from(deliver.redelivered);
        let properties = &message.properties;
        let text = |value: &Option<stagehoist_amqp::ShortString>| {
            value.as_ref().map_or(String::new(), |v| v.as_str().to_string())
        };
        let (reply_to, correlation) = (text(properties.reply_to()), text(properties.correlation_id()));
        let message_id = text(properties.message_id());
        let tag = deliver.delivery_tag;
        if reply_to.is_empty() {
            let key = deliver.routing_key.as_str();
            tracing::warn!(
                correlation,
                message_id,
                key,
                reason = "no-reply-to",
                "rejected to the dead letters"
            );
            return self.reject(tag);
        }
        let key = Key::new(&reply_to, &correlation, &message_id);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let delivery = Delivery {
            generation: self.generation,
            tag,
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
        let asked = self.reader.read(properties, routing_key, message.size, waited);
        let known =
            asked.as_ref().ok().and_then(|a| FunctionProperties::configured(&self.config, &a.function));
        let effect_of = |k: (FunctionProperties, Micros)| self.config.classes[usize::from(k.0.class)].effect;
        let effect = match &asked {
            // It may have run in time where it was before: that it is too late now does not tell that it did not.
            Err(Unusable::TooLate) => Reader::function(properties, routing_key)
                .ok()
                .and_then(|f| FunctionProperties::configured(&self.config, &f))
                .map_or(Effect::Idempotent, effect_of),
            _ => known.map_or(Effect::Idempotent, effect_of),
        };
        // One that can't be taken is remembered too: its refusal is not given twice.
        let verdict = self.memory.on_delivery(key.as_ref(), deliver.redelivered, effect, ticket, now);
        match verdict {
            Verdict::Join(at_work) => {
                self.counters.joined += 1;
                if let Some(old) = self.deliveries.get_mut(&at_work) {
                    (old.generation, old.tag) = (self.generation, tag);
                }
            }
            Verdict::Resend(answer) => {
                self.counters.from_memory += 1;
                let elsewhere = answer.reason() == OTHER_SHARD;
                let home = elsewhere.then(|| self.home(queue, properties, routing_key, ticket)).flatten();
                self.deliveries.insert(ticket, Delivery { answer: Some(answer), home, ..delivery });
                self.publish(ticket, now);
            }
            Verdict::Settle { doubtful } => {
                self.counters.withheld += u64::from(doubtful);
                tracing::info!(
                    correlation = &*delivery.correlation,
                    doubtful,
                    "delivered again after its reply left"
                );
                self.ack(tag);
            }
            Verdict::Fail => {
                self.counters.failed_unknown += 1;
                if let Some(key) = &delivery.key {
                    self.memory.on_failing(key, ticket, now);
                }
                self.deliveries.insert(ticket, delivery);
                self.answer(ticket, Answer::Failed { reason: "delivered-before" }, now);
            }
            Verdict::Run | Verdict::Inquire => {
                let asks = matches!(verdict, Verdict::Inquire);
                let correlation = delivery.correlation.clone();
                self.deliveries.insert(ticket, delivery);
                let asked = match asked {
                    Ok(_) if !asks && effect != Effect::Idempotent && self.is_unknown() => {
                        let retry_after = self.config.retry_after_most;
                        let answer = Answer::Refused { reason: "marks-not-ready", retry_after };
                        return self.answer(ticket, answer, now);
                    }
                    Ok(asked) => match self.places.as_ref().map(|p| p.over(queue, &asked.function)) {
                        // It may have run where it was before, and has no workers of its group here.
                        Some(FunctionPlacement::Elsewhere(_)) if asks => {
                            return self.fail_unknown(ticket, now)
                        }
                        Some(FunctionPlacement::Elsewhere(_)) => {
                            self.counters.other_shard += 1;
                            let home = self.home(queue, properties, routing_key, ticket);
                            self.deliveries.entry(ticket).and_modify(|d| d.home = home);
                            tracing::info!(
                                correlation = &*correlation,
                                ?home,
                                reason = OTHER_SHARD,
                                "not taken"
                            );
                            let answer = Answer::Refused { reason: OTHER_SHARD, retry_after: 0 };
                            return self.answer(ticket, answer, now);
                        }
                        place => {
                            self.counters.leaving_shard +=
                                u64::from(place == Some(FunctionPlacement::Leaving));
                            asked
                        }
                    },
                    // It may have run before, which is what its caller has to know.
                    Err(_) if asks => return self.fail_unknown(ticket, now),
                    Err(wrong) => {
                        self.counters.answered_unusable += 1;
                        tracing::info!(correlation = &*correlation, reason = wrong.reason(), %wrong, "not taken");
                        let answer = Answer::Refused { reason: wrong.reason(), retry_after: 0 };
                        return self.answer(ticket, answer, now);
                    }
                };
                match self.intake.admit((queue as u32, asked.tenant), message.size) {
                    Ok(held) => {
                        self.deliveries.entry(ticket).and_modify(|d| d.held = Some(held));
                    }
                    Err(_) if asks => return self.fail_unknown(ticket, now),
                    Err(why) => {
                        self.counters.rejected_at_intake += 1;
                        let retry_after = self.advice.retry_after(self.intake.calls());
                        let reason = why.reason();
                        return self.answer(ticket, Answer::Refused { reason, retry_after }, now);
                    }
                }
                let content_type = properties.content_type().as_ref().map(|c| c.as_str().to_string());
                let identity = self.inquiries.as_ref().and_then(|_| Some(key.as_ref()?.identity()));
                let arrival = Arrival {
                    ticket,
                    function: asked.function,
                    properties: known.map(|k| k.0),
                    tenant: asked.tenant,
                    budget: known.map_or(asked.budget, |k| asked.budget.min(k.1)),
                    // The driver may come to it later, after a stop above all; its time runs from here.
                    read_at: now,
                    is_repeat: deliver.redelivered,
                    // Whoever may publish to the queue is a caller.
                    client_verified: true,
                    body: message.body,
                    content_type,
                    correlation,
                    generation: asked.generation,
                    identity,
                };
                match verdict {
                    Verdict::Inquire => self.inquire(arrival, now),
                    _ => self.arrivals.push(arrival),
                }
            }
        }
    }
}
