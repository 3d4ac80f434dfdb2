//! Tests of `start_times`.

use super::*;
use stagehoist::{Endpoint, Lifecycle};

const S: Micros = 1_000_000;
const HOUR: Micros = 3600 * S;

fn listed(worker: WorkerId, started: Micros) -> NumberedEndpoint {
    let endpoint = Endpoint { worker, started, lifecycle: Lifecycle::Ready, ..Endpoint::default() };
    NumberedEndpoint { name: format!("s-{worker:08x}"), address: String::new(), endpoint }
}

#[test]
fn a_reported_start_counts_from_its_event_even_if_a_wall_clock_stepped() {
    let now = 100 * HOUR;
    let mut starts = StartTimes::initial(&mut [listed(1, 0), listed(2, 0)], now);
    for dated in [now - HOUR, now - 7 * S, now + 7 * S, now + HOUR] {
        let mut event = [listed(1, dated)];
        starts.apply(&mut event, false, now + S);
        assert_eq!(event[0].endpoint.started, now + S);
    }
}

#[test]
fn a_repeated_start_keeps_its_time_also_in_a_full_list() {
    let now = 100 * HOUR;
    let mut starts = StartTimes::default();
    starts.apply(&mut [listed(1, now)], false, now + S);
    let mut repeated = [listed(1, now), listed(2, now)];
    starts.apply(&mut repeated, true, now + 9 * S);
    assert_eq!(repeated.each_ref().map(|listed| listed.endpoint.started), [now + S, now + 9 * S]);
    // Another start of the same executor.
    let mut restarted = [listed(1, now + 20 * S)];
    starts.apply(&mut restarted, false, now + 21 * S);
    assert_eq!(restarted[0].endpoint.started, now + 21 * S);
}

#[test]
fn initial_starts_count_as_dated_but_not_in_the_future() {
    let now = 100 * HOUR;
    let mut list = [listed(1, now - 2 * S), listed(2, now + HOUR), listed(3, 0)];
    let mut starts = StartTimes::initial(&mut list, now);
    assert_eq!(list.each_ref().map(|listed| listed.endpoint.started), [now - 2 * S, now, 0]);
    let mut repeated = [listed(2, now + HOUR), listed(3, 0)];
    starts.apply(&mut repeated, false, now + S);
    assert_eq!(repeated.each_ref().map(|listed| listed.endpoint.started), [now, 0]);
}

#[test]
fn the_starts_of_gone_executors_are_removed() {
    let mut starts = StartTimes::default();
    for worker in 0..1000 {
        starts.apply(&mut [listed(worker, S)], false, 2 * S);
        let mut gone = [listed(worker, S)];
        gone[0].endpoint.lifecycle = Lifecycle::Gone;
        starts.apply(&mut gone, false, 3 * S);
    }
    assert!(starts.starts.is_empty());
}
