//! Frames on a connection: a length, then one message in postcard. The first frame tells who speaks.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::SessionRequest;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedParts, FramedWrite, LengthDelimitedCodec};

/// Longest frames in bytes: a connection's first, what a front end says then, what it is given, between
/// replicas.
pub const MAX_FIRST_FRAME: usize = 1 << 20;
pub const MAX_REQUEST: usize = 256 << 10;
pub const MAX_RESPONSE: usize = 4 << 20;
pub const MAX_PEER_FRAME: usize = 32 << 20;
/// Longest part of a snapshot, in bytes.
pub const MAX_SNAPSHOT_PART: usize = 1 << 20;
/// Entries that go to another replica in one frame; none is longer than a first frame.
pub const MAX_ENTRIES: u64 = 16;
/// How long a connection may take to come, and a frame to leave.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Of what replicas say to each other.
pub const PEER_PROTOCOL: u16 = 1;
const MAGIC: [u8; 4] = *b"stk1";

pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;
pub type Reading = Framed<OwnedReadHalf, LengthDelimitedCodec>;
pub type Writing = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// The first frame on a connection: who speaks.
#[derive(Debug, Serialize, Deserialize)]
pub enum First {
    Peer { protocol: u16, from: u64, to: u64 },
    Member(SessionRequest),
}

/// Frames of at most so many bytes on a connection.
pub fn frames(stream: TcpStream, most: usize) -> Frames {
    // Messages are small and waited for.
    let _ = stream.set_nodelay(true);
    Framed::new(stream, LengthDelimitedCodec::builder().max_frame_length(most).new_codec())
}

/// A front end's connection at a replica, in two: what it says is shorter than what it is given.
pub fn split(frames: Frames) -> (Reading, Writing) {
    let parts = frames.into_parts();
    let (read, write) = parts.io.into_split();
    let codec = |most| LengthDelimitedCodec::builder().max_frame_length(most).new_codec();
    let mut reading = FramedParts::new::<Bytes>(read, codec(MAX_REQUEST));
    // What came behind the first frame.
    reading.read_buf = parts.read_buf;
    (Framed::from_parts(reading), FramedWrite::new(write, codec(MAX_RESPONSE)))
}

/// A message as the content of a frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(message).map(Bytes::from)
}

/// The message in a frame; `None` where it can't be read.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Option<T> {
    postcard::from_bytes(frame).ok()
}

/// The content of a connection's first frame.
pub fn encode_first(first: &First) -> Result<Bytes, postcard::Error> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(postcard::to_stdvec(first)?);
    Ok(bytes.into())
}

/// The message in a connection's first frame; `None` where it can't be read or is of another protocol.
pub fn decode_first(frame: &[u8]) -> Option<First> {
    decode(frame.strip_prefix(&MAGIC)?)
}
