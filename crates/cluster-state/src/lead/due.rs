//! When retirements come in force and are forgotten, and when runs that ended without a word leave.

use super::{Course, Lead};
use crate::{Command, Member, Micros, Mode, Record, State, Tombstone, Version};
use std::collections::BTreeSet;

/// A run that may be at work, and has not confirmed all that is retired.
struct Late {
    confirmed: Version,
    joined: Version,
    member: Member,
    /// Until when it may rely on a promise.
    relies: Micros,
}

/// What a tombstone is judged by: the late runs that have not confirmed it, whether one of them joined before
/// it, and whether such a one may rely on a promise.
struct Found<'a> {
    behind: &'a [Late],
    open: bool,
    reached: bool,
}

impl Lead {
    /// When [`Lead::due`] may next have something: `now` where something changed since it was last asked,
    /// else by time alone. None: only a report or a change of the record can bring something.
    pub fn next(&self, record: &Record, now: Micros) -> Option<Micros> {
        if self.judged == Some(record.version) {
            self.wake.map(|wake| wake.max(now))
        } else {
            Some(now)
        }
    }

    /// Changes of the record that are due. Nothing is looked at before [`Lead::next`]; then every run and
    /// tombstone once.
    pub fn due(&mut self, record: &Record, now: Micros) -> Vec<Command> {
        if self.next(record, now).is_none_or(|next| next > now) {
            return Vec::new();
        }
        self.judged = Some(record.version);
        (self.wake, self.waits) = (None, false);
        self.sessions.retain(|m, _| record.is_present(m) || record.replaced.contains_key(m));
        let mut commands = self.let_leave(record, now);
        let late = self.late(record, now);
        // Of the first so many late runs: the oldest joining of all, and of those that may rely on a promise.
        let mut oldest = vec![(Version::MAX, Version::MAX)];
        for run in &late {
            let (all, relying) = oldest[oldest.len() - 1];
            let relying = if now < run.relies { relying.min(run.joined) } else { relying };
            oldest.push((all.min(run.joined), relying));
        }
        let mut before = std::mem::take(&mut self.courses);
        for (function, tombstone) in &record.view.tombstones {
            let proposed = tombstone.proposed;
            let mut course =
                before.remove(&proposed).unwrap_or(Course { seen: now, settled: None, written: None });
            let behind = late.partition_point(|run| run.confirmed < proposed);
            // Who joined later was never told less than that it is retired.
            let found = Found {
                open: oldest[behind].0 < proposed,
                reached: oldest[behind].1 < proposed,
                behind: &late[..behind],
            };
            commands.extend(self.judge(record, function, tombstone, &mut course, &found, now));
            self.courses.insert(proposed, course);
        }
        if self.waits {
            let ends = late.iter().map(|run| run.relies).filter(|end| *end > now);
            ends.min().into_iter().for_each(|end| self.wake_at(end));
        }
        commands
    }

    /// What is due for one tombstone.
    fn judge(
        &mut self,
        record: &Record,
        function: &str,
        tombstone: &Tombstone,
        course: &mut Course,
        found: &Found,
        now: Micros,
    ) -> Option<Command> {
        let (function, generation) = (function.to_string(), tombstone.retirement.generation);
        let but_for: BTreeSet<Member> = match (&tombstone.state, tombstone.retirement.mode) {
            // A strict front end stops by itself once its lease has run out.
            (State::Proposed, Mode::Strict) if found.reached => {
                self.waits = true;
                return None;
            }
            (State::Proposed, Mode::Strict) => BTreeSet::new(),
            // An available one goes on until it confirmed. Whoever can be reached is told within a lease,
            // several reports long; who has not confirmed by then is named, so that one long call at work
            // holds up nobody's state.
            (State::Proposed, Mode::Available) if found.reached && now < course.seen + self.terms.given() => {
                self.waits = true;
                self.wake_at(course.seen + self.terms.given());
                return None;
            }
            (State::Proposed, Mode::Available) => {
                let open = found.behind.iter().filter(|run| run.joined < tombstone.proposed);
                open.map(|run| run.member.clone()).collect()
            }
            // It only shrinks: a run that confirmed to an earlier leader has confirmed for good.
            (State::InForce { but_for }, _) => {
                let open = |m: &&Member| {
                    !self.has_confirmed(m, tombstone.proposed)
                        && (record.is_present(m) || record.replaced.contains_key(m))
                };
                but_for.iter().filter(open).cloned().collect()
            }
        };
        let excepted = but_for.len();
        let state = State::InForce { but_for };
        let forget = tombstone.state == state;
        if forget {
            if found.open {
                course.settled = None;
                return None;
            }
            let due = *course.settled.get_or_insert(now) + self.terms.remember;
            if now < due {
                self.wake_at(due);
                return None;
            }
        }
        // What was handed out is being agreed on. Each change sends the view to all, so names go from it
        // together.
        let pause = self.pause();
        if let Some((at, last)) = course.written {
            if now < at + pause && (excepted > 0 || last == 0) {
                self.wake_at(at + pause);
                return None;
            }
        }
        course.written = Some((now, excepted));
        self.wake_at(now + pause);
        Some(match state {
            State::InForce { but_for } if !forget => Command::InForce { function, generation, but_for },
            _ => Command::Forget { function, generation },
        })
    }

    /// Runs in whose place another joined and to which no promise stands any more leave.
    fn let_leave(&mut self, record: &Record, now: Micros) -> Vec<Command> {
        let (gone, at_work): (Vec<_>, Vec<_>) = record.replaced.keys().partition(|m| self.relies(m) <= now);
        let next = at_work.into_iter().map(|m| self.relies(m)).min();
        next.into_iter().for_each(|end| self.wake_at(end));
        if gone.is_empty() {
            return Vec::new();
        }
        let again = self.let_leave.map_or(now, |at| at + self.pause());
        if now < again {
            self.wake_at(again);
            return Vec::new();
        }
        self.let_leave = Some(now);
        self.wake_at(now + self.pause());
        gone.into_iter().cloned().map(Command::Leave).collect()
    }

    /// Runs that may be at work and have not confirmed all, those that confirmed least first.
    fn late(&self, record: &Record, now: Micros) -> Vec<Late> {
        let newest = record.view.tombstones.values().map(|t| t.proposed).max().unwrap_or(0);
        let present = record.members.iter().filter(|(_, run)| run.left.is_none());
        let present = present
            .map(|(name, run)| (Member { name: name.clone(), incarnation: run.incarnation }, run.joined));
        let replaced = record.replaced.iter().map(|(m, joined)| (m.clone(), *joined));
        let replaced = replaced.filter(|(m, _)| now < self.relies(m));
        let runs = present.chain(replaced).filter(|(_, joined)| *joined < newest);
        let mut late: Vec<Late> = runs
            .map(|(member, joined)| Late {
                confirmed: self.sessions.get(&member).map_or(0, |s| s.confirmed),
                joined,
                relies: self.relies(&member),
                member,
            })
            .filter(|run| run.confirmed < newest)
            .collect();
        late.sort_by_key(|run| run.confirmed);
        late
    }

    fn has_confirmed(&self, member: &Member, version: Version) -> bool {
        self.sessions.get(member).is_some_and(|s| s.confirmed >= version)
    }

    /// Until when a promise to a member, of this leader or of one before, may stand.
    fn relies(&self, member: &Member) -> Micros {
        let own = self.sessions.get(member).map_or(Micros::MIN, |s| s.promised);
        own.max(self.began + self.terms.silence())
    }

    /// Between two commands for the same thing, while the first may still be on its way.
    fn pause(&self) -> Micros {
        self.terms.lease / 4
    }

    fn wake_at(&mut self, at: Micros) {
        self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
    }
}
