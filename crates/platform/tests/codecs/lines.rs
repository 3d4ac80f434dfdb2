//! Executors' answers, spoilt ones, and what is abandoned on a line.

use crate::tools::{ends, feed, line, write_all, MS, RUN};
use stagehoist::Outcome;
use stagehoist_gateway::state::Input;
use stagehoist_platform::connection::{Closure, Exchange, ProtocolViolation, RunRequest};

#[test]
fn answers_come_in_any_order_and_what_belongs_to_nothing_is_passed_over() {
    let (mut line, mut news) = line();
    let text = "00000000000000ff OK - 3\r\nabc\r\n0000000000000002 OK queue_fn=3,stats=inflight:7;util:0.6 2\r\nhi\r\n\
        0000000000000002 OK - 2\r\nhi\r\n0000000000000001 MISS - 0\r\n\r\n77 UP\r\n0000000000000003 BUSY queue_fn=9\r\n";
    feed(&mut line, text.as_bytes(), &mut news).unwrap();
    let ended = ends(&news);
    assert_eq!(ended[0], (2, Outcome::Ok, b"hi".to_vec()));
    assert_eq!(ended[1..], [(1, Outcome::Miss, vec![]), (3, Outcome::Full, vec![])]);
    let Input::AttemptEnded { result, .. } = &news[0] else { panic!() };
    assert_eq!((result.copy.concurrency, result.report), (3, Some([7.0, 0.0, 0.0, 0.0])));
    assert!(line.is_idle());
}

#[test]
fn spoilt_answers_poison_the_line_and_all_on_it_may_have_run() {
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
        let (mut line, mut news) = line();
        assert_eq!(feed(&mut line, text.as_bytes(), &mut news), Err(why), "{text:.40}");
        line.send_request(
            (9, "0000000000000009"),
            &RUN,
            b"",
            Exchange::Attempt { request: 9, attempt: 1 },
            0,
        );
        line.end(Closure::ProtocolViolated, MS, &mut news);
        let outcomes: Vec<_> = ends(&news).iter().map(|e| (e.0, e.1)).collect();
        use Outcome::*;
        // The one that was not begun to be written is known not to have run.
        assert_eq!(outcomes, [(1, Error), (2, Error), (3, Error), (9, ConnectFailed)], "{text:.40}");
    }
    // An answer that stops short is found by time.
    let (mut line, mut news) = line();
    feed(&mut line, b"0000000000000001 OK - 10\r\nabc", &mut news).unwrap();
    assert!(news.is_empty());
    assert_eq!(line.expire(100 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    assert_eq!(line.expire(300 * MS, 250 * MS, 1000 * MS, &mut news), Err(ProtocolViolation::Short));
}

#[test]
fn an_order_that_counts_as_lost_takes_a_silent_connection_with_it() {
    let (mut line, mut news) = line();
    let (worker, function) = (3, 9);
    line.send_load(
        "7f3a9c21e0b4d655",
        1,
        Exchange::Load { worker, function, sent: 10 * MS, start_by: i64::MAX },
        10 * MS,
    );
    assert!(write_all(&mut line, 10 * MS).starts_with("HOLD "));
    assert_eq!(line.expire(1009 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    assert_eq!(line.expire(1010 * MS, 250 * MS, 1000 * MS, &mut news), Err(ProtocolViolation::Silent));
    // Where something came since, the connection is alive and goes on; the order counts as lost alone.
    line.receive(b"0000000000000001 MISS - 0\r\n\r\n", (20 * MS, 20 * MS), &[], &mut news).unwrap();
    assert_eq!(line.expire(1010 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    let lost =
        |n: &Input| matches!(n, Input::Loaded { worker: 3, function: 9, outcome: Outcome::Timeout, .. });
    assert!(news.iter().any(lost), "{news:?}");
}

#[test]
fn what_is_given_up_is_stopped_or_never_written() {
    let (mut line, mut news) = line();
    line.abandon(1, "0000000000000001", 10 * MS, 250 * MS);
    assert_eq!(
        (write_all(&mut line, 10 * MS), line.is_silent()),
        ("STOP 0000000000000001\r\n".into(), false)
    );
    // Its late answer is passed over.
    feed(&mut line, b"0000000000000001 OK - 0\r\n\r\n", &mut news).unwrap();
    assert!(news.is_empty());
    line.send_request((5, "0000000000000005"), &RUN, b"x", Exchange::Attempt { request: 5, attempt: 0 }, 0);
    line.abandon(5, "0000000000000005", 20 * MS, 250 * MS);
    assert_eq!(write_all(&mut line, 20 * MS), "");
    // An executor that takes nothing new: what waits is withdrawn, what was begun goes on.
    line.send_request((6, "0000000000000006"), &RUN, b"x", Exchange::Attempt { request: 6, attempt: 0 }, 0);
    let mut bytes = Vec::new();
    line.fill_write(&mut bytes, 21 * MS);
    line.on_written(1, 21 * MS);
    line.send_request((7, "0000000000000007"), &RUN, b"x", Exchange::Attempt { request: 7, attempt: 0 }, 0);
    line.withdraw(22 * MS, &mut news);
    assert_eq!(ends(&news), [(7, Outcome::ConnectFailed, vec![])]);
    assert!(!write_all(&mut line, 23 * MS).contains("RUN 0000000000000007"));
    // Given up long after it was written, with no word since: silent, until a word comes.
    line.abandon(6, "0000000000000006", 500 * MS, 250 * MS);
    assert!(line.is_silent());
    feed(&mut line, b"0000000000000003 OK - 0\r\n\r\n", &mut news).unwrap();
    assert!(!line.is_silent());
}

#[test]
fn a_request_says_how_long_its_client_waits_from_when_it_is_written() {
    let (mut line, _) = line();
    let run = RunRequest { class: "look", function: "07", deadline: 1200 * MS };
    let what = Exchange::Attempt { request: 9, attempt: 0 };
    line.send_request((9, "0000000000000009"), &run, b"body", what, 0);
    let mut bytes = Vec::new();
    line.fill_write(&mut bytes, 250 * MS);
    assert_eq!(bytes, b"RUN 0000000000000009 class=look,key=07,wait=950 4\r\nbody\r\n");
    // Once a part of it was written the rest stays as it was begun.
    line.on_written(bytes.len() - 3, 250 * MS);
    assert_eq!(write_all(&mut line, 500 * MS), "y\r\n");
}
