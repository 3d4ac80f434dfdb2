//! The front consumes nothing before the first endpoint list, for at most the configured time. The tests use the front
//! without sockets and force each order of events.

mod common;
mod world;

use common::Stage;
use stagehoist_gateway::state::Input;
use world::*;

const WAIT_UNTIL: i64 = 9_000_000;

/// Creates a connected front that awaits its list until [`WAIT_UNTIL`], with a declared queue.
fn awaiting_list() -> World {
    let mut w = World::new("");
    w.cut();
    w.front = Front::new(config(""), 2, w.now);
    w.front.await_endpoints(WAIT_UNTIL);
    connect(&mut w);
    assert!(w.now < WAIT_UNTIL && !w.front.is_ready() && w.front.awaits_endpoints());
    w
}

/// Connects like [`World::connect`], but does not require that the front consumes.
fn connect(w: &mut World) {
    w.front_at = Some(w.broker.connect(w.now));
    w.front.on_connected(&config("").brokers[0], w.now);
    w.settle();
}

fn consumers(w: &World) -> usize {
    w.broker.consumers_of("calls").len()
}

#[test]
fn a_call_waits_in_its_queue_until_the_first_list_is_received() {
    let mut w = awaiting_list();
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

/// The wait ends by itself at the configured time and not before, and `due` reports that time.
#[test]
fn a_missing_list_delays_calls_no_longer_than_configured() {
    let mut w = awaiting_list();
    w.publish("a", "free-times", |p| p);
    // Heartbeats are due before the wait ends.
    assert!(w.front.due().is_some_and(|due| due <= WAIT_UNTIL));
    w.now = WAIT_UNTIL - 1;
    w.front.tick(WAIT_UNTIL - 1);
    w.push_front();
    assert_eq!((consumers(&w), w.front.awaits_endpoints()), (0, true));
    w.front.tick(WAIT_UNTIL);
    w.settle();
    assert!(w.front.is_ready() && !w.front.awaits_endpoints());
    assert_eq!(w.arrivals().len(), 1);
    // A list received later changes nothing: no second consumer.
    w.front.on_endpoints_ready(w.now);
    w.settle();
    assert_eq!(consumers(&w), 1);
}

/// Nothing was consumed, so there is nothing to cancel and nothing to wait for.
#[test]
fn a_drain_while_awaiting_the_list_ends_at_once_and_a_later_list_changes_nothing() {
    let mut w = awaiting_list();
    w.publish("a", "free-times", |p| p);
    w.front.drain();
    w.front.on_endpoints_ready(w.now);
    w.front.tick(WAIT_UNTIL);
    w.settle();
    assert_eq!((w.front.is_drained(), consumers(&w), w.arrivals().len()), (true, 0, 0));
    w.front.close(w.now);
    w.settle();
    assert!(w.front.is_over());
    assert_eq!(w.broker.depth("calls"), Some(1), "the call stays for another front end");
}

/// The drain is ordered while the front is disconnected; the next connection consumes nothing.
#[test]
fn a_drain_between_two_connections_while_awaiting_the_list() {
    let mut w = awaiting_list();
    w.cut();
    w.front.drain();
    connect(&mut w);
    w.front.on_endpoints_ready(w.now);
    w.settle();
    assert_eq!((w.front.is_drained(), consumers(&w)), (true, 0));
}

#[test]
fn a_reconnection_while_awaiting_the_list_does_not_change_the_wait() {
    // While disconnected: nothing happened; the list was received; the wait ended.
    for (listed, at, ready) in [(false, 0, false), (true, 0, true), (false, WAIT_UNTIL, true)] {
        let mut w = awaiting_list();
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

/// After the first list, a later connection consumes as soon as it is established.
#[test]
fn the_first_list_is_awaited_once() {
    let mut w = awaiting_list();
    w.front.on_endpoints_ready(w.now);
    w.settle();
    w.cut();
    connect(&mut w);
    assert!(w.front.is_ready());
}

#[test]
fn an_empty_list_counts_as_a_list_and_a_failure_does_not() {
    let mut stage = Stage::alone();
    let before = stage.core.counters.endpoint_lists;
    stage.turn(0, vec![Input::EndpointListFailed]);
    assert_eq!(stage.core.counters.endpoint_lists, before);
    stage.turn(0, vec![Input::EndpointList(Vec::new())]);
    assert_eq!((stage.core.counters.endpoint_lists, stage.core.ready_workers()), (before + 1, 0));
}
