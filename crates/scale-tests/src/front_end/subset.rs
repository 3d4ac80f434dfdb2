//! The workers of a front end's own shards, out of the whole list: by the product's own code.

use super::division::Divided;
use super::scene::{Scene, SECOND};
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use stagehoist_endpoints::Update;
use stagehoist_gateway::shards;
use stagehoist_sharding::{Assignment, Divisions, Key, Member, Shard};

/// As long as a call of a scene or a load lasts at most.
const LONGEST: Micros = 10 * SECOND;

pub struct Subset(shards::Shards);

/// Name of a worker.
pub fn worker_name(worker: WorkerId) -> String {
    format!("s-{worker:08x}")
}

impl Subset {
    pub fn new(divided: &Divided, scene: &Scene, number: u32) -> Subset {
        let divisions = Divisions::only(divided.division.clone());
        Subset(shards::Shards::owning(&divisions, vec![divided.own(scene, number)], LONGEST))
    }

    /// Rows for the module in place of those that the list tells; what drained long enough goes with them,
    /// not by itself.
    pub fn told(&mut self, form: EndpointUpdate, rows: &[Endpoint], now: Micros) -> Vec<Endpoint> {
        // A whole list leaves out what is gone.
        let drained = self.0.expired(now).filter(|_| form != EndpointUpdate::Full);
        let mut told = drained.map_or(Vec::new(), |update| update.endpoints);
        let update = Update { kind: form, endpoints: rows.to_vec() };
        told.extend(self.0.apply(update, |worker| Some(worker_name(worker)), now).endpoints);
        told
    }
}

/// Who would be of a subset in the place of another.
pub struct Candidates {
    own: Vec<Shard>,
    assignment: Assignment,
}

fn member(row: &Endpoint) -> Member {
    Member::new(&worker_name(row.worker), u16::from(row.zone), row.capacity)
}

impl Candidates {
    pub fn new(divided: &Divided, scene: &Scene, number: u32, rows: &[Endpoint]) -> Candidates {
        let ready = rows.iter().filter(|r| r.lifecycle == Lifecycle::Ready);
        let assignment = Assignment::of(&divided.division, ready.map(member)).0;
        Candidates { own: divided.own(scene, number), assignment }
    }

    /// Whether a worker that takes the place of another would be one of the subset.
    pub fn would_have(&mut self, old: &Endpoint, new: &Endpoint) -> bool {
        let (old, new): (Member, Member) = (member(old), member(new));
        self.assignment.remove(old.key);
        let taken = self.assignment.insert(new).is_ok();
        let mine = |key: Key| self.assignment.shards(key).iter().any(|s| self.own.contains(s));
        let mine = mine(new.key);
        // The assignment hangs on its members alone: with the same ones it is the same again.
        self.assignment.remove(new.key);
        let restored = self.assignment.insert(old).is_ok();
        taken && mine && restored
    }
}
