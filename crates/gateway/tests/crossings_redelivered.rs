//! Races of redelivered messages with the confirm of their answer, with their timeout, with an inquiry about them, or
//! with a drain.

mod world;

use world::*;

/// The drain begins while a delivery is on its way: the delivery is accepted and answered, and not requeued, which
/// would mark it as one that may have run.
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
    let output = w.caller.client.output().split();
    w.broker.receive(w.caller.number, &output, w.now);
    assert_eq!(w.broker.stats.delivered, 1, "not delivered to the socket");
    w.front.drain();
    // The link does this in each turn.
    if w.front.is_drained() {
        w.front.close(w.now);
    }
    w.settle();
    let calls = w.arrivals();
    assert_eq!(calls.len(), 1, "the delivery was requeued and would fail elsewhere, though it did not run");
    assert!(!w.front.is_drained());
    w.serve(&calls[0]);
    w.settle();
    assert!(w.front.is_drained());
    assert_eq!((w.outcomes(), w.broker.depth("calls")), (vec![("a", "served")], Some(0)));
}

/// The failure that a message may have run is a final answer like any other: if its reply is doubtful, it is not sent
/// twice.
#[test]
fn an_answer_to_an_unknown_message_is_not_sent_twice() {
    for (id, function, outcome) in [("a", "recurring", "failed"), ("b", "none-such", "refused")] {
        let mut w = World::new("");
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long(function));
        headers.insert(short("tenant"), long(if outcome == "failed" { "north" } else { "south" }));
        w.cut();
        w.publish(id, function, |p| p.with_headers(headers));
        // Another front end receives it first.
        let number = w.broker.connect(w.now);
        w.front_at = Some(number);
        w.front.on_connected(&config("").brokers[0], w.now);
        for _ in 0..20 {
            let delivered_before = w.broker.stats.delivered;
            w.push_front();
            let bytes = w.broker.take_output(number).unwrap();
            if w.broker.stats.delivered > delivered_before {
                break;
            }
            w.front.receive(&bytes, w.now, 0);
        }
        w.cut();
        w.front = Front::new(config(""), 2, w.now);
        let number = w.broker.connect(w.now);
        w.broker.arm_disconnect(number, Disconnect::BeforeConfirm);
        w.front_at = Some(number);
        w.front.on_connected(&config("").brokers[0], w.now);
        w.settle();
        assert!(w.front_at.is_none(), "cut between the answer and its confirm");
        w.connect();
        assert!(w.arrivals().is_empty());
        assert_eq!((w.outcomes(), w.broker.depth("calls")), (vec![(id, outcome)], Some(0)));
    }
}

/// A message that is redelivered after its timeout may have run before: its caller must not be told that it did not
/// run.
#[test]
fn a_message_redelivered_after_its_timeout_fails_unless_it_is_idempotent() {
    let mut w = World::new("");
    for (id, function) in [("a", "recurring"), ("b", "free-times")] {
        let mut headers = FieldTable::default();
        headers.insert(short("function"), long(function));
        headers.insert(short("timestamp_in_ms"), stagehoist_amqp::AMQPValue::LongLongInt(w.now / 1000));
        w.publish(id, function, |p| p.with_headers(headers));
    }
    assert_eq!(w.arrivals().len(), 2);
    w.cut();
    // A new process without the earlier one's state, after the callers' timeout.
    w.now += 3_000_000;
    w.front = Front::new(config(""), 2, w.now);
    w.connect();
    let mut answers: Vec<_> =
        w.caller.answers.iter().map(|a| (a.0.as_str(), a.1.as_str(), a.2.as_str())).collect();
    answers.sort_unstable();
    assert_eq!(answers, [("a", "failed", "delivered-before"), ("b", "refused", "too-late")]);
}

/// The time of an inquiry is deducted from a call's budget once, not twice.
#[test]
fn a_call_that_waited_for_an_inquiry_keeps_its_callers_deadline() {
    use stagehoist_recovery::inquiry::{AttemptKnowledge, InquiryLimits};
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    w.arrivals();
    w.cut();
    w.front = Front::new(config(""), 2, w.now);
    let local: Rc<str> = "own".into();
    w.front.set_inquiry(vec![local.clone()], InquiryLimits::default());
    let redelivered_at = w.now;
    w.connect();
    let questions = w.front.take_questions();
    assert_eq!(questions.len(), 1);
    w.now += 50_000;
    w.front.on_inquiry_answer(questions[0].0, &local, Some(AttemptKnowledge::None), w.now);
    let call = w.arrivals().remove(0);
    let deadline = call.read_at + call.budget;
    assert!(
        deadline >= redelivered_at + 2_480_000,
        "its caller waits until {}, the call only until {deadline}",
        redelivered_at + 2_500_000
    );
}
