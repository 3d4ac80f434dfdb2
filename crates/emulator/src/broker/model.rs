//! Exchanges, queues and messages of the stand-in broker: routing, expiry, dead letters. No connections here.

use bytes::Bytes;
use stagehoist_amqp::{header_int, AMQPValue, BasicProperties, FieldTable};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Microseconds of the caller's clock.
pub type Micros = i64;

/// Most messages that one queue holds; beyond it a publish is answered `basic.nack`, or dropped.
pub const QUEUE_MOST: usize = 200_000;
/// Most dead-letter hops of one message, against rings of queues.
const HOPS: u32 = 8;

/// A message as it lies in a queue.
#[derive(Clone, Debug)]
pub struct Stored {
    pub exchange: String,
    pub key: String,
    pub properties: BasicProperties,
    pub body: Bytes,
    pub redelivered: bool,
    pub expires: Option<Micros>,
    pub hops: u32,
}

impl Stored {
    fn persistent(&self) -> bool {
        *self.properties.delivery_mode() == Some(2)
    }
}

/// The kinds of exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Direct,
    Fanout,
    Topic,
    Headers,
}

impl Kind {
    /// The kind of that name.
    pub fn named(name: &str) -> Option<Kind> {
        Some(match name {
            "direct" => Kind::Direct,
            "fanout" => Kind::Fanout,
            "topic" => Kind::Topic,
            "headers" => Kind::Headers,
            _ => return None,
        })
    }
}

/// Where a binding leads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    Queue(String),
    Exchange(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Binding {
    pub target: Target,
    pub key: String,
    pub arguments: FieldTable,
}

#[derive(Clone, Debug)]
pub struct Exchange {
    pub kind: Kind,
    pub durable: bool,
    pub auto_delete: bool,
    pub internal: bool,
    pub bindings: Vec<Binding>,
    pub alternate: Option<String>,
    pub bound_once: bool,
}

/// A consumer by its connection, channel and tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsumerRef {
    pub connection: u64,
    pub channel: u16,
    pub tag: String,
}

#[derive(Clone, Debug, Default)]
pub struct Queue {
    pub durable: bool,
    pub owner: Option<u64>,
    pub auto_delete: bool,
    pub arguments: FieldTable,
    pub ttl: Option<Micros>,
    pub unused_ttl: Option<Micros>,
    pub used: Micros,
    pub dead_exchange: Option<String>,
    pub dead_key: Option<String>,
    pub max_length: Option<usize>,
    pub messages: VecDeque<Stored>,
    pub consumers: VecDeque<ConsumerRef>,
    pub exclusive_consumer: bool,
}

/// All that stands in the broker, by name.
#[derive(Debug, Default)]
pub struct Model {
    pub exchanges: BTreeMap<String, Exchange>,
    pub queues: BTreeMap<String, Queue>,
    /// Queues that got messages or credit since the last pump.
    pub touched: BTreeSet<String>,
    /// Messages dropped for a full queue, or for too many dead-letter hops.
    pub dropped: u64,
}

fn text_argument(arguments: &FieldTable, key: &str) -> Option<String> {
    stagehoist_amqp::header_text(arguments, key)
}

/// The queue arguments that the broker knows; a bad one is named in the error.
pub fn read_arguments(queue: &mut Queue, arguments: &FieldTable) -> Result<(), String> {
    let number = |key: &str| match arguments.inner().get(key) {
        None => Ok(None),
        Some(value) => match header_int(value) {
            Some(n) if n >= 0 => Ok(Some(n)),
            _ => Err(format!("invalid arg '{key}': a number not below 0 expected, got {value:?}")),
        },
    };
    queue.ttl = number("x-message-ttl")?.map(|ms| ms * 1000);
    queue.unused_ttl = number("x-expires")?.map(|ms| ms * 1000);
    queue.max_length = number("x-max-length")?.map(|n| n as usize);
    queue.dead_exchange = text_argument(arguments, "x-dead-letter-exchange");
    queue.dead_key = text_argument(arguments, "x-dead-letter-routing-key");
    queue.arguments = arguments.clone();
    Ok(())
}

impl Model {
    /// The exchanges that every broker of this protocol declares by itself (specification 3.1.3).
    pub fn new() -> Model {
        let mut model = Model::default();
        for (name, kind) in [
            ("", Kind::Direct),
            ("amq.direct", Kind::Direct),
            ("amq.fanout", Kind::Fanout),
            ("amq.topic", Kind::Topic),
            ("amq.headers", Kind::Headers),
            ("amq.match", Kind::Headers),
        ] {
            let (durable, auto_delete, internal, bound_once) = (true, false, false, false);
            let (bindings, alternate) = (Vec::new(), None);
            let exchange = Exchange { kind, durable, auto_delete, internal, bindings, alternate, bound_once };
            model.exchanges.insert(name.to_string(), exchange);
        }
        model
    }

    /// Forgets what a restart of the broker's process forgets: all, or all but durable queues and exchanges with
    /// their persistent messages.
    pub fn restart(&mut self, keep_durable: bool) {
        let fresh = Model::new();
        if !keep_durable {
            *self = fresh;
            return;
        }
        self.exchanges.retain(|name, e| e.durable || fresh.exchanges.contains_key(name));
        self.queues.retain(|_, q| q.durable && q.owner.is_none());
        for queue in self.queues.values_mut() {
            queue.messages.retain(Stored::persistent);
            queue.messages.iter_mut().for_each(|m| m.redelivered = true);
            queue.consumers.clear();
            queue.exclusive_consumer = false;
        }
        let queues: BTreeSet<String> = self.queues.keys().cloned().collect();
        let exchanges: BTreeSet<String> = self.exchanges.keys().cloned().collect();
        for exchange in self.exchanges.values_mut() {
            exchange.bindings.retain(|b| match &b.target {
                Target::Queue(q) => queues.contains(q),
                Target::Exchange(e) => exchanges.contains(e),
            });
        }
    }

    /// The queues that a message reaches (specification 3.1.3), through exchange bindings and alternates.
    pub fn route(&self, exchange: &str, key: &str, headers: Option<&FieldTable>) -> BTreeSet<String> {
        let mut queues = BTreeSet::new();
        let mut seen = BTreeSet::new();
        let mut todo = vec![exchange.to_string()];
        while let Some(name) = todo.pop() {
            if !seen.insert(name.clone()) {
                continue;
            }
            if name.is_empty() {
                if self.queues.contains_key(key) {
                    queues.insert(key.to_string());
                }
                continue;
            }
            let Some(exchange) = self.exchanges.get(&name) else { continue };
            let mut any = false;
            for binding in exchange.bindings.iter().filter(|b| matches(exchange.kind, b, key, headers)) {
                any = true;
                match &binding.target {
                    Target::Queue(queue) => drop(queues.insert(queue.clone())),
                    Target::Exchange(next) => todo.push(next.clone()),
                }
            }
            if !any {
                todo.extend(exchange.alternate.clone());
            }
        }
        queues
    }

    /// Puts a message into a queue, its time to live counted from now. False where the queue is full.
    pub fn enqueue(&mut self, name: &str, mut message: Stored, now: Micros) -> bool {
        let Some(queue) = self.queues.get_mut(name) else { return false };
        if queue.messages.len() >= QUEUE_MOST {
            self.dropped += 1;
            return false;
        }
        let own = message.properties.expiration().as_ref();
        let own = own.and_then(|e| e.as_str().parse::<i64>().ok()).map(|ms| ms * 1000);
        let ttl = match (queue.ttl, own) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        message.expires = ttl.map(|ttl| now + ttl);
        queue.messages.push_back(message);
        let over = queue.max_length.filter(|&most| queue.messages.len() > most).is_some();
        let oldest = if over { queue.messages.pop_front() } else { None };
        self.touched.insert(name.to_string());
        if let Some(oldest) = oldest {
            self.dead_letter(name, oldest, "maxlen", now);
        }
        true
    }

    /// Puts a message that was not acknowledged back to the front of its queue, marked as redelivered.
    pub fn requeue(&mut self, name: &str, mut message: Stored) {
        message.redelivered = true;
        if let Some(queue) = self.queues.get_mut(name) {
            queue.messages.push_front(message);
            self.touched.insert(name.to_string());
        }
    }

    /// Sends a message that a queue gives up to its dead-letter exchange, with the reason in `x-first-death-reason`
    /// and `x-first-death-queue`.
    pub fn dead_letter(&mut self, from: &str, mut message: Stored, reason: &str, now: Micros) {
        let Some(queue) = self.queues.get(from) else { return };
        let Some(exchange) = queue.dead_exchange.clone() else { return };
        let key = queue.dead_key.clone().unwrap_or_else(|| message.key.clone());
        message.hops += 1;
        if message.hops > HOPS {
            self.dropped += 1;
            return;
        }
        let mut headers = message.properties.headers().clone().unwrap_or_default();
        if !headers.contains_key("x-first-death-reason") {
            headers.insert("x-first-death-reason".into(), stagehoist_amqp::long(reason));
            headers.insert("x-first-death-queue".into(), stagehoist_amqp::long(from));
            headers.insert("x-first-death-exchange".into(), stagehoist_amqp::long(message.exchange.clone()));
        }
        message.properties = message.properties.with_headers(headers);
        if reason == "expired" {
            message.properties = without_expiration(&message.properties);
        }
        (message.exchange, message.key, message.redelivered) = (exchange.clone(), key.clone(), false);
        for queue in self.route(&exchange, &key, message.properties.headers().as_ref()) {
            self.enqueue(&queue, message.clone(), now);
        }
    }

    /// Gives up messages whose time is over, wherever they lie in their queue, and queues long unused.
    pub fn expire(&mut self, now: Micros) {
        let mut over: Vec<(String, Stored)> = Vec::new();
        for (name, queue) in &mut self.queues {
            let due = |m: &Stored| m.expires.is_some_and(|t| t <= now);
            if !queue.messages.iter().any(due) {
                continue;
            }
            for message in std::mem::take(&mut queue.messages) {
                if due(&message) {
                    over.push((name.clone(), message));
                } else {
                    queue.messages.push_back(message);
                }
            }
        }
        for (name, message) in over {
            self.dead_letter(&name, message, "expired", now);
        }
        let unused =
            |q: &Queue| q.consumers.is_empty() && q.unused_ttl.is_some_and(|ttl| now - q.used >= ttl);
        let names: Vec<String> =
            self.queues.iter().filter(|(_, q)| unused(q)).map(|(n, _)| n.clone()).collect();
        names.iter().for_each(|name| self.delete_queue(name));
    }

    /// Deletes a queue and its bindings; auto-delete exchanges left without any go too.
    pub fn delete_queue(&mut self, name: &str) {
        self.queues.remove(name);
        self.unbind_target(&Target::Queue(name.to_string()));
    }

    /// Removes all bindings that lead to a target.
    pub fn unbind_target(&mut self, target: &Target) {
        self.exchanges.values_mut().for_each(|e| e.bindings.retain(|b| b.target != *target));
        self.drop_unbound();
    }

    /// Deletes auto-delete exchanges that were bound once and are no more.
    pub fn drop_unbound(&mut self) {
        while let Some(name) = self
            .exchanges
            .iter()
            .find(|(_, e)| e.auto_delete && e.bound_once && e.bindings.is_empty())
            .map(|(name, _)| name.clone())
        {
            self.exchanges.remove(&name);
            let target = Target::Exchange(name);
            self.exchanges.values_mut().for_each(|e| e.bindings.retain(|b| b.target != target));
        }
    }
}

fn without_expiration(old: &BasicProperties) -> BasicProperties {
    let mut new = BasicProperties::default();
    macro_rules! keep {
        ($($get:ident $set:ident),*) => { $(if let Some(v) = old.$get().clone() { new = new.$set(v); })* };
    }
    keep!(
        content_type with_content_type, content_encoding with_content_encoding, headers with_headers,
        delivery_mode with_delivery_mode, priority with_priority, correlation_id with_correlation_id,
        reply_to with_reply_to, message_id with_message_id, timestamp with_timestamp, kind with_type,
        user_id with_user_id, app_id with_app_id
    );
    new
}

fn matches(kind: Kind, binding: &Binding, key: &str, headers: Option<&FieldTable>) -> bool {
    match kind {
        Kind::Direct => binding.key == key,
        Kind::Fanout => true,
        Kind::Topic => {
            let pattern: Vec<&str> = binding.key.split('.').collect();
            let words: Vec<&str> = key.split('.').collect();
            topic_matches(&pattern, &words)
        }
        Kind::Headers => headers_match(&binding.arguments, headers),
    }
}

/// `*` stands for one word, `#` for any number of them (specification 3.1.3.3).
pub fn topic_matches(pattern: &[&str], words: &[&str]) -> bool {
    // reach[j]: the pattern so far matches the first j words.
    let mut reach = vec![false; words.len() + 1];
    reach[0] = true;
    for part in pattern {
        let mut next = vec![false; words.len() + 1];
        match *part {
            "#" => {
                let mut any = false;
                for (j, slot) in next.iter_mut().enumerate() {
                    any |= reach[j];
                    *slot = any;
                }
            }
            part => {
                for (j, word) in words.iter().enumerate() {
                    next[j + 1] = reach[j] && (part == "*" || part == *word);
                }
            }
        }
        reach = next;
    }
    reach[words.len()]
}

/// `x-match`: `all` (the default) or `any`; other arguments that begin with `x-` don't take part (3.1.3.4).
fn headers_match(arguments: &FieldTable, headers: Option<&FieldTable>) -> bool {
    let any = text_argument(arguments, "x-match").is_some_and(|m| m == "any");
    let wanted = arguments.inner().iter().filter(|(key, _)| !key.as_str().starts_with("x-"));
    let mut hits = wanted.map(|(key, value)| {
        let have = headers.and_then(|h| h.inner().get(key));
        have.is_some_and(|have| *value == AMQPValue::Void || same(have, value))
    });
    if any {
        hits.any(|hit| hit)
    } else {
        hits.all(|hit| hit)
    }
}

fn same(a: &AMQPValue, b: &AMQPValue) -> bool {
    match (header_int(a), header_int(b)) {
        (Some(a), Some(b)) => a == b,
        _ => a == b,
    }
}

/// The alternate exchange that a declaration names.
pub fn alternate(arguments: &FieldTable) -> Option<String> {
    text_argument(arguments, "alternate-exchange")
}
