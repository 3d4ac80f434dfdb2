//! Where two events cross on sockets beside the broker's: connections to workers that close in the instant of
//! a write, and brokers that take a connection and say nothing.

use bytes::Bytes;
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

/// Reads one request without a body, or with a body of two bytes, to its end; None where the stream ended.
fn request(stream: &mut TcpStream, body: usize) -> Option<Vec<u8>> {
    let (mut got, mut byte) = (Vec::new(), [0u8]);
    while !got.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return None;
        }
        got.push(byte[0]);
    }
    let mut rest = vec![0u8; body];
    stream.read_exact(&mut rest).ok()?;
    got.extend(rest);
    Some(got)
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
        intent: None,
    }
}

/// How a worker leaves a connection that was kept, in the instant in which the next request is given to it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    /// It writes nothing more, and what it reads it runs.
    Half,
    /// It closes.
    Whole,
}

/// The close lies in the socket when the request is written: it goes over a new connection, or is known to be
/// in doubt. It is never said not to have left where it did, and never runs twice.
#[test]
fn a_kept_connection_that_closes_in_the_instant_of_a_write_runs_nothing_twice() {
    for leaves in [Leaves::Half, Leaves::Whole] {
        let (listener, address) = listen();
        let address: Rc<str> = address.into();
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&rt, async {
            let (news, mut told) = mpsc::channel(8);
            let workers = Workers::new(config(), Clock::new(), news, None);
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
            workers.attempt(attempt(1, &address));
            let served = listener.try_clone().unwrap();
            let first = tokio::task::spawn_blocking(move || {
                let (mut stream, _) = served.accept().unwrap();
                assert!(request(&mut stream, 2).is_some());
                stream.write_all(answer.as_bytes()).unwrap();
                stream
            });
            let Some(Input::AttemptEnded { result, .. }) = within("no end", told.recv()).await else {
                panic!("something else")
            };
            assert_eq!(result.outcome, Outcome::Ok);
            let kept = first.await.unwrap();
            // The task puts the connection back.
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            // Without a turn of the gateway between: both lie there at once.
            let old = match leaves {
                Leaves::Half => {
                    kept.shutdown(Shutdown::Write).unwrap();
                    Some(kept)
                }
                Leaves::Whole => {
                    drop(kept);
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
                let got = request(&mut stream, 2)?;
                stream.write_all(answer.as_bytes()).ok()?;
                Some(got)
            });
            let Some(Input::AttemptEnded { result, .. }) = within("no end", told.recv()).await else {
                panic!("something else")
            };
            drop(workers);
            let on_old = old.await.unwrap().is_some();
            // Where nothing came over a new connection its thread is let go by an empty one.
            drop(TcpStream::connect(&*address));
            let on_new = new.join().unwrap().is_some();
            match result.outcome {
                Outcome::Ok => assert_eq!((on_old, on_new), (false, true), "{leaves:?}"),
                Outcome::Reset => assert!(!on_new, "{leaves:?}: a second request behind the module's back"),
                Outcome::ConnectFailed => assert_eq!((on_old, on_new), (false, false), "{leaves:?}"),
                other => panic!("{leaves:?}: {other:?}"),
            }
        });
    }
}

/// A stopped broker's connections are taken by its system, and nothing is ever said on them: the next one
/// gets its turn.
#[test]
fn a_broker_that_takes_the_connection_and_says_nothing_is_passed_over() {
    let (_silent, first) = listen();
    let (next, second) = listen();
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\nbroker amqp://{first}/\n\
         broker amqp://{second}/\nconsume calls\nreconnect first 10ms most 100ms\nworker-list file none\n"
    );
    let config = Rc::new(parse("c.conf", &text).unwrap());
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&rt, async {
        let (news, _told) = mpsc::channel(8);
        let (_to_link, from_driver) = mpsc::unbounded_channel();
        let (state, _seen) = watch::channel(link::LinkState::default());
        let clock = Clock::new();
        let link = tokio::task::spawn_local(link::run(config, (1, clock), None, news, from_driver, state));
        next.set_nonblocking(true).unwrap();
        let next = tokio::net::TcpListener::from_std(next).unwrap();
        within("the second broker never got its turn", next.accept()).await.unwrap();
        link.abort();
    });
}
