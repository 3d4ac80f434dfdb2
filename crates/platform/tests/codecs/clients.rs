//! Client requests: which are accepted, rejected, or end the connection.

use crate::tools::{Client, GOOD, MS};
use stagehoist_gateway::state::Answer;
use stagehoist_platform::resp::Decoder;
use stagehoist_platform::session::{ClientEvent, MAX_OPEN_REQUESTS};

#[test]
fn a_request_is_parsed_completely_and_answered_under_its_tag() {
    let mut c = Client::new();
    c.call("7", GOOD);
    let ClientEvent::Call(ticket, request) = &c.events[0] else { panic!() };
    assert_eq!((request.reference, &*request.id), (0x9b1f_03aa_5c7e_2d41, "9b1f03aa5c7e2d41"));
    assert_eq!((&*request.function, request.properties.id), ("7f3a9c21e0b4d655", 0x7f3a_9c21_e0b4_d655));
    assert_eq!(
        (request.properties.memory_mb, request.properties.concurrency, request.properties.work),
        (512.0, 2.0, Some(8200))
    );
    assert!(request.budget <= 1500 * MS && request.budget >= 1480 * MS);
    let ticket = *ticket;
    let body = bytes::Bytes::from_static(b"\r\n\0x");
    c.session.answer(ticket, &Answer::Served { body: body.clone(), content_type: None }, MS);
    c.session.answer(ticket, &Answer::Failed { reason: "twice" }, MS);
    let mut decoder = Decoder::default();
    decoder.feed(c.session.output());
    assert_eq!(decoder.next_array().unwrap().unwrap(), [&b"7"[..], b"200", b"", &body]);
    assert_eq!(decoder.next_array(), Ok(None), "more than one answer");
}

#[test]
fn health_aborts_and_refusals() {
    let mut c = Client::new();
    c.send(&[b"HEALTH", b"8", b""]);
    assert_eq!(c.answers(), [("8".into(), "serving".into())]);
    c.call("9", GOOD);
    c.send(&[b"ABORT", b"9"]);
    c.send(&[b"ABORT", b"9"]);
    c.send(&[b"ABORT", b"77"]);
    assert!(matches!(c.events[..], [ClientEvent::Call(1, _), ClientEvent::Cancelled(1)]));
    c.session.answer(1, &Answer::Failed { reason: "late" }, MS);
    assert!(c.answers().is_empty(), "an aborted request was answered");
    c.call("10", GOOD);
    c.session.answer(2, &Answer::Refused { reason: "", retry_after: 250 * MS }, MS);
    assert!(String::from_utf8_lossy(c.session.output()).contains("cooldown=250"));
}

/// Each kind of invalid request is answered with an error; the connection and its other requests continue.
#[test]
fn invalid_requests_are_answered_one_by_one() {
    let change = |from: &str, to: &str| GOOD.replace(from, to);
    let mut c = Client::new();
    c.call("1", GOOD);
    let invalid = [
        change("ref=9b1f03aa5c7e2d41,", ""),
        change("ref=9b1f03aa5c7e2d41", "ref=9b1f"),
        change("allow=1500", "allow=-5"),
        change("allow=1500", "allow=soon"),
        change("allow=1500", "allow=99999999999"),
        change("allow=1500", "allow=0"),
        change("allow=1500,", ""),
        change("project=acme", "project=nobody"),
        change("project=acme,", ""),
        change("lookup=7f3a9c21e0b4d655", "lookup=none"),
        change("lookup=7f3a9c21e0b4d655,", ""),
        change("effort=8.2", "effort=NaN"),
        change("effort=8.2", "effort=-1"),
        change("effort=8.2", "effort=1e300"),
        change("memory_mb:512", "memory_mb:-1"),
        change("memory_mb:512", "memory_mb:99999999"),
        change("lanes:2", "lanes:x"),
        change("lanes:2", "lanes:1e9"),
        GOOD.replace(',', " "),
        format!("{GOOD},allow=3"),
        "\u{1}".into(),
    ];
    for (n, fields) in invalid.iter().enumerate() {
        let tag = (n + 2).to_string();
        c.call(&tag, fields);
        assert_eq!(c.answers(), [(tag, "500".to_string())], "{fields}");
    }
    c.send(&[b"REQ", b"98", b"nothing", GOOD.as_bytes(), b""]);
    c.send(&[b"REQ", b"99", b"look"]);
    assert_eq!(c.answers().len(), 2);
    assert!(!c.session.is_closing() && c.events.len() == 1, "the first request is not open any more");
    c.session.answer(1, &Answer::Failed { reason: "" }, MS);
    assert_eq!(c.answers(), [("1".into(), "500".into())]);
}

/// Input that can't be parsed, or a repeated tag, ends the connection after an error answer; its open requests are
/// cancelled.
#[test]
fn malformed_input_and_repeated_tags_end_the_connection() {
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"*1000000\r\n",
        b"*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$60000000\r\n",
        b"*2\r\n$-1\r\n",
        b"*2\r\n$4\r\nWHAT\r\n$1\r\n7\r\n",
        b"*2\r\n$3\r\nREQ\r\n$1\r\nx\r\n",
        b"*2\r\n$3\r\nREQ\r\n$1\r\n0\r\n",
    ] {
        let mut c = Client::new();
        c.call("1", GOOD);
        c.raw(bytes);
        assert!(c.session.is_closing(), "{bytes:?}");
        assert_eq!(c.answers(), [("0".into(), "500".into())]);
        assert!(matches!(c.events[..], [ClientEvent::Call(1, _), ClientEvent::Cancelled(1)]));
        c.raw(b"*2\r\n$6\r\nHEALTH\r\n$1\r\n5\r\n");
        assert!(c.answers().is_empty());
    }
    let mut c = Client::new();
    c.call("1", GOOD);
    c.call("1", GOOD);
    assert!(c.session.is_closing());
}

#[test]
fn requests_beyond_the_maximum_are_rejected_and_the_others_continue() {
    let mut c = Client::new();
    for n in 1..=300u64 {
        c.call(&n.to_string(), &GOOD.replace("9b1f03aa5c7e2d41", &format!("{n:016x}")));
    }
    assert_eq!(c.events.len(), MAX_OPEN_REQUESTS);
    let answers = c.answers();
    assert_eq!(answers.len(), 300 - MAX_OPEN_REQUESTS);
    assert!(answers.iter().all(|a| a.1 == "503"));
}

#[test]
fn a_client_is_verified_once_it_was_served() {
    let mut c = Client::new();
    let answers = [
        Answer::Refused { reason: "", retry_after: 0 },
        Answer::Failed { reason: "" },
        Answer::Served { body: Default::default(), content_type: None },
    ];
    for (n, answer) in answers.iter().enumerate() {
        let n = n + 1;
        c.call(&n.to_string(), &GOOD.replace("9b1f", &format!("9b1{n}")));
        assert!(!c.session.is_verified());
        c.session.answer(n as u64, answer, MS);
    }
    assert!(c.session.is_verified());
}
