//! Which workers there are: what lists say and what workers announce of themselves, put together to the rows that the
//! decision module is told. Pure: entries and the time go in, rows come out.
//!
//! Lists are late, so a worker's own word that it drains counts until the list has caught up: until it shows the worker
//! draining, gone or started anew, until the worker says otherwise, or until a stated time has passed, as a list that
//! goes on saying "ready" for so long is right.
#![forbid(unsafe_code)]

pub mod blocking;
mod lanes;

use fnv::FnvHasher;
use stagehoist::{Lifecycle, Micros, RosterForm, RosterRow, WorkerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// Most workers kept; entries beyond it are left out, the last by name first.
pub const WORKERS_MOST: usize = 10_000;

/// A worker as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name, unique in the list and kept over restarts.
    pub name: String,
    /// `host:port`.
    pub address: String,
    pub draining: bool,
    pub kind: String,
    pub zone: String,
    /// Number of the group that shares its memory of keys; 0 where none is told.
    pub cell: u16,
    /// Size for comparison with other workers; 1 where none is told.
    pub capacity: f64,
    /// Last start, microseconds since 1970; 0 where none is told.
    pub started: Micros,
}

impl Entry {
    /// A ready worker with the usual size and nothing else told.
    pub fn new(name: impl Into<String>, address: impl Into<String>) -> Entry {
        Entry {
            name: name.into(),
            address: address.into(),
            draining: false,
            kind: String::new(),
            zone: String::new(),
            cell: 0,
            capacity: 1.0,
            started: 0,
        }
    }
}

/// A worker as a source tells it that numbers workers itself and tells changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub name: String,
    /// `host:port`.
    pub address: String,
    pub row: RosterRow,
}

/// How long a worker that was told gone is kept, in microseconds: until its last attempts have ended.
pub const GONE_KEEP: Micros = 30_000_000;

/// What to tell the module.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    pub form: RosterForm,
    pub rows: Vec<RosterRow>,
}

#[derive(Clone, Debug)]
struct Known {
    name: String,
    address: String,
    row: RosterRow,
    listed: Lifecycle,
    /// When the worker itself said that it drains, and which start said so.
    announced: Option<(Micros, Micros)>,
}

/// The workers known to one front end.
#[derive(Debug)]
pub struct Members {
    kinds: Vec<String>,
    zones: Vec<String>,
    announcement_keep: Micros,
    known: BTreeMap<WorkerId, Known>,
    ids: BTreeMap<String, WorkerId>,
    /// Told gone, in order of time.
    gone: VecDeque<(Micros, WorkerId)>,
}

impl Members {
    /// `kinds` and `zones` in the order that the module's settings have them; a worker's announcement counts against
    /// the list for `announcement_keep` at most.
    pub fn new(kinds: Vec<String>, zones: Vec<String>, announcement_keep: Micros) -> Members {
        Members {
            kinds,
            zones,
            announcement_keep,
            known: BTreeMap::new(),
            ids: BTreeMap::new(),
            gone: VecDeque::new(),
        }
    }

    /// The address of a worker, also of one that is gone, as answers may still come from it.
    pub fn address(&self, worker: WorkerId) -> Option<&str> {
        self.known.get(&worker).map(|k| k.address.as_str())
    }

    /// The name of a worker.
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.known.get(&worker).map(|k| k.name.as_str())
    }

    /// Workers that are ready as far as is known.
    pub fn ready(&self) -> usize {
        self.known.values().filter(|k| k.row.lifecycle == Lifecycle::Ready).count()
    }

    /// The number of a worker: from its name alone, so that it is the same at every front end; where two names would
    /// have one number, the later met gets the next free one.
    fn id(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut salt = 0u8;
        loop {
            let mut hasher = FnvHasher::default();
            hasher.write(name.as_bytes());
            hasher.write_u8(salt);
            let hash = hasher.finish();
            let id = (hash ^ (hash >> 32)) as u32;
            if !self.known.contains_key(&id) {
                self.ids.insert(name.to_string(), id);
                return id;
            }
            salt = salt.wrapping_add(1);
        }
    }

    /// A whole list came. Of two entries with one name the first counts.
    pub fn listed(&mut self, mut entries: Vec<Entry>, now: Micros) -> Update {
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries.dedup_by(|b, a| a.name == b.name);
        entries.truncate(WORKERS_MOST);
        let mut seen = BTreeSet::new();
        for entry in entries {
            let id = self.id(&entry.name);
            seen.insert(id);
            let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
            let listed = if entry.draining { Lifecycle::Draining } else { Lifecycle::Ready };
            let row = RosterRow {
                worker: id,
                kind: place(&self.kinds, &entry.kind).map_or(u16::MAX, |i| i as u16),
                lifecycle: listed,
                zone: place(&self.zones, &entry.zone).map_or(u8::MAX, |i| i as u8),
                started: entry.started,
                cell: entry.cell,
                capacity: if entry.capacity > 0.0 { entry.capacity } else { 1.0 },
            };
            let before = self.known.get(&id);
            let announced = before.and_then(|k| k.announced).filter(|&(at, start)| {
                listed == Lifecycle::Ready
                    && before.is_some_and(|k| k.listed == Lifecycle::Ready)
                    && row.started <= start
                    && now - at < self.announcement_keep
            });
            let mut row = row;
            if announced.is_some() {
                row.lifecycle = Lifecycle::Draining;
            }
            let known = Known { name: entry.name, address: entry.address, row, listed, announced };
            self.known.insert(id, known);
        }
        self.forget_gone(&seen);
        Update { form: RosterForm::Full, rows: self.rows() }
    }

    fn forget_gone(&mut self, seen: &BTreeSet<WorkerId>) {
        for (id, known) in &mut self.known {
            if !seen.contains(id) {
                (known.listed, known.row.lifecycle, known.announced) =
                    (Lifecycle::Gone, Lifecycle::Gone, None);
            }
        }
        // The gone are kept so that their numbers and addresses stay, up to a bound.
        while self.known.len() > 2 * WORKERS_MOST {
            let Some(id) = self.known.iter().find(|(_, k)| k.listed == Lifecycle::Gone).map(|(id, _)| *id)
            else {
                return;
            };
            if let Some(known) = self.known.remove(&id) {
                self.ids.remove(&known.name);
            }
        }
    }

    fn rows(&self) -> Vec<RosterRow> {
        let present = self.known.values().filter(|k| k.row.lifecycle != Lifecycle::Gone);
        present.map(|k| k.row.clone()).collect()
    }

    /// Workers told by their own numbers: the whole list, or what changed. The gone are forgotten after [`GONE_KEEP`].
    pub fn told(&mut self, form: RosterForm, told: Vec<Told>, now: Micros) -> Update {
        if form != RosterForm::Delta {
            let listed: BTreeSet<WorkerId> = told.iter().map(|t| t.row.worker).collect();
            let left = |(id, k): &(&WorkerId, &mut Known)| {
                !listed.contains(id) && k.row.lifecycle != Lifecycle::Gone
            };
            for (id, known) in self.known.iter_mut().filter(left) {
                (known.listed, known.row.lifecycle) = (Lifecycle::Gone, Lifecycle::Gone);
                self.gone.push_back((now, *id));
            }
        }
        let mut rows = Vec::with_capacity(told.len());
        for Told { name, address, row } in told {
            let id = row.worker;
            if !self.known.contains_key(&id) && self.known.len() >= 2 * WORKERS_MOST {
                continue;
            }
            if row.lifecycle == Lifecycle::Gone {
                self.gone.push_back((now, id));
            }
            rows.push(row.clone());
            let listed = row.lifecycle;
            self.known.insert(id, Known { name, address, row, listed, announced: None });
        }
        while self.gone.front().is_some_and(|g| now - g.0 >= GONE_KEEP) {
            let Some((_, id)) = self.gone.pop_front() else { break };
            if self.known.get(&id).is_some_and(|k| k.row.lifecycle == Lifecycle::Gone) {
                self.known.remove(&id);
            }
        }
        Update { form, rows }
    }

    /// A worker said in an answer whether it drains. Gives what the module must be told, if that is news.
    pub fn announced(&mut self, worker: WorkerId, draining: bool, now: Micros) -> Option<Update> {
        let known = self.known.get_mut(&worker)?;
        if known.listed != Lifecycle::Ready || known.announced.is_some() == draining {
            return None;
        }
        known.announced = draining.then_some((now, known.row.started));
        known.row.lifecycle = if draining { Lifecycle::Draining } else { Lifecycle::Ready };
        Some(Update { form: RosterForm::Delta, rows: vec![known.row.clone()] })
    }

    /// The list could not be had; what is known stands.
    pub fn failed(&self) -> Update {
        Update { form: RosterForm::Failed, rows: Vec::new() }
    }
}
