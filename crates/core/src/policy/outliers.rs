//! Outlier ejection and health checks, for workers that are gone, restarting or silent, or that fail more often than
//! the others.

use super::fleet::{WorkerTime, MAX_CONSIDERED};
use super::math::GAIN;
use super::FrontEnd;
use crate::interface::*;
use std::collections::BTreeMap;

/// Upper bound of the total price of health checks, as a fraction of the value of the arriving requests.
const MAX_HEALTH_CHECK_COST: f64 = 0.004;
/// A worker is ejected if its error rate exceeds the mean of all workers by this multiple of the moving average's gain.
const EJECTION_ERROR_GAINS: f64 = 2.0;
/// The shortest ejection, in connect timeouts and in ticks of the clock.
const MIN_EJECTION_CONNECT_TIMEOUTS: Micros = 2;
const MIN_EJECTION_TICKS: Micros = 100;
/// Maximum number of times that the ejection time doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Upper bound of the count of consecutive ejections.
const MAX_CONSECUTIVE_EJECTIONS: u32 = 16;
/// A worker is health-checked at most this many times within the shortest latency objective.
const MAX_CHECKS_PER_OBJECTIVE: Micros = 3;

/// The kind of a worker's failure.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// A request failed, but the worker is reachable.
    Error,
    /// The connection failed, all attempts in flight were lost, or the worker is silent: its process may be gone,
    /// restarted or stuck.
    Unreachable,
}

impl FrontEnd {
    /// Records a failure of a worker. An unreachable worker is ejected and loses its expected copies and load orders; it is
    /// put into slow start, as it may return cold before the endpoint list reports the restart. Errors eject a worker only
    /// if its error rate is well above the mean of all workers.
    pub(super) fn record_failure(
        &mut self,
        index: usize,
        failure: Failure,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let min_ejection = (self.settings.connect_timeout * MIN_EJECTION_CONNECT_TIMEOUTS)
            .max(self.settings.tick * MIN_EJECTION_TICKS);
        let max_ejection = (self.settings.idle_retention / 2).max(min_ejection);
        self.mark_dirty(index);
        let worker = &mut self.workers[index];
        let estimates = &mut worker.estimates;
        estimates.error_rate += GAIN * (1.0 - estimates.error_rate);
        if failure == Failure::Unreachable {
            estimates.copies = BTreeMap::new();
            estimates.load_orders = BTreeMap::new();
            worker.warming_since = Some(now);
        }
        let is_outlier = estimates.error_rate > EJECTION_ERROR_GAINS * GAIN + self.mean_error_rate;
        if (failure == Failure::Unreachable || is_outlier) && estimates.ejected_until <= now {
            estimates.consecutive_ejections =
                (estimates.consecutive_ejections + 1).min(MAX_CONSECUTIVE_EJECTIONS);
            let doublings = (estimates.consecutive_ejections - 1).min(MAX_EJECTION_DOUBLINGS);
            let ejection = (min_ejection << doublings).min(max_ejection);
            estimates.ejected_until = now + ejection;
            let text = format!("eject worker {} for {} ms", worker.endpoint.worker, ejection / 1000);
            actions.push(Action::Log { text });
        }
    }

    pub(super) fn on_health_checked(
        &mut self,
        worker: WorkerId,
        outcome: Outcome,
        report: &LoadReport,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(&index) = self.worker_index.get(&worker) else { return };
        self.mark_dirty(index);
        match outcome {
            Outcome::Ok => self.on_report(index, report, now),
            Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(index, Failure::Unreachable, now, actions)
            }
            _ => {}
        }
    }

    /// Adds a worker to the round of health checks for load reports, if its load matters to this front end.
    pub(super) fn add_to_check_round(&mut self, index: usize) {
        let worker = &self.workers[index];
        if worker.ready && self.reports_matter(index) {
            self.fleet.check_round.insert(WorkerTime { at: worker.checked_at, index });
        }
    }

    /// Whether the load of a worker matters to this front end. In a fleet of more than `MAX_CONSIDERED` workers it
    /// matters only if the worker has recorded copies: a round over all workers would open a connection for each check
    /// and take too long.
    fn reports_matter(&self, index: usize) -> bool {
        self.workers.len() <= MAX_CONSIDERED || !self.workers[index].estimates.copies.is_empty()
    }

    /// Health-checks the workers in turn, if load reports arrive by health checks, within the allowed cost of checks.
    pub(super) fn send_health_checks(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let settings = &self.settings;
        let is_active = settings.may_health_check && settings.report_channel == ReportChannel::HealthChecks;
        if !is_active || self.arrivals.is_empty() {
            return;
        }
        let checks_per_request =
            (MAX_HEALTH_CHECK_COST / settings.price_health_check.max(MAX_HEALTH_CHECK_COST)).min(1.0);
        let workers = self.fleet.check_round.len();
        let request_interval = self.arrivals_window() as f64 / self.arrivals.len() as f64;
        let affordable_interval = (request_interval * workers as f64 / checks_per_request) as Micros;
        let interval = affordable_interval.max(self.shortest_objective / MAX_CHECKS_PER_OBJECTIVE);
        let due = self.fleet.check_round.iter().take_while(|check| now - check.at >= interval);
        let mut due: Vec<usize> = due.map(|check| check.index).collect();
        due.sort_unstable();
        for index in due {
            let worker = &mut self.workers[index];
            self.fleet.check_round.remove(&WorkerTime { at: worker.checked_at, index });
            worker.checked_at = now;
            if self.reports_matter(index) {
                self.fleet.check_round.insert(WorkerTime { at: now, index });
                actions.push(Action::HealthCheck { worker: self.workers[index].endpoint.worker });
            }
        }
    }
}
