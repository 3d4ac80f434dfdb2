use super::*;
use crate::bounds::Bounds;
use crate::config::Limits;
use crate::endpoint_events::RECORD_LENGTH;
use crate::executors;
use stagehoist::{EndpointUpdate, Lifecycle, WorkerId};
use stagehoist_gateway::clock::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const LIMIT: Duration = Duration::from_secs(20);

/// Encodes an event that reports executor `id` as draining.
fn drain_event(number: u64, id: WorkerId) -> Vec<u8> {
    let mut b = (9 + RECORD_LENGTH as u32).to_be_bytes().to_vec();
    b.extend(number.to_be_bytes());
    b.push(2);
    b.extend(id.to_be_bytes());
    b.extend([127, 0, 0, 1, 0, 9, 1, 0, 0, 0, 0]);
    b.extend(1000u32.to_be_bytes());
    b.extend([0; 8]);
    b
}

/// Reports every client as waiting.
struct AllWaiting;

impl executors::ClientLookup for AllWaiting {
    fn presence(&self, _: stagehoist_gateway::state::Ticket) -> executors::ClientPresence {
        executors::ClientPresence::Waiting
    }
}

fn test_setup(capacity: usize) -> (Rc<Shared>, Rc<Executors>, mpsc::Receiver<Input>) {
    let (inputs, incoming) = mpsc::channel(capacity);
    let shared = Rc::new(Shared::new(Clock::new(), inputs));
    tokio::task::spawn_local(shared.clone().run_read_turns());
    let bounds = Bounds::new(&Limits { cores: 1.0, memory_mb: 64.0, sockets: 256 });
    let limits = executors::Limits {
        streams: 1,
        may_probe: true,
        idle_close: 1_000_000,
        connect_timeout: 50_000,
        load_timeout: 1_000_000,
        report_fields: Vec::new(),
        classes: Vec::new(),
    };
    (shared.clone(), Rc::new(Executors::new(shared, Rc::new(AllWaiting), limits, bounds)), incoming)
}

async fn accept_subscription(bus: &TcpListener) -> (tokio::net::TcpStream, u64) {
    let (mut stream, _) = bus.accept().await.unwrap();
    let mut last = [0; 8];
    stream.read_exact(&mut last).await.unwrap();
    (stream, u64::from_be_bytes(last))
}

/// Guards against lost drain events when the bus address changes: the driver's queue is full, three drain events are
/// read at once and only one fits into the queue. The others must be forwarded exactly once, whatever the new
/// connection requests.
#[test]
fn drain_events_queued_behind_a_full_driver_queue_survive_a_change_of_the_bus_address() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    let test = local.run_until(async {
        // Room for the filler, for two reports of the list's validity (at the start and after the subscription
        // request), and for one drain event.
        let (shared, executors, mut incoming) = test_setup(4);
        let (old, new) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let (address_sender, address_receiver) = watch::channel(old.local_addr().unwrap());
        let filler = Input::ClientGone(0);
        shared.inputs.send(filler).await.unwrap();
        let bus = EventSubscription::new(1, shared.clock.now());
        let watching = tokio::task::spawn_local(watch_events(
            shared.clone(),
            executors,
            bus,
            StartTimes::default(),
            address_receiver,
        ));
        let (mut stream, last) = accept_subscription(&old).await;
        assert_eq!(last, 0, "the answer is the last event");
        let three = [drain_event(2, 7), drain_event(3, 8), drain_event(4, 9)].concat();
        stream.write_all(&three).await.unwrap();
        while shared.inputs.capacity() > 0 {
            tokio::task::yield_now().await;
        }
        // Two of the events that were read have no room in the queue.
        address_sender.send_replace(new.local_addr().unwrap());
        // The change of address is noticed before there is room.
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        let mut drained = Vec::new();
        while drained.len() < 3 {
            match incoming.recv().await.unwrap() {
                Input::EndpointUpdate { kind: update, endpoints: listed } => {
                    assert_eq!(
                        (update, listed[0].endpoint.lifecycle),
                        (EndpointUpdate::Delta, Lifecycle::Draining)
                    );
                    drained.push(listed[0].endpoint.worker);
                }
                other => assert!(
                    matches!(other, Input::ClientGone(0) | Input::EndpointListValid { .. }),
                    "{other:?}"
                ),
            }
        }
        assert_eq!(drained, [7, 8, 9]);
        let (mut stream, last) = accept_subscription(&new).await;
        assert_eq!(last, 3, "the answer is the last event");
        stream.write_all(&drain_event(5, 10)).await.unwrap();
        let endpoints = loop {
            match incoming.recv().await.unwrap() {
                Input::EndpointUpdate { endpoints, .. } => break endpoints,
                other => assert!(matches!(other, Input::EndpointListValid { .. }), "{other:?}"),
            }
        };
        assert_eq!(endpoints[0].endpoint.worker, 10);
        watching.abort();
    });
    let done = runtime.block_on(async { tokio::time::timeout(LIMIT, test).await });
    assert!(done.is_ok(), "a drain event was lost");
}
