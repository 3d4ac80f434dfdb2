//! What a client cancels lies where the front end does not read it before an attempt for it would begin: none does.

use crate::client::{Client, Leaves};
use crate::held_back::{sends_on, takes_nothing};
use crate::queues::drain;
use crate::stage::{listen, on_one_thread, Side, Stage, WAIT};
use bytes::Bytes;
use stagehoist::Outcome;
use stagehoist_gateway::state::Input;
use std::io::Write;

fn small() -> Bytes {
    Bytes::from_static(b"x")
}

/// Its ABORT lies in its socket, and no more of that is read: nothing begins, as if its time were over.
#[test]
fn nothing_begins_for_a_client_whose_word_lies_behind_what_is_read_no_further() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 1024);
        stage.at(address);
        let mut client = Client::narrow(&stage);
        let ticket = sends_on(&mut stage, &mut client).await;
        client.leave(2, Leaves::Abort);
        stage.begin(2, small());
        stage.send(3);
        let mut side = Side::accept(&stage, &listener).await;
        stage.until(|| side.has("RUN 0000000000000003")).await;
        assert!(!side.has("RUN 0000000000000002"));
        assert_eq!(stage.end().await, (2, Outcome::Full));
        assert_eq!(stage.executors.counters.get().egress.client_unread, 1);
        // Once it takes its answers it is heard.
        let mut gone = false;
        while !gone {
            client.take();
            while let Ok(item) = stage.news.try_recv() {
                gone |= matches!(item, Input::ClientGone(t) if t == ticket);
            }
            stage.until(|| gone || client.take() > 0 || !stage.news.is_empty()).await;
        }
    });
}

/// Who takes no answers and whose socket is read to its end is heard, so that its calls go on.
#[test]
fn what_a_client_waits_for_that_takes_nothing_begins_where_all_it_said_is_read() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        let mut client = Client::narrow(&stage);
        takes_nothing(&mut stage, &mut client).await;
        stage.send(2);
        let mut side = Side::accept(&stage, &listener).await;
        stage.until(|| side.has("RUN 0000000000000002")).await;
        assert_eq!(stage.executors.counters.get().egress.client_unread, 0);
    });
}

/// More lies ahead of its ABORT than one look reads.
#[test]
fn nothing_begins_for_a_client_whose_word_lies_behind_more_than_one_look_reads() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 1024);
        stage.at(address);
        // The bytes of one look are as many reads of this buffer.
        *stage.shared.read_buffer.borrow_mut() = vec![0; 1024];
        let mut client = Client::connect(&stage);
        client.ask(2);
        let ticket = stage.asked(2).await;
        stage.send(5);
        let mut side = Side::accept(&stage, &listener).await;
        stage.until(|| side.has("RUN 0000000000000005")).await;
        let mut bytes: Vec<u8> = (10..20).flat_map(|n| Client::request(n, &[b'y'; 12 << 10])).collect();
        bytes.extend(Client::abort(2));
        client.say(&bytes);
        stage.begin(2, small());
        stage.send(3);
        assert!(client.unread() > 0, "one look reads it all");
        stage.until(|| side.has("RUN 0000000000000003")).await;
        assert!(!side.has("RUN 0000000000000002"));
        assert_eq!(stage.end().await, (2, Outcome::Full));
        loop {
            let item = tokio::time::timeout(WAIT, stage.news.recv()).await.expect("in time");
            if matches!(item, Some(Input::ClientGone(t)) if t == ticket) {
                return;
            }
        }
    });
}

/// A part of it is written when its client can't be heard any more: the rest never is.
#[test]
fn what_was_written_in_part_is_not_completed_for_a_client_that_is_not_heard() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 1024);
        stage.at(address);
        let mut client = Client::narrow(&stage);
        let ticket = takes_nothing(&mut stage, &mut client).await;
        stage.send(1);
        let mut side = Side::accept(&stage, &listener).await;
        stage.until(|| side.has("RUN 0000000000000001")).await;
        stage.begin(2, Bytes::from(vec![b'x'; 32 << 20]));
        stage.send(3);
        drain(&mut side);
        assert!(side.has("RUN 0000000000000002") && side.read.len() < 32 << 20);
        let mut bytes: Vec<u8> = (1000..1020).flat_map(|n| Client::request(n, &[b'y'; 16 << 10])).collect();
        bytes.extend(Client::abort(2));
        client.say(&bytes);
        let mut ends = [stage.end().await, stage.end().await];
        ends.sort_by_key(|end| end.0);
        assert_eq!(ends, [(2, Outcome::Error), (3, Outcome::Full)]);
        write!(side.stream, "0000000000000001 OK - 2\r\nhi\r\n").unwrap();
        assert_eq!(stage.end().await, (1, Outcome::Ok));
        stage.until(|| !side.take()).await;
        assert!(side.read.len() < 32 << 20, "the rest of it was written");
        assert!(stage.clients.unfinished().0 > 0, "{ticket} is still open");
    });
}
