//! Which workers there are: what lists say and what workers announce of themselves, put together to the rows that the
//! decision module is given. Pure: entries and the time go in, rows come out.
//!
//! Lists are late, so a worker's own word that it drains counts until the list has caught up: until it shows the worker
//! draining, gone or started anew, until the worker says otherwise, or until a stated time has passed, as a list that
//! goes on saying "ready" for so long is right.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod blocking_query;
mod capacity;
mod entry;
mod list;

pub use entry::{ListedWorker, NumberedEndpoint, Update};

use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most workers kept where nothing else is configured ([`EndpointSet::with_max_workers`]); entries beyond are left out, the last by name first.
pub const MAX_WORKERS: usize = 10_000;

/// How long a worker that was reported gone is kept, in microseconds: until its last attempts have ended.
pub const GONE_RETENTION: Micros = 30_000_000;

#[derive(Clone, Debug)]
struct Known {
    name: String,
    address: String,
    endpoint: Endpoint,
    listed: Lifecycle,
    /// The worker itself said that it drains.
    announced: Option<DrainAnnouncement>,
    /// When it was reported gone, where it is.
    departed_at: Option<Micros>,
}

/// A worker's own word that it drains.
#[derive(Clone, Copy, Debug)]
struct DrainAnnouncement {
    at: Micros,
    /// Which start of the worker announced it.
    started: Micros,
}

/// A worker was reported gone.
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
    /// Most workers kept.
    max_workers: usize,
    /// Entries of the last whole list that were left out as over that, and whether it was reported.
    omitted: usize,
    omission_reported: bool,
    workers: BTreeMap<WorkerId, Known>,
    ids: BTreeMap<String, WorkerId>,
    /// Told gone, in order of time.
    departed: VecDeque<Departure>,
    /// Workers that are ready; None until they are counted after a change.
    ready: Cell<Option<usize>>,
}

impl EndpointSet {
    /// `kinds` and `zones` in the order that the module's settings have them; a worker's announcement counts against
    /// the list for `announcement_keep` at most.
    pub fn new(kinds: Vec<String>, zones: Vec<String>, announcement_keep: Micros) -> EndpointSet {
        EndpointSet {
            kinds,
            zones,
            announcement_retention: announcement_keep,
            max_workers: MAX_WORKERS,
            omitted: 0,
            omission_reported: false,
            workers: BTreeMap::new(),
            ids: BTreeMap::new(),
            departed: VecDeque::new(),
            ready: Cell::new(None),
        }
    }

    /// The same with room for so many workers, in place of [`MAX_WORKERS`].
    pub fn with_max_workers(self, most: usize) -> EndpointSet {
        EndpointSet { max_workers: most, ..self }
    }

    /// Entries that the last whole list had over the bound, told once: again only after a list that fitted.
    pub fn take_new_omission(&mut self) -> Option<usize> {
        let news = self.omitted > 0 && !self.omission_reported;
        self.omission_reported = self.omitted > 0;
        news.then_some(self.omitted)
    }

    /// The address of a worker, also of one that is gone, as answers may still come from it.
    pub fn address(&self, worker: WorkerId) -> Option<&str> {
        self.workers.get(&worker).map(|k| k.address.as_str())
    }

    /// The name of a worker.
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.workers.get(&worker).map(|k| k.name.as_str())
    }

    /// Workers that are ready as far as is known.
    pub fn ready_count(&self) -> usize {
        let count = || self.workers.values().filter(|k| k.endpoint.lifecycle == Lifecycle::Ready).count();
        let ready = self.ready.get().unwrap_or_else(count);
        self.ready.set(Some(ready));
        ready
    }

    /// Workers known by their own numbers: the whole list, or what changed. The gone are forgotten after
    /// [`GONE_RETENTION`].
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
        self.forget_expired(now);
        Update { kind, endpoints }
    }

    /// Workers that a whole list does not name are gone.
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

    /// Takes a worker by its own number, unless there is no room for another.
    fn insert_numbered(&mut self, worker: NumberedEndpoint, now: Micros) -> Option<Endpoint> {
        let NumberedEndpoint { name, address, endpoint } = worker;
        let id = endpoint.worker;
        if !self.workers.contains_key(&id) && self.workers.len() >= 2 * self.max_workers {
            return None;
        }
        let listed = endpoint.lifecycle;
        let departed_at = (listed == Lifecycle::Gone).then(|| self.departure(id, now));
        let known = Known { name, address, endpoint: endpoint.clone(), listed, announced: None, departed_at };
        self.workers.insert(id, known);
        Some(endpoint)
    }

    /// Since when a worker that is reported gone is gone: reported again, it stays gone since it first was.
    fn departure(&mut self, id: WorkerId, now: Micros) -> Micros {
        let at = self.workers.get(&id).and_then(|known| known.departed_at).unwrap_or(now);
        if at == now {
            self.departed.push_back(Departure { at: now, worker: id });
        }
        at
    }

    fn forget_expired(&mut self, now: Micros) {
        while let Some(departure) = self.departed.front().copied() {
            if now - departure.at < GONE_RETENTION {
                return;
            }
            self.departed.pop_front();
            // One that came back and went again is kept from then on.
            let known = self.workers.get(&departure.worker);
            if known.is_some_and(|known| known.departed_at == Some(departure.at)) {
                self.workers.remove(&departure.worker);
            }
        }
    }

    /// A worker said in an answer whether it drains. Gives what the module must be told, if that is inputs.
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

    /// The list could not be had; what is known stands.
    pub fn on_list_failure(&self) -> Update {
        Update { kind: EndpointUpdate::Failed, endpoints: Vec::new() }
    }
}
