//! What a leader does for the membership of the replicas.

use super::messages::{PeerRequest, PeerResponse};
use super::network::Peers;
use crate::types::Raft;
use openraft::{EmptyNode, ServerState};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Looks in a row that must find the same difference.
const CHECKS_BEFORE_CHANGE: u32 = 3;
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a leader is silent for another to be elected, at most.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Brings Raft's membership in line with the replicas that this process is notified of, while it leads.
pub async fn maintain_membership(raft: Raft, told: BTreeSet<u64>, peers: Peers) {
    let mut differed = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        let metrics = raft.metrics().borrow().clone();
        let present: BTreeSet<u64> = metrics.membership_config.voter_ids().collect();
        if metrics.state != ServerState::Leader || present == told {
            differed = 0;
            continue;
        }
        differed += 1;
        // One that can't be reached, or may not vote yet, could leave the change half made.
        if differed < CHECKS_BEFORE_CHANGE || !all_open(&peers, told.difference(&present)).await {
            continue;
        }
        differed = 0;
        tracing::warn!(target: "stagehoist_consensus", event = "membership", ?present, ?told,
            "changing the keepers");
        let changed = timeout(CHANGE_TIMEOUT, change(&raft, &present, &told)).await;
        match changed {
            Ok(Ok(())) => {
                tracing::info!(target: "stagehoist_consensus", event = "membership", ?told, "changed")
            }
            Ok(Err(why)) => {
                tracing::warn!(target: "stagehoist_consensus", event = "membership", why, "not changed")
            }
            Err(_) => {
                tracing::warn!(target: "stagehoist_consensus", event = "membership", "not changed in time")
            }
        }
    }
}

async fn all_open(peers: &Peers, new: impl Iterator<Item = &u64>) -> bool {
    for number in new {
        match peers.call(*number, PeerRequest::Status, ANSWER_TIMEOUT).await {
            Some(PeerResponse::Status(stand)) if stand.is_participating => {}
            _ => return false,
        }
    }
    true
}

async fn change(raft: &Raft, present: &BTreeSet<u64>, told: &BTreeSet<u64>) -> Result<(), String> {
    for number in told.difference(present) {
        raft.add_learner(*number, EmptyNode::default(), false).await.map_err(|e| e.to_string())?;
    }
    raft.change_membership(told.clone(), false).await.map_err(|e| e.to_string())?;
    Ok(())
}

/// A leader falls silent for a moment, so that another is elected with a later term: a replica that lost its
/// log waits for one.
pub async fn yield_term(raft: Raft, mut raised: mpsc::Receiver<u64>) {
    let mut metrics = raft.metrics();
    while let Some(above) = raised.recv().await {
        let leads = |m: &crate::types::Metrics| m.state == ServerState::Leader && m.current_term <= above;
        if !leads(&metrics.borrow_and_update()) {
            continue;
        }
        tracing::info!(target: "stagehoist_consensus", event = "membership", above, "yielding for a later term");
        raft.runtime_config().heartbeat(false);
        let _ = timeout(SILENCE_TIMEOUT, metrics.wait_for(|m| !leads(m))).await;
        raft.runtime_config().heartbeat(true);
        // What was asked meanwhile was asked for the same reason.
        while raised.try_recv().is_ok() {}
    }
}
