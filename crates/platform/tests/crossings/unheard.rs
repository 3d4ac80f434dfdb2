//! A client's cancellation is in input that the front end does not read before an attempt would start: no attempt may
//! start.

use crate::client::{Client, Departure};
use crate::held_back::{send_until_unread, stop_reading_answers};
use crate::queues::drain;
use crate::stage::{listen, on_one_thread, Peer, Stage, WAIT};
use bytes::Bytes;
use stagehoist::Outcome;
use stagehoist_gateway::state::Input;
use std::io::Write;

fn small() -> Bytes {
    Bytes::from_static(b"x")
}

/// The ABORT is in the socket, but the front end reads no more of that client: nothing starts, as if the deadline had
/// passed.
#[test]
fn nothing_starts_for_a_client_whose_cancellation_is_behind_input_that_is_not_read() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 1024);
        stage.at(address);
        let mut client = Client::with_small_window(&stage);
        let ticket = send_until_unread(&mut stage, &mut client).await;
        client.leave(2, Departure::Abort);
        stage.start(2, small());
        stage.send(3);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000003")).await;
        assert!(!peer.has("RUN 0000000000000002"));
        assert_eq!(stage.end().await, (2, Outcome::Full));
        assert_eq!(stage.executors.counters.get().egress.client_unread, 1);
        // Once the client reads its answers, the cancellation takes effect.
        let mut gone = false;
        while !gone {
            client.read_available();
            while let Ok(item) = stage.inputs.try_recv() {
                gone |= matches!(item, Input::ClientGone(t) if t == ticket);
            }
            stage.until(|| gone || client.read_available() > 0 || !stage.inputs.is_empty()).await;
        }
    });
}

/// If a client does not read its answers but its socket has no unread input, its calls still start.
#[test]
fn calls_of_a_client_that_reads_no_answers_start_if_all_its_input_is_read() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        let mut client = Client::with_small_window(&stage);
        stop_reading_answers(&mut stage, &mut client).await;
        stage.send(2);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000002")).await;
        assert_eq!(stage.executors.counters.get().egress.client_unread, 0);
    });
}

/// More data precedes the ABORT than one check reads.
#[test]
fn nothing_starts_for_a_client_whose_cancellation_is_behind_more_than_one_check_reads() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 1024);
        stage.at(address);
        let mut client = Client::connect(&stage);
        client.ask(2);
        let ticket = stage.asked(2).await;
        stage.send(5);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000005")).await;
        let mut bytes: Vec<u8> = (10..70).flat_map(|n| Client::request(n, &[b'y'; 12 << 10])).collect();
        bytes.extend(Client::abort(2));
        client.write(&bytes);
        stage.start(2, small());
        stage.send(3);
        assert!(client.unread() > 0, "one check reads all of it");
        stage.until(|| peer.has("RUN 0000000000000003")).await;
        assert!(!peer.has("RUN 0000000000000002"));
        assert_eq!(stage.end().await, (2, Outcome::Full));
        loop {
            let item = tokio::time::timeout(WAIT, stage.inputs.recv()).await.expect("in time");
            if matches!(item, Some(Input::ClientGone(t)) if t == ticket) {
                return;
            }
        }
    });
}

/// A request is partly written when its client's input can't be read any more: the rest must not be written.
#[test]
fn a_partly_written_request_is_not_completed_while_its_client_has_unread_input() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 1024);
        stage.at(address);
        let mut client = Client::with_small_window(&stage);
        let ticket = stop_reading_answers(&mut stage, &mut client).await;
        stage.send(1);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000001")).await;
        stage.start(2, Bytes::from(vec![b'x'; 32 << 20]));
        stage.send(3);
        drain(&mut peer);
        assert!(peer.has("RUN 0000000000000002") && peer.read.len() < 32 << 20);
        let mut bytes: Vec<u8> = (1000..1020).flat_map(|n| Client::request(n, &[b'y'; 16 << 10])).collect();
        bytes.extend(Client::abort(2));
        client.write(&bytes);
        let mut ends = [stage.end().await, stage.end().await];
        ends.sort_by_key(|end| end.0);
        assert_eq!(ends, [(2, Outcome::Error), (3, Outcome::Full)]);
        write!(peer.stream, "0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        assert_eq!(stage.end().await, (1, Outcome::Ok));
        stage.until(|| !peer.read_available()).await;
        assert!(peer.read.len() < 32 << 20, "the rest of it was written");
        assert!(stage.clients.unfinished().0 > 0, "{ticket} is still open");
    });
}
