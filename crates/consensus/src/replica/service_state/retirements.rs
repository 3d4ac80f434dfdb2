//! Retirements that front ends ask for, and what becomes of those that are not taken.

use super::{Proposer, SessionService};
use crate::frames::MAX_RESPONSE;
use stagehoist_cluster_state::{Command, Retirement, SessionResponse};

impl SessionService {
    pub(super) fn retire(&mut self, connection: u64, asked: Retirement) {
        if self.state.state.view.retired(&asked.function, asked.generation).is_some() {
            return;
        }
        if self.view.1.len() > MAX_RESPONSE / 2 {
            return self.reject_retirement(connection, asked, "the record is full");
        }
        tracing::info!(target: "stagehoist_consensus", event = "retirement", function = %asked.function,
            generation = asked.generation, "proposed");
        self.propose(Proposer::Retire(connection), Command::Retire(asked));
    }

    /// The cluster state refused it: for good where the retirement itself is at fault.
    pub(super) fn reject_retirement(&mut self, connection: u64, asked: Retirement, why: &str) {
        match asked.permanent_rejection() {
            Some(why) => self.send_retirement_rejected(connection, asked, why),
            None => self.defer_retirement(&asked, why),
        }
    }

    /// There is no room until others are forgotten. Whoever asked isn't told that it can't be taken, and asks again.
    fn defer_retirement(&mut self, asked: &Retirement, why: &str) {
        let tombstones = self.state.state.view.tombstones.len();
        if std::mem::replace(&mut self.is_full, true) {
            return;
        }
        tracing::warn!(target: "stagehoist_consensus", event = "retirement", function = %asked.function,
            generation = asked.generation, tombstones, why, "not taken; there is no room for now");
    }

    /// Tells who asked for a retirement that it can't be taken.
    fn send_retirement_rejected(&mut self, connection: u64, asked: Retirement, why: String) {
        tracing::warn!(target: "stagehoist_consensus", event = "retirement", function = %asked.function,
            generation = asked.generation, why, "refused");
        let (function, generation) = (asked.function, asked.generation);
        self.send(connection, &SessionResponse::RetirementRejected { function, generation, reason: why });
    }
}
