//! A request is abandoned when it is written but may not have arrived at its executor, because the network is
//! partitioned. The connection is reset in time, so that the system does not deliver the request later, unless the
//! executor confirms that the request has arrived.

use crate::lines::{outcomes, read, run, write, MS};
use crate::queues::block_until;
use crate::stage::{listen, on_one_thread, Peer, Stage};
use stagehoist::{Micros, Outcome};
use stagehoist_platform::connection::{ConnectionState, ProtocolViolation};
use std::io::{ErrorKind, Read, Write};

/// An attempt must not begin more than this time after its client left.
const MAX_LATE_START: Micros = 100 * MS;

/// A connection on which these requests were written at time 0.
fn with_written(mut conn: ConnectionState, requests: u64) -> ConnectionState {
    (1..=requests).for_each(|id| assert!(run(&mut conn, id)));
    write(&mut conn, usize::MAX, 0);
    conn
}

fn abandon(conn: &mut ConnectionState, id: u64, now: Micros) -> String {
    assert!(!conn.abandon(id, &format!("{id:016x}"), now, 250 * MS));
    write(conn, usize::MAX, now)
}

fn expire(conn: &mut ConnectionState, now: Micros) -> Result<(), ProtocolViolation> {
    conn.expire(now, 250 * MS, 1000 * MS, &mut Vec::new())
}

#[test]
fn an_abandoned_request_must_be_confirmed_before_it_would_start_too_late() {
    let mut conn = with_written(ConnectionState::new(0), 1);
    assert_eq!(abandon(&mut conn, 1, 200 * MS), "STOP 0000000000000001\r\nNOOP 1\r\n");
    assert!(!conn.is_settled());
    let due = conn.next_timeout(1000 * MS).unwrap();
    assert!(due > 200 * MS && due < 200 * MS + MAX_LATE_START, "due at {due} us");
    assert_eq!(expire(&mut conn, due - 1), Ok(()));
    assert_eq!(expire(&mut conn, due), Err(ProtocolViolation::Unconfirmed));
}

/// A connection that no other request uses is not worth a probe once it has been silent for the connect timeout.
#[test]
fn a_silent_connection_with_an_abandoned_request_alone_is_reset_at_once() {
    for (others, is_reset) in [(0, true), (1, false)] {
        let mut conn = with_written(ConnectionState::new(0), 1 + others);
        assert_eq!(conn.abandon(1, "0000000000000001", 250 * MS, 250 * MS), is_reset);
        assert_eq!(write(&mut conn, usize::MAX, 250 * MS).contains("NOOP"), !is_reset);
        assert!(!conn.is_settled());
    }
}

/// Messages arrive in order, so an answer confirms all messages before the one that it belongs to, and no others.
#[test]
fn an_answer_confirms_the_messages_before_its_own() {
    let mut inputs = Vec::new();
    let answers = [
        // The abandoned request's own answer, an answer to a later request, and one to the probe.
        ("0000000000000002 OK - 2\r\nhi\r\n", true),
        ("0000000000000003 OK - 2\r\nhi\r\n", true),
        ("1 DOWN - 0\r\n\r\n", true),
        // An answer to an earlier request may have been sent before the partition.
        ("0000000000000001 OK - 2\r\nhi\r\n", false),
        // Answers that belong to nothing.
        ("00000000deadbeef OK - 0\r\n\r\n", false),
        ("77 UP - 0\r\n\r\n", false),
    ];
    for (answer, confirms) in answers {
        let mut conn = with_written(ConnectionState::new(0), 3);
        abandon(&mut conn, 2, 10 * MS);
        read(&mut conn, answer, 20 * MS, &mut inputs);
        assert_eq!(expire(&mut conn, 10 * MS + MAX_LATE_START).is_ok(), confirms, "{answer:?}");
    }
}

#[test]
fn a_request_that_is_confirmed_before_it_is_abandoned_needs_no_probe() {
    let mut conn = with_written(ConnectionState::new(0), 2);
    read(&mut conn, "0000000000000002 MISS - 0\r\n\r\n", MS, &mut Vec::new());
    assert_eq!(abandon(&mut conn, 1, 10 * MS), "STOP 0000000000000001\r\n");
    assert!(conn.is_settled() && conn.next_timeout(1000 * MS).is_none());
}

#[test]
fn requests_abandoned_together_share_a_probe_and_later_ones_do_not() {
    let mut conn = with_written(ConnectionState::new(0), 3);
    for id in [1, 2] {
        assert!(!conn.abandon(id, &format!("{id:016x}"), MS, 250 * MS));
    }
    let both = write(&mut conn, usize::MAX, MS);
    assert_eq!(both.matches("NOOP").count(), 1, "{both}");
    run(&mut conn, 4);
    write(&mut conn, usize::MAX, 2 * MS);
    // The first probe was written behind request 3, but before request 4.
    assert!(!abandon(&mut conn, 3, 3 * MS).contains("NOOP"));
    assert!(abandon(&mut conn, 4, 3 * MS).contains("NOOP"));
    read(&mut conn, "1 UP - 0\r\n\r\n", 4 * MS, &mut Vec::new());
    assert!(!conn.is_settled());
    read(&mut conn, "2 UP - 0\r\n\r\n", 4 * MS, &mut Vec::new());
    assert!(conn.is_settled() && conn.is_idle());
}

/// More requests are abandoned at once than separate deadlines are kept: none of them is forgotten.
#[test]
fn every_one_of_many_abandoned_requests_must_be_confirmed() {
    const REQUESTS: u64 = 200;
    for (answered, is_settled) in [(REQUESTS, true), (REQUESTS - 1, false)] {
        let mut conn = with_written(ConnectionState::new(0), REQUESTS);
        for id in 1..=REQUESTS {
            abandon(&mut conn, id, MS);
        }
        read(&mut conn, &format!("{answered:016x} OK - 2\r\nhi\r\n"), 2 * MS, &mut Vec::new());
        assert_eq!(conn.is_settled(), is_settled, "answered: {answered}");
        assert_eq!(expire(&mut conn, MS + MAX_LATE_START).is_ok(), is_settled);
    }
}

#[test]
fn a_connection_on_which_probes_are_not_permitted_sends_none() {
    let mut conn = with_written(ConnectionState::without_probes(0), 2);
    assert_eq!(abandon(&mut conn, 1, MS), "STOP 0000000000000001\r\n");
    assert_eq!(expire(&mut conn, MS + MAX_LATE_START), Err(ProtocolViolation::Unconfirmed));
    let mut inputs = Vec::new();
    read(&mut conn, "0000000000000002 OK - 2\r\nhi\r\n", 2 * MS, &mut inputs);
    assert_eq!(outcomes(&inputs), [(2, Outcome::Ok)]);
    assert_eq!(expire(&mut conn, MS + MAX_LATE_START), Ok(()));
}

/// The probe's answer is lost, but another one confirms the arrival: the connection does not stay busy forever.
#[test]
fn an_unanswered_probe_does_not_keep_a_connection_busy() {
    let mut conn = with_written(ConnectionState::new(0), 2);
    abandon(&mut conn, 1, MS);
    read(&mut conn, "0000000000000002 OK - 2\r\nhi\r\n", 2 * MS, &mut Vec::new());
    assert!(conn.is_idle() && conn.is_settled());
    assert_eq!(expire(&mut conn, MS + 250 * MS), Ok(()));
    // Its late answer belongs to nothing any more.
    read(&mut conn, "1 UP - 0\r\n\r\n", 400 * MS, &mut Vec::new());
}

async fn connect(stage: &Stage, requests: &[u32]) -> Peer {
    let (listener, address) = listen(8);
    stage.at(address);
    requests.iter().for_each(|request| stage.send(*request));
    let mut peer = Peer::accept(stage, &listener).await;
    for request in requests {
        stage.until(|| peer.has(&format!("RUN {request:016x}"))).await;
    }
    peer
}

/// Returns a connection on which these requests were written and the first one was aborted.
async fn with_first_aborted(requests: &[u32]) -> (Stage, Peer) {
    let stage = Stage::new(1, 64);
    let peer = connect(&stage, requests).await;
    stage.executors.abort(1, 0);
    stage.executors.flush_all();
    (stage, peer)
}

/// Waits until the front end's side of the connection is closed; returns whether it was reset.
async fn was_reset(stage: &Stage, peer: &mut Peer) -> bool {
    let mut bytes = [0; 1024];
    let mut ended = None;
    stage
        .until(|| {
            match peer.stream.read(&mut bytes) {
                Ok(0) => ended = Some(false),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => ended = Some(true),
            }
            ended.is_some()
        })
        .await;
    ended.unwrap()
}

/// Guards against the delivery of a cancelled request after a partition: its connection was closed in order, or not at
/// all, and the system went on sending.
#[test]
fn a_connection_whose_executor_does_not_confirm_an_abandoned_request_is_reset() {
    on_one_thread(async {
        let (mut stage, mut peer) = with_first_aborted(&[1, 2]).await;
        assert!(was_reset(&stage, &mut peer).await, "the connection was closed in order");
        assert_eq!(stage.end().await, (2, Outcome::Error));
        assert_eq!(stage.executors.counters.get().unconfirmed, 1);
    });
}

/// The periodic check may be the first to notice that nothing is awaited on a silent connection.
#[test]
fn a_connection_that_is_closed_before_an_abandoned_request_is_confirmed_is_reset() {
    on_one_thread(async {
        let (stage, mut peer) = with_first_aborted(&[1]).await;
        stage.executors.close_idle(1);
        assert!(was_reset(&stage, &mut peer).await, "the connection was closed in order");
    });
}

#[test]
fn a_connection_whose_executor_confirms_an_abandoned_request_is_kept_and_later_closed_in_order() {
    on_one_thread(async {
        let (mut stage, mut peer) = with_first_aborted(&[1, 2]).await;
        // The front end does not run before the answer is in its socket.
        block_until("the probe is missing", || peer.has("STOP 0000000000000001\r\nNOOP 1\r\n"));
        peer.stream.write_all(b"1 UP - 0\r\n\r\n").unwrap();
        // Longer than the time in which the request must be confirmed.
        tokio::time::sleep(std::time::Duration::from_micros(2 * MAX_LATE_START as u64)).await;
        assert!(peer.read_available(), "the connection was closed");
        peer.stream.write_all(b"0000000000000002 OK - 2\r\nhi\r\n").unwrap();
        assert_eq!(stage.end().await, (2, Outcome::Ok));
        // An order to unload that was written before the close still arrives.
        stage.executors.unload(1, "7f3a9c21e0b4d655");
        stage.executors.flush_all();
        stage.executors.close_idle(1);
        stage.until(|| peer.has("FREE 7f3a9c21e0b4d655")).await;
        assert!(!was_reset(&stage, &mut peer).await, "an idle connection was reset");
    });
}
