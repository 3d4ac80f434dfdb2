//! Frames from a byte stream in any split, and back (specification 2.3.5 and 4.2.3).

use crate::error::{reply, Fault};
use amq_protocol::frame::{
    gen_frame, parsing::parse_content_header, AMQPContentHeader, AMQPFrame, WriteContext,
};
use amq_protocol::protocol::{parse_class, AMQPClass, BasicProperties};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Type, channel and size in front of a payload, and the end mark behind it.
pub const OVERHEAD: usize = 8;
const HEAD: usize = 7;
const END: u8 = 0xCE;
/// What every peer takes before a size is negotiated (specification 4.2.3).
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
    /// The channel it came on.
    pub fn channel(&self) -> u16 {
        match self {
            Frame::Method(c, _) | Frame::Header(c, _) | Frame::Body(c, _) => *c,
            Frame::Heartbeat => 0,
        }
    }
}

/// Cuts a stream into frames. Holds at most one frame of the negotiated size and what came with it.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    frame_max: u32,
    header_due: bool,
}

impl Decoder {
    /// For the side that gets frames from the start on.
    pub fn client() -> Decoder {
        Decoder { buffer: BytesMut::new(), frame_max: FRAME_MIN.max(8192), header_due: false }
    }

    /// For the side that gets the protocol header first.
    pub fn server() -> Decoder {
        Decoder { header_due: true, ..Decoder::client() }
    }

    /// Sets the negotiated size of a whole frame in bytes; 0: no limit but 16 MiB.
    pub fn set_frame_max(&mut self, bytes: u32) {
        self.frame_max = if bytes == 0 { 16 << 20 } else { bytes };
    }

    /// Takes what came from the peer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes held that make no whole frame yet.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the protocol header is still due; true once it came whole and right.
    pub fn take_protocol_header(&mut self) -> Result<bool, Fault> {
        if !self.header_due {
            return Ok(true);
        }
        let have = self.buffer.len().min(8);
        if self.buffer[..have] != PROTOCOL_HEADER[..have] {
            return Err(Fault::ProtocolHeader(self.buffer[..have].to_vec()));
        }
        if have < 8 {
            return Ok(false);
        }
        self.buffer.advance(8);
        self.header_due = false;
        Ok(true)
    }

    /// The next whole frame, if one is there. After an error the stream can't be read any further.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Fault> {
        if self.header_due && !self.take_protocol_header()? {
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
        if self.buffer.len() < HEAD {
            return Ok(None);
        }
        let channel = u16::from_be_bytes([self.buffer[1], self.buffer[2]]);
        let size = u32::from_be_bytes([self.buffer[3], self.buffer[4], self.buffer[5], self.buffer[6]]);
        if u64::from(size) + OVERHEAD as u64 > u64::from(self.frame_max) {
            let text = format!("frame of {} bytes, negotiated are {}", u64::from(size) + 8, self.frame_max);
            return Err(frame_error(text));
        }
        if self.buffer.len() < size as usize + OVERHEAD {
            return Ok(None);
        }
        let mut frame = self.buffer.split_to(size as usize + OVERHEAD).freeze();
        if frame[frame.len() - 1] != END {
            return Err(frame_error(format!("frame end is {:#04x}, expected 0xce", frame[frame.len() - 1])));
        }
        frame.advance(HEAD);
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
        // Specification 4.2.7: heartbeats travel on channel 0 and carry nothing.
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
        _ if known(class, method) => {
            let text = format!("malformed arguments of method {class}.{method}");
            Err(Fault::connection(reply::SYNTAX_ERROR, text, (class, method)))
        }
        _ => {
            let text = format!("no method {class}.{method}");
            Err(Fault::connection(reply::COMMAND_INVALID, text, (class, method)))
        }
    }
}

/// The classes and methods of the specification, with the extensions that the types know.
fn known(class: u16, method: u16) -> bool {
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

/// Class and method number of a method, as `connection.close` and `channel.close` want them.
pub fn ids(method: &AMQPClass) -> (u16, u16) {
    (method.get_amqp_class_id(), method.get_amqp_method_id())
}

fn encode(frame: &AMQPFrame, out: &mut BytesMut) {
    // Writing to a vector can't fail.
    if let Ok(done) = gen_frame(frame)(WriteContext::from(Vec::with_capacity(64))) {
        out.extend_from_slice(&done.into_inner().0);
    }
}

/// Appends a method frame.
pub fn put_method(out: &mut BytesMut, channel: u16, method: AMQPClass) {
    encode(&AMQPFrame::Method(channel, method), out);
}

/// Appends a heartbeat.
pub fn put_heartbeat(out: &mut BytesMut) {
    out.extend_from_slice(&[HEARTBEAT, 0, 0, 0, 0, 0, 0, END]);
}

/// Appends the header and body frames of a content, the body cut to the negotiated size.
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
    let most = if frame_max == 0 { 1 << 17 } else { frame_max as usize } - OVERHEAD;
    for part in body.chunks(most) {
        out.put_u8(BODY);
        out.put_u16(channel);
        out.put_u32(part.len() as u32);
        out.extend_from_slice(part);
        out.put_u8(END);
    }
}
