//! Confirmation: which workers may get new work while the endpoint list is old (rule 3).
//!
//! An endpoint list is information with an age: its source vouches for it up to a time
//! ([`Event::EndpointListValid`](crate::Event::EndpointListValid)), and what happened later may be known to everyone
//! but this front end. Past that time and the grace of a drain, a worker gets new requests and load orders only for as long as
//! the worker itself was seen to take work within the grace: by a health check that it passed, or by an attempt that it
//! examined. Either counts from when it was sent, as all that its answer proves is that the worker took work at some
//! time after that. A worker that a request wants and that nothing confirms is health-checked, which is no new work; the
//! request waits for the result or goes elsewhere. Front ends without requests check nobody.
//!
//! A check that fails proves nothing: a draining worker fails all of them, and one without a free place some. One that fails
//! several in a row is withdrawn, as if the list had not named it, until it passes one.

use super::beliefs::Beliefs;
use super::call::CallGroup;
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;
use std::collections::BTreeSet;

/// Part of the grace of a drain that is left unused, for the way to the worker's socket.
const TRANSIT_MARGIN_DIVISOR: Micros = 8;
/// A confirmation counts for so many ticks of the clock at least.
pub(super) const MIN_LIFETIME_TICKS: Micros = 10;
/// Failed checks in a row after which a worker is withdrawn.
pub(super) const WITHDRAWAL_FAILURES: u32 = 2;

/// What a worker showed of itself.
#[derive(Default)]
pub(super) struct Confirmation {
    /// When it last took work, by itself.
    pub confirmed_at: Micros,
    /// When the check under way began.
    pub check_started_at: Option<Micros>,
    /// Checks in a row that it failed or left unanswered.
    pub failures: u32,
    /// When it failed the first of them.
    pub failing_since: Micros,
    /// It is not checked again before this time.
    pub next_check_at: Micros,
    /// Since when there is a connection to it without a break.
    pub connected_since: Option<Micros>,
    /// Queued requests that wait for the check, by group.
    pub waiting: BTreeSet<CallGroup>,
}

impl Confirmation {
    /// Whether a check is under way, was failed, or is to be waited for.
    pub fn is_unconfirmed(&self, now: Micros) -> bool {
        self.check_started_at.is_some() || self.failures > 0 || self.next_check_at >= now
    }

    /// The list named the worker: what it failed before does not count any more.
    pub fn listed(&mut self) {
        self.failures = 0;
        self.next_check_at = 0;
    }
}

/// Whether a worker may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    Confirmed,
    /// Not confirmed; it can be checked, or is just now.
    Checkable,
    /// Not confirmed, and not checked before a pause is over.
    Barred,
}

impl FrontEnd {
    /// For how long a worker that showed that it takes work may get more.
    pub(super) fn confirmation_lifetime(&self) -> Micros {
        let grace = self.settings.drain_grace;
        (grace - grace / TRANSIT_MARGIN_DIVISOR).max(MIN_LIFETIME_TICKS * self.settings.tick)
    }

    /// Until when new work may be written to a worker.
    pub(super) fn new_work_until(&self, worker: &Worker) -> Micros {
        let vouched_at = self.list_validity.until.max(worker.confirmation.confirmed_at);
        vouched_at.saturating_add(self.confirmation_lifetime())
    }

    /// Whether a worker may get new work now, as far as its confirmation goes.
    pub(super) fn is_confirmed(&self, worker: &Worker, now: Micros) -> bool {
        now <= self.new_work_until(worker)
    }

    /// Whether a worker may get new work, or can be checked for it.
    pub(super) fn standing(&self, worker: &Worker, now: Micros) -> Standing {
        let confirmation = &worker.confirmation;
        if self.is_confirmed(worker, now) {
            return Standing::Confirmed;
        }
        let can_wait = match confirmation.check_started_at {
            Some(check_started_at) => {
                now - check_started_at <= self.check_wait() || now - check_started_at > self.check_timeout()
            }
            None => now >= confirmation.next_check_at,
        };
        if self.settings.may_health_check && can_wait {
            Standing::Checkable
        } else {
            Standing::Barred
        }
    }

    /// Whether a worker counts as not listed: it failed several checks, or leaves one unanswered for long, and its next
    /// one is not due.
    pub(super) fn is_withdrawn(&self, worker: &Worker, now: Micros) -> bool {
        let confirmation = &worker.confirmation;
        let has_failed =
            confirmation.failures >= WITHDRAWAL_FAILURES || confirmation.check_started_at.is_some();
        has_failed && self.standing(worker, now) == Standing::Barred
    }

    /// A worker took work, or said that it does, at some time since `sent_at`.
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
            // Gone and started anew, most likely, and nothing told of it: it is cold (rule 4).
            worker.beliefs = Beliefs::restarted(now);
            worker.warming_since = Some(now);
        }
        let text = format!("admit worker {worker_id} again, same process: {is_same_process}");
        actions.push(Action::Log { text });
    }

    /// An attempt ended. That it was examined proves that its worker took work after it was sent; a rejection for want of
    /// capacity may come of a drain, so that the worker is checked before it gets more.
    pub(super) fn on_attempt_examined(
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
                if confirmation.confirmed_at <= sent_at {
                    confirmation.confirmed_at = 0;
                }
            }
            _ => {}
        }
    }

    /// The first connection to a worker was established, or the last one closed.
    pub(super) fn on_worker_connection(&mut self, worker: WorkerId, is_open: bool, now: Micros) {
        let Some(&index) = self.worker_index.get(&worker) else { return };
        self.workers[index].confirmation.connected_since = is_open.then_some(now);
    }
}
