//! The leader's maintenance of the replica membership.

use super::messages::{PeerRequest, PeerResponse};
use super::network::Peers;
use crate::types::Raft;
use openraft::{EmptyNode, ServerState};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive checks that must find a difference before the membership is changed.
const CHECKS_BEFORE_CHANGE: u32 = 3;
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that a leader withholds heartbeats so that another replica is elected.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// While this replica leads, changes Raft's membership to the configured replicas.
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
        // A new replica that is unreachable or may not vote yet could leave the change incomplete.
        if differed < CHECKS_BEFORE_CHANGE || !all_participating(&peers, told.difference(&present)).await {
            continue;
        }
        differed = 0;
        tracing::warn!(target: "stagehoist_consensus", event = "membership", ?present, ?told,
            "changing the membership of keepers");
        let changed = timeout(CHANGE_TIMEOUT, change(&raft, &present, &told)).await;
        match changed {
            Ok(Ok(())) => {
                tracing::info!(target: "stagehoist_consensus", event = "membership", ?told, "membership of keepers changed")
            }
            Ok(Err(why)) => {
                tracing::warn!(target: "stagehoist_consensus", event = "membership", why, "membership change failed")
            }
            Err(_) => {
                tracing::warn!(target: "stagehoist_consensus", event = "membership", "membership change timed out")
            }
        }
    }
}

async fn all_participating(peers: &Peers, new: impl Iterator<Item = &u64>) -> bool {
    for number in new {
        match peers.send_request(*number, PeerRequest::Status, ANSWER_TIMEOUT).await {
            Some(PeerResponse::Status(status)) if status.is_participating => {}
            _ => return false,
        }
    }
    true
}

async fn change(raft: &Raft, present: &BTreeSet<u64>, configured: &BTreeSet<u64>) -> Result<(), String> {
    for number in configured.difference(present) {
        raft.add_learner(*number, EmptyNode::default(), false).await.map_err(|e| e.to_string())?;
    }
    raft.change_membership(configured.clone(), false).await.map_err(|e| e.to_string())?;
    Ok(())
}

/// Withholds the leader's heartbeats briefly on request, so that a replica is elected in a later term: a replica that
/// lost its log waits for one.
pub async fn yield_term(raft: Raft, mut requests: mpsc::Receiver<u64>) {
    let mut metrics = raft.metrics();
    while let Some(above) = requests.recv().await {
        let leads = |m: &crate::types::Metrics| m.state == ServerState::Leader && m.current_term <= above;
        if !leads(&metrics.borrow_and_update()) {
            continue;
        }
        tracing::info!(target: "stagehoist_consensus", event = "membership", above, "withholding heartbeats so that a leader is elected in a later term");
        raft.runtime_config().heartbeat(false);
        let _ = timeout(SILENCE_TIMEOUT, metrics.wait_for(|m| !leads(m))).await;
        raft.runtime_config().heartbeat(true);
        // Requests that arrived meanwhile had the same reason.
        while requests.try_recv().is_ok() {}
    }
}
