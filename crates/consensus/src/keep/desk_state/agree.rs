//! How the desk gets changes agreed on: one entry at a time, with all that came since the one before.

use super::{Agreed, Desk, For};
use crate::frames::{encode, SAID_MOST};
use crate::kinds::{Batch, CHANGES_MOST};
use stagehoist_cluster_state::{Command, Done, Lead, ToMember};
use std::collections::BTreeSet;
use std::time::Duration;

/// Changes that wait to be proposed, and most in one entry.
pub(super) const QUEUE_MOST: usize = 4096;
const BATCH_MOST: usize = CHANGES_MOST as usize / 2;
/// Length of an entry in bytes, but for one change that is longer alone.
const ENTRY_MOST: usize = 2 * SAID_MOST;
const PROPOSAL_MOST: Duration = Duration::from_secs(3);

impl Desk {
    /// Whether a front end of this name has a place where lanes are dealt; those whose joining is under way count.
    pub(super) fn admits(&self, name: &str) -> bool {
        let Some(dealer) = self.lead.as_ref().and_then(Lead::dealer) else { return true };
        let record = &self.record.record;
        let flying = self.flight.iter().flat_map(|(asked, _)| asked);
        let coming = flying.chain(&self.queue).filter_map(|(_, command)| match command {
            Command::Join { name, .. } => Some(name.as_str()),
            _ => None,
        });
        let is_present = |n: &str| record.members.get(n).is_some_and(|run| run.left.is_none());
        let coming: BTreeSet<&str> = coming.filter(|n| *n != name && !is_present(n)).collect();
        dealer.admits_beside(record, name, coming.len())
    }

    pub(super) fn propose(&mut self, who: For, command: Command) {
        if self.queue.len() < QUEUE_MOST {
            self.queue.push_back((who, command));
        } else if let For::Join(conn) | For::Leave(conn) = who {
            self.close(conn, "too much waits");
        }
    }

    /// The entry under way is agreed on, or it is not known whether it will be.
    pub fn settle(&mut self, done: Agreed) {
        let Some((asked, _)) = self.flight.take() else { return };
        self.record = self.tools.applied.borrow().clone();
        let results = done.map(|d| d.0).unwrap_or_default();
        for (at, (who, command)) in asked.into_iter().enumerate() {
            match (who, results.get(at)) {
                (For::Retire(conn), Some(Done::Refused { why })) => {
                    if let Command::Retire(asked) = &command {
                        self.refuse(conn, asked.clone(), why);
                    }
                }
                (For::Retire(_), Some(Done::Changed)) => self.is_full = false,
                (For::Join(conn), Some(Done::Joined(member))) if self.conns.contains_key(&conn) => {
                    self.welcome(conn, member.clone());
                }
                (For::Join(conn), Some(Done::Refused { why })) => {
                    self.turn_away(conn, ToMember::Refused { why: why.clone() });
                }
                // Its front end comes again; a run that was counted in vain is not missed.
                (For::Join(conn), None) => self.close(conn, "not agreed on"),
                (For::Leave(conn), _) => self.close(conn, "left"),
                (For::Nobody, Some(Done::Refused { why })) => {
                    tracing::warn!(target: "stagehoist_consensus", event = "retirement", why,
                        "a change is refused");
                }
                _ => {}
            }
            if let (Command::InForce { function, generation, but_for }, Some(Done::Changed)) =
                (command, results.get(at))
            {
                tracing::info!(target: "stagehoist_consensus", event = "retirement", %function, generation,
                    ?but_for,
                    "in force");
            }
        }
    }

    pub(super) fn take_off(&mut self) {
        let mut length = 0;
        let mut fits = |(_, command): &(For, Command)| {
            length += encode(command).map_or(0, |c| c.len());
            length <= ENTRY_MOST
        };
        let fitting = self.queue.iter().take(BATCH_MOST).take_while(|c| fits(c)).count().max(1);
        let asked: Vec<_> = self.queue.drain(..fitting.min(self.queue.len())).collect();
        let batch = Batch(asked.iter().map(|(_, c)| c.clone()).collect());
        self.figures.proposals += 1;
        self.figures.changes += asked.len() as u64;
        let raft = self.tools.raft.clone();
        let flight = async move {
            let written = tokio::time::timeout(PROPOSAL_MOST, raft.client_write(batch)).await;
            Some(written.ok()?.ok()?.data)
        };
        self.flight = Some((asked, Box::pin(flight)));
    }
}
