//! A front end consumes nothing before the first endpoint list, over sockets: an emulator broker, a list that fails while
//! the front end starts, and a worker that answers every request.

mod caller;
mod servers;

use caller::{Caller, LONG};
use servers::{spawn_server, start_worker};
use stagehoist_config::parse;
use stagehoist_emulator::broker::{self, Broker, BrokerOptions, Faults, Handle};
use stagehoist_emulator::list::{Listed, Registry};
use stagehoist_gateway::driver::FrontEndState;
use stagehoist_gateway::{metrics, serve, Running};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Class limits with which a call can wait for a list on a slow machine.
const PATIENT: &str = "aim 20s give-up 60s";
/// Class limits that bound how long a call without a worker is held.
const USUAL: &str = "aim 800ms give-up 2500ms";

struct World {
    list: Registry,
    broker: Handle,
    address: String,
    running: Running,
    caller: Caller,
}

impl World {
    /// Starts a front end while the list fails; `patience` is the line of the class's limits.
    fn new(patience: &str, more: &str, metrics: bool) -> World {
        let (broker, commands) = Handle::new();
        let address = spawn_server(move |listener| async move {
            broker::serve(listener, Broker::new(BrokerOptions::default()), commands).await.unwrap();
        });
        let list = Registry::new();
        list.set_failing(true);
        let (registry, worker) = (list.clone(), start_worker());
        let list_address = spawn_server(move |listener| async move {
            registry.serve(listener, [("w1".to_string(), worker)].into()).await.unwrap();
        });
        let text = format!(
            "class lookup {patience}\nfunction f class lookup memory 64MB\n\
             broker amqp://guest:guest@{address}/\nconsume calls declare transient\n\
             reconnect first 10ms most 100ms\nworker-list consul http://{list_address} service workers wait 1s\n{more}"
        );
        let config = parse("first.conf", &text).unwrap();
        // The caller's queues exist before the front end starts, as they would at a restart.
        let caller = Caller::new(&address);
        let handle = metrics.then(|| metrics::install().unwrap());
        let running = serve(&config, handle).unwrap();
        World { list, broker, address, running, caller }
    }

    fn until(&self, what: &str, wanted: impl Fn(FrontEndState) -> bool) {
        let deadline = Instant::now() + LONG;
        while !wanted(self.running.states()[0]) {
            assert!(Instant::now() < deadline, "{what}: {:?}", self.running.states());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn make_list_available(&self, with_worker: bool) {
        if with_worker {
            self.list.put(Listed {
                name: "w1".into(),
                zone: String::new(),
                kind: String::new(),
                cell: 0,
                capacity: 4.0,
                started_ms: 1,
                draining: false,
            });
        }
        self.list.set_failing(false);
    }
}

/// Returns the value of a gauge from the metrics endpoint.
fn gauge_value(running: &Running, gauge: &str) -> Option<f64> {
    let address = running.metrics.unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n").unwrap();
    let mut page = String::new();
    stream.read_to_string(&mut page).unwrap();
    let line = page.lines().find(|l| l.starts_with(&format!("{gauge}{{")))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// A call published before the first list must be served by a worker of that list, and not refused because no worker is
/// known.
#[test]
fn a_call_published_before_the_first_list_is_served_by_a_worker_of_it() {
    let mut w = World::new(PATIENT, "list-initial-wait 5m\nlisten metrics 127.0.0.1:0\n", true);
    w.caller.call();
    w.until("the list is awaited", |s| s.awaits_endpoints && !s.consuming);
    assert_eq!(w.caller.declare("calls", true), (1, 0), "messages and consumers");
    assert!(!w.running.is_ready());
    let deadline = Instant::now() + LONG;
    while gauge_value(&w.running, "stagehoist_amqp_awaits_list") != Some(1.0) {
        assert!(Instant::now() < deadline, "the gauge does not show that the list is awaited");
    }
    // The broker restarts and loses its transient queues; the front end must wait on the next connection too.
    w.broker.fault(Faults::Restart { keep_durable: true });
    w.caller.ended();
    w.caller = Caller::new(&w.address);
    w.caller.call();
    w.make_list_available(true);
    assert_eq!(w.caller.reply(), ("served".to_string(), String::new()));
    w.until("ready", |s| s.consuming && !s.awaits_endpoints && s.ready_workers == 1);
    assert!(w.running.is_ready());
    while gauge_value(&w.running, "stagehoist_amqp_awaits_list") != Some(0.0) {
        assert!(Instant::now() < deadline + LONG, "the gauge still shows that the list is awaited");
    }
    w.running.drain();
    w.running.join().unwrap();
}

/// After an empty list no worker is known, so calls are refused long before the wait would end.
#[test]
fn an_empty_list_is_a_list() {
    let mut w = World::new(USUAL, "list-initial-wait 5m\n", false);
    w.until("the list is awaited", |s| s.awaits_endpoints);
    w.make_list_available(false);
    w.until("consumes", |s| s.consuming && !s.awaits_endpoints && s.ready_workers == 0);
    w.caller.call();
    assert_eq!(w.caller.reply(), ("refused".to_string(), "no-workers".to_string()));
    w.running.drain();
    w.running.join().unwrap();
}

/// Without a list, calls are refused if no wait is configured, after a configured wait, and if the decision module
/// subscribes to the list itself.
#[test]
fn without_a_list_calls_are_refused_after_the_wait() {
    for setting in ["list-initial-wait 0s\n", "list-initial-wait 700ms\n", "list-subscribe yes\n"] {
        let mut w = World::new(USUAL, setting, false);
        w.until("consumes", |s| s.consuming && !s.awaits_endpoints);
        w.caller.call();
        assert_eq!(w.caller.reply(), ("refused".to_string(), "no-workers".to_string()), "{setting}");
        w.running.drain();
        w.running.join().unwrap();
    }
}

/// Nothing was consumed, so the drain has nothing to wait for; the call stays in the queue for others.
#[test]
fn a_front_end_that_awaits_its_list_drains_at_once() {
    let mut w = World::new(PATIENT, "list-initial-wait 5m\ndrain-most 4m\n", false);
    w.caller.call();
    w.until("the list is awaited", |s| s.awaits_endpoints);
    let start = Instant::now();
    w.running.drain();
    w.running.join().unwrap();
    assert!(start.elapsed() < Duration::from_secs(60), "{:?}", start.elapsed());
    assert_eq!(w.caller.declare("calls", true), (1, 0));
}
