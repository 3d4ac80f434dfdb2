//! What a command changes in the record.

use crate::bounds::{MEMBERS_MOST, REPLACED_MOST};
use crate::{Command, Done, Member, Record, Run, State, Tombstone, Version};

impl Record {
    /// Applies the change with this number.
    pub fn apply(&mut self, version: Version, command: &Command) -> Done {
        let done = match self.refusal(command) {
            Some(why) => Done::Refused { why },
            None => self.change(version, command),
        };
        if matches!(done, Done::Joined(_) | Done::Changed) {
            self.version = version;
        }
        done
    }

    fn change(&mut self, version: Version, command: &Command) -> Done {
        match command {
            Command::Join { name, at_least } => self.join(version, name, *at_least),
            Command::Leave(member) => self.leave(version, member),
            Command::Retire(retirement) => {
                let known = self.view.tombstones.get(&retirement.function);
                if known.is_some_and(|t| t.retirement.generation >= retirement.generation) {
                    return Done::Unchanged;
                }
                let tombstone = Tombstone {
                    retirement: retirement.clone(),
                    state: State::Proposed,
                    proposed: version,
                    in_force: None,
                };
                self.view.tombstones.insert(retirement.function.clone(), tombstone);
                self.changed(version)
            }
            Command::InForce { function, generation, but_for } => {
                let state = State::InForce { but_for: but_for.clone() };
                match self.view.tombstones.get_mut(function) {
                    Some(t) if t.retirement.generation == *generation && t.state != state => {
                        t.state = state;
                        t.in_force.get_or_insert(version);
                        self.changed(version)
                    }
                    _ => Done::Unchanged,
                }
            }
            Command::Forget { function, generation } => {
                let known = self.view.tombstones.get(function);
                if known.is_none_or(|t| t.retirement.generation != *generation) {
                    return Done::Unchanged;
                }
                self.view.tombstones.remove(function);
                self.changed(version)
            }
            Command::Pools { edition, pools } => {
                if *edition <= self.view.edition {
                    return Done::Unchanged;
                }
                (self.view.edition, self.view.pools) = (*edition, pools.clone());
                self.changed(version)
            }
        }
    }

    fn join(&mut self, version: Version, name: &str, at_least: u64) -> Done {
        let refused = |why: String| Done::Refused { why };
        let last = match self.members.get(name).copied() {
            Some(run) => run,
            None if self.make_place() => Run { incarnation: self.forgotten, joined: 0, left: Some(version) },
            None => return refused(format!("{MEMBERS_MOST} members are present already")),
        };
        if last.left.is_none() {
            if self.replaced.len() >= REPLACED_MOST {
                return refused(format!(
                    "{REPLACED_MOST} runs that ended without leaving may still be at work"
                ));
            }
            let member = Member { name: name.into(), incarnation: last.incarnation };
            self.replaced.insert(member, last.joined);
        }
        let incarnation = last.incarnation.max(at_least) + 1;
        self.members.insert(name.into(), Run { incarnation, joined: version, left: None });
        Done::Joined(Member { name: name.into(), incarnation })
    }

    fn leave(&mut self, version: Version, member: &Member) -> Done {
        if self.replaced.remove(member).is_some() {
            return Done::Changed;
        }
        match self.members.get_mut(&member.name) {
            Some(run) if run.incarnation == member.incarnation && run.left.is_none() => {
                run.left = Some(version);
                Done::Changed
            }
            _ => Done::Unchanged,
        }
    }

    fn changed(&mut self, version: Version) -> Done {
        self.view.version = version;
        Done::Changed
    }
}
