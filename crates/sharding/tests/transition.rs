//! Tests the endpoint updates for a change of the subset, and that the decision module then sends no new calls to
//! workers that left.

use stagehoist::*;
use stagehoist_sharding::{ShardUpdate, Transition};
use std::rc::Rc;

const S: Micros = 1_000_000;
const DRAIN: Micros = 10 * S;

fn row(worker: WorkerId, lifecycle: Lifecycle) -> Endpoint {
    Endpoint { worker, lifecycle, capacity: 4.0, ..Endpoint::default() }
}

fn ready(workers: &[WorkerId]) -> Vec<Endpoint> {
    workers.iter().map(|w| row(*w, Lifecycle::Ready)).collect()
}

fn lifecycles(update: &ShardUpdate) -> Vec<(WorkerId, Lifecycle)> {
    update.endpoints.iter().map(|r| (r.worker, r.lifecycle)).collect()
}

use Lifecycle::{Draining, Gone, Ready};

#[test]
fn worker_that_left_drains_and_is_then_gone() {
    let mut t = Transition::new(DRAIN);
    let first = t.apply_list(EndpointUpdate::Full, &ready(&[1, 2, 3, 4]), |w| w <= 2, 0);
    assert_eq!((first.kind, lifecycles(&first)), (EndpointUpdate::Full, vec![(1, Ready), (2, Ready)]));
    let update = t.apply_move(&ready(&[3]), &[2], S);
    assert_eq!((update.kind, lifecycles(&update)), (EndpointUpdate::Delta, vec![(2, Draining), (3, Ready)]));
    assert_eq!((t.counts(), t.due()), ((2, 1), Some(S + DRAIN)));
    // A full snapshot in between reports the worker as draining still, and doesn't extend its drain time.
    let snapshot = t.apply_list(EndpointUpdate::Full, &ready(&[1, 2, 3, 4]), |w| w != 2 && w != 4, 5 * S);
    assert_eq!(lifecycles(&snapshot), [(1, Ready), (2, Draining), (3, Ready)]);
    assert_eq!(t.expire(S + DRAIN - 1), None);
    assert_eq!(lifecycles(&t.expire(S + DRAIN).unwrap()), [(2, Gone)]);
    assert_eq!((t.expire(S + DRAIN), t.counts(), t.due()), (None, (2, 0), None));
    // Once reported as gone, the worker isn't reported again.
    let snapshot = t.apply_list(EndpointUpdate::Full, &ready(&[1, 2, 3, 4]), |w| w != 2 && w != 4, 20 * S);
    assert_eq!(lifecycles(&snapshot), [(1, Ready), (3, Ready)]);
    assert_eq!(t.apply_move(&[], &[2, 77], 21 * S).endpoints, []);
}

#[test]
fn worker_that_returns_is_reported_with_its_lifecycle() {
    let mut t = Transition::new(DRAIN);
    t.apply_list(EndpointUpdate::Full, &ready(&[1, 2]), |_| true, 0);
    t.apply_move(&[], &[1], S);
    assert_eq!(lifecycles(&t.apply_move(&ready(&[1]), &[], 2 * S)), [(1, Ready)]);
    assert_eq!((t.counts(), t.due(), t.expire(100 * S)), ((2, 0), None, None));
    // A worker that drains by itself is reported as draining in the subset and outside.
    t.apply_move(&[], &[1], 3 * S);
    assert_eq!(lifecycles(&t.apply_move(&[row(1, Draining)], &[], 4 * S)), [(1, Draining)]);
    t.apply_move(&[], &[1], 5 * S);
    let update = t.apply_list(EndpointUpdate::Delta, &[row(1, Draining)], |_| false, 6 * S);
    assert_eq!((lifecycles(&update), t.due()), (vec![(1, Draining)], Some(5 * S + DRAIN)));
}

#[test]
fn worker_gone_from_the_list_is_gone_at_once() {
    let mut t = Transition::new(DRAIN);
    t.apply_list(EndpointUpdate::Full, &ready(&[1, 2, 3]), |_| true, 0);
    t.apply_move(&[], &[1, 2], S);
    let update = t.apply_list(EndpointUpdate::Delta, &[row(1, Gone), row(9, Gone)], |_| false, 2 * S);
    assert_eq!(lifecycles(&update), [(1, Gone)]);
    assert_eq!(lifecycles(&t.apply_list(EndpointUpdate::Full, &ready(&[3]), |_| true, 3 * S)), [(3, Ready)]);
    assert_eq!((t.counts(), t.due()), ((1, 0), None));
    // A failed fetch of the list changes nothing.
    let failed = t.apply_list(EndpointUpdate::Failed, &[], |_| true, 4 * S);
    assert_eq!((failed.kind, lifecycles(&failed), t.counts()), (EndpointUpdate::Failed, vec![], (1, 0)));
}

/// Runs the real module with 400 calls and changes the subset halfway: after the change no calls are sent to the
/// worker that left, its attempts in flight finish, and the other workers get calls. Without the update the
/// module continues to send to that worker.
#[test]
fn the_module_sends_nothing_to_a_worker_that_left() {
    let after = |leaves: bool| {
        let settings = wire::parse_settings("balancers=1\nclasses.count=1\nclasses.0.aim=800\n").unwrap();
        let mut now = 1_000 * S;
        let mut module = FrontEnd::new(settings, 7, now);
        let mut t = Transition::new(DRAIN);
        let first = t.apply_list(EndpointUpdate::Full, &ready(&[1, 2, 3]), |w| w <= 2, now);
        let endpoints_event = |update: ShardUpdate| Event::Endpoints {
            update: update.kind,
            endpoints: Rc::from(update.endpoints),
        };
        let mut events = vec![endpoints_event(first)];
        let mut sent = [0u32; 4];
        for id in 1..=400u32 {
            now += 20_000;
            if id == 200 && leaves {
                events.push(endpoints_event(t.apply_move(&ready(&[3]), &[1], now)));
            }
            events.push(Event::Request(Request {
                id,
                class: 0,
                tenant: 0,
                function: u64::from(id % 7),
                budget: 2 * S,
                work: Some(10_000),
                memory_mb: 1.0,
                concurrency: 1.0,
                load_time: 0,
                is_repeat: false,
                accepted_at: now,
                client_verified: true,
            }));
            let mut out = Vec::new();
            module.handle(now, &events, &mut out);
            events.clear();
            for action in out {
                if let Action::Send { request, worker, .. } = action {
                    sent[worker as usize] += u32::from(id >= 200);
                    events.push(Event::AttemptEnded(AttemptEnd {
                        request,
                        attempt: 0,
                        worker,
                        concluded: true,
                        outcome: Outcome::Ok,
                        copy: CopyReport::default(),
                        elapsed: 10_000,
                        report: None,
                        connected_at: Micros::MAX,
                    }));
                }
            }
        }
        sent
    };
    let (with, without) = (after(true), after(false));
    println!("sent after the change, by worker: {with:?}, with no change {without:?}");
    assert!(with[1] == 0 && with[2] > 0 && with[3] > 0, "{with:?}");
    assert!(without[1] > 0 && without[3] == 0, "{without:?}");
}
