//! Decides when retirements take effect and when their tombstones are forgotten, and when replaced runs leave.

use super::{Leader, Proposal, RetirementProgress};
use crate::{ClusterState, Command, Member, Micros, RetirementMode, Tombstone, TombstoneState, Version};
use std::collections::BTreeSet;

/// A run that may be in progress and has not confirmed all retirements.
struct LaggingRun {
    confirmed: Version,
    joined: Version,
    member: Member,
    /// When its last lease, from this leader or an earlier one, expires.
    relies_until: Micros,
}

/// The runs that have not confirmed a tombstone, from which the next command for the tombstone is decided.
struct TombstoneEvidence<'a> {
    lagging: &'a [LaggingRun],
    /// Whether a lagging run joined before the tombstone was proposed.
    has_earlier_run: bool,
    /// Whether a lagging run that joined before the tombstone was proposed may hold a valid lease.
    has_relying_run: bool,
}

impl Leader {
    /// Returns when [`Leader::due_commands`] may next return commands: `now` if the state changed since the last call,
    /// else the time of the next expiry. `None`: only a report or a change of the cluster state can make a command due.
    pub fn next_due(&self, state: &ClusterState, now: Micros) -> Option<Micros> {
        if self.evaluated == Some(state.version) {
            self.wake.map(|wake| wake.max(now))
        } else {
            Some(now)
        }
    }

    /// Returns the commands that are due. A call before [`Leader::next_due`] evaluates nothing; a call at or after it
    /// evaluates every run and every tombstone once.
    pub fn due_commands(&mut self, state: &ClusterState, now: Micros) -> Vec<Command> {
        if self.next_due(state, now).is_none_or(|next| next > now) {
            return Vec::new();
        }
        self.evaluated = Some(state.version);
        (self.wake, self.is_waiting) = (None, false);
        self.sessions.retain(|m, _| state.is_present(m) || state.replaced.contains_key(m));
        let mut commands = self.due_leaves(state, now);
        let lagging = self.lagging_runs(state, now);
        // Entry n covers the first n lagging runs: the earliest join version of all of them, and the earliest join version
        // of those that may hold a valid lease.
        let mut oldest = vec![(Version::MAX, Version::MAX)];
        for run in &lagging {
            let (all, relying) = oldest[oldest.len() - 1];
            let relying = if now < run.relies_until { relying.min(run.joined) } else { relying };
            oldest.push((all.min(run.joined), relying));
        }
        let mut earlier = std::mem::take(&mut self.progress);
        for (function, tombstone) in &state.view.tombstones {
            let proposed = tombstone.proposed;
            let mut progress = earlier.remove(&proposed).unwrap_or(RetirementProgress {
                observed_at: now,
                confirmed_since: None,
                proposed: None,
            });
            let behind = lagging.partition_point(|run| run.confirmed < proposed);
            // A run that joined later than the proposal never received a view without the tombstone.
            let evidence = TombstoneEvidence {
                has_earlier_run: oldest[behind].0 < proposed,
                has_relying_run: oldest[behind].1 < proposed,
                lagging: &lagging[..behind],
            };
            commands.extend(self.evaluate(state, function, tombstone, &mut progress, &evidence, now));
            self.progress.insert(proposed, progress);
        }
        if self.is_waiting {
            let ends = lagging.iter().map(|run| run.relies_until).filter(|end| *end > now);
            ends.min().into_iter().for_each(|end| self.wake_at(end));
        }
        commands
    }

    /// Returns the command that is due for one tombstone: to put it in force, to except fewer members, or to forget it.
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

    /// Returns the members to except when the tombstone is put or kept in force; `None` if it has to wait.
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
            // A front end in strict mode stops serving the function by itself once its lease has expired.
            (TombstoneState::Proposed, RetirementMode::Strict) if evidence.has_relying_run => {
                self.is_waiting = true;
                None
            }
            (TombstoneState::Proposed, RetirementMode::Strict) => Some(BTreeSet::new()),
            // In available mode a front end serves the function until it has confirmed. Every reachable front end receives
            // the view within one lease, which spans several reports. Members that have not confirmed by then are
            // excepted, so that one long call in progress does not delay the retirement at all others.
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
            // The set only shrinks: a confirmation that an earlier leader received stays valid.
            (TombstoneState::InForce { but_for }, _) => {
                let is_excepted = |member: &&Member| {
                    !self.has_confirmed(member, tombstone.proposed)
                        && (state.is_present(member) || state.replaced.contains_key(*member))
                };
                Some(but_for.iter().filter(is_excepted).cloned().collect())
            }
        }
    }

    /// Returns whether a tombstone has been in force at every member for the retention time.
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

    /// Returns whether a new command for a tombstone may be proposed: if none was proposed yet, after the retry
    /// interval, or at once when the last exception is removed. Each change sends the view to every front end, so the
    /// interval also batches the removal of several exceptions into one change.
    fn may_propose(&mut self, progress: &RetirementProgress, excepted: usize, now: Micros) -> bool {
        let Some(last) = progress.proposed else { return true };
        let again_at = last.at + self.retry_interval();
        if now < again_at && (excepted > 0 || last.excepted == 0) {
            self.wake_at(again_at);
            return false;
        }
        true
    }

    /// Returns [`Command::Leave`] for replaced runs whose leases have all expired.
    fn due_leaves(&mut self, state: &ClusterState, now: Micros) -> Vec<Command> {
        let (expired, in_progress): (Vec<_>, Vec<_>) =
            state.replaced.keys().partition(|m| self.relies_until(m) <= now);
        let next = in_progress.into_iter().map(|m| self.relies_until(m)).min();
        next.into_iter().for_each(|end| self.wake_at(end));
        if expired.is_empty() {
            return Vec::new();
        }
        let again_at = self.last_leave_commands.map_or(now, |at| at + self.retry_interval());
        if now < again_at {
            self.wake_at(again_at);
            return Vec::new();
        }
        self.last_leave_commands = Some(now);
        self.wake_at(now + self.retry_interval());
        expired.into_iter().cloned().map(Command::Leave).collect()
    }

    /// Returns the runs that may be in progress and have not confirmed all retirements, ordered by confirmed version.
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

    /// Returns when the last lease of a member, granted by this or an earlier leader, expires.
    fn relies_until(&self, member: &Member) -> Micros {
        let promised = self.sessions.get(member).map_or(Micros::MIN, |s| s.promised_until);
        promised.max(self.elected_at + self.terms.takeover_wait())
    }

    /// Returns the minimum time between two commands for the same item, as the first may still be uncommitted.
    fn retry_interval(&self) -> Micros {
        self.terms.lease / 4
    }

    fn wake_at(&mut self, at: Micros) {
        self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
    }
}
