//! Workers of own shards out of a whole list, and out of the same list told one by one.

mod world;

use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, WorkerId};
use stagehoist_endpoints::Update;
use stagehoist_gateway::shards::{front_end_config, Shards};
use std::collections::BTreeMap;
use world::*;

const WORKERS: WorkerId = 700;

fn row(worker: WorkerId) -> Endpoint {
    // Some drain, so that those that are ready aren't all.
    let lifecycle = if worker.is_multiple_of(11) { Lifecycle::Draining } else { Lifecycle::Ready };
    let capacity = f64::from(1 + worker % 3);
    Endpoint { worker, kind: 0, lifecycle, zone: 0, started: 0, cell: 0, capacity }
}

/// What the module was last told of each worker of the subset.
fn told(shards: &mut Shards, updates: impl IntoIterator<Item = Update>) -> BTreeMap<WorkerId, Endpoint> {
    let names: Vec<String> = (0..=WORKERS).map(|w| format!("w{w}")).collect();
    let mut known = BTreeMap::new();
    for update in updates {
        let update = shards.apply(update, |w| Some(&*names[w as usize]), 0);
        known.extend(update.endpoints.into_iter().map(|row| (row.worker, row)));
    }
    known.retain(|_, row| row.lifecycle == Lifecycle::Ready);
    known
}

#[test]
fn a_whole_list_and_the_same_one_by_one_tell_the_same() {
    for more in ["", "next 7 stage both"] {
        let config = config(&format!("fleet-front-ends 8\nshards 6 generation 1 {more}\n"));
        for number in 0..8 {
            let config = front_end_config(Config::clone(&config), number);
            let new = || Shards::new(&config).unwrap();
            let whole = Update { kind: EndpointUpdate::Full, endpoints: (1..=WORKERS).map(row).collect() };
            let (mut at_once, mut by_one) = (new(), new());
            let each = (1..=WORKERS).map(|w| Update { kind: EndpointUpdate::Delta, endpoints: vec![row(w)] });
            let (one, other) = (told(&mut at_once, [whole]), told(&mut by_one, each));
            assert!(one.len() > 100 && one.len() < WORKERS as usize, "{}", one.len());
            assert_eq!(one, other, "front end {number}, {more}");
            assert_eq!(at_once.counts().0, by_one.counts().0);
        }
    }
}
