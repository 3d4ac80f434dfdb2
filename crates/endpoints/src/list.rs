//! Whole lists of workers by name.

use super::{EndpointSet, Known, ListedWorker, Update};
use fnv::FnvHasher;
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use std::collections::BTreeSet;
use std::hash::Hasher;

impl EndpointSet {
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
            if !self.workers.contains_key(&id) {
                self.ids.insert(name.to_string(), id);
                return id;
            }
            salt = salt.wrapping_add(1);
        }
    }

    /// A whole list came. Of two entries with one name the first counts.
    pub fn apply_list(&mut self, mut entries: Vec<ListedWorker>, now: Micros) -> Update {
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries.dedup_by(|b, a| a.name == b.name);
        self.omitted = entries.len().saturating_sub(self.max_workers);
        entries.truncate(self.max_workers);
        let mut seen = BTreeSet::new();
        for entry in entries {
            let id = self.id(&entry.name);
            seen.insert(id);
            let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
            let listed = if entry.draining { Lifecycle::Draining } else { Lifecycle::Ready };
            let row = Endpoint {
                worker: id,
                kind: place(&self.kinds, &entry.kind).map_or(u16::MAX, |i| i as u16),
                lifecycle: listed,
                zone: place(&self.zones, &entry.zone).map_or(u8::MAX, |i| i as u8),
                started: entry.started,
                cell: entry.cell,
                capacity: if entry.capacity > 0.0 { entry.capacity } else { 1.0 },
            };
            let before = self.workers.get(&id);
            let announced = before.and_then(|k| k.announced).filter(|&(at, start)| {
                listed == Lifecycle::Ready
                    && before.is_some_and(|k| k.listed == Lifecycle::Ready)
                    && row.started <= start
                    && now - at < self.announcement_retention
            });
            let mut row = row;
            if announced.is_some() {
                row.lifecycle = Lifecycle::Draining;
            }
            let known = Known {
                name: entry.name,
                address: entry.address,
                endpoint: row,
                listed,
                announced,
                departed_at: None,
            };
            self.workers.insert(id, known);
        }
        self.forget_departed(&seen);
        Update { kind: EndpointUpdate::Full, endpoints: self.endpoints() }
    }

    fn forget_departed(&mut self, seen: &BTreeSet<WorkerId>) {
        for (id, known) in &mut self.workers {
            if !seen.contains(id) {
                (known.listed, known.endpoint.lifecycle, known.announced) =
                    (Lifecycle::Gone, Lifecycle::Gone, None);
            }
        }
        // The gone are kept so that their numbers and addresses stay, up to a bound.
        while self.workers.len() > 2 * self.max_workers {
            let Some(id) = self.workers.iter().find(|(_, k)| k.listed == Lifecycle::Gone).map(|(id, _)| *id)
            else {
                return;
            };
            if let Some(known) = self.workers.remove(&id) {
                self.ids.remove(&known.name);
            }
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let present = self.workers.values().filter(|k| k.endpoint.lifecycle != Lifecycle::Gone);
        present.map(|k| k.endpoint.clone()).collect()
    }
}
