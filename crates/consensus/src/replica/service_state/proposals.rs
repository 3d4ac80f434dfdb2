//! How the desk gets changes agreed on: one entry at a time, with all that came since the one before.

use super::{Agreed, Proposer, SessionService};
use crate::frames::{encode, MAX_REQUEST};
use crate::types::{Batch, MAX_CHANGES};
use stagehoist_cluster_state::{Command, CommandOutcome, Leader, SessionResponse};
use std::collections::BTreeSet;
use std::time::Duration;

/// Changes that wait to be proposed, and most in one entry.
pub(super) const MAX_QUEUE: usize = 4096;
const MAX_BATCH: usize = MAX_CHANGES as usize / 2;
/// Length of an entry in bytes, but for one change that is longer alone.
const MAX_ENTRY_SIZE: usize = 2 * MAX_REQUEST;
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);

impl SessionService {
    /// Whether a front end of this name has a place where permits are allocated; those whose joining is under way count.
    pub(super) fn admits(&self, name: &str) -> bool {
        let Some(dealer) = self.leadership.as_ref().and_then(Leader::allocator) else { return true };
        let state = &self.state.state;
        let flying = self.in_flight.iter().flat_map(|(asked, _)| asked);
        let coming = flying.chain(&self.queue).filter_map(|(_, command)| match command {
            Command::Join { name, .. } => Some(name.as_str()),
            _ => None,
        });
        let is_present = |n: &str| state.members.get(n).is_some_and(|run| run.left.is_none());
        let coming: BTreeSet<&str> = coming.filter(|n| *n != name && !is_present(n)).collect();
        dealer.admits_with(state, name, coming.len())
    }

    pub(super) fn propose(&mut self, who: Proposer, command: Command) {
        if self.queue.len() < MAX_QUEUE {
            self.queue.push_back((who, command));
        } else if let Proposer::Join(connection) | Proposer::Leave(connection) = who {
            self.close(connection, "too much waits");
        }
    }

    /// The entry under way is agreed on, or it is not known whether it will be.
    pub fn on_agreed(&mut self, done: Agreed) {
        let Some((asked, _)) = self.in_flight.take() else { return };
        self.state = self.context.applied.borrow().clone();
        let results = done.map(|d| d.0).unwrap_or_default();
        for (at, (who, command)) in asked.into_iter().enumerate() {
            match (who, results.get(at)) {
                (Proposer::Retire(connection), Some(CommandOutcome::Rejected { reason: why })) => {
                    if let Command::Retire(asked) = &command {
                        self.reject_retirement(connection, asked.clone(), why);
                    }
                }
                (Proposer::Retire(_), Some(CommandOutcome::Changed)) => self.is_full = false,
                (Proposer::Join(connection), Some(CommandOutcome::Joined(member)))
                    if self.connections.contains_key(&connection) =>
                {
                    self.welcome(connection, member.clone());
                }
                (Proposer::Join(connection), Some(CommandOutcome::Rejected { reason: why })) => {
                    self.reject(connection, SessionResponse::Rejected { reason: why.clone() });
                }
                // Its front end comes again; a run that was counted in vain is not missed.
                (Proposer::Join(connection), None) => self.close(connection, "not agreed on"),
                (Proposer::Leave(connection), _) => self.close(connection, "left"),
                (Proposer::Nobody, Some(CommandOutcome::Rejected { reason: why })) => {
                    tracing::warn!(target: "stagehoist_consensus", event = "retirement", why,
                        "a change is refused");
                }
                _ => {}
            }
            if let (Command::InForce { function, generation, but_for }, Some(CommandOutcome::Changed)) =
                (command, results.get(at))
            {
                tracing::info!(target: "stagehoist_consensus", event = "retirement", %function, generation,
                    ?but_for,
                    "in force");
            }
        }
    }

    pub(super) fn propose_batch(&mut self) {
        let mut length = 0;
        let mut fits = |(_, command): &(Proposer, Command)| {
            length += encode(command).map_or(0, |c| c.len());
            length <= MAX_ENTRY_SIZE
        };
        let fitting = self.queue.iter().take(MAX_BATCH).take_while(|c| fits(c)).count().max(1);
        let asked: Vec<_> = self.queue.drain(..fitting.min(self.queue.len())).collect();
        let batch = Batch(asked.iter().map(|(_, c)| c.clone()).collect());
        self.statistics.proposals += 1;
        self.statistics.changes += asked.len() as u64;
        let raft = self.context.raft.clone();
        let flight = async move {
            let written = tokio::time::timeout(PROPOSAL_TIMEOUT, raft.client_write(batch)).await;
            Some(written.ok()?.ok()?.data)
        };
        self.in_flight = Some((asked, Box::pin(flight)));
    }
}
