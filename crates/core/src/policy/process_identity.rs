//! Process identity: whether the process at a worker's address is known to be the worker that the endpoint list names.
//!
//! A new process may listen at the address of one that has gone, and it belongs to another cell or zone. An answer proves
//! that some process is there, not which one. Which one follows from the list: a connection that was established while
//! the list named the worker, and up to which the list is known to contain every change, leads to that worker for as long
//! as it stays open.
//!
//! Requests of a class whose idempotency keys only a cell or a zone shares depend on this (rule 2). Once one of them may
//! have run, it is sent again only if the process that ran it is known, and only on a connection to a known process. Until
//! then it waits for the list.

use super::call::{AttemptRecord, CallGroup, Execution, KeyGroup, PendingCall, ReachedProcess};
use super::placement::Placement;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;

/// A period over which the endpoint list is known to have named one process of a worker.
#[derive(Clone, Copy)]
struct ListedPeriod {
    /// Since when it has named the worker.
    listed_since: Micros,
    /// Since when it has named the process.
    process_since: Micros,
    until: Micros,
}

impl ListedPeriod {
    /// Whether the attempt was sent after the list named the process, on a connection that was established while it did.
    fn covers(self, attempt: &AttemptRecord) -> bool {
        let ReachedProcess::ConnectedBy(connected_by) = attempt.process else { return false };
        attempt.sent_at >= self.process_since && (self.listed_since..=self.until).contains(&connected_by)
    }
}

impl FrontEnd {
    /// Whether the workers that drop the repeats of a class are those of one cell or zone.
    pub(super) fn depends_on_key_group(&self, class: u16) -> bool {
        let effect = self.settings.classes[class as usize].effect;
        matches!(
            effect,
            Effect::IdempotentWithKey { scope: DeduplicationScope::Cell | DeduplicationScope::Zone, .. }
        )
    }

    /// Whether the request may be sent again only to a worker whose process is known.
    pub(super) fn needs_known_process(&self, call: &PendingCall) -> bool {
        self.depends_on_key_group(call.request.class) && !call.never_ran()
    }

    /// Whether the source of the list reports up to when it is complete. If not, each process counts as the listed one.
    pub(super) fn is_completeness_reported(&self) -> bool {
        self.list_validity.complete_at < Micros::MAX
    }

    /// Returns the time by which a connection must be established to lead to the listed worker, or `None` if no
    /// connection to it is known to do so.
    pub(super) fn known_connection(&self, worker: &Worker) -> Option<Micros> {
        if !self.is_completeness_reported() {
            return Some(Micros::MAX);
        }
        let complete_at = self.list_validity.complete_at;
        let connected_since = worker.confirmation.connected_since?;
        (worker.listed_since..=complete_at).contains(&connected_since).then_some(complete_at)
    }

    /// Returns the period over which the list is known to have named the present process of a worker, or the last one.
    fn listed_period(&self, worker: WorkerId) -> Option<ListedPeriod> {
        let &index = self.worker_index.get(&worker)?;
        let worker = &self.workers[index];
        let is_listed = worker.endpoint.lifecycle != Lifecycle::Gone;
        Some(ListedPeriod {
            listed_since: worker.listed_since,
            process_since: worker.listed_since.max(worker.start_reported_at),
            until: if is_listed { self.list_validity.complete_at } else { worker.listed_until },
        })
    }

    /// Whether the process that an attempt reached is known to be the worker that the list named.
    fn reached_known_process(&self, attempt: &AttemptRecord) -> bool {
        attempt.process == ReachedProcess::Known
            || self.listed_period(attempt.worker).is_some_and(|period| period.covers(attempt))
    }

    /// Records what the end of an attempt shows of the process that it reached. A process that is known by now remains
    /// known, whatever the list reports of its worker later.
    pub(super) fn record_reached_process(&mut self, end: &AttemptEnd, now: Micros) {
        let period = self.listed_period(end.worker);
        let Some(call) = self.pending.get_mut(&end.request) else { return };
        let Some(attempt) = call.attempts.get_mut(end.attempt as usize) else { return };
        if attempt.process == ReachedProcess::Known {
            return;
        }
        attempt.process = ReachedProcess::ConnectedBy(end.connected_at.min(now));
        if period.is_some_and(|period| period.covers(attempt)) {
            attempt.process = ReachedProcess::Known;
        }
    }

    /// Rule 2: whether the worker is within the deduplication scope of the earlier attempts that may have run.
    pub(super) fn is_in_scope(&self, call: &PendingCall, worker: &Worker) -> bool {
        let effect = self.settings.classes[call.request.class as usize].effect;
        let Effect::IdempotentWithKey { scope, .. } = effect else { return true };
        if scope == DeduplicationScope::All {
            return true;
        }
        let group = KeyGroup::of(&worker.endpoint);
        let is_in_group = |attempt: &AttemptRecord| {
            attempt.key_group.shares_keys(group, scope) && self.reached_known_process(attempt)
        };
        call.attempts.iter().all(|attempt| attempt.execution == Execution::NeverRan || is_in_group(attempt))
    }

    /// Considers the requests again that may wait for a known process, once the list is complete up to a later time.
    pub(super) fn reconsider_awaiting_process(&mut self) {
        let groups = self.queued_by_group.keys();
        let awaiting = groups.filter(|group| group.is_retry && self.depends_on_key_group(group.class));
        let awaiting: Vec<CallGroup> = awaiting.copied().collect();
        self.changed_groups.extend(awaiting);
    }

    /// Opens a connection to the worker that a request could be sent to once the list is complete up to a later time.
    /// There may be none to any worker of its cell.
    pub(super) fn connect_for_retry(
        &mut self,
        id: RequestId,
        placement: &Placement,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Placement::AwaitKnownProcess { worker_index, .. } = *placement else { return };
        let confirmation = &self.workers[worker_index].confirmation;
        let lacks_connection = confirmation.connected_since.is_none() && now >= confirmation.next_check_at;
        if self.settings.may_health_check && lacks_connection && !self.is_list_old(now) {
            self.start_check(worker_index, Some(id), now, actions);
        }
    }
}

impl Worker {
    /// Updates since when, and until when, the endpoint list names the worker, before its new state is stored.
    /// `complete_at` is the time up to which the list contained every change before this update.
    pub(super) fn record_listing(&mut self, lifecycle: Lifecycle, complete_at: Micros, now: Micros) {
        let was_gone = self.endpoint.lifecycle == Lifecycle::Gone;
        let is_gone = lifecycle == Lifecycle::Gone;
        if is_gone && !was_gone {
            self.listed_until = complete_at;
        }
        if was_gone && !is_gone {
            self.listed_since = now;
        }
    }
}
