//! Captures written by hand.
#![allow(dead_code)] // Each test file uses a part of it.

use bytes::{Bytes, BytesMut};
use stagehoist_amqp::codec::{put_content, put_method, PROTOCOL_HEADER};
use stagehoist_amqp::{basic, long, short, AMQPClass, BasicProperties, FieldTable};
use stagehoist_checker::rules::{check, ClassRule, Effect, RuleSet, Verdict};
use stagehoist_checker::{Capture, CaptureEvent, Direction, Link, Micros, Peer, Record, Story};

pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;
pub const CALLERS: usize = 0;
pub const BROKER: usize = 1;
pub const LIST: usize = 2;
pub const W1: usize = 3;
pub const W2: usize = 4;
/// The links of a second front end.
pub const BROKER_B: usize = 5;
pub const W1_B: usize = 6;

pub struct Scene {
    pub records: Vec<Record>,
    pub connections: u64,
    pub callers: u64,
    pub broker: u64,
    pub broker_b: u64,
    /// Calls and answers go by the second front end.
    pub by_b: bool,
}

pub fn properties(id: &str) -> BasicProperties {
    BasicProperties::default().with_correlation_id(short(id))
}

pub fn publish(id: &str, outcome: Option<&str>, function: &str) -> Bytes {
    let mut out = BytesMut::new();
    let publish = basic::Publish {
        exchange: short(""),
        routing_key: short(if outcome.is_some() { "replies" } else { "calls" }),
        mandatory: true,
        immediate: false,
    };
    put_method(&mut out, 1, AMQPClass::Basic(basic::AMQPMethod::Publish(publish)));
    let mut headers = FieldTable::default();
    // `function tenant` of a call, `outcome reason` of a reply.
    let words = outcome.unwrap_or(function).split_once(' ').unwrap_or((outcome.unwrap_or(function), ""));
    let names = if outcome.is_some() { ("outcome", "reason") } else { ("function", "tenant") };
    headers.insert(short(names.0), long(words.0));
    if !words.1.is_empty() {
        headers.insert(short(names.1), long(words.1));
    }
    put_content(
        &mut out,
        1,
        &properties(id).with_headers(headers).with_expiration(short("2500")),
        b"{}",
        8192,
    );
    out.freeze()
}

pub fn deliver(id: &str, outcome: Option<&str>, redelivered: bool) -> Bytes {
    let mut out = BytesMut::new();
    let deliver = basic::Deliver {
        consumer_tag: short("c"),
        delivery_tag: 1,
        redelivered,
        exchange: short(""),
        routing_key: short("x"),
    };
    put_method(&mut out, 1, AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)));
    let mut headers = FieldTable::default();
    if let Some(outcome) = outcome {
        let outcome = outcome.split(' ').next().unwrap_or_default();
        headers.insert(short("outcome"), long(outcome));
    }
    put_content(&mut out, 1, &properties(id).with_headers(headers), b"{}", 8192);
    out.freeze()
}

impl Scene {
    pub fn new() -> Scene {
        let mut scene =
            Scene { records: Vec::new(), connections: 0, callers: 0, broker: 0, broker_b: 0, by_b: false };
        scene.callers = scene.open(0, CALLERS);
        scene.broker = scene.open(0, BROKER);
        scene.broker_b = scene.open(0, BROKER_B);
        let header = Bytes::from_static(&PROTOCOL_HEADER);
        scene.bytes(0, CALLERS, scene.callers, Direction::Out, header.clone());
        scene.bytes(0, BROKER, scene.broker, Direction::Out, header.clone());
        scene.bytes(0, BROKER_B, scene.broker_b, Direction::Out, header);
        scene
    }
    pub fn open(&mut self, at: Micros, link: usize) -> u64 {
        self.connections += 1;
        self.records.push(Record { at, link, connection: self.connections, event: CaptureEvent::Opened });
        self.connections
    }
    pub fn bytes(&mut self, at: Micros, link: usize, connection: u64, way: Direction, bytes: Bytes) {
        self.records.push(Record { at, link, connection, event: CaptureEvent::Bytes(way, bytes) });
    }
    pub fn close(&mut self, at: Micros, link: usize, connection: u64) {
        self.records.push(Record { at, link, connection, event: CaptureEvent::Closed });
    }
    fn front(&self) -> (usize, u64) {
        if self.by_b {
            (BROKER_B, self.broker_b)
        } else {
            (BROKER, self.broker)
        }
    }
    /// A message is handed out, once more or first.
    pub fn deliver(&mut self, at: Micros, id: &str, again: bool) {
        let (link, connection) = self.front();
        self.bytes(at, link, connection, Direction::In, deliver(id, None, again));
    }
    /// A caller publishes a call (`function` or `function tenant`) and the front end gets it.
    pub fn call(&mut self, at: Micros, id: &str, function: &str) -> &mut Scene {
        self.bytes(at, CALLERS, self.callers, Direction::Out, publish(id, None, function));
        self.deliver(at + MS, id, false);
        self
    }
    /// The front end replies (`outcome` or `outcome reason`) and the caller gets it.
    pub fn answer(&mut self, at: Micros, id: &str, outcome: &str) -> &mut Scene {
        let (link, connection) = self.front();
        self.bytes(at, link, connection, Direction::Out, publish(id, Some(outcome), ""));
        self.bytes(at + MS, CALLERS, self.callers, Direction::In, deliver(id, Some(outcome), false));
        self
    }
    /// An attempt on a connection of its own; `answer` is its status and headers, None breaks the connection off.
    pub fn attempt(
        &mut self,
        at: Micros,
        worker: usize,
        id: &str,
        answer: Option<(u16, &str)>,
        took: Micros,
    ) {
        let connection = self.open(at, worker);
        let body = format!("{{\"id\":\"{id}\"}}");
        let request = format!(
            "POST /v2/models/f/infer HTTP/1.1\r\nhost: w\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.bytes(at, worker, connection, Direction::Out, request.into());
        if let Some((status, headers)) = answer {
            let text = format!("HTTP/1.1 {status} X\r\n{headers}content-length: 2\r\n\r\n{{}}");
            self.bytes(at + took, worker, connection, Direction::In, text.into());
        } else {
            self.close(at + took, worker, connection);
        }
    }
    pub fn load(&mut self, at: Micros, worker: usize) {
        self.order(at, worker, "f", "load");
    }
    pub fn order(&mut self, at: Micros, worker: usize, function: &str, what: &str) {
        let connection = self.open(at, worker);
        let path = format!("/v2/repository/models/{function}/{what}");
        let request = format!("POST {path} HTTP/1.1\r\ncontent-length: 0\r\n\r\n");
        self.bytes(at, worker, connection, Direction::Out, request.into());
    }
    /// The list tells of w1 and w2; `states` are `ready`, `draining` or `gone`.
    pub fn list(&mut self, at: Micros, states: [&str; 2]) {
        let connection = self.open(at, LIST);
        let rows: Vec<String> = ["w1", "w2"]
            .iter()
            .zip(states)
            .filter(|(_, s)| *s != "gone")
            .map(|(name, s)| {
                format!(
                    "{{\"Service\":{{\"ID\":\"{name}\",\"Meta\":{{\"state\":\"{s}\",\"started\":\"5\"}}}}}}"
                )
            })
            .collect();
        let body = format!("[{}]", rows.join(","));
        self.bytes(
            at,
            LIST,
            connection,
            Direction::Out,
            "GET /v1/health/service/workers HTTP/1.1\r\n\r\n".into(),
        );
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        self.bytes(at, LIST, connection, Direction::In, text.into());
    }
    pub fn check(mut self, edit: impl FnOnce(&mut RuleSet)) -> Verdict {
        let link = |peer| Link { front_end: Some(0), peer };
        self.records.sort_by_key(|r| r.at);
        let last = self.records.last().map_or(0, |r| r.at);
        // Time goes on, so that nothing is open only because the recording ended.
        self.records.push(Record { at: last + 10 * S, link: W2, connection: 0, event: CaptureEvent::Closed });
        let links = vec![
            Link { front_end: None, peer: Peer::CallersBroker },
            link(Peer::Broker),
            link(Peer::List),
            link(Peer::Worker("w1".into())),
            link(Peer::Worker("w2".into())),
            Link { front_end: Some(1), peer: Peer::Broker },
            Link { front_end: Some(1), peer: Peer::Worker("w1".into()) },
        ];
        let capture = Capture { links, records: self.records, truncated: false };
        let class = |effect| ClassRule { effect, give_up: 2500 * MS };
        let mut charter = RuleSet {
            functions: vec![
                ("safe".into(), class(Effect::Idempotent)),
                ("unsafe".into(), class(Effect::NonIdempotent)),
                ("keyed".into(), class(Effect::IdempotentWithKey { grouped: true, window: S })),
            ],
            answer_grace: 10 * MS,
            drain_grace: S,
            second_copies: false,
            ration: Some((10 * S, 1.0, 0.5)),
            cold: Some((S, 2.0, 0.25, 10 * S)),
            groups: [("w1".to_string(), "a".to_string()), ("w2".to_string(), "b".to_string())].into(),
            ..RuleSet::default()
        };
        edit(&mut charter);
        check(&Story::read(&capture), &charter)
    }
}

pub const NOT_RUN: (u16, &str) = (503, "stagehoist-not-run: queue-full\r\n");

/// The numbers of the rules that a verdict says are broken.
pub fn broken(verdict: &Verdict) -> Vec<u8> {
    verdict.rules.iter().filter(|r| !r.kept).map(|r| r.rule).collect()
}
