//! A client cancels a request or disconnects while an attempt is about to start. The cancellation is unread in the
//! socket when the first byte could be written, and nothing of the request may be written.

use crate::client::{Client, Departure};
use crate::queues::{drain, fill_socket};
use crate::stage::{listen, on_one_thread, Peer, Stage};
use bytes::Bytes;
use stagehoist::Outcome;
use stagehoist_gateway::state::Input;
use std::io::Write;
use std::time::Duration;

/// Time for which some tests stall the process; no result depends on it.
const NOT_RUN: Duration = Duration::from_millis(110);
const ALL_DEPARTURES: [Departure; 3] = [Departure::Abort, Departure::Close, Departure::Reset];

fn small() -> Bytes {
    Bytes::from_static(b"x")
}

/// Covers a first attempt, one after a miss, and one beside another in progress.
#[test]
fn nothing_starts_for_a_client_that_left_before_the_sending_batch() {
    for how in ALL_DEPARTURES {
        for earlier in [None, Some("MISS - 0\r\n\r\n"), Some("")] {
            on_one_thread(async {
                let ((one, one_at), (two, two_at)) = (listen(8), listen(8));
                let mut stage = Stage::new(2, 64);
                stage.worker_at(1, one_at);
                stage.worker_at(2, two_at);
                let mut client = Client::connect(&stage);
                client.ask(2);
                stage.asked(2).await;
                let mut in_progress = None;
                if let Some(word) = earlier {
                    stage.start(2, small());
                    stage.executors.flush_all();
                    let mut peer = Peer::accept(&stage, &one).await;
                    stage.until(|| peer.has("RUN 0000000000000002")).await;
                    if !word.is_empty() {
                        write!(peer.stream, "0000000000000002 {word}").unwrap();
                        assert_eq!(stage.end().await, (2, Outcome::Miss));
                    }
                    in_progress = Some(peer);
                }
                // The connection that the attempt will use is open and idle.
                stage.start_at(2, 5, small());
                stage.executors.flush_all();
                let mut peer = Peer::accept(&stage, &two).await;
                stage.until(|| peer.has("RUN 0000000000000005")).await;
                write!(peer.stream, "0000000000000005 OK - 2\r\nhi\r\n").unwrap();
                assert_eq!(stage.end().await, (5, Outcome::Ok));
                client.leave(2, how);
                std::thread::sleep(NOT_RUN);
                stage.start_attempt_at(2, (2, u16::from(earlier.is_some())), small());
                stage.start_at(2, 6, small());
                stage.executors.flush_all();
                stage.until(|| peer.has("RUN 0000000000000006")).await;
                assert!(!peer.has("RUN 0000000000000002"), "{how:?} {earlier:?}");
                drop(in_progress);
            });
        }
    }
}

/// The socket accepts bytes again at the moment of the cancellation; the runtime may know of either one first.
#[test]
fn nothing_starts_behind_a_full_socket_for_a_client_that_left_meanwhile() {
    for how in ALL_DEPARTURES {
        for is_known in [false, true] {
            on_one_thread(async {
                let (listener, address) = listen(8);
                let mut stage = Stage::new(1, 64);
                stage.at(address);
                let mut client = Client::connect(&stage);
                client.ask(2);
                stage.asked(2).await;
                let (mut peer, last, asked) = fill_socket(&stage, &listener).await;
                stage.start(2, small());
                stage.executors.flush_all();
                drain(&mut peer);
                assert!(peer.read.len() < asked, "everything ahead of the request is already written");
                if is_known {
                    tokio::task::yield_now().await;
                }
                client.leave(2, how);
                stage.until(|| peer.has(&format!("RUN {last:016x}")) && peer.read.len() >= asked).await;
                stage.send(3);
                stage.until(|| peer.has("RUN 0000000000000003")).await;
                assert!(
                    !peer.has("RUN 0000000000000002"),
                    "{how:?}, the runtime knew of the socket first: {is_known}"
                );
            });
        }
    }
}

#[test]
fn nothing_starts_after_a_handshake_for_a_client_that_left_meanwhile() {
    for how in ALL_DEPARTURES {
        on_one_thread(async {
            let (listener, address) = listen(8);
            let mut stage = Stage::new(1, 64);
            stage.at(address);
            let mut client = Client::connect(&stage);
            client.ask(2);
            stage.asked(2).await;
            stage.start(2, small());
            stage.start(3, small());
            stage.executors.flush_all();
            // The connection's task starts the handshake, which the system completes at once.
            client.leave(2, how);
            let mut peer = Peer::accept(&stage, &listener).await;
            stage.until(|| peer.has("RUN 0000000000000003")).await;
            assert!(!peer.has("RUN 0000000000000002"), "{how:?}");
        });
    }
}

/// A request is partly written when its client cancels, and another one is in progress on that connection: the rest
/// must not be written, the other answer counts, and queued requests are known not to have run.
#[test]
fn a_partly_written_request_is_not_completed_for_a_client_that_left() {
    for how in ALL_DEPARTURES {
        on_one_thread(async {
            let (listener, address) = listen(8);
            let mut stage = Stage::new(1, 64);
            stage.at(address);
            let mut client = Client::connect(&stage);
            client.ask(2);
            stage.asked(2).await;
            stage.send(1);
            let mut peer = Peer::accept(&stage, &listener).await;
            stage.until(|| peer.has("RUN 0000000000000001")).await;
            stage.start(2, Bytes::from(vec![b'x'; 32 << 20]));
            stage.send(3);
            // Both are in the sockets at the same time: room for the rest, and the client's cancellation.
            drain(&mut peer);
            assert!(peer.has("RUN 0000000000000002") && peer.read.len() < 32 << 20);
            client.leave(2, how);
            assert_eq!(stage.end().await, (3, Outcome::Full));
            write!(peer.stream, "0000000000000001 OK - 2\r\nhi\r\n").unwrap();
            assert_eq!(stage.end().await, (1, Outcome::Ok));
            stage.until(|| !peer.read_available()).await;
            assert!(peer.read.len() < 32 << 20, "{how:?}: the rest of it was written");
            // The next request uses a new connection.
            stage.send(4);
            let mut peer = Peer::accept(&stage, &listener).await;
            stage.until(|| peer.has("RUN 0000000000000004")).await;
        });
    }
}

/// A client cancels a request and sends another one under its id in one read, before the attempt for the first one is
/// written: that attempt must not serve the second request.
#[test]
fn nothing_starts_for_a_cancelled_request_that_was_repeated_under_its_id() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        let mut client = Client::connect(&stage);
        client.ask(2);
        let first = stage.asked(2).await;
        stage.start(2, Bytes::from_static(b"first"));
        let mut bytes = Client::abort(2);
        bytes.extend(Client::request(2, b"second"));
        client.write(&bytes);
        stage.send(3);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000003")).await;
        assert!(!peer.has("RUN 0000000000000002"), "{}", peer.read);
        // The second request is a separate call, and an attempt started for it is written.
        let second = stage.asked(2).await;
        assert_ne!(first, second);
        stage.start_attempt_at(1, (2, 1), Bytes::from_static(b"second"));
        stage.executors.flush_all();
        stage.until(|| peer.has("RUN 0000000000000002") && peer.has("second")).await;
        assert!(!peer.has("first"));
    });
}

/// Its client leaves while it runs, and the same id comes again on another connection: it must not run a second time. An
/// idempotent request may.
#[test]
fn the_id_of_a_non_idempotent_request_whose_client_left_is_not_accepted_again() {
    for how in ALL_DEPARTURES {
        on_one_thread(async {
            let (listener, address) = listen(8);
            let mut stage = Stage::new(1, 64);
            stage.at(address);
            let mut client = Client::connect(&stage);
            client.write(&[Client::request_of("book", 2, b"x"), Client::request(4, b"x")].concat());
            let tickets = [stage.asked(2).await, stage.asked(4).await];
            stage.send(2);
            let mut peer = Peer::accept(&stage, &listener).await;
            stage.until(|| peer.has("RUN 0000000000000002")).await;
            client.leave(2, how);
            if how == Departure::Abort {
                client.leave(4, how);
            }
            let mut gone = 0;
            while gone < tickets.len() {
                let item = stage.inputs.recv().await;
                gone += usize::from(matches!(item, Some(Input::ClientGone(t)) if tickets.contains(&t)));
            }
            let mut again = Client::connect(&stage);
            again.write(&[Client::request_of("book", 2, b"x"), Client::request(4, b"x")].concat());
            stage.asked(4).await;
            stage.until(|| again.read_available() > 0).await;
            let refused = stage.clients.counters.get().unusable;
            assert_eq!(refused, 1, "{how:?}: request 2 was accepted a second time");
        });
    }
}
