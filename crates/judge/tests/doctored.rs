//! The judge against captures written by hand: a good one, and one for each way to break a rule.

use bytes::{Bytes, BytesMut};
use stagehoist_amqp::codec::{put_content, put_method, PROTOCOL_HEADER};
use stagehoist_amqp::{basic, connection, long, short, AMQPClass, BasicProperties, FieldTable};
use stagehoist_judge::rules::{judge, Charter, ClassRule, Effect, Verdict, WorkerStart};
use stagehoist_judge::{Capture, Link, Micros, Peer, Record, Story, Way, What};

const MS: Micros = 1000;
const S: Micros = 1_000_000;
const CALLERS: usize = 0;
const BROKER: usize = 1;
const LIST: usize = 2;
const W1: usize = 3;
const W2: usize = 4;

struct Scene {
    records: Vec<Record>,
    connections: u64,
    callers: u64,
    broker: u64,
}

fn properties(id: &str) -> BasicProperties {
    BasicProperties::default().with_correlation_id(short(id))
}

fn publish(id: &str, outcome: Option<&str>, function: &str) -> Bytes {
    let mut out = BytesMut::new();
    let publish = basic::Publish {
        exchange: short(""),
        routing_key: short(if outcome.is_some() { "replies" } else { "calls" }),
        mandatory: true,
        immediate: false,
    };
    put_method(&mut out, 1, AMQPClass::Basic(basic::AMQPMethod::Publish(publish)));
    let mut headers = FieldTable::default();
    match outcome {
        Some(outcome) => headers.insert(short("outcome"), long(outcome)),
        None => headers.insert(short("function"), long(function)),
    };
    put_content(
        &mut out,
        1,
        &properties(id).with_headers(headers).with_expiration(short("2500")),
        b"{}",
        8192,
    );
    out.freeze()
}

fn deliver(id: &str, outcome: Option<&str>, redelivered: bool) -> Bytes {
    let mut out = BytesMut::new();
    let deliver = basic::Deliver {
        consumer_tag: short("c"),
        delivery_tag: 1,
        redelivered,
        exchange: short(""),
        routing_key: short("x"),
    };
    put_method(&mut out, 1, AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)));
    let mut headers = FieldTable::default();
    if let Some(outcome) = outcome {
        headers.insert(short("outcome"), long(outcome));
    }
    put_content(&mut out, 1, &properties(id).with_headers(headers), b"{}", 8192);
    out.freeze()
}

impl Scene {
    fn new() -> Scene {
        let mut scene = Scene { records: Vec::new(), connections: 0, callers: 0, broker: 0 };
        scene.callers = scene.open(0, CALLERS);
        scene.broker = scene.open(0, BROKER);
        let header = Bytes::from_static(&PROTOCOL_HEADER);
        scene.bytes(0, CALLERS, scene.callers, Way::Out, header.clone());
        scene.bytes(0, BROKER, scene.broker, Way::Out, header);
        scene
    }
    fn open(&mut self, at: Micros, link: usize) -> u64 {
        self.connections += 1;
        self.records.push(Record { at, link, connection: self.connections, what: What::Opened });
        self.connections
    }
    fn bytes(&mut self, at: Micros, link: usize, connection: u64, way: Way, bytes: Bytes) {
        self.records.push(Record { at, link, connection, what: What::Bytes(way, bytes) });
    }
    fn close(&mut self, at: Micros, link: usize, connection: u64) {
        self.records.push(Record { at, link, connection, what: What::Closed });
    }
    /// A caller publishes a call and the front end gets it.
    fn call(&mut self, at: Micros, id: &str, function: &str) -> &mut Scene {
        self.bytes(at, CALLERS, self.callers, Way::Out, publish(id, None, function));
        self.bytes(at + MS, BROKER, self.broker, Way::In, deliver(id, None, false));
        self
    }
    /// The front end replies and the caller gets it.
    fn answer(&mut self, at: Micros, id: &str, outcome: &str) -> &mut Scene {
        self.bytes(at, BROKER, self.broker, Way::Out, publish(id, Some(outcome), ""));
        self.bytes(at + MS, CALLERS, self.callers, Way::In, deliver(id, Some(outcome), false));
        self
    }
    /// An attempt on a connection of its own; `answer` is its status and headers, None breaks the connection off.
    fn attempt(&mut self, at: Micros, worker: usize, id: &str, answer: Option<(u16, &str)>, took: Micros) {
        let connection = self.open(at, worker);
        let body = format!("{{\"id\":\"{id}\"}}");
        let request = format!(
            "POST /v2/models/f/infer HTTP/1.1\r\nhost: w\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.bytes(at, worker, connection, Way::Out, request.into());
        if let Some((status, headers)) = answer {
            let text = format!("HTTP/1.1 {status} X\r\n{headers}content-length: 2\r\n\r\n{{}}");
            self.bytes(at + took, worker, connection, Way::In, text.into());
        } else {
            self.close(at + took, worker, connection);
        }
    }
    fn load(&mut self, at: Micros, worker: usize) {
        let connection = self.open(at, worker);
        let request = "POST /v2/repository/models/f/load HTTP/1.1\r\ncontent-length: 0\r\n\r\n";
        self.bytes(at, worker, connection, Way::Out, request.into());
    }
    /// The list tells of w1 and w2; `states` are `ready`, `draining` or `gone`.
    fn list(&mut self, at: Micros, states: [&str; 2]) {
        let connection = self.open(at, LIST);
        let rows: Vec<String> = ["w1", "w2"]
            .iter()
            .zip(states)
            .filter(|(_, s)| *s != "gone")
            .map(|(name, s)| {
                format!(
                    "{{\"Service\":{{\"ID\":\"{name}\",\"Meta\":{{\"state\":\"{s}\",\"started\":\"5\"}}}}}}"
                )
            })
            .collect();
        let body = format!("[{}]", rows.join(","));
        self.bytes(at, LIST, connection, Way::Out, "GET /v1/health/service/workers HTTP/1.1\r\n\r\n".into());
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        self.bytes(at, LIST, connection, Way::In, text.into());
    }
    fn judge(mut self, edit: impl FnOnce(&mut Charter)) -> Verdict {
        let link = |peer| Link { front_end: Some(0), peer };
        self.records.sort_by_key(|r| r.at);
        let last = self.records.last().map_or(0, |r| r.at);
        // Time goes on, so that nothing is open only because the recording ended.
        self.records.push(Record { at: last + 10 * S, link: W2, connection: 0, what: What::Closed });
        let links = vec![
            Link { front_end: None, peer: Peer::CallersBroker },
            link(Peer::Broker),
            link(Peer::List),
            link(Peer::Worker("w1".into())),
            link(Peer::Worker("w2".into())),
        ];
        let capture = Capture { links, records: self.records, cut_short: false };
        let class = |effect| ClassRule { effect, give_up: 2500 * MS };
        let mut charter = Charter {
            functions: vec![
                ("safe".into(), class(Effect::Safe)),
                ("unsafe".into(), class(Effect::Unsafe)),
                ("keyed".into(), class(Effect::Keyed { grouped: true, window: S })),
            ],
            answer_grace: 10 * MS,
            drain_grace: S,
            second_copies: false,
            ration: Some((10 * S, 1.0, 0.5)),
            cold: Some((S, 2.0, 0.25, 10 * S)),
            groups: [("w1".to_string(), "a".to_string()), ("w2".to_string(), "b".to_string())].into(),
            ..Charter::default()
        };
        edit(&mut charter);
        judge(&Story::read(&capture), &charter)
    }
}

const NOT_RUN: (u16, &str) = (503, "stagehoist-not-run: queue-full\r\n");

/// The numbers of the rules that a verdict says are broken.
fn broken(verdict: &Verdict) -> Vec<u8> {
    verdict.rules.iter().filter(|r| !r.kept).map(|r| r.rule).collect()
}

#[test]
fn a_good_day_breaks_nothing_and_is_counted() {
    let mut s = Scene::new();
    s.list(0, ["ready", "ready"]);
    s.call(S, "a", "unsafe");
    s.attempt(S + 2 * MS, W1, "a", Some(NOT_RUN), MS);
    s.attempt(S + 4 * MS, W2, "a", Some((200, "")), 30 * MS);
    s.answer(S + 40 * MS, "a", "served");
    s.call(2 * S, "b", "safe").answer(2 * S + 5 * MS, "b", "refused");
    s.call(3 * S, "c", "unsafe");
    s.attempt(3 * S + 2 * MS, W1, "c", None, 5 * MS);
    s.answer(3 * S + 9 * MS, "c", "failed");
    s.load(4 * S, W1);
    let v = s.judge(|_| {});
    assert_eq!(broken(&v), Vec::<u8>::new(), "{v:#?}");
    assert_eq!((v.sent, v.served, v.refused, v.failed, v.unanswered), (3, 1, 1, 1, 0));
    assert!(v.rules.iter().filter(|r| r.rule != 4).all(|r| r.checks > 0), "{v:#?}");
}

#[test]
fn rule_1_broken_by_no_answer_by_two_by_a_late_one_and_by_a_wordless_one() {
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    let v = s.judge(|_| {});
    assert_eq!((broken(&v), v.unanswered, v.not_owed), (vec![1], 1, 0));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(S + 5 * MS, "a", "served").answer(S + 9 * MS, "a", "served");
    let v = s.judge(|_| {});
    assert_eq!((broken(&v), v.answered_twice), (vec![1], 1));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(S + 2600 * MS, "a", "failed");
    let v = s.judge(|_| {});
    assert_eq!((broken(&v), v.late), (vec![1], 1));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(S + MS, "a", "perhaps");
    assert_eq!(broken(&s.judge(|_| {})), [1]);
}

#[test]
fn rule_1_excuses_what_went_back_to_the_broker_was_stopped_or_could_not_leave() {
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    s.close(2 * S, BROKER, s.broker);
    let v = s.judge(|_| {});
    assert_eq!((broken(&v), v.not_owed), (vec![], 1));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(4 * S, "a", "refused");
    let v = s.judge(|c| c.frozen.push((0, S, 4 * S)));
    assert_eq!((broken(&v), v.late), (vec![], 1));
    let mut s = Scene::new();
    s.call(S, "a", "safe").answer(4 * S, "a", "refused");
    for (at, open) in [(2 * S, false), (4 * S, true)] {
        let method = if open {
            connection::AMQPMethod::Unblocked(connection::Unblocked {})
        } else {
            connection::AMQPMethod::Blocked(connection::Blocked { reason: short("memory") })
        };
        let mut out = BytesMut::new();
        put_method(&mut out, 0, AMQPClass::Connection(method));
        s.bytes(at, BROKER, s.broker, Way::In, out.freeze());
    }
    assert_eq!(broken(&s.judge(|_| {})), Vec::<u8>::new());
}

#[test]
fn rule_2_broken_by_another_attempt_or_a_refusal_after_one_that_may_have_run() {
    let breaches: [(&str, Option<(u16, &str)>); 3] =
        [("reset", None), ("error", Some((500, ""))), ("busy without proof", Some((503, "")))];
    for (why, first) in breaches {
        let mut s = Scene::new();
        s.call(S, "a", "unsafe");
        s.attempt(S + 2 * MS, W1, "a", first, MS);
        s.attempt(S + 5 * MS, W2, "a", Some((200, "")), MS);
        s.answer(S + 9 * MS, "a", "served");
        assert_eq!(broken(&s.judge(|_| {})), [2], "{why}");
        let mut s = Scene::new();
        s.call(S, "a", "unsafe");
        s.attempt(S + 2 * MS, W1, "a", first, MS);
        s.answer(S + 9 * MS, "a", "refused");
        assert_eq!(broken(&s.judge(|_| {})), [2], "refused after {why}");
    }
}

#[test]
fn rule_2_broken_outside_group_or_window_and_by_two_at_a_time() {
    for (second, at, kept) in [(W1, 500 * MS, true), (W2, 500 * MS, false), (W1, 1500 * MS, false)] {
        let mut s = Scene::new();
        s.call(S, "a", "keyed");
        s.attempt(S + 2 * MS, W1, "a", None, MS);
        s.attempt(S + 2 * MS + at, second, "a", Some((200, "")), MS);
        s.answer(S + 1900 * MS, "a", "served");
        assert_eq!(broken(&s.judge(|_| {})).is_empty(), kept, "{second} {at}");
    }
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    s.attempt(S + 2 * MS, W1, "a", Some((200, "")), 50 * MS);
    s.attempt(S + 9 * MS, W2, "a", Some((200, "")), 9 * MS);
    s.answer(S + 60 * MS, "a", "served");
    let copy = Scene { records: s.records.clone(), ..s };
    assert_eq!(broken(&copy.judge(|c| c.second_copies = true)), Vec::<u8>::new());
}

#[test]
fn rule_2_sees_two_attempts_out_at_once_where_that_is_not_allowed() {
    let mut s = Scene::new();
    s.call(S, "a", "safe");
    s.attempt(S + 2 * MS, W1, "a", Some((200, "")), 50 * MS);
    s.attempt(S + 9 * MS, W2, "a", Some((200, "")), 9 * MS);
    s.answer(S + 60 * MS, "a", "served");
    assert_eq!(broken(&s.judge(|_| {})), [2]);
}

#[test]
fn rule_3_broken_by_a_call_or_a_load_later_than_the_grace() {
    for (told, wait, load, kept) in [
        ("draining", 900 * MS, false, true),
        ("draining", 1100 * MS, false, false),
        ("gone", 1100 * MS, false, false),
        ("draining", 1100 * MS, true, false),
    ] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.list(S, [told, "ready"]);
        if load {
            s.load(S + wait, W1);
        } else {
            s.call(S + wait - 9 * MS, "a", "safe");
            s.attempt(S + wait, W1, "a", Some((200, "")), MS);
            s.answer(S + wait + 9 * MS, "a", "served");
        }
        let v = s.judge(|_| {});
        assert_eq!(broken(&v), if kept { vec![] } else { vec![3] }, "{told} {wait} {load}");
    }
}

#[test]
fn rule_3_counts_a_workers_own_word_until_it_or_the_list_takes_it_back() {
    for (back, kept) in [(None, false), (Some("worker"), true), (Some("list"), true)] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.call(S, "a", "safe");
        s.attempt(S + MS, W1, "a", Some((200, "stagehoist-worker: draining\r\n")), MS);
        s.answer(S + 9 * MS, "a", "served");
        match back {
            Some("worker") => {
                s.attempt(S + 500 * MS, W1, "x", Some((200, "stagehoist-worker: serving\r\n")), MS)
            }
            Some(_) => {
                s.list(S + 400 * MS, ["draining", "ready"]);
                s.list(S + 500 * MS, ["ready", "ready"]);
            }
            // A list that lags goes on saying ready; that takes nothing back.
            None => s.list(S + 500 * MS, ["ready", "ready"]),
        }
        s.call(3 * S, "b", "safe");
        s.attempt(3 * S + MS, W1, "b", Some((200, "")), MS);
        s.answer(3 * S + 9 * MS, "b", "served");
        assert_eq!(broken(&s.judge(|_| {})).is_empty(), kept, "{back:?}");
    }
}

/// A process that started after a worker's word does not know it; one whose predecessor only began before it does.
#[test]
fn rule_3_asks_of_a_new_process_only_what_that_process_was_told() {
    for (began, kept) in [(None, false), (Some(900 * MS), false), (Some(2 * S), true)] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.list(950 * MS, ["ready", "ready"]);
        s.call(S, "a", "safe");
        s.attempt(S + MS, W1, "a", Some((200, "stagehoist-worker: draining\r\n")), MS);
        s.answer(S + 9 * MS, "a", "served");
        s.list(2 * S + 100 * MS, ["ready", "ready"]);
        s.call(3 * S, "b", "safe");
        s.attempt(3 * S + MS, W1, "b", Some((200, "")), MS);
        s.answer(3 * S + 9 * MS, "b", "served");
        let verdict = s.judge(|c| c.begun.extend(began.map(|at| (0, at))));
        assert_eq!(broken(&verdict).is_empty(), kept, "{began:?}: {:?}", verdict.rules[2]);
    }
}

#[test]
fn rule_4_broken_by_a_burst_at_a_cold_worker_of_which_the_front_end_was_told() {
    for (calls, kept) in [(6, true), (40, false)] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.list(S, ["gone", "ready"]);
        s.list(2 * S, ["ready", "ready"]);
        for n in 0..calls {
            let (id, at) = (format!("c{n}"), 3 * S + n * 10 * MS);
            s.call(at, &id, "safe");
            s.attempt(at + 2 * MS, W1, &id, Some((200, "")), MS);
            s.answer(at + 5 * MS, &id, "served");
        }
        let start = WorkerStart { worker: "w1".into(), at: 1900 * MS, capacity: 10.0 };
        let v = s.judge(|c| c.starts.push(start));
        assert_eq!(broken(&v), if kept { vec![] } else { vec![4] });
    }
}

#[test]
fn rule_5_broken_by_one_load_more_than_the_ration() {
    for (loads, kept) in [(2, true), (3, false)] {
        let mut s = Scene::new();
        s.list(0, ["ready", "ready"]);
        s.call(S, "a", "safe").answer(S + MS, "a", "refused");
        s.call(S, "b", "safe").answer(S + MS, "b", "refused");
        for n in 0..loads {
            s.load(2 * S + n * MS, W1);
        }
        assert_eq!(broken(&s.judge(|_| {})).is_empty(), kept);
    }
}
