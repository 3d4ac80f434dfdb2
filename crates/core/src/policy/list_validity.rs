//! How old the endpoint list is, and what came of that. [`super::confirmation`] decides who gets new work while it is old.

use super::FrontEnd;
use crate::interface::*;

/// Until when the endpoint list is valid.
pub(super) struct ListValidity {
    pub until: Micros,
    /// The list is old, as was last logged.
    is_old: bool,
    /// Usual time of a check that is passed.
    pub mean_check_time: Option<f64>,
    /// Checks since the list became old.
    pub checks: u64,
    pub counters: ConfirmationCounters,
}

/// What an old endpoint list led to, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmationCounters {
    /// Times at which the list became old.
    pub stale_periods: u64,
    /// Workers checked before they got new work.
    pub checks: u64,
    /// Checks that were failed or left unanswered.
    pub failed_checks: u64,
    /// Decisions that kept a request back until its worker was checked.
    pub withheld_requests: u64,
    /// Decisions that kept a load order back.
    pub withheld_loads: u64,
    /// Workers that were withdrawn.
    pub withdrawals: u64,
    /// Of those, workers that were admitted again.
    pub readmissions: u64,
}

impl Default for ListValidity {
    fn default() -> ListValidity {
        ListValidity {
            until: Micros::MAX,
            is_old: false,
            mean_check_time: None,
            checks: 0,
            counters: ConfirmationCounters::default(),
        }
    }
}

impl FrontEnd {
    /// What old endpoint lists led to, since the start.
    pub fn confirmation_counters(&self) -> ConfirmationCounters {
        self.list_validity.counters
    }

    /// Whether the list alone does not vouch for its workers any more.
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
