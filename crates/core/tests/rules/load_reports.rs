//! Load reports by health checks: which workers are checked.

use crate::support::*;
use stagehoist::*;
use std::collections::BTreeSet;

const FUNCTIONS: u32 = 5;
const STEPS: u32 = 2000;
const REQUEST_INTERVAL_STEPS: u32 = 5;

/// Returns the workers that get requests and the workers that are health-checked, over ten seconds with forty requests
/// per second.
fn used_and_checked(workers: u32) -> (BTreeSet<WorkerId>, BTreeSet<WorkerId>) {
    let overrides = "limits.probes=true\nload_info.via=on_probe\nload_info.fields=rif\n";
    let ids: Vec<WorkerId> = (1..=workers).collect();
    let mut harness = Harness::new(overrides, &ids);
    let (mut used, mut checked) = (BTreeSet::new(), BTreeSet::new());
    let mut running: Vec<Event> = Vec::new();
    for step in 0..STEPS {
        let mut events = std::mem::take(&mut running);
        if step % REQUEST_INTERVAL_STEPS == 0 {
            let id = step / REQUEST_INTERVAL_STEPS + 1;
            events.push(request(id, 0, u64::from(id % FUNCTIONS)));
        }
        let actions = harness.step(5 * MS, events);
        for (id, worker) in sends(&actions) {
            used.insert(worker);
            running.push(ended(id, 0, worker, Outcome::Ok));
        }
        for action in &actions {
            let Action::HealthCheck { worker } = action else { continue };
            checked.insert(*worker);
            let report = Some([0.0; 4]);
            running.push(Event::HealthChecked { worker: *worker, outcome: Outcome::Ok, elapsed: MS, report });
        }
    }
    (used, checked)
}

/// Guards against checking all workers of a large fleet, which would open a connection for each check.
#[test]
fn of_a_thousand_workers_only_those_with_copies_are_checked_for_load_reports() {
    let (used, checked) = used_and_checked(1000);
    assert!(!checked.is_empty());
    assert!(
        checked.is_subset(&used),
        "workers checked without a copy: {}",
        checked.difference(&used).count()
    );
}

#[test]
fn of_a_hundred_workers_all_are_checked_for_load_reports_in_turn() {
    let (_, checked) = used_and_checked(100);
    assert_eq!(checked.len(), 100);
}
