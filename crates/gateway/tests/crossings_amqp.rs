//! Races between two events on a broker's connection: both arrive in one read, or one is delayed until after the
//! other. The test passes the bytes, as in `front.rs`; the table of cases is in `docs/design/crossings.md`.

mod world;

use stagehoist_amqp::codec::{put_heartbeat, put_method};
use stagehoist_amqp::{channel, connection};
use world::*;

/// The end of a channel or connection by the broker, whose close method follows other methods in the same read.
#[derive(Clone, Copy, Debug)]
enum End {
    Channel,
    Connection,
}

impl End {
    const BOTH: [End; 2] = [End::Channel, End::Connection];

    fn close_method(self) -> bytes::BytesMut {
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

/// Connects; the read that contains the first delivery also contains the close.
fn connect_and_end(w: &mut World, end: End) {
    let number = w.broker.connect(w.now);
    w.front_at = Some(number);
    w.front.on_connected(&config("").brokers[0], w.now);
    for _ in 0..20 {
        let before = w.broker.stats.delivered;
        w.push_front();
        let mut bytes = w.broker.take_output(number).unwrap();
        let delivered = w.broker.stats.delivered > before;
        if delivered {
            bytes.extend_from_slice(&end.close_method());
        }
        w.front.receive(&bytes, w.now, 0);
        if delivered {
            return;
        }
    }
    panic!("no message was delivered");
}

/// The reply could not be sent, so its state is not doubtful.
#[test]
fn a_cached_answer_in_a_race_with_the_close_is_sent_at_the_next_delivery() {
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
            assert!(w.arrivals().is_empty(), "the call runs a second time");
            assert_eq!(w.outcomes(), [("a", "served")], "{mode:?} {end:?}");
            assert_eq!((w.broker.depth("calls"), w.front.unacknowledged()), (Some(0), 0));
        }
    }
}

/// A reply that the broker rejected with `basic.nack` is not doubtful, even if the connection is lost before the next
/// attempt.
#[test]
fn a_nack_in_the_same_read_as_the_close_leaves_no_doubtful_reply() {
    for end in End::BOTH {
        let mut w = World::new("");
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.serve(&calls[0]);
        // The reply is sent completely, and the broker rejects it.
        let client = w.front.client().unwrap();
        let written = client.output().split().len();
        client.record_written(written, w.now);
        let mut bytes = bytes::BytesMut::new();
        let nack = basic::Nack { delivery_tag: 1, multiple: false, requeue: false };
        put_method(&mut bytes, 1, AMQPClass::Basic(basic::AMQPMethod::Nack(nack)));
        bytes.extend_from_slice(&end.close_method());
        w.front.receive(&bytes, w.now, 0);
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty(), "the call runs a second time");
        assert_eq!(w.outcomes(), [("a", "served")], "{end:?}");
    }
}

/// A confirm in the same read as the close is processed: the caller has its answer.
#[test]
fn a_confirm_in_the_same_read_as_the_close_is_processed() {
    for end in End::BOTH {
        let mut w = World::new("doubtful-reply resend\n");
        w.publish("a", "recurring", |p| p);
        let calls = w.arrivals();
        w.serve(&calls[0]);
        w.push_front();
        let number = w.front_at.unwrap();
        let mut bytes = w.broker.take_output(number).unwrap();
        bytes.extend_from_slice(&end.close_method());
        w.front.receive(&bytes, w.now, 0);
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty());
        assert_eq!((w.outcomes(), w.broker.depth("calls")), (vec![("a", "served")], Some(0)), "{end:?}");
    }
}

/// Replies held back by flow control were never sent, whatever is closed then.
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
            w.front.receive(&end.close_method(), w.now, 0);
            w.cut();
            w.broker.set_flow(true);
            w.connect();
            assert!(w.arrivals().is_empty(), "the calls run a second time");
            let mut outcomes = w.outcomes();
            outcomes.sort_unstable();
            assert_eq!(outcomes, [("a", "served"), ("b", "served")], "{end:?} {flow}");
        }
    }
}

/// The confirm timeout expires while the broker accepts no replies: the connection is abandoned, and no reply is
/// doubtful.
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
        // The timer runs several times before the broker reports that the connection is closed.
        for _ in 0..4 {
            w.now += 2_500_000;
            w.front.tick(w.now);
        }
        w.cut();
        w.connect();
        assert!(w.arrivals().is_empty(), "the calls run a second time");
        let mut outcomes = w.outcomes();
        outcomes.sort_unstable();
        assert_eq!(outcomes, ["a", "b", "c"].map(|id| (id, "served")), "{mode:?}");
    }
}

/// A process that was stopped for six heartbeats reads the pending bytes before it counts the silence, as its link
/// does: the connection stays open, and calls in progress are answered on it.
#[test]
fn bytes_received_while_this_process_was_stopped_are_read_before_silence_is_counted() {
    let mut w = World::new("heartbeat 10s\n");
    w.publish("a", "recurring", |p| p);
    let calls = w.arrivals();
    w.now += 60_000_000;
    let mut bytes = bytes::BytesMut::new();
    put_heartbeat(&mut bytes);
    w.front.receive(&bytes, w.now, 60_000_000);
    w.front.tick(w.now);
    assert!(w.front.client().unwrap().is_open());
    w.serve(&calls[0]);
    w.settle();
    assert_eq!((w.outcomes(), w.broker.stats.acked), (vec![("a", "served")], 1));
    // Without anything to read, the silence is counted at once.
    w.now += 60_000_000;
    w.front.tick(w.now);
    assert!(w.front.is_over());
}

/// A drain ends even if the broker can no longer answer the cancellation of a consumer.
#[test]
fn a_drain_does_not_wait_for_a_consumer_whose_queue_or_channel_is_gone() {
    for end in [None, Some(End::Channel)] {
        let mut w = World::new("");
        w.front.drain();
        assert!(!w.front.is_drained(), "deliveries may still arrive");
        match end {
            None => {
                let cancel = basic::Cancel { consumer_tag: short("stagehoist-0"), nowait: true };
                let mut bytes = bytes::BytesMut::new();
                put_method(&mut bytes, 1, AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel)));
                w.front.receive(&bytes, w.now, 0);
            }
            Some(end) => w.front.receive(&end.close_method(), w.now, 0),
        }
        assert!(w.front.is_drained(), "{end:?}");
    }
}
