//! The environment of a divided fleet on sockets: broker, list of front ends, workers, a caller, and a connection
//! that can be cut.
#![allow(dead_code)]

use bytes::Bytes;
use stagehoist_amqp::{basic, header_text, long, queue, short, AMQPClass, BasicProperties, Client};
use stagehoist_amqp::{ClientEvent, ClientOptions, FieldTable};
use stagehoist_emulator::broker::{self, Broker, BrokerOptions, Handle};
use stagehoist_emulator::list::{Listed, Registry};
use stagehoist_gateway::shards;
use stagehoist_sharding::{HomeShards, Key, Shard};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const LONG: Duration = Duration::from_secs(30);

pub fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

pub fn in_background<F>(task: impl FnOnce() -> F + Send + 'static)
where
    F: std::future::Future<Output = std::io::Result<()>>,
{
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&rt, async move { task().await.unwrap() });
    });
}

pub fn start_broker() -> (String, Handle) {
    let (handle, commands) = Handle::new();
    let (listener, address) = listen();
    listener.set_nonblocking(true).unwrap();
    in_background(move || async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        broker::serve(listener, Broker::new(BrokerOptions::default()), commands).await
    });
    (address, handle)
}

pub fn start_list(registry: Registry, names: Vec<String>) -> String {
    let (listener, address) = listen();
    listener.set_nonblocking(true).unwrap();
    let addresses = names.into_iter().map(|n| (n, "127.0.0.1:9".to_string())).collect();
    in_background(move || async move {
        registry.serve(tokio::net::TcpListener::from_std(listener)?, addresses).await
    });
    address
}

pub fn put(registry: &Registry, name: &str) {
    registry.tag(name, &["generation-1"]);
    let (name, zone, kind) = (name.to_string(), String::new(), String::new());
    registry.put(Listed { name, zone, kind, cell: 0, capacity: 1.0, started_ms: 0, draining: false });
}

pub type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Starts a worker that answers all calls, and counts the runs by the body of the call.
pub fn start_worker(runs: Runs) -> String {
    let (listener, address) = listen();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let runs = runs.clone();
            std::thread::spawn(move || while answer(&stream, &runs).is_some() {});
        }
    });
    address
}

pub fn answer(mut stream: &TcpStream, runs: &Runs) -> Option<()> {
    let mut reader = BufReader::with_capacity(1, stream);
    let (mut lines, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        length = line.strip_prefix("content-length: ").and_then(|n| n.parse().ok()).unwrap_or(length);
        lines.push(line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    if lines.first()?.ends_with("/infer http/1.1") {
        *runs.lock().unwrap().entry(String::from_utf8(body).unwrap()).or_insert(0) += 1;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").ok()
}

/// A proxy between one front end and the broker; it can be cut permanently.
#[derive(Clone, Default)]
pub struct CuttableProxy(Arc<Mutex<(bool, Vec<TcpStream>)>>);

impl CuttableProxy {
    pub fn start(&self, to: String) -> String {
        let (listener, address) = listen();
        let proxy = self.clone();
        std::thread::spawn(move || {
            for client_side in listener.incoming().map_while(Result::ok) {
                let Ok(broker_side) = TcpStream::connect(&to) else { continue };
                let mut state = proxy.0.lock().unwrap();
                if state.0 {
                    let _ = client_side.shutdown(Shutdown::Both);
                    continue;
                }
                state.1.extend([client_side.try_clone().unwrap(), broker_side.try_clone().unwrap()]);
                for (mut from, mut to) in [
                    (client_side.try_clone().unwrap(), broker_side.try_clone().unwrap()),
                    (broker_side, client_side),
                ] {
                    std::thread::spawn(move || {
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = to.shutdown(Shutdown::Both);
                    });
                }
            }
        });
        address
    }

    pub fn disconnect(&self) {
        let mut state = self.0.lock().unwrap();
        state.0 = true;
        state.1.drain(..).for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }
}

pub struct Caller {
    pub client: Client,
    pub socket: TcpStream,
    pub started_at: Instant,
    pub channel: u16,
    pub answers: BTreeMap<String, Vec<(String, String)>>,
}

impl Caller {
    pub fn new(address: &str) -> Caller {
        let socket = TcpStream::connect(address).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let client = Client::new(ClientOptions::default(), 0);
        let mut caller =
            Caller { client, socket, started_at: Instant::now(), channel: 0, answers: BTreeMap::new() };
        caller.wait_for("open", |e| matches!(e, ClientEvent::Open).then_some(()));
        caller.channel = caller.client.open_channel().unwrap();
        caller.send(AMQPClass::Queue(queue::AMQPMethod::Declare(stagehoist_amqp::declare("replies"))));
        let consume = basic::Consume { no_ack: true, ..stagehoist_amqp::consume("replies", "r") };
        caller.send(AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
        caller
    }

    pub fn send(&mut self, method: AMQPClass) {
        self.client.send(self.channel, method);
    }

    /// Exchanges bytes once and records the answers.
    pub fn exchange(&mut self) -> Vec<ClientEvent> {
        let output = self.client.output().split();
        self.socket.write_all(&output).unwrap();
        let now = self.started_at.elapsed().as_micros() as i64;
        self.client.record_written(output.len(), now);
        let mut bytes = [0; 4096];
        if let Ok(n) = self.socket.read(&mut bytes) {
            self.client.receive(&bytes[..n], now);
        }
        let mut events = Vec::new();
        while let Some(event) = self.client.event() {
            if let ClientEvent::Delivered(_, m) = &event {
                let id = m.properties.correlation_id().as_ref().unwrap().as_str().to_string();
                let headers = m.properties.headers().clone().unwrap();
                let text = |key| header_text(&headers, key).unwrap_or_default();
                self.answers.entry(id).or_default().push((text("outcome"), text("reason")));
            }
            events.push(event);
        }
        events
    }

    pub fn wait_for<T>(&mut self, what: &str, wanted: impl Fn(ClientEvent) -> Option<T>) -> T {
        let deadline = Instant::now() + LONG;
        loop {
            if let Some(value) = self.exchange().into_iter().find_map(&wanted) {
                return value;
            }
            assert!(Instant::now() < deadline, "{what} not received in time");
        }
    }

    pub fn consumers(&mut self, shard: Shard) -> u32 {
        let name = shards::queue("calls", 1, shard);
        let declare = queue::Declare { passive: true, ..stagehoist_amqp::declare(&name) };
        self.send(AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
        self.wait_for("depth", |e| match e {
            ClientEvent::Method(_, AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)))
                if ok.queue.as_str() == name =>
            {
                Some(ok.consumer_count)
            }
            _ => None,
        })
    }

    pub fn publish(&mut self, id: &str, function: &str, homes: &HomeShards) {
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long(function));
        let properties = BasicProperties::default()
            .with_headers(headers)
            .with_correlation_id(short(id))
            .with_reply_to(short("replies"));
        let to = shards::queue("calls", 1, homes.for_call(Key::of(function), 0));
        let publish = basic::Publish {
            exchange: short(""),
            routing_key: short(&to),
            mandatory: false,
            immediate: false,
        };
        let body = Bytes::from(id.to_string());
        self.client.publish(self.channel, publish, &properties, &body);
    }
}
