//! Four front ends of a divided fleet over sockets: each shard's queue has two consumers, and a message in the queue
//! of another shard is refused.

use bytes::Bytes;
use stagehoist_amqp::{basic, header_text, long, queue, short, AMQPClass, BasicProperties, Client};
use stagehoist_amqp::{ClientEvent, ClientOptions, FieldTable};
use stagehoist_config::parse;
use stagehoist_emulator::broker::{self, Broker, BrokerOptions, Handle};
use stagehoist_gateway::serve;
use stagehoist_gateway::shards::{front_end_config, queue as queue_of, Places};
use stagehoist_sharding::FunctionPlacement;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn start_broker() -> (String, Handle) {
    let (handle, commands) = Handle::new();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&rt, async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            broker::serve(listener, Broker::new(BrokerOptions::default()), commands).await.unwrap();
        });
    });
    (address, handle)
}

struct Caller {
    client: Client,
    socket: TcpStream,
    started_at: Instant,
}

impl Caller {
    fn new(address: &str) -> Caller {
        let socket = TcpStream::connect(address).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        Caller { client: Client::new(ClientOptions::default(), 0), socket, started_at: Instant::now() }
    }

    /// Exchanges bytes until an event matches.
    fn wait_for<T>(&mut self, wanted: impl Fn(ClientEvent) -> Option<T>) -> T {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut bytes = [0; 4096];
        loop {
            let output = self.client.output().split();
            self.socket.write_all(&output).unwrap();
            let now = self.started_at.elapsed().as_micros() as i64;
            self.client.record_written(output.len(), now);
            if let Ok(n) = self.socket.read(&mut bytes) {
                self.client.receive(&bytes[..n], now);
            }
            while let Some(event) = self.client.event() {
                if let Some(value) = wanted(event) {
                    return value;
                }
            }
            assert!(Instant::now() < deadline, "event not received in time");
        }
    }
}

#[test]
fn each_queue_has_two_consumers_and_a_message_of_another_shard_is_refused() {
    let (address, _handle) = start_broker();
    let folder = tempfile::tempdir().unwrap();
    let list = folder.path().join("workers.list");
    let workers: String = (0..12).map(|i| format!("w{i} 127.0.0.1:9 capacity 4\n")).collect();
    std::fs::write(&list, workers).unwrap();
    let text = format!(
        "front-ends 4\nshards 4 generation 1\nclass lookup aim 800ms give-up 2500ms\n\
         function f* class lookup memory 64MB\nbroker amqp://guest:guest@{address}/\n\
         consume calls declare transient\nreconnect first 10ms most 100ms\n\
         worker-list file {} poll 20ms\n",
        list.display()
    );
    let config = parse("sockets.conf", &text).unwrap();
    let running = serve(&config, None).unwrap();
    let deadline = Instant::now() + Duration::from_secs(20);
    while !running.is_ready() {
        assert!(Instant::now() < deadline, "not ready in time: {:?}", running.states());
        std::thread::sleep(Duration::from_millis(10));
    }

    let mut caller = Caller::new(&address);
    caller.wait_for(|e| matches!(e, ClientEvent::Open).then_some(()));
    let channel = caller.client.open_channel().unwrap();
    let declared = |e| match e {
        ClientEvent::Method(_, AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok))) => Some(ok.consumer_count),
        _ => None,
    };
    for shard in 0..4 {
        let declare =
            queue::Declare { passive: true, ..stagehoist_amqp::declare(&queue_of("calls", 1, shard)) };
        caller.client.send(channel, AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
        assert_eq!(caller.wait_for(declared), 2, "shard {shard}");
    }

    // The placement of the first front end, and a function that belongs to none of its shards.
    let first = front_end_config(config.clone(), 0);
    let places = Places::new(&first).unwrap();
    let other = (0..)
        .map(|i| format!("f{i}"))
        .find(|f| matches!(places.of(f), FunctionPlacement::Elsewhere(_)))
        .unwrap();
    caller
        .client
        .send(channel, AMQPClass::Queue(queue::AMQPMethod::Declare(stagehoist_amqp::declare("replies"))));
    caller.wait_for(declared);
    let consume = basic::Consume { no_ack: true, ..stagehoist_amqp::consume("replies", "r") };
    caller.client.send(channel, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
    let mut headers = FieldTable::default();
    headers.insert(short("function"), long(other));
    let properties = BasicProperties::default()
        .with_headers(headers)
        .with_correlation_id(short("a"))
        .with_reply_to(short("replies"));
    let publish = basic::Publish {
        exchange: short(""),
        routing_key: short(&first.consume[0].queue),
        mandatory: false,
        immediate: false,
    };
    caller.client.publish(channel, publish, &properties, &Bytes::from_static(b"{}"));
    let reason = caller.wait_for(|e| match e {
        ClientEvent::Delivered(_, m) => header_text(m.properties.headers().as_ref()?, "reason"),
        _ => None,
    });
    assert_eq!(reason, "other-shard");
    running.drain();
    running.join().unwrap();
}
