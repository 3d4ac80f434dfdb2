//! Streams in any split, arbitrary bytes, and what each kind of bad input is answered with.

use bytes::BytesMut;
use proptest::prelude::*;
use stagehoist::{Micros, Outcome};
use stagehoist_gateway::state::{Answer, News};
use stagehoist_platform::line::{End, Line, Poison, What};
use stagehoist_platform::resp::{encode, Decoder, Words};
use stagehoist_platform::session::{Catalog, Said, Session, OPEN_MOST};
use stagehoist_platform::{bus::Bus, Told};

const MS: Micros = 1000;

fn catalog() -> Catalog {
    Catalog::from(&Told::parse(include_str!("config.json")).unwrap())
}

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

struct Client {
    session: Session,
    catalog: Catalog,
    ticket: u64,
    said: Vec<Said>,
}

impl Client {
    fn new() -> Client {
        Client { session: Session::new(0), catalog: catalog(), ticket: 0, said: Vec::new() }
    }
    fn send(&mut self, words: &[&[u8]]) {
        let mut bytes = BytesMut::new();
        encode(&mut bytes, words);
        self.raw(&bytes);
    }
    fn raw(&mut self, bytes: &[u8]) {
        self.session.receive(bytes, MS, (&self.catalog, true), &mut self.ticket, &mut self.said);
    }
    fn call(&mut self, tag: &str, fields: &str) {
        self.send(&[b"REQ", tag.as_bytes(), b"look", fields.as_bytes(), b"body"]);
    }
    /// The first two words of each answer.
    fn answers(&mut self) -> Vec<(String, String)> {
        let mut decoder = Decoder::default();
        decoder.feed(self.session.out());
        let n = self.session.out().len();
        self.session.wrote(n, MS);
        let mut all = Vec::new();
        while let Some(words) = decoder.take().unwrap() {
            let text = |n: usize| String::from_utf8(words[n].clone()).unwrap();
            all.push((text(0), text(1)));
        }
        all
    }
}

const GOOD: &str = "ref=9b1f03aa5c7e2d41,allow=1500,project=acme,lookup=7f3a9c21e0b4d655,effort=8.2,extras=memory_mb:512;lanes:2";

#[test]
fn a_request_is_taken_with_all_that_it_tells_and_answered_under_its_tag() {
    let mut c = Client::new();
    c.call("7", GOOD);
    let Said::Call(ticket, asked) = &c.said[0] else { panic!() };
    assert_eq!((asked.reference, &*asked.id), (0x9b1f_03aa_5c7e_2d41, "9b1f03aa5c7e2d41"));
    assert_eq!((&*asked.function, asked.figures.id), ("7f3a9c21e0b4d655", 0x7f3a_9c21_e0b4_d655));
    assert_eq!((asked.figures.memory_mb, asked.figures.lanes, asked.figures.work), (512.0, 2.0, Some(8200)));
    assert!(asked.budget <= 1500 * MS && asked.budget >= 1480 * MS);
    let ticket = *ticket;
    let body = bytes::Bytes::from_static(b"\r\n\0x");
    c.session.answer(ticket, &Answer::Served { body: body.clone(), content_type: None }, MS);
    c.session.answer(ticket, &Answer::Failed { reason: "twice" }, MS);
    let mut decoder = Decoder::default();
    decoder.feed(c.session.out());
    assert_eq!(decoder.take().unwrap().unwrap(), [&b"7"[..], b"200", b"", &body]);
    assert_eq!(decoder.take(), Ok(None), "one answer");
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
    assert!(matches!(c.said[..], [Said::Call(1, _), Said::Gone(1)]));
    c.session.answer(1, &Answer::Failed { reason: "late" }, MS);
    assert!(c.answers().is_empty(), "nothing is written for what was aborted");
    c.call("10", GOOD);
    c.session.answer(2, &Answer::Refused { reason: "", retry_after: 250 * MS }, MS);
    assert!(String::from_utf8_lossy(c.session.out()).contains("cooldown=250"));
}

/// Each kind of request that can't be taken is answered with an error; the connection and its other requests go on.
#[test]
fn unusable_requests_are_answered_one_by_one() {
    let change = |from: &str, to: &str| GOOD.replace(from, to);
    let mut c = Client::new();
    c.call("1", GOOD);
    let bad = [
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
    for (n, fields) in bad.iter().enumerate() {
        let tag = (n + 2).to_string();
        c.call(&tag, fields);
        assert_eq!(c.answers(), [(tag, "500".to_string())], "{fields}");
    }
    c.send(&[b"REQ", b"98", b"nothing", GOOD.as_bytes(), b""]);
    c.send(&[b"REQ", b"99", b"look"]);
    assert_eq!(c.answers().len(), 2);
    assert!(!c.session.is_closing() && c.said.len() == 1, "the first request is still open");
    c.session.answer(1, &Answer::Failed { reason: "" }, MS);
    assert_eq!(c.answers(), [("1".into(), "500".into())]);
}

/// What can't be told apart ends the connection, with an error first; its open requests are the client's loss.
#[test]
fn unreadable_bytes_and_doubled_tags_end_the_connection() {
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
        assert!(matches!(c.said[..], [Said::Call(1, _), Said::Gone(1)]));
        c.raw(b"*2\r\n$6\r\nHEALTH\r\n$1\r\n5\r\n");
        assert!(c.answers().is_empty());
    }
    let mut c = Client::new();
    c.call("1", GOOD);
    c.call("1", GOOD);
    assert!(c.session.is_closing());
}

#[test]
fn more_requests_than_may_be_open_are_refused_and_the_rest_go_on() {
    let mut c = Client::new();
    for n in 1..=300u64 {
        c.call(&n.to_string(), &GOOD.replace("9b1f03aa5c7e2d41", &format!("{n:016x}")));
    }
    assert_eq!(c.said.len(), OPEN_MOST);
    let answers = c.answers();
    assert_eq!(answers.len(), 300 - OPEN_MOST);
    assert!(answers.iter().all(|a| a.1 == "503"));
}

fn line() -> (Line, Vec<News>) {
    let mut line = Line::new(0);
    for n in 1..=3u64 {
        let what = What::Attempt { request: n as u32, attempt: 0 };
        assert!(line.run((n, &format!("{n:016x}")), "class=look,key=07", b"b", what, 0));
    }
    write_all(&mut line, 0);
    (line, Vec::new())
}

fn write_all(line: &mut Line, now: Micros) -> String {
    let mut bytes = Vec::new();
    line.fill(&mut bytes);
    line.wrote(bytes.len(), now);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn ends(news: &[News]) -> Vec<(u32, Outcome, Vec<u8>)> {
    let end = |n: &News| match n {
        News::Attempt { request, result, .. } => Some((*request, result.outcome, result.body.to_vec())),
        _ => None,
    };
    news.iter().filter_map(end).collect()
}

fn feed(line: &mut Line, bytes: &[u8], news: &mut Vec<News>) -> Result<(), Poison> {
    line.receive(bytes, (MS, MS), &["rif".into()], news)
}

#[test]
fn answers_come_in_any_order_and_what_belongs_to_nothing_is_passed_over() {
    let (mut line, mut news) = line();
    let text = "00000000000000ff OK - 3\r\nabc\r\n0000000000000002 OK queue_fn=3,stats=inflight:7;util:0.6 2\r\nhi\r\n\
        0000000000000002 OK - 2\r\nhi\r\n0000000000000001 MISS - 0\r\n\r\n77 UP\r\n0000000000000003 BUSY queue_fn=9\r\n";
    feed(&mut line, text.as_bytes(), &mut news).unwrap();
    let ended = ends(&news);
    assert_eq!(ended[0], (2, Outcome::Ok, b"hi".to_vec()));
    assert_eq!(ended[1..], [(1, Outcome::Miss, vec![]), (3, Outcome::Full, vec![])]);
    let News::Attempt { result, .. } = &news[0] else { panic!() };
    assert_eq!((result.note.crowd, result.report), (3, Some([7.0, 0.0, 0.0, 0.0])));
    assert!(line.is_idle());
}

#[test]
fn spoilt_answers_poison_the_line_and_all_on_it_may_have_run() {
    let id = "0000000000000001";
    for (text, why) in [
        ("\u{7}\u{1}noise".to_string(), Poison::Line),
        (format!("{id} YES - 0\r\n\r\n"), Poison::Line),
        (format!("{id} OK a 1\r\nx\r\n"), Poison::Line),
        (format!("{id} OK - 1\nx\n"), Poison::Line),
        (format!("{id} OK - 3000000000\r\n"), Poison::Length),
        (format!("{id} OK - -1\r\n"), Poison::Length),
        (format!("{id} OK - 1\r\nxyz\r\n"), Poison::Length),
        (format!("{id} OK - 4\r\nxyz\r\n{id}"), Poison::Length),
        ("x".repeat(5000), Poison::Endless),
    ] {
        let (mut line, mut news) = line();
        assert_eq!(feed(&mut line, text.as_bytes(), &mut news), Err(why), "{text:.40}");
        line.run((9, "0000000000000009"), "-", b"", What::Attempt { request: 9, attempt: 1 }, 0);
        line.end(End::Poisoned, MS, &mut news);
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
    assert_eq!(line.expire(300 * MS, 250 * MS, 1000 * MS, &mut news), Err(Poison::Short));
}

#[test]
fn an_order_that_counts_as_lost_takes_a_silent_connection_with_it() {
    let (mut line, mut news) = line();
    let (worker, function) = (3, 9);
    line.hold("7f3a9c21e0b4d655", 1, What::Load { worker, function, sent: 10 * MS }, 10 * MS);
    assert!(write_all(&mut line, 10 * MS).starts_with("HOLD "));
    assert_eq!(line.expire(1009 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    assert_eq!(line.expire(1010 * MS, 250 * MS, 1000 * MS, &mut news), Err(Poison::Silent));
    // Where something came since, the connection is alive and goes on; the order counts as lost alone.
    line.receive(b"0000000000000001 MISS - 0\r\n\r\n", (20 * MS, 20 * MS), &[], &mut news).unwrap();
    assert_eq!(line.expire(1010 * MS, 250 * MS, 1000 * MS, &mut news), Ok(()));
    let lost = |n: &News| matches!(n, News::Loaded { worker: 3, function: 9, outcome: Outcome::Timeout, .. });
    assert!(news.iter().any(lost), "{news:?}");
}

#[test]
fn a_client_is_known_once_it_was_served() {
    let mut c = Client::new();
    let answers = [
        Answer::Refused { reason: "", retry_after: 0 },
        Answer::Failed { reason: "" },
        Answer::Served { body: Default::default(), content_type: None },
    ];
    for (n, answer) in answers.iter().enumerate() {
        let n = n + 1;
        c.call(&n.to_string(), &GOOD.replace("9b1f", &format!("9b1{n}")));
        assert!(!c.session.is_known());
        c.session.answer(n as u64, answer, MS);
    }
    assert!(c.session.is_known());
}

#[test]
fn what_is_given_up_is_stopped_or_never_written() {
    let (mut line, mut news) = line();
    line.stop(1, "0000000000000001", 10 * MS, 250 * MS);
    assert_eq!(
        (write_all(&mut line, 10 * MS), line.is_silent()),
        ("STOP 0000000000000001\r\n".into(), false)
    );
    // Its late answer is passed over.
    feed(&mut line, b"0000000000000001 OK - 0\r\n\r\n", &mut news).unwrap();
    assert!(news.is_empty());
    line.run((5, "0000000000000005"), "-", b"x", What::Attempt { request: 5, attempt: 0 }, 0);
    line.stop(5, "0000000000000005", 20 * MS, 250 * MS);
    assert_eq!(write_all(&mut line, 20 * MS), "");
    // An executor that takes nothing new: what waits is withdrawn, what was begun goes on.
    line.run((6, "0000000000000006"), "-", b"x", What::Attempt { request: 6, attempt: 0 }, 0);
    let mut bytes = Vec::new();
    line.fill(&mut bytes);
    line.wrote(1, 21 * MS);
    line.run((7, "0000000000000007"), "-", b"x", What::Attempt { request: 7, attempt: 0 }, 0);
    line.withdraw(22 * MS, &mut news);
    assert_eq!(ends(&news), [(7, Outcome::ConnectFailed, vec![])]);
    assert!(!write_all(&mut line, 23 * MS).contains("RUN 0000000000000007"));
    // Given up long after it was written, with no word since: silent, until a word comes.
    line.stop(6, "0000000000000006", 500 * MS, 250 * MS);
    assert!(line.is_silent());
    feed(&mut line, b"0000000000000003 OK - 0\r\n\r\n", &mut news).unwrap();
    assert!(!line.is_silent());
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
            while let Some(words) = decoder.take().unwrap() {
                got.push(words);
            }
        }
        prop_assert_eq!(got, want);
        prop_assert!(!decoder.is_partial() && decoder.held() == 0);
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
                    match decoder.take() {
                        Ok(Some(_)) => {}
                        Ok(None) => break,
                        Err(_) => break 'parts,
                    }
                }
                prop_assert!(decoder.held() <= 128 << 10);
            }
        }
    }

    #[test]
    fn the_same_answers_in_any_split(cuts in prop::collection::vec(any::<usize>(), 0..40), body in prop::collection::vec(any::<u8>(), 0..30_000)) {
        let (mut line, mut news) = line();
        let mut text = format!("0000000000000002 OK queue_fn=1 {}\r\n", body.len()).into_bytes();
        text.extend_from_slice(&body);
        text.extend_from_slice(b"\r\n0000000000000001 ERR\r\n0000000000000003 VOID - 0\r\n\r\n");
        for part in split(&text, &cuts) {
            feed(&mut line, part, &mut news).unwrap();
        }
        prop_assert_eq!(ends(&news), vec![(2, Outcome::Ok, body), (1, Outcome::Error, vec![]), (3, Outcome::Moot, vec![])]);
    }

    #[test]
    fn arbitrary_bytes_end_each_attempt_of_an_executors_line_once(
        bytes in prop::collection::vec(any::<u8>(), 0..5_000),
        spoil in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4),
        cuts in prop::collection::vec(any::<usize>(), 0..20),
    ) {
        let (mut line, mut news) = line();
        let mut text = b"0000000000000002 OK - 5\r\nhello\r\n0000000000000001 MISS - 0\r\n\r\n".to_vec();
        text.extend_from_slice(&bytes);
        for (at, b) in spoil {
            let at = at % text.len();
            text[at] = b;
        }
        for part in split(&text, &cuts) {
            if feed(&mut line, part, &mut news).is_err() {
                break;
            }
        }
        line.end(End::Poisoned, MS, &mut news);
        let mut requests: Vec<u32> = ends(&news).iter().map(|e| e.0).collect();
        requests.sort_unstable();
        prop_assert_eq!(requests, vec![1, 2, 3]);
    }

    #[test]
    fn arbitrary_bytes_never_move_the_buss_number_back(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let (mut bus, mut news) = (Bus::new(10, 0), Vec::new());
        let _ = bus.feed(&bytes, 0, &mut news);
        prop_assert!(bus.last() >= 10 && news.iter().all(|e| e.number > 10));
    }
}
