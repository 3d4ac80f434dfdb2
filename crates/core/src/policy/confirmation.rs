//! Confirmation: which workers may get new work while the endpoint list is old (rule 3).
//!
//! The source of an endpoint list guarantees it up to a time
//! ([`Event::EndpointListValid`](crate::Event::EndpointListValid)); this front end may have missed changes after that
//! time. Once that time and the drain grace have passed, a worker gets new requests and load orders only if it was
//! confirmed within the grace: by a health check that it passed, or by an attempt that it examined. A confirmation
//! counts from the time at which the check or attempt was sent, as its answer proves only that the worker accepted work
//! at some time after that. If a request is placed on an unconfirmed worker, the worker is health-checked, which is not
//! new work; the request waits for the result or is sent to another worker. Front ends without requests check no worker.
//!
//! The source may report changes late without knowing it. A worker that rejects an attempt for lack of capacity may be
//! draining, so the list does not confirm it until it is known to contain every change up to the rejection.
//!
//! A failed check does not prove that the worker is draining: a draining worker fails all checks, but one without free
//! capacity fails some. A worker that fails several checks in a row is withdrawn: between checks it is treated as
//! unlisted, until it passes one.

use super::call::CallGroup;
use super::estimates::Estimates;
use super::list_validity::ListValidity;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;
use std::collections::BTreeSet;

/// Part of the drain grace that is reserved for the transit to the worker's socket.
const TRANSIT_MARGIN_DIVISOR: Micros = 8;
/// Minimum lifetime of a confirmation, in clock ticks.
pub(super) const MIN_LIFETIME_TICKS: Micros = 10;
/// Failed checks in a row after which a worker is withdrawn.
pub(super) const WITHDRAWAL_FAILURES: u32 = 2;

/// The confirmation state of a worker.
#[derive(Default)]
pub(super) struct Confirmation {
    /// Send time of the latest check or attempt that shows that the worker accepts work; 0 if there is none.
    pub confirmed_at: Micros,
    /// When the check in progress started.
    pub check_started_at: Option<Micros>,
    /// Number of consecutive checks that the worker failed or left unanswered.
    pub failures: u32,
    /// When the worker failed the first of these checks.
    pub failing_since: Micros,
    /// The worker is not checked again before this time.
    pub next_check_at: Micros,
    /// When the end of the latest attempt arrived that the worker rejected for lack of capacity.
    pub rejected_at: Option<Micros>,
    /// When the oldest open connection was established.
    pub connected_since: Option<Micros>,
    /// Groups of the queued requests that wait for the check.
    pub waiting: BTreeSet<CallGroup>,
}

impl Confirmation {
    /// Whether a check is in progress, failed, or is paused.
    pub fn is_unconfirmed(&self, now: Micros) -> bool {
        self.check_started_at.is_some() || self.failures > 0 || self.next_check_at >= now
    }

    /// Clears earlier failures, because a new endpoint list contains the worker.
    pub fn clear_failures(&mut self) {
        self.failures = 0;
        self.next_check_at = 0;
    }
}

/// Whether a worker may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConfirmationStatus {
    Confirmed,
    /// Not confirmed; a check may be started or is in progress.
    Checkable,
    /// Not confirmed, and either its check takes too long or the next one is paused.
    Barred,
}

impl FrontEnd {
    /// Returns how long a confirmation is valid.
    pub(super) fn confirmation_lifetime(&self) -> Micros {
        let grace = self.settings.drain_grace;
        (grace - grace / TRANSIT_MARGIN_DIVISOR).max(MIN_LIFETIME_TICKS * self.settings.tick)
    }

    /// Returns the time up to which new work may be written to a worker's connection.
    pub(super) fn confirmed_until(&self, worker: &Worker) -> Micros {
        let valid_from = self.list_confirms_until(worker).max(worker.confirmation.confirmed_at);
        valid_from.saturating_add(self.confirmation_lifetime())
    }

    /// Returns the time up to which the list confirms a worker; 0 if the worker rejected an attempt and the list may lack
    /// a drain that caused this.
    fn list_confirms_until(&self, worker: &Worker) -> Micros {
        let ListValidity { until, complete_at, .. } = self.list_validity;
        let may_lack_drain =
            worker.confirmation.rejected_at.is_some_and(|rejected_at| complete_at < rejected_at);
        if may_lack_drain {
            0
        } else {
            until
        }
    }

    /// Whether a worker is confirmed, by the list or by itself, and may get new work now.
    pub(super) fn is_confirmed(&self, worker: &Worker, now: Micros) -> bool {
        now <= self.confirmed_until(worker)
    }

    /// Returns whether a worker is confirmed, can be checked, or is barred.
    pub(super) fn confirmation_status(&self, worker: &Worker, now: Micros) -> ConfirmationStatus {
        let confirmation = &worker.confirmation;
        if self.is_confirmed(worker, now) {
            return ConfirmationStatus::Confirmed;
        }
        let can_wait = match confirmation.check_started_at {
            Some(check_started_at) => {
                now - check_started_at <= self.check_wait() || now - check_started_at > self.check_timeout()
            }
            None => now >= confirmation.next_check_at,
        };
        if self.settings.may_health_check && can_wait {
            ConfirmationStatus::Checkable
        } else {
            ConfirmationStatus::Barred
        }
    }

    /// Whether an unconfirmed worker is treated as unlisted: it failed several checks in a row and the next check is
    /// not due, or it has left the current check unanswered for longer than a request waits for one.
    pub(super) fn is_withdrawn(&self, worker: &Worker, now: Micros) -> bool {
        let confirmation = &worker.confirmation;
        let has_failed =
            confirmation.failures >= WITHDRAWAL_FAILURES || confirmation.check_started_at.is_some();
        has_failed && self.confirmation_status(worker, now) == ConfirmationStatus::Barred
    }

    /// Records that a worker accepted work or passed a check at some time since `sent_at`.
    pub(super) fn confirm(&mut self, index: usize, sent_at: Micros, now: Micros, actions: &mut Vec<Action>) {
        let is_list_old = self.is_list_old(now);
        let worker = &mut self.workers[index];
        let confirmation = &mut worker.confirmation;
        confirmation.confirmed_at = confirmation.confirmed_at.max(sent_at);
        let (failures, failing_since) = (confirmation.failures, confirmation.failing_since);
        if sent_at < failing_since && failures > 0 {
            return;
        }
        confirmation.failures = 0;
        confirmation.next_check_at = 0;
        if failures < WITHDRAWAL_FAILURES {
            return;
        }
        self.list_validity.counters.readmissions += 1;
        let is_same_process = confirmation.connected_since.is_some_and(|since| since <= failing_since);
        let worker_id = worker.endpoint.worker;
        if is_list_old && !is_same_process {
            // The process probably exited and a new one started without notice, so the worker is cold (rule 4).
            worker.estimates = Estimates::restarted(now);
            worker.warming_since = Some(now);
        }
        let text = format!("admit worker {worker_id} again, same process: {is_same_process}");
        actions.push(Action::Log { text });
    }

    /// Updates the confirmation when an attempt ends. If the worker examined the attempt, it accepted work after the
    /// attempt was sent. A rejection for lack of capacity may be caused by a drain, so the worker is checked before it gets
    /// more work.
    pub(super) fn update_confirmation(
        &mut self,
        index: usize,
        outcome: Outcome,
        sent_at: Micros,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Ok | Outcome::Miss => self.confirm(index, sent_at, now, actions),
            Outcome::Full => {
                let confirmation = &mut self.workers[index].confirmation;
                confirmation.rejected_at = Some(now);
                if confirmation.confirmed_at <= sent_at {
                    confirmation.confirmed_at = 0;
                }
            }
            _ => {}
        }
    }

    /// Handles a change of the oldest open connection to a worker.
    pub(super) fn on_worker_connection(&mut self, worker: WorkerId, open_since: Option<Micros>) {
        let Some(&index) = self.worker_index.get(&worker) else { return };
        self.workers[index].confirmation.connected_since = open_since;
    }
}
