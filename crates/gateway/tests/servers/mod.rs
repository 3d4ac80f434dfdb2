//! Servers of a test, each on a thread of its own.

use std::io::{Read, Write};
use std::net::TcpListener;
use tokio::task::LocalSet;

/// Runs a server with a new listening socket on a thread with its own runtime, and returns its address.
pub fn spawn_server<F: std::future::Future<Output = ()> + 'static>(
    server: impl FnOnce(tokio::net::TcpListener) -> F + Send + 'static,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&rt, async move {
            server(tokio::net::TcpListener::from_std(listener).unwrap()).await;
        });
    });
    address
}

/// Starts a worker that answers every request on every connection, and returns its address.
pub fn start_worker() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut received, mut byte) = (Vec::new(), [0u8]);
                while matches!(stream.read(&mut byte), Ok(1)) {
                    received.push(byte[0]);
                    // Calls have a body of two bytes, health checks have none.
                    let is_call = received.starts_with(b"POST")
                        && !String::from_utf8_lossy(&received).contains("/load");
                    let end = received.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
                    if end.is_some_and(|end| received.len() >= end + if is_call { 2 } else { 0 }) {
                        received.clear();
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
