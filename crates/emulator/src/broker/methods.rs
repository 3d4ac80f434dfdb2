//! The methods of channels: exchanges, queues, publishing, consuming, acknowledging (specification 1.4 to 1.8).

use super::model::{alternate, read_arguments, Binding, ConsumerRef, Exchange, Kind, Queue, Stored, Target};
use super::{Broker, Consumer, Disconnect, Micros, Phase, Transaction, Unacked, BODY_MAX, REPLY_QUEUE};
use stagehoist_amqp::codec::{ids, put_content, put_method};
use stagehoist_amqp::error::{reply, Fault};
use stagehoist_amqp::{basic, channel, confirm, exchange, queue, short, tx};
use stagehoist_amqp::{AMQPClass, AMQPValue, FieldTable, Message};

type Done = Result<(), Fault>;

impl Broker {
    pub(super) fn take_method(&mut self, number: u64, id: u16, method: AMQPClass, now: Micros) -> Done {
        let ids = ids(&method);
        let soft = |code, text: String| Err(Fault::channel(id, code, text, ids));
        match method {
            AMQPClass::Channel(method) => match method {
                channel::AMQPMethod::Flow(flow) => {
                    if let Some(channel) = self.channel(number, id) {
                        channel.stopped = !flow.active;
                    }
                    self.touch_consumed(number, id);
                    let ok = channel::FlowOk { active: flow.active };
                    self.send(number, id, AMQPClass::Channel(channel::AMQPMethod::FlowOk(ok)));
                    Ok(())
                }
                channel::AMQPMethod::FlowOk(_) => Ok(()),
                channel::AMQPMethod::Close(_) => {
                    let channel = self.connections.get_mut(&number).and_then(|c| c.channels.remove(&id));
                    if let Some(channel) = channel {
                        self.release_channel(number, id, channel, now);
                    }
                    let ok = channel::AMQPMethod::CloseOk(channel::CloseOk {});
                    self.send(number, id, AMQPClass::Channel(ok));
                    Ok(())
                }
                _ => Err(Fault::connection(reply::COMMAND_INVALID, "unexpected channel method", ids)),
            },
            AMQPClass::Exchange(method) => self.take_exchange(number, id, method),
            AMQPClass::Queue(method) => self.take_queue(number, id, method, now),
            AMQPClass::Basic(method) => self.take_basic(number, id, method, now),
            AMQPClass::Confirm(confirm::AMQPMethod::Select(select)) => {
                if self.channel(number, id).is_some_and(|c| c.tx.is_some()) {
                    let text = "PRECONDITION_FAILED - cannot switch from tx to confirm mode";
                    return soft(reply::PRECONDITION_FAILED, text.into());
                }
                if let Some(channel) = self.channel(number, id) {
                    channel.confirms.get_or_insert(0);
                }
                if !select.nowait {
                    let ok = confirm::AMQPMethod::SelectOk(confirm::SelectOk {});
                    self.send(number, id, AMQPClass::Confirm(ok));
                }
                Ok(())
            }
            AMQPClass::Tx(method) => self.take_tx(number, id, method, ids, now),
            AMQPClass::Access(_) => {
                Err(Fault::connection(reply::NOT_IMPLEMENTED, "class is not implemented", ids))
            }
            AMQPClass::Connection(_) | AMQPClass::Confirm(_) => {
                soft(reply::COMMAND_INVALID, "method of the other side".into())
            }
        }
    }

    fn take_tx(
        &mut self,
        number: u64,
        id: u16,
        method: tx::AMQPMethod,
        ids: (u16, u16),
        now: Micros,
    ) -> Done {
        use tx::AMQPMethod as M;
        let soft = |text: &str| Err(Fault::channel(id, reply::PRECONDITION_FAILED, text, ids));
        let Some(channel) = self.channel(number, id) else { return Ok(()) };
        match method {
            M::Select(_) => {
                if channel.confirms.is_some() {
                    return soft("PRECONDITION_FAILED - cannot switch from confirm to tx mode");
                }
                channel.tx.get_or_insert_default();
                self.answer(number, id, false, AMQPClass::Tx(M::SelectOk(tx::SelectOk {})))
            }
            M::Commit(_) | M::Rollback(_) if channel.tx.is_none() => {
                soft("PRECONDITION_FAILED - channel is not transactional")
            }
            M::Rollback(_) => {
                channel.tx = Some(Transaction::default());
                self.answer(number, id, false, AMQPClass::Tx(M::RollbackOk(tx::RollbackOk {})))
            }
            M::Commit(_) => {
                // All of it or nothing: a fault in one part leaves the rest undone.
                let Some(all) = channel.tx.take() else { return Ok(()) };
                for message in all.publishes {
                    self.route_publish(number, id, message, now)?;
                }
                for (tag, multiple, how) in all.settles {
                    self.settle_delivery(number, id, (tag, multiple), how, ids, now)?;
                }
                if let Some(channel) = self.channel(number, id) {
                    channel.tx = Some(Transaction::default());
                }
                let cut = self
                    .connections
                    .get_mut(&number)
                    .and_then(|c| c.disconnect.take_if(|c| *c == Disconnect::BeforeConfirm));
                if cut.is_some() {
                    return self.drop_connection(number, now);
                }
                self.answer(number, id, false, AMQPClass::Tx(M::CommitOk(tx::CommitOk {})))
            }
            _ => soft("COMMAND_INVALID - method of the other side"),
        }
    }

    fn channel(&mut self, number: u64, id: u16) -> Option<&mut super::Channel> {
        self.connections.get_mut(&number)?.channels.get_mut(&id)
    }

    /// Marks the queues that a channel consumes from, as its credit changed.
    fn touch_consumed(&mut self, number: u64, id: u16) {
        let queues: Vec<String> = self
            .channel(number, id)
            .map(|c| c.consumers.values().map(|k| k.queue.clone()).collect())
            .unwrap_or_default();
        self.model.touched.extend(queues);
    }

    fn take_exchange(&mut self, number: u64, id: u16, method: exchange::AMQPMethod) -> Done {
        use exchange::AMQPMethod as M;
        let class = AMQPClass::Exchange(method.clone());
        let soft = |code, text: String| Err(Fault::channel(id, code, text, ids(&class)));
        match method {
            M::Declare(d) => {
                let name = d.exchange.as_str();
                if let Some(old) = self.model.exchanges.get(name) {
                    let same = Kind::named(d.kind.as_str()) == Some(old.kind)
                        && (old.durable, old.auto_delete, old.internal)
                            == (d.durable, d.auto_delete, d.internal);
                    if !d.passive && !same {
                        let text =
                            format!("PRECONDITION_FAILED - exchange '{name}' stands with other arguments");
                        return soft(reply::PRECONDITION_FAILED, text);
                    }
                } else if d.passive {
                    return soft(reply::NOT_FOUND, format!("NOT_FOUND - no exchange '{name}'"));
                } else if name.starts_with("amq.") || name.is_empty() {
                    let text = format!("ACCESS_REFUSED - exchange name '{name}' is reserved");
                    return soft(reply::ACCESS_REFUSED, text);
                } else {
                    let Some(kind) = Kind::named(d.kind.as_str()) else {
                        let text = format!("COMMAND_INVALID - unknown exchange type '{}'", d.kind);
                        return Err(Fault::connection(reply::COMMAND_INVALID, text, ids(&class)));
                    };
                    let exchange = Exchange {
                        kind,
                        durable: d.durable,
                        auto_delete: d.auto_delete,
                        internal: d.internal,
                        bindings: Vec::new(),
                        alternate: alternate(&d.arguments),
                        bound_once: false,
                    };
                    self.model.exchanges.insert(name.to_string(), exchange);
                }
                self.answer(number, id, d.nowait, AMQPClass::Exchange(M::DeclareOk(exchange::DeclareOk {})))
            }
            M::Delete(d) => {
                let name = d.exchange.as_str();
                if name.is_empty() || name.starts_with("amq.") {
                    return soft(
                        reply::ACCESS_REFUSED,
                        format!("ACCESS_REFUSED - exchange '{name}' is reserved"),
                    );
                }
                let in_use = self.model.exchanges.get(name).is_some_and(|e| !e.bindings.is_empty());
                if d.if_unused && in_use {
                    let text = format!("PRECONDITION_FAILED - exchange '{name}' in use");
                    return soft(reply::PRECONDITION_FAILED, text);
                }
                self.model.exchanges.remove(name);
                self.model.unbind_target(&Target::Exchange(name.to_string()));
                self.answer(number, id, d.nowait, AMQPClass::Exchange(M::DeleteOk(exchange::DeleteOk {})))
            }
            M::Bind(b) => {
                let target = Target::Exchange(b.destination.as_str().to_string());
                for name in [b.source.as_str(), b.destination.as_str()] {
                    if !self.model.exchanges.contains_key(name) {
                        return soft(reply::NOT_FOUND, format!("NOT_FOUND - no exchange '{name}'"));
                    }
                }
                self.bind(b.source.as_str(), target, b.routing_key.as_str(), b.arguments);
                self.answer(number, id, b.nowait, AMQPClass::Exchange(M::BindOk(exchange::BindOk {})))
            }
            M::Unbind(b) => {
                let target = Target::Exchange(b.destination.as_str().to_string());
                self.unbind(b.source.as_str(), &target, b.routing_key.as_str(), &b.arguments);
                self.answer(number, id, b.nowait, AMQPClass::Exchange(M::UnbindOk(exchange::UnbindOk {})))
            }
            _ => soft(reply::COMMAND_INVALID, "method of the other side".into()),
        }
    }

    fn answer(&mut self, number: u64, id: u16, nowait: bool, method: AMQPClass) -> Done {
        if !nowait {
            self.send(number, id, method);
        }
        Ok(())
    }

    fn bind(&mut self, source: &str, target: Target, key: &str, arguments: FieldTable) {
        if let Some(exchange) = self.model.exchanges.get_mut(source) {
            exchange.bound_once = true;
            let binding = Binding { target, key: key.to_string(), arguments };
            if !exchange.bindings.contains(&binding) {
                exchange.bindings.push(binding);
            }
        }
    }

    fn unbind(&mut self, source: &str, target: &Target, key: &str, arguments: &FieldTable) {
        if let Some(exchange) = self.model.exchanges.get_mut(source) {
            exchange
                .bindings
                .retain(|b| (&b.target, b.key.as_str(), &b.arguments) != (target, key, arguments));
        }
        self.model.drop_unbound();
    }

    /// The queue, where this connection may use it.
    fn own_queue(&mut self, number: u64, id: u16, name: &str, ids: (u16, u16)) -> Result<&mut Queue, Fault> {
        let Some(queue) = self.model.queues.get_mut(name) else {
            return Err(Fault::channel(id, reply::NOT_FOUND, format!("NOT_FOUND - no queue '{name}'"), ids));
        };
        if queue.owner.is_some_and(|owner| owner != number) {
            let text = format!("RESOURCE_LOCKED - queue '{name}' is exclusive to another connection");
            return Err(Fault::channel(id, reply::RESOURCE_LOCKED, text, ids));
        }
        Ok(queue)
    }

    fn take_queue(&mut self, number: u64, id: u16, method: queue::AMQPMethod, now: Micros) -> Done {
        use queue::AMQPMethod as M;
        let class = AMQPClass::Queue(method.clone());
        let ids = ids(&class);
        let soft = |code, text: String| Err(Fault::channel(id, code, text, ids));
        match method {
            M::Declare(d) => {
                let mut name = d.queue.as_str().to_string();
                if name == REPLY_QUEUE {
                    let ok = queue::DeclareOk { queue: d.queue, message_count: 0, consumer_count: 0 };
                    return self.answer(number, id, d.nowait, AMQPClass::Queue(M::DeclareOk(ok)));
                }
                if self.model.queues.contains_key(&name) || d.passive {
                    let old = self.own_queue(number, id, &name, ids)?;
                    let mut wanted = Queue::default();
                    let _ = read_arguments(&mut wanted, &d.arguments);
                    let same = (old.durable, old.owner.is_some(), old.auto_delete, &old.arguments)
                        == (d.durable, d.exclusive, d.auto_delete, &d.arguments);
                    if !d.passive && !same {
                        let text =
                            format!("PRECONDITION_FAILED - queue '{name}' stands with other arguments");
                        return soft(reply::PRECONDITION_FAILED, text);
                    }
                    old.used = now;
                } else {
                    if name.starts_with("amq.") {
                        let text = format!("ACCESS_REFUSED - queue name '{name}' is reserved");
                        return soft(reply::ACCESS_REFUSED, text);
                    }
                    if name.is_empty() {
                        name = format!("amq.gen-{:016x}", self.next_name.wrapping_mul(0x9E37_79B9_7F4A_7C15));
                        self.next_name += 1;
                    }
                    let mut queue = Queue {
                        durable: d.durable,
                        owner: d.exclusive.then_some(number),
                        auto_delete: d.auto_delete,
                        used: now,
                        ..Queue::default()
                    };
                    if let Err(text) = read_arguments(&mut queue, &d.arguments) {
                        return soft(reply::PRECONDITION_FAILED, format!("PRECONDITION_FAILED - {text}"));
                    }
                    self.model.queues.insert(name.clone(), queue);
                }
                let queue = self.own_queue(number, id, &name, ids)?;
                let ok = queue::DeclareOk {
                    queue: short(&name),
                    message_count: queue.messages.len() as u32,
                    consumer_count: queue.consumers.len() as u32,
                };
                self.answer(number, id, d.nowait, AMQPClass::Queue(M::DeclareOk(ok)))
            }
            M::Bind(b) => {
                self.own_queue(number, id, b.queue.as_str(), ids)?;
                if b.exchange.as_str().is_empty() {
                    let text = "ACCESS_REFUSED - operation not permitted on the default exchange";
                    return soft(reply::ACCESS_REFUSED, text.into());
                }
                if !self.model.exchanges.contains_key(b.exchange.as_str()) {
                    return soft(reply::NOT_FOUND, format!("NOT_FOUND - no exchange '{}'", b.exchange));
                }
                let target = Target::Queue(b.queue.as_str().to_string());
                self.bind(b.exchange.as_str(), target, b.routing_key.as_str(), b.arguments);
                self.answer(number, id, b.nowait, AMQPClass::Queue(M::BindOk(queue::BindOk {})))
            }
            M::Unbind(b) => {
                self.own_queue(number, id, b.queue.as_str(), ids)?;
                let target = Target::Queue(b.queue.as_str().to_string());
                self.unbind(b.exchange.as_str(), &target, b.routing_key.as_str(), &b.arguments);
                self.answer(number, id, false, AMQPClass::Queue(M::UnbindOk(queue::UnbindOk {})))
            }
            M::Purge(p) => {
                let queue = self.own_queue(number, id, p.queue.as_str(), ids)?;
                let message_count = queue.messages.len() as u32;
                queue.messages.clear();
                let ok = queue::PurgeOk { message_count };
                self.answer(number, id, p.nowait, AMQPClass::Queue(M::PurgeOk(ok)))
            }
            M::Delete(d) => {
                let name = d.queue.as_str().to_string();
                let mut message_count = 0;
                if self.model.queues.contains_key(&name) {
                    let queue = self.own_queue(number, id, &name, ids)?;
                    message_count = queue.messages.len() as u32;
                    let refused =
                        (d.if_unused && !queue.consumers.is_empty()) || (d.if_empty && message_count > 0);
                    if refused {
                        let text = format!("PRECONDITION_FAILED - queue '{name}' in use or not empty");
                        return soft(reply::PRECONDITION_FAILED, text);
                    }
                    self.remove_queue(&name);
                }
                let ok = queue::DeleteOk { message_count };
                self.answer(number, id, d.nowait, AMQPClass::Queue(M::DeleteOk(ok)))
            }
            _ => soft(reply::COMMAND_INVALID, "method of the other side".into()),
        }
    }

    fn take_basic(&mut self, number: u64, id: u16, method: basic::AMQPMethod, now: Micros) -> Done {
        use basic::AMQPMethod as M;
        let class = AMQPClass::Basic(method.clone());
        let ids = ids(&class);
        match method {
            M::Qos(qos) => {
                if let Some(channel) = self.channel(number, id) {
                    if qos.global {
                        channel.prefetch_all = qos.prefetch_count;
                    } else {
                        channel.prefetch = qos.prefetch_count;
                    }
                }
                self.answer(number, id, false, AMQPClass::Basic(M::QosOk(basic::QosOk {})))
            }
            M::Consume(c) => self.consume(number, id, &c, ids, now),
            M::Cancel(c) => {
                let tag = c.consumer_tag.as_str();
                let Some(channel) = self.channel(number, id) else { return Ok(()) };
                if channel.direct.as_deref() == Some(tag) {
                    channel.direct = None;
                }
                if let Some(consumer) = channel.consumers.remove(tag) {
                    let me = ConsumerRef { connection: number, channel: id, tag: tag.to_string() };
                    let mut delete = false;
                    if let Some(queue) = self.model.queues.get_mut(&consumer.queue) {
                        queue.consumers.retain(|other| *other != me);
                        queue.exclusive_consumer = false;
                        queue.used = now;
                        delete = queue.auto_delete && queue.consumers.is_empty();
                    }
                    if delete {
                        self.remove_queue(&consumer.queue);
                    }
                }
                let ok = basic::CancelOk { consumer_tag: c.consumer_tag };
                self.answer(number, id, c.nowait, AMQPClass::Basic(M::CancelOk(ok)))
            }
            M::Get(get) => self.get(number, id, &get, ids, now),
            M::Ack(ack) => self.settle_delivery(
                number,
                id,
                (ack.delivery_tag, ack.multiple),
                Settlement::Acked,
                ids,
                now,
            ),
            M::Nack(n) => {
                let how = if n.requeue { Settlement::Requeued } else { Settlement::Rejected };
                self.settle_delivery(number, id, (n.delivery_tag, n.multiple), how, ids, now)
            }
            M::Reject(r) => {
                let how = if r.requeue { Settlement::Requeued } else { Settlement::Rejected };
                self.settle_delivery(number, id, (r.delivery_tag, false), how, ids, now)
            }
            M::Recover(_) => {
                self.recover(number, id);
                self.answer(number, id, false, AMQPClass::Basic(M::RecoverOk(basic::RecoverOk {})))
            }
            M::RecoverAsync(_) => {
                self.recover(number, id);
                Ok(())
            }
            _ => Err(Fault::connection(reply::COMMAND_INVALID, "method of the other side", ids)),
        }
    }

    fn consume(&mut self, number: u64, id: u16, c: &basic::Consume, ids: (u16, u16), now: Micros) -> Done {
        let mut tag = c.consumer_tag.as_str().to_string();
        if tag.is_empty() {
            tag = format!("amq.ctag-{:016x}", self.next_name.wrapping_mul(0x9E37_79B9_7F4A_7C15));
            self.next_name += 1;
        }
        let taken = self.channel(number, id).is_some_and(|ch| ch.consumers.contains_key(&tag));
        if taken {
            let text = format!("NOT_ALLOWED - consumer tag '{tag}' is in use");
            return Err(Fault::connection(reply::NOT_ALLOWED, text, ids));
        }
        let ok = basic::ConsumeOk { consumer_tag: short(&tag) };
        let ok = AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(ok));
        if c.queue.as_str() == REPLY_QUEUE {
            let Some(channel) = self.channel(number, id) else { return Ok(()) };
            if !c.no_ack || channel.direct.is_some() {
                let text =
                    "PRECONDITION_FAILED - reply consumer must be one for each channel and without acks";
                return Err(Fault::channel(id, reply::PRECONDITION_FAILED, text, ids));
            }
            channel.direct = Some(tag);
            return self.answer(number, id, c.nowait, ok);
        }
        let queue = self.own_queue(number, id, c.queue.as_str(), ids)?;
        if queue.exclusive_consumer || (c.exclusive && !queue.consumers.is_empty()) {
            let text = format!("ACCESS_REFUSED - queue '{}' in exclusive use", c.queue);
            return Err(Fault::channel(id, reply::ACCESS_REFUSED, text, ids));
        }
        queue.exclusive_consumer = c.exclusive;
        queue.used = now;
        queue.consumers.push_back(ConsumerRef { connection: number, channel: id, tag: tag.clone() });
        if let Some(channel) = self.channel(number, id) {
            let prefetch = channel.prefetch;
            let queue = c.queue.as_str().to_string();
            channel.consumers.insert(tag, Consumer { queue, no_ack: c.no_ack, prefetch, out: 0 });
        }
        self.model.touched.insert(c.queue.as_str().to_string());
        self.answer(number, id, c.nowait, ok)
    }

    fn get(&mut self, number: u64, id: u16, get: &basic::Get, ids: (u16, u16), now: Micros) -> Done {
        self.model.expire(now);
        let queue = self.own_queue(number, id, get.queue.as_str(), ids)?;
        queue.used = now;
        let Some(message) = queue.messages.pop_front() else {
            let empty = AMQPClass::Basic(basic::AMQPMethod::GetEmpty(basic::GetEmpty {}));
            return self.answer(number, id, false, empty);
        };
        let message_count = queue.messages.len() as u32;
        let Some(connection) = self.connections.get_mut(&number) else { return Ok(()) };
        let frame_max = connection.frame_max;
        let Some(channel) = connection.channels.get_mut(&id) else { return Ok(()) };
        channel.last_tag += 1;
        let ok = basic::GetOk {
            delivery_tag: channel.last_tag,
            redelivered: message.redelivered,
            exchange: short(&message.exchange),
            routing_key: short(&message.key),
            message_count,
        };
        put_method(&mut connection.output, id, AMQPClass::Basic(basic::AMQPMethod::GetOk(ok)));
        put_content(&mut connection.output, id, &message.properties, &message.body, frame_max);
        if !get.no_ack {
            let queue = get.queue.as_str().to_string();
            channel.unacked.insert(channel.last_tag, Unacked { queue, tag: String::new(), message });
        }
        self.stats.delivered += 1;
        Ok(())
    }

    fn settle_delivery(
        &mut self,
        number: u64,
        id: u16,
        (tag, multiple): (u64, bool),
        how: Settlement,
        ids: (u16, u16),
        now: Micros,
    ) -> Done {
        let Some(channel) = self.channel(number, id) else { return Ok(()) };
        if let Some(tx) = &mut channel.tx {
            tx.settles.push((tag, multiple, how));
            return Ok(());
        }
        let tags: Vec<u64> = match (tag, multiple) {
            (0, true) => channel.unacked.keys().copied().collect(),
            (tag, true) => channel.unacked.range(..=tag).map(|(tag, _)| *tag).collect(),
            (tag, false) => vec![tag],
        };
        let known = if multiple { tag <= channel.last_tag } else { channel.unacked.contains_key(&tag) };
        if !known {
            let text = format!("PRECONDITION_FAILED - unknown delivery tag {tag}");
            return Err(Fault::channel(id, reply::PRECONDITION_FAILED, text, ids));
        }
        // From the newest, so that what goes back to the front of its queue ends up in order.
        for tag in tags.into_iter().rev() {
            let Some(channel) = self.channel(number, id) else { break };
            let Some(unacked) = channel.unacked.remove(&tag) else { continue };
            if let Some(consumer) = channel.consumers.get_mut(&unacked.tag) {
                consumer.out = consumer.out.saturating_sub(1);
            }
            self.model.touched.insert(unacked.queue.clone());
            let message = unacked.message;
            match how {
                Settlement::Acked => self.stats.acked += 1,
                Settlement::Rejected => self.model.dead_letter(&unacked.queue, message, "rejected", now),
                Settlement::Requeued => self.model.requeue(&unacked.queue, message),
            }
        }
        self.touch_consumed(number, id);
        Ok(())
    }

    fn recover(&mut self, number: u64, id: u16) {
        let Some(channel) = self.channel(number, id) else { return };
        let unacked = std::mem::take(&mut channel.unacked);
        channel.consumers.values_mut().for_each(|c| c.out = 0);
        for (_, unacked) in unacked.into_iter().rev() {
            self.model.requeue(&unacked.queue, unacked.message);
        }
    }

    pub(super) fn take_publish(&mut self, number: u64, id: u16, message: Message, now: Micros) -> Done {
        let ids = ids(&message.method);
        let AMQPClass::Basic(basic::AMQPMethod::Publish(publish)) = message.method else {
            return Err(Fault::connection(reply::COMMAND_INVALID, "content of the other side", ids));
        };
        let cut = self
            .connections
            .get_mut(&number)
            .and_then(|c| c.disconnect.take_if(|c| *c == Disconnect::BeforeRouting));
        if cut.is_some() {
            return self.drop_connection(number, now);
        }
        let message = Message { method: AMQPClass::Basic(basic::AMQPMethod::Publish(publish)), ..message };
        if let Some(tx) = self.channel(number, id).and_then(|c| c.tx.as_mut()) {
            tx.publishes.push(message);
            return Ok(());
        }
        self.route_publish(number, id, message, now)
    }

    fn route_publish(&mut self, number: u64, id: u16, message: Message, now: Micros) -> Done {
        let ids = ids(&message.method);
        let AMQPClass::Basic(basic::AMQPMethod::Publish(publish)) = message.method else { return Ok(()) };
        self.stats.published += 1;
        if publish.immediate {
            let text = "NOT_IMPLEMENTED - immediate=true";
            return Err(Fault::connection(reply::NOT_IMPLEMENTED, text, ids));
        }
        if message.size > BODY_MAX as u64 {
            let text = format!("CONTENT_TOO_LARGE - {} bytes, taken are {BODY_MAX}", message.size);
            return Err(Fault::channel(id, reply::CONTENT_TOO_LARGE, text, ids));
        }
        let (name, key) = (publish.exchange.as_str(), publish.routing_key.as_str());
        match self.model.exchanges.get(name) {
            None => {
                return Err(Fault::channel(
                    id,
                    reply::NOT_FOUND,
                    format!("NOT_FOUND - no exchange '{name}'"),
                    ids,
                ))
            }
            Some(exchange) if exchange.internal => {
                let text = format!("ACCESS_REFUSED - exchange '{name}' is internal");
                return Err(Fault::channel(id, reply::ACCESS_REFUSED, text, ids));
            }
            Some(_) => {}
        }
        let own = message.properties.expiration().as_ref();
        if own.is_some_and(|e| e.as_str().parse::<u64>().is_err()) {
            let text = "PRECONDITION_FAILED - invalid expiration, milliseconds expected";
            return Err(Fault::channel(id, reply::PRECONDITION_FAILED, text, ids));
        }
        let mut properties = message.properties;
        if properties.reply_to().as_ref().is_some_and(|r| r.as_str() == REPLY_QUEUE) {
            let direct = self.channel(number, id).is_some_and(|c| c.direct.is_some());
            if !direct {
                let text = "PRECONDITION_FAILED - fast reply consumer does not exist";
                return Err(Fault::channel(id, reply::PRECONDITION_FAILED, text, ids));
            }
            properties = properties.with_reply_to(short(&format!("{REPLY_QUEUE}.{number}.{id}")));
        }
        if let Some(zero) = self.options.stamp_from {
            let mut headers = properties.headers().clone().unwrap_or_default();
            headers.insert(short("timestamp_in_ms"), AMQPValue::LongLongInt((zero + now) / 1000));
            properties = properties.with_headers(headers);
        }
        let stored = Stored {
            exchange: name.to_string(),
            key: key.to_string(),
            properties,
            body: message.body,
            redelivered: false,
            expires: None,
            hops: 0,
        };
        let taken = if name.is_empty() && key.starts_with(REPLY_QUEUE) {
            self.deliver_direct(key, &stored)
        } else {
            let queues = self.model.route(name, key, stored.properties.headers().as_ref());
            let (any, mut held) = (!queues.is_empty(), true);
            for queue in queues {
                held &= self.model.enqueue(&queue, stored.clone(), now);
            }
            any.then_some(held)
        };
        if taken.is_some() {
            self.stats.routed += 1;
        } else if publish.mandatory {
            self.stats.returned += 1;
            let back = basic::Return {
                reply_code: reply::NO_ROUTE,
                reply_text: short("NO_ROUTE"),
                exchange: publish.exchange.clone(),
                routing_key: publish.routing_key.clone(),
            };
            if let Some(connection) = self.connections.get_mut(&number) {
                let frame_max = connection.frame_max;
                put_method(&mut connection.output, id, AMQPClass::Basic(basic::AMQPMethod::Return(back)));
                put_content(&mut connection.output, id, &stored.properties, &stored.body, frame_max);
            }
        }
        let confirming = self.channel(number, id).is_some_and(|c| c.confirms.is_some());
        let cut = self.connections.get_mut(&number).filter(|_| confirming);
        if cut.and_then(|c| c.disconnect.take_if(|c| *c == Disconnect::BeforeConfirm)).is_some() {
            return self.drop_connection(number, now);
        }
        let held = taken != Some(false);
        let Some(channel) = self.channel(number, id) else { return Ok(()) };
        if let Some(last) = &mut channel.confirms {
            *last += 1;
            let (delivery_tag, multiple) = (*last, false);
            let method = if held {
                basic::AMQPMethod::Ack(basic::Ack { delivery_tag, multiple })
            } else {
                basic::AMQPMethod::Nack(basic::Nack { delivery_tag, multiple, requeue: false })
            };
            self.send(number, id, AMQPClass::Basic(method));
        }
        Ok(())
    }

    /// Ends a connection at once; what it wrote last is not answered.
    fn drop_connection(&mut self, number: u64, now: Micros) -> Done {
        self.stats.cut += 1;
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.output.clear();
            connection.phase = Phase::Over;
            let channels = std::mem::take(&mut connection.channels);
            for (id, channel) in channels {
                self.release_channel(number, id, channel, now);
            }
        }
        Ok(())
    }

    /// Hands a reply straight to the consumer of `amq.rabbitmq.reply-to` that its key names.
    fn deliver_direct(&mut self, key: &str, message: &Stored) -> Option<bool> {
        let mut parts = key[REPLY_QUEUE.len()..].split('.').skip(1);
        let number: u64 = parts.next()?.parse().ok()?;
        let id: u16 = parts.next()?.parse().ok()?;
        let connection = self.connections.get_mut(&number)?;
        let frame_max = connection.frame_max;
        let channel = connection.channels.get_mut(&id)?;
        let tag = channel.direct.clone()?;
        channel.last_tag += 1;
        let deliver = basic::Deliver {
            consumer_tag: short(&tag),
            delivery_tag: channel.last_tag,
            redelivered: false,
            exchange: short(""),
            routing_key: short(key),
        };
        put_method(&mut connection.output, id, AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)));
        put_content(&mut connection.output, id, &message.properties, &message.body, frame_max);
        self.stats.delivered += 1;
        self.dirty.insert(number);
        Some(true)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Settlement {
    Acked,
    Rejected,
    Requeued,
}
