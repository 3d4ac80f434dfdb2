//! Tests of queues and workers that are added and removed with the owned shards, on an open channel and in the
//! decision module: deliveries from a removed queue are answered, or returned to the queue without being processed.

mod world;

use stagehoist_gateway::shards::{front_end_config, queue, OwnedShards, Places};
use stagehoist_sharding::{FunctionPlacement, Shard};
use world::*;

const LISTED: &str = "\
fleet-front-ends 8
shards 4 generation 1
shard-front-ends-list file front-ends.list
function f* class record memory 64MB
";

fn of(number: u32) -> Rc<Config> {
    Rc::new(front_end_config(Config::clone(&config(LISTED)), number))
}

fn owned(current: &[Shard], leaving: &[Shard], retained: &[Shard]) -> [OwnedShards; 1] {
    let [own_shards, leaving, late] = [current, leaving, retained].map(<[Shard]>::to_vec);
    [OwnedShards { generation: 1, current: own_shards, leaving, retained: late }]
}

/// Returns a non-idempotent function of this shard.
fn function(shard: Shard) -> String {
    let config = of(0);
    let mut places = Places::new(&config).unwrap();
    places.set_served(&owned(&[shard], &[], &[]), vec![]);
    (0..).map(|i| format!("f{i}")).find(|f| places.of(f) == FunctionPlacement::Owned).unwrap()
}

fn publish(w: &mut World, id: &str, shard: Shard) {
    let mut headers = FieldTable::default();
    headers.insert(short("function"), long(function(shard)));
    let properties = BasicProperties::default()
        .with_headers(headers)
        .with_correlation_id(short(id))
        .with_reply_to(short("replies"));
    let to = queue("calls", 1, shard);
    let publish =
        basic::Publish { exchange: short(""), routing_key: short(&to), mandatory: false, immediate: false };
    let channel = w.caller.channel;
    w.caller.client.publish(channel, publish, &properties, &Bytes::from_static(b"x"));
}

/// Passes the caller's bytes to the broker; the resulting delivery stays in the front's socket.
fn pass_caller_bytes(w: &mut World) {
    let output = w.caller.client.output().split();
    w.caller.client.record_written(output.len(), w.now);
    w.broker.receive(w.caller.number, &output, w.now);
}

fn consumers(w: &World) -> Vec<usize> {
    (0..4).map(|s| w.broker.consumers_of(&queue("calls", 1, s)).len()).collect()
}

/// Returns a connected front that owns no shards yet.
fn world() -> World {
    let mut w = World::new("");
    w.cut();
    w.front = Front::new(of(0), 2, w.now);
    w.front_at = Some(w.broker.connect(w.now));
    w.front.on_connected(&of(0).brokers[0], w.now);
    w.settle();
    w
}

#[test]
fn nothing_is_consumed_before_the_first_list_and_queues_are_added_and_removed_on_the_open_channel() {
    let mut w = world();
    assert!(!w.front.is_ready());
    assert_eq!((consumers(&w), w.broker.consumers_of("calls").len()), (vec![0, 0, 0, 0], 0));
    // It is not ready either with a list by which it owns no shards.
    w.front.serve_shards(&owned(&[], &[], &[]), w.now);
    w.settle();
    assert!(!w.front.is_ready());
    w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
    w.settle();
    assert!(w.front.is_ready());
    assert_eq!(consumers(&w), [1, 1, 0, 0]);
    // One shard is gained; another one is lost but still consumed, and then cancelled.
    w.front.serve_shards(&owned(&[1, 2], &[0], &[]), w.now);
    w.settle();
    assert_eq!(consumers(&w), [1, 1, 1, 0]);
    w.front.serve_shards(&owned(&[1, 2], &[], &[0]), w.now);
    w.settle();
    assert_eq!((consumers(&w), w.front.is_ready()), (vec![0, 1, 1, 0], true));
    // On a new connection the currently owned shards are consumed, and a regained shard is consumed again.
    w.cut();
    w.connect();
    assert_eq!(consumers(&w), [0, 1, 1, 0]);
    w.front.serve_shards(&owned(&[0, 1, 2], &[], &[]), w.now);
    w.settle();
    assert_eq!(consumers(&w), [1, 1, 1, 0]);
    assert_eq!(w.front.counters.channels_lost, 0);
    w.front.drain();
    w.settle();
    assert!(w.front.is_drained());
    assert_eq!(consumers(&w), [0, 0, 0, 0]);
}

/// The list is received while the channel is being opened.
#[test]
fn a_list_received_before_the_channel_is_open_is_consumed_once() {
    let mut w = world();
    w.cut();
    w.front_at = Some(w.broker.connect(w.now));
    w.front.on_connected(&of(0).brokers[0], w.now);
    for _ in 0..12 {
        w.front.serve_shards(&owned(&[0, 3], &[], &[]), w.now);
        w.front.serve_shards(&owned(&[3], &[], &[0]), w.now);
        w.push_front();
        let bytes = w.front_at.and_then(|n| w.broker.take_output(n));
        w.front.receive(&bytes.unwrap_or_default(), w.now, 0);
    }
    w.settle();
    assert_eq!(
        (consumers(&w), w.front.counters.channels_lost, w.front.is_ready()),
        (vec![0, 0, 0, 1], 0, true)
    );
    // No consumer was cancelled that had not been started: a drain waits for a single answer.
    w.front.drain();
    w.settle();
    assert!(w.front.is_drained());
}

/// The delivery is still in the socket when its queue is cancelled.
#[test]
fn a_delivery_from_a_cancelled_queue_is_answered_while_its_shard_is_retained() {
    let mut w = world();
    w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
    w.settle();
    publish(&mut w, "a", 0);
    pass_caller_bytes(&mut w);
    assert_eq!(w.broker.depth(&queue("calls", 1, 0)), Some(0), "not delivered");
    w.front.serve_shards(&owned(&[1], &[], &[0]), w.now);
    w.settle();
    let calls = w.arrivals();
    assert_eq!((calls.len(), w.front.counters.leaving_shard, consumers(&w)[0]), (1, 1, 0));
    // Its shard is released by the time that the call is answered.
    w.front.serve_shards(&owned(&[1], &[], &[]), w.now);
    w.serve(&calls[0]);
    w.settle();
    assert_eq!((w.outcomes(), w.front.unacknowledged()), (vec![("a", "served")], 0));
    assert_eq!((w.front.counters.requeued, w.front.counters.other_shard), (0, 0));
}

/// If its workers are no longer known here, the message is requeued without being processed, and the current owner of
/// the shard receives it.
#[test]
fn a_delivery_from_a_released_queue_is_requeued_without_processing() {
    for mode in ["", "replies transaction\n"] {
        let mut w = world();
        w.cut();
        w.front = Front::new(
            Rc::new(front_end_config(Config::clone(&config(&format!("{LISTED}{mode}"))), 0)),
            2,
            w.now,
        );
        w.front_at = Some(w.broker.connect(w.now));
        w.front.on_connected(&of(0).brokers[0], w.now);
        w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
        w.settle();
        publish(&mut w, "a", 0);
        pass_caller_bytes(&mut w);
        w.front.serve_shards(&owned(&[1], &[], &[0]), w.now);
        w.front.serve_shards(&owned(&[1], &[], &[]), w.now);
        w.settle();
        assert_eq!(
            (w.arrivals().len(), w.front.counters.requeued, w.front.unacknowledged()),
            (0, 1, 0),
            "{mode}"
        );
        assert_eq!((w.broker.depth(&queue("calls", 1, 0)), w.caller.answers.len()), (Some(1), 0), "{mode}");
        // It was not processed: when this front end owns the shard again, it is an ordinary redelivered call.
        w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
        w.settle();
        w.front.flush(w.now);
        w.settle();
        assert_eq!(w.outcomes(), [("a", "failed")], "{mode}");
        assert_eq!(w.caller.answers[0].2, "delivered-before");
    }
}

/// A drain during a change waits for each consumer that is being cancelled.
#[test]
fn a_drain_during_a_change_waits_for_each_cancelled_consumer() {
    let mut w = world();
    w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
    w.settle();
    // The consumer that is cancelled twice is answered last: its first answer is not the one to the drain.
    w.front.serve_shards(&owned(&[0], &[], &[1]), w.now);
    w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
    w.front.drain();
    w.push_front();
    // The broker's answers arrive byte by byte: each cancellation has to be answered.
    let number = w.front_at.unwrap();
    let answers = w.broker.take_output(number).unwrap();
    let mut drained_at = None;
    for at in 0..answers.len() {
        w.front.receive(&answers[at..=at], w.now, 0);
        if w.front.is_drained() && drained_at.is_none() {
            drained_at = Some(at);
        }
    }
    assert_eq!(drained_at, Some(answers.len() - 1));
}
