//! What the leading keeper knows beside the record: who confirmed what, which promises stand. It is forgotten with the
//! leadership; a new leader counts every promise that it does not know of as standing for [`Terms::silence`].

use crate::{Command, Grant, Member, Micros, Mode, Record, Report, State, Terms, Version};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
struct Session {
    confirmed: Version,
    /// Until when a promise given to it may be relied on.
    promised: Micros,
}

/// The state of a leadership.
#[derive(Clone, Debug)]
pub struct Lead {
    terms: Terms,
    began: Micros,
    sessions: BTreeMap<Member, Session>,
    /// Tombstones in force at every member, and since when.
    settled: BTreeMap<(String, u32), Micros>,
}

impl Lead {
    /// A leadership begins.
    pub fn new(terms: Terms, now: Micros) -> Lead {
        Lead { terms, began: now, sessions: BTreeMap::new(), settled: BTreeMap::new() }
    }

    /// A member reported. `acked` is when a majority is known to have followed this leader, by this keeper's clock: the time at
    /// which the oldest of the newest answers of a majority was asked for. No promise where that is too long ago, or where the
    /// member is not a present one.
    pub fn report(
        &mut self,
        record: &Record,
        member: &Member,
        report: &Report,
        now: Micros,
        acked: Micros,
    ) -> Option<Grant> {
        if !record.present().any(|m| m == *member) || now - acked > self.terms.quorum {
            return None;
        }
        let given = self.terms.given();
        let session = self.sessions.entry(member.clone()).or_default();
        session.confirmed = session.confirmed.max(report.confirmed);
        session.promised = session.promised.max(now + given);
        Some(Grant {
            number: report.number,
            version: record.view.version,
            lease: self.terms.lease,
            lanes: Vec::new(),
        })
    }

    /// Changes of the record that are due.
    pub fn due(&mut self, record: &Record, now: Micros) -> Vec<Command> {
        self.sessions
            .retain(|member, _| record.members.get(&member.name) == Some(&(member.incarnation, false)));
        let mut commands = Vec::new();
        for (function, tombstone) in &record.view.tombstones {
            let generation = tombstone.retirement.generation;
            let open: BTreeSet<Member> =
                record.present().filter(|m| !self.has_confirmed(m, tombstone.proposed)).collect();
            // A strict one stops by itself once its lease has run out; an available one goes on until it confirmed.
            let serving = |m: &Member| match tombstone.retirement.mode {
                Mode::Strict => self.may_rely(m, now),
                Mode::Available => false,
            };
            if open.iter().any(serving) {
                continue;
            }
            let but_for = match tombstone.retirement.mode {
                Mode::Strict => BTreeSet::new(),
                // Those that a word may still reach are waited for.
                Mode::Available
                    if open.iter().any(|m| self.may_rely(m, now)) && tombstone.in_force.is_none() =>
                {
                    continue
                }
                Mode::Available => open.clone(),
            };
            let state = State::InForce { but_for: but_for.clone() };
            if tombstone.state != state {
                commands.push(Command::InForce { function: function.clone(), generation, but_for });
            } else if open.is_empty() {
                let since = *self.settled.entry((function.clone(), generation)).or_insert(now);
                if now - since >= self.terms.remember {
                    commands.push(Command::Forget { function: function.clone(), generation });
                }
            }
        }
        commands
    }

    fn has_confirmed(&self, member: &Member, version: Version) -> bool {
        self.sessions.get(member).is_some_and(|s| s.confirmed >= version)
    }

    /// Whether a promise to a member, of this leader or of one before, may stand.
    fn may_rely(&self, member: &Member, now: Micros) -> bool {
        let own = self.sessions.get(member).map_or(Micros::MIN, |s| s.promised);
        now < own.max(self.began + self.terms.silence())
    }
}
