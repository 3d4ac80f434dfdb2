//! Which view a front end has confirmed, and which workers may hold copies of what is retired. Without I/O.

use super::desk::Desk;
use super::names::outer_name;
use stagehoist::{Micros, RequestId, WorkerId};
use stagehoist_cluster_state::{State, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Workers with copies that are remembered, over all functions.
const COPIES_MOST: usize = 20_000;
/// How often it is looked whether answers on their way have left, while a view waits to be confirmed.
const LOOK: Micros = 2_000;

/// What waits before a view can be confirmed: only what was here when it came, as nothing new is let in under it.
struct Pending {
    version: Version,
    calls: Vec<RequestId>,
    functions: BTreeSet<Rc<str>>,
}

/// A front end's part in the fleet.
pub struct Part {
    pub desk: Desk,
    confirmed: Version,
    pending: Option<Pending>,
    look: Option<Micros>,
    copies: BTreeMap<Rc<str>, BTreeSet<WorkerId>>,
    remembered: usize,
    /// Tombstones that were seen, and whether in force, to log each state once.
    seen: BTreeMap<String, (u32, bool)>,
    /// Calls answered as retired.
    pub answered: u64,
}

impl Part {
    pub fn new(desk: Desk) -> Part {
        let (copies, seen) = (BTreeMap::new(), BTreeMap::new());
        Part { desk, confirmed: 0, pending: None, look: None, copies, remembered: 0, seen, answered: 0 }
    }

    /// The newest view that holds here.
    pub fn confirmed(&self) -> Version {
        self.confirmed
    }

    /// When [`Part::confirm`] is to be asked again though nothing came.
    pub fn due(&self) -> Option<Micros> {
        self.look
    }

    /// A view is applied; `at_work` are the calls at work under its tombstones, with their inner names. Of several views the
    /// first is confirmed first, so that a stream of them can't put off the confirming for ever.
    pub fn applied(&mut self, at_work: Vec<(RequestId, Rc<str>)>) {
        let version = self.desk.gate().view().version;
        if self.pending.is_some() || version <= self.confirmed {
            return;
        }
        let (calls, mut functions): (Vec<_>, BTreeSet<_>) = at_work.into_iter().unzip();
        let gate = self.desk.gate();
        functions.extend(self.desk.leaving().into_iter().filter(|inner| gate.retired(inner).is_some()));
        drop(gate);
        self.pending = Some(Pending { version, calls, functions });
    }

    /// Whether the view that waited is now confirmed; `is_open` tells which calls are still at work.
    pub fn confirm(&mut self, now: Micros, is_open: impl Fn(RequestId) -> bool) -> bool {
        let Some(pending) = self.pending.as_mut() else { return false };
        pending.calls.retain(|call| is_open(*call));
        let desk = &self.desk;
        if pending.calls.is_empty() && !desk.is_any_leaving_of(&pending.functions) {
            self.confirmed = pending.version;
            (self.pending, self.look) = (None, None);
            return true;
        }
        self.look = Some(now + LOOK);
        false
    }

    /// A worker has a copy, as far as is known.
    pub fn has_copy(&mut self, inner: &Rc<str>, worker: WorkerId) {
        if let Some(workers) = self.copies.get_mut(inner) {
            if workers.contains(&worker) || self.remembered >= COPIES_MOST {
                return;
            }
            workers.insert(worker);
        } else if self.remembered < COPIES_MOST {
            self.copies.insert(inner.clone(), BTreeSet::from([worker]));
        } else {
            return;
        }
        self.remembered += 1;
    }

    /// Copies of functions whose retirement is in force, each told once.
    pub fn to_unload(&mut self) -> Vec<(WorkerId, Rc<str>)> {
        let mut unload = Vec::new();
        let gate = self.desk.gate();
        let view = gate.view();
        self.copies.retain(|inner, workers| {
            let (name, generation) = outer_name(inner);
            let tombstone = view.retired(name, generation);
            let over = tombstone.is_some_and(|t| matches!(t.state, State::InForce { .. }));
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
        let gate = self.desk.gate();
        let tombstones = &gate.view().tombstones;
        self.seen.retain(|name, _| tombstones.contains_key(name));
        for (name, tombstone) in tombstones {
            let generation = tombstone.retirement.generation;
            let in_force = matches!(tombstone.state, State::InForce { .. });
            if self.seen.insert(name.clone(), (generation, in_force)) != Some((generation, in_force)) {
                let state = if in_force { "in-force" } else { "proposed" };
                tracing::info!(function = name, generation, state, "retired");
            }
        }
    }
}
