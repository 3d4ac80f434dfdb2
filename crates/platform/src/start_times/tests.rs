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
fn a_reported_start_counts_from_its_event_whatever_a_wall_clock_that_stepped_says() {
    let now = 100 * HOUR;
    let mut starts = StartTimes::initial(&mut [listed(1, 0), listed(2, 0)], now);
    for dated in [now - HOUR, now - 7 * S, now + 7 * S, now + HOUR] {
        let mut event = [listed(1, dated)];
        starts.apply(&mut event, false, now + S);
        assert_eq!(event[0].endpoint.started, now + S);
    }
}

#[test]
fn the_same_start_reported_again_counts_as_it_did_also_in_a_whole_list() {
    let now = 100 * HOUR;
    let mut starts = StartTimes::default();
    starts.apply(&mut [listed(1, now)], false, now + S);
    let mut again = [listed(1, now), listed(2, now)];
    starts.apply(&mut again, true, now + 9 * S);
    assert_eq!(again.each_ref().map(|one| one.endpoint.started), [now + S, now + 9 * S]);
    // Another start of the same executor.
    let mut anew = [listed(1, now + 20 * S)];
    starts.apply(&mut anew, false, now + 21 * S);
    assert_eq!(anew[0].endpoint.started, now + 21 * S);
}

#[test]
fn starts_of_the_initial_list_are_as_dated_but_not_in_the_future_and_long_ago_stays_long_ago() {
    let now = 100 * HOUR;
    let mut list = [listed(1, now - 2 * S), listed(2, now + HOUR), listed(3, 0)];
    let mut starts = StartTimes::initial(&mut list, now);
    assert_eq!(list.each_ref().map(|one| one.endpoint.started), [now - 2 * S, now, 0]);
    let mut again = [listed(2, now + HOUR), listed(3, 0)];
    starts.apply(&mut again, false, now + S);
    assert_eq!(again.each_ref().map(|one| one.endpoint.started), [now, 0]);
}

#[test]
fn executors_that_are_gone_leave_nothing_behind() {
    let mut starts = StartTimes::default();
    for worker in 0..1000 {
        starts.apply(&mut [listed(worker, S)], false, 2 * S);
        let mut gone = [listed(worker, S)];
        gone[0].endpoint.lifecycle = Lifecycle::Gone;
        starts.apply(&mut gone, false, 3 * S);
    }
    assert!(starts.starts.is_empty());
}
