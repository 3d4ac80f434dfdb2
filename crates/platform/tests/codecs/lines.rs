//! Answers of executors, malformed ones, and abandoned requests on a connection.

use crate::tools::{ends, feed, open_conn, write_all, MS, RUN};
use stagehoist::Outcome;
use stagehoist_gateway::state::Input;
use stagehoist_platform::connection::{Closure, Exchange, ProtocolViolation, RunRequest};

#[test]
fn answers_arrive_in_any_order_and_unmatched_ones_are_ignored() {
    let (mut conn, mut inputs) = open_conn();
    let text = "00000000000000ff OK - 3\r\nabc\r\n0000000000000002 OK queue_fn=3,stats=inflight:7;util:0.6 2\r\nhi\r\n\
        0000000000000002 OK - 2\r\nhi\r\n0000000000000001 MISS - 0\r\n\r\n77 UP\r\n0000000000000003 BUSY queue_fn=9\r\n";
    feed(&mut conn, text.as_bytes(), &mut inputs).unwrap();
    let ended = ends(&inputs);
    assert_eq!(ended[0], (2, Outcome::Ok, b"hi".to_vec()));
    assert_eq!(ended[1..], [(1, Outcome::Miss, vec![]), (3, Outcome::Full, vec![])]);
    let Input::AttemptEnded { result, .. } = &inputs[0] else { panic!() };
    assert_eq!((result.copy.concurrency, result.report), (3, Some([7.0, 0.0, 0.0, 0.0])));
    assert!(conn.is_idle());
}

#[test]
fn a_connection_ends_after_thousands_of_unmatched_answers_in_a_row_and_not_for_some_among_others() {
    let (mut conn, mut inputs) = open_conn();
    let unmatched = b"00000000000000ff OK - 2\r\nhi\r\n";
    feed(&mut conn, &unmatched.repeat(4096), &mut inputs).unwrap();
    feed(&mut conn, b"0000000000000002 OK - 2\r\nhi\r\n", &mut inputs).unwrap();
    feed(&mut conn, &unmatched.repeat(4096), &mut inputs).unwrap();
    assert_eq!(ends(&inputs), [(2, Outcome::Ok, b"hi".to_vec())]);
    assert_eq!(feed(&mut conn, unmatched, &mut inputs), Err(ProtocolViolation::Unexpected));
}

#[test]
fn malformed_answers_end_the_connection_and_all_its_requests_may_have_run() {
    let id = "0000000000000001";
    for (text, why) in [
        ("\u{7}\u{1}noise".to_string(), ProtocolViolation::Line),
        (format!("{id} YES - 0\r\n\r\n"), ProtocolViolation::Line),
        (format!("{id} OK a 1\r\nx\r\n"), ProtocolViolation::Line),
        (format!("{id} OK - 1\nx\n"), ProtocolViolation::Line),
        (format!("{id} OK - 3000000000\r\n"), ProtocolViolation::Length),
        (format!("{id} OK - -1\r\n"), ProtocolViolation::Length),
        (format!("{id} OK - 1\r\nxyz\r\n"), ProtocolViolation::Length),
        (format!("{id} OK - 4\r\nxyz\r\n{id}"), ProtocolViolation::Length),
        ("x".repeat(5000), ProtocolViolation::Endless),
    ] {
        let (mut conn, mut inputs) = open_conn();
        assert_eq!(feed(&mut conn, text.as_bytes(), &mut inputs), Err(why), "{text:.40}");
        conn.send_request(
            (9, "0000000000000009"),
            &RUN,
            b"",
            Exchange::Attempt { request: 9, attempt: 1 },
            0,
        );
        conn.end(Closure::ProtocolViolated, MS, &mut inputs);
        let outcomes: Vec<_> = ends(&inputs).iter().map(|e| (e.0, e.1)).collect();
        use Outcome::*;
        // Request 9 was not started, so it is known not to have run.
        assert_eq!(outcomes, [(1, Error), (2, Error), (3, Error), (9, ConnectFailed)], "{text:.40}");
    }
    // An incomplete answer is detected by a timeout.
    let (mut conn, mut inputs) = open_conn();
    feed(&mut conn, b"0000000000000001 OK - 10\r\nabc", &mut inputs).unwrap();
    assert!(inputs.is_empty());
    assert_eq!(conn.expire(100 * MS, 250 * MS, 1000 * MS, &mut inputs), Ok(()));
    assert_eq!(conn.expire(300 * MS, 250 * MS, 1000 * MS, &mut inputs), Err(ProtocolViolation::Short));
}

#[test]
fn a_load_order_that_times_out_ends_a_silent_connection() {
    let (mut conn, mut inputs) = open_conn();
    let (worker, function) = (3, 9);
    conn.send_load(
        "7f3a9c21e0b4d655",
        1,
        Exchange::Load { worker, function, sent: 10 * MS, start_by: i64::MAX },
        10 * MS,
    );
    assert!(write_all(&mut conn, 10 * MS).starts_with("HOLD "));
    assert_eq!(conn.expire(1009 * MS, 250 * MS, 1000 * MS, &mut inputs), Ok(()));
    assert_eq!(conn.expire(1010 * MS, 250 * MS, 1000 * MS, &mut inputs), Err(ProtocolViolation::Silent));
    // If data was read since, the connection is alive and stays open; only the order counts as lost.
    conn.receive(b"0000000000000001 MISS - 0\r\n\r\n", (20 * MS, 20 * MS), &[], &mut inputs).unwrap();
    assert_eq!(conn.expire(1010 * MS, 250 * MS, 1000 * MS, &mut inputs), Ok(()));
    let lost =
        |n: &Input| matches!(n, Input::Loaded { worker: 3, function: 9, outcome: Outcome::Timeout, .. });
    assert!(inputs.iter().any(lost), "{inputs:?}");
}

#[test]
fn abandoned_requests_are_stopped_or_never_written() {
    let (mut conn, mut inputs) = open_conn();
    conn.abandon(1, "0000000000000001", 10 * MS, 250 * MS);
    assert_eq!(
        (write_all(&mut conn, 10 * MS), conn.is_silent()),
        ("STOP 0000000000000001\r\nNOOP 1\r\n".into(), false)
    );
    // The late answer is ignored.
    feed(&mut conn, b"0000000000000001 OK - 0\r\n\r\n", &mut inputs).unwrap();
    assert!(inputs.is_empty());
    conn.send_request((5, "0000000000000005"), &RUN, b"x", Exchange::Attempt { request: 5, attempt: 0 }, 0);
    conn.abandon(5, "0000000000000005", 20 * MS, 250 * MS);
    assert_eq!(write_all(&mut conn, 20 * MS), "");
    // The executor accepts nothing new: queued requests are withdrawn, and started ones continue.
    conn.send_request((6, "0000000000000006"), &RUN, b"x", Exchange::Attempt { request: 6, attempt: 0 }, 0);
    let mut bytes = Vec::new();
    conn.fill_write(&mut bytes, 21 * MS);
    conn.on_written(1, 21 * MS);
    conn.send_request((7, "0000000000000007"), &RUN, b"x", Exchange::Attempt { request: 7, attempt: 0 }, 0);
    conn.withdraw(22 * MS, &mut inputs);
    assert_eq!(ends(&inputs), [(7, Outcome::ConnectFailed, vec![])]);
    assert!(!write_all(&mut conn, 23 * MS).contains("RUN 0000000000000007"));
    // A request abandoned long after it was written, without any input since: the connection counts as silent until
    // data is read.
    conn.abandon(6, "0000000000000006", 500 * MS, 250 * MS);
    assert!(conn.is_silent());
    feed(&mut conn, b"0000000000000003 OK - 0\r\n\r\n", &mut inputs).unwrap();
    assert!(!conn.is_silent());
}

#[test]
fn a_request_states_the_client_wait_as_of_when_it_is_written() {
    let (mut conn, _) = open_conn();
    let run = RunRequest { class: "look", function: "07", deadline: 1200 * MS };
    let exchange = Exchange::Attempt { request: 9, attempt: 0 };
    conn.send_request((9, "0000000000000009"), &run, b"body", exchange, 0);
    let mut bytes = Vec::new();
    conn.fill_write(&mut bytes, 250 * MS);
    assert_eq!(bytes, b"RUN 0000000000000009 class=look,key=07,wait=950 4\r\nbody\r\n");
    // Once a part of it was written, the rest stays unchanged.
    conn.on_written(bytes.len() - 3, 250 * MS);
    assert_eq!(write_all(&mut conn, 500 * MS), "y\r\n");
}
