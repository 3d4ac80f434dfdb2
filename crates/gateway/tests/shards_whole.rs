//! Tests that a full list and the same list as single updates give the same workers of the owned shards.

mod world;

use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, WorkerId};
use stagehoist_endpoints::Update;
use stagehoist_gateway::shards::{front_end_config, Shards};
use std::collections::BTreeMap;
use world::*;

const WORKERS: WorkerId = 700;

fn row(worker: WorkerId) -> Endpoint {
    // Some workers drain, so not all of them are ready.
    let lifecycle = if worker.is_multiple_of(11) { Lifecycle::Draining } else { Lifecycle::Ready };
    let capacity = f64::from(1 + worker % 3);
    Endpoint { worker, kind: 0, lifecycle, zone: 0, started: 0, cell: 0, capacity }
}

/// Returns the last reported state of each ready worker of the subset.
fn ready_workers(
    shards: &mut Shards,
    updates: impl IntoIterator<Item = Update>,
) -> BTreeMap<WorkerId, Endpoint> {
    let names: Vec<String> = (0..=WORKERS).map(|w| format!("w{w}")).collect();
    let mut reported = BTreeMap::new();
    for update in updates {
        let update = shards.apply(update, |w| Some(&*names[w as usize]), 0);
        reported.extend(update.endpoints.into_iter().map(|row| (row.worker, row)));
    }
    reported.retain(|_, row| row.lifecycle == Lifecycle::Ready);
    reported
}

#[test]
fn a_full_list_and_single_updates_give_the_same_workers() {
    for more in ["", "next 7 stage both"] {
        let config = config(&format!("fleet-front-ends 8\nshards 6 generation 1 {more}\n"));
        for number in 0..8 {
            let config = front_end_config(Config::clone(&config), number);
            let new = || Shards::new(&config).unwrap();
            let full = Update { kind: EndpointUpdate::Full, endpoints: (1..=WORKERS).map(row).collect() };
            let (mut at_once, mut one_by_one) = (new(), new());
            let updates =
                (1..=WORKERS).map(|w| Update { kind: EndpointUpdate::Delta, endpoints: vec![row(w)] });
            let (from_full, from_updates) =
                (ready_workers(&mut at_once, [full]), ready_workers(&mut one_by_one, updates));
            assert!(from_full.len() > 100 && from_full.len() < WORKERS as usize, "{}", from_full.len());
            assert_eq!(from_full, from_updates, "front end {number}, {more}");
            assert_eq!(at_once.counts().0, one_by_one.counts().0);
        }
    }
}
