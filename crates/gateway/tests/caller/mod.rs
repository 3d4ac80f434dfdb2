//! A test caller of the function `f` over a socket, with a queue for calls and a queue for replies.

use bytes::Bytes;
use stagehoist_amqp::{basic, header_text, long, queue, short, AMQPClass, BasicProperties, Client};
use stagehoist_amqp::{ClientEvent, ClientOptions, FieldTable};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

pub const LONG: Duration = Duration::from_secs(30);

pub struct Caller {
    client: Client,
    socket: TcpStream,
    started: Instant,
    channel: u16,
}

impl Caller {
    /// Connects, and declares the queue of calls and the queue of replies.
    pub fn new(address: &str) -> Caller {
        let socket = TcpStream::connect(address).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let client = Client::new(ClientOptions::default(), 0);
        let mut caller = Caller { client, socket, started: Instant::now(), channel: 0 };
        caller.until(|e| matches!(e, ClientEvent::Open).then_some(()));
        caller.channel = caller.client.open_channel().unwrap();
        caller.declare("calls", false);
        caller.declare("replies", false);
        let consume = basic::Consume { no_ack: true, ..stagehoist_amqp::consume("replies", "r") };
        caller.client.send(caller.channel, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
        caller
    }

    /// Transfers bytes until an event matches, and returns what `wanted` made of it.
    pub fn until<T>(&mut self, wanted: impl Fn(ClientEvent) -> Option<T>) -> T {
        let deadline = Instant::now() + LONG;
        let mut bytes = [0; 4096];
        loop {
            let out = self.client.output().split();
            self.socket.write_all(&out).unwrap();
            let now = self.started.elapsed().as_micros() as i64;
            self.client.record_written(out.len(), now);
            if let Ok(n) = self.socket.read(&mut bytes) {
                self.client.receive(&bytes[..n], now);
            }
            while let Some(event) = self.client.event() {
                if let Some(found) = wanted(event) {
                    return found;
                }
            }
            assert!(Instant::now() < deadline, "expected event not received in time");
        }
    }

    /// Waits until the broker closes the connection.
    pub fn ended(&mut self) {
        let deadline = Instant::now() + LONG;
        let mut bytes = [0; 4096];
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) => return,
                Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return,
                _ => assert!(Instant::now() < deadline, "the broker did not close the connection"),
            }
        }
    }

    /// Declares a queue, and returns the number of its ready messages and of its consumers.
    pub fn declare(&mut self, name: &str, passive: bool) -> (u32, u32) {
        let declare = queue::Declare { passive, ..stagehoist_amqp::declare(name) };
        self.client.send(self.channel, AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
        self.until(|e| match e {
            ClientEvent::Method(_, AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok))) => {
                Some((ok.message_count, ok.consumer_count))
            }
            _ => None,
        })
    }

    pub fn call(&mut self) {
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long("f"));
        let properties = BasicProperties::default()
            .with_headers(headers)
            .with_correlation_id(short("a"))
            .with_reply_to(short("replies"));
        let publish = basic::Publish {
            exchange: short(""),
            routing_key: short("calls"),
            mandatory: false,
            immediate: false,
        };
        self.client.publish(self.channel, publish, &properties, &Bytes::from_static(b"{}"));
    }

    /// Returns the outcome and the reason of the next reply.
    pub fn reply(&mut self) -> (String, String) {
        self.until(|e| match e {
            ClientEvent::Delivered(_, m) => {
                let headers = m.properties.headers().clone().unwrap_or_default();
                let text = |key| header_text(&headers, key).unwrap_or_default();
                Some((text("outcome"), text("reason")))
            }
            _ => None,
        })
    }
}
