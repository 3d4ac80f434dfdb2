//! Client connections that are closed, by either side, at the moment of a request.

use crate::stage::{config_classes, ms, Stage, KEYS};
use rustix::process::Signal;
use socket2::{Domain, Socket, Type};
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{ExecutorRequest, Fault};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Connections without a request are closed after 2 s. The process is stopped, and continues when that time has
/// passed and a complete request is in each socket.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_arrives_as_its_inactive_connection_is_closed_is_answered() {
    let mut stage = Stage::start(2, 256).await;
    let mut clients = Vec::new();
    let since = Instant::now();
    for _ in 0..40 {
        clients.push(stage.client().await);
    }
    // Connections are accepted in order: once this one is answered, all are accepted.
    let mut last = stage.client().await;
    last.raw(&array(&[b"HEALTH", b"1", b""])).await.unwrap();
    assert_eq!(last.wait(1, ms(2000)).await.len(), 1);
    stage.signal(Signal::STOP);
    for (n, client) in clients.iter_mut().enumerate() {
        stage.call(client, n as u64 + 1).await;
    }
    tokio::time::sleep(ms(2300).saturating_sub(since.elapsed())).await;
    stage.signal(Signal::CONT);
    let mut answers = Vec::new();
    for (n, client) in clients.iter_mut().enumerate() {
        let got = client.wait(1, ms(3000)).await;
        assert_eq!(got.len(), 1, "request {} was not read before its connection was closed", n + 1);
        answers.extend(got);
    }
    // The requests may be late by the time for which the process was stopped.
    assert!(answers.iter().all(|a| a.word == "200" || a.word == "503" || a.word == "500"));
}

/// A client does not read its answers and has disconnected: its open calls are abandoned although nothing is read
/// from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disconnect_is_detected_while_answers_are_unsent_and_nothing_is_read() {
    let stage = Stage::start_with(1, 256, |document| config_classes(document, "hard_limit", 9000)).await;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // Small segments and a small window, so that a few answers fill the path to it.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.connect(&stage.listen.into()).unwrap();
    let mut client = TcpStream::from(socket);
    let has_seen = |n: u64, stop: bool| {
        stage.executors[0].seen().iter().any(|s| match &s.what {
            ExecutorRequest::Run { id, .. } => !stop && *id == format!("{n:016x}"),
            ExecutorRequest::Stop { id } => stop && *id == format!("{n:016x}"),
            _ => false,
        })
    };
    let seen_within = async |n: u64, stop: bool, limit: Duration| {
        let deadline = Instant::now() + limit;
        while !has_seen(n, stop) && Instant::now() < deadline {
            tokio::time::sleep(ms(5)).await;
        }
        has_seen(n, stop)
    };
    let body = vec![b'x'; 16 << 10];
    let mut ask = |n: u64| {
        let fields = format!("ref={n:016x},allow=9000,project=acme,lookup={},effort=20", KEYS[0]);
        let tag = n.to_string();
        let words = [b"REQ", tag.as_bytes(), b"book", fields.as_bytes(), body.as_slice()];
        client.write_all(&array(&words)).unwrap();
    };
    stage.executors[0].spoil([Fault::Never]);
    ask(1);
    assert!(seen_within(1, false, ms(3000)).await);
    let mut n = 1;
    loop {
        n += 1;
        assert!(n < 400, "the path to the client does not fill up");
        ask(n);
        if !seen_within(n, false, ms(600)).await {
            break;
        }
    }
    client.shutdown(Shutdown::Write).unwrap();
    assert!(seen_within(1, true, ms(1500)).await, "its first call is not abandoned");
    assert!(!has_seen(n, false), "a request that was unread when the client left is forwarded");
}
