//! Rule 2 while another process may answer at a worker's address: keyed requests that may have run are sent again only
//! where their repeats are dropped.

use crate::support::*;
use stagehoist::*;

const CELL: &str = "cell";
const ZONE: &str = "zone";
/// Workers 1 and 4 share a cell, and 1 and 3 a zone: see [`endpoint`].
const SAME_CELL: [WorkerId; 2] = [1, 4];
const SAME_ZONE: [WorkerId; 2] = [1, 3];
/// A request that finds no worker fails within this number of steps.
const STEPS: usize = 300;
const STEP: Micros = 10 * MS;

fn keyed(scope: &str) -> String {
    format!(
        "limits.probes=true\nlimits.second_copies=false\nclasses.0.effect=deduplicated\nclasses.0.dedup_scope={scope}\n\
         classes.0.key_ttl=10000\n"
    )
}

/// Reports that the list contains every change up to now, and is valid for longer.
fn complete_list(harness: &Harness) -> Event {
    Event::EndpointListValid { until: harness.now + 1600 * MS, complete_at: harness.now }
}

fn connected(worker: WorkerId, open_since: Micros) -> Event {
    Event::WorkerConnection { worker, open_since: Some(open_since) }
}

/// Creates a harness with known connections to these workers.
fn with_known(scope: &str, workers: &[WorkerId]) -> Harness {
    let mut harness = Harness::new(&keyed(scope), workers);
    let mut events: Vec<Event> = workers.iter().map(|&worker| connected(worker, harness.now)).collect();
    events.push(complete_list(&harness));
    harness.step(0, events);
    harness
}

/// Returns the end of a first attempt, whose connection was established at this time.
fn ended_on(connected_at: Micros, worker: WorkerId, outcome: Outcome) -> Event {
    let Event::AttemptEnded(end) = ended(1, 0, worker, outcome) else { unreachable!() };
    Event::AttemptEnded(AttemptEnd { connected_at, ..end })
}

/// Moves a worker to a connection that was established just now.
fn reconnect(harness: &mut Harness, worker: WorkerId) {
    harness.step(STEP, vec![Event::WorkerConnection { worker, open_since: None }]);
    let now = harness.now + STEP;
    harness.step(STEP, vec![connected(worker, now)]);
}

/// Returns the workers that a request was sent to within the given steps, each with the latest establishment of the
/// connection.
fn sends_within(harness: &mut Harness, steps: usize) -> Vec<(WorkerId, Micros)> {
    (0..steps).flat_map(|_| targets(&harness.step(STEP, vec![]))).collect()
}

fn targets(actions: &[Action]) -> Vec<(WorkerId, Micros)> {
    let target = |action: &Action| match action {
        Action::Send { worker, connected_by, .. } => Some((*worker, *connected_by)),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

/// Guards against a repeat to a process of another cell that answers at the address of a worker that has gone.
#[test]
fn rule_2_a_keyed_repeat_waits_until_the_list_confirms_the_process_at_a_new_connection() {
    for (scope, workers) in [(CELL, SAME_CELL), (ZONE, SAME_ZONE)] {
        let mut harness = with_known(scope, &workers);
        let connected_at = harness.now;
        let first = sends(&harness.step(STEP, vec![request(1, 0, 9)]))[0].1;
        let other = workers[0] + workers[1] - first;
        reconnect(&mut harness, other);
        let mut sent = targets(&harness.step(STEP, vec![ended_on(connected_at, first, Outcome::Error)]));
        sent.extend(sends_within(&mut harness, 20));
        assert_eq!(sent, [], "{scope}");
        let report = complete_list(&harness);
        let complete_at = harness.now;
        assert_eq!(targets(&harness.step(0, vec![report])), [(other, complete_at)], "{scope}");
    }
}

#[test]
fn rule_2_a_keyed_repeat_fails_if_the_list_never_confirms_the_process() {
    let mut harness = with_known(CELL, &SAME_CELL);
    let connected_at = harness.now;
    let first = sends(&harness.step(STEP, vec![request(1, 0, 9)]))[0].1;
    reconnect(&mut harness, 5 - first);
    let mut actions = harness.step(STEP, vec![ended_on(connected_at, first, Outcome::Error)]);
    (0..STEPS).for_each(|_| actions.extend(harness.step(STEP, vec![])));
    assert_eq!(sends(&actions), []);
    assert!(has_failed(&actions, 1));
}

/// What is known of a process when its attempt ends stays known, so that its restart does not cost the repeat.
#[test]
fn rule_2_a_keyed_request_is_sent_again_after_its_worker_ended_or_restarted() {
    for lifecycle in [Lifecycle::Gone, Lifecycle::Ready] {
        let mut harness = with_known(CELL, &SAME_CELL);
        let complete_at = harness.now;
        let first = sends(&harness.step(STEP, vec![request(1, 0, 9)]))[0].1;
        let started = harness.now;
        let changed = endpoint_list(EndpointUpdate::Delta, vec![endpoint(first, lifecycle, started)]);
        let reset = ended_on(complete_at, first, Outcome::Reset);
        let sent = targets(&harness.step(STEP, vec![reset, changed]));
        assert_eq!(sent, [(5 - first, complete_at)], "{lifecycle:?}");
    }
}

/// The first attempt itself may have reached a process of another cell.
#[test]
fn rule_2_a_keyed_request_that_ran_at_an_unknown_process_is_sent_again_once_the_list_confirms_it() {
    for is_gone in [false, true] {
        let mut harness = with_known(CELL, &[1]);
        reconnect(&mut harness, 1);
        let connected_at = harness.now;
        assert_eq!(targets(&harness.step(STEP, vec![request(1, 0, 9)])), [(1, Micros::MAX)]);
        let joined = endpoint_list(EndpointUpdate::Delta, vec![endpoint(4, Lifecycle::Ready, 0)]);
        let open_since = harness.now;
        harness.step(0, vec![joined, connected(4, open_since)]);
        let mut sent = targets(&harness.step(STEP, vec![ended_on(connected_at, 1, Outcome::Reset)]));
        sent.extend(sends_within(&mut harness, 5));
        assert_eq!(sent, []);
        let mut events = vec![complete_list(&harness)];
        if is_gone {
            events.insert(0, endpoint_list(EndpointUpdate::Delta, vec![endpoint(1, Lifecycle::Gone, 0)]));
        }
        let mut sent = targets(&harness.step(0, events));
        sent.extend(sends_within(&mut harness, STEPS));
        let workers: Vec<WorkerId> = sent.iter().map(|send| send.0).collect();
        assert_eq!(workers, if is_gone { vec![] } else { vec![4] }, "gone: {is_gone}");
    }
}

#[test]
fn a_connection_is_opened_for_a_keyed_repeat_that_finds_none() {
    let mut harness = with_known(CELL, &[1]);
    let connected_at = harness.now;
    assert_eq!(sends(&harness.step(STEP, vec![request(1, 0, 9)])), [(1, 1)]);
    harness.step(0, vec![endpoint_list(EndpointUpdate::Delta, vec![endpoint(4, Lifecycle::Ready, 0)])]);
    let out = harness.step(STEP, vec![ended_on(connected_at, 1, Outcome::Error)]);
    assert!(out.contains(&Action::HealthCheck { worker: 4 }), "{out:?}");
    let checked = Event::HealthChecked { worker: 4, outcome: Outcome::Ok, elapsed: STEP, report: None };
    let open_since = harness.now;
    assert_eq!(sends(&harness.step(STEP, vec![connected(4, open_since), checked])), []);
    let report = complete_list(&harness);
    assert_eq!(sends(&harness.step(STEP, vec![report])), [(1, 4)]);
}

#[test]
fn keyed_repeats_that_all_workers_drop_need_no_known_process() {
    let mut harness = with_known("all", &SAME_CELL);
    let first = sends(&harness.step(STEP, vec![request(1, 0, 9)]))[0].1;
    reconnect(&mut harness, 5 - first);
    let sent = targets(&harness.step(STEP, vec![ended(1, 0, first, Outcome::Error)]));
    assert_eq!(sent, [(5 - first, Micros::MAX)]);
}
