//! The age of the endpoint list, and counters of its effects. [`super::confirmation`] decides which workers get new
//! work while the list is old.

use super::FrontEnd;
use crate::interface::*;

/// The validity of the endpoint list.
pub(super) struct ListValidity {
    pub until: Micros,
    /// The list is known to contain every change up to this time.
    pub complete_at: Micros,
    /// Whether the list was old when its age was last logged.
    is_old: bool,
    /// Mean duration of a passed check.
    pub mean_check_time: Option<f64>,
    /// Number of checks since the list became old.
    pub checks: u64,
    pub counters: ConfirmationCounters,
}

/// Counts of the effects of old endpoint lists since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmationCounters {
    /// Number of times that the list became old.
    pub stale_periods: u64,
    /// Checks of workers before they got new work.
    pub checks: u64,
    /// Checks that failed or were left unanswered.
    pub failed_checks: u64,
    /// Decisions that withheld a request until its worker was checked.
    pub withheld_requests: u64,
    /// Decisions that withheld a load order until its worker was checked.
    pub withheld_loads: u64,
    /// Workers that were withdrawn.
    pub withdrawals: u64,
    /// Withdrawn workers that were admitted again.
    pub readmissions: u64,
}

impl Default for ListValidity {
    fn default() -> ListValidity {
        ListValidity {
            until: Micros::MAX,
            complete_at: Micros::MAX,
            is_old: false,
            mean_check_time: None,
            checks: 0,
            counters: ConfirmationCounters::default(),
        }
    }
}

impl FrontEnd {
    /// Returns the counts of the effects of old endpoint lists since the start.
    pub fn confirmation_counters(&self) -> ConfirmationCounters {
        self.list_validity.counters
    }

    /// Handles a report on how long the list is valid.
    pub(super) fn on_list_valid(&mut self, until: Micros, complete_at: Micros) {
        let validity = &mut self.list_validity;
        validity.until = until;
        if complete_at != validity.complete_at {
            validity.complete_at = complete_at;
            self.reconsider_awaiting_process();
        }
    }

    /// Whether the list is too old to confirm its workers.
    pub(super) fn is_list_old(&self, now: Micros) -> bool {
        now > self.list_validity.until.saturating_add(self.confirmation_lifetime())
    }

    /// Logs when the list becomes old and when it is valid again.
    pub(super) fn log_list_age(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_old = self.is_list_old(now);
        let validity = &mut self.list_validity;
        if is_old == validity.is_old {
            return;
        }
        validity.is_old = is_old;
        validity.counters.stale_periods += u64::from(is_old);
        let text = if is_old {
            let age = (now - validity.until) / 1000;
            format!(
                "endpoint list old, valid until {age} ms ago: workers are checked before they get new work"
            )
        } else {
            format!("endpoint list valid again after {} health checks", validity.checks)
        };
        validity.checks = 0;
        actions.push(Action::Log { text });
    }
}
