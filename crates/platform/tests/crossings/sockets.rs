//! Races on real sockets, without a wait between the two events.

use crate::queues::{block_until, drain, fill_socket};
use crate::stage::{listed, listen, on_one_thread, Peer, Stage};
use bytes::Bytes;
use socket2::SockRef;
use stagehoist::{EndpointUpdate, Lifecycle, Outcome};
use stagehoist_endpoints::NumberedEndpoint;
use stagehoist_gateway::state::Input;
use std::io::Write;
use std::net::TcpStream;

/// Fills a listener's accept queue of one, so that the next handshake waits until a connection is accepted.
fn fill(address: std::net::SocketAddr) -> Vec<TcpStream> {
    let limit = std::time::Duration::from_millis(100);
    (0..4).map_while(|_| TcpStream::connect_timeout(&address, limit).ok()).collect()
}

#[test]
fn nothing_is_written_for_a_request_aborted_during_the_handshake() {
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
        // The connections that filled the queue are accepted first and carry no data.
        let mut peers = Vec::new();
        stage
            .until(|| {
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(true).unwrap();
                    peers.push(Peer { stream, read: String::new() });
                }
                peers.iter_mut().any(|s| s.has("RUN 0000000000000002"))
            })
            .await;
        assert!(
            !peers.iter_mut().any(|s| s.has("0000000000000001")),
            "neither the request nor a STOP for it"
        );
    });
}

/// The abort is triggered by data on a connection that another task reads, as it is with the endpoint list.
#[test]
fn a_process_that_was_stopped_reads_its_sockets_before_it_writes() {
    for is_known in [false, true] {
        on_one_thread(async {
            let (listener, address) = listen(8);
            let stage = Stage::new(1, 64);
            stage.at(address);
            let (watched, watched_address) = listen(8);
            let mut trigger = TcpStream::connect(watched_address).unwrap();
            let watched = Peer::accept(&stage, &watched).await.stream;
            let watched = tokio::net::TcpStream::from_std(watched).unwrap();
            let (mut peer, last, asked) = fill_socket(&stage, &listener).await;
            stage.start(2, Bytes::from_static(b"x"));
            stage.executors.flush_all();
            let executors = stage.executors.clone();
            let left = tokio::task::spawn_local(async move {
                watched.readable().await.unwrap();
                executors.abort(2, 0);
                executors.flush_all();
            });
            tokio::task::yield_now().await;
            // The front end does not run here, so all of this is a stall of the process.
            block_until("no stall is detected", || stage.shared.read_time().1 > 0);
            // Both events are in the sockets at the same time: room for the rest, and the data that triggers the
            // abort. The runtime may know of the first only.
            drain(&mut peer);
            assert!(peer.read.len() < asked, "everything ahead of the request is already written");
            if is_known {
                tokio::task::yield_now().await;
            }
            trigger.write_all(b"word").unwrap();
            left.await.unwrap();
            stage.until(|| peer.has(&format!("RUN {last:016x}")) && peer.read.len() >= asked).await;
            stage.send(3);
            stage.until(|| peer.has("RUN 0000000000000003")).await;
            assert!(!peer.has("RUN 0000000000000002"), "the runtime knew of the socket first: {is_known}");
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
        let mut before = Peer::accept(&stage, &old).await;
        stage.until(|| before.has("RUN 0000000000000001")).await;
        // Another connection is open there, and a request is queued for writing when the address changes.
        stage.start(2, Bytes::from_static(b"x"));
        let withdrawn = stage.at(new_at);
        assert!(matches!(&withdrawn[..], [Input::AttemptEnded { request: 2, result, .. }]
            if result.outcome == Outcome::ConnectFailed));
        stage.send(3);
        let mut after = Peer::accept(&stage, &new).await;
        stage.until(|| after.has("RUN 0000000000000003")).await;
        // A request that was started at the old address ends there.
        before.stream.write_all(b"0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        assert_eq!(stage.end().await, (1, Outcome::Ok));
        assert!(!before.has("0000000000000002") && !before.has("0000000000000003"));
        stage.executors.on_tick();
        stage.until(|| !before.read_available()).await;
    });
}

/// An executor is gone, and a new one with another id came up at its address. The connection to the old one is still open
/// here, with a request in progress and one queued. The list may report both in one event or in two, in either order.
#[test]
fn a_new_executor_at_the_address_of_one_that_is_gone_gets_nothing_on_the_old_connection() {
    for is_one_event in [true, false] {
        for is_new_first in [true, false] {
            on_one_thread(async {
                let ((listener, address), (_other, other_at)) = (listen(8), listen(8));
                // Two executors share two connections, so each has one.
                let mut stage = Stage::new(2, 64);
                stage.at(address);
                stage.worker_at(3, other_at);
                stage.send(1);
                let mut old = Peer::accept(&stage, &listener).await;
                stage.until(|| old.has("RUN 0000000000000001")).await;
                stage.start(2, Bytes::from_static(b"x"));
                let gone = listed(1, address, Lifecycle::Gone);
                let new = listed(2, address, Lifecycle::Ready);
                let records = if is_new_first { [new, gone] } else { [gone, new] };
                let events: Vec<&[NumberedEndpoint]> =
                    if is_one_event { vec![&records] } else { records.chunks(1).collect() };
                let apply = |event: &&[NumberedEndpoint]| stage.executors.apply(EndpointUpdate::Delta, event);
                let withdrawn: Vec<Input> = events.iter().flat_map(apply).collect();
                assert!(matches!(&withdrawn[..], [Input::AttemptEnded { request: 2, result, .. }]
                    if result.outcome == Outcome::ConnectFailed));
                // The old id gets nothing more, and the new one gets its requests on a connection of its own.
                stage.start_at(1, 3, Bytes::from_static(b"x"));
                stage.start_at(2, 4, Bytes::from_static(b"x"));
                stage.executors.flush_all();
                let mut fresh = Peer::accept(&stage, &listener).await;
                stage.until(|| fresh.has("RUN 0000000000000004")).await;
                assert_eq!(stage.end().await, (3, Outcome::ConnectFailed));
                old.stream.write_all(b"0000000000000001 OK - 2\r\nhi\r\n").unwrap();
                assert_eq!(stage.end().await, (1, Outcome::Ok));
                for peer in [&mut old, &mut fresh] {
                    assert!(!peer.has("RUN 0000000000000002") && !peer.has("RUN 0000000000000003"));
                }
                assert!(!old.has("RUN 0000000000000004"));
            });
        }
    }
}

#[test]
fn a_handshake_with_an_outdated_address_carries_no_request() {
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
        let mut peer = Peer::accept(&stage, &new).await;
        stage.until(|| peer.has("RUN 0000000000000002")).await;
        drop(full);
    });
}

#[test]
fn an_unread_answer_counts_although_a_write_finds_the_connection_reset() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        stage.send(1);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000001 ") && peer.read.ends_with("\r\nx\r\n")).await;
        peer.stream.write_all(b"0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        SockRef::from(&peer.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(peer);
        stage.send(2);
        let mut ends = [stage.end().await, stage.end().await];
        ends.sort_by_key(|e| e.0);
        assert_eq!(ends, [(1, Outcome::Ok), (2, Outcome::ConnectFailed)]);
    });
}

#[test]
fn a_connection_closed_between_its_selection_and_the_write_proves_that_nothing_ran() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        stage.send(1);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000001")).await;
        peer.stream.write_all(b"0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        assert_eq!(stage.end().await, (1, Outcome::Ok));
        stage.start(2, Bytes::from_static(b"x"));
        drop(peer);
        stage.executors.flush_all();
        assert_eq!(stage.end().await, (2, Outcome::ConnectFailed));
    });
}

#[test]
fn ends_arrive_in_order_also_with_a_full_driver_queue() {
    on_one_thread(async {
        let mut stage = Stage::new(1, 2);
        (1..=5).for_each(|request| stage.start_at(7, request, Bytes::new()));
        stage.executors.flush_all();
        let mut ends = Vec::new();
        for _ in 0..5 {
            ends.push(stage.end().await.0);
            // Each batch of the driver forwards the queued inputs.
            stage.executors.flush_all();
        }
        assert_eq!(ends, [1, 2, 3, 4, 5]);
    });
}
