//! Streams in any split, arbitrary bytes.

use crate::tools::{ends, feed, open_conn, GOOD, MS};
use bytes::BytesMut;
use proptest::prelude::*;
use stagehoist::Outcome;
use stagehoist_platform::connection::Closure;
use stagehoist_platform::resp::{encode, Decoder, Words};
use stagehoist_platform::subscription::EventSubscription;

fn split<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    cuts.sort_unstable();
    let (mut parts, mut from) = (Vec::new(), 0);
    for cut in cuts {
        parts.push(&bytes[from..cut]);
        from = cut;
    }
    parts.push(&bytes[from..]);
    parts
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn the_same_requests_in_any_split(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..16_384), 1..5),
        cuts in prop::collection::vec(any::<usize>(), 0..40),
    ) {
        let mut stream = BytesMut::new();
        let mut want: Vec<Words> = Vec::new();
        for (n, body) in bodies.iter().enumerate() {
            let tag = n.to_string();
            let words: [&[u8]; 5] = [b"REQ", tag.as_bytes(), b"look", GOOD.as_bytes(), body];
            encode(&mut stream, &words);
            want.push(words.iter().map(|w| w.to_vec()).collect());
        }
        let (mut decoder, mut got) = (Decoder::default(), Vec::new());
        for part in split(&stream, &cuts) {
            decoder.feed(part);
            while let Some(words) = decoder.next_array().unwrap() {
                got.push(words);
            }
        }
        prop_assert_eq!(got, want);
        prop_assert!(!decoder.is_partial() && decoder.buffer_capacity() == 0);
    }

    #[test]
    fn arbitrary_bytes_never_grow_a_clients_buffer_past_its_bound(
        head in prop::sample::select(vec![&b""[..], b"*", b"*5\r\n$3\r\nREQ\r\n$", b"*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$16384\r\n"]),
        bytes in prop::collection::vec(any::<u8>(), 0..50_000),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut decoder = Decoder::default();
        decoder.feed(head);
        'parts: for part in split(&bytes, &cuts) {
            for piece in part.chunks(4096) {
                decoder.feed(piece);
                loop {
                    match decoder.next_array() {
                        Ok(Some(_)) => {}
                        Ok(None) => break,
                        Err(_) => break 'parts,
                    }
                }
                prop_assert!(decoder.buffer_capacity() <= 128 << 10);
            }
        }
    }

    #[test]
    fn the_same_answers_in_any_split(cuts in prop::collection::vec(any::<usize>(), 0..40), body in prop::collection::vec(any::<u8>(), 0..30_000)) {
        let (mut conn, mut inputs) = open_conn();
        let mut text = format!("0000000000000002 OK queue_fn=1 {}\r\n", body.len()).into_bytes();
        text.extend_from_slice(&body);
        text.extend_from_slice(b"\r\n0000000000000001 ERR\r\n0000000000000003 VOID - 0\r\n\r\n");
        for part in split(&text, &cuts) {
            feed(&mut conn, part, &mut inputs).unwrap();
        }
        prop_assert_eq!(ends(&inputs), vec![(2, Outcome::Ok, body), (1, Outcome::Error, vec![]), (3, Outcome::Superseded, vec![])]);
    }

    #[test]
    fn arbitrary_bytes_end_each_attempt_of_an_executors_line_once(
        bytes in prop::collection::vec(any::<u8>(), 0..5_000),
        spoil in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let (mut conn, mut inputs) = open_conn();
        let mut text = b"0000000000000002 OK - 5\r\nhello\r\n0000000000000001 MISS - 0\r\n\r\n".to_vec();
        text.extend_from_slice(&bytes);
        for (at, b) in spoil {
            let at = at % text.len();
            text[at] = b;
        }
        for part in split(&text, &cuts) {
            if feed(&mut conn, part, &mut inputs).is_err() {
                break;
            }
        }
        conn.end(Closure::ProtocolViolated, MS, &mut inputs);
        let mut requests: Vec<u32> = ends(&inputs).iter().map(|e| e.0).collect();
        requests.sort_unstable();
        prop_assert_eq!(requests, vec![1, 2, 3]);
    }

    #[test]
    fn arbitrary_bytes_never_move_the_buss_number_back(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let (mut bus, mut inputs) = (EventSubscription::new(10, 0), Vec::new());
        let _ = bus.feed(&bytes, (0, 0), &mut inputs);
        prop_assert!(bus.last() >= 10 && inputs.iter().all(|e| e.number > 10));
    }
}
