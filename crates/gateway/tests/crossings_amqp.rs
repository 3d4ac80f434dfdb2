//! Where two events cross on a broker's connection: both lie in one read, or one is held back until the other was. Bytes
//! are carried by the test, as in `front.rs`; `docs/design/crossings.md` has the table.

mod world;

use stagehoist_amqp::codec::put_method;
use stagehoist_amqp::{channel, connection};
use std::rc::Rc;
use world::*;

/// How a broker ends what it spoke on, in the words that follow others in one read.
#[derive(Clone, Copy, Debug)]
enum End {
    Channel,
    Connection,
}

impl End {
    const BOTH: [End; 2] = [End::Channel, End::Connection];

    fn words(self) -> bytes::BytesMut {
        let (reply_code, reply_text, class_id, method_id) = (320, short("closed by hand"), 0, 0);
        let mut out = bytes::BytesMut::new();
        match self {
            End::Channel => {
                let close = channel::Close { reply_code, reply_text, class_id, method_id };
                put_method(&mut out, 1, AMQPClass::Channel(channel::AMQPMethod::Close(close)));
            }
            End::Connection => {
                let close = connection::Close { reply_code, reply_text, class_id, method_id };
                put_method(&mut out, 0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
            }
        }
        out
    }
}

/// Connects; the read that brings the first delivery brings the end too.
fn connect_and_end(w: &mut World, end: End) {
    let number = w.broker.connect(w.now);
    w.front_at = Some(number);
    w.front.connected(&config("").brokers[0], w.now);
    for _ in 0..20 {
        let before = w.broker.stats.delivered;
        w.push_front();
        let mut bytes = w.broker.take_output(number).unwrap();
        let delivered = w.broker.stats.delivered > before;
        if delivered {
            bytes.extend_from_slice(&end.words());
        }
        w.front.receive(&bytes, w.now, 0);
        if delivered {
            return;
        }
    }
    panic!("nothing was delivered");
}

/// The reply had no way to leave, so that there is no doubt about it.
#[test]
fn an_answer_from_memory_that_crosses_the_close_is_given_at_the_next_delivery() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        for end in End::BOTH {
            let mut w = World::new(mode);
            w.publish("a", "recurring", |p| p);
            let calls = w.arrivals();
            w.cut();
            w.serve(&calls[0]);
            connect_and_end(&mut w, end);
            w.cut();
            w.connect();
            assert!(w.arrivals().is_empty(), "it would run a second time");
            assert_eq!(w.outcomes(), [("a", "served")], "{mode:?} {end:?}");
            assert_eq!((w.broker.depth("calls"), w.front.unsettled()), (Some(0), 0));
        }
    }
}

/// A reply that the broker says it didn't take is in no doubt, though the next try has no connection any more.
#[test]
fn a_refused_confirm_that_crosses_the_close_leaves_no_doubt() {
    for end in End::BOTH {
        let mut w = World::new("");
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.serve(&calls[0]);
        // It leaves whole, and the broker can't take it.
        let client = w.front.client().unwrap();
        let left = client.output().split().len();
        client.wrote(left, w.now);
        let mut bytes = bytes::BytesMut::new();
        let nack = basic::Nack { delivery_tag: 1, multiple: false, requeue: false };
        put_method(&mut bytes, 1, AMQPClass::Basic(basic::AMQPMethod::Nack(nack)));
        bytes.extend_from_slice(&end.words());
        w.front.receive(&bytes, w.now, 0);
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty(), "it would run a second time");
        assert_eq!(w.outcomes(), [("a", "served")], "{end:?}");
    }
}

/// A confirm in the same read as the close counts: the caller has its answer.
#[test]
fn a_confirm_that_crosses_the_close_counts() {
    for end in End::BOTH {
        let mut w = World::new("doubtful-reply resend\n");
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.serve(&calls[0]);
        w.push_front();
        let number = w.front_at.unwrap();
        let mut bytes = w.broker.take_output(number).unwrap();
        bytes.extend_from_slice(&end.words());
        w.front.receive(&bytes, w.now, 0);
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty());
        assert_eq!((w.outcomes(), w.broker.depth("calls")), (vec![("a", "served")], Some(0)), "{end:?}");
    }
}

/// What the broker held back never left, whatever ends then.
#[test]
fn replies_held_back_when_the_broker_closes_are_sent_again() {
    for end in End::BOTH {
        for flow in [false, true] {
            let mut w = World::new("");
            w.publish("a", "recurring", |p| p);
            w.publish("b", "recurring", |p| p);
            let calls = w.arrivals();
            if flow {
                w.broker.set_flow(false);
            } else {
                w.broker.set_blocked(true);
            }
            w.settle();
            calls.iter().for_each(|c| w.serve(c));
            w.settle();
            w.front.receive(&end.words(), w.now, 0);
            w.cut();
            w.broker.set_flow(true);
            w.connect();
            assert!(w.arrivals().is_empty(), "they would run a second time");
            let mut outcomes = w.outcomes();
            outcomes.sort_unstable();
            assert_eq!(outcomes, [("a", "served"), ("b", "served")], "{end:?} {flow}");
        }
    }
}

/// The time for confirms runs out while the broker takes no replies: the connection is given up, and none is in doubt.
#[test]
fn replies_held_back_until_their_confirms_are_overdue_are_sent_again() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        let mut w = World::new(&format!("{mode}confirm-timeout 2s\n"));
        for id in ["a", "b", "c"] {
            w.publish(id, "recurring", |p| p);
        }
        let calls = w.arrivals();
        w.broker.set_blocked(true);
        w.settle();
        calls.iter().for_each(|c| w.serve(c));
        w.settle();
        // Looked at more than once before the broker's word that the connection is over.
        for _ in 0..4 {
            w.now += 2_500_000;
            w.front.tick(w.now);
        }
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty(), "they would run a second time");
        let mut outcomes = w.outcomes();
        outcomes.sort_unstable();
        assert_eq!(outcomes, ["a", "b", "c"].map(|id| (id, "served")), "{mode:?}");
    }
}

/// The drain begins while a delivery is on its way: it is taken and answered, and not put back as one that may have run.
#[test]
fn a_delivery_on_its_way_when_the_drain_begins_is_answered() {
    let mut w = World::new("");
    let caller = w.caller.channel;
    let publish = basic::Publish {
        exchange: short(""),
        routing_key: short("calls"),
        mandatory: false,
        immediate: false,
    };
    let mut headers = FieldTable::default();
    headers.insert(short("function"), long("recurring"));
    let properties = BasicProperties::default()
        .with_headers(headers)
        .with_correlation_id(short("a"))
        .with_reply_to(short("replies"));
    w.caller.client.publish(caller, publish, &properties, &Bytes::from_static(b"body"));
    let out = w.caller.client.output().split();
    w.broker.receive(w.caller.number, &out, w.now);
    assert_eq!(w.broker.stats.delivered, 1, "it lies in the socket");
    w.front.drain();
    // As the link does in each turn.
    if w.front.is_drained() {
        w.front.close(w.now);
    }
    w.settle();
    let calls = w.arrivals();
    assert_eq!(calls.len(), 1, "it was put back and would fail elsewhere, though it did not run");
    assert!(!w.front.is_drained());
    w.serve(&calls[0]);
    w.settle();
    assert!(w.front.is_drained());
    assert_eq!((w.outcomes(), w.broker.depth("calls")), (vec![("a", "served")], Some(0)));
}

/// A drain ends where nothing says any more that a consumer was cancelled.
#[test]
fn a_drain_does_not_wait_for_a_consumer_that_went_with_its_queue_or_channel() {
    for end in [None, Some(End::Channel)] {
        let mut w = World::new("");
        w.front.drain();
        assert!(!w.front.is_drained(), "deliveries may be on their way");
        match end {
            None => {
                let cancel = basic::Cancel { consumer_tag: short("stagehoist-0"), nowait: true };
                let mut bytes = bytes::BytesMut::new();
                put_method(&mut bytes, 1, AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel)));
                w.front.receive(&bytes, w.now, 0);
            }
            Some(end) => w.front.receive(&end.words(), w.now, 0),
        }
        assert!(w.front.is_drained(), "{end:?}");
    }
}

/// The word that a message may have run is a final answer like another: in doubt it is not given twice.
#[test]
fn an_answer_to_a_message_of_which_nothing_is_known_is_not_given_twice() {
    for (id, function, outcome) in [("a", "recurring", "failed"), ("b", "none-such", "refused")] {
        let mut w = World::new("");
        let mut edit = FieldTable::default();
        edit.insert(short("function"), long(function));
        edit.insert(short("tenant"), long(if outcome == "failed" { "north" } else { "south" }));
        w.cut();
        w.publish(id, function, |p| p.with_headers(edit));
        // It was with another front end before.
        let number = w.broker.connect(w.now);
        w.front_at = Some(number);
        w.front.connected(&config("").brokers[0], w.now);
        for _ in 0..20 {
            let before = w.broker.stats.delivered;
            w.push_front();
            let bytes = w.broker.take_output(number).unwrap();
            if w.broker.stats.delivered > before {
                break;
            }
            w.front.receive(&bytes, w.now, 0);
        }
        w.cut();
        w.front = Front::new(config(""), 2, w.now);
        let number = w.broker.connect(w.now);
        w.broker.arm_cut(number, Cut::BeforeConfirm);
        w.front_at = Some(number);
        w.front.connected(&config("").brokers[0], w.now);
        w.settle();
        assert!(w.front_at.is_none(), "cut between the answer and its confirm");
        w.connect();
        assert!(w.arrivals().is_empty());
        assert_eq!((w.outcomes(), w.broker.depth("calls")), (vec![(id, outcome)], Some(0)));
    }
}

/// A message that comes again after its time may have run before: its caller is not told that it did not.
#[test]
fn a_message_delivered_again_after_its_time_fails_unless_it_is_safe() {
    let mut w = World::new("");
    for (id, function) in [("a", "recurring"), ("b", "free-times")] {
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long(function));
        headers.insert(short("timestamp_in_ms"), stagehoist_amqp::AMQPValue::LongLongInt(w.now / 1000));
        w.publish(id, function, |p| p.with_headers(headers));
    }
    assert_eq!(w.arrivals().len(), 2);
    w.cut();
    // Another process, which remembers nothing, after the time that callers wait.
    w.now += 3_000_000;
    w.front = Front::new(config(""), 2, w.now);
    w.connect();
    let mut told: Vec<_> =
        w.caller.answers.iter().map(|a| (a.0.as_str(), a.1.as_str(), a.2.as_str())).collect();
    told.sort_unstable();
    assert_eq!(told, [("a", "failed", "delivered-before"), ("b", "refused", "too-late")]);
}

/// What asking took is gone from a call's time once, not twice.
#[test]
fn a_call_that_was_asked_about_keeps_the_time_that_its_caller_waits() {
    use stagehoist_recovery::inquiry::{Patience, Told};
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    w.arrivals();
    w.cut();
    w.front = Front::new(config(""), 2, w.now);
    let own: Rc<str> = "own".into();
    w.front.ask(vec![own.clone()], Patience::default());
    let from = w.now;
    w.connect();
    let questions = w.front.take_questions();
    assert_eq!(questions.len(), 1);
    w.now += 50_000;
    w.front.told(questions[0].0, &own, Some(Told::None), w.now);
    let call = w.arrivals().remove(0);
    let by = call.read + call.budget;
    assert!(by >= from + 2_480_000, "its caller waits until {}, it until {by}", from + 2_500_000);
}
