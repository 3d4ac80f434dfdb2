//! What lies in sockets' queues, as the system has it, and a connection whose socket is full.

use crate::stage::{Side, Stage, WAIT};
use bytes::Bytes;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

const LARGE: usize = 256 << 10;

/// State of a socket, and the bytes in its send and receive queue, as the system has them.
pub fn queues(local: SocketAddr, remote: SocketAddr) -> Option<(u32, usize, usize)> {
    let word = |a: SocketAddr| format!("0100007F:{:04X}", a.port());
    let (local, remote) = (word(local), word(remote));
    let all = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let line = all.lines().find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        (words.get(1) == Some(&&*local) && words.get(2) == Some(&&*remote))
            .then(|| (words[3].to_string(), words[4].to_string()))
    })?;
    let hex = |text: &str| usize::from_str_radix(text, 16).unwrap();
    let (out, came) = line.1.split_once(':').unwrap();
    Some((hex(&line.0) as u32, hex(out), hex(came)))
}

/// Looks until something holds, without letting the front end run.
pub fn at_once(what: &str, mut holds: impl FnMut() -> bool) {
    let by = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < by, "{what}");
        std::thread::yield_now();
    }
}

/// Reads a connection dry, so that its sender's socket is empty and takes bytes again; the front end does not
/// run meanwhile.
pub fn drain(side: &mut Side) {
    let (local, remote) = (side.stream.local_addr().unwrap(), side.stream.peer_addr().unwrap());
    at_once("it is read dry", || {
        side.take();
        let (sender, reader) = (queues(remote, local).unwrap(), queues(local, remote).unwrap());
        sender.1 == 0 && reader.2 == 0
    });
}

/// Bytes of a connection that its reader has not taken.
fn on_the_way(side: &Side) -> usize {
    let (local, remote) = (side.stream.local_addr().unwrap(), side.stream.peer_addr().unwrap());
    queues(remote, local).unwrap().1 + queues(local, remote).unwrap().2
}

/// A connection on which small request 100 is in progress and large ones lie until the socket did not take one
/// whole: the number of that one, and all their bytes. Far fewer are unwritten than the socket takes once it
/// is read dry.
pub async fn full(stage: &Stage, listener: &TcpListener) -> (Side, u32, usize) {
    let (mut asked, mut n) = (0, 100);
    stage.send(n);
    let mut side = Side::accept(stage, listener).await;
    stage.until(|| side.has("RUN ") && side.read.ends_with("\r\nx\r\n")).await;
    side.read.clear();
    while asked <= on_the_way(&side) {
        n += 1;
        assert!(n < 131, "the socket is never full");
        stage.begin(n, Bytes::from(vec![b'x'; LARGE]));
        stage.executors.flush_all();
        asked +=
            format!("RUN {n:016x} class=look,key=7f3a9c21e0b4d655,wait=59999 {LARGE}\r\n\r\n").len() + LARGE;
    }
    (side, n, asked)
}
