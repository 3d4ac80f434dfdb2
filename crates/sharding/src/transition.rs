//! Builds the endpoint updates for the decision module when a front end's subset of the workers changes. A worker
//! that leaves the subset is reported as draining, with the same row as a worker that drains by itself: it gets
//! no new calls, and attempts in flight finish. After a configured time it is reported as gone. A worker that
//! enters the subset is reported with its current lifecycle.

use stagehoist::{Endpoint, EndpointUpdate, Lifecycle, Micros, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint update for the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardUpdate {
    pub kind: EndpointUpdate,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug)]
struct Known {
    /// The worker's last row in the list.
    endpoint: Endpoint,
    /// When the worker left the subset, if it hasn't been reported as gone yet.
    left_at: Option<Micros>,
    is_owned: bool,
}

/// The workers reported to the module: those of the subset and those that drain after they left it.
#[derive(Clone, Debug)]
pub struct Transition {
    max_drain: Micros,
    known: BTreeMap<WorkerId, Known>,
    /// When each worker that left is reported as gone, in order of time.
    due: BTreeSet<(Micros, WorkerId)>,
}

impl Transition {
    /// Creates a transition that reports a worker as gone `drain_timeout` microseconds after it left; this must be
    /// longer than any attempt.
    pub fn new(drain_timeout: Micros) -> Transition {
        Transition { max_drain: drain_timeout, known: BTreeMap::new(), due: BTreeSet::new() }
    }

    /// Applies rows of the list, a full snapshot or a delta; `is_in_subset` returns whether a worker is in the subset.
    /// Workers outside of the subset are stored only while they are reported as draining, so the table holds at
    /// most the subset and the workers that left it recently.
    pub fn apply_list(
        &mut self,
        update: EndpointUpdate,
        rows: &[Endpoint],
        is_in_subset: impl Fn(WorkerId) -> bool,
        now: Micros,
    ) -> ShardUpdate {
        let mut reported: BTreeMap<WorkerId, Endpoint> = BTreeMap::new();
        for row in rows {
            if let Some(row) = self.apply_row(row, is_in_subset(row.worker), now) {
                reported.insert(row.worker, row);
            }
        }
        if matches!(update, EndpointUpdate::Delta | EndpointUpdate::Failed) {
            return ShardUpdate { kind: update, endpoints: reported.into_values().collect() };
        }
        let listed: BTreeSet<WorkerId> = rows.iter().map(|r| r.worker).collect();
        // A worker missing from the full snapshot is gone. A worker that left the subset and still drains is in the
        // snapshot, so it was reported above.
        let gone: Vec<WorkerId> = self.known.keys().filter(|w| !listed.contains(w)).copied().collect();
        gone.into_iter().for_each(|w| self.forget(w));
        ShardUpdate { kind: update, endpoints: reported.into_values().collect() }
    }

    /// Applies a change of the subset while the list is unchanged. `entered` holds the list's rows of workers now in
    /// the subset; `left` holds the workers no longer in it.
    pub fn apply_move(&mut self, entered: &[Endpoint], left: &[WorkerId], now: Micros) -> ShardUpdate {
        let mut rows = Vec::with_capacity(entered.len() + left.len());
        for worker in left {
            let Some(row) = self.known.get(worker).map(|k| k.endpoint.clone()) else { continue };
            rows.extend(self.apply_row(&row, false, now));
        }
        for row in entered {
            rows.extend(self.apply_row(row, true, now));
        }
        ShardUpdate { kind: EndpointUpdate::Delta, endpoints: rows }
    }

    /// Returns when [`Transition::expire`] next has workers to report as gone.
    pub fn due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Reports workers as gone whose drain time has elapsed; `None` if there are none.
    pub fn expire(&mut self, now: Micros) -> Option<ShardUpdate> {
        let mut rows = Vec::new();
        while let Some((_, worker)) = self.due.first().copied().filter(|d| d.0 <= now) {
            let row = self.known.get(&worker).map(|k| k.endpoint.clone());
            self.forget(worker);
            rows.extend(row.map(|row| Endpoint { lifecycle: Lifecycle::Gone, ..row }));
        }
        (!rows.is_empty()).then_some(ShardUpdate { kind: EndpointUpdate::Delta, endpoints: rows })
    }

    /// Returns the number of workers in the subset and of those that drain because they left it.
    pub fn counts(&self) -> (usize, usize) {
        (self.known.len() - self.due.len(), self.due.len())
    }

    /// Applies one row of the list; returns the row to report, if any.
    fn apply_row(&mut self, row: &Endpoint, is_in_subset: bool, now: Micros) -> Option<Endpoint> {
        let worker = row.worker;
        if row.lifecycle == Lifecycle::Gone {
            let known = self.known.contains_key(&worker);
            self.forget(worker);
            return known.then(|| row.clone());
        }
        if is_in_subset {
            self.forget(worker);
            self.known.insert(worker, Known { endpoint: row.clone(), left_at: None, is_owned: is_in_subset });
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
