//! Whole lists of workers by name.

use super::{DrainAnnouncement, EndpointSet, Known, ListedWorker, Update};
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
        self.ready.set(None);
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries.dedup_by(|b, a| a.name == b.name);
        self.omitted = entries.len().saturating_sub(self.max_workers);
        entries.truncate(self.max_workers);
        let mut seen = BTreeSet::new();
        for entry in entries {
            let id = self.id(&entry.name);
            seen.insert(id);
            let known = self.listed_worker(id, entry, now);
            self.workers.insert(id, known);
        }
        self.forget_departed(&seen);
        Update { kind: EndpointUpdate::Full, endpoints: self.endpoints() }
    }

    /// A worker as the list has it, and its own announcement where that still counts.
    fn listed_worker(&self, id: WorkerId, entry: ListedWorker, now: Micros) -> Known {
        let position = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let listed = if entry.draining { Lifecycle::Draining } else { Lifecycle::Ready };
        let announced = self.standing_announcement(id, listed, entry.started, now);
        let endpoint = Endpoint {
            worker: id,
            kind: position(&self.kinds, &entry.kind).map_or(u16::MAX, |index| index as u16),
            lifecycle: if announced.is_some() { Lifecycle::Draining } else { listed },
            zone: position(&self.zones, &entry.zone).map_or(u8::MAX, |index| index as u8),
            started: entry.started,
            cell: entry.cell,
            capacity: if entry.capacity > 0.0 { entry.capacity } else { 1.0 },
        };
        Known { name: entry.name, address: entry.address, endpoint, listed, announced, departed_at: None }
    }

    /// The worker's announcement, as long as the list has it ready throughout, it did not start anew, and the list
    /// may still be behind.
    fn standing_announcement(
        &self,
        id: WorkerId,
        listed: Lifecycle,
        started: Micros,
        now: Micros,
    ) -> Option<DrainAnnouncement> {
        let before = self.workers.get(&id)?;
        let announced = before.announced?;
        let stays_ready = listed == Lifecycle::Ready && before.listed == Lifecycle::Ready;
        let same_start = started <= announced.started;
        let is_recent = now - announced.at < self.announcement_retention;
        (stays_ready && same_start && is_recent).then_some(announced)
    }

    fn forget_departed(&mut self, seen: &BTreeSet<WorkerId>) {
        for (id, known) in &mut self.workers {
            if !seen.contains(id) {
                known.listed = Lifecycle::Gone;
                known.endpoint.lifecycle = Lifecycle::Gone;
                known.announced = None;
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
