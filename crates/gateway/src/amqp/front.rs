//! One front end's side of its broker, without I/O: deliveries become calls, answers become replies, and a delivery is
//! acknowledged only once its reply is confirmed or known to be impossible. What a lost connection leaves behind is kept:
//! calls at work go on, and their messages are answered from memory when they are delivered again.

use super::message::{reply, stamp, Reader, Unusable};
use crate::state::{Answer, Arrival, CallFigures, Ticket};
use stagehoist::{Effect, Micros};
use stagehoist_admission::{Advice, Age, Bounds, Held, Intake, Window};
use stagehoist_amqp::{basic, channel, confirm, queue, short, tx};
use stagehoist_amqp::{AMQPClass, Acks, Client, ClientEvent, ClientOptions, Message};
use stagehoist_config::{Broker, Config};
use stagehoist_recovery::{Backoff, Key, Memory, Sent, Verdict};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// Times that a reply is published again after the broker said it can't take it (`basic.nack`).
const NACKS_MOST: u32 = 3;
/// Begins the tags of this front's consumers.
const TAG: &str = "stagehoist-";
/// How often the depth of a queue is asked for while it was not seen empty.
const LOOK: Micros = 250_000;

/// What a front has done, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontCounters {
    pub delivered: u64,
    pub redelivered: u64,
    pub rejected: u64,
    pub answered_unusable: u64,
    /// Refused at intake: the bounds on held calls or bytes are reached.
    pub turned_away: u64,
    /// Changes of the window that the broker was asked for.
    pub windows: u64,
    pub replies: u64,
    /// Acknowledgements sent; one may stand for many messages.
    pub acks: u64,
    pub confirmed: u64,
    pub unroutable: u64,
    pub from_memory: u64,
    pub joined: u64,
    pub withheld: u64,
    pub failed_unknown: u64,
    pub connections_lost: u64,
    pub channels_lost: u64,
}

struct Delivery {
    /// Which connection and channel it came on; its tag means something there only.
    generation: u64,
    tag: u64,
    reply_to: Rc<str>,
    correlation: Rc<str>,
    key: Option<Key>,
    answer: Option<Answer>,
    /// Number of its reply on the channel, and when it was published.
    published: Option<(u64, Micros)>,
    nacks: u32,
    /// Its room among the held calls.
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No connection.
    Apart,
    Opening,
    /// The channel is to be opened (again) at this time.
    Waiting(Micros),
    Setup,
    Ready,
}

/// The state of one front.
pub struct Front {
    config: Rc<Config>,
    reader: Reader,
    memory: Memory<Answer>,
    backoff: Backoff,
    client: Option<Client>,
    phase: Phase,
    channel: u16,
    generation: u64,
    consuming: usize,
    /// Queues whose consumer the broker cancelled, and when to consume again.
    again: BTreeMap<usize, Micros>,
    deliveries: HashMap<Ticket, Delivery>,
    replies: BTreeMap<u64, Ticket>,
    /// In transactions: replies of the one that is open, whether it holds anything, and those being committed.
    open: (Vec<Ticket>, bool),
    committing: VecDeque<(Micros, Vec<Ticket>)>,
    next_ticket: Ticket,
    arrivals: Vec<Arrival>,
    draining: bool,
    /// Deliveries of the present channel; their acknowledgements go out together, with the next replies.
    acks: Acks,
    /// Of the present channel, where a queue is consumed without a told prefetch.
    window: Option<Window>,
    ages: Vec<Age>,
    asked_depth: Micros,
    /// This process did not run from then on; ends for a queue once the broker answered a question about it.
    blind_from: Micros,
    intake: Intake,
    advice: Advice,
    pub counters: FrontCounters,
}

impl Front {
    /// A front without a connection. `seed` spreads its reconnects and its advice.
    pub fn new(config: Rc<Config>, seed: u64, now: Micros) -> Front {
        let (most, keep) = config.answer_memory;
        let bounds = Bounds { calls: config.held_most, bytes: config.held_bytes_most };
        Front {
            reader: Reader::new(config.clone()),
            acks: Acks::default(),
            window: None,
            ages: vec![Age::default(); config.consume.len()],
            asked_depth: 0,
            blind_from: 0,
            intake: Intake::new(bounds),
            advice: Advice::new(config.retry_after_most, seed, now),
            memory: Memory::new(most as usize, keep, config.resend_doubtful),
            backoff: Backoff::new(config.reconnect.0, config.reconnect.1, seed),
            config,
            client: None,
            phase: Phase::Apart,
            channel: 0,
            generation: 0,
            consuming: 0,
            again: BTreeMap::new(),
            deliveries: HashMap::new(),
            replies: BTreeMap::new(),
            open: (Vec::new(), false),
            committing: VecDeque::new(),
            next_ticket: 1,
            arrivals: Vec::new(),
            draining: false,
            counters: FrontCounters::default(),
        }
    }

    /// A socket to a broker stands.
    pub fn connected(&mut self, broker: &Broker, now: Micros) {
        let options = ClientOptions {
            user: broker.user.clone(),
            password: broker.password.clone(),
            vhost: broker.vhost.clone(),
            heartbeat: (self.config.heartbeat / 1_000_000).clamp(0, 65_535) as u16,
            body_limit: self.config.body_most as usize,
            ..ClientOptions::default()
        };
        self.client = Some(Client::new(options, now));
        self.phase = Phase::Opening;
    }

    /// Whether messages are being consumed.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// The pause before the next attempt to connect.
    pub fn pause(&mut self) -> Micros {
        self.backoff.pause()
    }

    /// The connection, while there is one.
    pub fn client(&mut self) -> Option<&mut Client> {
        self.client.as_mut()
    }

    /// Whether the connection is over and its output only waits to be written.
    pub fn is_over(&self) -> bool {
        self.client.as_ref().is_none_or(Client::is_over)
    }

    /// Calls that came since last asked.
    pub fn take_arrivals(&mut self) -> Vec<Arrival> {
        std::mem::take(&mut self.arrivals)
    }

    /// Deliveries of the present connection that are not acknowledged.
    pub fn unsettled(&self) -> usize {
        self.deliveries.values().filter(|d| d.generation == self.generation).count()
    }

    /// Calls at work, of lost connections too.
    pub fn at_work(&self) -> usize {
        self.deliveries.values().filter(|d| d.answer.is_none()).count()
    }

    /// When [`Front::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let client = self.client.as_ref().and_then(Client::due);
        let waiting = match self.phase {
            Phase::Waiting(at) => Some(at),
            _ => None,
        };
        let again = self.again.values().min().copied();
        let confirm = self.oldest_unconfirmed().map(|at| at + self.config.confirm_timeout);
        let look = self.ages.iter().any(|a| a.is_unsure(self.asked_depth + LOOK, LOOK));
        let look = (look && self.phase == Phase::Ready).then_some(self.asked_depth + LOOK);
        [client, waiting, again, confirm, look].into_iter().flatten().min()
    }

    /// The socket holds nothing more: where the broker may send, its queues are empty.
    pub fn dry(&mut self, now: Micros) {
        if self.phase != Phase::Ready
            || self.window.as_ref().is_some_and(|w| !w.is_open(self.acks.unsettled()))
        {
            return;
        }
        for (age, from) in self.ages.iter_mut().zip(&self.config.consume) {
            if from.prefetch.is_none_or(|most| self.acks.unsettled() < usize::from(most)) {
                age.dry(now);
            }
        }
    }

    /// Asks for the depth of queues that were not seen empty for a while, and for a window that stands open.
    fn look(&mut self, now: Micros) {
        if self.phase != Phase::Ready || self.draining {
            return;
        }
        if now - self.asked_depth >= LOOK {
            self.asked_depth = now;
            for index in 0..self.ages.len() {
                if self.ages[index].is_unsure(now, LOOK) {
                    self.declare(index, true, false);
                }
            }
        }
        if let Some(count) = self.window.as_mut().and_then(|w| w.ask(self.acks.unsettled(), now)) {
            self.counters.windows += 1;
            self.qos(count, true);
        }
    }

    fn qos(&mut self, prefetch_count: u16, global: bool) {
        self.basic(basic::AMQPMethod::Qos(basic::Qos { prefetch_count, global }));
    }

    /// When the reply that waits longest for its confirm, or commit, was sent.
    fn oldest_unconfirmed(&self) -> Option<Micros> {
        // Replies are published in turn, so that the lowest number is the oldest.
        let reply = self.replies.values().next().and_then(|t| self.deliveries.get(t)?.published);
        reply.map(|r| r.1).or(self.committing.front().map(|c| c.0))
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

    /// Time passes: heartbeats, channels opened again, confirms that don't come.
    pub fn tick(&mut self, now: Micros) {
        if let Some(client) = self.client.as_mut() {
            client.tick(now);
        }
        if matches!(self.phase, Phase::Waiting(at) if at <= now) {
            self.open_channel();
        }
        let due: Vec<usize> = self.again.iter().filter(|(_, at)| **at <= now).map(|(i, _)| *i).collect();
        for index in due {
            self.again.remove(&index);
            self.consume(index, now);
        }
        self.look(now);
        if self.oldest_unconfirmed().is_some_and(|at| now - at >= self.config.confirm_timeout) {
            tracing::warn!("the broker confirms no replies; connection given up");
            if self.replies.pop_first().is_none() {
                self.committing.pop_front();
            }
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
            if !self.ages.iter().any(Age::is_doubted) {
                self.blind_from = now - blind;
            }
            self.asked_depth = now;
            for index in 0..self.ages.len() {
                self.ages[index].doubt();
                self.declare(index, true, false);
            }
        }
        if let Some(client) = self.client.as_mut() {
            client.receive(bytes, now);
        }
        self.events(now);
        self.look(now);
    }

    fn events(&mut self, now: Micros) {
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
                    self.phase = Phase::Waiting(now + self.backoff.pause());
                }
                ClientEvent::Blocked(blocked) => tracing::warn!(blocked, "broker takes no replies for now"),
                ClientEvent::Closed { code, text } => tracing::info!(code, text, "connection closed"),
                ClientEvent::Failed(fault) => tracing::warn!(%fault, "connection failed"),
            }
        }
    }

    fn open_channel(&mut self) {
        if let Some(number) = self.client.as_mut().and_then(Client::open_channel) {
            self.channel = number;
            self.generation += 1;
            self.phase = Phase::Setup;
        }
    }

    fn send(&mut self, method: AMQPClass) {
        let channel = self.channel;
        if let Some(client) = self.client.as_mut() {
            client.send(channel, method);
        }
    }

    fn basic(&mut self, method: basic::AMQPMethod) {
        self.send(AMQPClass::Basic(method));
    }

    fn take_method(&mut self, method: AMQPClass, now: Micros) {
        match method {
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(_)) => {
                if self.config.transactions {
                    self.send(AMQPClass::Tx(tx::AMQPMethod::Select(tx::Select {})));
                } else {
                    let select = confirm::Select { nowait: false };
                    self.send(AMQPClass::Confirm(confirm::AMQPMethod::Select(select)));
                }
                self.consuming = 0;
                self.ages.iter_mut().for_each(Age::restart);
                if !self.draining {
                    // A window over the whole channel, as one consumer's can't be changed while it stands.
                    let free = self.config.consume.iter().any(|c| c.prefetch.is_none());
                    self.window = free.then(|| Window::new(now));
                    if let Some(count) = self.window.as_ref().map(Window::asked) {
                        self.qos(count, true);
                    }
                    (0..self.config.consume.len()).for_each(|index| self.consume(index, now));
                }
            }
            AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(_)) => {
                self.consuming += 1;
                if self.consuming == self.config.consume.len() {
                    self.phase = Phase::Ready;
                    self.backoff.reset();
                    tracing::info!("consuming");
                }
            }
            AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)) => {
                let index = self.config.consume.iter().position(|c| c.queue == ok.queue.as_str());
                // Before the consumers stand, this one is not among those told.
                let own = u64::from(self.phase != Phase::Ready);
                if let Some(age) = index.and_then(|i| self.ages.get_mut(i)) {
                    age.depth(u64::from(ok.message_count), u64::from(ok.consumer_count) + own, now);
                }
            }
            AMQPClass::Tx(tx::AMQPMethod::CommitOk(_)) => {
                for ticket in self.committing.pop_front().map(|c| c.1).unwrap_or_default() {
                    let Some(delivery) = self.deliveries.remove(&ticket) else { continue };
                    self.counters.confirmed += 1;
                    if let Some(key) = &delivery.key {
                        self.memory.sent(key, Sent::Confirmed);
                    }
                }
            }
            AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel)) => {
                // The queue went away under us; it may be declared again.
                tracing::warn!(consumer = cancel.consumer_tag.as_str(), "consumer cancelled by the broker");
                let index = self.queue_of(cancel.consumer_tag.as_str());
                if let Some(index) = index.filter(|_| !self.draining) {
                    self.consuming = self.consuming.saturating_sub(1);
                    let pause = self.backoff.pause();
                    self.again.insert(index, now + pause);
                }
            }
            _ => {}
        }
    }

    fn tag(&self, index: usize) -> String {
        format!("{TAG}{index}")
    }

    /// The place of the queue whose consumer has this tag.
    fn queue_of(&self, tag: &str) -> Option<usize> {
        tag.strip_prefix(TAG)?.parse().ok().filter(|index| *index < self.config.consume.len())
    }

    /// Declares a queue, or only asks for its depth.
    fn declare(&mut self, index: usize, passive: bool, durable: bool) {
        let declare = queue::Declare {
            passive,
            durable,
            ..stagehoist_amqp::declare(&self.config.consume[index].queue)
        };
        self.send(AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
    }

    fn consume(&mut self, index: usize, now: Micros) {
        let Some(from) = self.config.consume.get(index).cloned() else { return };
        self.asked_depth = now;
        self.declare(index, from.declare.is_none(), from.declare.unwrap_or(false));
        self.qos(from.prefetch.unwrap_or(0), false);
        let consume = stagehoist_amqp::consume(&from.queue, &self.tag(index));
        self.basic(basic::AMQPMethod::Consume(consume));
    }

    fn reject(&mut self, tag: u64) {
        self.counters.rejected += 1;
        self.acks.remove(tag);
        self.open.1 |= self.config.transactions;
        self.basic(basic::AMQPMethod::Reject(basic::Reject { delivery_tag: tag, requeue: false }));
    }

    fn ack(&mut self, tag: u64) {
        self.open.1 |= self.config.transactions;
        self.acks.settle(tag);
    }

    fn take_delivery(&mut self, message: Message, now: Micros) {
        let AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)) = message.method else { return };
        self.counters.delivered += 1;
        self.acks.delivered(deliver.delivery_tag);
        if let Some(window) = self.window.as_mut() {
            window.delivered();
        }
        let queue = self.queue_of(deliver.consumer_tag.as_str()).unwrap_or(0);
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
        };
        let routing_key = deliver.routing_key.as_str();
        let asked = self.reader.read(properties, routing_key, message.size, waited);
        let known = asked.as_ref().ok().and_then(|a| CallFigures::configured(&self.config, &a.function));
        let effect = known.map_or(Effect::Safe, |k| self.config.classes[usize::from(k.0.class)].effect);
        let verdict = match &asked {
            // Too late is a matter of this delivery; what is known of the message still counts.
            Ok(_) | Err(Unusable::TooLate) => {
                self.memory.delivered(key.as_ref(), deliver.redelivered, effect, ticket, now)
            }
            Err(_) => Verdict::Run,
        };
        match verdict {
            Verdict::Join(at_work) => {
                self.counters.joined += 1;
                if let Some(old) = self.deliveries.get_mut(&at_work) {
                    (old.generation, old.tag) = (self.generation, tag);
                }
            }
            Verdict::Resend(answer) => {
                self.counters.from_memory += 1;
                self.deliveries.insert(ticket, Delivery { answer: Some(answer), ..delivery });
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
                self.deliveries.insert(ticket, delivery);
                self.answer(ticket, Answer::Failed { reason: "delivered-before" }, now);
            }
            Verdict::Run => {
                let correlation = delivery.correlation.clone();
                self.deliveries.insert(ticket, delivery);
                match asked {
                    Err(wrong) => {
                        self.counters.answered_unusable += 1;
                        tracing::info!(correlation = &*correlation, reason = wrong.reason(), %wrong, "not taken");
                        self.answer(ticket, Answer::Refused { reason: wrong.reason(), retry_after: 0 }, now);
                    }
                    Ok(asked) => {
                        match self.intake.admit((queue as u32, asked.tenant), message.size) {
                            Ok(held) => {
                                self.deliveries.entry(ticket).and_modify(|d| d.held = Some(held));
                            }
                            Err(why) => {
                                self.counters.turned_away += 1;
                                let retry_after = self.advice.retry_after(self.intake.calls());
                                let reason = why.reason();
                                return self.answer(ticket, Answer::Refused { reason, retry_after }, now);
                            }
                        }
                        let content_type = properties.content_type().as_ref().map(|c| c.as_str().to_string());
                        self.arrivals.push(Arrival {
                            ticket,
                            function: asked.function,
                            figures: known.map(|k| k.0),
                            tenant: asked.tenant,
                            budget: known.map_or(asked.budget, |k| asked.budget.min(k.1)),
                            // The driver may come to it later, after a stop above all; its time runs from here.
                            read: now,
                            repeat: deliver.redelivered,
                            // Whoever may publish to the queue is a caller.
                            known: true,
                            body: message.body,
                            content_type,
                            correlation,
                            generation: asked.generation,
                        });
                    }
                }
            }
        }
    }

    /// A call has its final answer.
    pub fn answer(&mut self, ticket: Ticket, answer: Answer, now: Micros) {
        let Some(delivery) = self.deliveries.get_mut(&ticket) else { return };
        if let Some(held) = delivery.held.take() {
            self.intake.release(held);
            self.advice.left(now);
        }
        if let Some(key) = &delivery.key {
            self.memory.answered(key, ticket, answer.clone(), Sent::Never);
        }
        if delivery.generation != self.generation || self.client.as_ref().is_none_or(|c| !c.is_open()) {
            // Its connection is lost: the broker delivers it again, here or elsewhere.
            self.deliveries.remove(&ticket);
            return;
        }
        delivery.answer = Some(answer);
        self.publish(ticket, now);
    }

    fn publish(&mut self, ticket: Ticket, now: Micros) {
        let Some(delivery) = self.deliveries.get_mut(&ticket) else { return };
        let (Some(answer), Some(client)) = (&delivery.answer, self.client.as_mut()) else { return };
        let (properties, body) = reply(answer, &delivery.correlation);
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
                    self.memory.sent(key, Sent::Never);
                }
                self.open.0.push(ticket);
                return self.ack(tag);
            }
            delivery.published = Some((seq, now));
            self.replies.insert(seq, ticket);
            if let Some(key) = &delivery.key {
                self.memory.sent(key, Sent::Doubtful);
            }
        }
    }

    fn take_confirm(&mut self, seq: u64, ok: bool, now: Micros) {
        let Some(ticket) = self.replies.remove(&seq) else { return };
        if !ok {
            let Some(delivery) = self.deliveries.get_mut(&ticket) else { return };
            delivery.nacks += 1;
            if delivery.nacks <= NACKS_MOST {
                return self.publish(ticket, now);
            }
        }
        let Some(delivery) = self.deliveries.remove(&ticket) else { return };
        if ok {
            self.counters.confirmed += 1;
            if let Some(key) = &delivery.key {
                self.memory.sent(key, Sent::Confirmed);
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

    /// The channel is gone: what was on it comes again. Calls at work go on.
    fn leave_channel(&mut self) {
        let channel = self.channel;
        for ticket in std::mem::take(&mut self.replies).into_values() {
            let Some(delivery) = self.deliveries.remove(&ticket) else { continue };
            let (Some(key), Some((seq, _))) = (&delivery.key, delivery.published) else { continue };
            let unsent = self.client.as_ref().is_some_and(|c| c.surely_unsent(channel, seq));
            self.memory.sent(key, if unsent { Sent::Never } else { Sent::Doubtful });
        }
        // Tags mean nothing on another channel.
        self.acks = Acks::default();
        let open = std::mem::take(&mut self.open).0;
        for ticket in std::mem::take(&mut self.committing).into_iter().flat_map(|c| c.1).chain(open) {
            self.deliveries.remove(&ticket);
        }
        self.generation += 1;
        self.again.clear();
        self.consuming = 0;
    }

    /// The connection is gone.
    pub fn lost(&mut self, _now: Micros) {
        if self.client.is_none() {
            return;
        }
        self.counters.connections_lost += 1;
        self.leave_channel();
        self.client = None;
        self.phase = Phase::Apart;
    }

    /// Take no more messages; what was delivered is answered.
    pub fn drain(&mut self) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        if !matches!(self.phase, Phase::Setup | Phase::Ready) {
            return;
        }
        for index in 0..self.config.consume.len() {
            let cancel = basic::Cancel { consumer_tag: short(&self.tag(index)), nowait: false };
            self.basic(basic::AMQPMethod::Cancel(cancel));
        }
    }

    /// Whether all that was delivered is answered and acknowledged, after [`Front::drain`].
    pub fn is_drained(&self) -> bool {
        self.draining && self.unsettled() == 0
    }

    /// Ends the connection in order.
    pub fn close(&mut self, now: Micros) {
        self.flush(now);
        if let Some(client) = self.client.as_mut() {
            client.close(200, "drained");
        }
    }
}
