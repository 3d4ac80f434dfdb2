//! A stand-in AMQP 0-9-1 broker that any client of the protocol can use unaware. The state machine is here and in
//! `methods`: bytes and the time go in, bytes come out; `server` puts it on a socket, `model` holds what stands.

mod methods;
mod model;
mod server;

pub use model::{topic_matches, Kind, Micros, Model};
pub use server::{serve, Faults, Handle};

use bytes::BytesMut;
use model::{ConsumerRef, Stored};
use stagehoist_amqp::codec::{put_content, put_heartbeat, put_method, Decoder, Frame, PROTOCOL_HEADER};
use stagehoist_amqp::content::{Assembler, Item};
use stagehoist_amqp::error::{reply, Fault};
use stagehoist_amqp::{basic, channel, connection, long, short};
use stagehoist_amqp::{AMQPClass, AMQPValue, FieldTable};
use std::collections::{BTreeMap, BTreeSet};

/// Largest frame offered, in bytes.
pub const FRAME_MAX: u32 = 131_072;
/// Largest message body taken, in bytes; more is answered 311 CONTENT_TOO_LARGE.
pub const BODY_MAX: usize = 16 << 20;
/// The pseudo-queue of direct reply-to.
pub const REPLY_QUEUE: &str = "amq.rabbitmq.reply-to";
const CHANNEL_MAX: u16 = 2047;

/// What the broker asks of clients.
#[derive(Clone, Debug)]
pub struct BrokerOptions {
    /// User and password taken; every other is refused.
    pub user: String,
    pub password: String,
    /// Mechanisms offered, of `PLAIN` and `AMQPLAIN`.
    pub mechanisms: String,
    /// Virtual host that may be opened.
    pub vhost: String,
    /// Heartbeat interval offered, in seconds.
    pub heartbeat: u16,
    /// Unix time in microseconds at the zero of the broker's clock: messages are stamped with the header `timestamp_in_ms`
    /// when they are taken, as RabbitMQ's message interceptors do. None: not stamped.
    pub stamp_from: Option<Micros>,
}

impl Default for BrokerOptions {
    fn default() -> BrokerOptions {
        BrokerOptions {
            user: "guest".into(),
            password: "guest".into(),
            mechanisms: "PLAIN AMQPLAIN".into(),
            vhost: "/".into(),
            heartbeat: 60,
            stamp_from: None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Header,
    StartOk,
    TuneOk,
    Open,
    Running,
    /// We sent `connection.close`; only its answer counts.
    Closing,
    Over,
}

#[derive(Debug, Default)]
struct Transaction {
    publishes: Vec<stagehoist_amqp::Message>,
    settles: Vec<(u64, bool, methods::Settlement)>,
}

/// A delivery that waits for its acknowledgement.
#[derive(Debug)]
struct Unacked {
    queue: String,
    tag: String,
    message: Stored,
}

#[derive(Debug, Default)]
struct Consumer {
    queue: String,
    no_ack: bool,
    prefetch: u16,
    out: usize,
}

#[derive(Debug, Default)]
struct Channel {
    assembler: Assembler,
    /// Number of the last publish, in confirm mode.
    confirms: Option<u64>,
    /// Publishes and acknowledgements that wait for `tx.commit`, in transaction mode.
    tx: Option<Transaction>,
    /// Prefetch for new consumers, and for the channel as a whole.
    prefetch: u16,
    prefetch_all: u16,
    unacked: BTreeMap<u64, Unacked>,
    last_tag: u64,
    consumers: BTreeMap<String, Consumer>,
    /// Consumer of direct replies: its tag.
    direct: Option<String>,
    /// The client stopped the flow of deliveries.
    stopped: bool,
    /// We sent `channel.close`; frames are passed over until its answer.
    closing: bool,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    decoder: Decoder,
    output: BytesMut,
    channels: BTreeMap<u16, Channel>,
    frame_max: u32,
    heartbeat: Micros,
    received_at: Micros,
    spoke: Micros,
    /// The client takes `basic.cancel` from us.
    cancel_notify: bool,
    blocked_notify: bool,
    /// Cut the connection when the next publish comes: before it is routed, or after and before its confirm.
    disconnect: Option<Disconnect>,
}

/// Where a connection is cut in the middle of a publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// The publish's frames came, nothing was routed.
    BeforeRouting,
    /// The message was routed, the confirm was not sent.
    BeforeConfirm,
    /// Half of the next delivery's bytes are sent.
    MidDelivery,
}

/// Counts for ledgers and tests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BrokerStats {
    pub published: u64,
    pub routed: u64,
    pub returned: u64,
    pub delivered: u64,
    pub redelivered: u64,
    pub acked: u64,
    pub connections: u64,
    pub cut: u64,
}

/// The broker: everything but sockets and clocks.
#[derive(Debug)]
pub struct Broker {
    options: BrokerOptions,
    model: Model,
    connections: BTreeMap<u64, Connection>,
    next_connection: u64,
    next_name: u64,
    /// Connections with bytes to write or that are over, since last asked.
    dirty: BTreeSet<u64>,
    pub stats: BrokerStats,
}

impl Broker {
    /// An empty broker.
    pub fn new(options: BrokerOptions) -> Broker {
        Broker {
            options,
            model: Model::new(),
            connections: BTreeMap::new(),
            next_connection: 1,
            next_name: 1,
            dirty: BTreeSet::new(),
            stats: BrokerStats::default(),
        }
    }

    /// A socket was accepted; the number stands for it from here on.
    pub fn connect(&mut self, now: Micros) -> u64 {
        let number = self.next_connection;
        self.next_connection += 1;
        self.stats.connections += 1;
        let connection = Connection {
            phase: Phase::Header,
            decoder: Decoder::server(),
            output: BytesMut::new(),
            channels: BTreeMap::new(),
            frame_max: FRAME_MAX,
            heartbeat: 0,
            received_at: now,
            spoke: now,
            cancel_notify: false,
            blocked_notify: false,
            disconnect: None,
        };
        self.connections.insert(number, connection);
        number
    }

    /// The socket is gone: what it held goes back to its queues, what was its own is deleted.
    pub fn disconnect(&mut self, number: u64, now: Micros) {
        let Some(connection) = self.connections.remove(&number) else { return };
        let channels: Vec<u16> = connection.channels.keys().copied().collect();
        let mut connection = connection;
        for id in channels {
            if let Some(channel) = connection.channels.remove(&id) {
                self.release_channel(number, id, channel, now);
            }
        }
        let own: Vec<String> = self
            .model
            .queues
            .iter()
            .filter(|(_, q)| q.owner == Some(number))
            .map(|(name, _)| name.clone())
            .collect();
        own.iter().for_each(|name| self.remove_queue(name));
        self.pump(now);
    }

    /// The numbers of the live connections, oldest first.
    pub fn live(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }

    /// Connections that consume from a queue.
    pub fn consumers_of(&self, queue: &str) -> BTreeSet<u64> {
        self.model
            .queues
            .get(queue)
            .into_iter()
            .flat_map(|q| q.consumers.iter().map(|c| c.connection))
            .collect()
    }

    /// Messages that lie ready in a queue; None where there is no such queue.
    pub fn depth(&self, queue: &str) -> Option<usize> {
        self.model.queues.get(queue).map(|q| q.messages.len())
    }

    /// Cuts a connection at the next publish or delivery.
    pub fn arm_disconnect(&mut self, number: u64, cut: Disconnect) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.disconnect = Some(cut);
        }
    }

    /// Tells all clients that publishes are not taken for now, as a broker short of memory or disk does.
    pub fn set_blocked(&mut self, blocked: bool) {
        for (number, connection) in &mut self.connections {
            if connection.phase != Phase::Running || !connection.blocked_notify {
                continue;
            }
            let method = if blocked {
                connection::AMQPMethod::Blocked(connection::Blocked { reason: short("low on memory") })
            } else {
                connection::AMQPMethod::Unblocked(connection::Unblocked {})
            };
            put_method(&mut connection.output, 0, AMQPClass::Connection(method));
            self.dirty.insert(*number);
        }
    }

    /// Stops or starts the flow of content from every client on every channel.
    pub fn set_flow(&mut self, active: bool) {
        for (number, connection) in &mut self.connections {
            for id in connection.channels.keys() {
                let flow = channel::AMQPMethod::Flow(channel::Flow { active });
                put_method(&mut connection.output, *id, AMQPClass::Channel(flow));
                self.dirty.insert(*number);
            }
        }
    }

    /// Ends every connection and forgets what a restart forgets.
    pub fn restart(&mut self, keep_durable: bool, now: Micros) {
        for number in self.live() {
            self.disconnect(number, now);
            self.dirty.insert(number);
        }
        self.model.restart(keep_durable);
    }

    /// Connections with news since the last call.
    pub fn take_dirty(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.dirty)
    }

    /// Bytes to write on a connection; None once it is to be closed at once and without a word.
    pub fn take_output(&mut self, number: u64) -> Option<BytesMut> {
        let connection = self.connections.get_mut(&number)?;
        Some(connection.output.split())
    }

    /// Whether a connection is over once its output is written.
    pub fn is_over(&self, number: u64) -> bool {
        self.connections.get(&number).is_none_or(|c| c.phase == Phase::Over)
    }

    /// Expiry, heartbeats and silence; called some times a second.
    pub fn tick(&mut self, now: Micros) {
        self.model.expire(now);
        self.pump(now);
        let mut silent = Vec::new();
        for (number, connection) in &mut self.connections {
            if connection.heartbeat == 0 {
                continue;
            }
            if now - connection.received_at >= 2 * connection.heartbeat {
                silent.push(*number);
            } else if now - connection.spoke >= connection.heartbeat / 2 {
                connection.spoke = now;
                put_heartbeat(&mut connection.output);
                self.dirty.insert(*number);
            }
        }
        for number in silent {
            self.disconnect(number, now);
            self.dirty.insert(number);
        }
    }

    /// Bytes came on a connection.
    pub fn receive(&mut self, number: u64, bytes: &[u8], now: Micros) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.received_at = now;
        connection.decoder.push(bytes);
        loop {
            let Some(connection) = self.connections.get_mut(&number) else { return };
            if connection.phase == Phase::Over {
                break;
            }
            let step = if connection.phase == Phase::Header {
                match connection.decoder.take_protocol_header() {
                    Ok(true) => {
                        self.start(number);
                        Ok(true)
                    }
                    other => other,
                }
            } else {
                match connection.decoder.next_frame() {
                    Ok(Some(frame)) => {
                        let taken = self.take_frame(number, frame, now).map(|()| true);
                        // After each frame, so that what a client hears does not hang on how its bytes were cut.
                        self.pump(now);
                        taken
                    }
                    Ok(None) => Ok(false),
                    Err(fault) => Err(fault),
                }
            };
            match step {
                Ok(true) => {}
                Ok(false) => break,
                Err(fault) => self.fail(number, fault, now),
            }
        }
        self.dirty.insert(number);
        self.pump(now);
    }

    fn start(&mut self, number: u64) {
        let mut can = FieldTable::default();
        for name in [
            "publisher_confirms",
            "exchange_exchange_bindings",
            "basic.nack",
            "consumer_cancel_notify",
            "connection.blocked",
            "authentication_failure_close",
            "per_consumer_qos",
            "direct_reply_to",
        ] {
            can.insert(short(name), AMQPValue::Boolean(true));
        }
        let mut server_properties = FieldTable::default();
        server_properties.insert(short("product"), long("stagehoist stand-in broker"));
        server_properties.insert(short("version"), long(env!("CARGO_PKG_VERSION")));
        server_properties.insert(short("capabilities"), AMQPValue::FieldTable(can));
        let start = connection::Start {
            version_major: 0,
            version_minor: 9,
            server_properties,
            mechanisms: self.options.mechanisms.clone().into(),
            locales: "en_US".into(),
        };
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.phase = Phase::StartOk;
        }
        self.send(number, 0, AMQPClass::Connection(connection::AMQPMethod::Start(start)));
    }

    fn send(&mut self, number: u64, channel: u16, method: AMQPClass) {
        if let Some(connection) = self.connections.get_mut(&number) {
            put_method(&mut connection.output, channel, method);
            self.dirty.insert(number);
        }
    }

    /// Answers a breach as the specification wants it: the right protocol header, a channel closed, or the
    /// connection closed with the code.
    fn fail(&mut self, number: u64, fault: Fault, now: Micros) {
        tracing::info!(connection = number, %fault, "broker: fault");
        match fault {
            Fault::ProtocolHeader(_) => {
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.output.extend_from_slice(&PROTOCOL_HEADER);
                    connection.phase = Phase::Over;
                }
            }
            Fault::Channel { channel: id, code, text, class, method } => {
                let close = channel::Close {
                    reply_code: code,
                    reply_text: short(&text),
                    class_id: class,
                    method_id: method,
                };
                self.send(number, id, AMQPClass::Channel(channel::AMQPMethod::Close(close)));
                let taken = self
                    .connections
                    .get_mut(&number)
                    .and_then(|c| c.channels.insert(id, Channel { closing: true, ..Channel::default() }));
                if let Some(channel) = taken {
                    self.release_channel(number, id, channel, now);
                }
            }
            Fault::Connection { code, text, class, method } => {
                let close = connection::Close {
                    reply_code: code,
                    reply_text: short(&text),
                    class_id: class,
                    method_id: method,
                };
                self.send(number, 0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
                if let Some(connection) = self.connections.get_mut(&number) {
                    // A stream that can't be cut into frames can't bring the answer either.
                    let lost = code == reply::FRAME_ERROR;
                    connection.phase = if lost { Phase::Over } else { Phase::Closing };
                }
            }
            Fault::Silent(_) => {
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.phase = Phase::Over;
                }
            }
        }
    }

    fn take_frame(&mut self, number: u64, frame: Frame, now: Micros) -> Result<(), Fault> {
        let Some(connection) = self.connections.get_mut(&number) else { return Ok(()) };
        let id = frame.channel();
        match frame {
            Frame::Heartbeat => Ok(()),
            Frame::Method(0, AMQPClass::Connection(method)) => self.take_connection(number, method, now),
            Frame::Method(0, other) => Err(Fault::connection(
                reply::CHANNEL_ERROR,
                "method on channel 0",
                stagehoist_amqp::codec::ids(&other),
            )),
            _ if connection.phase == Phase::Closing => Ok(()),
            frame if connection.phase != Phase::Running => {
                let ids = match &frame {
                    Frame::Method(_, m) => stagehoist_amqp::codec::ids(m),
                    _ => (0, 0),
                };
                Err(Fault::connection(reply::COMMAND_INVALID, "connection is not open yet", ids))
            }
            Frame::Method(_, AMQPClass::Connection(method)) => {
                let ids = stagehoist_amqp::codec::ids(&AMQPClass::Connection(method));
                Err(Fault::connection(reply::COMMAND_INVALID, "connection method on a channel", ids))
            }
            Frame::Method(_, AMQPClass::Channel(channel::AMQPMethod::Open(_))) => {
                if id > CHANNEL_MAX || connection.channels.contains_key(&id) {
                    let text = format!("channel {id} is open already or over the limit of {CHANNEL_MAX}");
                    return Err(Fault::connection(reply::CHANNEL_ERROR, text, (20, 10)));
                }
                connection.channels.insert(id, Channel::default());
                let ok = channel::AMQPMethod::OpenOk(channel::OpenOk {});
                self.send(number, id, AMQPClass::Channel(ok));
                Ok(())
            }
            frame => {
                let Some(channel) = connection.channels.get_mut(&id) else {
                    let text = format!("channel {id} is not open");
                    return Err(Fault::connection(reply::CHANNEL_ERROR, text, (20, 40)));
                };
                if channel.closing {
                    if matches!(frame, Frame::Method(_, AMQPClass::Channel(channel::AMQPMethod::CloseOk(_))))
                    {
                        connection.channels.remove(&id);
                    }
                    return Ok(());
                }
                match channel.assembler.take(frame, BODY_MAX)? {
                    Item::More => Ok(()),
                    Item::Method(method) => self.take_method(number, id, method, now),
                    Item::Message(message) => self.take_publish(number, id, *message, now),
                }
            }
        }
    }

    fn take_connection(
        &mut self,
        number: u64,
        method: connection::AMQPMethod,
        now: Micros,
    ) -> Result<(), Fault> {
        use connection::AMQPMethod as M;
        let Some(connection) = self.connections.get_mut(&number) else { return Ok(()) };
        match (connection.phase, method) {
            (Phase::StartOk, M::StartOk(ok)) => {
                if let Some(AMQPValue::FieldTable(can)) = ok.client_properties.inner().get("capabilities") {
                    let has = |key: &str| can.inner().get(key) == Some(&AMQPValue::Boolean(true));
                    connection.cancel_notify = has("consumer_cancel_notify");
                    connection.blocked_notify = has("connection.blocked");
                }
                if !self.may_log_in(ok.mechanism.as_str(), ok.response.as_bytes()) {
                    let text = "ACCESS_REFUSED - login was refused";
                    return Err(Fault::connection(reply::ACCESS_REFUSED, text, (10, 11)));
                }
                let heartbeat = self.options.heartbeat;
                let tune = connection::Tune { channel_max: CHANNEL_MAX, frame_max: FRAME_MAX, heartbeat };
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.phase = Phase::TuneOk;
                }
                self.send(number, 0, AMQPClass::Connection(M::Tune(tune)));
                Ok(())
            }
            (Phase::TuneOk, M::TuneOk(ok)) => {
                let over = ok.frame_max > FRAME_MAX || (ok.frame_max != 0 && ok.frame_max < 4096);
                if over || ok.channel_max > CHANNEL_MAX {
                    let text = format!("tuned to frames of {} and {} channels", ok.frame_max, ok.channel_max);
                    return Err(Fault::connection(reply::NOT_ALLOWED, text, (10, 31)));
                }
                connection.frame_max = if ok.frame_max == 0 { FRAME_MAX } else { ok.frame_max };
                connection.decoder.set_frame_max(connection.frame_max);
                connection.heartbeat = Micros::from(ok.heartbeat) * 1_000_000;
                connection.phase = Phase::Open;
                Ok(())
            }
            (Phase::Open, M::Open(open)) => {
                if open.virtual_host.as_str() != self.options.vhost {
                    let text = format!("NOT_ALLOWED - vhost {} not found", open.virtual_host);
                    return Err(Fault::connection(reply::NOT_ALLOWED, text, (10, 40)));
                }
                connection.phase = Phase::Running;
                self.send(number, 0, AMQPClass::Connection(M::OpenOk(connection::OpenOk {})));
                Ok(())
            }
            (_, M::Close(_)) => {
                self.send(number, 0, AMQPClass::Connection(M::CloseOk(connection::CloseOk {})));
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.phase = Phase::Over;
                    let channels = std::mem::take(&mut connection.channels);
                    for (id, channel) in channels {
                        self.release_channel(number, id, channel, now);
                    }
                }
                Ok(())
            }
            (Phase::Closing, M::CloseOk(_)) => {
                connection.phase = Phase::Over;
                Ok(())
            }
            (Phase::Closing, _) => Ok(()),
            (phase, other) => {
                let ids = stagehoist_amqp::codec::ids(&AMQPClass::Connection(other));
                let text = format!("unexpected connection method while {phase:?}");
                Err(Fault::connection(reply::COMMAND_INVALID, text, ids))
            }
        }
    }

    fn may_log_in(&self, mechanism: &str, response: &[u8]) -> bool {
        if !self.options.mechanisms.split(' ').any(|m| m == mechanism) {
            return false;
        }
        let (user, password) = (self.options.user.as_bytes(), self.options.password.as_bytes());
        if mechanism == "PLAIN" {
            let mut parts = response.split(|&b| b == 0).skip(1);
            return parts.next() == Some(user) && parts.next() == Some(password);
        }
        let field = |key: &[u8]| {
            let at = response.windows(key.len()).position(|w| w == key)? + key.len();
            let size = response.get(at + 1..at + 5)?;
            let size = u32::from_be_bytes([size[0], size[1], size[2], size[3]]) as usize;
            response.get(at + 5..at + 5 + size)
        };
        field(b"LOGIN") == Some(user) && field(b"PASSWORD") == Some(password)
    }

    /// Gives ready messages to consumers that have credit, in turn, until none fits any more.
    fn pump(&mut self, now: Micros) {
        while let Some(name) = self.model.touched.pop_first() {
            while self.deliver_one(&name, now) {}
        }
    }

    fn deliver_one(&mut self, name: &str, now: Micros) -> bool {
        let Some(queue) = self.model.queues.get_mut(name) else { return false };
        if queue.messages.front().is_some_and(|m| m.expires.is_some_and(|t| t <= now)) {
            if let Some(message) = queue.messages.pop_front() {
                self.model.dead_letter(name, message, "expired", now);
            }
            return true;
        }
        if queue.messages.is_empty() {
            return false;
        }
        for _ in 0..queue.consumers.len() {
            let Some(consumer) = queue.consumers.pop_front() else { return false };
            queue.consumers.push_back(consumer.clone());
            if !has_credit(&self.connections, &consumer) {
                continue;
            }
            let Some(message) = queue.messages.pop_front() else { return false };
            queue.used = now;
            self.deliver(name, &consumer, message, now);
            return true;
        }
        false
    }

    fn deliver(&mut self, queue: &str, to: &ConsumerRef, message: Stored, now: Micros) {
        let Some(connection) = self.connections.get_mut(&to.connection) else { return };
        let frame_max = connection.frame_max;
        let Some(channel) = connection.channels.get_mut(&to.channel) else { return };
        channel.last_tag += 1;
        let deliver = basic::Deliver {
            consumer_tag: short(&to.tag),
            delivery_tag: channel.last_tag,
            redelivered: message.redelivered,
            exchange: short(&message.exchange),
            routing_key: short(&message.key),
        };
        self.stats.delivered += 1;
        self.stats.redelivered += u64::from(message.redelivered);
        let before = connection.output.len();
        put_method(&mut connection.output, to.channel, AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)));
        put_content(&mut connection.output, to.channel, &message.properties, &message.body, frame_max);
        if let Some(consumer) = channel.consumers.get_mut(&to.tag) {
            if !consumer.no_ack {
                consumer.out += 1;
                let unacked = Unacked { queue: queue.to_string(), tag: to.tag.clone(), message };
                channel.unacked.insert(channel.last_tag, unacked);
            }
        }
        self.dirty.insert(to.connection);
        if connection.disconnect == Some(Disconnect::MidDelivery) {
            // Only half of these bytes go out, then the socket closes.
            let half = before + (connection.output.len() - before) / 2;
            connection.output.truncate(half);
            connection.phase = Phase::Over;
            connection.disconnect = None;
            self.stats.cut += 1;
            let channels = std::mem::take(&mut connection.channels);
            for (id, channel) in channels {
                self.release_channel(to.connection, id, channel, now);
            }
        }
    }

    /// Takes a channel's consumers off their queues and puts what it had not acknowledged back, in order.
    fn release_channel(&mut self, number: u64, id: u16, channel: Channel, _now: Micros) {
        let mut emptied = Vec::new();
        for (name, queue) in &mut self.model.queues {
            let before = queue.consumers.len();
            queue.consumers.retain(|c| (c.connection, c.channel) != (number, id));
            if queue.consumers.len() < before {
                queue.exclusive_consumer = false;
                if queue.consumers.is_empty() && queue.auto_delete {
                    emptied.push(name.clone());
                }
            }
        }
        for (_, unacked) in channel.unacked.into_iter().rev() {
            self.model.requeue(&unacked.queue, unacked.message);
        }
        emptied.iter().for_each(|name| self.remove_queue(name));
    }

    /// Deletes a queue; consumers of it are told, where they can be (consumer cancel notification).
    fn remove_queue(&mut self, name: &str) {
        let Some(queue) = self.model.queues.get(name) else { return };
        for consumer in queue.consumers.clone() {
            let Some(connection) = self.connections.get_mut(&consumer.connection) else { continue };
            if let Some(channel) = connection.channels.get_mut(&consumer.channel) {
                channel.consumers.remove(&consumer.tag);
            }
            if connection.cancel_notify {
                let cancel = basic::Cancel { consumer_tag: short(&consumer.tag), nowait: true };
                let method = AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel));
                self.send(consumer.connection, consumer.channel, method);
            }
        }
        self.model.delete_queue(name);
    }
}

fn has_credit(connections: &BTreeMap<u64, Connection>, consumer: &ConsumerRef) -> bool {
    let Some(connection) = connections.get(&consumer.connection) else { return false };
    let Some(channel) = connection.channels.get(&consumer.channel) else { return false };
    let Some(own) = channel.consumers.get(&consumer.tag) else { return false };
    // A socket that takes nothing must not fill memory.
    let roomy = connection.output.len() < 8 << 20;
    let within = |limit: u16, used: usize| limit == 0 || used < usize::from(limit);
    roomy
        && connection.phase == Phase::Running
        && !channel.stopped
        && (own.no_ack
            || (within(own.prefetch, own.out) && within(channel.prefetch_all, channel.unacked.len())))
}
