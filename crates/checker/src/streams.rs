//! Recorded bytes to AMQP messages and HTTP exchanges. A stream that breaks off gives what was whole.

use crate::capture::{Capture, CaptureEvent, Direction, Micros};
use bytes::{Bytes, BytesMut};
use stagehoist_amqp::content::{Assembler, Item};
use stagehoist_amqp::{AMQPClass, Decoder, Message};
use std::collections::{BTreeMap, HashMap};

/// An AMQP method, or a message, that crossed whole.
#[derive(Clone, Debug)]
pub struct Amqp {
    pub at: Micros,
    pub way: Direction,
    pub channel: u16,
    pub item: AmqpItem,
}

#[derive(Clone, Debug)]
pub enum AmqpItem {
    Method(AMQPClass),
    Message(Box<Message>),
}

/// One HTTP request and what is known of its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// First and last byte of the request.
    pub asked: Micros,
    pub asked_whole: Option<Micros>,
    pub method: String,
    pub path: String,
    pub body: Bytes,
    /// Last byte of a whole answer.
    pub answered: Option<Micros>,
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub answer: Bytes,
    /// The connection ended before a whole answer.
    pub broken: Option<Micros>,
}

/// A connection of one link, with all that crossed.
#[derive(Clone, Debug)]
pub struct Connection {
    pub link: usize,
    pub number: u64,
    pub opened: Micros,
    pub closed: Option<Micros>,
    pub reached: bool,
    pub bytes: Vec<(Micros, Direction, Bytes)>,
}

/// The connections of a capture, in the order in which they were opened.
pub fn connections(capture: &Capture) -> Vec<Connection> {
    let mut all: Vec<Connection> = Vec::new();
    let mut place: HashMap<(usize, u64), usize> = HashMap::new();
    for record in &capture.records {
        let key = (record.link, record.connection);
        match &record.event {
            CaptureEvent::Opened => {
                place.insert(key, all.len());
                all.push(Connection {
                    link: record.link,
                    number: record.connection,
                    opened: record.at,
                    closed: None,
                    reached: true,
                    bytes: Vec::new(),
                });
            }
            what => {
                let Some(connection) = place.get(&key).and_then(|i| all.get_mut(*i)) else { continue };
                match what {
                    CaptureEvent::Bytes(way, bytes) => {
                        connection.bytes.push((record.at, *way, bytes.clone()))
                    }
                    CaptureEvent::Closed => connection.closed = Some(record.at),
                    CaptureEvent::Unreachable => {
                        (connection.closed, connection.reached) = (Some(record.at), false)
                    }
                    CaptureEvent::Opened => {}
                }
            }
        }
    }
    all
}

/// What crossed a connection to a broker, in order of time.
pub fn amqp(connection: &Connection) -> Vec<Amqp> {
    let mut sides = [(Decoder::server(), HashMap::new()), (Decoder::client(), HashMap::new())];
    for (decoder, _) in &mut sides {
        decoder.set_frame_max(0);
    }
    let mut dead = [false, false];
    let mut items = Vec::new();
    for (at, way, bytes) in &connection.bytes {
        let side = usize::from(*way == Direction::In);
        if dead[side] {
            continue;
        }
        let (decoder, assemblers): &mut (Decoder, HashMap<u16, Assembler>) = &mut sides[side];
        decoder.push(bytes);
        loop {
            let frame = match decoder.next_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(_) => {
                    dead[side] = true;
                    break;
                }
            };
            let channel = frame.channel();
            match assemblers.entry(channel).or_default().take(frame, 64 << 20) {
                Ok(Item::Method(method)) => {
                    items.push(Amqp { at: *at, way: *way, channel, item: AmqpItem::Method(method) });
                }
                Ok(Item::Message(message)) => {
                    items.push(Amqp { at: *at, way: *way, channel, item: AmqpItem::Message(message) });
                }
                Ok(Item::More) => {}
                Err(_) => dead[side] = true,
            }
        }
    }
    items
}

/// The exchanges of a connection to an HTTP server, one after the other.
pub fn http(connection: &Connection) -> Vec<Exchange> {
    let mut exchanges: Vec<Exchange> = Vec::new();
    let (mut out, mut back) = (BytesMut::new(), BytesMut::new());
    let mut answered = 0usize;
    let mut begun: Option<Micros> = None;
    for (at, way, bytes) in &connection.bytes {
        match way {
            Direction::Out => {
                begun.get_or_insert(*at);
                out.extend_from_slice(bytes);
                while let Some((used, mut exchange)) = request(&out) {
                    exchange.asked = begun.take().unwrap_or(*at);
                    exchange.asked_whole = Some(*at);
                    exchanges.push(exchange);
                    let _ = out.split_to(used);
                    if !out.is_empty() {
                        begun = Some(*at);
                    }
                }
            }
            Direction::In => {
                back.extend_from_slice(bytes);
                while let Some((used, status, headers, body)) = response(&back) {
                    if let Some(exchange) = exchanges.get_mut(answered) {
                        exchange.answered = Some(*at);
                        (exchange.status, exchange.headers, exchange.answer) = (status, headers, body);
                    }
                    answered += 1;
                    let _ = back.split_to(used);
                }
            }
        }
    }
    // A request that was begun and not finished: the far side can't have had it whole.
    if let Some(begun) = begun.filter(|_| !out.is_empty()) {
        let mut head = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Request::new(&mut head);
        let _ = parsed.parse(&out);
        exchanges.push(Exchange {
            asked: begun,
            asked_whole: None,
            method: parsed.method.unwrap_or("").into(),
            path: parsed.path.unwrap_or("").into(),
            body: Bytes::new(),
            answered: None,
            status: 0,
            headers: BTreeMap::new(),
            answer: Bytes::new(),
            broken: None,
        });
    }
    for exchange in exchanges.iter_mut().filter(|e| e.answered.is_none()) {
        exchange.broken = connection.closed;
    }
    exchanges
}

fn length(headers: &[httparse::Header<'_>]) -> usize {
    let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
    header.and_then(|h| std::str::from_utf8(h.value).ok()?.trim().parse().ok()).unwrap_or(0)
}

fn request(bytes: &[u8]) -> Option<(usize, Exchange)> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(bytes).ok()? else { return None };
    let end = head + length(parsed.headers);
    if bytes.len() < end {
        return None;
    }
    let exchange = Exchange {
        asked: 0,
        asked_whole: None,
        method: parsed.method.unwrap_or("").into(),
        path: parsed.path.unwrap_or("").into(),
        body: Bytes::copy_from_slice(&bytes[head..end]),
        answered: None,
        status: 0,
        headers: BTreeMap::new(),
        answer: Bytes::new(),
        broken: None,
    };
    Some((end, exchange))
}

type Answered = (usize, u16, BTreeMap<String, String>, Bytes);

fn response(bytes: &[u8]) -> Option<Answered> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(bytes).ok()? else { return None };
    let end = head + length(parsed.headers);
    if bytes.len() < end {
        return None;
    }
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let map = parsed.headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    Some((end, parsed.code.unwrap_or(0), map, Bytes::copy_from_slice(&bytes[head..end])))
}
