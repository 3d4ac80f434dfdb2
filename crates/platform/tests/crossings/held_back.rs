//! Cancellations behind much other input, or from a client that does not read its answers, take effect before an
//! attempt starts.

use crate::client::{Client, Departure};
use crate::stage::{listen, on_one_thread, Peer, Stage, WAIT};
use bytes::Bytes;
use stagehoist_gateway::state::{Answer, Input, Ticket};
use std::net::TcpListener;

fn small() -> Bytes {
    Bytes::from_static(b"x")
}

/// Lets a client send request 2, and queues so many answers for it that nothing new is accepted from it. Returns the
/// ticket of request 2.
pub async fn stop_reading_answers(stage: &mut Stage, client: &mut Client) -> Ticket {
    let mut kept = Vec::new();
    for n in 2..=6 {
        client.ask(n);
        kept.push(stage.asked(n).await);
    }
    let large = Answer::Served { body: Bytes::from(vec![b'z'; 60 << 10]), content_type: None };
    let mut n = 100;
    while stage.clients.unfinished().1 == 0 {
        n += 1;
        assert!(n < 400, "the path to the client does not fill up");
        client.ask(n);
        let ticket = stage.asked(n).await;
        stage.clients.answer(ticket, &large);
        stage.clients.flush_all();
    }
    kept[1..].iter().for_each(|ticket| stage.clients.answer(*ticket, &large));
    stage.clients.flush_all();
    kept[0]
}

/// Starts attempts of requests 2 and 3, and asserts that only that of 3 is written. Returns the executor's end of the
/// connection.
async fn assert_only_3_starts(stage: &Stage, listener: &TcpListener) -> Peer {
    stage.start(2, small());
    stage.send(3);
    let mut peer = Peer::accept(stage, listener).await;
    stage.until(|| peer.has("RUN 0000000000000003")).await;
    assert!(!peer.has("RUN 0000000000000002"));
    peer
}

/// More data than is read at once precedes the cancellation.
#[test]
fn a_cancellation_behind_unread_requests_counts_and_all_inputs_arrive_in_order() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        let mut client = Client::connect(&stage);
        client.ask(2);
        let ticket = stage.asked(2).await;
        let mut bytes: Vec<u8> = (10..22).flat_map(|n| Client::request(n, &[b'y'; 12 << 10])).collect();
        bytes.extend(Client::abort(2));
        assert!(bytes.len() > 2 * (64 << 10));
        client.write(&bytes);
        let _peer = assert_only_3_starts(&stage, &listener).await;
        for n in 10..22 {
            let item = next_of_clients(&mut stage).await;
            assert!(
                matches!(&item, Some(Input::Call(a)) if *a.correlation == *format!("{n:016x}")),
                "{n}: {item:?}"
            );
        }
        assert!(matches!(next_of_clients(&mut stage).await, Some(Input::ClientGone(t)) if t == ticket));
    });
}

/// Returns the next input that does not come from the executor's connection, whose inputs are in no order with those of
/// clients.
async fn next_of_clients(stage: &mut Stage) -> Option<Input> {
    loop {
        let item = stage.inputs.recv().await;
        if !matches!(item, Some(Input::WorkerConnection { .. })) {
            return item;
        }
    }
}

#[test]
fn a_close_behind_requests_in_pieces_counts_for_all_of_them() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        let mut client = Client::connect(&stage);
        let bytes: Vec<u8> = (10..42).flat_map(|n| Client::request(n, &[b'y'; 3000])).collect();
        let pieces: Vec<&[u8]> = bytes.chunks(bytes.len() / 9 + 1).collect();
        let (last, first) = pieces.split_last().unwrap();
        for piece in first {
            client.write(piece);
            tokio::task::yield_now().await;
        }
        let first = stage.asked(10).await;
        stage.tickets.borrow_mut().extend((10..42).zip(first..));
        client.write(last);
        client.leave(0, Departure::Close);
        (10..38).for_each(|n| stage.start(n, small()));
        stage.send(3);
        let mut peer = Peer::accept(&stage, &listener).await;
        stage.until(|| peer.has("RUN 0000000000000003")).await;
        assert_eq!(peer.read.matches("RUN ").count(), 1, "{}", peer.read);
        let mut gone = 0;
        while gone < 32 {
            let item = tokio::time::timeout(WAIT, stage.inputs.recv()).await.expect("in time");
            gone += usize::from(matches!(item, Some(Input::ClientGone(_))));
        }
    });
}

/// The client does not read its answers, so no new request is accepted from it. Its cancellations take effect, and
/// its requests are deferred.
#[test]
fn a_cancellation_counts_while_answers_are_unsent() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        let mut client = Client::with_small_window(&stage);
        let ticket = stop_reading_answers(&mut stage, &mut client).await;
        client.ask(50);
        client.ask(51);
        client.write(&Client::abort(51));
        client.leave(2, Departure::Abort);
        let _peer = assert_only_3_starts(&stage, &listener).await;
        let next = tokio::time::timeout(WAIT, stage.inputs.recv()).await.expect("in time");
        assert!(
            matches!(next, Some(Input::ClientGone(t)) if t == ticket),
            "a new request was accepted before"
        );
        let waiting = std::iter::from_fn(|| stage.inputs.try_recv().ok());
        let others = waiting.filter(|input| !matches!(input, Input::WorkerConnection { .. }));
        assert_eq!(others.count(), 0);
        stage
            .until(|| {
                client.read_available();
                !stage.inputs.is_empty()
            })
            .await;
        let next = stage.inputs.recv().await;
        assert!(matches!(next, Some(Input::Call(a)) if &*a.correlation == "0000000000000032"));
        assert!(stage.inputs.try_recv().is_err(), "a request cancelled before its acceptance was accepted");
    });
}

/// Maximum number of bytes read from a client that does not read its answers: the deferred ones and one read more.
const MAX_DEFERRED: usize = (128 << 10) + (64 << 10);

/// Lets a client that does not read its answers send until no more of it is read; returns its open call.
pub async fn send_until_unread(stage: &mut Stage, client: &mut Client) -> Ticket {
    let ticket = stop_reading_answers(stage, client).await;
    let mut sent = 0;
    for n in 1000..1020 {
        let request = Client::request(n, &[b'y'; 16 << 10]);
        sent += request.len();
        client.write(&request);
    }
    stage.until(|| sent - client.unread() >= 128 << 10).await;
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert!(sent - client.unread() <= MAX_DEFERRED, "{} of {sent} are unread", client.unread());
    ticket
}

/// The client is not read any further, and loses nothing once it reads its answers.
#[test]
fn a_client_that_keeps_sending_and_reads_no_answers_is_not_read_any_further() {
    on_one_thread(async {
        let mut stage = Stage::new(1, 1024);
        let mut client = Client::with_small_window(&stage);
        send_until_unread(&mut stage, &mut client).await;
        assert!(stage.inputs.try_recv().is_err(), "a request was accepted or abandoned");
        let mut taken = Vec::new();
        while taken.len() < 20 {
            stage
                .until(|| {
                    client.read_available();
                    !stage.inputs.is_empty()
                })
                .await;
            taken.extend(std::iter::from_fn(|| stage.inputs.try_recv().ok()));
        }
        for (n, item) in (1000..1020).zip(&taken) {
            assert!(
                matches!(item, Input::Call(a) if *a.correlation == *format!("{n:016x}")),
                "{n}: {item:?}"
            );
        }
        assert_eq!(taken.len(), 20);
    });
}

#[test]
fn a_close_by_a_client_that_is_not_read_any_further_is_detected() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 1024);
        stage.at(address);
        let mut client = Client::with_small_window(&stage);
        let ticket = send_until_unread(&mut stage, &mut client).await;
        client.leave(0, Departure::Close);
        let next = tokio::time::timeout(WAIT, stage.inputs.recv()).await.expect("in time");
        assert!(matches!(next, Some(Input::ClientGone(t)) if t == ticket));
        let _peer = assert_only_3_starts(&stage, &listener).await;
    });
}

/// A client that sends very many messages without effect is read in small parts. It closes its connection with much
/// unread: its request does not start, and its departure is detected without reading all of it.
#[test]
fn nothing_starts_for_a_limited_client_that_closed_with_much_unread_input() {
    on_one_thread(async {
        let (listener, address) = listen(8);
        let mut stage = Stage::new(1, 64);
        stage.at(address);
        let mut client = Client::connect(&stage);
        client.ask(2);
        let ticket = stage.asked(2).await;
        let health_check = b"*2\r\n$6\r\nHEALTH\r\n$1\r\n9\r\n";
        client.write(&health_check.repeat(2_000));
        stage
            .until(|| {
                client.read_available();
                stage.clients.counters.get().limited > 0
            })
            .await;
        client.write(&health_check.repeat(20_000));
        client.leave(0, Departure::Close);
        let _peer = assert_only_3_starts(&stage, &listener).await;
        stage.clients.on_tick();
        loop {
            let item = tokio::time::timeout(WAIT, stage.inputs.recv()).await.expect("in time");
            if matches!(item, Some(Input::ClientGone(t)) if t == ticket) {
                break;
            }
        }
        stage.until(|| stage.clients.connections() == 0).await;
    });
}
