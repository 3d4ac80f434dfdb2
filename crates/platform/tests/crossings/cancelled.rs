//! A client cancels a request, or leaves, and an attempt for it is about to begin: its word lies in the
//! socket when the first byte could be written, and nothing of the request is.

use crate::client::{Client, Leaves};
use crate::queues::{drain, full};
use crate::stage::{listen, on_one_thread, Side, Stage};
use bytes::Bytes;
use stagehoist::Outcome;
use std::io::Write;
use std::time::Duration;

/// For so long the process is not run, where a test has it so; no verdict hangs on it.
const NOT_RUN: Duration = Duration::from_millis(110);
const EACH: [Leaves; 3] = [Leaves::Abort, Leaves::Close, Leaves::Reset];

fn small() -> Bytes {
    Bytes::from_static(b"x")
}

/// The first attempt, one after a miss, one beside another that is in progress.
#[test]
fn nothing_begins_for_a_client_that_left_before_the_turn_that_sends() {
    for how in EACH {
        for earlier in [None, Some("MISS - 0\r\n\r\n"), Some("")] {
            on_one_thread(async {
                let ((one, one_at), (two, two_at)) = (listen(8), listen(8));
                let mut stage = Stage::new(2, 64);
                stage.worker_at(1, one_at);
                stage.worker_at(2, two_at);
                let mut client = Client::connect(&stage);
                client.ask(2);
                stage.asked(2).await;
                let mut at_work = None;
                if let Some(word) = earlier {
                    stage.begin(2, small());
                    stage.executors.flush_all();
                    let mut side = Side::accept(&stage, &one).await;
                    stage.until(|| side.has("RUN 0000000000000002")).await;
                    if !word.is_empty() {
                        write!(side.stream, "0000000000000002 {word}").unwrap();
                        assert_eq!(stage.end().await, (2, Outcome::Miss));
                    }
                    at_work = Some(side);
                }
                // The connection that it will go to is open and idle.
                stage.begin_at(2, 5, small());
                stage.executors.flush_all();
                let mut side = Side::accept(&stage, &two).await;
                stage.until(|| side.has("RUN 0000000000000005")).await;
                write!(side.stream, "0000000000000005 OK - 2\r\nhi\r\n").unwrap();
                assert_eq!(stage.end().await, (5, Outcome::Ok));
                client.leave(2, how);
                std::thread::sleep(NOT_RUN);
                stage.begin_attempt(2, (2, u16::from(earlier.is_some())), small());
                stage.begin_at(2, 6, small());
                stage.executors.flush_all();
                stage.until(|| side.has("RUN 0000000000000006")).await;
                assert!(!side.has("RUN 0000000000000002"), "{how:?} {earlier:?}");
                drop(at_work);
            });
        }
    }
}

/// The socket takes bytes again in the instant of the leaving; whether the runtime heard of the one before
/// the other.
#[test]
fn nothing_begins_behind_a_full_socket_for_a_client_that_left_meanwhile() {
    for how in EACH {
        for heard in [false, true] {
            on_one_thread(async {
                let (listener, address) = listen(8);
                let mut stage = Stage::new(1, 64);
                stage.at(address);
                let mut client = Client::connect(&stage);
                client.ask(2);
                stage.asked(2).await;
                let (mut side, last, asked) = full(&stage, &listener).await;
                stage.begin(2, small());
                stage.executors.flush_all();
                drain(&mut side);
                assert!(side.read.len() < asked, "a part of what is ahead of it is not written");
                if heard {
                    tokio::task::yield_now().await;
                }
                client.leave(2, how);
                stage.until(|| side.has(&format!("RUN {last:016x}")) && side.read.len() >= asked).await;
                stage.send(3);
                stage.until(|| side.has("RUN 0000000000000003")).await;
                assert!(!side.has("RUN 0000000000000002"), "{how:?}, heard of the socket first: {heard}");
            });
        }
    }
}

#[test]
fn nothing_begins_after_a_handshake_for_a_client_that_left_meanwhile() {
    for how in EACH {
        on_one_thread(async {
            let (listener, address) = listen(8);
            let mut stage = Stage::new(1, 64);
            stage.at(address);
            let mut client = Client::connect(&stage);
            client.ask(2);
            stage.asked(2).await;
            stage.begin(2, small());
            stage.begin(3, small());
            stage.executors.flush_all();
            // Its task begins the handshake, which the system ends at once.
            client.leave(2, how);
            let mut side = Side::accept(&stage, &listener).await;
            stage.until(|| side.has("RUN 0000000000000003")).await;
            assert!(!side.has("RUN 0000000000000002"), "{how:?}");
        });
    }
}

/// A part of it was written when its client left, and another is in progress on that connection: the rest is
/// never written, the other's answer counts, what waited is known not to have run.
#[test]
fn what_was_written_in_part_is_not_completed_for_a_client_that_left() {
    for how in EACH {
        on_one_thread(async {
            let (listener, address) = listen(8);
            let mut stage = Stage::new(1, 64);
            stage.at(address);
            let mut client = Client::connect(&stage);
            client.ask(2);
            stage.asked(2).await;
            stage.send(1);
            let mut side = Side::accept(&stage, &listener).await;
            stage.until(|| side.has("RUN 0000000000000001")).await;
            stage.begin(2, Bytes::from(vec![b'x'; 32 << 20]));
            stage.send(3);
            // Both lie in the sockets at once: room for the rest, and the client's word.
            drain(&mut side);
            assert!(side.has("RUN 0000000000000002") && side.read.len() < 32 << 20);
            client.leave(2, how);
            assert_eq!(stage.end().await, (3, Outcome::Full));
            write!(side.stream, "0000000000000001 OK - 2\r\nhi\r\n").unwrap();
            assert_eq!(stage.end().await, (1, Outcome::Ok));
            stage.until(|| !side.take()).await;
            assert!(side.read.len() < 32 << 20, "{how:?}: the rest of it was written");
            // The next goes to a connection of its own.
            stage.send(4);
            let mut side = Side::accept(&stage, &listener).await;
            stage.until(|| side.has("RUN 0000000000000004")).await;
        });
    }
}

/// A client gives up a request and asks again under its id in one read, before the attempt for the first is written: that
/// one is not the second's.
#[test]
fn nothing_begins_for_a_request_that_was_given_up_and_asked_again_under_its_id() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        let mut client = Client::connect(&stage);
        client.ask(2);
        let first = stage.asked(2).await;
        stage.begin(2, Bytes::from_static(b"first"));
        let mut bytes = Client::abort(2);
        bytes.extend(Client::request(2, b"second"));
        client.say(&bytes);
        stage.send(3);
        let mut side = Side::accept(&stage, &listener).await;
        stage.until(|| side.has("RUN 0000000000000003")).await;
        assert!(!side.has("RUN 0000000000000002"), "{}", side.read);
        // The second is a call of its own, and what is begun for it is written.
        let second = stage.asked(2).await;
        assert_ne!(first, second);
        stage.begin_attempt(1, (2, 1), Bytes::from_static(b"second"));
        stage.executors.flush_all();
        stage.until(|| side.has("RUN 0000000000000002") && side.has("second")).await;
        assert!(!side.has("first"));
    });
}
