//! A keeper's answers to the others.

use super::gate::{Gate, State};
use super::wire::{Ask, Reply, Stand};
use crate::kinds::Raft;
use openraft::error::RaftError;
use tokio::sync::mpsc;

/// What a keeper does with the calls of another.
pub struct Host {
    pub raft: Raft,
    pub gate: Gate,
    /// Where a leader hears that another waits for a later term.
    pub raise: mpsc::Sender<u64>,
}

/// Longest snapshot taken, in bytes.
const SNAPSHOT_MOST: u64 = 64 << 20;

impl Host {
    pub async fn answer(&self, from: u64, ask: Ask) -> Reply {
        match ask {
            Ask::Append(rpc) if self.gate.may_follow(rpc.vote.leader_id.term) => {
                self.raft.append_entries(rpc).await.map_or(Reply::Closed, Reply::Append)
            }
            Ask::Vote(rpc) if self.gate.may_vote() => {
                self.raft.vote(rpc).await.map_or(Reply::Closed, Reply::Vote)
            }
            Ask::Snapshot(rpc)
                if self.gate.may_follow(rpc.vote.leader_id.term)
                    && rpc.offset.saturating_add(rpc.data.len() as u64) <= SNAPSHOT_MOST =>
            {
                match self.raft.install_snapshot(rpc).await {
                    Ok(answer) => Reply::Snapshot(Ok(answer)),
                    Err(RaftError::APIError(e)) => Reply::Snapshot(Err(e)),
                    Err(RaftError::Fatal(_)) => Reply::Closed,
                }
            }
            Ask::Append(_) | Ask::Vote(_) | Ask::Snapshot(_) => Reply::Closed,
            Ask::Stand => Reply::Stand(self.stand(from)),
            Ask::Raise { above } => {
                let _ = self.raise.try_send(above);
                Reply::Heard
            }
        }
    }

    fn stand(&self, from: u64) -> Stand {
        let metrics = self.raft.metrics().borrow().clone();
        let (is_returning, bound) = match self.gate.state() {
            State::Returning { bound } => (true, bound),
            _ => (false, 0),
        };
        Stand {
            // The first entry is the membership that all begin with; whatever follows came from a leader.
            fresh: metrics.last_log_index.unwrap_or(0) == 0 && !is_returning,
            open: self.gate.may_vote(),
            term: metrics.current_term.max(bound),
            voter: metrics.membership_config.voter_ids().any(|v| v == from),
        }
    }
}
