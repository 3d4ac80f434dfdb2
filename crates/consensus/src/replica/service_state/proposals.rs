//! Proposes changes: one entry at a time, with the changes that were queued since the previous one.

use super::{ProposalOutcome, Proposer, SessionService};
use crate::frames::{encode, MAX_REQUEST};
use crate::types::{Batch, MAX_CHANGES};
use stagehoist_cluster_state::{Command, CommandOutcome, Leader, SessionResponse};
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum numbers of changes in the queue and in one entry.
pub(super) const MAX_QUEUE: usize = 4096;
const MAX_BATCH: usize = MAX_CHANGES as usize / 2;
/// Maximum length of an entry in bytes, unless a single change is longer.
const MAX_ENTRY_SIZE: usize = 2 * MAX_REQUEST;
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);

impl SessionService {
    /// Whether permit allocation has capacity for a front end of this name, counting front ends that are joining.
    pub(super) fn admits(&self, name: &str) -> bool {
        let Some(allocator) = self.leadership.as_ref().and_then(Leader::allocator) else { return true };
        let state = &self.state.state;
        let proposed = self.in_flight.iter().flat_map(|(changes, _)| changes);
        let joining = proposed.chain(&self.queue).filter_map(|(_, command)| match command {
            Command::Join { name, .. } => Some(name.as_str()),
            _ => None,
        });
        let is_present = |n: &str| state.members.get(n).is_some_and(|run| run.left.is_none());
        let joining: BTreeSet<&str> = joining.filter(|n| *n != name && !is_present(n)).collect();
        allocator.admits_with(state, name, joining.len())
    }

    pub(super) fn propose(&mut self, proposer: Proposer, command: Command) {
        if self.queue.len() < MAX_QUEUE {
            self.queue.push_back((proposer, command));
        } else if let Proposer::Join(connection) | Proposer::Leave(connection) = proposer {
            self.close(connection, "proposal queue full");
        }
    }

    /// Handles the end of the proposal in flight: its entry is committed, or its outcome is unknown.
    pub fn on_proposal_outcome(&mut self, done: ProposalOutcome) {
        let Some((changes, _)) = self.in_flight.take() else { return };
        self.state = self.context.applied.borrow().clone();
        let results = done.map(|d| d.0).unwrap_or_default();
        for (at, (proposer, command)) in changes.into_iter().enumerate() {
            match (proposer, results.get(at)) {
                (Proposer::Retire(connection), Some(CommandOutcome::Rejected { reason: why })) => {
                    if let Command::Retire(retirement) = &command {
                        self.reject_retirement(connection, retirement.clone(), why);
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
                // The front end connects again; an unused incarnation does no harm.
                (Proposer::Join(connection), None) => self.close(connection, "join not committed"),
                (Proposer::Leave(connection), _) => self.close(connection, "left"),
                (Proposer::Nobody, Some(CommandOutcome::Rejected { reason: why })) => {
                    tracing::warn!(target: "stagehoist_consensus", event = "retirement", why,
                        "change rejected by the cluster state");
                }
                _ => {}
            }
            if let (Command::InForce { function, generation, but_for }, Some(CommandOutcome::Changed)) =
                (command, results.get(at))
            {
                tracing::info!(target: "stagehoist_consensus", event = "retirement", %function, generation,
                    ?but_for,
                    "retirement in force");
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
        let changes: Vec<_> = self.queue.drain(..fitting.min(self.queue.len())).collect();
        let batch = Batch(changes.iter().map(|(_, c)| c.clone()).collect());
        self.statistics.proposals += 1;
        self.statistics.changes += changes.len() as u64;
        let raft = self.context.raft.clone();
        let proposal = async move {
            let written = tokio::time::timeout(PROPOSAL_TIMEOUT, raft.client_write(batch)).await;
            Some(written.ok()?.ok()?.data)
        };
        self.in_flight = Some((changes, Box::pin(proposal)));
    }
}
