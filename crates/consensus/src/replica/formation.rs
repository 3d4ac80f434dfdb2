//! How a replica with an empty or lost store forms, joins or rejoins the cluster.

use super::messages::{PeerRequest, PeerResponse, ReplicaStatus};
use super::network::Peers;
use super::participation::{Participation, State};
use crate::store::{Start, Store};
use crate::types::{Applied, Raft};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::watch;

#[cfg(test)]
mod tests;

const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Rounds of status requests between two log lines.
const LOG_INTERVAL_ROUNDS: u32 = 25;
const RAISE_INTERVAL: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// What a replica without a usable store does, based on the status that the other replicas report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecoveryAction {
    /// No replica has any state: form the first membership.
    Form,
    /// The others have a membership without this replica: wait to be added. It has no state that could be lost.
    Join,
    /// This replica may have lost its vote and log up to this term.
    Return(u64),
    /// Too few replicas answered to decide.
    Wait,
}

/// Decides by the number of other configured replicas and the status of those that answered.
fn choose_action(start: Start, others: usize, answers: &BTreeMap<u64, ReplicaStatus>) -> RecoveryAction {
    if start == Start::Pristine {
        if answers.values().all(|a| a.is_new) && 2 * (answers.len() + 1) > others + 1 {
            return RecoveryAction::Form;
        }
        // This replica never voted in that membership or has been removed from it. If it was removed, each change
        // that it helped to commit has reached a majority of the others.
        let without = answers.values().filter(|a| !a.is_new && !a.is_voter && a.is_participating).count();
        if 2 * without > others {
            return RecoveryAction::Join;
        }
    }
    // A candidate knows the term in which this replica voted for it, so the highest term of all others is an upper
    // bound.
    if answers.len() == others && others > 0 {
        return RecoveryAction::Return(answers.values().map(|a| a.term).max().unwrap_or(0));
    }
    RecoveryAction::Wait
}

/// Runs until the replica participates fully.
pub async fn join_or_form(
    start: Start,
    numbers: BTreeSet<u64>,
    store: Store,
    raft: Raft,
    participation: Participation,
    peers: Peers,
    mut applied: watch::Receiver<Applied>,
) {
    if let Start::Intact = start {
        return;
    }
    let mut requests = 0u32;
    while participation.state() == State::Undecided {
        let answers = request_status(&peers).await;
        match choose_action(start, peers.numbers().len(), &answers) {
            RecoveryAction::Form => {
                participation.set(State::Open);
                // All replicas propose the same set; Raft accepts it only if there is no membership yet.
                let nodes = numbers.iter().map(|n| (*n, openraft::EmptyNode::default()));
                if let Err(e) = raft.initialize(nodes.collect::<BTreeMap<_, _>>()).await {
                    tracing::debug!(target: "stagehoist_consensus", why = %e, "membership not initialized because one already exists");
                }
            }
            RecoveryAction::Join => participation.set(State::Open),
            RecoveryAction::Return(bound) => match store.save_bound(Some(bound)).await {
                Ok(()) => participation.set(State::Returning { bound }),
                Err(e) => {
                    tracing::error!(target: "stagehoist_consensus", event = "store", why = %e, "can't write the recovery bound to the store");
                }
            },
            RecoveryAction::Wait => {
                if requests.is_multiple_of(LOG_INTERVAL_ROUNDS) {
                    tracing::warn!(target: "stagehoist_consensus", event = "store", answered = answers.len(),
                        of = peers.numbers().len(), "store is empty or lost; waiting for status from the other keepers");
                }
                requests += 1;
                tokio::time::sleep(STATUS_INTERVAL).await;
            }
        }
    }
    if let State::Returning { bound } = participation.state() {
        tracing::warn!(target: "stagehoist_consensus", event = "store", bound, "log lost; recovering from the other keepers");
        while !participation.has_recovered(applied.borrow_and_update().last) {
            for number in peers.numbers() {
                peers.send_request(number, PeerRequest::RaiseTerm { above: bound }, ANSWER_TIMEOUT).await;
            }
            let _ = tokio::time::timeout(
                RAISE_INTERVAL,
                applied.wait_for(|a| participation.has_recovered(a.last)),
            )
            .await;
        }
        while let Err(e) = store.save_bound(None).await {
            tracing::error!(target: "stagehoist_consensus", event = "store", why = %e, "can't clear the recovery bound in the store");
            tokio::time::sleep(RAISE_INTERVAL).await;
        }
        participation.set(State::Open);
        tracing::info!(target: "stagehoist_consensus", event = "store", bound, "log restored from the other keepers");
    }
    raft.runtime_config().elect(true);
}

async fn request_status(peers: &Peers) -> BTreeMap<u64, ReplicaStatus> {
    let requests = peers.numbers().into_iter().map(|n| async move {
        match peers.send_request(n, PeerRequest::Status, ANSWER_TIMEOUT).await {
            Some(PeerResponse::Status(status)) => Some((n, status)),
            _ => None,
        }
    });
    futures_util::future::join_all(requests).await.into_iter().flatten().collect()
}
