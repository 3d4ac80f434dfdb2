//! When retirements come in force and are forgotten, and when runs that ended without a word leave.

use super::{Leader, Proposal, RetirementProgress};
use crate::{ClusterState, Command, Member, Micros, RetirementMode, Tombstone, TombstoneState, Version};
use std::collections::BTreeSet;

/// A run that may be in progress, and has not confirmed all that is retired.
struct LaggingRun {
    confirmed: Version,
    joined: Version,
    member: Member,
    /// Until when it may rely on a promise.
    relies_until: Micros,
}

/// What a tombstone is judged by: the late runs that have not confirmed it, whether one of them joined before
/// it, and whether such a one may rely on a promise.
struct TombstoneEvidence<'a> {
    lagging: &'a [LaggingRun],
    has_earlier_run: bool,
    has_relying_run: bool,
}

impl Leader {
    /// When [`Leader::due_commands`] may next have something: `now` where something changed since it was last asked,
    /// else by time alone. None: only a report or a change of the cluster state can bring something.
    pub fn next_due(&self, state: &ClusterState, now: Micros) -> Option<Micros> {
        if self.evaluated == Some(state.version) {
            self.wake.map(|wake| wake.max(now))
        } else {
            Some(now)
        }
    }

    /// Changes of the cluster state that are due. Nothing is looked at before [`Leader::next_due`]; then every run and
    /// tombstone once.
    pub fn due_commands(&mut self, state: &ClusterState, now: Micros) -> Vec<Command> {
        if self.next_due(state, now).is_none_or(|next| next > now) {
            return Vec::new();
        }
        self.evaluated = Some(state.version);
        (self.wake, self.is_waiting) = (None, false);
        self.sessions.retain(|m, _| state.is_present(m) || state.replaced.contains_key(m));
        let mut commands = self.last_leave_check(state, now);
        let lagging = self.lagging_runs(state, now);
        // Of the first so many late runs: the oldest joining of all, and of those that may rely on a promise.
        let mut oldest = vec![(Version::MAX, Version::MAX)];
        for run in &lagging {
            let (all, relying) = oldest[oldest.len() - 1];
            let relying = if now < run.relies_until { relying.min(run.joined) } else { relying };
            oldest.push((all.min(run.joined), relying));
        }
        let mut before = std::mem::take(&mut self.progress);
        for (function, tombstone) in &state.view.tombstones {
            let proposed = tombstone.proposed;
            let mut progress = before.remove(&proposed).unwrap_or(RetirementProgress {
                observed_at: now,
                confirmed_since: None,
                proposed: None,
            });
            let behind = lagging.partition_point(|run| run.confirmed < proposed);
            // Who joined later was never told less than that it is retired.
            let found = TombstoneEvidence {
                has_earlier_run: oldest[behind].0 < proposed,
                has_relying_run: oldest[behind].1 < proposed,
                lagging: &lagging[..behind],
            };
            commands.extend(self.evaluate(state, function, tombstone, &mut progress, &found, now));
            self.progress.insert(proposed, progress);
        }
        if self.is_waiting {
            let ends = lagging.iter().map(|run| run.relies_until).filter(|end| *end > now);
            ends.min().into_iter().for_each(|end| self.wake_at(end));
        }
        commands
    }

    /// The command that is due for one tombstone: it comes into force, excepts fewer members, or is forgotten.
    fn evaluate(
        &mut self,
        state: &ClusterState,
        function: &str,
        tombstone: &Tombstone,
        progress: &mut RetirementProgress,
        evidence: &TombstoneEvidence,
        now: Micros,
    ) -> Option<Command> {
        let but_for = self.excepted_members(state, tombstone, progress, evidence, now)?;
        let excepted = but_for.len();
        let is_unchanged = tombstone.state == TombstoneState::InForce { but_for: but_for.clone() };
        if is_unchanged && !self.may_forget(progress, evidence, now) {
            return None;
        }
        if !self.may_propose(progress, excepted, now) {
            return None;
        }
        progress.proposed = Some(Proposal { at: now, excepted });
        self.wake_at(now + self.retry_interval());
        let (function, generation) = (function.to_string(), tombstone.retirement.generation);
        Some(if is_unchanged {
            Command::Forget { function, generation }
        } else {
            Command::InForce { function, generation, but_for }
        })
    }

    /// The members at which a tombstone is not in force yet, where it is at all others; `None` where it has to wait.
    fn excepted_members(
        &mut self,
        state: &ClusterState,
        tombstone: &Tombstone,
        progress: &RetirementProgress,
        evidence: &TombstoneEvidence,
        now: Micros,
    ) -> Option<BTreeSet<Member>> {
        let lease_end = progress.observed_at + self.terms.grantor_span();
        match (&tombstone.state, tombstone.retirement.mode) {
            // A strict front end stops by itself once its lease has run out.
            (TombstoneState::Proposed, RetirementMode::Strict) if evidence.has_relying_run => {
                self.is_waiting = true;
                None
            }
            (TombstoneState::Proposed, RetirementMode::Strict) => Some(BTreeSet::new()),
            // An available one goes on until it confirmed. Whoever can be reached is informed within a lease,
            // several reports long; who has not confirmed by then is named, so that one long call in progress
            // holds up nobody's state.
            (TombstoneState::Proposed, RetirementMode::Available)
                if evidence.has_relying_run && now < lease_end =>
            {
                self.is_waiting = true;
                self.wake_at(lease_end);
                None
            }
            (TombstoneState::Proposed, RetirementMode::Available) => {
                let earlier = evidence.lagging.iter().filter(|run| run.joined < tombstone.proposed);
                Some(earlier.map(|run| run.member.clone()).collect())
            }
            // It only shrinks: a run that confirmed to an earlier leader has confirmed for good.
            (TombstoneState::InForce { but_for }, _) => {
                let is_excepted = |member: &&Member| {
                    !self.has_confirmed(member, tombstone.proposed)
                        && (state.is_present(member) || state.replaced.contains_key(*member))
                };
                Some(but_for.iter().filter(is_excepted).cloned().collect())
            }
        }
    }

    /// Whether a tombstone that is in force everywhere has been retained for long enough.
    fn may_forget(
        &mut self,
        progress: &mut RetirementProgress,
        evidence: &TombstoneEvidence,
        now: Micros,
    ) -> bool {
        if evidence.has_earlier_run {
            progress.confirmed_since = None;
            return false;
        }
        let due = *progress.confirmed_since.get_or_insert(now) + self.terms.tombstone_retention;
        if now < due {
            self.wake_at(due);
        }
        now >= due
    }

    /// Whether the last command for a tombstone has had its time to be agreed on. Each change sends the view to all, so
    /// names go from it together.
    fn may_propose(&mut self, progress: &RetirementProgress, excepted: usize, now: Micros) -> bool {
        let Some(last) = progress.proposed else { return true };
        let again_at = last.at + self.retry_interval();
        if now < again_at && (excepted > 0 || last.excepted == 0) {
            self.wake_at(again_at);
            return false;
        }
        true
    }

    /// Runs in whose place another joined and to which no promise stands any more leave.
    fn last_leave_check(&mut self, state: &ClusterState, now: Micros) -> Vec<Command> {
        let (gone, at_work): (Vec<_>, Vec<_>) =
            state.replaced.keys().partition(|m| self.relies_until(m) <= now);
        let next = at_work.into_iter().map(|m| self.relies_until(m)).min();
        next.into_iter().for_each(|end| self.wake_at(end));
        if gone.is_empty() {
            return Vec::new();
        }
        let again = self.last_leave_check.map_or(now, |at| at + self.retry_interval());
        if now < again {
            self.wake_at(again);
            return Vec::new();
        }
        self.last_leave_check = Some(now);
        self.wake_at(now + self.retry_interval());
        gone.into_iter().cloned().map(Command::Leave).collect()
    }

    /// Runs that may be in progress and have not confirmed all, those that confirmed least first.
    fn lagging_runs(&self, state: &ClusterState, now: Micros) -> Vec<LaggingRun> {
        let newest = state.view.tombstones.values().map(|t| t.proposed).max().unwrap_or(0);
        let present = state.members.iter().filter(|(_, run)| run.left.is_none());
        let present = present
            .map(|(name, run)| (Member { name: name.clone(), incarnation: run.incarnation }, run.joined));
        let replaced = state.replaced.iter().map(|(m, joined)| (m.clone(), *joined));
        let replaced = replaced.filter(|(m, _)| now < self.relies_until(m));
        let runs = present.chain(replaced).filter(|(_, joined)| *joined < newest);
        let mut lagging: Vec<LaggingRun> = runs
            .map(|(member, joined)| LaggingRun {
                confirmed: self.sessions.get(&member).map_or(0, |s| s.confirmed),
                joined,
                relies_until: self.relies_until(&member),
                member,
            })
            .filter(|run| run.confirmed < newest)
            .collect();
        lagging.sort_by_key(|run| run.confirmed);
        lagging
    }

    fn has_confirmed(&self, member: &Member, version: Version) -> bool {
        self.sessions.get(member).is_some_and(|s| s.confirmed >= version)
    }

    /// Until when a promise to a member, of this leader or of one before, may stand.
    fn relies_until(&self, member: &Member) -> Micros {
        let own = self.sessions.get(member).map_or(Micros::MIN, |s| s.promised_until);
        own.max(self.began + self.terms.takeover_wait())
    }

    /// Between two commands for the same thing, while the first may still be on its way.
    fn retry_interval(&self) -> Micros {
        self.terms.lease / 4
    }

    fn wake_at(&mut self, at: Micros) {
        self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
    }
}
