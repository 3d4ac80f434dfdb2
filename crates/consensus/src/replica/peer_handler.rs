//! Handles requests from other replicas.

use super::messages::{PeerRequest, PeerResponse, ReplicaStatus};
use super::participation::{Participation, State};
use crate::types::Raft;
use openraft::error::RaftError;
use tokio::sync::mpsc;

/// Answers the requests of other replicas.
pub struct PeerHandler {
    pub raft: Raft,
    pub participation: Participation,
    /// Notifies this replica, if it leads, that another one waits for a later term.
    pub term_raises: mpsc::Sender<u64>,
}

/// Maximum length of an accepted snapshot in bytes.
const MAX_SNAPSHOT: u64 = 64 << 20;

impl PeerHandler {
    /// Answers a request of another replica.
    pub async fn answer(&self, from: u64, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Append(rpc) if self.participation.may_follow(rpc.vote.leader_id.term) => self
                .raft
                .append_entries(rpc)
                .await
                .map_or(PeerResponse::NotParticipating, PeerResponse::Append),
            PeerRequest::Vote(rpc) if self.participation.may_vote() => {
                self.raft.vote(rpc).await.map_or(PeerResponse::NotParticipating, PeerResponse::Vote)
            }
            PeerRequest::Snapshot(rpc)
                if self.participation.may_follow(rpc.vote.leader_id.term)
                    && rpc.offset.saturating_add(rpc.data.len() as u64) <= MAX_SNAPSHOT =>
            {
                match self.raft.install_snapshot(rpc).await {
                    Ok(answer) => PeerResponse::Snapshot(Ok(answer)),
                    Err(RaftError::APIError(e)) => PeerResponse::Snapshot(Err(e)),
                    Err(RaftError::Fatal(_)) => PeerResponse::NotParticipating,
                }
            }
            PeerRequest::Append(_) | PeerRequest::Vote(_) | PeerRequest::Snapshot(_) => {
                PeerResponse::NotParticipating
            }
            PeerRequest::Status => PeerResponse::Status(self.status(from)),
            PeerRequest::RaiseTerm { above } => {
                let _ = self.term_raises.try_send(above);
                PeerResponse::Acknowledged
            }
        }
    }

    fn status(&self, from: u64) -> ReplicaStatus {
        let metrics = self.raft.metrics().borrow().clone();
        let (is_returning, bound) = match self.participation.state() {
            State::Returning { bound } => (true, bound),
            _ => (false, 0),
        };
        ReplicaStatus {
            // Entry 0 is the membership that all replicas start with; all later entries come from a leader.
            is_new: metrics.last_log_index.unwrap_or(0) == 0 && !is_returning,
            is_participating: self.participation.may_vote(),
            term: metrics.current_term.max(bound),
            is_voter: metrics.membership_config.voter_ids().any(|v| v == from),
        }
    }
}
