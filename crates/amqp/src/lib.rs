//! AMQP 0-9-1 without I/O. Input is bytes and the current time, output is frames, events and bytes; the caller owns the
//! sockets.
//!
//! - [`codec`]: splits a byte stream into frames and reports each error with the reply code of the specification.
//! - [`content`]: assembles method, header and body frames into messages.
//! - [`acks`]: tracks unacknowledged deliveries and computes the smallest set of acknowledgements to send.
//! - [`client`]: the client side of a connection, from the protocol header to publisher confirms.
//!
//! Types and the coding of methods and tables are those of the `amq-protocol` crate, generated from the
//! specification. Section numbers in comments are of the AMQP 0-9-1 specification (amqp0-9-1.pdf).
#![forbid(unsafe_code)]

pub mod acks;
pub mod client;
pub mod codec;
pub mod content;
pub mod error;

pub use acks::Acks;
pub use amq_protocol::protocol::{
    basic, channel, confirm, connection, exchange, queue, tx, AMQPClass, BasicProperties,
};
pub use amq_protocol::types::{AMQPValue, FieldArray, FieldTable, LongString, ShortString};
pub use client::{Client, ClientEvent, ClientOptions};
pub use codec::{Decoder, Frame};
pub use content::{Assembler, Message};
pub use error::{reply, Fault};

/// Returns a header value as text if it is text or a number. Client libraries differ: they encode `function` or
/// `tenant` as long string, short string or byte array.
pub fn header_text(table: &FieldTable, key: &str) -> Option<String> {
    match table.inner().get(key)? {
        AMQPValue::LongString(s) => String::from_utf8(s.as_bytes().to_vec()).ok(),
        AMQPValue::ShortString(s) => Some(s.as_str().to_string()),
        AMQPValue::ByteArray(b) => String::from_utf8(b.as_slice().to_vec()).ok(),
        other => header_int(other).map(|n| n.to_string()),
    }
}

/// Returns a header value of any integer type as `i64`.
pub fn header_int(value: &AMQPValue) -> Option<i64> {
    Some(match value {
        AMQPValue::ShortShortInt(n) => i64::from(*n),
        AMQPValue::ShortShortUInt(n) => i64::from(*n),
        AMQPValue::ShortInt(n) => i64::from(*n),
        AMQPValue::ShortUInt(n) => i64::from(*n),
        AMQPValue::LongInt(n) => i64::from(*n),
        AMQPValue::LongUInt(n) => i64::from(*n),
        AMQPValue::LongLongInt(n) => *n,
        AMQPValue::Timestamp(n) => i64::try_from(*n).ok()?,
        _ => return None,
    })
}

/// Creates a short string (at most 255 bytes). A longer text is truncated at a character boundary.
pub fn short(text: &str) -> ShortString {
    let mut end = text.len().min(255);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    ShortString::try_new(&text[..end]).unwrap_or_default()
}

/// Creates a `queue.declare` method with all flags off; callers set the flags that they need.
pub fn declare(name: &str) -> queue::Declare {
    queue::Declare {
        queue: short(name),
        passive: false,
        durable: false,
        exclusive: false,
        auto_delete: false,
        nowait: false,
        arguments: FieldTable::default(),
    }
}

/// Creates a `basic.consume` method with all flags off; callers set the flags that they need.
pub fn consume(queue: &str, tag: &str) -> basic::Consume {
    basic::Consume {
        queue: short(queue),
        consumer_tag: short(tag),
        no_local: false,
        no_ack: false,
        exclusive: false,
        nowait: false,
        arguments: FieldTable::default(),
    }
}

/// Creates a long-string header value.
pub fn long(text: impl Into<String>) -> AMQPValue {
    AMQPValue::LongString(text.into().into_bytes().into())
}
