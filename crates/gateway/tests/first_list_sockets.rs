//! Before the first endpoint list nothing is consumed, over sockets: an emulator broker, a list that fails
//! as the front end starts, and a worker that answers all it is asked.

mod caller;

use caller::{Caller, LONG};
use stagehoist_config::parse;
use stagehoist_emulator::broker::{self, Broker, BrokerOptions, Faults, Handle};
use stagehoist_emulator::list::{Listed, Registry};
use stagehoist_gateway::driver::FrontEndState;
use stagehoist_gateway::{metrics, serve, Running};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// A call may wait for a list on a slow machine.
const PATIENT: &str = "aim 20s give-up 60s";
/// Where nobody can run it, a call is held no longer than this.
const USUAL: &str = "aim 800ms give-up 2500ms";

/// Runs something on a thread with a runtime of its own, beside a listening socket.
fn beside<F: std::future::Future<Output = ()> + 'static>(
    work: impl FnOnce(tokio::net::TcpListener) -> F + Send + 'static,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&rt, async move {
            work(tokio::net::TcpListener::from_std(listener).unwrap()).await;
        });
    });
    address
}

/// Answers every request on every connection.
fn start_worker() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut got, mut byte) = (Vec::new(), [0u8]);
                while matches!(stream.read(&mut byte), Ok(1)) {
                    got.push(byte[0]);
                    // Calls have a body of two bytes, health checks none.
                    let call = got.starts_with(b"POST") && !String::from_utf8_lossy(&got).contains("/load");
                    let end = got.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
                    if end.is_some_and(|end| got.len() >= end + if call { 2 } else { 0 }) {
                        got.clear();
                        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

struct World {
    list: Registry,
    broker: Handle,
    address: String,
    running: Running,
    caller: Caller,
}

impl World {
    /// A front end that starts while the list fails; callers wait for `patience`.
    fn new(patience: &str, more: &str, metrics: bool) -> World {
        let (broker, commands) = Handle::new();
        let address = beside(move |listener| async move {
            broker::serve(listener, Broker::new(BrokerOptions::default()), commands).await.unwrap();
        });
        let list = Registry::new();
        list.set_failing(true);
        let (shown, worker) = (list.clone(), start_worker());
        let list_address = beside(move |listener| async move {
            shown.serve(listener, [("w1".to_string(), worker)].into()).await.unwrap();
        });
        let text = format!(
            "class lookup {patience}\nfunction f class lookup memory 64MB\n\
             broker amqp://guest:guest@{address}/\nconsume calls declare transient\n\
             reconnect first 10ms most 100ms\nworker-list consul http://{list_address} service workers wait 1s\n{more}"
        );
        let config = parse("first.conf", &text).unwrap();
        // The caller's queues stand before the front end does, as they would at a restart.
        let caller = Caller::new(&address);
        let handle = metrics.then(|| metrics::install().unwrap());
        let running = serve(&config, handle).unwrap();
        World { list, broker, address, running, caller }
    }

    fn until(&self, what: &str, wanted: impl Fn(FrontEndState) -> bool) {
        let by = Instant::now() + LONG;
        while !wanted(self.running.states()[0]) {
            assert!(Instant::now() < by, "{what}: {:?}", self.running.states());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn list_comes(&self, workers: bool) {
        if workers {
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

/// The value of a front end's gauge on the page.
fn shown(running: &Running, gauge: &str) -> Option<f64> {
    let address = running.metrics.unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n").unwrap();
    let mut page = String::new();
    stream.read_to_string(&mut page).unwrap();
    let line = page.lines().find(|l| l.starts_with(&format!("{gauge}{{")))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// The call is there before the list is: it is served by a worker of the first list, and not refused for
/// want of one.
#[test]
fn a_call_that_came_before_the_first_list_is_served_by_it() {
    let mut w = World::new(PATIENT, "list-initial-wait 5m\nlisten metrics 127.0.0.1:0\n", true);
    w.caller.call();
    w.until("the list is awaited", |s| s.awaits_endpoints && !s.consuming);
    assert_eq!(w.caller.declare("calls", true), (1, 0), "messages and consumers");
    assert!(!w.running.is_ready());
    let by = Instant::now() + LONG;
    while shown(&w.running, "stagehoist_amqp_awaits_list") != Some(1.0) {
        assert!(Instant::now() < by, "the page does not say that it waits");
    }
    // The broker restarts, and forgets its transient queues; the front end waits on the next connection too.
    w.broker.fault(Faults::Restart { keep_durable: true });
    w.caller.ended();
    w.caller = Caller::new(&w.address);
    w.caller.call();
    w.list_comes(true);
    assert_eq!(w.caller.reply(), ("served".to_string(), String::new()));
    w.until("ready", |s| s.consuming && !s.awaits_endpoints && s.ready_workers == 1);
    assert!(w.running.is_ready());
    while shown(&w.running, "stagehoist_amqp_awaits_list") != Some(0.0) {
        assert!(Instant::now() < by + LONG, "the page says that it waits");
    }
    w.running.drain();
    w.running.join().unwrap();
}

/// That nobody is there is what an empty list says: calls are refused, long before the wait would end.
#[test]
fn an_empty_list_is_a_list() {
    let mut w = World::new(USUAL, "list-initial-wait 5m\n", false);
    w.until("the list is awaited", |s| s.awaits_endpoints);
    w.list_comes(false);
    w.until("consumes", |s| s.consuming && !s.awaits_endpoints && s.ready_workers == 0);
    w.caller.call();
    assert_eq!(w.caller.reply(), ("refused".to_string(), "no-workers".to_string()));
    w.running.drain();
    w.running.join().unwrap();
}

/// As without a wait: with none told, after a told one, and where the module asks for the list itself.
#[test]
fn where_no_list_comes_calls_are_refused_in_the_end() {
    for told in ["list-initial-wait 0s\n", "list-initial-wait 700ms\n", "list-subscribe yes\n"] {
        let mut w = World::new(USUAL, told, false);
        w.until("consumes", |s| s.consuming && !s.awaits_endpoints);
        w.caller.call();
        assert_eq!(w.caller.reply(), ("refused".to_string(), "no-workers".to_string()), "{told}");
        w.running.drain();
        w.running.join().unwrap();
    }
}

/// Nothing was taken, so nothing is waited for; the call is left to others.
#[test]
fn a_front_end_that_awaits_its_list_drains_at_once() {
    let mut w = World::new(PATIENT, "list-initial-wait 5m\ndrain-most 4m\n", false);
    w.caller.call();
    w.until("the list is awaited", |s| s.awaits_endpoints);
    let begin = Instant::now();
    w.running.drain();
    w.running.join().unwrap();
    assert!(begin.elapsed() < Duration::from_secs(60), "{:?}", begin.elapsed());
    assert_eq!(w.caller.declare("calls", true), (1, 0));
}
