//! A client leaves while its request waits for a connection to an executor.

use crate::stage::{ms, Stage, KEYS};
use serde_json::json;
use stagehoist_standin::platform::client::array;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A listener whose queue is full: the next handshake waits until connections are accepted.
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

/// Handshakes under way with an address, as the system has them.
fn waiting(address: SocketAddr) -> usize {
    let to = format!(":{:04X} 02 ", address.port());
    std::fs::read_to_string("/proc/net/tcp").unwrap().lines().filter(|l| l.contains(&to)).count()
}

/// Also where settings say that attempts can't be cancelled: what was not written needs no cancelling.
#[tokio::test]
async fn a_request_whose_client_left_during_a_handshake_is_never_written() {
    for cancel in [true, false] {
        let (listener, address, full) = full().await;
        let stage = Stage::start_with(1, 256, |told| {
            told["known"]["batch"][0]["topology"]["hosts"][0]["dial"] = json!(address.to_string());
            told["settings"]["limits"]["cancel"] = json!(cancel);
            told["settings"]["limits"]["connect_timeout"] = json!(8000.0);
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
        let by = Instant::now() + ms(5000);
        while waiting(address) == 0 {
            assert!(Instant::now() < by, "an attempt waits for its handshake");
            tokio::time::sleep(ms(1)).await;
        }
        client.raw(&array(&[b"ABORT", b"2"])).await.unwrap();
        client.raw(&array(&[b"HEALTH", b"3", b""])).await.unwrap();
        assert_eq!(client.wait(1, ms(5000)).await[0].word, "serving", "the leaving was read");
        // The handshake comes through; what is written first on it is a request of one who waits.
        let mut streams = Vec::new();
        let (mut read, mut number) = (String::new(), 4);
        let by = Instant::now() + ms(15_000);
        while !read.contains("RUN ") {
            assert!(Instant::now() < by, "a request that is waited for is written");
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
