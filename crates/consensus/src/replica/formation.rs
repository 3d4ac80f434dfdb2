//! How a replica that has nothing, or lost what it had, finds its place.

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
/// Rounds of questions between two lines in the log.
const LOG_INTERVAL_ROUNDS: u32 = 25;
const RAISE_INTERVAL: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// What a replica without a store is to do by what the others say of themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    /// No replica has anything: the first membership is formed.
    Form,
    /// The others have a membership without it: it waits to be taken in, and has nothing to lose.
    Join,
    /// It may have lost what it knew up to this term.
    Return(u64),
    /// Too few answered.
    Wait,
}

/// `others` are all that are told, `answers` of those that answered.
fn choose(start: Start, others: usize, answers: &BTreeMap<u64, ReplicaStatus>) -> Choice {
    if start == Start::Pristine {
        if answers.values().all(|a| a.is_new) && 2 * (answers.len() + 1) > others + 1 {
            return Choice::Form;
        }
        // It never voted there, or was taken out since: then each change that it helped with reached a
        // majority of the others.
        let without = answers.values().filter(|a| !a.is_new && !a.is_voter && a.is_participating).count();
        if 2 * without > others {
            return Choice::Join;
        }
    }
    // A term in which it voted for another is known to that other, so the highest of all others bounds it.
    if answers.len() == others && others > 0 {
        return Choice::Return(answers.values().map(|a| a.term).max().unwrap_or(0));
    }
    Choice::Wait
}

/// Brings a replica to where it takes part fully; ends then.
pub async fn join_or_form(
    start: Start,
    numbers: BTreeSet<u64>,
    store: Store,
    raft: Raft,
    gate: Participation,
    peers: Peers,
    mut applied: watch::Receiver<Applied>,
) {
    if let Start::Intact = start {
        return;
    }
    let mut asked = 0u32;
    while gate.state() == State::Undecided {
        let answers = request_status(&peers).await;
        match choose(start, peers.numbers().len(), &answers) {
            Choice::Form => {
                gate.set(State::Open);
                // All begin with the same set; Raft takes it where nothing is there yet.
                let nodes = numbers.iter().map(|n| (*n, openraft::EmptyNode::default()));
                if let Err(e) = raft.initialize(nodes.collect::<BTreeMap<_, _>>()).await {
                    tracing::debug!(target: "stagehoist_consensus", why = %e, "a membership was there already");
                }
            }
            Choice::Join => gate.set(State::Open),
            Choice::Return(bound) => match store.save_bound(Some(bound)).await {
                Ok(()) => gate.set(State::Returning { bound }),
                Err(e) => {
                    tracing::error!(target: "stagehoist_consensus", event = "store", why = %e, "store fails");
                }
            },
            Choice::Wait => {
                if asked.is_multiple_of(LOG_INTERVAL_ROUNDS) {
                    tracing::warn!(target: "stagehoist_consensus", event = "store", answered = answers.len(),
                        of = peers.numbers().len(), "nothing in the store; waiting for the others");
                }
                asked += 1;
                tokio::time::sleep(STATUS_INTERVAL).await;
            }
        }
    }
    if let State::Returning { bound } = gate.state() {
        tracing::warn!(target: "stagehoist_consensus", event = "store", bound, "returning without its log");
        while !gate.is_back(applied.borrow_and_update().last) {
            for number in peers.numbers() {
                peers.call(number, PeerRequest::RaiseTerm { above: bound }, ANSWER_TIMEOUT).await;
            }
            let _ = tokio::time::timeout(RAISE_INTERVAL, applied.wait_for(|a| gate.is_back(a.last))).await;
        }
        while let Err(e) = store.save_bound(None).await {
            tracing::error!(target: "stagehoist_consensus", event = "store", why = %e, "store fails");
            tokio::time::sleep(RAISE_INTERVAL).await;
        }
        gate.set(State::Open);
        tracing::info!(target: "stagehoist_consensus", event = "store", bound, "its log came back");
    }
    raft.runtime_config().elect(true);
}

async fn request_status(peers: &Peers) -> BTreeMap<u64, ReplicaStatus> {
    let asked = peers.numbers().into_iter().map(|n| async move {
        match peers.call(n, PeerRequest::Status, ANSWER_TIMEOUT).await {
            Some(PeerResponse::Status(stand)) => Some((n, stand)),
            _ => None,
        }
    });
    futures_util::future::join_all(asked).await.into_iter().flatten().collect()
}
