//! A client cancels or disconnects while its request waits for a connection to an executor, or for a retry.

use crate::stage::{ms, Stage, KEYS};
use rustix::process::Signal;
use serde_json::json;
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{after_leaving, ExecutorRequest, Fault};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Returns a listener whose accept queue is full: the next handshake waits until connections are accepted.
async fn full() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let (address, mut full) = (listener.local_addr().unwrap(), Vec::new());
    while let Ok(Ok(stream)) = tokio::time::timeout(ms(100), TcpStream::connect(address)).await {
        full.push(stream);
    }
    (listener, address, full)
}

/// Returns the number of handshakes in progress with an address, as reported by the system.
fn pending_handshakes(address: SocketAddr) -> usize {
    let to = format!(":{:04X} 02 ", address.port());
    std::fs::read_to_string("/proc/net/tcp").unwrap().lines().filter(|l| l.contains(&to)).count()
}

/// Also if the settings say that attempts can't be cancelled, because an unwritten request needs no cancellation.
#[tokio::test]
async fn a_request_cancelled_during_a_handshake_is_never_written() {
    for cancel in [true, false] {
        let (listener, address, full) = full().await;
        let stage = Stage::start_with(1, 256, |document| {
            document["known"]["batch"][0]["topology"]["hosts"][0]["dial"] = json!(address.to_string());
            document["settings"]["limits"]["cancel"] = json!(cancel);
            document["settings"]["limits"]["connect_timeout"] = json!(8000.0);
        })
        .await;
        let mut client = stage.client().await;
        let fields = |n: u64| {
            format!(
                "ref={n:016x},allow=1900,project=acme,lookup={},effort=20,extras=memory_mb:64;lanes:4",
                KEYS[0]
            )
        };
        client.request(2, "look", &fields(2), b"left").await.unwrap();
        let deadline = Instant::now() + ms(5000);
        while pending_handshakes(address) == 0 {
            assert!(Instant::now() < deadline, "no attempt waits for a handshake");
            tokio::time::sleep(ms(1)).await;
        }
        client.raw(&array(&[b"ABORT", b"2"])).await.unwrap();
        client.raw(&array(&[b"HEALTH", b"3", b""])).await.unwrap();
        assert_eq!(client.wait(1, ms(5000)).await[0].word, "serving", "the cancellation was not read");
        // The handshake completes; the first request written on the connection must be one whose client still waits.
        let mut streams = Vec::new();
        let (mut read, mut number) = (String::new(), 4);
        let deadline = Instant::now() + ms(15_000);
        while !read.contains("RUN ") {
            assert!(Instant::now() < deadline, "no request of a waiting client is written");
            if let Ok(Ok((stream, _))) = tokio::time::timeout(ms(20), listener.accept()).await {
                streams.push(stream);
            }
            if streams.len() > full.len() {
                client.request(number, "look", &fields(number), b"waits").await.unwrap();
                number += 1;
                for stream in &mut streams {
                    let mut bytes = vec![0; 4096];
                    if let Ok(Ok(n)) = tokio::time::timeout(ms(50), stream.read(&mut bytes)).await {
                        read.push_str(&String::from_utf8_lossy(&bytes[..n]));
                    }
                }
            }
        }
        assert!(!read.contains("RUN 0000000000000002"), "cancel {cancel}: {read}");
    }
}

/// The process is stopped with calls in progress. When it continues, its sockets contain errors, each of which calls
/// for a retry, and the cancellations of the client.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_attempt_starts_for_a_client_that_left_while_the_process_was_stopped() {
    for closes in [false, true] {
        let mut stage = Stage::start(2, 256).await;
        stage.executors.iter().for_each(|e| e.spoil([Fault::Error; 24]));
        let mut client = stage.client().await;
        for n in 1..=12 {
            // Calls with even numbers may run again.
            stage.call(&mut client, 2 * n).await;
        }
        let ended = |stage: &Stage| {
            let seen = stage.executors.iter().flat_map(|e| e.seen());
            seen.filter(|s| matches!(s.what, ExecutorRequest::Answered { .. })).count()
        };
        let deadline = Instant::now() + ms(5000);
        while stage.runs(0) + stage.runs(1) < 12 {
            assert!(Instant::now() < deadline, "not all attempts are in progress");
            tokio::time::sleep(ms(1)).await;
        }
        stage.signal(Signal::STOP);
        while ended(&stage) < stage.runs(0) + stage.runs(1) {
            assert!(Instant::now() < deadline, "not all attempts have ended");
            tokio::time::sleep(ms(1)).await;
        }
        let answers = client.answers();
        assert!(answers.len() < 12, "no call waits for data that the stopped process has not read");
        if closes {
            drop(client);
        } else {
            for n in 1..=12u64 {
                client.raw(&array(&[b"ABORT", (2 * n).to_string().as_bytes()])).await.unwrap();
            }
        }
        let left = Instant::now();
        stage.sent.iter_mut().for_each(|a| a.left = Some(left));
        tokio::time::sleep(ms(150)).await;
        stage.signal(Signal::CONT);
        let mut other = stage.client().await;
        for n in 51..=54 {
            stage.call(&mut other, 2 * n).await;
        }
        let all: Vec<_> = answers.into_iter().chain(other.wait(4, ms(4000)).await).collect();
        stage.verdict(&all);
        let seen: Vec<_> = stage.executors.iter().map(|e| (e.id, e.seen())).collect();
        let after = after_leaving(&stage.sent, &seen);
        assert_eq!(after.late, 0, "{after}");
    }
}
