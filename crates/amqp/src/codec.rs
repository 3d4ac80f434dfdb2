//! Decodes frames from a byte stream that arrives in arbitrary pieces, and encodes them (specification 2.3.5 and 4.2.3).

use crate::error::{reply, Fault};
use amq_protocol::frame::{
    gen_frame, parsing::parse_content_header, AMQPContentHeader, AMQPFrame, WriteContext,
};
use amq_protocol::protocol::{parse_class, AMQPClass, BasicProperties};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of a frame around its payload: type, channel and size before it, and the end octet after it.
pub const OVERHEAD: usize = 8;
const PREFIX_LEN: usize = 7;
const END_OCTET: u8 = 0xCE;
/// Frame size that every peer must accept before a size is negotiated (specification 4.2.3).
pub const FRAME_MIN: u32 = 4096;

const METHOD: u8 = 1;
const HEADER: u8 = 2;
const BODY: u8 = 3;
const HEARTBEAT: u8 = 8;

/// The eight bytes that a client sends first.
pub const PROTOCOL_HEADER: [u8; 8] = *b"AMQP\x00\x00\x09\x01";

/// One frame of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Method(u16, AMQPClass),
    Header(u16, Box<AMQPContentHeader>),
    Body(u16, Bytes),
    Heartbeat,
}

impl Frame {
    /// Returns the channel of the frame.
    pub fn channel(&self) -> u16 {
        match self {
            Frame::Method(c, _) | Frame::Header(c, _) | Frame::Body(c, _) => *c,
            Frame::Heartbeat => 0,
        }
    }
}

/// Splits a byte stream into frames. Buffers at most one frame of the negotiated size and the bytes received with it.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    frame_max: u32,
    header_expected: bool,
}

impl Decoder {
    /// Creates the decoder of a client, which receives frames from the start.
    pub fn client() -> Decoder {
        Decoder { buffer: BytesMut::new(), frame_max: FRAME_MIN.max(8192), header_expected: false }
    }

    /// Creates the decoder of a server, which receives the protocol header first.
    pub fn server() -> Decoder {
        Decoder { header_expected: true, ..Decoder::client() }
    }

    /// Sets the negotiated maximum size of a frame in bytes, overhead included; 0 means a limit of 16 MiB.
    pub fn set_frame_max(&mut self, bytes: u32) {
        self.frame_max = if bytes == 0 { 16 << 20 } else { bytes };
    }

    /// Appends bytes received from the peer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes that are not decoded yet.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Consumes the protocol header if it is still expected. Returns true once the complete, correct header was received.
    pub fn take_protocol_header(&mut self) -> Result<bool, Fault> {
        if !self.header_expected {
            return Ok(true);
        }
        let available = self.buffer.len().min(8);
        if self.buffer[..available] != PROTOCOL_HEADER[..available] {
            return Err(Fault::ProtocolHeader(self.buffer[..available].to_vec()));
        }
        if available < 8 {
            return Ok(false);
        }
        self.buffer.advance(8);
        self.header_expected = false;
        Ok(true)
    }

    /// Returns the next complete frame, if one was received. After an error the stream can't be decoded any further.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Fault> {
        if self.header_expected && !self.take_protocol_header()? {
            return Ok(None);
        }
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let kind = self.buffer[0];
        if !matches!(kind, METHOD | HEADER | BODY | HEARTBEAT) {
            // A server that speaks another version answers with its own protocol header (4.2.2).
            if kind == b'A' && self.buffer.starts_with(&b"AMQP"[..self.buffer.len().min(4)]) {
                return match self.buffer.len() {
                    0..8 => Ok(None),
                    _ => Err(Fault::ProtocolHeader(self.buffer[..8].to_vec())),
                };
            }
            return Err(frame_error(format!("unknown frame type {kind}")));
        }
        if self.buffer.len() < PREFIX_LEN {
            return Ok(None);
        }
        let channel = u16::from_be_bytes([self.buffer[1], self.buffer[2]]);
        let size = u32::from_be_bytes([self.buffer[3], self.buffer[4], self.buffer[5], self.buffer[6]]);
        if u64::from(size) + OVERHEAD as u64 > u64::from(self.frame_max) {
            let text = format!(
                "frame of {} bytes, the negotiated maximum is {}",
                u64::from(size) + 8,
                self.frame_max
            );
            return Err(frame_error(text));
        }
        if self.buffer.len() < size as usize + OVERHEAD {
            return Ok(None);
        }
        let mut frame = self.buffer.split_to(size as usize + OVERHEAD).freeze();
        if frame[frame.len() - 1] != END_OCTET {
            return Err(frame_error(format!("frame end is {:#04x}, expected 0xce", frame[frame.len() - 1])));
        }
        frame.advance(PREFIX_LEN);
        frame.truncate(size as usize);
        parse(kind, channel, frame).map(Some)
    }
}

fn frame_error(text: String) -> Fault {
    Fault::connection(reply::FRAME_ERROR, text, (0, 0))
}

fn parse(kind: u8, channel: u16, payload: Bytes) -> Result<Frame, Fault> {
    match kind {
        METHOD => parse_method(channel, &payload),
        HEADER if channel == 0 => {
            Err(Fault::connection(reply::CHANNEL_ERROR, "content header on channel 0", (60, 0)))
        }
        HEADER => match parse_content_header(&payload[..]) {
            Ok(([], header)) => Ok(Frame::Header(channel, Box::new(header))),
            _ => Err(Fault::connection(reply::SYNTAX_ERROR, "malformed content header", (60, 0))),
        },
        BODY if channel == 0 => {
            Err(Fault::connection(reply::CHANNEL_ERROR, "content body on channel 0", (60, 0)))
        }
        BODY => Ok(Frame::Body(channel, payload)),
        // Specification 4.2.7: heartbeats are sent on channel 0 and have no payload.
        _ if channel == 0 && payload.is_empty() => Ok(Frame::Heartbeat),
        _ => Err(frame_error("heartbeat with a channel or a payload".into())),
    }
}

fn parse_method(channel: u16, payload: &[u8]) -> Result<Frame, Fault> {
    if payload.len() < 4 {
        return Err(Fault::connection(reply::SYNTAX_ERROR, "method frame without class and method", (0, 0)));
    }
    let class = u16::from_be_bytes([payload[0], payload[1]]);
    let method = u16::from_be_bytes([payload[2], payload[3]]);
    match parse_class(payload) {
        Ok(([], parsed)) => Ok(Frame::Method(channel, parsed)),
        _ if is_known_method(class, method) => {
            let text = format!("malformed arguments of method {class}.{method}");
            Err(Fault::connection(reply::SYNTAX_ERROR, text, (class, method)))
        }
        _ => {
            let text = format!("unknown method {class}.{method}");
            Err(Fault::connection(reply::COMMAND_INVALID, text, (class, method)))
        }
    }
}

/// Returns whether the specification, or an extension supported by `amq-protocol`, defines a method.
fn is_known_method(class: u16, method: u16) -> bool {
    match class {
        10 => matches!(method, 10 | 11 | 20 | 21 | 30 | 31 | 40 | 41 | 50 | 51 | 60 | 61 | 70 | 71),
        20 => matches!(method, 10 | 11 | 20 | 21 | 40 | 41),
        30 => matches!(method, 10 | 11),
        40 => matches!(method, 10 | 11 | 20 | 21 | 30 | 31 | 40 | 51),
        50 => matches!(method, 10 | 11 | 20 | 21 | 30 | 31 | 40 | 41 | 50 | 51),
        60 => matches!(
            method,
            10 | 11 | 20 | 21 | 30 | 31 | 40 | 50 | 60 | 70 | 71 | 72 | 80 | 90 | 100 | 110 | 111 | 120
        ),
        85 => matches!(method, 10 | 11),
        90 => matches!(method, 10 | 11 | 20 | 21 | 30 | 31),
        _ => false,
    }
}

/// Returns the class and method number of a method, as needed in `connection.close` and `channel.close`.
pub fn ids(method: &AMQPClass) -> (u16, u16) {
    (method.get_amqp_class_id(), method.get_amqp_method_id())
}

fn encode(frame: &AMQPFrame, out: &mut BytesMut) {
    // Writing to a vector never fails.
    if let Ok(encoded) = gen_frame(frame)(WriteContext::from(Vec::with_capacity(64))) {
        out.extend_from_slice(&encoded.into_inner().0);
    }
}

/// Appends a method frame.
pub fn put_method(out: &mut BytesMut, channel: u16, method: AMQPClass) {
    encode(&AMQPFrame::Method(channel, method), out);
}

/// Appends a heartbeat.
pub fn put_heartbeat(out: &mut BytesMut) {
    out.extend_from_slice(&[HEARTBEAT, 0, 0, 0, 0, 0, 0, END_OCTET]);
}

/// Appends the header and body frames of a content. The body is split into frames of the negotiated size.
pub fn put_content(
    out: &mut BytesMut,
    channel: u16,
    properties: &BasicProperties,
    body: &[u8],
    frame_max: u32,
) {
    let header =
        AMQPContentHeader { class_id: 60, body_size: body.len() as u64, properties: properties.clone() };
    encode(&AMQPFrame::Header(channel, header), out);
    let max_payload = if frame_max == 0 { 1 << 17 } else { frame_max as usize } - OVERHEAD;
    for part in body.chunks(max_payload) {
        out.put_u8(BODY);
        out.put_u16(channel);
        out.put_u32(part.len() as u32);
        out.extend_from_slice(part);
        out.put_u8(END_OCTET);
    }
}
