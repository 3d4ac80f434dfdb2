//! Queues and workers that come and go with own shards, on a running channel and in the module: what was delivered over a queue
//! that goes is answered, or given back to it untaken.

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

fn owned(own: &[Shard], leaving: &[Shard], kept: &[Shard]) -> [OwnedShards; 1] {
    let [own, leaving, kept] = [own, leaving, kept].map(<[Shard]>::to_vec);
    [OwnedShards { generation: 1, current: own, leaving, retained: kept }]
}

/// A function of this shard, whose effect is unsafe.
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

/// The caller's bytes go to the broker; what it delivers for them lies in the front's socket.
fn carry_caller(w: &mut World) {
    let out = w.caller.client.output().split();
    w.caller.client.wrote(out.len(), w.now);
    w.broker.receive(w.caller.number, &out, w.now);
}

fn consumers(w: &World) -> Vec<usize> {
    (0..4).map(|s| w.broker.consumers_of(&queue("calls", 1, s)).len()).collect()
}

/// A front that stands and owns nothing yet.
fn world() -> World {
    let mut w = World::new("");
    w.cut();
    w.front = Front::new(of(0), 2, w.now);
    w.front_at = Some(w.broker.connect(w.now));
    w.front.connected(&of(0).brokers[0], w.now);
    w.settle();
    w
}

#[test]
fn nothing_is_consumed_before_the_first_list_and_queues_come_and_go_on_the_running_channel() {
    let mut w = world();
    assert!(!w.front.is_ready());
    assert_eq!((consumers(&w), w.broker.consumers_of("calls").len()), (vec![0, 0, 0, 0], 0));
    // Nor is it ready by a list that gives it nothing.
    w.front.serve_shards(&owned(&[], &[], &[]), w.now);
    w.settle();
    assert!(!w.front.is_ready());
    w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
    w.settle();
    assert!(w.front.is_ready());
    assert_eq!(consumers(&w), [1, 1, 0, 0]);
    // One comes, one is left but consumed still, and then is cancelled.
    w.front.serve_shards(&owned(&[1, 2], &[0], &[]), w.now);
    w.settle();
    assert_eq!(consumers(&w), [1, 1, 1, 0]);
    w.front.serve_shards(&owned(&[1, 2], &[], &[0]), w.now);
    w.settle();
    assert_eq!((consumers(&w), w.front.is_ready()), (vec![0, 1, 1, 0], true));
    // Over a new connection what is owned now; and what comes back is consumed again.
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

/// The list comes between the opening of the channel and the broker's word that it stands.
#[test]
fn a_list_that_comes_before_the_channel_stands_is_consumed_by_once() {
    let mut w = world();
    w.cut();
    w.front_at = Some(w.broker.connect(w.now));
    w.front.connected(&of(0).brokers[0], w.now);
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
    // Nobody was ordered to stop who had not begun: a drain has one answer to wait for.
    w.front.drain();
    w.settle();
    assert!(w.front.is_drained());
}

/// The delivery lies in the socket when its queue is cancelled.
#[test]
fn what_was_delivered_over_a_cancelled_queue_is_answered_while_it_is_kept() {
    let mut w = world();
    w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
    w.settle();
    publish(&mut w, "a", 0);
    carry_caller(&mut w);
    assert_eq!(w.broker.depth(&queue("calls", 1, 0)), Some(0), "not delivered");
    w.front.serve_shards(&owned(&[1], &[], &[0]), w.now);
    w.settle();
    let calls = w.arrivals();
    assert_eq!((calls.len(), w.front.counters.leaving_shard, consumers(&w)[0]), (1, 1, 0));
    // Its shard is gone altogether by the time that it is answered.
    w.front.serve_shards(&owned(&[1], &[], &[]), w.now);
    w.serve(&calls[0]);
    w.settle();
    assert_eq!((w.outcomes(), w.front.unacknowledged()), (vec![("a", "served")], 0));
    assert_eq!((w.front.counters.given_back, w.front.counters.other_shard), (0, 0));
}

/// The same when its workers are known here no more: it goes to the queue again, untaken, and whoever owns it now gets it.
#[test]
fn what_comes_over_a_queue_that_was_let_go_is_given_back_untaken() {
    for by in ["", "replies transaction\n"] {
        let mut w = world();
        w.cut();
        w.front = Front::new(
            Rc::new(front_end_config(Config::clone(&config(&format!("{LISTED}{by}"))), 0)),
            2,
            w.now,
        );
        w.front_at = Some(w.broker.connect(w.now));
        w.front.connected(&of(0).brokers[0], w.now);
        w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
        w.settle();
        publish(&mut w, "a", 0);
        carry_caller(&mut w);
        w.front.serve_shards(&owned(&[1], &[], &[0]), w.now);
        w.front.serve_shards(&owned(&[1], &[], &[]), w.now);
        w.settle();
        assert_eq!(
            (w.arrivals().len(), w.front.counters.given_back, w.front.unacknowledged()),
            (0, 1, 0),
            "{by}"
        );
        assert_eq!((w.broker.depth(&queue("calls", 1, 0)), w.caller.answers.len()), (Some(1), 0), "{by}");
        // It had not been taken: when this front end owns the shard again, it is an ordinary call that comes again.
        w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
        w.settle();
        w.front.flush(w.now);
        w.settle();
        assert_eq!(w.outcomes(), [("a", "failed")], "{by}");
        assert_eq!(w.caller.answers[0].2, "delivered-before");
    }
}

/// A drain in the moment of a change waits for each consumer that was ordered to stop.
#[test]
fn a_drain_beside_a_change_waits_for_all_that_is_on_its_way() {
    let mut w = world();
    w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
    w.settle();
    // The one that is ordered to stop twice is the last to be told: its first answer isn't that to the drain.
    w.front.serve_shards(&owned(&[0], &[], &[1]), w.now);
    w.front.serve_shards(&owned(&[0, 1], &[], &[]), w.now);
    w.front.drain();
    w.push_front();
    // The broker's answers come one by one: as often as a consumer was ordered to stop, it has to say so.
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
