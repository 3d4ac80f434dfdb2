//! Frames on a connection: a length, then one message encoded with postcard. The first frame identifies the sender.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::SessionRequest;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedParts, FramedWrite, LengthDelimitedCodec};

/// Maximum frame lengths in bytes: the first frame of a connection, a front end's requests, responses to a front
/// end, and frames between replicas.
pub const MAX_FIRST_FRAME: usize = 1 << 20;
pub const MAX_REQUEST: usize = 256 << 10;
pub const MAX_RESPONSE: usize = 4 << 20;
pub const MAX_PEER_FRAME: usize = 32 << 20;
/// Maximum length of a snapshot part in bytes.
pub const MAX_SNAPSHOT_PART: usize = 1 << 20;
/// Entries sent to another replica in one frame; no entry is longer than a first frame.
pub const MAX_ENTRIES: u64 = 16;
/// Time limits for opening a connection and for writing a frame.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Version of the protocol between replicas.
pub const PEER_PROTOCOL: u16 = 1;
const MAGIC: [u8; 4] = *b"stk1";

pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;
pub type FrameReader = Framed<OwnedReadHalf, LengthDelimitedCodec>;
pub type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// The first frame on a connection, which identifies the sender.
#[derive(Debug, Serialize, Deserialize)]
pub enum FirstFrame {
    Peer { protocol: u16, from: u64, to: u64 },
    Member(SessionRequest),
}

/// Splits a connection into frames of at most `max_length` bytes.
pub fn frames(stream: TcpStream, max_length: usize) -> Frames {
    // Messages are small and the receiver waits for them, so Nagle's algorithm would only add latency.
    let _ = stream.set_nodelay(true);
    Framed::new(stream, LengthDelimitedCodec::builder().max_frame_length(max_length).new_codec())
}

/// Splits a front end's connection at a replica into two halves, as requests have a lower length limit than
/// responses.
pub fn split(frames: Frames) -> (FrameReader, FrameWriter) {
    let parts = frames.into_parts();
    let (read, write) = parts.io.into_split();
    let codec = |max_length| LengthDelimitedCodec::builder().max_frame_length(max_length).new_codec();
    let mut reading = FramedParts::new::<Bytes>(read, codec(MAX_REQUEST));
    // Bytes already received after the first frame.
    reading.read_buf = parts.read_buf;
    (Framed::from_parts(reading), FramedWrite::new(write, codec(MAX_RESPONSE)))
}

/// Encodes a message as the content of a frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(message).map(Bytes::from)
}

/// Decodes the message in a frame; `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Option<T> {
    postcard::from_bytes(frame).ok()
}

/// Encodes the content of a connection's first frame.
pub fn encode_first(first: &FirstFrame) -> Result<Bytes, postcard::Error> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(postcard::to_stdvec(first)?);
    Ok(bytes.into())
}

/// Decodes a connection's first frame; `None` if it is malformed or belongs to another protocol.
pub fn decode_first(frame: &[u8]) -> Option<FirstFrame> {
    decode(frame.strip_prefix(&MAGIC)?)
}
