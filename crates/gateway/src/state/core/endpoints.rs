//! What is heard of workers: told to the module, and where attempts wait for intents, to those who hold them.

use super::super::Command;
use super::Core;
use crate::discovery::front_ends::Entry as FrontEnd;
use crate::shards::{OwnedShards, Shards};
use stagehoist::{EndpointUpdate, Event, Lifecycle, Micros, WorkerId};
use stagehoist_endpoints::{ListedWorker, Update, MAX_WORKERS};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How long one that is gone is remembered: far longer than an attempt may wait.
const GONE_RETENTION: Micros = 30_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    Draining,
    Departed,
}

/// Which workers drain or are gone, as far as was reported, and what of it is inputs.
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
        // One that is met as it serves is no inputs.
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
    /// Attempts may wait for intents: who holds them is informed which workers leave. Before the first list.
    pub fn report_drains(&mut self) {
        self.drains = Some(WorkerDrains::default());
    }

    pub(super) fn emit_drains(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if let Some(leaving) = self.drains.as_mut() {
            leaving.emit(now, commands);
        }
    }

    /// A whole list came; what is over the bound is left out, at every front end the same.
    pub(super) fn on_endpoint_list(&mut self, entries: Vec<ListedWorker>, now: Micros) {
        self.counters.endpoint_lists += 1;
        let update = self.endpoints.apply_list(entries, now);
        if let Some(left_out) = self.endpoints.take_new_omission() {
            let most = self.settings.max_workers.unwrap_or(MAX_WORKERS);
            tracing::warn!(
                left_out,
                most,
                "the list has more workers than workers-most; the last by name are left out"
            );
        }
        self.apply_endpoint_change(update, now);
    }

    /// The fleet is divided: the module is notified of the workers of own shards alone. Before the first list.
    pub fn set_shards(&mut self, shards: Option<Shards>) {
        self.shards = shards.map(Box::new);
    }

    /// In a divided fleet: workers of own shards, and those that drain as they left them.
    pub fn shard_workers(&self) -> Option<(usize, usize)> {
        self.shards.as_ref().map(|s| s.counts())
    }

    pub(super) fn shards_due(&self) -> Option<Micros> {
        self.shards.as_ref().and_then(|s| s.due())
    }

    /// A whole list of front ends came; workers of own shards are told before calls of them come.
    pub(super) fn on_front_end_list(
        &mut self,
        list: Option<Vec<FrontEnd>>,
        now: Micros,
        commands: &mut Vec<Command>,
    ) {
        // One that names nobody, not even this front end, is a source that lost what it knew: all would take all shards.
        let Some(list) = list.filter(|l| !l.is_empty()) else {
            self.counters.front_end_list_failures += 1;
            return;
        };
        let changed = self.shards.as_mut().and_then(|s| s.front_ends(&list, now));
        self.on_owned_shards(changed, now, commands);
    }

    /// Other front ends counted, and lists that changed own shards, where one is followed.
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

    /// Workers that left own shards are gone after a while, as are shards that were handed over.
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

    /// Tells the module of workers, and all who have to know of them.
    fn pass_to_policy(&mut self, update: Update, now: Micros) {
        if let Some(recovery) = self.recovery.as_mut() {
            recovery.on_endpoints(&update);
        }
        if update.kind != EndpointUpdate::Failed {
            tracing::debug!(rows = update.endpoints.len(), form = ?update.kind, "workers");
        }
        if let Some(leaving) = self.drains.as_mut() {
            leaving.on_change(&update);
        }
        if let Some(entrance) = self.pool_admission.as_mut() {
            entrance.on_capacity(self.endpoints.ready_capacity(), now);
        }
        self.events.push(Event::Endpoints { update: update.kind, endpoints: Rc::from(update.endpoints) });
    }

    /// A worker said of itself whether it drains.
    pub(super) fn on_announcement(&mut self, now: Micros, worker: WorkerId, draining: Option<bool>) {
        if let Some(update) = draining.and_then(|d| self.endpoints.on_announcement(worker, d, now)) {
            tracing::info!(worker = self.endpoints.name(worker), ?draining, "worker announced");
            self.apply_endpoint_change(update, now);
        }
    }
}
