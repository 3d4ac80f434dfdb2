//! Questions about messages that front ends put to each other: the leader only passes them on.

use super::Desk;
use crate::keep::serve::OUT_MOST;
use stagehoist_registry::marks::KEYS_MOST;
use stagehoist_registry::{Known, Member, MessageKey, Micros, ToMember};

/// Its word of who has to answer counts while a majority answered it within this; with the 100 ms that an asker gives it, less
/// than the shortest time to an election.
const TRUSTED: Micros = 250_000;

impl Desk {
    /// Passes a question on, and tells who has to answer it: every name in the record but the asker's own. Silent where that
    /// can't be told: another may lead by now, or names were forgotten.
    pub(super) fn ask(
        &mut self,
        conn: u64,
        from: Member,
        (number, turn): (u64, u32),
        to: &[String],
        keys: Vec<MessageKey>,
    ) {
        if keys.len() > KEYS_MOST {
            return self.close(conn, "it asks for too much");
        }
        let record = &self.record.record;
        let trusted = self.now.saturating_sub(self.acked) <= self.tools.terms.quorum.min(TRUSTED);
        if self.lead.is_none() || !trusted || record.forgotten > 0 {
            return;
        }
        let of: Vec<String> = record.members.keys().filter(|name| **name != from.name).cloned().collect();
        let asked = of.iter().filter(|name| to.is_empty() || to.contains(name));
        let asked: Vec<u64> = asked.filter_map(|name| self.names.get(name).copied()).collect();
        self.say(conn, &ToMember::Asked { number, turn, of });
        let question = ToMember::Ask { from, number, keys };
        asked.into_iter().for_each(|conn| self.say_if_free(conn, &question));
    }

    /// Passes an answer on to the run that asked.
    pub(super) fn pass(&mut self, from: Member, to: &Member, number: u64, known: Vec<Known>) {
        let Some(conn) = self.names.get(&to.name).copied() else { return };
        if self.conns.get(&conn).is_some_and(|c| c.member.as_ref() == Some(to)) {
            self.say_if_free(conn, &ToMember::Answer { from: from.name, number, known });
        }
    }

    /// Questions never crowd out views and promises; they are asked again.
    fn say_if_free(&mut self, conn: u64, message: &ToMember) {
        if self.conns.get(&conn).is_some_and(|c| c.out.capacity() > OUT_MOST / 2) {
            self.say(conn, message);
        }
    }
}
