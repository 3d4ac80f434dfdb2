//! Applies commands to the cluster state.

use crate::bounds::{MAX_MEMBERS, MAX_REPLACED};
use crate::{ClusterState, Command, CommandOutcome, Member, MemberRun, Tombstone, TombstoneState, Version};

impl ClusterState {
    /// Applies a command as the change with this version.
    pub fn apply(&mut self, version: Version, command: &Command) -> CommandOutcome {
        let outcome = match self.rejection(command) {
            Some(why) => CommandOutcome::Rejected { reason: why },
            None => self.change(version, command),
        };
        if matches!(outcome, CommandOutcome::Joined(_) | CommandOutcome::Changed) {
            self.version = version;
        }
        outcome
    }

    fn change(&mut self, version: Version, command: &Command) -> CommandOutcome {
        match command {
            Command::Join { name, at_least } => self.join(version, name, *at_least),
            Command::Leave(member) => self.leave(version, member),
            Command::Retire(retirement) => {
                let known = self.view.tombstones.get(&retirement.function);
                if known.is_some_and(|t| t.retirement.generation >= retirement.generation) {
                    return CommandOutcome::Unchanged;
                }
                let tombstone = Tombstone {
                    retirement: retirement.clone(),
                    state: TombstoneState::Proposed,
                    proposed: version,
                    in_force: None,
                };
                self.view.tombstones.insert(retirement.function.clone(), tombstone);
                self.changed(version)
            }
            Command::InForce { function, generation, but_for } => {
                let state = TombstoneState::InForce { but_for: but_for.clone() };
                match self.view.tombstones.get_mut(function) {
                    Some(t) if t.retirement.generation == *generation && t.state != state => {
                        t.state = state;
                        t.in_force.get_or_insert(version);
                        self.changed(version)
                    }
                    _ => CommandOutcome::Unchanged,
                }
            }
            Command::Forget { function, generation } => {
                let known = self.view.tombstones.get(function);
                if known.is_none_or(|t| t.retirement.generation != *generation) {
                    return CommandOutcome::Unchanged;
                }
                self.view.tombstones.remove(function);
                self.changed(version)
            }
            Command::Pools { edition, pools } => {
                if *edition <= self.view.edition {
                    return CommandOutcome::Unchanged;
                }
                (self.view.edition, self.view.pools) = (*edition, pools.clone());
                self.changed(version)
            }
        }
    }

    fn join(&mut self, version: Version, name: &str, at_least: u64) -> CommandOutcome {
        let rejected = |why: String| CommandOutcome::Rejected { reason: why };
        let last = match self.members.get(name).copied() {
            Some(run) => run,
            None if self.ensure_name_slot() => {
                MemberRun { incarnation: self.forgotten, joined: 0, left: Some(version) }
            }
            None => return rejected(format!("{MAX_MEMBERS} members are present already")),
        };
        if last.left.is_none() {
            if self.replaced.len() >= MAX_REPLACED {
                return rejected(format!(
                    "{MAX_REPLACED} runs that ended without leaving may still be at work"
                ));
            }
            let member = Member { name: name.into(), incarnation: last.incarnation };
            self.replaced.insert(member, last.joined);
        }
        let incarnation = last.incarnation.max(at_least) + 1;
        self.members.insert(name.into(), MemberRun { incarnation, joined: version, left: None });
        CommandOutcome::Joined(Member { name: name.into(), incarnation })
    }

    fn leave(&mut self, version: Version, member: &Member) -> CommandOutcome {
        if self.replaced.remove(member).is_some() {
            return CommandOutcome::Changed;
        }
        match self.members.get_mut(&member.name) {
            Some(run) if run.incarnation == member.incarnation && run.left.is_none() => {
                run.left = Some(version);
                CommandOutcome::Changed
            }
            _ => CommandOutcome::Unchanged,
        }
    }

    fn changed(&mut self, version: Version) -> CommandOutcome {
        self.view.version = version;
        CommandOutcome::Changed
    }
}
