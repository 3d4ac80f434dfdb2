//! One front end's part of a divided fleet, without I/O: the queues that it consumes, the workers that its module is notified of,
//! and what it has to do with a function. Nothing of it exists where the configuration has no `shards`.

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

/// Added to the longest time that an attempt or a load may take, before a worker that left the subset is reported gone.
const MARGIN: Micros = 1_000_000;

/// The queue of a shard of one division. With the generation in its name, as the front ends that own a number in one division
/// aren't those that do in the next: over one queue they would take each other's calls.
pub fn queue(name: &str, generation: u32, shard: Shard) -> String {
    format!("{name}.division-{generation}.shard-{shard}")
}

/// The configuration of one front end of the process: with the queues of its shards, and its number among the fleet's.
pub fn own(mut config: Config, number: u32) -> Config {
    let Some(sharding) = config.sharding.as_mut() else { return config };
    sharding.first += number;
    if config.front_ends_list.is_some() {
        // Its queues come and go with the list.
        return config;
    }
    let sharding = sharding.clone();
    let of_division = |d: &Division| -> Vec<(u32, Shard)> {
        owned(&config, &sharding, d).into_iter().map(|s| (d.generation(), s)).collect()
    };
    let shards: Vec<(u32, Shard)> = sharding.divisions.served().flat_map(of_division).collect();
    let of = |c: &Consume| -> Vec<Consume> {
        shards.iter().map(|(g, s)| Consume { queue: queue(&c.queue, *g, *s), ..c.clone() }).collect()
    };
    config.consume = config.consume.iter().flat_map(of).collect();
    config
}

/// Own shards by number alone: two owners each at least, none made up for. Where a list is followed, none before it came.
fn owned(config: &Config, sharding: &Sharding, division: &Division) -> Vec<Shard> {
    if config.front_ends_list.is_some() {
        return Vec::new();
    }
    // The check refuses a number beyond the fleet.
    ranked(division, sharding.first, config.fleet_front_ends).unwrap_or_default()
}

fn homes(sharding: &Sharding, division: &Division) -> Option<HomeShards> {
    HomeShards::new(division, sharding.calls, &sharding.hot).ok()
}

/// Ready workers that came or changed, and those that went or are ready no more.
type Changes = BTreeMap<Key, Option<Member>>;

/// A worker as the division takes it.
fn member(key: Key, row: &Endpoint) -> Member {
    Member::keyed(key, u16::from(row.zone), row.capacity)
}

/// The workers of own shards, as the module is notified of them.
pub struct Shards {
    /// Own shards of each division served, and all workers that are ready in them.
    served: Vec<(Vec<Shard>, Assignment)>,
    rows: BTreeMap<WorkerId, (Key, Endpoint)>,
    ids: BTreeMap<Key, WorkerId>,
    /// Ready workers beyond the bounds of a division, by the last list.
    omitted: usize,
    /// In how many shards each of the subset is.
    subset: BTreeMap<WorkerId, usize>,
    transition: Transition,
    /// None: own shards stand.
    ownership: Option<Ownership>,
}

impl Shards {
    /// The shards of a front end; `None` where the fleet isn't divided.
    pub fn new(config: &Config) -> Option<Shards> {
        let sharding = config.sharding.as_ref()?;
        let longest = config.classes.iter().map(|c| c.give_up).max().unwrap_or(0).max(config.load_timeout);
        let own = sharding.divisions.served().map(|d| owned(config, sharding, d)).collect();
        let ownership = Ownership::new(config);
        Some(Shards { ownership, ..Shards::owning(&sharding.divisions, own, longest) })
    }

    /// Of a front end that owns these shards of the divisions served. No attempt or load takes longer than `longest`.
    pub fn owning(divisions: &Divisions, own: Vec<Vec<Shard>>, longest: Micros) -> Shards {
        Shards {
            served: own.into_iter().zip(divisions.served().map(Assignment::new)).collect(),
            rows: BTreeMap::new(),
            ids: BTreeMap::new(),
            omitted: 0,
            subset: BTreeMap::new(),
            transition: Transition::new(longest + MARGIN),
            ownership: None,
        }
    }

    /// What the module is given in place of what was heard of all workers.
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
            let left: Vec<WorkerId> = self.rows.keys().filter(|w| !listed.contains(w)).copied().collect();
            left.into_iter().for_each(|w| self.remove_worker(w, &mut changes));
        }
        for row in &update.endpoints {
            let key = name(row.worker).map_or(Key::numbered(u64::from(row.worker)), |n| Key::of(n.as_ref()));
            self.add_worker(key, row, &mut changes);
        }
        self.divide(&changes);
        let before = std::mem::take(&mut self.subset);
        self.subset = self.members();
        let mut rows: Vec<Endpoint> = update.endpoints.into_iter().map(|r| self.shared(r)).collect();
        let mine = |w: WorkerId| self.subset.contains_key(&w);
        rows = self.transition.apply_list(update.kind, &rows, mine, now).endpoints;
        rows.extend(self.moved(&before, &listed, now));
        Update { kind: update.kind, endpoints: rows }
    }

    /// Workers that the coming and going of others, or of own shards, moved in or out; but for those just listed.
    fn moved(
        &mut self,
        before: &BTreeMap<WorkerId, usize>,
        listed: &FnvHashSet<WorkerId>,
        now: Micros,
    ) -> Vec<Endpoint> {
        let changed = |w: &&WorkerId| before.get(w) != self.subset.get(w) && !listed.contains(w);
        let entered = self.subset.keys().filter(changed).filter_map(|w| self.rows.get(w));
        let entered: Vec<Endpoint> = entered.map(|r| self.shared(r.1.clone())).collect();
        let left = before.keys().filter(|w| !self.subset.contains_key(w) && !listed.contains(w));
        let left: Vec<WorkerId> = left.copied().collect();
        self.transition.apply_move(&entered, &left, now).endpoints
    }

    /// Tells gone what left long enough ago.
    pub fn expired(&mut self, now: Micros) -> Option<Update> {
        self.transition.expire(now).map(|told| Update { kind: told.kind, endpoints: told.endpoints })
    }

    /// When an expiry is due.
    pub fn due(&self) -> Option<Micros> {
        let handover = self.ownership.as_ref().and_then(Ownership::due);
        self.transition.due().into_iter().chain(handover).min()
    }

    /// Workers of the subset, and those that drain as they left it.
    pub fn counts(&self) -> (usize, usize) {
        self.transition.counts()
    }

    /// Each of a worker's shards is given its part of the worker.
    fn shared(&self, row: Endpoint) -> Endpoint {
        let among = self.subset.get(&row.worker).copied().unwrap_or(1).max(1);
        Endpoint { capacity: row.capacity / among as f64, ..row }
    }

    fn members(&self) -> BTreeMap<WorkerId, usize> {
        let mut subset = BTreeMap::new();
        for (own, assignment) in &self.served {
            for key in own.iter().flat_map(|s| assignment.of_shard(*s)) {
                let Some(worker) = self.ids.get(&key) else { continue };
                let among = subset.entry(*worker).or_insert(0);
                *among = assignment.shards(key).len().max(*among);
            }
        }
        subset
    }

    /// All that changed at once: one by one a whole list, or a zone of it, takes many times as long, and no call is decided meanwhile.
    fn divide(&mut self, changes: &Changes) {
        let over = self.served.iter_mut().map(|(_, assignment)| assignment.apply(changes)).max().unwrap_or(0);
        if over > 0 && over != self.omitted {
            tracing::warn!(left_out = over, "workers beyond the bounds of the division are left out");
        }
        self.omitted = over;
    }

    fn add_worker(&mut self, key: Key, row: &Endpoint, changes: &mut Changes) {
        if row.lifecycle == Lifecycle::Gone {
            return self.remove_worker(row.worker, changes);
        }
        // Who was left out may find room now.
        if self.omitted == 0 && self.rows.get(&row.worker).is_some_and(|k| k.0 == key && k.1 == *row) {
            return;
        }
        self.rows.insert(row.worker, (key, row.clone()));
        self.ids.insert(key, row.worker);
        changes.insert(key, (row.lifecycle == Lifecycle::Ready).then(|| member(key, row)));
    }

    fn remove_worker(&mut self, worker: WorkerId, changes: &mut Changes) {
        let Some((key, _)) = self.rows.remove(&worker) else { return };
        // Unless another has its name by now.
        if self.ids.get(&key) == Some(&worker) {
            self.ids.remove(&key);
            changes.insert(key, None);
        }
    }
}
