//! Crossings on real sockets, without a wait between the two events.

use crate::queues::{at_once, drain, full};
use crate::stage::{listen, on_one_thread, Side, Stage};
use bytes::Bytes;
use socket2::SockRef;
use stagehoist::Outcome;
use stagehoist_gateway::state::Input;
use std::io::Write;
use std::net::TcpStream;

/// Fills an accept queue of one, so that the next handshake waits until it is taken from.
fn fill(address: std::net::SocketAddr) -> Vec<TcpStream> {
    let limit = std::time::Duration::from_millis(100);
    (0..4).map_while(|_| TcpStream::connect_timeout(&address, limit).ok()).collect()
}

#[test]
fn nothing_is_written_for_a_client_that_left_during_the_handshake() {
    on_one_thread(async {
        let (listener, address) = listen(0);
        let full = fill(address);
        let stage = Stage::new(1, 64);
        stage.at(address);
        stage.send(1);
        tokio::task::yield_now().await;
        stage.send(2);
        stage.executors.abort(1, 0);
        stage.executors.flush_all();
        drop(full);
        // The connections that filled the queue come first and say nothing.
        let mut sides = Vec::new();
        stage
            .until(|| {
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(true).unwrap();
                    sides.push(Side { stream, read: String::new() });
                }
                sides.iter_mut().any(|s| s.has("RUN 0000000000000002"))
            })
            .await;
        assert!(
            !sides.iter_mut().any(|s| s.has("0000000000000001")),
            "neither the request nor a STOP for it"
        );
    });
}

/// The word comes on a connection that another task reads, as the list of executors does.
#[test]
fn what_a_stopped_process_finds_in_its_sockets_comes_before_what_it_writes() {
    for heard in [false, true] {
        on_one_thread(async {
            let (listener, address) = listen(8);
            let stage = Stage::new(1, 64);
            stage.at(address);
            let (ear, ear_at) = listen(8);
            let mut word = TcpStream::connect(ear_at).unwrap();
            let ear = Side::accept(&stage, &ear).await.stream;
            let ear = tokio::net::TcpStream::from_std(ear).unwrap();
            let (mut side, last, asked) = full(&stage, &listener).await;
            stage.begin(2, Bytes::from_static(b"x"));
            stage.executors.flush_all();
            let executors = stage.executors.clone();
            let left = tokio::task::spawn_local(async move {
                ear.readable().await.unwrap();
                executors.abort(2, 0);
                executors.flush_all();
            });
            tokio::task::yield_now().await;
            // No one looks at the clock here, so that all of this is a gap of the process.
            at_once("a gap", || stage.shared.read_time().1 > 0);
            // Both lie in the sockets at once: room for the rest, and the word; the runtime may know of the
            // first alone.
            drain(&mut side);
            assert!(side.read.len() < asked, "a part of what is ahead of it is not written");
            if heard {
                tokio::task::yield_now().await;
            }
            word.write_all(b"word").unwrap();
            left.await.unwrap();
            stage.until(|| side.has(&format!("RUN {last:016x}")) && side.read.len() >= asked).await;
            stage.send(3);
            stage.until(|| side.has("RUN 0000000000000003")).await;
            assert!(!side.has("RUN 0000000000000002"), "heard of the socket first: {heard}");
        });
    }
}

#[test]
fn an_executor_that_moved_gets_new_work_only_at_its_new_address() {
    on_one_thread(async {
        let ((old, old_at), (new, new_at)) = (listen(8), listen(8));
        let mut stage = Stage::new(8, 64);
        stage.at(old_at);
        stage.send(1);
        let mut before = Side::accept(&stage, &old).await;
        stage.until(|| before.has("RUN 0000000000000001")).await;
        // A further one is open there, and one waits to be written when the word of the move comes.
        stage.begin(2, Bytes::from_static(b"x"));
        let withdrawn = stage.at(new_at);
        assert!(matches!(&withdrawn[..], [Input::AttemptEnded { request: 2, result, .. }]
            if result.outcome == Outcome::ConnectFailed));
        stage.send(3);
        let mut after = Side::accept(&stage, &new).await;
        stage.until(|| after.has("RUN 0000000000000003")).await;
        // What was begun at the old one ends there.
        before.stream.write_all(b"0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        assert_eq!(stage.end().await, (1, Outcome::Ok));
        assert!(!before.has("0000000000000002") && !before.has("0000000000000003"));
        stage.executors.on_tick();
        stage.until(|| !before.take()).await;
    });
}

#[test]
fn a_handshake_with_an_address_that_was_left_carries_nothing() {
    on_one_thread(async {
        let ((_old, old_at), (new, new_at)) = (listen(0), listen(8));
        let full = fill(old_at);
        let stage = Stage::new(8, 64);
        stage.at(old_at);
        stage.send(1);
        tokio::task::yield_now().await;
        let withdrawn = stage.at(new_at);
        assert!(matches!(&withdrawn[..], [Input::AttemptEnded { request: 1, result, .. }]
            if result.outcome == Outcome::ConnectFailed));
        stage.send(2);
        let mut side = Side::accept(&stage, &new).await;
        stage.until(|| side.has("RUN 0000000000000002")).await;
        drop(full);
    });
}

#[test]
fn an_answer_that_lies_in_the_socket_counts_though_a_write_finds_the_connection_reset() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        stage.send(1);
        let mut side = Side::accept(&stage, &listener).await;
        stage.until(|| side.has("RUN 0000000000000001 ") && side.read.ends_with("\r\nx\r\n")).await;
        side.stream.write_all(b"0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        SockRef::from(&side.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(side);
        stage.send(2);
        let mut ends = [stage.end().await, stage.end().await];
        ends.sort_by_key(|e| e.0);
        assert_eq!(ends, [(1, Outcome::Ok), (2, Outcome::ConnectFailed)]);
    });
}

#[test]
fn a_connection_closed_between_its_choice_and_the_write_proves_that_nothing_ran() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        stage.send(1);
        let mut side = Side::accept(&stage, &listener).await;
        stage.until(|| side.has("RUN 0000000000000001")).await;
        side.stream.write_all(b"0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        assert_eq!(stage.end().await, (1, Outcome::Ok));
        stage.begin(2, Bytes::from_static(b"x"));
        drop(side);
        stage.executors.flush_all();
        assert_eq!(stage.end().await, (2, Outcome::ConnectFailed));
    });
}

#[test]
fn ends_come_in_their_order_also_past_a_full_line() {
    on_one_thread(async {
        let mut stage = Stage::new(1, 2);
        (1..=5).for_each(|request| stage.begin_at(7, request, Bytes::new()));
        stage.executors.flush_all();
        let mut ends = Vec::new();
        for _ in 0..5 {
            ends.push(stage.end().await.0);
            // Each turn of the driver passes on what waited.
            stage.executors.flush_all();
        }
        assert_eq!(ends, [1, 2, 3, 4, 5]);
    });
}
