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
use super::numbers::{hash_fraction, update_average, GAIN};
use super::worker::Worker;
use super::FrontEnd;
use crate::interface::*;
use std::collections::BTreeSet;

/// Part of the grace of a drain that is left unused, for the way to the worker's socket.
const TRANSIT_MARGIN_DIVISOR: Micros = 8;
/// A confirmation counts for so many ticks of the clock at least.
const MIN_LIFETIME_TICKS: Micros = 10;
/// Pauses between checks of a worker that fails them, as parts of the grace: the shortest, and the longest after doublings.
const MIN_PAUSE_DIVISOR: Micros = 8;
const MAX_PAUSE_FACTOR: Micros = 2;
/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 8;
/// Failed checks in a row after which a worker is withdrawn.
const WITHDRAWAL_FAILURES: u32 = 2;
/// A request waits for a check for so many times the usual time of one, and so many ticks, before it looks elsewhere.
const CHECK_WAIT_FACTOR: f64 = 4.0;
const MIN_CHECK_WAIT_TICKS: Micros = 10;
/// A check counts as unanswered after so many connect timeouts, if nothing ended it before.
const CHECK_TIMEOUT_FACTOR: Micros = 4;
/// Shortest time after which it does.
const MIN_CHECK_TIMEOUT: Micros = 1_000_000;

/// What a worker showed of itself.
#[derive(Default)]
pub(super) struct Confirmation {
    /// When it last took work, by itself.
    confirmed_at: Micros,
    /// When the check under way began.
    check_started_at: Option<Micros>,
    /// Checks in a row that it failed or left unanswered.
    failures: u32,
    /// When it failed the first of them.
    failing_since: Micros,
    /// It is not checked again before this time.
    next_check_at: Micros,
    /// Since when there is a connection to it without a break.
    connected_since: Option<Micros>,
    /// Queued requests that wait for the check, by group.
    waiting: BTreeSet<CallGroup>,
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

    /// What the wait for a check adds to the cost of a worker, in microseconds.
    pub(super) fn check_cost(&self, standing: Standing) -> f64 {
        match standing {
            Standing::Confirmed => 0.0,
            Standing::Checkable | Standing::Barred => self.usual_check_time(),
        }
    }

    fn usual_check_time(&self) -> f64 {
        self.list_validity.mean_check_time.unwrap_or(self.settings.tick as f64)
    }

    fn check_wait(&self) -> Micros {
        let answers = (CHECK_WAIT_FACTOR * self.usual_check_time()) as Micros;
        answers.max(MIN_CHECK_WAIT_TICKS * self.settings.tick)
    }

    fn check_timeout(&self) -> Micros {
        (CHECK_TIMEOUT_FACTOR * self.settings.connect_timeout).max(MIN_CHECK_TIMEOUT)
    }

    /// Checks whether a worker takes work, once at a time; the request is considered again with the result.
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
        let is_under_way = worker
            .confirmation
            .check_started_at
            .is_some_and(|check_started_at| now - check_started_at <= timeout);
        if is_under_way {
            return;
        }
        worker.confirmation.check_started_at = Some(now);
        self.fleet.unconfirmed.insert(index);
        self.list_validity.checks += 1;
        self.list_validity.counters.checks += 1;
        actions.push(Action::HealthCheck { worker: worker.endpoint.worker });
    }

    /// A health check ended.
    pub(super) fn on_check_ended(
        &mut self,
        worker: WorkerId,
        outcome: Outcome,
        sent_at: Micros,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(&index) = self.worker_index.get(&worker) else { return };
        self.touch(index);
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
            // What this front end could not send tells nothing of the worker.
            let is_own_failure = matches!(outcome, Outcome::Full | Outcome::Superseded);
            self.check_failed(index, !is_own_failure, now, actions);
        }
        let waiting = std::mem::take(&mut self.workers[index].confirmation.waiting);
        self.changed_groups.extend(waiting);
    }

    /// Pauses the checks of a worker, the longer the more it failed.
    fn check_failed(&mut self, index: usize, is_counted: bool, now: Micros, actions: &mut Vec<Action>) {
        let grace = self.settings.drain_grace.max(MIN_LIFETIME_TICKS * self.settings.tick);
        self.fleet.unconfirmed.insert(index);
        let worker = &mut self.workers[index];
        let confirmation = &mut worker.confirmation;
        if is_counted {
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
        // Front ends that check together do not check again together.
        let seed = self.seed ^ now as u64;
        let spread = 0.5 + hash_fraction(seed, u64::from(worker.endpoint.worker));
        confirmation.next_check_at = now + (pause as f64 * spread) as Micros;
    }

    /// A worker took work, or said that it does, at some time since `sent_at`.
    fn confirm(&mut self, index: usize, sent_at: Micros, now: Micros, actions: &mut Vec<Action>) {
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

    /// When a queued request may look elsewhere, or a worker may be checked again.
    pub(super) fn next_check(&self, now: Micros) -> Micros {
        if !self.is_list_old(now) {
            return Micros::MAX;
        }
        let check_wait = self.check_wait();
        let unconfirmed = self.fleet.unconfirmed.iter().map(|&index| &self.workers[index]);
        let due = unconfirmed.filter(|worker| worker.ready).filter_map(|worker| {
            let confirmation = &worker.confirmation;
            let looks_elsewhere =
                confirmation.check_started_at.map(|check_started_at| check_started_at + check_wait);
            let is_due = |at: &Micros| *at >= now;
            looks_elsewhere.or(Some(confirmation.next_check_at)).filter(is_due)
        });
        due.min().map_or(Micros::MAX, |at| at + 1)
    }
}
