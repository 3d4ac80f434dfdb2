//! Tests of the AMQP front with the emulator broker, both without sockets: the test passes the bytes between them and
//! decides where a connection is cut.

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
        // 900 ms less the margin of 20 ms, and less 1 ms: the message may have arrived at any time of the 2 ms since
        // the queue was empty.
        assert_eq!((calls.len(), &*calls[0].function, calls[0].budget), (1, "free-times", 879_000));
        assert_eq!(w.broker.stats.acked, 0);
        w.serve(&calls[0]);
        w.push_front();
        if mode == "replies confirm\n" {
            assert_eq!(w.broker.stats.acked, 0, "acknowledged before the confirm was received");
        }
        w.settle();
        assert_eq!((w.broker.stats.acked, w.outcomes()), (1, vec![("a", "served")]));
        assert_eq!(w.front.unacknowledged(), 0);
    }
}

/// While a link reads a backlog, time passes between reading a message and the driver's turn. The call's budget must
/// count from when the message was read.
#[test]
fn a_calls_budget_counts_from_when_it_was_read_and_not_from_the_drivers_turn() {
    let mut w = World::new("replies confirm\n");
    w.publish("a", "free-times", |p| p.with_expiration(short("900")));
    let call = w.arrivals().remove(0);
    let (deadline, now) = (w.now + call.budget, w.now + 300_000);
    let mut core = Core::new(CoreSettings::from(&*config("")), 3, w.now);
    let worker = ListedWorker { capacity: 4.0, ..ListedWorker::new("w1", "w1:1") };
    let mut out = Vec::new();
    core.process(w.now, &mut vec![Input::EndpointList(vec![worker])], &mut out);
    core.process(now, &mut vec![Input::Call(call)], &mut out);
    // The worker never answers.
    while let Some(due) = core.due().filter(|due| *due <= deadline) {
        core.process(due.max(now), &mut Vec::new(), &mut out);
    }
    assert_eq!(core.unanswered(), 0, "not answered by its deadline {deadline}: {out:?}");
}

#[test]
fn a_call_in_progress_when_the_connection_breaks_is_joined_and_runs_once() {
    for mode in ["replies confirm\n", "replies transaction\n"] {
        let mut w = World::new(mode);
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty(), "the call runs a second time");
        w.serve(&calls[0]);
        w.settle();
        assert_eq!(w.outcomes(), [("a", "served")]);
        assert_eq!((w.front.counters.joined, w.broker.stats.acked), (1, 1));
    }
}

#[test]
fn an_answer_received_while_disconnected_is_sent_from_the_cache() {
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
fn a_doubtful_reply_is_withheld_or_resent_as_configured_and_a_transaction_leaves_no_doubt() {
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
fn a_reply_that_was_not_written_completely_is_sent_again() {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    // The reply is still in the output buffer when the socket is lost.
    w.cut();
    w.connect();
    assert_eq!((w.outcomes(), w.front.counters.from_memory), (vec![("a", "served")], 1));
}

#[test]
fn an_unknown_redelivered_message_fails_unless_it_is_idempotent() {
    let mut w = World::new("");
    w.publish("a", "recurring", |p| p);
    w.publish("b", "free-times", |p| p);
    w.arrivals();
    w.cut();
    // A new process without the earlier one's state.
    w.front = Front::new(config(""), 2, w.now);
    w.connect();
    let redelivered = w.arrivals();
    assert_eq!((redelivered.len(), &*redelivered[0].correlation, redelivered[0].is_repeat), (1, "b", true));
    w.serve(&redelivered[0]);
    w.settle();
    let mut outcomes = w.outcomes();
    outcomes.sort_unstable();
    assert_eq!(outcomes, [("a", "failed"), ("b", "served")]);
}

#[test]
fn an_invalid_message_is_refused_with_a_reason_or_dead_lettered() {
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
    let refusals: Vec<(&str, &str)> = w.caller.answers.iter().map(|a| (a.1.as_str(), a.2.as_str())).collect();
    let reasons = ["malformed-function", "unknown-tenant", "too-large", "too-late"];
    assert_eq!(refusals, reasons.map(|r| ("refused", r)));
    // Without a reply queue no refusal can be sent.
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
fn a_message_whose_reply_queue_is_gone_is_acknowledged() {
    let mut w = World::new("");
    w.publish("a", "free-times", |p| p.with_reply_to(short("nowhere")));
    let calls = w.arrivals();
    w.serve(&calls[0]);
    w.settle();
    assert_eq!((w.front.counters.unroutable, w.broker.stats.acked, w.front.unacknowledged()), (1, 1, 0));
}

#[test]
fn replies_held_back_by_flow_control_or_blocking_are_not_lost() {
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
    let new_calls = w.arrivals();
    assert_eq!(new_calls.len(), 1, "the queue was declared again and is consumed");
    w.front.drain();
    w.settle();
    assert!(!w.front.is_drained());
    w.serve(&calls[0]);
    w.serve(&new_calls[0]);
    w.settle();
    assert!(w.front.is_drained());
    w.publish("c", "free-times", |p| p);
    assert!(w.arrivals().is_empty());
    assert_eq!(w.broker.depth("calls"), Some(1));
}

#[test]
fn a_connection_without_confirms_is_closed_after_the_timeout() {
    let mut w = World::new("confirm-timeout 2s\n");
    w.publish("a", "free-times", |p| p);
    let calls = w.arrivals();
    w.serve(&calls[0]);
    let confirm_due = w.front.due().unwrap();
    assert!(confirm_due <= w.now + 2_000_000);
    w.front.tick(w.now + 2_000_000);
    w.front.flush(w.now);
    assert!(!w.front.client().unwrap().is_open());
}

#[test]
fn a_silent_broker_is_disconnected_after_two_heartbeats_and_a_quiet_one_is_not() {
    let mut w = World::new("heartbeat 10s\n");
    // Quiet: only heartbeats are exchanged, at half the interval.
    for _ in 0..10 {
        w.now = w.front.due().unwrap();
        w.front.tick(w.now);
        w.broker.tick(w.now);
        w.settle();
    }
    assert!(w.front.is_ready());
    // Silent: the broker sends nothing at all.
    let silent_since = w.now;
    while !w.front.is_over() {
        w.now = w.front.due().unwrap();
        w.front.tick(w.now);
        assert!(w.now - silent_since < 21_000_000, "connection closed too late");
    }
    assert!(w.now - silent_since > 15_000_000, "connection closed too early");
}
