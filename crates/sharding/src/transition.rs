//! What the decision module is notified of the workers when a front end's subset of them changes. A worker that
//! leaves the subset drains there, by the same row as a worker that drains by itself, so that nothing new
//! goes to it and what is out ends; after a told time it is gone. One that comes in is reported as it stands.

use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Rows for the module.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardUpdate {
    pub kind: EndpointUpdate,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug)]
struct Known {
    /// As the list has it.
    endpoint: Endpoint,
    /// When it left the subset, where it was reported before and has not yet been told gone.
    left_at: Option<Micros>,
    is_owned: bool,
}

/// The workers that the module was notified of, those of the subset and those that left it.
#[derive(Clone, Debug)]
pub struct Transition {
    max_drain: Micros,
    known: BTreeMap<WorkerId, Known>,
    /// When those that left are told gone, in order.
    due: BTreeSet<(Micros, WorkerId)>,
}

impl Transition {
    /// A worker that left is reported gone after `drain_most`, in microseconds: longer than any attempt lasts.
    pub fn new(drain_most: Micros) -> Transition {
        Transition { max_drain: drain_most, known: BTreeMap::new(), due: BTreeSet::new() }
    }

    /// Rows as the list tells them, whole or what changed, of which `mine` says which are of the subset. Of
    /// workers outside of it nothing is kept but for those that drain here; so the table is at most the
    /// subset and what left it of late.
    pub fn apply_list(
        &mut self,
        form: EndpointUpdate,
        rows: &[Endpoint],
        mine: impl Fn(WorkerId) -> bool,
        now: Micros,
    ) -> ShardUpdate {
        let mut told: BTreeMap<WorkerId, Endpoint> = BTreeMap::new();
        for row in rows {
            if let Some(row) = self.row(row, mine(row.worker), now) {
                told.insert(row.worker, row);
            }
        }
        if matches!(form, EndpointUpdate::Delta | EndpointUpdate::Failed) {
            return ShardUpdate { kind: form, endpoints: told.into_values().collect() };
        }
        let listed: BTreeSet<WorkerId> = rows.iter().map(|r| r.worker).collect();
        // What the whole list leaves out is gone; what left the subset and isn't due yet is in the list, so
        // it was reported above.
        let gone: Vec<WorkerId> = self.known.keys().filter(|w| !listed.contains(w)).copied().collect();
        gone.into_iter().for_each(|w| self.forget(w));
        ShardUpdate { kind: form, endpoints: told.into_values().collect() }
    }

    /// The subset changed, the list did not. `entered` are rows, as the list has them, of workers now in the
    /// subset; `left` are those no longer in it.
    pub fn apply_move(&mut self, entered: &[Endpoint], left: &[WorkerId], now: Micros) -> ShardUpdate {
        let mut rows = Vec::with_capacity(entered.len() + left.len());
        for worker in left {
            let Some(row) = self.known.get(worker).map(|k| k.endpoint.clone()) else { continue };
            rows.extend(self.row(&row, false, now));
        }
        for row in entered {
            rows.extend(self.row(row, true, now));
        }
        ShardUpdate { kind: EndpointUpdate::Delta, endpoints: rows }
    }

    /// When [`Transition::expire`] next has something to tell.
    pub fn due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Tells gone what left long enough ago; None: nothing.
    pub fn expire(&mut self, now: Micros) -> Option<ShardUpdate> {
        let mut rows = Vec::new();
        while let Some((_, worker)) = self.due.first().copied().filter(|d| d.0 <= now) {
            let row = self.known.get(&worker).map(|k| k.endpoint.clone());
            self.forget(worker);
            rows.extend(row.map(|row| Endpoint { lifecycle: Lifecycle::Gone, ..row }));
        }
        (!rows.is_empty()).then_some(ShardUpdate { kind: EndpointUpdate::Delta, endpoints: rows })
    }

    /// Workers of the subset, and those that drain as they left it.
    pub fn counts(&self) -> (usize, usize) {
        (self.known.len() - self.due.len(), self.due.len())
    }

    /// Takes in one row of the list; gives the row to tell, where there is one.
    fn row(&mut self, row: &Endpoint, mine: bool, now: Micros) -> Option<Endpoint> {
        let worker = row.worker;
        if row.lifecycle == Lifecycle::Gone {
            let known = self.known.contains_key(&worker);
            self.forget(worker);
            return known.then(|| row.clone());
        }
        if mine {
            self.forget(worker);
            self.known.insert(worker, Known { endpoint: row.clone(), left_at: None, is_owned: mine });
            return Some(row.clone());
        }
        let known = self.known.get_mut(&worker)?;
        if known.is_owned {
            known.left_at = Some(now);
            self.due.insert((now + self.max_drain, worker));
        }
        (known.endpoint, known.is_owned) = (row.clone(), false);
        Some(Endpoint { lifecycle: Lifecycle::Draining, ..row.clone() })
    }

    fn forget(&mut self, worker: WorkerId) {
        if let Some(left) = self.known.remove(&worker).and_then(|k| k.left_at) {
            self.due.remove(&(left + self.max_drain, worker));
        }
    }
}
