//! Tests of the wire codec against examples of encoded bytes.

use stagehoist::wire::{
    batch_header, decode, encode, parse_settings, BatchHeader, EndpointLists, InstanceAction, InstanceFault,
    Record, BATCH_HEADER_SIZE,
};
use stagehoist::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.chars().filter_map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    digits.chunks(2).map(|p| p[0] * 16 + p[1]).collect()
}

/// Returns a record padded to the event size.
fn event(text: &str) -> Vec<u8> {
    let mut record = hex(text);
    record.resize(56, 0);
    record
}

fn decode_one(text: &str, tail: &str, lists: &mut EndpointLists) -> Record {
    let mut body = event(text);
    body.extend(hex(tail));
    decode(&body, 1, lists).unwrap().remove(0)
}

fn event_of(text: &str) -> Event {
    match decode_one(text, "", &mut EndpointLists::default()) {
        Record::Event { instance: 3, event } => event,
        other => panic!("{other:?}"),
    }
}

#[test]
fn batch_headers() {
    let header: [u8; BATCH_HEADER_SIZE] = hex("40c06e2000000000 00000010 00000000").try_into().unwrap();
    assert_eq!(batch_header(&header).unwrap(), BatchHeader { now: 8_412_250, length: 16, count: 0 });
    let short: [u8; BATCH_HEADER_SIZE] = hex("40c06e2000000000 0000000f 00000000").try_into().unwrap();
    assert!(batch_header(&short).unwrap_err().to_string().contains("byte 8"));
    let many: [u8; BATCH_HEADER_SIZE] = hex("40c06e2000000000 00000048 00000002").try_into().unwrap();
    assert!(batch_header(&many).unwrap_err().to_string().contains("byte 12"));
    let huge: [u8; BATCH_HEADER_SIZE] = hex("40c06e2000000000 ffffffff 00000000").try_into().unwrap();
    assert!(batch_header(&huge).is_err());
}

#[test]
fn a_request() {
    let text = "1e 0003 5d3a91c4 0000 00000000 0000007c55d20a01 406e000000000000 4028000000000000
        43c00000 40000000 00000000 01";
    let Event::Request(r) = event_of(text) else { panic!() };
    assert_eq!((r.id, r.class, r.tenant, r.function), (0x5d3a91c4, 0, 0, 0x7c55d20a01));
    assert_eq!(
        (r.budget, r.work, r.memory_mb, r.concurrency, r.load_time),
        (240_000, Some(12_000), 384.0, 2.0, 0)
    );
    assert!(!r.is_repeat);
}

#[test]
fn outcomes() {
    let text = "32 0003 5d3a91c4 03124a07 01 00000000 0000 4032800000000000 0000 01 3f1eb852 00000000";
    let Event::AttemptEnded(e) = event_of(text) else { panic!() };
    assert_eq!((e.request, e.worker, e.concluded, e.attempt), (0x5d3a91c4, 0x03124a07, true, 0));
    assert_eq!((e.elapsed, e.outcome, e.copy), (18_500, Outcome::Ok, CopyReport::default()));
    assert_eq!(e.report.unwrap()[0], 0.62);
    // The number of requests for the function is encoded above the three bits of the copy state.
    let text = "32 0003 5d3a91c4 03124a07 00 00000029 0001 4032800000000000 0002";
    let Event::AttemptEnded(e) = event_of(text) else { panic!() };
    assert_eq!((e.outcome, e.copy, e.report), (Outcome::Full, CopyReport { state: 1, concurrency: 5 }, None));
    let bad = decode(
        &event("32 0003 5d3a91c4 03124a07 00 00000000 0001 4032800000000000 0009"),
        1,
        &mut EndpointLists::default(),
    );
    assert!(bad.unwrap_err().to_string().contains("byte 42"));
}

#[test]
fn other_events() {
    assert_eq!(
        event_of("28 0003 5d3a91c4 0000 03124a07 4022800000000000"),
        Event::Started { request: 0x5d3a91c4, attempt: 0 }
    );
    assert_eq!(event_of("3c 0003 0e6f2b19"), Event::ClientGone { request: 0x0e6f2b19 });
    assert_eq!(event_of("46 0003 0000004d"), Event::Timer { token: 77 });
    let probed = event_of("50 0003 0000 2c9011f2 3ff6666666666666 01 3f1eb852");
    let Event::HealthChecked { worker, outcome, elapsed: took, report } = probed else { panic!() };
    assert_eq!((worker, outcome, took, report.unwrap()[0]), (0x2c9011f2, Outcome::Ok, 1400, 0.62));
    let loaded = event_of("6e 0003 2c9011f2 0000007c55d20a01 0000 4084000000000000 01");
    let (worker, function) = (0x2c9011f2, 0x7c55d20a01);
    assert_eq!(loaded, Event::Loaded { worker, function, outcome: Outcome::Ok, elapsed: 640_000, copies: 1 });
    let stop = decode_one("64 0003", "", &mut EndpointLists::default());
    assert_eq!(stop, Record::Stop { instance: 3 });
    let peer = decode_one("5a 0003 00000002 00000000 00000004", "68692037", &mut EndpointLists::default());
    let event = Event::Gossip { from: 2, bytes: b"hi 7".to_vec() };
    assert_eq!(peer, Record::Event { instance: 3, event });
}

#[test]
fn lists_resolve_in_event_order() {
    let tail = "0000 03124a07 01 00 0000000000000000 0000 3f800000
        0000 2c9011f2 01 01 40b7d40000000000 0000 3fc00000";
    let mut body = event("78 00 00000000 00000002");
    body.extend(event("14 0003 00 00000029 02"));
    body.extend(event("78 00 00000000 00000001"));
    body.extend(event("14 0003 00 0000002a 01"));
    body.extend(hex(tail));
    let inputs = decode(&body, 4, &mut EndpointLists::default()).unwrap();
    let Record::Event { event: Event::Endpoints { update: form, endpoints: rows }, .. } = &inputs[0] else {
        panic!()
    };
    assert_eq!((*form, rows.len()), (EndpointUpdate::Cached, 2));
    assert_eq!((rows[1].worker, rows[1].zone, rows[1].started), (0x2c9011f2, 1, 6_100_000));
    assert_eq!((rows[1].lifecycle, rows[1].capacity, rows[0].started), (Lifecycle::Ready, 1.5, 0));
    let Record::Event { event: Event::Endpoints { update: form, endpoints: rows }, .. } = &inputs[1] else {
        panic!()
    };
    assert_eq!((*form, rows.len()), (EndpointUpdate::Delta, 1));
}

#[test]
fn a_start_record_carries_its_settings() {
    let text = "balancers=2\nclasses.count=1\nclasses.0.aim=800.0\nclasses.0.effect=idempotent\nnew.key=7\n";
    let mut body = event(&format!("0a 0003 0000000000000007 00000000 {:08x}", text.len()));
    body.extend(text.as_bytes());
    let Record::Start { instance, seed, settings } =
        decode(&body, 1, &mut EndpointLists::default()).unwrap().remove(0)
    else {
        panic!()
    };
    assert_eq!((instance, seed, settings.front_ends), (3, 7, 2));
    assert_eq!(
        (settings.classes[0].latency_objective, settings.classes[0].effect),
        (800_000, Effect::Idempotent)
    );
}

#[test]
fn errors_of_malformed_frames_name_the_field() {
    let fail = |body: &[u8], n| decode(body, n, &mut EndpointLists::default()).unwrap_err().to_string();
    assert!(fail(&event("c8 0003"), 1).contains("unknown event code 200 at byte 16"));
    assert!(fail(&event("46 0003"), 2).contains("frame is truncated"));
    assert!(fail(&event("78 00 00000000 ffffffff"), 1).contains("past"));
    assert!(fail(&event("5a 0003 00000002 ffffffff ffffffff"), 1).contains("code 90"));
    assert!(fail(&event("14 0003 05 00000029 02"), 1).contains("endpoint list 5 was never received"));
}

#[test]
fn errors_of_invalid_settings_name_the_key() {
    let error = |text: &str| parse_settings(text).unwrap_err().to_string();
    assert!(error("balancers=3\n").contains("classes.count"));
    assert!(error("classes.count=1\nclasses.0.aim=-5\n").contains("classes.0.aim"));
    assert!(error("classes.count=1\n").contains("classes.0.aim"));
    assert!(error("classes.count=1\nclasses.0.aim=9\nlimits.probes=maybe\n").contains("limits.probes"));
    assert!(error("classes.count=1\nclasses.0.aim=9\nspecifics.idle_life=nan\n").contains("idle_life"));
    assert!(error("classes.count=99999999\n").contains("classes.count"));
}

#[test]
fn replies() {
    assert_eq!(encode(&[], &[]), hex("00000008 00000000"));
    let send = Action::Send {
        request: 0x5d3a91c4,
        worker: 0x03124a07,
        timeout: 80_000,
        start_by: Micros::MAX,
        connected_by: Micros::MAX,
    };
    let timer = Action::SetTimer { after: 500_000, token: 77 };
    let log = Action::Log { text: "two servers unknown".into() };
    // 8 bytes of header, three records of 24 bytes, 19 bytes of text.
    let want = "00000063 00000003
        0a 0003 5d3a91c4 4054000000000000 03124a07 0000000000
        32 0003 407f400000000000 0000004d 000000000000000000
        5a 0005 00000000 00000013 00000000000000000000000000
        74776f207365727665727320756e6b6e6f776e";
    let of = |instance, action| InstanceAction { instance, action };
    assert_eq!(encode(&[of(3, send), of(3, timer), of(5, log)], &[]), hex(want));
    let one = |action: Action, want: &str| {
        let mut record = hex(want);
        record.resize(24, 0);
        assert_eq!(encode(&[of(3, action)], &[])[8..32], record);
    };
    one(Action::Cancel { request: 0x5d3a91c4, attempt: 0 }, "28 0003 5d3a91c4 0000");
    one(Action::Reject { request: 0x0e6f2b19, retry_after: 250_000 }, "14 0003 0e6f2b19 406f400000000000");
    one(Action::Fail { request: 0x0e6f2b19 }, "1e 0003 0e6f2b19");
    one(Action::HealthCheck { worker: 0x2c9011f2 }, "3c 0003 2c9011f2");
    one(Action::CloseIdle { worker: 0x2c9011f2 }, "46 0003 2c9011f2");
    one(Action::SubscribeEndpoints { on: true }, "6e 0003 01");
    one(Action::FetchEndpoints, "78 0003");
    let (worker, function) = (0x2c9011f2, 0x7c55d20a01);
    one(
        Action::Load { worker, function, copies: 1, start_by: Micros::MAX },
        "82 0003 2c9011f2 0000007c55d20a01 01",
    );
    one(Action::Unload { worker: 0x03124a07, function }, "8c 0003 03124a07 0000007c55d20a01");
    one(Action::Gossip { peer: None, bytes: b"hi 7".to_vec() }, "50 0003 ffff 00000000 00000004");
    let fault = encode(&[], &[InstanceFault { instance: 3, text: "index out of range".into() }]);
    assert_eq!(fault[8..19], hex("64 0003 00000000 00000012")[..]);
    assert_eq!(&fault[32..], b"index out of range");
}
