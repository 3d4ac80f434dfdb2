//! A broker that sends at full speed what leads to no call: the front end keeps to its other work.

mod caller;
mod servers;

use caller::Caller;
use servers::{spawn_server, start_worker};
use stagehoist_config::parse;
use stagehoist_emulator::broker::{self, Broker, BrokerOptions, Faults, Handle};
use stagehoist_gateway::{serve, Running};
use std::path::Path;
use std::time::{Duration, Instant};

const FLOOD: Duration = Duration::from_secs(6);
/// Time until the flood is under way.
const FLOOD_START: Duration = Duration::from_millis(300);
/// Number of calls during the flood.
const CALLS: usize = 40;
/// The callers' time: [`REPLY_LIMIT`] is in the configuration too.
const REPLY_LIMIT: Duration = Duration::from_millis(2500);
/// Maximum time until a change of the list is seen.
const LIST_LIMIT: Duration = Duration::from_secs(1);
/// Maximum time of a drain without open calls.
const DRAIN_LIMIT: Duration = Duration::from_secs(1);
const NO_WORKERS: &str = "# none\n";

fn wait_ready(running: &Running, is_ready: bool) {
    let start = Instant::now();
    while running.is_ready() != is_ready {
        assert!(start.elapsed() < LIST_LIMIT, "not {is_ready} in time: {:?}", running.states());
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts a front end with one worker, and waits until it serves.
fn start(broker_address: &str, list: &Path, worker: &str) -> Running {
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\n\
         broker amqp://guest:guest@{broker_address}/\nconsume calls declare transient\n\
         worker-list file {} poll 20ms\n",
        list.display()
    );
    std::fs::write(list, worker).unwrap();
    let running = serve(&parse("flood.conf", &text).unwrap(), None).unwrap();
    let start = Instant::now();
    while !running.is_ready() {
        assert!(start.elapsed() < caller::LONG, "not ready: {:?}", running.states());
        std::thread::sleep(Duration::from_millis(10));
    }
    running
}

/// Guards against a link whose socket never runs dry and that keeps the thread from calls, the list and a drain.
#[test]
fn a_broker_that_floods_heartbeats_delays_neither_calls_nor_the_list_nor_a_drain() {
    let (broker, commands) = Handle::new();
    let address = spawn_server(move |listener| async move {
        broker::serve(listener, Broker::new(BrokerOptions::default()), commands).await.unwrap();
    });
    let folder = tempfile::tempdir().unwrap();
    let list = folder.path().join("workers.list");
    let worker = format!("w1 {} capacity 4\n", start_worker());
    let mut caller = Caller::new(&address);
    let running = start(&address, &list, &worker);
    broker.fault(Faults::Heartbeats { queue: "calls".into(), span: FLOOD });
    let flood_start = Instant::now();
    std::thread::sleep(FLOOD_START);
    let mut slowest = Duration::ZERO;
    for _ in 0..CALLS {
        let sent_at = Instant::now();
        caller.call();
        let (outcome, reason) = caller.reply();
        assert_eq!(outcome, "served", "{reason}");
        slowest = slowest.max(sent_at.elapsed());
    }
    std::fs::write(&list, NO_WORKERS).unwrap();
    wait_ready(&running, false);
    std::fs::write(&list, &worker).unwrap();
    wait_ready(&running, true);
    let drained_at = Instant::now();
    running.drain();
    running.join().unwrap();
    let (drain, flood) = (drained_at.elapsed(), flood_start.elapsed());
    broker.fault(Faults::Restart { keep_durable: false });
    caller.ended();
    println!("slowest reply {slowest:?}, drained in {drain:?}, {flood:?} into the flood");
    assert!(flood < FLOOD, "the flood ended before the test: {flood:?}");
    assert!(slowest < REPLY_LIMIT, "{slowest:?}");
    assert!(drain < DRAIN_LIMIT, "{drain:?}");
}
