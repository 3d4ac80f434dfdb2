//! What keepers agree on. Applying the same commands in the same order gives the same record everywhere: no clock, no chance.

use crate::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One run of a process's front end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    /// Counts the runs under that name.
    pub incarnation: u64,
}

/// What a retirement does where a front end can't know whether it still holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Calls are refused once the view's lease has run out.
    Strict,
    /// Calls go on; the state file names those that have not confirmed.
    Available,
}

/// A function taken out of service for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirement {
    pub function: String,
    /// Of the uses of a name; the first is 1. Retiring one retires all before it.
    pub generation: u32,
    /// For information: no call is passed on to it.
    pub successor: Option<String>,
    pub reason: String,
    pub mode: Mode,
    /// When it was asked for, in milliseconds since 1970, for people.
    pub asked_ms: i64,
}

/// How far a retirement has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Proposed,
    /// No front end can serve it any more, but for those named.
    InForce {
        but_for: BTreeSet<Member>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    pub retirement: Retirement,
    pub state: State,
    /// The change that brought it, and the one that put it in force.
    pub proposed: Version,
    pub in_force: Option<Version>,
}

/// Lanes that some functions share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    pub name: String,
    /// Names, or beginnings of names with a closing `*`.
    pub functions: Vec<String>,
    pub size: Size,
    pub reservations: Vec<Reservation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Size {
    Lanes(u32),
    /// As many as the members report of their ready workers.
    ByWorkers,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    pub tenant: String,
    pub lanes: u32,
}

/// What a front end is told of the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub version: Version,
    /// By function; the highest generation retired of each.
    pub tombstones: BTreeMap<String, Tombstone>,
    /// Which edition of the pools holds; the highest told wins.
    pub edition: u64,
    pub pools: Vec<Pool>,
}

/// A change of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A run of a front end begins; `at_least` is the incarnation that it remembers.
    Join {
        name: String,
        at_least: u64,
    },
    /// A run ended: in order, or it is known that its process is gone.
    Leave(Member),
    Retire(Retirement),
    /// A retirement holds at all members but those named.
    InForce {
        function: String,
        generation: u32,
        but_for: BTreeSet<Member>,
    },
    Forget {
        function: String,
        generation: u32,
    },
    Pools {
        edition: u64,
        pools: Vec<Pool>,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Done {
    Joined(Member),
    Changed,
    /// It held already, or something later overtook it.
    Unchanged,
}

/// The record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The present or last run under each name, and whether it has left.
    pub members: BTreeMap<String, (u64, bool)>,
    pub view: View,
}

impl Record {
    /// Applies the change with this number.
    pub fn apply(&mut self, version: Version, command: &Command) -> Done {
        match command {
            Command::Join { name, at_least } => {
                let (incarnation, left) = self.members.entry(name.clone()).or_insert((0, true));
                *incarnation = (*incarnation).max(*at_least) + 1;
                *left = false;
                Done::Joined(Member { name: name.clone(), incarnation: *incarnation })
            }
            Command::Leave(member) => match self.members.get_mut(&member.name) {
                Some((incarnation, left)) if *incarnation == member.incarnation && !*left => {
                    *left = true;
                    Done::Changed
                }
                _ => Done::Unchanged,
            },
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

    /// The runs that may still be at work.
    pub fn present(&self) -> impl Iterator<Item = Member> + '_ {
        let present = self.members.iter().filter(|(_, (_, left))| !left);
        present.map(|(name, (incarnation, _))| Member { name: name.clone(), incarnation: *incarnation })
    }

    fn changed(&mut self, version: Version) -> Done {
        self.view.version = version;
        Done::Changed
    }
}

impl View {
    /// The tombstone that a call for this generation of a function falls under.
    pub fn retired(&self, function: &str, generation: u32) -> Option<&Tombstone> {
        self.tombstones.get(function).filter(|t| generation <= t.retirement.generation)
    }
}
