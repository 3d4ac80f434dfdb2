//! What replicas agree on. Applying the same commands in the same order gives the same record everywhere: no
//! clock, no chance.

use crate::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One run of a process's front end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name in the configuration.
    pub name: String,
    /// Counts the runs under that name.
    pub incarnation: u64,
}

/// What a retirement does where a front end can't know whether it still holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetirementMode {
    /// Calls are refused once the view's lease has run out.
    Strict,
    /// Calls go on; the state file names those that have not confirmed.
    Available,
}

/// A function taken out of service for good.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Retirement {
    /// Its function.
    pub function: String,
    /// Of the uses of a name; the first is 1. Retiring one retires all before it.
    pub generation: u32,
    /// For information: no call is passed on to it.
    pub successor: Option<String>,
    /// Why, for logs and answers.
    pub reason: String,
    /// What becomes of calls in progress.
    pub mode: RetirementMode,
    /// When it was asked for, in milliseconds since 1970, for people.
    pub requested_ms: i64,
}

/// How far a retirement has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TombstoneState {
    /// Front ends are being informed.
    Proposed,
    /// No front end can serve it any more, but for those named.
    InForce {
        /// Runs that may still serve it: cut off, with leases that have not run out.
        but_for: BTreeSet<Member>,
    },
}

/// A retired function, kept until no message for it can be delivered any more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tombstone {
    /// What was retired.
    pub retirement: Retirement,
    /// How far it has come.
    pub state: TombstoneState,
    /// The change that brought it, and the one that put it in force.
    pub proposed: Version,
    /// The change by which it came into force; None before.
    pub in_force: Option<Version>,
}

/// Permits that some functions share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// Name in the configuration.
    pub name: String,
    /// Names, or beginnings of names with a closing `*`.
    pub functions: Vec<String>,
    /// How many permits it has.
    pub size: PoolSize,
    /// Permits kept for single tenants.
    pub reservations: Vec<Reservation>,
}

/// How many permits a pool has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PoolSize {
    /// So many permits.
    Permits(u32),
    /// As many as the members report of their ready workers.
    ByWorkers,
}

/// Permits of a pool that are reserved for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// The tenant.
    pub tenant: String,
    /// Permits that it has at least.
    pub permits: u32,
}

/// What a front end is notified of the cluster state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterView {
    /// The change that made it.
    pub version: Version,
    /// By function; the highest generation retired of each.
    pub tombstones: BTreeMap<String, Tombstone>,
    /// Which edition of the pools holds; the highest told wins.
    pub edition: u64,
    /// All pools.
    pub pools: Vec<Pool>,
}

/// A change of the cluster state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A run of a front end begins; `at_least` is the incarnation that it remembers.
    Join {
        /// The front end's name.
        name: String,
        /// The incarnation that it remembers.
        at_least: u64,
    },
    /// A run ended: in order, or it is known that its process is gone.
    Leave(Member),
    /// A function is retired.
    Retire(Retirement),
    /// A retirement holds at all members but those named.
    InForce {
        /// The retired function.
        function: String,
        /// Which retirement of that function.
        generation: u32,
        /// Runs that may still serve it: cut off, with leases that have not run out.
        but_for: BTreeSet<Member>,
    },
    /// A tombstone is no longer needed.
    Forget {
        /// The retired function.
        function: String,
        /// Which retirement of that function.
        generation: u32,
    },
    /// The pools as configured.
    Pools {
        /// Edition of that configuration; the highest counts.
        edition: u64,
        /// All pools.
        pools: Vec<Pool>,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The run joined under this number.
    Joined(Member),
    /// The state changed.
    Changed,
    /// It held already, or something later overtook it.
    Unchanged,
    /// It is out of bounds; another try would end the same way, but for a retirement without a
    /// [`Retirement::fault`].
    Rejected {
        /// Why, for logs.
        reason: String,
    },
}

/// The last run under a name. Numbers of changes compare with a tombstone's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRun {
    /// Counts the runs under the name.
    pub incarnation: u64,
    /// The change by which it joined, and the one by which it left.
    pub joined: Version,
    /// The change by which it left; None while it is a member.
    pub left: Option<Version>,
}

/// The cluster state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterState {
    /// The last command that changed anything.
    pub version: Version,
    /// The present or last run under each name.
    pub members: BTreeMap<String, MemberRun>,
    /// Runs in whose place another joined, and when they had joined. A stopped process may wake: such a run
    /// counts as in progress until every promise to it has run out, when the leader lets it leave.
    pub replaced: BTreeMap<Member, Version>,
    /// The highest incarnation of all names that were forgotten.
    pub forgotten: u64,
    /// What front ends are given.
    pub view: ClusterView,
}

impl ClusterState {
    /// The last run under each name, where it has not left.
    pub fn present(&self) -> impl Iterator<Item = Member> + '_ {
        let present = self.members.iter().filter(|(_, run)| run.left.is_none());
        present.map(|(name, run)| Member { name: name.clone(), incarnation: run.incarnation })
    }

    /// Whether this run is the last under its name and has not left.
    pub fn is_present(&self, member: &Member) -> bool {
        let run = self.members.get(&member.name);
        run.is_some_and(|run| run.incarnation == member.incarnation && run.left.is_none())
    }
}

impl ClusterView {
    /// The tombstone that a call for this generation of a function falls under.
    pub fn retired(&self, function: &str, generation: u32) -> Option<&Tombstone> {
        self.tombstones.get(function).filter(|t| generation <= t.retirement.generation)
    }
}

impl Tombstone {
    /// The runs at which it is not in force yet, where it is at all others.
    pub fn excepted(&self) -> impl Iterator<Item = &Member> {
        let but_for = match &self.state {
            TombstoneState::InForce { but_for } => Some(but_for),
            TombstoneState::Proposed => None,
        };
        but_for.into_iter().flatten()
    }
}
