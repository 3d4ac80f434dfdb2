//! Before the first endpoint list nothing is consumed, for a told time at most: the front without sockets, each
//! crossing forced.

mod common;
mod world;

use common::Stage;
use stagehoist_gateway::state::Input;
use world::*;

const BY: i64 = 9_000_000;

/// A front that awaits its list until [`BY`], beside a queue that is declared, with a connection.
fn awaiting() -> World {
    let mut w = World::new("");
    w.cut();
    w.front = Front::new(config(""), 2, w.now);
    w.front.await_endpoints(BY);
    connect(&mut w);
    assert!(w.now < BY && !w.front.is_ready() && w.front.awaits_endpoints());
    w
}

/// As [`World::connect`], which wants the front to consume.
fn connect(w: &mut World) {
    w.front_at = Some(w.broker.connect(w.now));
    w.front.on_connected(&config("").brokers[0], w.now);
    w.settle();
}

fn consumers(w: &World) -> usize {
    w.broker.consumers_of("calls").len()
}

#[test]
fn a_call_waits_in_its_queue_until_the_first_list_came() {
    let mut w = awaiting();
    w.publish("a", "free-times", |p| p);
    assert_eq!((w.arrivals().len(), consumers(&w), w.broker.depth("calls")), (0, 0, Some(1)));
    w.front.on_endpoints_ready(w.now);
    w.settle();
    assert!(w.front.is_ready() && !w.front.awaits_endpoints());
    let calls = w.arrivals();
    assert_eq!((calls.len(), consumers(&w)), (1, 1));
    w.serve(&calls[0]);
    w.settle();
    assert_eq!((w.outcomes(), w.front.unacknowledged()), (vec![("a", "served")], 0));
}

/// The wait ends by itself, at the told time and not before, and says when.
#[test]
fn a_list_that_never_comes_holds_calls_up_no_longer_than_told() {
    let mut w = awaiting();
    w.publish("a", "free-times", |p| p);
    // Heartbeats are due before it.
    assert!(w.front.due().is_some_and(|due| due <= BY));
    w.now = BY - 1;
    w.front.tick(BY - 1);
    w.push_front();
    assert_eq!((consumers(&w), w.front.awaits_endpoints()), (0, true));
    w.front.tick(BY);
    w.settle();
    assert!(w.front.is_ready() && !w.front.awaits_endpoints());
    assert_eq!(w.arrivals().len(), 1);
    // One that comes after all changes nothing: no second consumer.
    w.front.on_endpoints_ready(w.now);
    w.settle();
    assert_eq!(consumers(&w), 1);
}

/// Nothing was consumed: there is nothing to cancel and nothing to wait for.
#[test]
fn a_drain_while_the_list_is_awaited_ends_at_once_and_a_list_after_it_changes_nothing() {
    let mut w = awaiting();
    w.publish("a", "free-times", |p| p);
    w.front.drain();
    w.front.on_endpoints_ready(w.now);
    w.front.tick(BY);
    w.settle();
    assert_eq!((w.front.is_drained(), consumers(&w), w.arrivals().len()), (true, 0, 0));
    w.front.close(w.now);
    w.settle();
    assert!(w.front.is_over());
    assert_eq!(w.broker.depth("calls"), Some(1), "the call is another's");
}

/// The drain comes when nothing is there to consume with; the connection that stands after it consumes nothing.
#[test]
fn a_drain_between_two_connections_of_a_front_that_awaits_its_list() {
    let mut w = awaiting();
    w.cut();
    w.front.drain();
    connect(&mut w);
    w.front.on_endpoints_ready(w.now);
    w.settle();
    assert_eq!((w.front.is_drained(), consumers(&w)), (true, 0));
}

#[test]
fn a_broker_that_reconnects_meanwhile_finds_the_wait_as_it_was() {
    // Still awaited; came meanwhile; its time ended meanwhile.
    for (listed, at, ready) in [(false, 0, false), (true, 0, true), (false, BY, true)] {
        let mut w = awaiting();
        w.cut();
        if listed {
            w.front.on_endpoints_ready(w.now);
        }
        w.now = w.now.max(at);
        connect(&mut w);
        let seen = (w.front.is_ready(), w.front.awaits_endpoints(), consumers(&w));
        assert_eq!(seen, (ready, !ready, usize::from(ready)), "{listed} {at}");
        w.front.on_endpoints_ready(w.now);
        w.settle();
        assert_eq!((w.front.is_ready(), consumers(&w)), (true, 1), "{listed} {at}");
    }
}

/// Once it came it is known for good: a later connection consumes as soon as it stands.
#[test]
fn the_first_list_is_awaited_once() {
    let mut w = awaiting();
    w.front.on_endpoints_ready(w.now);
    w.settle();
    w.cut();
    connect(&mut w);
    assert!(w.front.is_ready());
}

#[test]
fn a_whole_list_counts_though_it_is_empty_and_a_failure_does_not() {
    let mut stage = Stage::alone();
    let before = stage.core.counters.endpoint_lists;
    stage.turn(0, vec![Input::EndpointListFailed]);
    assert_eq!(stage.core.counters.endpoint_lists, before);
    stage.turn(0, vec![Input::EndpointList(Vec::new())]);
    assert_eq!((stage.core.counters.endpoint_lists, stage.core.ready_workers()), (before + 1, 0));
}
