//! Test harness of an AMQP front, the emulator broker and a caller without sockets. The test transfers the bytes between
//! them and can cut the connection at any point.
#![allow(dead_code, unused_imports)]

pub use bytes::Bytes;
pub use stagehoist_amqp::{
    basic, header_text, long, queue, short, AMQPClass, BasicProperties, Client, ClientEvent, ClientOptions,
    FieldTable,
};
pub use stagehoist_config::{parse, Config};
pub use stagehoist_emulator::broker::{Broker, BrokerOptions, Disconnect};
pub use stagehoist_gateway::amqp::Front;
pub use stagehoist_gateway::state::{Answer, Arrival};
pub use std::rc::Rc;

pub const CONF: &str = "\
class lookup aim 800ms give-up 2500ms
class record aim 800ms give-up 2500ms effect unsafe
function free-times class lookup memory 64MB
function recurring class record memory 64MB
broker amqp://127.0.0.1:1/
consume calls prefetch 10 declare durable
worker-list file none
body-most 1KB
tenant north quota 10/s
";

pub struct Caller {
    pub client: Client,
    pub number: u64,
    pub channel: u16,
    pub answers: Vec<(String, String, String)>,
    /// The headers of each answer.
    pub headers: Vec<FieldTable>,
}

pub struct World {
    pub broker: Broker,
    pub front: Front,
    pub front_at: Option<u64>,
    pub caller: Caller,
    pub now: i64,
}

pub fn config(more: &str) -> Rc<Config> {
    Rc::new(parse("test.conf", &format!("{CONF}{more}")).unwrap())
}

impl World {
    pub fn new(more: &str) -> World {
        let mut broker = Broker::new(BrokerOptions::default());
        let number = broker.connect(0);
        let client = Client::new(ClientOptions::default(), 0);
        let caller = Caller { client, number, channel: 0, answers: Vec::new(), headers: Vec::new() };
        let mut world = World {
            broker,
            front: Front::new(config(more), 1, 1_000_000),
            front_at: None,
            caller,
            now: 1_000_000,
        };
        world.settle();
        let declare = stagehoist_amqp::declare("replies");
        let consume = basic::Consume { no_ack: true, ..stagehoist_amqp::consume("replies", "r") };
        let channel = world.caller.client.open_channel().unwrap();
        world.caller.channel = channel;
        world.caller.client.send(channel, AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
        world.caller.client.send(channel, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
        world.connect();
        world
    }

    pub fn connect(&mut self) {
        let config = config("");
        self.front_at = Some(self.broker.connect(self.now));
        self.front.on_connected(&config.brokers[0], self.now);
        self.settle();
        assert!(self.front.is_ready());
    }

    /// Breaks the front's connection and drops everything in flight on it.
    pub fn cut(&mut self) {
        if let Some(number) = self.front_at.take() {
            self.broker.disconnect(number, self.now);
            self.front.on_disconnected(self.now);
        }
    }

    /// Transfers bytes until nothing is pending.
    pub fn settle(&mut self) {
        for _ in 0..50 {
            self.now += 1000;
            let mut moved = false;
            let out = self.caller.client.output().split();
            if !out.is_empty() {
                moved = true;
                self.caller.client.record_written(out.len(), self.now);
                self.broker.receive(self.caller.number, &out, self.now);
            }
            moved |= self.push_front();
            if let Some(bytes) = self.broker.take_output(self.caller.number).filter(|b| !b.is_empty()) {
                moved = true;
                self.caller.client.receive(&bytes, self.now);
            }
            if let Some(number) = self.front_at {
                if let Some(bytes) = self.broker.take_output(number).filter(|b| !b.is_empty()) {
                    moved = true;
                    self.front.receive(&bytes, self.now, 0);
                }
                if self.broker.is_over(number) {
                    self.cut();
                }
            }
            while let Some(event) = self.caller.client.event() {
                if let ClientEvent::Delivered(_, m) = event {
                    let headers = m.properties.headers().clone().unwrap();
                    let id = m.properties.correlation_id().as_ref().unwrap().as_str().to_string();
                    let text = |key| header_text(&headers, key).unwrap_or_default();
                    self.caller.answers.push((id, text("outcome"), text("reason")));
                    self.caller.headers.push(headers);
                }
            }
            if !moved {
                return;
            }
        }
        panic!("bytes are still pending after 50 rounds");
    }

    pub fn push_front(&mut self) -> bool {
        let Some(number) = self.front_at else { return false };
        self.front.flush(self.now);
        let Some(client) = self.front.client() else { return false };
        let out = client.output().split();
        client.record_written(out.len(), self.now);
        self.broker.receive(number, &out, self.now);
        !out.is_empty()
    }

    pub fn publish(
        &mut self,
        id: &str,
        function: &str,
        edit: impl FnOnce(BasicProperties) -> BasicProperties,
    ) {
        self.publish_body(id, function, b"body", edit);
    }

    pub fn publish_body(
        &mut self,
        id: &str,
        function: &str,
        body: &'static [u8],
        edit: impl FnOnce(BasicProperties) -> BasicProperties,
    ) {
        self.send(id, function, body, edit);
        self.settle();
    }

    /// Publishes a call without transferring any bytes yet.
    pub fn send(
        &mut self,
        id: &str,
        function: &str,
        body: &'static [u8],
        edit: impl FnOnce(BasicProperties) -> BasicProperties,
    ) {
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long(function));
        let properties = BasicProperties::default()
            .with_headers(headers)
            .with_correlation_id(short(id))
            .with_reply_to(short("replies"));
        let publish = basic::Publish {
            exchange: short(""),
            routing_key: short("calls"),
            mandatory: false,
            immediate: false,
        };
        let channel = self.caller.channel;
        self.caller.client.publish(channel, publish, &edit(properties), &Bytes::from_static(body));
    }

    pub fn arrivals(&mut self) -> Vec<Arrival> {
        self.front.take_arrivals()
    }

    pub fn serve(&mut self, arrival: &Arrival) {
        let answer = Answer::Served { body: Bytes::from_static(b"yes"), content_type: None };
        self.front.answer(arrival.ticket, answer, self.now);
    }

    pub fn outcomes(&self) -> Vec<(&str, &str)> {
        self.caller.answers.iter().map(|a| (a.0.as_str(), a.1.as_str())).collect()
    }
}
