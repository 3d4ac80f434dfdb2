//! Races on sockets: connections to workers that close at the moment of a write, and brokers that accept a connection and
//! send nothing.

use bytes::Bytes;
use socket2::SockRef;
use stagehoist::Outcome;
use stagehoist_config::{parse, Config};
use stagehoist_gateway::amqp::link;
use stagehoist_gateway::clock::Clock;
use stagehoist_gateway::state::{Attempt, Input};
use stagehoist_gateway::workers::Workers;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

const LONG: Duration = Duration::from_secs(30);

fn config() -> Rc<Config> {
    let text = "class lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\n\
                broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n";
    Rc::new(parse("c.conf", text).unwrap())
}

async fn within<T>(what: &str, future: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(LONG, future).await.unwrap_or_else(|_| panic!("{what}"))
}

fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Reads one request with a body of `body` bytes; None if the stream ended.
fn request(stream: &mut TcpStream, body: usize) -> Option<Vec<u8>> {
    let (mut received, mut byte) = (Vec::new(), [0u8]);
    while !received.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return None;
        }
        received.push(byte[0]);
    }
    let mut rest = vec![0u8; body];
    stream.read_exact(&mut rest).ok()?;
    received.extend(rest);
    Some(received)
}

fn attempt(request: u32, address: &Rc<str>) -> Attempt {
    Attempt {
        request,
        attempt: 0,
        worker: 1,
        address: address.clone(),
        class: 0,
        function: "f".into(),
        deadline: 0,
        body: Bytes::from_static(b"{}"),
        content_type: None,
        correlation: "c".into(),
        ticket: u64::from(request),
        start_by: i64::MAX,
        connected_by: i64::MAX,
        intent: None,
    }
}

/// How a worker closes an idle connection at the moment when the next request is sent on it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Closing {
    /// It closes only its sending side, and still runs the requests that it reads.
    Half,
    /// It closes both directions.
    Both,
}

/// The close is pending in the socket when the request is written. The request must be sent on a new connection or be
/// reported as in doubt. It must not be reported as unsent if it was sent, and must not run twice.
#[test]
fn an_idle_connection_that_closes_during_a_write_runs_nothing_twice() {
    for closing in [Closing::Half, Closing::Both] {
        let (listener, address) = listen();
        let address: Rc<str> = address.into();
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&rt, async {
            let (sender, mut inputs) = mpsc::channel(8);
            let workers = Workers::new(config(), Clock::new(), sender, None);
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
            workers.attempt(attempt(1, &address));
            let served = listener.try_clone().unwrap();
            let first = tokio::task::spawn_blocking(move || {
                let (mut stream, _) = served.accept().unwrap();
                assert!(request(&mut stream, 2).is_some());
                stream.write_all(answer.as_bytes()).unwrap();
                stream
            });
            let Some(Input::AttemptEnded { result, .. }) =
                within("the attempt did not end", inputs.recv()).await
            else {
                panic!("unexpected input")
            };
            assert_eq!(result.outcome, Outcome::Ok);
            let idle = first.await.unwrap();
            // Lets the task return the connection to the pool.
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            // The gateway does not run in between, so the close and the request are pending at once.
            let old = match closing {
                Closing::Half => {
                    idle.shutdown(Shutdown::Write).unwrap();
                    Some(idle)
                }
                Closing::Both => {
                    drop(idle);
                    None
                }
            };
            workers.attempt(attempt(2, &address));
            let old = tokio::task::spawn_blocking(move || {
                let mut old = old?;
                old.set_read_timeout(Some(LONG)).unwrap();
                request(&mut old, 2)
            });
            let served = listener.try_clone().unwrap();
            let new = std::thread::spawn(move || {
                let (mut stream, _) = served.accept().ok()?;
                let received = request(&mut stream, 2)?;
                stream.write_all(answer.as_bytes()).ok()?;
                Some(received)
            });
            let Some(Input::AttemptEnded { result, .. }) =
                within("the attempt did not end", inputs.recv()).await
            else {
                panic!("unexpected input")
            };
            drop(workers);
            let on_old = old.await.unwrap().is_some();
            // If no new connection was opened, an empty one ends the accepting thread.
            drop(TcpStream::connect(&*address));
            let on_new = new.join().unwrap().is_some();
            match result.outcome {
                Outcome::Ok => assert_eq!((on_old, on_new), (false, true), "{closing:?}"),
                Outcome::Reset => assert!(!on_new, "{closing:?}: a second request without a decision"),
                Outcome::ConnectFailed => assert_eq!((on_old, on_new), (false, false), "{closing:?}"),
                other => panic!("{closing:?}: {other:?}"),
            }
        });
    }
}

/// Guards against a request that starts at its worker after it was aborted: it was written whole, and the system went
/// on sending it after the connection had been closed in order. The worker's small receive buffer stands for a
/// network that delivers nothing; without the abort the request is delivered.
#[test]
fn an_aborted_request_that_has_not_arrived_is_not_delivered_later() {
    const BODY: usize = 64 << 10;
    /// Time for the gateway to do all that it can without the worker.
    const SETTLING: Duration = Duration::from_millis(50);
    for is_aborted in [false, true] {
        let (listener, address) = listen();
        SockRef::from(&listener).set_recv_buffer_size(4 << 10).unwrap();
        let address: Rc<str> = address.into();
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&rt, async {
            let (sender, _inputs) = mpsc::channel(8);
            let workers = Workers::new(config(), Clock::new(), sender, None);
            workers.attempt(Attempt { body: vec![b'x'; BODY].into(), ..attempt(1, &address) });
            tokio::time::sleep(SETTLING).await;
            if is_aborted {
                workers.abort(1, 0);
                tokio::time::sleep(SETTLING).await;
            }
            // The gateway does not run from here on: whatever arrives was in the hands of the system.
            let (mut stream, _) = listener.accept().unwrap();
            stream.set_read_timeout(Some(LONG)).unwrap();
            assert_eq!(request(&mut stream, BODY).is_some(), !is_aborted);
        });
    }
}

/// The operating system of a stopped broker still accepts connections, but nothing is ever received on them. The front
/// end must try the next broker.
#[test]
fn a_broker_that_accepts_the_connection_and_sends_nothing_is_skipped() {
    let (_silent, first) = listen();
    let (next, second) = listen();
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\nbroker amqp://{first}/\n\
         broker amqp://{second}/\nconsume calls\nreconnect first 10ms most 100ms\nworker-list file none\n"
    );
    let config = Rc::new(parse("c.conf", &text).unwrap());
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&rt, async {
        let (sender, _inputs) = mpsc::channel(8);
        let (_to_link, from_driver) = mpsc::unbounded_channel();
        let (state, _seen) = watch::channel(link::LinkState::default());
        let clock = Clock::new();
        let link = tokio::task::spawn_local(link::run(config, (1, clock), None, sender, from_driver, state));
        next.set_nonblocking(true).unwrap();
        let next = tokio::net::TcpListener::from_std(next).unwrap();
        within("the second broker was not tried", next.accept()).await.unwrap();
        link.abort();
    });
}
