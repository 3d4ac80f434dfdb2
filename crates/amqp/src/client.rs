//! The client half of a connection as a state machine: the protocol header, authentication, tuning, channels,
//! publisher confirms, flow, heartbeats and orderly closes (specification 2.2.4, 4.2.2, 4.2.7; publisher confirms,
//! `basic.nack`, `connection.blocked` and consumer cancel notification as published by RabbitMQ).

use crate::codec::{ids, put_content, put_heartbeat, put_method, Decoder, Frame, PROTOCOL_HEADER};
use crate::content::{Assembler, Item, Message};
use crate::error::{reply, Fault};
use crate::{long, short};
use amq_protocol::protocol::{basic, channel, confirm, connection, AMQPClass, BasicProperties};
use amq_protocol::types::{AMQPValue, FieldTable, LongString};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A moment on the caller's monotonic clock, in microseconds.
pub type Micros = i64;

/// What a client brings to a connection.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    pub user: String,
    pub password: String,
    pub vhost: String,
    /// Seconds; 0: none wanted. The lower of both sides' wishes is used, the other's where one says 0.
    pub heartbeat: u16,
    /// Largest frame in bytes; 0: no limit wanted.
    pub frame_max: u32,
    /// Largest body kept, in bytes; a larger one is read and left out.
    pub body_limit: usize,
    /// Shown to the broker's operators.
    pub product: String,
}

impl Default for ClientOptions {
    fn default() -> ClientOptions {
        ClientOptions {
            user: "guest".into(),
            password: "guest".into(),
            vhost: "/".into(),
            heartbeat: 10,
            frame_max: 131_072,
            body_limit: 4 << 20,
            product: "stagehoist".into(),
        }
    }
}

/// News from the connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// `connection.open-ok` came: channels may be opened.
    Open,
    /// A method without content that the client does not answer by itself: `-ok` answers, `basic.cancel`.
    Method(u16, AMQPClass),
    /// `basic.deliver` or `basic.get-ok` with its content.
    Delivered(u16, Box<Message>),
    /// `basic.return` of a mandatory message; its confirm follows.
    Returned(u16, Box<Message>),
    /// The broker answers (`ok`) or doesn't answer for a publish, numbered from 1 on each channel.
    Confirmed { channel: u16, seq: u64, ok: bool },
    /// The broker closed a channel; it is answered already.
    ChannelClosed { channel: u16, code: u16, text: String },
    /// The broker takes no publishes for now (`connection.blocked`), or does again.
    Blocked(bool),
    /// The connection is over in order, by the broker or by [`Client::close`].
    Closed { code: u16, text: String },
    /// The connection is over for a breach of the protocol, on the side named by the fault.
    Failed(Fault),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Start,
    Tune,
    OpenOk,
    Open,
    Closing,
    Closed,
}

#[derive(Debug, Default)]
struct ChannelState {
    assembler: Assembler,
    confirming: bool,
    published: u64,
    unconfirmed: BTreeSet<u64>,
    /// `channel.flow` of the broker: no content until it says so.
    stopped: bool,
    paused: VecDeque<(u64, BytesMut)>,
}

/// The state machine. Feed it with [`Client::receive`] and [`Client::tick`], write what [`Client::output`] holds.
#[derive(Debug)]
pub struct Client {
    options: ClientOptions,
    state: State,
    decoder: Decoder,
    out: BytesMut,
    events: VecDeque<ClientEvent>,
    channels: BTreeMap<u16, ChannelState>,
    frame_max: u32,
    channel_max: u16,
    heartbeat: Micros,
    heard: Micros,
    spoke: Micros,
    blocked: bool,
    /// Bytes ever put into `out`, and ever handed to the system by the caller.
    queued: u64,
    written: u64,
    /// Where each unconfirmed publish ends in the stream of bytes.
    ends: VecDeque<(u64, u16, u64)>,
}

impl Client {
    /// A connection that begins now; its first output is the protocol header.
    pub fn new(options: ClientOptions, now: Micros) -> Client {
        let mut client = Client {
            frame_max: options.frame_max,
            options,
            state: State::Start,
            decoder: Decoder::client(),
            out: BytesMut::new(),
            events: VecDeque::new(),
            channels: BTreeMap::new(),
            channel_max: 2047,
            heartbeat: 0,
            heard: now,
            spoke: now,
            blocked: false,
            queued: 0,
            written: 0,
            ends: VecDeque::new(),
        };
        client.put(|out| out.extend_from_slice(&PROTOCOL_HEADER));
        client
    }

    /// Largest frame agreed on, in bytes.
    pub fn frame_max(&self) -> u32 {
        self.frame_max
    }

    /// Whether channels may be used.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether nothing more will come of this connection.
    pub fn is_over(&self) -> bool {
        self.state == State::Closed
    }

    fn put(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let before = self.out.len();
        write(&mut self.out);
        self.queued += (self.out.len() - before) as u64;
    }

    fn method(&mut self, channel: u16, method: AMQPClass) {
        self.put(|out| put_method(out, channel, method));
    }

    /// Bytes to write next.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.out
    }

    /// The caller handed `n` more bytes of the output to the system at `now`.
    pub fn wrote(&mut self, n: usize, now: Micros) {
        self.written += n as u64;
        self.spoke = now;
        while self.ends.front().is_some_and(|e| e.0 <= self.written && !self.is_unconfirmed(e.1, e.2)) {
            self.ends.pop_front();
        }
    }

    fn is_unconfirmed(&self, channel: u16, seq: u64) -> bool {
        self.channels.get(&channel).is_some_and(|c| c.unconfirmed.contains(&seq))
    }

    /// Whether a publish is known not to have reached the broker whole: its last byte was never handed to the
    /// system, so no broker can have routed it.
    pub fn surely_unsent(&self, channel: u16, seq: u64) -> bool {
        let end = self.ends.iter().find(|e| (e.1, e.2) == (channel, seq)).map(|e| e.0);
        let paused =
            self.channels.get(&channel).is_some_and(|c| c.paused.iter().any(|(number, _)| *number == seq));
        paused || end.is_some_and(|end| end > self.written)
    }

    /// The next news.
    pub fn event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    /// When [`Client::tick`] is due, where heartbeats were agreed on.
    pub fn due(&self) -> Option<Micros> {
        let live = self.heartbeat > 0 && self.state != State::Closed;
        live.then(|| (self.spoke + self.heartbeat / 2).min(self.heard + 2 * self.heartbeat))
    }

    /// Heartbeats: one is sent after half an interval of silence, and the peer is given up after two (4.2.7).
    pub fn tick(&mut self, now: Micros) {
        if self.heartbeat == 0 || self.state == State::Closed {
            return;
        }
        if now - self.heard >= 2 * self.heartbeat {
            self.fail(Fault::Silent(((now - self.heard) / 1000) as u64));
        } else if now - self.spoke >= self.heartbeat / 2 {
            self.spoke = now;
            self.put(put_heartbeat);
        }
    }

    /// Takes bytes from the broker, in any split.
    pub fn receive(&mut self, bytes: &[u8], now: Micros) {
        self.heard = now;
        self.decoder.push(bytes);
        while self.state != State::Closed {
            let step = match self.decoder.next_frame() {
                Ok(Some(frame)) => self.take_frame(frame),
                Ok(None) => return,
                Err(fault) => Err(fault),
            };
            if let Err(fault) = step {
                self.fail(fault);
            }
        }
    }

    /// Ends the connection for a fault, telling the broker the code where the specification allows it.
    fn fail(&mut self, fault: Fault) {
        if let Fault::Connection { code, text, class, method } = &fault {
            let close = connection::Close {
                reply_code: *code,
                reply_text: short(text),
                class_id: *class,
                method_id: *method,
            };
            self.method(0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
        }
        self.state = State::Closed;
        self.events.push_back(ClientEvent::Failed(fault));
    }

    fn take_frame(&mut self, frame: Frame) -> Result<(), Fault> {
        let channel = frame.channel();
        match frame {
            Frame::Heartbeat => Ok(()),
            Frame::Method(0, AMQPClass::Connection(method)) => self.take_connection(method),
            Frame::Method(0, other) => {
                Err(Fault::connection(reply::CHANNEL_ERROR, "method on channel 0", ids(&other)))
            }
            // After our close everything but its answer is passed over (1.4.2.9).
            _ if self.state == State::Closing => Ok(()),
            Frame::Method(_, AMQPClass::Connection(method)) => {
                let class = AMQPClass::Connection(method);
                let text = format!("connection method on channel {channel}");
                Err(Fault::connection(reply::COMMAND_INVALID, text, ids(&class)))
            }
            frame => {
                let limit = self.options.body_limit;
                let Some(state) = self.channels.get_mut(&channel) else {
                    // Frames that were under way when we closed the channel.
                    return Ok(());
                };
                match state.assembler.take(frame, limit)? {
                    Item::More => Ok(()),
                    Item::Message(message) => {
                        let returned =
                            matches!(&message.method, AMQPClass::Basic(basic::AMQPMethod::Return(_)));
                        self.events.push_back(if returned {
                            ClientEvent::Returned(channel, message)
                        } else {
                            ClientEvent::Delivered(channel, message)
                        });
                        Ok(())
                    }
                    Item::Method(method) => self.take_method(channel, method),
                }
            }
        }
    }

    fn take_connection(&mut self, method: connection::AMQPMethod) -> Result<(), Fault> {
        use connection::AMQPMethod as M;
        match (self.state, method) {
            (State::Start, M::Start(start)) => self.take_start(&start),
            (State::Tune, M::Secure(_)) => {
                // PLAIN and AMQPLAIN have no second step (2.2.4).
                Err(Fault::connection(reply::NOT_ALLOWED, "challenge to a one-step mechanism", (10, 20)))
            }
            (State::Tune, M::Tune(tune)) => {
                self.take_tune(&tune);
                Ok(())
            }
            (State::OpenOk, M::OpenOk(_)) => {
                self.state = State::Open;
                self.events.push_back(ClientEvent::Open);
                Ok(())
            }
            (State::Closing, M::CloseOk(_)) => {
                self.state = State::Closed;
                let text = "closed by this side".to_string();
                self.events.push_back(ClientEvent::Closed { code: 200, text });
                Ok(())
            }
            (_, M::Close(close)) => {
                self.method(0, AMQPClass::Connection(M::CloseOk(connection::CloseOk {})));
                self.state = State::Closed;
                let text = close.reply_text.as_str().to_string();
                self.events.push_back(ClientEvent::Closed { code: close.reply_code, text });
                Ok(())
            }
            (State::Open, M::Blocked(_)) => {
                self.set_blocked(true);
                Ok(())
            }
            (State::Open, M::Unblocked(_)) => {
                self.set_blocked(false);
                Ok(())
            }
            (State::Closing, _) => Ok(()),
            (state, other) => {
                let text = format!("unexpected connection method while {state:?}");
                Err(Fault::connection(reply::COMMAND_INVALID, text, ids(&AMQPClass::Connection(other))))
            }
        }
    }

    fn take_start(&mut self, start: &connection::Start) -> Result<(), Fault> {
        if (start.version_major, start.version_minor) != (0, 9) {
            return Err(Fault::ProtocolHeader(vec![start.version_major, start.version_minor]));
        }
        let offered = start.mechanisms.to_string();
        let offers = |name: &str| offered.split(' ').any(|m| m == name);
        let (mechanism, response): (&str, LongString) = if offers("PLAIN") {
            ("PLAIN", format!("\0{}\0{}", self.options.user, self.options.password).into())
        } else if offers("AMQPLAIN") {
            ("AMQPLAIN", self.amqplain().into())
        } else {
            let text = format!("no mechanism in common, offered are: {offered}");
            return Err(Fault::connection(reply::ACCESS_REFUSED, text, (10, 10)));
        };
        let mut can = FieldTable::default();
        for name in [
            "publisher_confirms",
            "basic.nack",
            "consumer_cancel_notify",
            "connection.blocked",
            "authentication_failure_close",
        ] {
            can.insert(short(name), AMQPValue::Boolean(true));
        }
        let mut client_properties = FieldTable::default();
        client_properties.insert(short("product"), long(self.options.product.clone()));
        client_properties.insert(short("version"), long(env!("CARGO_PKG_VERSION")));
        client_properties.insert(short("capabilities"), AMQPValue::FieldTable(can));
        let ok = connection::StartOk {
            client_properties,
            mechanism: short(mechanism),
            response,
            locale: short("en_US"),
        };
        self.method(0, AMQPClass::Connection(connection::AMQPMethod::StartOk(ok)));
        self.state = State::Tune;
        Ok(())
    }

    /// A field table without its length in front: LOGIN and PASSWORD as long strings.
    fn amqplain(&self) -> Vec<u8> {
        let mut out = Vec::new();
        for (key, value) in [("LOGIN", &self.options.user), ("PASSWORD", &self.options.password)] {
            out.push(key.len() as u8);
            out.extend_from_slice(key.as_bytes());
            out.push(b'S');
            out.extend_from_slice(&(value.len() as u32).to_be_bytes());
            out.extend_from_slice(value.as_bytes());
        }
        out
    }

    fn take_tune(&mut self, tune: &connection::Tune) {
        // 0 means no limit on either side, else the lower holds (1.4.2.5).
        let lower = |a: u32, b: u32| if a == 0 || b == 0 { a.max(b) } else { a.min(b) };
        self.frame_max = lower(tune.frame_max, self.options.frame_max);
        self.channel_max = lower(u32::from(tune.channel_max), 2047) as u16;
        let heartbeat = lower(u32::from(tune.heartbeat), u32::from(self.options.heartbeat)) as u16;
        self.heartbeat = Micros::from(heartbeat) * 1_000_000;
        self.decoder.set_frame_max(self.frame_max);
        let ok = connection::TuneOk { channel_max: self.channel_max, frame_max: self.frame_max, heartbeat };
        self.method(0, AMQPClass::Connection(connection::AMQPMethod::TuneOk(ok)));
        let open = connection::Open { virtual_host: short(&self.options.vhost) };
        self.method(0, AMQPClass::Connection(connection::AMQPMethod::Open(open)));
        self.state = State::OpenOk;
    }

    fn take_method(&mut self, channel: u16, method: AMQPClass) -> Result<(), Fault> {
        match method {
            AMQPClass::Basic(basic::AMQPMethod::Ack(ack)) => {
                self.confirm(channel, ack.delivery_tag, ack.multiple, true);
            }
            AMQPClass::Basic(basic::AMQPMethod::Nack(nack)) => {
                self.confirm(channel, nack.delivery_tag, nack.multiple, false);
            }
            AMQPClass::Channel(channel::AMQPMethod::Flow(flow)) => {
                let ok = channel::FlowOk { active: flow.active };
                self.method(channel, AMQPClass::Channel(channel::AMQPMethod::FlowOk(ok)));
                if let Some(state) = self.channels.get_mut(&channel) {
                    state.stopped = !flow.active;
                }
                self.resume(channel);
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(close)) => {
                let ok = channel::CloseOk {};
                self.method(channel, AMQPClass::Channel(channel::AMQPMethod::CloseOk(ok)));
                self.channels.remove(&channel);
                let text = close.reply_text.as_str().to_string();
                self.events.push_back(ClientEvent::ChannelClosed { channel, code: close.reply_code, text });
            }
            AMQPClass::Channel(channel::AMQPMethod::CloseOk(_)) => {
                self.channels.remove(&channel);
            }
            other => self.events.push_back(ClientEvent::Method(channel, other)),
        }
        Ok(())
    }

    fn confirm(&mut self, channel: u16, tag: u64, multiple: bool, ok: bool) {
        let Some(state) = self.channels.get_mut(&channel) else { return };
        let settled: Vec<u64> = if multiple {
            // 0 with `multiple` means all so far.
            let rest = if tag == 0 { BTreeSet::new() } else { state.unconfirmed.split_off(&(tag + 1)) };
            std::mem::replace(&mut state.unconfirmed, rest).into_iter().collect()
        } else {
            state.unconfirmed.take(&tag).into_iter().collect()
        };
        for seq in settled {
            self.events.push_back(ClientEvent::Confirmed { channel, seq, ok });
        }
    }

    fn set_blocked(&mut self, blocked: bool) {
        self.blocked = blocked;
        self.events.push_back(ClientEvent::Blocked(blocked));
        let channels: Vec<u16> = self.channels.keys().copied().collect();
        channels.into_iter().for_each(|c| self.resume(c));
    }

    fn resume(&mut self, channel: u16) {
        let blocked = self.blocked;
        let Some(state) = self.channels.get_mut(&channel) else { return };
        if state.stopped || blocked {
            return;
        }
        for (seq, bytes) in std::mem::take(&mut state.paused) {
            self.put(|out| out.extend_from_slice(&bytes));
            self.ends.push_back((self.queued, channel, seq));
        }
    }

    /// Opens the lowest free channel; `channel.open-ok` comes as [`ClientEvent::Method`]. None where all are in use
    /// or the connection is not open.
    pub fn open_channel(&mut self) -> Option<u16> {
        if self.state != State::Open {
            return None;
        }
        let number = (1..=self.channel_max).find(|c| !self.channels.contains_key(c))?;
        self.channels.insert(number, ChannelState::default());
        self.method(number, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})));
        Some(number)
    }

    /// Sends a method without content on an open channel.
    pub fn send(&mut self, channel: u16, method: AMQPClass) {
        if self.state != State::Open {
            return;
        }
        if let (AMQPClass::Confirm(confirm::AMQPMethod::Select(_)), Some(state)) =
            (&method, self.channels.get_mut(&channel))
        {
            state.confirming = true;
        }
        self.method(channel, method);
    }

    /// Publishes a message. Returns its number on the channel, which its confirm will carry where the channel is in
    /// confirm mode; None where the channel is not open. Content waits while the broker stopped the flow.
    pub fn publish(
        &mut self,
        channel: u16,
        publish: basic::Publish,
        properties: &BasicProperties,
        body: &Bytes,
    ) -> Option<u64> {
        if self.state != State::Open {
            return None;
        }
        let (blocked, frame_max) = (self.blocked, self.frame_max);
        let state = self.channels.get_mut(&channel)?;
        state.published += 1;
        let seq = state.published;
        if state.confirming {
            state.unconfirmed.insert(seq);
        }
        let mut bytes = BytesMut::new();
        put_method(&mut bytes, channel, AMQPClass::Basic(basic::AMQPMethod::Publish(publish)));
        put_content(&mut bytes, channel, properties, body, frame_max);
        if blocked || state.stopped {
            state.paused.push_back((seq, bytes));
            return Some(seq);
        }
        let confirming = state.confirming;
        self.put(|out| out.extend_from_slice(&bytes));
        if confirming {
            self.ends.push_back((self.queued, channel, seq));
        }
        Some(seq)
    }

    /// Whether content waits on a channel because the broker stopped the flow.
    pub fn is_held_back(&self, channel: u16) -> bool {
        self.channels.get(&channel).is_some_and(|c| !c.paused.is_empty())
    }

    /// Begins an orderly close; [`ClientEvent::Closed`] follows.
    pub fn close(&mut self, code: u16, text: &str) {
        if matches!(self.state, State::Closing | State::Closed) {
            return;
        }
        let close =
            connection::Close { reply_code: code, reply_text: short(text), class_id: 0, method_id: 0 };
        self.method(0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
        self.state = State::Closing;
    }
}
