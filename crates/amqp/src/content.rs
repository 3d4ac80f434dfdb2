//! Assembles messages from method, header and body frames (specification 4.2.6).

use crate::codec::{ids, Frame};
use crate::error::{reply, Fault};
use amq_protocol::protocol::{basic, AMQPClass, BasicProperties};
use bytes::{Bytes, BytesMut};

/// A method that carries content, with its content.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub method: AMQPClass,
    pub properties: BasicProperties,
    pub body: Bytes,
    /// Body size from the content header; larger than `body` if the body exceeded the limit and was discarded.
    pub size: u64,
}

/// The result of processing a frame of a channel.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A method without content.
    Method(AMQPClass),
    /// A complete message.
    Message(Box<Message>),
    /// More frames are needed.
    More,
}

#[derive(Debug)]
struct PartialMessage {
    method: AMQPClass,
    header: Option<(BasicProperties, u64)>,
    body: BytesMut,
    received: u64,
}

/// Assembles the frames of one channel into messages. A body over the limit is read to its end and discarded, so that the
/// receiver can answer the message instead of closing the channel.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: Option<PartialMessage>,
}

impl Assembler {
    /// Processes a frame of this channel. A body larger than `limit` bytes is discarded.
    pub fn take(&mut self, frame: Frame, limit: usize) -> Result<Item, Fault> {
        let channel = frame.channel();
        let unexpected = |text: &str, method: Option<&AMQPClass>| {
            Fault::connection(reply::UNEXPECTED_FRAME, text, method.map_or((60, 0), ids))
        };
        match (frame, self.partial.as_mut()) {
            (Frame::Method(_, method), None) if carries_content(&method) => {
                self.partial =
                    Some(PartialMessage { method, header: None, body: BytesMut::new(), received: 0 });
                Ok(Item::More)
            }
            (Frame::Method(_, method), None) => Ok(Item::Method(method)),
            (Frame::Method(_, method), Some(_)) => {
                Err(unexpected("method where content was expected", Some(&method)))
            }
            (Frame::Header(_, header), Some(partial)) if partial.header.is_none() => {
                if header.class_id != 60 {
                    let text = format!("content header of class {}, expected 60", header.class_id);
                    return Err(Fault::connection(reply::UNEXPECTED_FRAME, text, ids(&partial.method)));
                }
                partial.header = Some((header.properties, header.body_size));
                self.finish()
            }
            (Frame::Header(..), _) => Err(unexpected("content header where none was expected", None)),
            (Frame::Body(_, part), Some(partial)) if partial.header.is_some() => {
                let size = partial.header.as_ref().map_or(0, |h| h.1);
                partial.received += part.len() as u64;
                if partial.received > size {
                    let text = format!(
                        "body of {} bytes on channel {channel}, expected {size} from the header",
                        partial.received
                    );
                    return Err(Fault::connection(reply::UNEXPECTED_FRAME, text, ids(&partial.method)));
                }
                if size <= limit as u64 {
                    partial.body.extend_from_slice(&part);
                }
                self.finish()
            }
            (Frame::Body(..), _) => Err(unexpected("content body where none was expected", None)),
            (Frame::Heartbeat, _) => Ok(Item::More),
        }
    }

    fn finish(&mut self) -> Result<Item, Fault> {
        match self.partial.take() {
            Some(PartialMessage { method, header: Some((properties, size)), body, received })
                if received == size =>
            {
                Ok(Item::Message(Box::new(Message { method, properties, body: body.freeze(), size })))
            }
            partial => {
                self.partial = partial;
                Ok(Item::More)
            }
        }
    }
}

fn carries_content(method: &AMQPClass) -> bool {
    use basic::AMQPMethod::{Deliver, GetOk, Publish, Return};
    matches!(method, AMQPClass::Basic(Publish(_) | Deliver(_) | GetOk(_) | Return(_)))
}
