//! The set of known workers: merges endpoint lists with the workers' own drain announcements into the rows that the
//! decision module receives. Pure: takes entries and the time, returns rows.
//!
//! Lists lag behind, so a worker's own drain announcement overrides the list. This ends when the list shows the worker
//! draining, gone or restarted, when the worker revokes the announcement, or when a configured time has passed. A list
//! that still reports "ready" after that time is taken to be right.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod blocking_query;
mod capacity;
mod entry;
mod list;

pub use entry::{ListedWorker, NumberedEndpoint, Update};

use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use std::cell::Cell;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Default maximum number of workers ([`EndpointSet::with_max_workers`] changes it). If a list is longer, the entries
/// with the last names are omitted.
pub const MAX_WORKERS: usize = 10_000;

/// How long a worker that was reported gone is retained, in microseconds, so that its last attempts can end.
pub const GONE_RETENTION: Micros = 30_000_000;

#[derive(Clone, Debug)]
struct KnownWorker {
    name: String,
    address: String,
    endpoint: Endpoint,
    listed: Lifecycle,
    /// The worker's own announcement that it drains.
    announced: Option<DrainAnnouncement>,
    /// When it was reported gone, if it is gone.
    departed_at: Option<Micros>,
}

/// A worker's own announcement that it drains.
#[derive(Clone, Copy, Debug)]
struct DrainAnnouncement {
    at: Micros,
    /// Start time of the worker process that announced it.
    started: Micros,
}

/// A worker that was reported gone.
#[derive(Clone, Copy, Debug)]
struct Departure {
    at: Micros,
    worker: WorkerId,
}

/// The workers known to one front end.
#[derive(Debug)]
pub struct EndpointSet {
    kinds: Vec<String>,
    zones: Vec<String>,
    announcement_retention: Micros,
    /// Maximum number of workers.
    max_workers: usize,
    /// Entries of the last full list omitted because of `max_workers`, and whether the omission was reported.
    omitted: usize,
    omission_reported: bool,
    workers: BTreeMap<WorkerId, KnownWorker>,
    ids: BTreeMap<String, WorkerId>,
    /// Workers that were reported gone, in order of time.
    departed: VecDeque<Departure>,
    /// Cached number of ready workers; None after a change until they are counted again.
    ready: Cell<Option<usize>>,
}

impl EndpointSet {
    /// Creates an empty set. `kinds` and `zones` are in the order of the module's settings; a worker's announcement
    /// overrides the list for at most `retention`.
    pub fn new(kinds: Vec<String>, zones: Vec<String>, retention: Micros) -> EndpointSet {
        EndpointSet {
            kinds,
            zones,
            announcement_retention: retention,
            max_workers: MAX_WORKERS,
            omitted: 0,
            omission_reported: false,
            workers: BTreeMap::new(),
            ids: BTreeMap::new(),
            departed: VecDeque::new(),
            ready: Cell::new(None),
        }
    }

    /// Replaces the maximum number of workers, by default [`MAX_WORKERS`].
    pub fn with_max_workers(self, max: usize) -> EndpointSet {
        EndpointSet { max_workers: max, ..self }
    }

    /// Returns the number of entries omitted from the last full list, once; again only after a list within the maximum.
    pub fn take_new_omission(&mut self) -> Option<usize> {
        let is_new = self.omitted > 0 && !self.omission_reported;
        self.omission_reported = self.omitted > 0;
        is_new.then_some(self.omitted)
    }

    /// Returns the address of a worker, also of a gone one, because answers may still arrive from it.
    pub fn address(&self, worker: WorkerId) -> Option<&str> {
        self.workers.get(&worker).map(|k| k.address.as_str())
    }

    /// Returns the name of a worker.
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.workers.get(&worker).map(|k| k.name.as_str())
    }

    /// Returns the number of workers known to be ready.
    pub fn ready_count(&self) -> usize {
        let count = || self.workers.values().filter(|k| k.endpoint.lifecycle == Lifecycle::Ready).count();
        let ready = self.ready.get().unwrap_or_else(count);
        self.ready.set(Some(ready));
        ready
    }

    /// Applies workers from a source that numbers them itself: the full list, or the changes. Gone workers are removed
    /// after [`GONE_RETENTION`].
    pub fn apply(&mut self, kind: EndpointUpdate, workers: Vec<NumberedEndpoint>, now: Micros) -> Update {
        self.ready.set(None);
        if kind != EndpointUpdate::Delta {
            self.mark_unlisted_gone(&workers, now);
        }
        let mut endpoints = Vec::with_capacity(workers.len());
        for worker in workers {
            if let Some(endpoint) = self.insert_numbered(worker, now) {
                endpoints.push(endpoint);
            }
        }
        self.remove_expired(now);
        Update { kind, endpoints }
    }

    /// Marks workers that are missing from a full list as gone.
    fn mark_unlisted_gone(&mut self, workers: &[NumberedEndpoint], now: Micros) {
        let listed: BTreeSet<WorkerId> = workers.iter().map(|worker| worker.endpoint.worker).collect();
        for (id, known) in &mut self.workers {
            if listed.contains(id) || known.endpoint.lifecycle == Lifecycle::Gone {
                continue;
            }
            known.listed = Lifecycle::Gone;
            known.endpoint.lifecycle = Lifecycle::Gone;
            known.departed_at = Some(now);
            self.departed.push_back(Departure { at: now, worker: *id });
        }
    }

    /// Inserts or replaces a worker under its own number; does nothing if it is new and the set is full. A repeated
    /// report that a worker is gone does not change the time of the first one.
    fn insert_numbered(&mut self, worker: NumberedEndpoint, now: Micros) -> Option<Endpoint> {
        let NumberedEndpoint { name, address, endpoint } = worker;
        let is_full = self.workers.len() >= 2 * self.max_workers;
        let entry = self.workers.entry(endpoint.worker);
        let previous_departure = match &entry {
            Entry::Occupied(known) => known.get().departed_at,
            Entry::Vacant(_) if is_full => return None,
            Entry::Vacant(_) => None,
        };
        let listed = endpoint.lifecycle;
        let departed_at = (listed == Lifecycle::Gone).then(|| previous_departure.unwrap_or(now));
        if departed_at == Some(now) {
            self.departed.push_back(Departure { at: now, worker: endpoint.worker });
        }
        let known =
            KnownWorker { name, address, endpoint: endpoint.clone(), listed, announced: None, departed_at };
        match entry {
            Entry::Occupied(mut occupied) => {
                occupied.insert(known);
            }
            Entry::Vacant(vacant) => {
                vacant.insert(known);
            }
        }
        Some(endpoint)
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some(departure) = self.departed.front().copied() {
            if now - departure.at < GONE_RETENTION {
                return;
            }
            self.departed.pop_front();
            // A worker that returned and departed again is retained from its last departure.
            let known = self.workers.get(&departure.worker);
            if known.is_some_and(|known| known.departed_at == Some(departure.at)) {
                self.workers.remove(&departure.worker);
            }
        }
    }

    /// Processes a worker's announcement, made in an answer, whether it drains. Returns an update if this changes its state.
    pub fn on_announcement(&mut self, worker: WorkerId, draining: bool, now: Micros) -> Option<Update> {
        self.ready.set(None);
        let known = self.workers.get_mut(&worker)?;
        if known.listed != Lifecycle::Ready || known.announced.is_some() == draining {
            return None;
        }
        known.announced = draining.then_some(DrainAnnouncement { at: now, started: known.endpoint.started });
        known.endpoint.lifecycle = if draining { Lifecycle::Draining } else { Lifecycle::Ready };
        Some(Update { kind: EndpointUpdate::Delta, endpoints: vec![known.endpoint.clone()] })
    }

    /// Returns the update for a list that could not be obtained; the known workers stay unchanged.
    pub fn on_list_failure(&self) -> Update {
        Update { kind: EndpointUpdate::Failed, endpoints: Vec::new() }
    }
}
