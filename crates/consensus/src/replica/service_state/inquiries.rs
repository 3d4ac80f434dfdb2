//! Questions about messages that front ends put to each other: the leader only passes them on.

#[cfg(test)]
mod tests;

use super::SessionService;
use crate::replica::connection::OUTPUT_CAPACITY;
use stagehoist_cluster_state::inquiry::MAX_KEYS;
use stagehoist_cluster_state::{Member, MessageKey, MessageKnowledge, Micros, SessionResponse};
use std::collections::BTreeSet;

/// Its word of who has to answer counts while a majority answered it within this; with the 100 ms that an asker gives it, less
/// than the shortest time to an election.
const MAJORITY_TRUSTED: Micros = 250_000;

/// Those of the names that a question goes to: who has not said yet; empty: all. Both grow with the fleet.
fn remaining_members<'a, T: Ord>(of: &'a [T], to: &[T]) -> Vec<&'a T> {
    let open: BTreeSet<&T> = to.iter().collect();
    of.iter().filter(|name| open.is_empty() || open.contains(name)).collect()
}

impl SessionService {
    /// Passes a question on, and tells who has to answer it: every name in the cluster state but the asker's own. Silent where that
    /// can't be told: another may lead by now, or names were forgotten.
    pub(super) fn on_inquiry(
        &mut self,
        connection: u64,
        from: Member,
        (number, turn): (u64, u32),
        to: &[String],
        keys: Vec<MessageKey>,
    ) {
        if keys.len() > MAX_KEYS {
            return self.close(connection, "it asks for too much");
        }
        let state = &self.state.state;
        let trusted =
            self.now.saturating_sub(self.acknowledged_at) <= self.context.terms.quorum.min(MAJORITY_TRUSTED);
        if self.leadership.is_none() || !trusted || state.forgotten > 0 {
            return;
        }
        let of: Vec<String> = state.members.keys().filter(|name| **name != from.name).cloned().collect();
        let asked: Vec<u64> = remaining_members(&of, to)
            .into_iter()
            .filter_map(|name| self.by_name.get(name).copied())
            .collect();
        self.send(connection, &SessionResponse::InquiryMembers { number, round: turn, members: of });
        let question = SessionResponse::Inquire { from, number, keys };
        asked.into_iter().for_each(|connection| self.try_send(connection, &question));
    }

    /// Passes an answer on to the run that asked.
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

    /// Questions never crowd out views and promises; they are asked again. Half the room stays free: one turn of the desk
    /// takes in more answers than there is room, and a view or promise that finds none ends the connection.
    fn try_send(&mut self, connection: u64, message: &SessionResponse) {
        if self.connections.get(&connection).is_some_and(|c| c.output.capacity() > OUTPUT_CAPACITY / 2) {
            self.send(connection, message);
        }
    }
}
