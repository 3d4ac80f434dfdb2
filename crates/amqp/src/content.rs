//! Messages from method, header and body frames (specification 4.2.6).

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
    /// Size that the header stated; larger than `body` where the body was over the limit and left out.
    pub size: u64,
}

/// What a frame comes to on its channel.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A method without content.
    Method(AMQPClass),
    /// A whole message.
    Message(Box<Message>),
    /// Nothing yet.
    More,
}

#[derive(Debug)]
struct Open {
    method: AMQPClass,
    header: Option<(BasicProperties, u64)>,
    body: BytesMut,
    got: u64,
}

/// Puts one channel's frames together. A body over the limit is read to its end and left out, so that the
/// receiver can answer the message instead of losing the channel.
#[derive(Debug, Default)]
pub struct Assembler {
    open: Option<Open>,
}

impl Assembler {
    /// Takes a frame of this channel; `limit` bytes of a body are kept at most.
    pub fn take(&mut self, frame: Frame, limit: usize) -> Result<Item, Fault> {
        let channel = frame.channel();
        let unexpected = |text: &str, method: Option<&AMQPClass>| {
            Fault::connection(reply::UNEXPECTED_FRAME, text, method.map_or((60, 0), ids))
        };
        match (frame, self.open.as_mut()) {
            (Frame::Method(_, method), None) if carries_content(&method) => {
                self.open = Some(Open { method, header: None, body: BytesMut::new(), got: 0 });
                Ok(Item::More)
            }
            (Frame::Method(_, method), None) => Ok(Item::Method(method)),
            (Frame::Method(_, method), Some(_)) => {
                Err(unexpected("method where content was expected", Some(&method)))
            }
            (Frame::Header(_, header), Some(open)) if open.header.is_none() => {
                if header.class_id != 60 {
                    let text = format!("content header of class {}, expected 60", header.class_id);
                    return Err(Fault::connection(reply::UNEXPECTED_FRAME, text, ids(&open.method)));
                }
                open.header = Some((header.properties, header.body_size));
                self.finish()
            }
            (Frame::Header(..), _) => Err(unexpected("content header where none was expected", None)),
            (Frame::Body(_, part), Some(open)) if open.header.is_some() => {
                let size = open.header.as_ref().map_or(0, |h| h.1);
                open.got += part.len() as u64;
                if open.got > size {
                    let text = format!("body of {} bytes on channel {channel}, header said {size}", open.got);
                    return Err(Fault::connection(reply::UNEXPECTED_FRAME, text, ids(&open.method)));
                }
                if size <= limit as u64 {
                    open.body.extend_from_slice(&part);
                }
                self.finish()
            }
            (Frame::Body(..), _) => Err(unexpected("content body where none was expected", None)),
            (Frame::Heartbeat, _) => Ok(Item::More),
        }
    }

    fn finish(&mut self) -> Result<Item, Fault> {
        match self.open.take() {
            Some(Open { method, header: Some((properties, size)), body, got }) if got == size => {
                Ok(Item::Message(Box::new(Message { method, properties, body: body.freeze(), size })))
            }
            open => {
                self.open = open;
                Ok(Item::More)
            }
        }
    }
}

fn carries_content(method: &AMQPClass) -> bool {
    use basic::AMQPMethod::{Deliver, GetOk, Publish, Return};
    matches!(method, AMQPClass::Basic(Publish(_) | Deliver(_) | GetOk(_) | Return(_)))
}
