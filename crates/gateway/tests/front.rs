//! The AMQP front against the emulator broker, both without sockets: bytes are carried by the test, which cuts them where it
//! likes.

mod world;

use stagehoist_endpoints::ListedWorker;
use stagehoist_gateway::state::{Core, CoreSettings, Input};
use world::*;

#[test]
fn a_message_is_acknowledged_only_after_its_reply_is_confirmed() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        let mut w = World::new(mode);
        w.publish("a", "free-times", |p| p.with_expiration(short("900")));
        let calls = w.arrivals();
        // 900 ms less the margin of 20 ms; it may have come at any moment of the 2 ms since the queue was empty.
        assert_eq!((calls.len(), &*calls[0].function, calls[0].budget), (1, "free-times", 879_000));
        assert_eq!(w.broker.stats.acked, 0);
        w.serve(&calls[0]);
        w.push_front();
        if mode == "replies confirm\n" {
            assert_eq!(w.broker.stats.acked, 0, "acknowledged before the confirm came");
        }
        w.settle();
        assert_eq!((w.broker.stats.acked, w.outcomes()), (1, vec![("a", "served")]));
        assert_eq!(w.front.unacknowledged(), 0);
    }
}

/// Between a link that reads a backlog and the driver's turn lies the time that both need; the caller's goes on meanwhile.
#[test]
fn a_calls_time_runs_from_when_it_was_read_and_not_from_the_drivers_turn() {
    let mut w = World::new("replies confirm\n");
    w.publish("a", "free-times", |p| p.with_expiration(short("900")));
    let call = w.arrivals().remove(0);
    let (by, now) = (w.now + call.budget, w.now + 300_000);
    let mut core = Core::new(CoreSettings::from(&*config("")), 3, w.now);
    let worker = ListedWorker { capacity: 4.0, ..ListedWorker::new("w1", "w1:1") };
    let mut out = Vec::new();
    core.process(w.now, &mut vec![Input::EndpointList(vec![worker])], &mut out);
    core.process(now, &mut vec![Input::Call(call)], &mut out);
    // The worker never answers.
    while let Some(due) = core.due().filter(|due| *due <= by) {
        core.process(due.max(now), &mut Vec::new(), &mut out);
    }
    assert_eq!(core.unanswered(), 0, "its time ended at {by}: {out:?}");
}

#[test]
fn a_message_at_work_when_the_connection_breaks_is_joined_and_runs_once() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        let mut w = World::new(mode);
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty(), "it would run a second time");
        w.serve(&calls[0]);
        w.settle();
        assert_eq!(w.outcomes(), [("a", "served")]);
        assert_eq!((w.front.counters.joined, w.broker.stats.acked), (1, 1));
    }
}

#[test]
fn an_answer_that_came_while_apart_is_given_from_memory() {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    let calls = w.arrivals();
    w.cut();
    w.serve(&calls[0]);
    w.connect();
    assert!(w.arrivals().is_empty());
    assert_eq!((w.outcomes(), w.front.counters.from_memory), (vec![("a", "served")], 1));
}

#[test]
fn a_reply_in_doubt_is_withheld_or_resent_as_told_and_a_transaction_leaves_no_doubt() {
    for (mode, cut, answers) in [
        ("replies confirm\n", Disconnect::BeforeConfirm, 1),
        ("replies confirm\n", Disconnect::BeforeRouting, 0),
        ("replies confirm\ndoubtful-reply resend\n", Disconnect::BeforeConfirm, 2),
        ("replies transaction\n", Disconnect::BeforeConfirm, 1),
        ("replies transaction\n", Disconnect::BeforeRouting, 1),
    ] {
        let mut w = World::new(mode);
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.broker.arm_disconnect(w.front_at.unwrap(), cut);
        w.serve(&calls[0]);
        w.settle();
        assert!(w.front_at.is_none(), "cut");
        w.connect();
        assert!(w.arrivals().is_empty());
        assert_eq!(w.outcomes().len(), answers, "{mode:?} {cut:?}");
        assert_eq!(w.broker.depth("calls"), Some(0));
        assert_eq!(w.front.unacknowledged(), 0);
    }
}

#[test]
fn a_reply_whose_last_byte_never_left_is_sent_again() {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    // The reply lies in the output buffer when the socket breaks.
    w.cut();
    w.connect();
    assert_eq!((w.outcomes(), w.front.counters.from_memory), (vec![("a", "served")], 1));
}

#[test]
fn a_redelivered_message_of_which_nothing_is_known_fails_unless_it_is_safe() {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    w.publish("b", "free-times", |p| p);
    w.arrivals();
    w.cut();
    // Another process, which remembers nothing.
    w.front = Front::new(config(""), 2, w.now);
    w.connect();
    let again = w.arrivals();
    assert_eq!((again.len(), &*again[0].correlation, again[0].is_repeat), (1, "b", true));
    w.serve(&again[0]);
    w.settle();
    let mut outcomes = w.outcomes();
    outcomes.sort_unstable();
    assert_eq!(outcomes, [("a", "failed"), ("b", "served")]);
}

#[test]
fn what_is_no_call_gets_a_clear_answer_or_goes_to_the_dead_letters() {
    let mut w = World::new("");
    w.publish("function", "free-times", |p| {
        let mut headers = FieldTable::default();
        let inner = FieldTable::default();
        headers.insert(short("function"), stagehoist_amqp::AMQPValue::FieldTable(inner));
        p.with_headers(headers)
    });
    w.publish("tenant", "free-times", |p| {
        let mut headers = FieldTable::default();
        headers.insert(short("tenant"), long("south"));
        p.with_headers(headers)
    });
    w.publish_body("large", "free-times", &[0; 2000], |p| p);
    w.publish("late", "free-times", |p| p.with_expiration(short("10")));
    assert!(w.arrivals().is_empty());
    let told: Vec<(&str, &str)> = w.caller.answers.iter().map(|a| (a.1.as_str(), a.2.as_str())).collect();
    let reasons = ["malformed-function", "unknown-tenant", "too-large", "too-late"];
    assert_eq!(told, reasons.map(|r| ("refused", r)));
    // Without a reply queue nobody can be told.
    let publish = basic::Publish {
        exchange: short(""),
        routing_key: short("calls"),
        mandatory: false,
        immediate: false,
    };
    let channel = w.caller.channel;
    w.caller.client.publish(channel, publish, &BasicProperties::default(), &Bytes::from_static(b"x"));
    w.settle();
    assert_eq!(
        (w.front.counters.rejected, w.broker.depth("calls"), w.front.unacknowledged()),
        (1, Some(0), 0)
    );
}

#[test]
fn a_reply_queue_that_is_gone_settles_the_message_all_the_same() {
    let mut w = World::new("");
    w.publish("a", "free-times", |p| p.with_reply_to(short("nowhere")));
    let calls = w.arrivals();
    w.serve(&calls[0]);
    w.settle();
    assert_eq!((w.front.counters.unroutable, w.broker.stats.acked, w.front.unacknowledged()), (1, 1, 0));
}

#[test]
fn flow_and_blocking_hold_replies_back_and_nothing_is_lost() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        held_back(mode);
    }
}

fn held_back(mode: &str) {
    let mut w = World::new(mode);
    w.publish("a", "free-times", |p| p);
    w.publish("b", "free-times", |p| p);
    let calls = w.arrivals();
    w.broker.set_flow(false);
    w.settle();
    w.serve(&calls[0]);
    w.settle();
    assert!(w.outcomes().is_empty());
    assert_eq!(w.broker.stats.acked, 0, "acknowledged without a reply");
    w.broker.set_blocked(true);
    w.settle();
    w.broker.set_flow(true);
    w.settle();
    w.serve(&calls[1]);
    w.settle();
    assert!(w.outcomes().is_empty());
    w.broker.set_blocked(false);
    w.settle();
    assert_eq!((w.outcomes(), w.broker.stats.acked), (vec![("a", "served"), ("b", "served")], 2));
}

#[test]
fn a_deleted_queue_is_consumed_again_and_draining_answers_what_is_held() {
    let mut w = World::new("");
    w.publish("a", "free-times", |p| p);
    let calls = w.arrivals();
    let delete = queue::Delete { queue: short("calls"), if_unused: false, if_empty: false, nowait: false };
    let channel = w.caller.channel;
    w.caller.client.send(channel, AMQPClass::Queue(queue::AMQPMethod::Delete(delete)));
    w.settle();
    w.now = w.front.due().unwrap().max(w.now) + 10_000_000;
    w.front.tick(w.now);
    w.settle();
    w.publish("b", "free-times", |p| p);
    let more = w.arrivals();
    assert_eq!(more.len(), 1, "the queue stands again and is consumed");
    w.front.drain();
    w.settle();
    assert!(!w.front.is_drained());
    w.serve(&calls[0]);
    w.serve(&more[0]);
    w.settle();
    assert!(w.front.is_drained());
    w.publish("c", "free-times", |p| p);
    assert!(w.arrivals().is_empty());
    assert_eq!(w.broker.depth("calls"), Some(1));
}

#[test]
fn a_broker_that_confirms_nothing_is_given_up_in_time() {
    let mut w = World::new("confirm-timeout 2s\n");
    w.publish("a", "free-times", |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    let at = w.front.due().unwrap();
    assert!(at <= w.now + 2_000_000);
    w.front.tick(w.now + 2_000_000);
    w.front.flush(w.now);
    assert!(!w.front.client().unwrap().is_open());
}

#[test]
fn a_silent_broker_is_given_up_after_two_heartbeats_and_a_quiet_one_is_kept() {
    let mut w = World::new("heartbeat 10s\n");
    // Quiet: heartbeats are sent at half the interval and the broker's own come back.
    for _ in 0..10 {
        w.now = w.front.due().unwrap();
        w.front.tick(w.now);
        w.broker.tick(w.now);
        w.settle();
    }
    assert!(w.front.is_ready());
    // Silent: nothing comes, whatever is sent.
    let from = w.now;
    while !w.front.is_over() {
        w.now = w.front.due().unwrap();
        w.front.tick(w.now);
        assert!(w.now - from < 21_000_000, "given up too late");
    }
    assert!(w.now - from > 15_000_000, "given up too early");
}
