//! Health checks of unconfirmed workers: when a check is sent, how long a request waits for it, and how its outcome is
//! handled. [`super::confirmation`] decides what work a worker may get in the meantime.

use super::confirmation::{ConfirmationStatus, MIN_LIFETIME_TICKS, WITHDRAWAL_FAILURES};
use super::math::{hash_fraction, update_average, GAIN};
use super::FrontEnd;
use crate::interface::*;

/// Shortest and longest pause between checks of a worker that fails them, as a divisor and a multiple of the grace.
/// The pause doubles with each failure.
const MIN_PAUSE_DIVISOR: Micros = 8;
const MAX_PAUSE_FACTOR: Micros = 2;
/// Maximum number of times that a pause is doubled.
const MAX_DOUBLINGS: u32 = 8;
/// A request waits for a check for this multiple of the mean check time, and at least this many ticks, before it is
/// considered for other workers.
const CHECK_WAIT_FACTOR: f64 = 4.0;
const MIN_CHECK_WAIT_TICKS: Micros = 10;
/// Timeout of a check, in connect timeouts.
const CHECK_TIMEOUT_FACTOR: Micros = 4;
/// Minimum timeout of a check.
const MIN_CHECK_TIMEOUT: Micros = 1_000_000;

impl FrontEnd {
    /// Returns the cost of waiting for a worker's check, in microseconds.
    pub(super) fn check_cost(&self, confirmation_status: ConfirmationStatus) -> f64 {
        match confirmation_status {
            ConfirmationStatus::Confirmed => 0.0,
            ConfirmationStatus::Checkable | ConfirmationStatus::Barred => self.usual_check_time(),
        }
    }

    fn usual_check_time(&self) -> f64 {
        self.list_validity.mean_check_time.unwrap_or(self.settings.tick as f64)
    }

    pub(super) fn check_wait(&self) -> Micros {
        let answers = (CHECK_WAIT_FACTOR * self.usual_check_time()) as Micros;
        answers.max(MIN_CHECK_WAIT_TICKS * self.settings.tick)
    }

    pub(super) fn check_timeout(&self) -> Micros {
        (CHECK_TIMEOUT_FACTOR * self.settings.connect_timeout).max(MIN_CHECK_TIMEOUT)
    }

    /// Starts a health check of a worker unless one is in progress. The waiting request is considered again when the check
    /// ends.
    pub(super) fn start_check(
        &mut self,
        index: usize,
        request: Option<RequestId>,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        match request {
            Some(_) => self.list_validity.counters.withheld_requests += 1,
            None => self.list_validity.counters.withheld_loads += 1,
        }
        let group = request.and_then(|id| self.pending.get(&id)).map(|call| call.group());
        let timeout = self.check_timeout();
        let worker = &mut self.workers[index];
        worker.confirmation.waiting.extend(group);
        let is_in_progress = worker
            .confirmation
            .check_started_at
            .is_some_and(|check_started_at| now - check_started_at <= timeout);
        if is_in_progress {
            return;
        }
        worker.confirmation.check_started_at = Some(now);
        self.fleet.unconfirmed.insert(index);
        self.list_validity.checks += 1;
        self.list_validity.counters.checks += 1;
        actions.push(Action::HealthCheck { worker: worker.endpoint.worker });
    }

    /// Handles the end of a health check.
    pub(super) fn on_check_ended(
        &mut self,
        worker: WorkerId,
        outcome: Outcome,
        sent_at: Micros,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(&index) = self.worker_index.get(&worker) else { return };
        self.mark_dirty(index);
        let confirmation = &mut self.workers[index].confirmation;
        let check_started_at =
            confirmation.check_started_at.take_if(|check_started_at| sent_at >= *check_started_at);
        if outcome == Outcome::Ok {
            if let Some(check_started_at) = check_started_at {
                let elapsed = (now - check_started_at).max(1) as f64;
                update_average(&mut self.list_validity.mean_check_time, elapsed, GAIN);
            }
            self.confirm(index, sent_at, now, actions);
        } else if check_started_at.is_some() {
            // A check that this front end could not send is no evidence about the worker.
            let is_local_failure = matches!(outcome, Outcome::Full | Outcome::Superseded);
            self.on_check_failed(index, !is_local_failure, now, actions);
        }
        let waiting = std::mem::take(&mut self.workers[index].confirmation.waiting);
        self.changed_groups.extend(waiting);
    }

    /// Handles a failed check: pauses the checks of the worker, longer with each failure in a row.
    fn on_check_failed(
        &mut self,
        index: usize,
        is_worker_failure: bool,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let grace = self.settings.drain_grace.max(MIN_LIFETIME_TICKS * self.settings.tick);
        self.fleet.unconfirmed.insert(index);
        let worker = &mut self.workers[index];
        let confirmation = &mut worker.confirmation;
        if is_worker_failure {
            self.list_validity.counters.failed_checks += 1;
            if confirmation.failures == 0 {
                confirmation.failing_since = now;
            }
            confirmation.failures = confirmation.failures.saturating_add(1);
            if confirmation.failures == WITHDRAWAL_FAILURES {
                self.list_validity.counters.withdrawals += 1;
                let failing = (now - confirmation.failing_since) / 1000;
                let text = format!(
                    "withdraw worker {} as it fails health checks for {failing} ms",
                    worker.endpoint.worker
                );
                actions.push(Action::Log { text });
            }
        }
        let doublings = confirmation.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = ((grace / MIN_PAUSE_DIVISOR) << doublings).min(MAX_PAUSE_FACTOR * grace);
        // The random spread keeps front ends that checked at the same time from repeating the check at the same time.
        let seed = self.seed ^ now as u64;
        let spread = 0.5 + hash_fraction(seed, u64::from(worker.endpoint.worker));
        confirmation.next_check_at = now + (pause as f64 * spread) as Micros;
    }

    /// Returns the next time at which a queued request may be considered for other workers or a worker may be checked
    /// again.
    pub(super) fn next_check(&self, now: Micros) -> Micros {
        let check_wait = self.check_wait();
        let unconfirmed = self.fleet.unconfirmed.iter().map(|&index| &self.workers[index]);
        let barred = unconfirmed.filter(|worker| worker.ready && !self.is_confirmed(worker, now));
        let due = barred.filter_map(|worker| {
            let confirmation = &worker.confirmation;
            let wait_ends_at =
                confirmation.check_started_at.map(|check_started_at| check_started_at + check_wait);
            let is_due = |at: &Micros| *at >= now;
            wait_ends_at.or(Some(confirmation.next_check_at)).filter(is_due)
        });
        due.min().map_or(Micros::MAX, |at| at + 1)
    }
}
