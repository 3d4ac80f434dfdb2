//! The shards of one front end in a divided fleet, without I/O: the queues that it consumes, the workers that its
//! decision module learns of, and the placement of functions. None of this is used if the configuration has no `shards`.

mod by_list;
mod divided;
mod ownership;
mod placement;

pub use divided::settings;
pub use ownership::{OwnedShards, Ownership};
pub use placement::{Places, QueueOrigin};

use fnv::FnvHashSet;
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use stagehoist_config::{Config, Consume, Sharding};
use stagehoist_endpoints::Update;
use stagehoist_sharding::{
    ranked, Assignment, Division, Divisions, HomeShards, Key, Member, Shard, Transition,
};
use std::collections::BTreeMap;

/// Added to the maximum duration of an attempt or a load; after this total, a worker that left the subset is reported as
/// gone.
const MARGIN: Micros = 1_000_000;

/// Returns the queue of a shard of one division. The name contains the generation, because a shard number has different
/// owners in the next division; on a shared queue they would consume each other's calls.
pub fn queue(name: &str, generation: u32, shard: Shard) -> String {
    format!("{name}.division-{generation}.shard-{shard}")
}

/// Returns the configuration of one front end of the process, with the queues of its shards and its number within the fleet.
pub fn front_end_config(mut config: Config, number: u32) -> Config {
    let Some(sharding) = config.sharding.as_mut() else { return config };
    sharding.first += number;
    if config.front_ends_list.is_some() {
        // The list determines its queues at run time.
        return config;
    }
    let sharding = sharding.clone();
    let owned_shards = |d: &Division| -> Vec<(u32, Shard)> {
        owned(&config, &sharding, d).into_iter().map(|s| (d.generation(), s)).collect()
    };
    let shards: Vec<(u32, Shard)> = sharding.divisions.served().flat_map(owned_shards).collect();
    let shard_queues = |c: &Consume| -> Vec<Consume> {
        shards.iter().map(|(g, s)| Consume { queue: queue(&c.queue, *g, *s), ..c.clone() }).collect()
    };
    config.consume = config.consume.iter().flat_map(shard_queues).collect();
    config
}

/// Returns the shards that a front end owns by its number: each shard has at least two owners, and a failed owner is not
/// replaced. If a list of front ends is watched, nothing is owned before the first list.
fn owned(config: &Config, sharding: &Sharding, division: &Division) -> Vec<Shard> {
    if config.front_ends_list.is_some() {
        return Vec::new();
    }
    // The check of the configuration rejects a number beyond the fleet's size.
    ranked(division, sharding.first, config.fleet_front_ends).unwrap_or_default()
}

fn homes(sharding: &Sharding, division: &Division) -> Option<HomeShards> {
    HomeShards::new(division, sharding.calls, &sharding.hot).ok()
}

/// Changed workers by key: Some if the worker is new or changed and ready, None if it was removed or is no longer ready.
type Changes = BTreeMap<Key, Option<Member>>;

/// Converts a worker to a member of a division.
fn member(key: Key, row: &Endpoint) -> Member {
    Member::keyed(key, u16::from(row.zone), row.capacity)
}

/// The workers of the owned shards, as the decision module learns of them.
pub struct Shards {
    /// For each division served, the owned shards and the assignment of all ready workers.
    served: Vec<(Vec<Shard>, Assignment)>,
    rows: BTreeMap<WorkerId, (Key, Endpoint)>,
    ids: BTreeMap<Key, WorkerId>,
    /// Number of ready workers of the last list beyond the maximum of a division.
    omitted: usize,
    /// The workers of the owned shards, and the number of shards that each belongs to.
    subset: BTreeMap<WorkerId, usize>,
    transition: Transition,
    /// None: the owned shards never change.
    ownership: Option<Ownership>,
}

impl Shards {
    /// Creates the shards of a front end; `None` if the fleet isn't divided.
    pub fn new(config: &Config) -> Option<Shards> {
        let sharding = config.sharding.as_ref()?;
        let max_duration =
            config.classes.iter().map(|c| c.give_up).max().unwrap_or(0).max(config.load_timeout);
        let owned_shards = sharding.divisions.served().map(|d| owned(config, sharding, d)).collect();
        let ownership = Ownership::new(config);
        Some(Shards { ownership, ..Shards::owning(&sharding.divisions, owned_shards, max_duration) })
    }

    /// Creates the shards of a front end that owns `owned` of the divisions served. No attempt or load takes longer than
    /// `max_duration`.
    pub fn owning(divisions: &Divisions, owned: Vec<Vec<Shard>>, max_duration: Micros) -> Shards {
        Shards {
            served: owned.into_iter().zip(divisions.served().map(Assignment::new)).collect(),
            rows: BTreeMap::new(),
            ids: BTreeMap::new(),
            omitted: 0,
            subset: BTreeMap::new(),
            transition: Transition::new(max_duration + MARGIN),
            ownership: None,
        }
    }

    /// Converts an update of all workers to the update of the owned shards' workers that the decision module gets.
    pub fn apply<N: AsRef<str>>(
        &mut self,
        update: Update,
        name: impl Fn(WorkerId) -> Option<N>,
        now: Micros,
    ) -> Update {
        if update.kind == EndpointUpdate::Failed {
            return update;
        }
        let listed: FnvHashSet<WorkerId> = update.endpoints.iter().map(|r| r.worker).collect();
        let mut changes = BTreeMap::new();
        if update.kind != EndpointUpdate::Delta {
            let removed: Vec<WorkerId> = self.rows.keys().filter(|w| !listed.contains(w)).copied().collect();
            removed.into_iter().for_each(|w| self.remove_worker(w, &mut changes));
        }
        for row in &update.endpoints {
            let key = name(row.worker).map_or(Key::numbered(u64::from(row.worker)), |n| Key::of(n.as_ref()));
            self.add_worker(key, row, &mut changes);
        }
        self.divide(&changes);
        let before = std::mem::take(&mut self.subset);
        self.subset = self.members();
        let mut rows: Vec<Endpoint> = update.endpoints.into_iter().map(|r| self.shared(r)).collect();
        let is_owned = |w: WorkerId| self.subset.contains_key(&w);
        rows = self.transition.apply_list(update.kind, &rows, is_owned, now).endpoints;
        rows.extend(self.moved(&before, &listed, now));
        Update { kind: update.kind, endpoints: rows }
    }

    /// Returns the workers that entered or left the subset because other workers or the owned shards changed, except
    /// those in the current update.
    fn moved(
        &mut self,
        before: &BTreeMap<WorkerId, usize>,
        listed: &FnvHashSet<WorkerId>,
        now: Micros,
    ) -> Vec<Endpoint> {
        let changed = |w: &&WorkerId| before.get(w) != self.subset.get(w) && !listed.contains(w);
        let entered = self.subset.keys().filter(changed).filter_map(|w| self.rows.get(w));
        let entered: Vec<Endpoint> = entered.map(|r| self.shared(r.1.clone())).collect();
        let removed = before.keys().filter(|w| !self.subset.contains_key(w) && !listed.contains(w));
        let removed: Vec<WorkerId> = removed.copied().collect();
        self.transition.apply_move(&entered, &removed, now).endpoints
    }

    /// Reports as gone the workers that left the subset long enough ago.
    pub fn expired(&mut self, now: Micros) -> Option<Update> {
        self.transition.expire(now).map(|update| Update { kind: update.kind, endpoints: update.endpoints })
    }

    /// Returns when the next expiry is due.
    pub fn due(&self) -> Option<Micros> {
        let handover = self.ownership.as_ref().and_then(Ownership::due);
        self.transition.due().into_iter().chain(handover).min()
    }

    /// Returns the number of workers in the subset, and of workers that are draining because they left it.
    pub fn counts(&self) -> (usize, usize) {
        self.transition.counts()
    }

    /// Divides a worker's capacity equally among its shards, and returns the part of one shard.
    fn shared(&self, row: Endpoint) -> Endpoint {
        let shard_count = self.subset.get(&row.worker).copied().unwrap_or(1).max(1);
        Endpoint { capacity: row.capacity / shard_count as f64, ..row }
    }

    fn members(&self) -> BTreeMap<WorkerId, usize> {
        let mut subset = BTreeMap::new();
        for (owned_shards, assignment) in &self.served {
            for key in owned_shards.iter().flat_map(|s| assignment.of_shard(*s)) {
                let Some(worker) = self.ids.get(&key) else { continue };
                let shard_count = subset.entry(*worker).or_insert(0);
                *shard_count = assignment.shards(key).len().max(*shard_count);
            }
        }
        subset
    }

    /// Applies all changes at once. One by one, those of a full list or a whole zone would take many times as long, and
    /// no call is decided meanwhile.
    fn divide(&mut self, changes: &Changes) {
        let omitted =
            self.served.iter_mut().map(|(_, assignment)| assignment.apply(changes)).max().unwrap_or(0);
        if omitted > 0 && omitted != self.omitted {
            tracing::warn!(
                left_out = omitted,
                "division has more workers than its maximum; the rest are left out"
            );
        }
        self.omitted = omitted;
    }

    fn add_worker(&mut self, key: Key, row: &Endpoint, changes: &mut Changes) {
        if row.lifecycle == Lifecycle::Gone {
            return self.remove_worker(row.worker, changes);
        }
        // A worker that was left out before may fit now.
        if self.omitted == 0 && self.rows.get(&row.worker).is_some_and(|k| k.0 == key && k.1 == *row) {
            return;
        }
        self.rows.insert(row.worker, (key, row.clone()));
        self.ids.insert(key, row.worker);
        changes.insert(key, (row.lifecycle == Lifecycle::Ready).then(|| member(key, row)));
    }

    fn remove_worker(&mut self, worker: WorkerId, changes: &mut Changes) {
        let Some((key, _)) = self.rows.remove(&worker) else { return };
        // The key stays if another worker has it by now.
        if self.ids.get(&key) == Some(&worker) {
            self.ids.remove(&key);
            changes.insert(key, None);
        }
    }
}
