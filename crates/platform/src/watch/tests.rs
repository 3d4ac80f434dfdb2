use super::*;
use crate::bounds::Bounds;
use crate::config::Limits;
use crate::endpoint_events::RECORD;
use crate::executors;
use stagehoist::{EndpointUpdate, Lifecycle, WorkerId};
use stagehoist_gateway::clock::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const LIMIT: Duration = Duration::from_secs(20);

/// An event that executor `id` drains.
fn drains(number: u64, id: WorkerId) -> Vec<u8> {
    let mut b = (9 + RECORD as u32).to_be_bytes().to_vec();
    b.extend(number.to_be_bytes());
    b.push(2);
    b.extend(id.to_be_bytes());
    b.extend([127, 0, 0, 1, 0, 9, 1, 0, 0, 0, 0]);
    b.extend(1000u32.to_be_bytes());
    b.extend([0; 8]);
    b
}

/// No client cancels anything.
struct All;

impl executors::ClientLookup for All {
    fn presence(&self, _: stagehoist_gateway::state::Ticket) -> executors::ClientPresence {
        executors::ClientPresence::Waiting
    }
}

fn stage(room: usize) -> (Rc<Shared>, Rc<Executors>, mpsc::Receiver<Input>) {
    let (inputs, incoming) = mpsc::channel(room);
    let shared = Rc::new(Shared::new(Clock::new(), inputs));
    let bounds = Bounds::new(&Limits { cores: 1.0, memory_mb: 64.0, sockets: 256 });
    let limits = executors::Limits {
        streams: 1,
        idle_close: 1_000_000,
        connect_timeout: 50_000,
        order_timeout: 1_000_000,
        report: Vec::new(),
        classes: Vec::new(),
    };
    (shared.clone(), Rc::new(Executors::new(shared, Rc::new(All), limits, bounds)), incoming)
}

async fn asked(bus: &TcpListener) -> (tokio::net::TcpStream, u64) {
    let (mut stream, _) = bus.accept().await.unwrap();
    let mut last = [0; 8];
    stream.read_exact(&mut last).await.unwrap();
    (stream, u64::from_be_bytes(last))
}

/// The driver's line is full, three drains are read in one piece and one of them is handed on, when word of another
/// address comes: the others are handed on all the same, once each, whatever the new connection asks for.
#[test]
fn drains_that_wait_for_a_full_line_are_kept_when_the_bus_moves() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    let test = local.run_until(async {
        // Room for the filler, how long the list is valid at the start and once the bus is asked, and one drain.
        let (shared, executors, mut incoming) = stage(4);
        let (old, new) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let (moves, seen) = watch::channel(old.local_addr().unwrap());
        let filler = Input::ClientGone(0);
        shared.inputs.send(filler).await.unwrap();
        let bus = EventSubscription::new(1, shared.clock.now());
        let following = tokio::task::spawn_local(watch_events(
            shared.clone(),
            executors,
            bus,
            StartTimes::default(),
            seen,
        ));
        let (mut stream, last) = asked(&old).await;
        assert_eq!(last, 1);
        let three = [drains(2, 7), drains(3, 8), drains(4, 9)].concat();
        stream.write_all(&three).await.unwrap();
        while shared.inputs.capacity() > 0 {
            tokio::task::yield_now().await;
        }
        // Of what was read in that turn two events have no room.
        moves.send_replace(new.local_addr().unwrap());
        // Word of the move is seen before there is room.
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        let mut drained = Vec::new();
        while drained.len() < 3 {
            match incoming.recv().await.unwrap() {
                Input::EndpointUpdate { kind: form, endpoints: settings } => {
                    assert_eq!(
                        (form, settings[0].endpoint.lifecycle),
                        (EndpointUpdate::Delta, Lifecycle::Draining)
                    );
                    drained.push(settings[0].endpoint.worker);
                }
                other => assert!(
                    matches!(other, Input::ClientGone(0) | Input::EndpointListValid { .. }),
                    "{other:?}"
                ),
            }
        }
        assert_eq!(drained, [7, 8, 9]);
        let (mut stream, last) = asked(&new).await;
        assert_eq!(last, 4);
        stream.write_all(&drains(5, 10)).await.unwrap();
        let settings = loop {
            match incoming.recv().await.unwrap() {
                Input::EndpointUpdate { endpoints, .. } => break endpoints,
                other => assert!(matches!(other, Input::EndpointListValid { .. }), "{other:?}"),
            }
        };
        assert_eq!(settings[0].endpoint.worker, 10);
        following.abort();
    });
    let done = runtime.block_on(async { tokio::time::timeout(LIMIT, test).await });
    assert!(done.is_ok(), "a drain was lost");
}
