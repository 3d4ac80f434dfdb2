//! Which workers there are: what lists say and what workers announce of themselves, put together to the rows that the
//! decision module is notified. Pure: entries and the time go in, rows come out.
//!
//! Lists are late, so a worker's own word that it drains counts until the list has caught up: until it shows the worker
//! draining, gone or started anew, until the worker says otherwise, or until a stated time has passed, as a list that
//! goes on saying "ready" for so long is right.
#![forbid(unsafe_code)]

pub mod blocking_query;
mod capacity;
mod entry;
mod list;

pub use entry::{ListedWorker, NumberedEndpoint, Update};

use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most workers kept where nothing else is notified ([`EndpointSet::with_max_workers`]); entries beyond are left out, the last by name first.
pub const MAX_WORKERS: usize = 10_000;

/// How long a worker that was notified gone is kept, in microseconds: until its last attempts have ended.
pub const GONE_RETENTION: Micros = 30_000_000;

#[derive(Clone, Debug)]
struct Known {
    name: String,
    address: String,
    endpoint: Endpoint,
    listed: Lifecycle,
    /// When the worker itself said that it drains, and which start said so.
    announced: Option<(Micros, Micros)>,
    /// When it was notified gone, where it is.
    departed_at: Option<Micros>,
}

/// The workers known to one front end.
#[derive(Debug)]
pub struct EndpointSet {
    kinds: Vec<String>,
    zones: Vec<String>,
    announcement_retention: Micros,
    /// Most workers kept.
    max_workers: usize,
    /// Entries of the last whole list that were left out as over that, and whether it was notified.
    omitted: usize,
    omission_reported: bool,
    workers: BTreeMap<WorkerId, Known>,
    ids: BTreeMap<String, WorkerId>,
    /// Told gone, in order of time.
    departed: VecDeque<(Micros, WorkerId)>,
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
        self.workers.values().filter(|k| k.endpoint.lifecycle == Lifecycle::Ready).count()
    }

    /// Workers known by their own numbers: the whole list, or what changed. The gone are forgotten after [`GONE_RETENTION`].
    pub fn apply(&mut self, form: EndpointUpdate, told: Vec<NumberedEndpoint>, now: Micros) -> Update {
        if form != EndpointUpdate::Delta {
            let listed: BTreeSet<WorkerId> = told.iter().map(|t| t.endpoint.worker).collect();
            let left = |(id, k): &(&WorkerId, &mut Known)| {
                !listed.contains(id) && k.endpoint.lifecycle != Lifecycle::Gone
            };
            for (id, known) in self.workers.iter_mut().filter(left) {
                (known.listed, known.endpoint.lifecycle) = (Lifecycle::Gone, Lifecycle::Gone);
                known.departed_at = Some(now);
                self.departed.push_back((now, *id));
            }
        }
        let mut rows = Vec::with_capacity(told.len());
        for NumberedEndpoint { name, address, endpoint: row } in told {
            let id = row.worker;
            if !self.workers.contains_key(&id) && self.workers.len() >= 2 * self.max_workers {
                continue;
            }
            let mut gone = None;
            if row.lifecycle == Lifecycle::Gone {
                // Told again it stays gone since it first was.
                gone = self.workers.get(&id).and_then(|k| k.departed_at).or(Some(now));
                if gone == Some(now) {
                    self.departed.push_back((now, id));
                }
            }
            rows.push(row.clone());
            let listed = row.lifecycle;
            self.workers.insert(
                id,
                Known { name, address, endpoint: row, listed, announced: None, departed_at: gone },
            );
        }
        while self.departed.front().is_some_and(|g| now - g.0 >= GONE_RETENTION) {
            let Some((at, id)) = self.departed.pop_front() else { break };
            // One that came back and went again is kept from then on.
            if self.workers.get(&id).is_some_and(|k| k.departed_at == Some(at)) {
                self.workers.remove(&id);
            }
        }
        Update { kind: form, endpoints: rows }
    }

    /// A worker said in an answer whether it drains. Gives what the module must be told, if that is inputs.
    pub fn on_announcement(&mut self, worker: WorkerId, draining: bool, now: Micros) -> Option<Update> {
        let known = self.workers.get_mut(&worker)?;
        if known.listed != Lifecycle::Ready || known.announced.is_some() == draining {
            return None;
        }
        known.announced = draining.then_some((now, known.endpoint.started));
        known.endpoint.lifecycle = if draining { Lifecycle::Draining } else { Lifecycle::Ready };
        Some(Update { kind: EndpointUpdate::Delta, endpoints: vec![known.endpoint.clone()] })
    }

    /// The list could not be had; what is known stands.
    pub fn on_list_failure(&self) -> Update {
        Update { kind: EndpointUpdate::Failed, endpoints: Vec::new() }
    }
}
