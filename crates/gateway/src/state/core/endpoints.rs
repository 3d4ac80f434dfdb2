//! Endpoint updates: passed to the decision module and, if attempts wait for intents, to the intent recorder.

use super::super::Command;
use super::Core;
use crate::discovery::front_ends::Entry as FrontEnd;
use crate::shards::{OwnedShards, Shards};
use stagehoist::{EndpointUpdate, Event, Lifecycle, Micros, WorkerId};
use stagehoist_endpoints::{ListedWorker, Update, MAX_WORKERS};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How long a departed worker is remembered: far longer than an attempt may wait.
const GONE_RETENTION: Micros = 30_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    Draining,
    Departed,
}

/// Which workers are reported as draining or gone, and the changes that were not emitted yet.
#[derive(Debug, Default)]
pub(super) struct WorkerDrains {
    states: BTreeMap<WorkerId, State>,
    changes: Vec<(WorkerId, State)>,
    departed: VecDeque<(Micros, WorkerId)>,
}

impl WorkerDrains {
    fn on_change(&mut self, update: &Update) {
        if update.kind == EndpointUpdate::Full {
            let listed: std::collections::BTreeSet<WorkerId> =
                update.endpoints.iter().map(|r| r.worker).collect();
            let left =
                self.states.iter().filter(|(id, state)| **state != State::Departed && !listed.contains(id));
            let left: Vec<WorkerId> = left.map(|(id, _)| *id).collect();
            left.into_iter().for_each(|id| self.set(id, State::Departed));
        }
        for row in &update.endpoints {
            let state = match row.lifecycle {
                Lifecycle::Ready => State::Serving,
                Lifecycle::Gone => State::Departed,
                _ => State::Draining,
            };
            self.set(row.worker, state);
        }
    }

    fn set(&mut self, worker: WorkerId, state: State) {
        let before = self.states.insert(worker, state);
        // A new worker that serves is not a change worth reporting.
        if before != Some(state) && !(before.is_none() && state == State::Serving) {
            self.changes.push((worker, state));
        }
    }

    fn emit(&mut self, now: Micros, commands: &mut Vec<Command>) {
        for (worker, state) in std::mem::take(&mut self.changes) {
            let since = match state {
                State::Serving => None,
                State::Draining => Some(now),
                State::Departed => Some(Micros::MIN),
            };
            if state == State::Departed {
                self.departed.push_back((now, worker));
            }
            commands.push(Command::WorkerDraining { worker, since });
        }
        while self.departed.front().is_some_and(|(at, _)| now - at > GONE_RETENTION) {
            let Some((_, worker)) = self.departed.pop_front() else { return };
            if self.states.get(&worker) == Some(&State::Departed) {
                self.states.remove(&worker);
                commands.push(Command::WorkerDraining { worker, since: None });
            }
        }
    }
}

impl Core {
    /// Reports draining and departed workers, because attempts may wait for intents. Must be called before the first list.
    pub fn report_drains(&mut self) {
        self.drains = Some(WorkerDrains::default());
    }

    pub(super) fn emit_drains(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if let Some(drains) = self.drains.as_mut() {
            drains.emit(now, commands);
        }
    }

    /// Applies a full endpoint list. Workers beyond the maximum are left out, the same ones at every front end.
    pub(super) fn on_endpoint_list(&mut self, entries: Vec<ListedWorker>, now: Micros) {
        self.counters.endpoint_lists += 1;
        let update = self.endpoints.apply_list(entries, now);
        if let Some(left_out) = self.endpoints.take_new_omission() {
            let most = self.settings.max_workers.unwrap_or(MAX_WORKERS);
            tracing::warn!(
                left_out,
                most,
                "endpoint list exceeds workers-most; the last workers by name are left out"
            );
        }
        self.apply_endpoint_change(update, now);
    }

    /// Divides the fleet into shards: the decision module learns only of workers of owned shards. Must be called before
    /// the first list.
    pub fn set_shards(&mut self, shards: Option<Shards>) {
        self.shards = shards.map(Box::new);
    }

    /// In a divided fleet, returns the number of workers in owned shards, and of those draining because they left them.
    pub fn shard_workers(&self) -> Option<(usize, usize)> {
        self.shards.as_ref().map(|s| s.counts())
    }

    pub(super) fn shards_due(&self) -> Option<Micros> {
        self.shards.as_ref().and_then(|s| s.due())
    }

    /// Applies a full list of front ends. The decision module learns of the workers of newly owned shards before their calls
    /// are consumed.
    pub(super) fn on_front_end_list(
        &mut self,
        list: Option<Vec<FrontEnd>>,
        now: Micros,
        commands: &mut Vec<Command>,
    ) {
        // An empty list, which lacks even this front end, comes from a source that lost its data. If it were applied, every
        // front end would take all shards.
        let Some(list) = list.filter(|l| !l.is_empty()) else {
            self.counters.front_end_list_failures += 1;
            return;
        };
        let changed = self.shards.as_mut().and_then(|s| s.front_ends(&list, now));
        self.on_owned_shards(changed, now, commands);
    }

    /// Returns the number of other front ends listed, and of lists that changed the owned shards; None if no list is
    /// watched.
    pub fn listed_front_ends(&self) -> Option<(usize, u64)> {
        self.shards.as_ref()?.listed()
    }

    fn on_owned_shards(
        &mut self,
        changed: Option<(Vec<OwnedShards>, Update)>,
        now: Micros,
        commands: &mut Vec<Command>,
    ) {
        let Some((owned, update)) = changed else { return };
        self.pass_to_policy(update, now);
        commands.push(Command::ServeShards(owned.into()));
    }

    /// Releases shards whose handover is complete, and removes workers that left the owned shards a while ago.
    pub(super) fn expire(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let changed = self.shards.as_mut().and_then(|s| s.handed_over(now));
        self.on_owned_shards(changed, now, commands);
        if let Some(update) = self.shards.as_mut().and_then(|s| s.expired(now)) {
            self.pass_to_policy(update, now);
        }
    }

    pub(super) fn apply_endpoint_change(&mut self, update: Update, now: Micros) {
        let update = match self.shards.as_mut() {
            Some(shards) => shards.apply(update, |worker| self.endpoints.name(worker), now),
            None => update,
        };
        self.pass_to_policy(update, now);
    }

    /// Passes a worker update to the decision module, recovery, drain reports and pool admission.
    fn pass_to_policy(&mut self, update: Update, now: Micros) {
        if let Some(recovery) = self.recovery.as_mut() {
            recovery.on_endpoints(&update);
        }
        if update.kind != EndpointUpdate::Failed {
            tracing::debug!(rows = update.endpoints.len(), form = ?update.kind, "worker update passed to the decision module");
        }
        if let Some(drains) = self.drains.as_mut() {
            drains.on_change(&update);
        }
        if let Some(pool_admission) = self.pool_admission.as_mut() {
            pool_admission.on_capacity(self.endpoints.ready_capacity(), now);
        }
        self.events.push(Event::Endpoints { update: update.kind, endpoints: Rc::from(update.endpoints) });
    }

    /// Applies a worker's own announcement of whether it is draining.
    pub(super) fn on_announcement(&mut self, now: Micros, worker: WorkerId, draining: Option<bool>) {
        if let Some(update) = draining.and_then(|d| self.endpoints.on_announcement(worker, d, now)) {
            tracing::info!(
                worker = self.endpoints.name(worker),
                ?draining,
                "worker announced its drain state"
            );
            self.apply_endpoint_change(update, now);
        }
    }
}
