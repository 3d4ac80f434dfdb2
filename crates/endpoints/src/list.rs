//! Full lists of workers by name.

use super::{DrainAnnouncement, EndpointSet, KnownWorker, ListedWorker, Update};
use fnv::FnvHasher;
use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use std::collections::BTreeSet;
use std::hash::Hasher;

impl EndpointSet {
    /// Returns the number of a worker. It is a hash of the name alone, so that it is the same at every front end. If two
    /// names collide, the name seen later is hashed with the next salt until its number is free.
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

    /// Applies a full list. Of several entries with the same name only the first is used.
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
        self.mark_missing_gone(&seen);
        Update { kind: EndpointUpdate::Full, endpoints: self.endpoints() }
    }

    /// Builds the state of a listed worker, with its own announcement if that is still valid.
    fn listed_worker(&self, id: WorkerId, entry: ListedWorker, now: Micros) -> KnownWorker {
        let position = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let listed = if entry.draining { Lifecycle::Draining } else { Lifecycle::Ready };
        let announced = self.valid_announcement(id, listed, entry.started, now);
        let endpoint = Endpoint {
            worker: id,
            kind: position(&self.kinds, &entry.kind).map_or(u16::MAX, |index| index as u16),
            lifecycle: if announced.is_some() { Lifecycle::Draining } else { listed },
            zone: position(&self.zones, &entry.zone).map_or(u8::MAX, |index| index as u8),
            started: entry.started,
            cell: entry.cell,
            capacity: if entry.capacity > 0.0 { entry.capacity } else { 1.0 },
        };
        KnownWorker {
            name: entry.name,
            address: entry.address,
            endpoint,
            listed,
            announced,
            departed_at: None,
        }
    }

    /// Returns the worker's announcement if it is still valid: the list showed the worker ready before and now, the
    /// worker has not restarted, and the list may still lag behind.
    fn valid_announcement(
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

    fn mark_missing_gone(&mut self, seen: &BTreeSet<WorkerId>) {
        for (id, known) in &mut self.workers {
            if !seen.contains(id) {
                known.listed = Lifecycle::Gone;
                known.endpoint.lifecycle = Lifecycle::Gone;
                known.announced = None;
            }
        }
        // Gone workers are retained, up to a limit, so that their numbers and addresses stay known.
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
