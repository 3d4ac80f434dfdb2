//! The drain of a front end on a real socket. The test holds the other end of the socket, and forwards bytes between the
//! gateway and an emulated broker without sockets at chosen moments.

use bytes::Bytes;
use stagehoist_amqp::{basic, header_text, long, queue, short};
use stagehoist_amqp::{AMQPClass, BasicProperties, Client, ClientEvent, ClientOptions, FieldTable};
use stagehoist_config::parse;
use stagehoist_emulator::broker::{Broker, BrokerOptions};
use stagehoist_gateway::serve;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(30);

/// Starts a worker that answers every request with success, and returns its address.
fn worker() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            std::thread::spawn(move || serve_requests(stream.unwrap()));
        }
    });
    address
}

fn serve_requests(mut stream: TcpStream) -> Option<()> {
    let (mut received, mut byte) = (Vec::new(), [0u8]);
    loop {
        while !received.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            received.push(byte[0]);
        }
        let head = String::from_utf8(std::mem::take(&mut received)).ok()?.to_lowercase();
        let length = head.split("content-length:").nth(1).and_then(|l| l.lines().next()?.trim().parse().ok());
        stream.read_exact(&mut vec![0u8; length.unwrap_or(0)]).ok()?;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"copies\":1}").ok()?;
    }
}

/// The broker with its caller, and the gateway's socket.
struct World {
    broker: Broker,
    caller: (u64, Client, u16),
    front: (u64, TcpStream),
    started: Instant,
    answers: Vec<(String, String)>,
}

impl World {
    fn now(&self) -> i64 {
        self.started.elapsed().as_micros() as i64
    }

    /// Transfers the pending bytes between the caller and the broker.
    fn transfer_caller(&mut self) {
        for _ in 0..20 {
            let now = self.now();
            let (number, client, _) = &mut self.caller;
            let out = client.output().split();
            client.record_written(out.len(), now);
            self.broker.receive(*number, &out, now);
            let back = self.broker.take_output(*number).unwrap();
            client.receive(&back, now);
            while let Some(event) = client.event() {
                let ClientEvent::Delivered(_, m) = event else { continue };
                let headers = m.properties.headers().clone().unwrap();
                let id = m.properties.correlation_id().as_ref().unwrap().as_str().to_string();
                self.answers.push((id, header_text(&headers, "outcome").unwrap()));
            }
            if out.is_empty() && back.is_empty() {
                return;
            }
        }
    }

    /// Forwards what the gateway wrote to the broker; false once the gateway closed the connection.
    fn receive_from_gateway(&mut self) -> bool {
        let mut buffer = vec![0u8; 64 << 10];
        match self.front.1.read(&mut buffer) {
            Ok(0) => false,
            Ok(n) => {
                let now = self.now();
                self.broker.receive(self.front.0, &buffer[..n], now);
                true
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                panic!("the gateway sent nothing in time")
            }
            Err(_) => false,
        }
    }

    /// Forwards the broker's pending output to the gateway.
    fn send_to_gateway(&mut self) {
        let out = self.broker.take_output(self.front.0).unwrap_or_default();
        // A gateway that closed receives nothing; missing bytes would show in the answers.
        let _ = self.front.1.write_all(&out);
    }

    fn publish(&mut self, id: &str) {
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long("recurring"));
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
        let (_, client, channel) = &mut self.caller;
        client.publish(*channel, publish, &properties, &Bytes::from_static(b"{}"));
        self.transfer_caller();
    }
}

/// Deliveries are in the broker's output, or partly in the socket, when the drain is ordered. The gateway has sent its
/// `basic.cancel`, and must accept and answer the deliveries that arrive before the broker's confirmation.
#[test]
fn deliveries_in_flight_when_the_drain_is_ordered_are_answered_before_the_end() {
    for mode in ["confirm", "transaction"] {
        for part in [0, 100] {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let folder = tempfile::tempdir().unwrap();
            let list = folder.path().join("workers.list");
            std::fs::write(&list, format!("w1 {} capacity 4\n", worker())).unwrap();
            let text = format!(
                "front-ends 1\nclass record aim 4s give-up 20s effect unsafe\n\
                 function recurring class record memory 64MB\nbroker amqp://{}/\nreplies {mode}\n\
                 consume calls declare transient\nworker-list file {} poll 20ms\n",
                listener.local_addr().unwrap(),
                list.display()
            );
            let running = serve(&parse("d.conf", &text).unwrap(), None).unwrap();
            let (stream, _) = listener.accept().unwrap();
            stream.set_read_timeout(Some(LONG)).unwrap();
            let mut broker = Broker::new(BrokerOptions::default());
            let (caller, front) = (broker.connect(0), broker.connect(0));
            let caller = (caller, Client::new(ClientOptions::default(), 0), 0);
            let (front, started) = ((front, stream), Instant::now());
            let mut w = World { broker, caller, front, started, answers: Vec::new() };
            w.transfer_caller();
            let channel = w.caller.1.open_channel().unwrap();
            w.caller.2 = channel;
            let declare = stagehoist_amqp::declare("replies");
            let consume = basic::Consume { no_ack: true, ..stagehoist_amqp::consume("replies", "r") };
            w.caller.1.send(channel, AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
            w.caller.1.send(channel, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
            w.transfer_caller();
            while w.broker.consumers_of("calls").is_empty() {
                assert!(w.receive_from_gateway());
                w.send_to_gateway();
            }
            while !running.is_ready() {
                assert!(w.started.elapsed() < LONG, "{:?}", running.states());
                std::thread::yield_now();
            }
            w.publish("a");
            w.publish("b");
            assert_eq!(w.broker.stats.delivered, 2, "both deliveries are in flight");
            let pending = w.broker.take_output(w.front.0).unwrap();
            w.front.1.write_all(&pending[..part]).unwrap();
            running.drain();
            while !w.broker.consumers_of("calls").is_empty() {
                assert!(w.receive_from_gateway(), "the gateway closed before its consumer was cancelled");
            }
            w.front.1.write_all(&pending[part..]).unwrap();
            w.send_to_gateway();
            while w.receive_from_gateway() {
                w.transfer_caller();
                w.send_to_gateway();
            }
            running.join().unwrap();
            let now = w.now();
            w.broker.disconnect(w.front.0, now);
            w.transfer_caller();
            w.answers.sort_unstable();
            let served = ["a", "b"].map(|id| (id.to_string(), "served".to_string()));
            assert_eq!(w.answers, served, "{mode} {part}");
            assert_eq!((w.broker.depth("calls"), w.broker.stats.acked), (Some(0), 2), "{mode} {part}");
        }
    }
}
