//! Tracks which view a front end has confirmed, and which workers may hold copies of retired functions. Without I/O.

use super::egress::EgressCheck;
use super::names::parse_internal_name;
use stagehoist::{Micros, RequestId, WorkerId};
use stagehoist_cluster_state::{TombstoneState, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Maximum number of recorded copies, over all functions.
const MAX_COPIES: usize = 20_000;
/// How often to check whether answers on their way have been sent, while a view waits to be confirmed.
const POLL_INTERVAL: Micros = 2_000;

/// The calls and answers that must end before a view can be confirmed: only those that existed when the view was
/// received, as no new ones are admitted under it.
struct Pending {
    version: Version,
    calls: Vec<RequestId>,
    functions: BTreeSet<Rc<str>>,
}

/// A front end's membership in the fleet.
pub struct FleetMembership {
    pub egress: EgressCheck,
    confirmed: Version,
    pending: Option<Pending>,
    check_at: Option<Micros>,
    copies: BTreeMap<Rc<str>, BTreeSet<WorkerId>>,
    copy_count: usize,
    /// Generation of each known tombstone and whether it is in force, to log each state once.
    logged: BTreeMap<String, (u32, bool)>,
    /// Number of calls answered as retired.
    pub rejected_calls: u64,
}

impl FleetMembership {
    /// Creates a membership that has confirmed no view yet.
    pub fn new(egress: EgressCheck) -> FleetMembership {
        let (copies, logged_states) = (BTreeMap::new(), BTreeMap::new());
        FleetMembership {
            egress,
            confirmed: 0,
            pending: None,
            check_at: None,
            copies,
            copy_count: 0,
            logged: logged_states,
            rejected_calls: 0,
        }
    }

    /// Returns the newest confirmed view.
    pub fn confirmed(&self) -> Version {
        self.confirmed
    }

    /// Returns when [`FleetMembership::confirm`] is to be called even without an event.
    pub fn due(&self) -> Option<Micros> {
        self.check_at
    }

    /// Handles an applied view; `in_progress` are the calls in progress under its tombstones, with their internal
    /// names. While a view waits for its confirmation, newer views do not replace it, so that a stream of views can't
    /// delay confirmation forever.
    pub fn applied(&mut self, in_progress: Vec<(RequestId, Rc<str>)>) {
        let version = self.egress.gate().view().version;
        if self.pending.is_some() || version <= self.confirmed {
            return;
        }
        let (calls, mut functions): (Vec<_>, BTreeSet<_>) = in_progress.into_iter().unzip();
        let gate = self.egress.gate();
        functions.extend(self.egress.answering().into_iter().filter(|inner| gate.retired(inner).is_some()));
        drop(gate);
        self.pending = Some(Pending { version, calls, functions });
    }

    /// Returns whether the pending view is now confirmed; `is_open` returns whether a call is still in progress.
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

    /// Records that a worker has a copy, as far as is known.
    pub fn record_copy(&mut self, inner: &Rc<str>, worker: WorkerId) {
        if let Some(workers) = self.copies.get_mut(inner) {
            if workers.contains(&worker) || self.copy_count >= MAX_COPIES {
                return;
            }
            workers.insert(worker);
        } else if self.copy_count < MAX_COPIES {
            self.copies.insert(inner.clone(), BTreeSet::from([worker]));
        } else {
            return;
        }
        self.copy_count += 1;
    }

    /// Returns the copies of functions whose retirement is in force, each once.
    pub fn take_unloads(&mut self) -> Vec<(WorkerId, Rc<str>)> {
        let mut unload = Vec::new();
        let gate = self.egress.gate();
        let view = gate.view();
        self.copies.retain(|inner, workers| {
            let (name, generation) = parse_internal_name(inner);
            let tombstone = view.retired(name, generation);
            let in_force = tombstone.is_some_and(|t| matches!(t.state, TombstoneState::InForce { .. }));
            if in_force {
                unload.extend(workers.iter().map(|w| (*w, inner.clone())));
            }
            !in_force
        });
        self.copy_count -= unload.len();
        unload
    }

    /// Logs each new state of a retirement once.
    pub fn log(&mut self) {
        let gate = self.egress.gate();
        let tombstones = &gate.view().tombstones;
        self.logged.retain(|name, _| tombstones.contains_key(name));
        for (name, tombstone) in tombstones {
            let generation = tombstone.retirement.generation;
            let in_force = matches!(tombstone.state, TombstoneState::InForce { .. });
            if self.logged.insert(name.clone(), (generation, in_force)) != Some((generation, in_force)) {
                let state = if in_force { "in-force" } else { "proposed" };
                tracing::info!(function = name, generation, state, "state of function retirement changed");
            }
        }
    }
}
