//! Messages that come again, or would, while what became of them crosses it: their answer's confirm, their time, a
//! question about them.

mod world;

use world::*;

/// The drain begins while a delivery is on its way: it is taken and answered, and not put back as one that
/// may have run.
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
    // As the connection does in each turn.
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
        w.broker.arm_disconnect(number, Disconnect::BeforeConfirm);
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
    use stagehoist_recovery::inquiry::{AttemptKnowledge, InquiryLimits};
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    w.arrivals();
    w.cut();
    w.front = Front::new(config(""), 2, w.now);
    let own: Rc<str> = "own".into();
    w.front.set_inquiry(vec![own.clone()], InquiryLimits::default());
    let from = w.now;
    w.connect();
    let questions = w.front.take_questions();
    assert_eq!(questions.len(), 1);
    w.now += 50_000;
    w.front.on_inquiry_answer(questions[0].0, &own, Some(AttemptKnowledge::None), w.now);
    let call = w.arrivals().remove(0);
    let by = call.read_at + call.budget;
    assert!(by >= from + 2_480_000, "its caller waits until {}, it until {by}", from + 2_500_000);
}
