//! The client side of a connection as a state machine: the protocol header, authentication, tuning, channels,
//! publisher confirms, flow control, heartbeats and graceful closes (specification 2.2.4, 4.2.2, 4.2.7; publisher confirms,
//! `basic.nack`, `connection.blocked` and consumer cancel notification as published by RabbitMQ).

mod channels;
mod handshake;
mod options;

pub use options::ClientOptions;

use crate::codec::{ids, put_content, put_heartbeat, put_method, Decoder, Frame, PROTOCOL_HEADER};
use crate::content::{Assembler, Item, Message};
use crate::error::{reply, Fault};
use crate::{long, short};
use amq_protocol::protocol::{basic, channel, confirm, connection, AMQPClass, BasicProperties};
use amq_protocol::types::{AMQPValue, FieldTable, LongString};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A time on the caller's monotonic clock, in microseconds.
pub type Micros = i64;

/// An event of the connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// `connection.open-ok` was received: channels may be opened.
    Open,
    /// A method without content that the client does not handle itself, such as `-ok` methods and `basic.cancel`.
    Method(u16, AMQPClass),
    /// `basic.deliver` or `basic.get-ok` with its content.
    Delivered(u16, Box<Message>),
    /// `basic.return` of a mandatory message; its confirm follows.
    Returned(u16, Box<Message>),
    /// The broker accepted (`ok`) or did not accept responsibility for a publish. Publishes are numbered from 1 on each
    /// channel.
    Confirmed { channel: u16, seq: u64, ok: bool },
    /// The broker closed a channel; `channel.close-ok` is already queued for output.
    ChannelClosed { channel: u16, code: u16, text: String },
    /// The broker stopped accepting publishes (`connection.blocked`), or accepts them again.
    Blocked(bool),
    /// The connection was closed gracefully, by the broker or by [`Client::close`].
    Closed { code: u16, text: String },
    /// The connection failed because of a protocol violation; the fault describes it.
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
    /// Whether the broker stopped content with `channel.flow`; it sends another `channel.flow` to resume.
    stopped: bool,
    paused: VecDeque<(u64, BytesMut)>,
}

/// The state machine. Feed it with [`Client::receive`] and [`Client::tick`], write the bytes of [`Client::output`].
#[derive(Debug)]
pub struct Client {
    options: ClientOptions,
    state: State,
    decoder: Decoder,
    output: BytesMut,
    events: VecDeque<ClientEvent>,
    channels: BTreeMap<u16, ChannelState>,
    frame_max: u32,
    channel_max: u16,
    heartbeat: Micros,
    received_at: Micros,
    sent_at: Micros,
    blocked: bool,
    /// Total bytes appended to `output`, and total bytes that the caller wrote to the socket.
    queued: u64,
    written: u64,
    /// End position of each unconfirmed publish in the output stream, with its channel and number.
    publish_ends: VecDeque<(u64, u16, u64)>,
    /// Publishes, by channel and number, that were queued on channels when the broker closed them and were never sent.
    /// Entries are kept until the channel number is reused.
    never_sent: BTreeSet<(u16, u64)>,
}

impl Client {
    /// Starts a connection; the first output is the protocol header.
    pub fn new(options: ClientOptions, now: Micros) -> Client {
        let mut client = Client {
            frame_max: options.frame_max,
            options,
            state: State::Start,
            decoder: Decoder::client(),
            output: BytesMut::new(),
            events: VecDeque::new(),
            channels: BTreeMap::new(),
            channel_max: 2047,
            heartbeat: 0,
            received_at: now,
            sent_at: now,
            blocked: false,
            queued: 0,
            written: 0,
            publish_ends: VecDeque::new(),
            never_sent: BTreeSet::new(),
        };
        client.put(|out| out.extend_from_slice(&PROTOCOL_HEADER));
        client
    }

    /// Returns the negotiated maximum frame size in bytes.
    pub fn frame_max(&self) -> u32 {
        self.frame_max
    }

    /// Returns whether channels may be used.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns whether the connection is closed.
    pub fn is_over(&self) -> bool {
        self.state == State::Closed
    }

    fn put(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let before = self.output.len();
        write(&mut self.output);
        self.queued += (self.output.len() - before) as u64;
    }

    fn method(&mut self, channel: u16, method: AMQPClass) {
        self.put(|out| put_method(out, channel, method));
    }

    /// Returns the bytes to write next.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Records that the caller wrote `n` more bytes of the output to the socket at `now`.
    pub fn record_written(&mut self, n: usize, now: Micros) {
        self.written += n as u64;
        self.sent_at = now;
        while self.publish_ends.front().is_some_and(|e| e.0 <= self.written && !self.is_unconfirmed(e.1, e.2))
        {
            self.publish_ends.pop_front();
        }
    }

    /// Returns the next event.
    pub fn event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    /// Returns the time at which [`Client::tick`] must be called next, if heartbeats were negotiated.
    pub fn due(&self) -> Option<Micros> {
        let heartbeats_active = self.heartbeat > 0 && self.state != State::Closed;
        heartbeats_active
            .then(|| (self.sent_at + self.heartbeat / 2).min(self.received_at + 2 * self.heartbeat))
    }

    /// Handles heartbeats: sends one if nothing was sent for half an interval, and fails the connection if nothing was
    /// received for two intervals (4.2.7).
    pub fn tick(&mut self, now: Micros) {
        if self.heartbeat == 0 || self.state == State::Closed {
            return;
        }
        if now - self.received_at >= 2 * self.heartbeat {
            self.fail(Fault::Silent(((now - self.received_at) / 1000) as u64));
        } else if now - self.sent_at >= self.heartbeat / 2 {
            self.sent_at = now;
            self.put(put_heartbeat);
        }
    }

    /// Processes bytes received from the broker, split at any position.
    pub fn receive(&mut self, bytes: &[u8], now: Micros) {
        self.received_at = now;
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

    fn take_frame(&mut self, frame: Frame) -> Result<(), Fault> {
        let channel = frame.channel();
        match frame {
            Frame::Heartbeat => Ok(()),
            Frame::Method(0, AMQPClass::Connection(method)) => self.take_connection(method),
            Frame::Method(0, other) => {
                Err(Fault::connection(reply::CHANNEL_ERROR, "method on channel 0", ids(&other)))
            }
            // After a close by this side, everything except `connection.close-ok` is ignored (1.4.2.9).
            _ if self.state == State::Closing => Ok(()),
            Frame::Method(_, AMQPClass::Connection(method)) => {
                let class = AMQPClass::Connection(method);
                let text = format!("connection method on channel {channel}");
                Err(Fault::connection(reply::COMMAND_INVALID, text, ids(&class)))
            }
            frame => {
                let limit = self.options.body_limit;
                let Some(state) = self.channels.get_mut(&channel) else {
                    // Frames that were in flight when this side closed the channel.
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
}
