//! Reads the socket queues from the system, and fills a connection's socket.

use crate::stage::{Peer, Stage, WAIT};
use bytes::Bytes;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const LARGE: usize = 256 << 10;
/// Linux delays an acknowledgement by 40 ms.
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(60);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Returns the state of a socket, and the number of bytes in its send and receive queue.
pub fn queues(local: SocketAddr, remote: SocketAddr) -> Option<(u32, usize, usize)> {
    let word = |a: SocketAddr| format!("0100007F:{:04X}", a.port());
    let (local, remote) = (word(local), word(remote));
    let all = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let entry = all.lines().find_map(|row| {
        let words: Vec<&str> = row.split_whitespace().collect();
        (words.get(1) == Some(&&*local) && words.get(2) == Some(&&*remote))
            .then(|| (words[3].to_string(), words[4].to_string()))
    })?;
    let hex = |text: &str| usize::from_str_radix(text, 16).unwrap();
    let (out, received) = entry.1.split_once(':').unwrap();
    Some((hex(&entry.0) as u32, hex(out), hex(received)))
}

/// Polls until a condition holds, without letting the front end run.
pub fn block_until(failure: &str, mut holds: impl FnMut() -> bool) {
    let by = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < by, "{failure}");
        std::thread::yield_now();
    }
}

/// Reads all data of a connection, so that the sender's socket is empty and accepts bytes again; the front end does
/// not run meanwhile.
pub fn drain(peer: &mut Peer) {
    let (local, remote) = (peer.stream.local_addr().unwrap(), peer.stream.peer_addr().unwrap());
    block_until("the connection is not drained", || {
        peer.read_available();
        let (sender, reader) = (queues(remote, local).unwrap(), queues(local, remote).unwrap());
        sender.1 == 0 && reader.2 == 0
    });
}

/// Returns the number of bytes of a connection that its reader has not read. Bytes that have arrived count twice until
/// the sender has their acknowledgement, so this is the smallest sum of both queues within the delay of
/// acknowledgements.
fn on_the_way(peer: &Peer) -> usize {
    let (local, remote) = (peer.stream.local_addr().unwrap(), peer.stream.peer_addr().unwrap());
    let sum = || queues(remote, local).unwrap().1 + queues(local, remote).unwrap().2;
    let until = Instant::now() + ACKNOWLEDGEMENT_DELAY;
    let mut smallest = sum();
    while Instant::now() < until {
        std::thread::sleep(POLL_INTERVAL);
        smallest = smallest.min(sum());
    }
    smallest
}

/// Opens a connection with the small request 100 in progress and large requests until the socket does not accept one
/// completely. Returns the peer, the number of that request, and the total length of the large ones. Far fewer bytes
/// are unwritten than the socket accepts once it is drained.
pub async fn fill_socket(stage: &Stage, listener: &TcpListener) -> (Peer, u32, usize) {
    let (mut length, mut n) = (0, 100);
    stage.send(n);
    let mut peer = Peer::accept(stage, listener).await;
    stage.until(|| peer.has("RUN ") && peer.read.ends_with("\r\nx\r\n")).await;
    peer.read.clear();
    while length <= on_the_way(&peer) {
        n += 1;
        assert!(n < 131, "the socket is never full");
        stage.start(n, Bytes::from(vec![b'x'; LARGE]));
        stage.executors.flush_all();
        length +=
            format!("RUN {n:016x} class=look,key=7f3a9c21e0b4d655,wait=59999 {LARGE}\r\n\r\n").len() + LARGE;
    }
    (peer, n, length)
}
