//! Inquiries about messages between front ends, which the leader only forwards.

#[cfg(test)]
mod tests;

use super::SessionService;
use crate::replica::connection::OUTPUT_CAPACITY;
use stagehoist_cluster_state::inquiry::MAX_KEYS;
use stagehoist_cluster_state::{Member, MessageKey, MessageKnowledge, Micros, SessionResponse};
use std::collections::BTreeSet;

/// The leader's list of members that must answer is valid only if a majority acknowledged the leader within this time.
/// Together with the 100 ms that an inquirer allows, this is less than the shortest election timeout.
const MAJORITY_ACK_VALIDITY: Micros = 250_000;

/// The members in `names` to which an inquiry is forwarded: those that are also in `to`, which lists the members that
/// have not answered yet, or all if `to` is empty. Uses a set, as both lists grow with the fleet.
fn remaining_members<'a, T: Ord>(names: &'a [T], to: &[T]) -> Vec<&'a T> {
    let remaining: BTreeSet<&T> = to.iter().collect();
    names.iter().filter(|name| remaining.is_empty() || remaining.contains(name)).collect()
}

impl SessionService {
    /// Forwards an inquiry, and reports which members must answer it: every name in the cluster state except the
    /// inquirer's. Does nothing if this list may be wrong, because another replica may lead by now or names were
    /// forgotten.
    pub(super) fn on_inquiry(
        &mut self,
        connection: u64,
        from: Member,
        (number, inquiry_round): (u64, u32),
        to: &[String],
        keys: Vec<MessageKey>,
    ) {
        if keys.len() > MAX_KEYS {
            return self.close(connection, "inquiry has too many keys");
        }
        let state = &self.state.state;
        let has_majority = self.now.saturating_sub(self.acknowledged_at)
            <= self.context.terms.quorum.min(MAJORITY_ACK_VALIDITY);
        if self.leadership.is_none() || !has_majority || state.forgotten > 0 {
            return;
        }
        let names: Vec<String> = state.members.keys().filter(|name| **name != from.name).cloned().collect();
        let connections: Vec<u64> = remaining_members(&names, to)
            .into_iter()
            .filter_map(|name| self.by_name.get(name).copied())
            .collect();
        self.send(
            connection,
            &SessionResponse::InquiryMembers { number, round: inquiry_round, members: names },
        );
        let inquiry = SessionResponse::Inquire { from, number, keys };
        connections.into_iter().for_each(|connection| self.try_send(connection, &inquiry));
    }

    /// Forwards an answer to the run that inquired.
    pub(super) fn forward_answer(
        &mut self,
        from: Member,
        to: &Member,
        number: u64,
        known: Vec<MessageKnowledge>,
    ) {
        let Some(connection) = self.by_name.get(&to.name).copied() else { return };
        if self.connections.get(&connection).is_some_and(|c| c.member.as_ref() == Some(to)) {
            self.try_send(connection, &SessionResponse::Answer { from: from.name, number, known });
        }
    }

    /// Sends a message only if at least half of the output queue stays free; inquiries are retried. One batch of the
    /// service can contain more answers than the queue has capacity, and a view or grant that finds the queue full ends
    /// the connection.
    fn try_send(&mut self, connection: u64, message: &SessionResponse) {
        if self.connections.get(&connection).is_some_and(|c| c.output.capacity() > OUTPUT_CAPACITY / 2) {
            self.send(connection, message);
        }
    }
}
