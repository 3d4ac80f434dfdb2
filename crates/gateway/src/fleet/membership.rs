//! Which view a front end has confirmed, and which workers may hold copies of what is retired. Without I/O.

use super::egress::EgressCheck;
use super::names::outer_name;
use stagehoist::{Micros, RequestId, WorkerId};
use stagehoist_cluster_state::{TombstoneState, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Workers with copies that are remembered, over all functions.
const MAX_COPIES: usize = 20_000;
/// How often it is looked whether answers on their way have left, while a view waits to be confirmed.
const POLL_INTERVAL: Micros = 2_000;

/// What waits before a view can be confirmed: only what was here when it came, as nothing new is admitted under it.
struct Pending {
    version: Version,
    calls: Vec<RequestId>,
    functions: BTreeSet<Rc<str>>,
}

/// A front end's part in the fleet.
pub struct FleetMembership {
    pub egress: EgressCheck,
    confirmed: Version,
    pending: Option<Pending>,
    check_at: Option<Micros>,
    copies: BTreeMap<Rc<str>, BTreeSet<WorkerId>>,
    remembered: usize,
    /// Tombstones that were seen, and whether in force, to log each state once.
    logged: BTreeMap<String, (u32, bool)>,
    /// Calls answered as retired.
    pub rejected_calls: u64,
}

impl FleetMembership {
    /// A membership that has confirmed no view yet.
    pub fn new(egress: EgressCheck) -> FleetMembership {
        let (copies, seen) = (BTreeMap::new(), BTreeMap::new());
        FleetMembership {
            egress,
            confirmed: 0,
            pending: None,
            check_at: None,
            copies,
            remembered: 0,
            logged: seen,
            rejected_calls: 0,
        }
    }

    /// The newest view that holds here.
    pub fn confirmed(&self) -> Version {
        self.confirmed
    }

    /// When [`FleetMembership::confirm`] is to be asked again though nothing came.
    pub fn due(&self) -> Option<Micros> {
        self.check_at
    }

    /// A view is applied; `at_work` are the calls in progress under its tombstones, with their inner names. Of several views the
    /// first is confirmed first, so that a stream of them can't put off the confirming for ever.
    pub fn applied(&mut self, at_work: Vec<(RequestId, Rc<str>)>) {
        let version = self.egress.gate().view().version;
        if self.pending.is_some() || version <= self.confirmed {
            return;
        }
        let (calls, mut functions): (Vec<_>, BTreeSet<_>) = at_work.into_iter().unzip();
        let gate = self.egress.gate();
        functions.extend(self.egress.answering().into_iter().filter(|inner| gate.retired(inner).is_some()));
        drop(gate);
        self.pending = Some(Pending { version, calls, functions });
    }

    /// Whether the view that waited is now confirmed; `is_open` tells which calls are still in progress.
    pub fn confirm(&mut self, now: Micros, is_open: impl Fn(RequestId) -> bool) -> bool {
        let Some(pending) = self.pending.as_mut() else { return false };
        pending.calls.retain(|call| is_open(*call));
        let egress = &self.egress;
        if pending.calls.is_empty() && !egress.is_answering_any(&pending.functions) {
            self.confirmed = pending.version;
            (self.pending, self.check_at) = (None, None);
            return true;
        }
        self.check_at = Some(now + POLL_INTERVAL);
        false
    }

    /// A worker has a copy, as far as is known.
    pub fn has_copy(&mut self, inner: &Rc<str>, worker: WorkerId) {
        if let Some(workers) = self.copies.get_mut(inner) {
            if workers.contains(&worker) || self.remembered >= MAX_COPIES {
                return;
            }
            workers.insert(worker);
        } else if self.remembered < MAX_COPIES {
            self.copies.insert(inner.clone(), BTreeSet::from([worker]));
        } else {
            return;
        }
        self.remembered += 1;
    }

    /// Copies of functions whose retirement is in force, each told once.
    pub fn to_unload(&mut self) -> Vec<(WorkerId, Rc<str>)> {
        let mut unload = Vec::new();
        let gate = self.egress.gate();
        let view = gate.view();
        self.copies.retain(|inner, workers| {
            let (name, generation) = outer_name(inner);
            let tombstone = view.retired(name, generation);
            let over = tombstone.is_some_and(|t| matches!(t.state, TombstoneState::InForce { .. }));
            if over {
                unload.extend(workers.iter().map(|w| (*w, inner.clone())));
            }
            !over
        });
        self.remembered -= unload.len();
        unload
    }

    /// Logs each state that a retirement comes to, once.
    pub fn log(&mut self) {
        let gate = self.egress.gate();
        let tombstones = &gate.view().tombstones;
        self.logged.retain(|name, _| tombstones.contains_key(name));
        for (name, tombstone) in tombstones {
            let generation = tombstone.retirement.generation;
            let in_force = matches!(tombstone.state, TombstoneState::InForce { .. });
            if self.logged.insert(name.clone(), (generation, in_force)) != Some((generation, in_force)) {
                let state = if in_force { "in-force" } else { "proposed" };
                tracing::info!(function = name, generation, state, "retired");
            }
        }
    }
}
