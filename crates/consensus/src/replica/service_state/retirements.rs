//! Handles retirements that front ends request, including rejected and deferred ones.

use super::{Proposer, SessionService};
use crate::frames::MAX_RESPONSE;
use stagehoist_cluster_state::{Command, Retirement, SessionResponse};

impl SessionService {
    pub(super) fn retire(&mut self, connection: u64, retirement: Retirement) {
        if self.state.state.view.retired(&retirement.function, retirement.generation).is_some() {
            return;
        }
        if self.view.1.len() > MAX_RESPONSE / 2 {
            return self.reject_retirement(connection, retirement, "the cluster state is full");
        }
        tracing::info!(target: "stagehoist_consensus", event = "retirement", function = %retirement.function,
            generation = retirement.generation, "retirement proposed");
        self.propose(Proposer::Retire(connection), Command::Retire(retirement));
    }

    /// Handles a retirement that the cluster state rejected; permanent only if the retirement itself is invalid.
    pub(super) fn reject_retirement(&mut self, connection: u64, retirement: Retirement, why: &str) {
        match retirement.permanent_rejection() {
            Some(why) => self.send_retirement_rejected(connection, retirement, why),
            None => self.defer_retirement(&retirement, why),
        }
    }

    /// Defers a retirement until other tombstones are forgotten. The front end gets no rejection, so it retries.
    fn defer_retirement(&mut self, retirement: &Retirement, why: &str) {
        let tombstones = self.state.state.view.tombstones.len();
        if std::mem::replace(&mut self.is_full, true) {
            return;
        }
        tracing::warn!(target: "stagehoist_consensus", event = "retirement", function = %retirement.function,
            generation = retirement.generation, tombstones, why, "retirement deferred: no capacity in the cluster state");
    }

    /// Notifies the front end that its retirement is rejected permanently.
    fn send_retirement_rejected(&mut self, connection: u64, retirement: Retirement, why: String) {
        tracing::warn!(target: "stagehoist_consensus", event = "retirement", function = %retirement.function,
            generation = retirement.generation, why, "retirement rejected");
        let (function, generation) = (retirement.function, retirement.generation);
        self.send(connection, &SessionResponse::RetirementRejected { function, generation, reason: why });
    }
}
