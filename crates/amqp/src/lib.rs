//! AMQP 0-9-1 without I/O. Bytes and the time go in, frames, events and bytes come out; sockets are the caller's.
//!
//! - [`codec`]: a byte stream cut into frames, with the specification's reply code for whatever is wrong with it.
//! - [`content`]: method, header and body frames put together to messages.
//! - [`acks`]: deliveries that are not acknowledged, and the fewest acknowledgements for those that may be.
//! - [`client`]: the client half of a connection, from the protocol header to publisher confirms.
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

/// Text of a header value, where it is text or a number: callers of several libraries write `function` or
/// `tenant` as long string, short string or byte array.
pub fn header_text(table: &FieldTable, key: &str) -> Option<String> {
    match table.inner().get(key)? {
        AMQPValue::LongString(s) => String::from_utf8(s.as_bytes().to_vec()).ok(),
        AMQPValue::ShortString(s) => Some(s.as_str().to_string()),
        AMQPValue::ByteArray(b) => String::from_utf8(b.as_slice().to_vec()).ok(),
        other => header_int(other).map(|n| n.to_string()),
    }
}

/// A header value of any of the integer types.
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

/// A short string (255 bytes at most), cut at a character boundary where the text is longer.
pub fn short(text: &str) -> ShortString {
    let mut end = text.len().min(255);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    ShortString::try_new(&text[..end]).unwrap_or_default()
}

/// `queue.declare` of a queue with every flag off; what differs is set on it.
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

/// `basic.consume` of a queue with every flag off; what differs is set on it.
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

/// A long-string header value.
pub fn long(text: impl Into<String>) -> AMQPValue {
    AMQPValue::LongString(text.into().into_bytes().into())
}
