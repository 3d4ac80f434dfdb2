//! The replicated state. Applying the same commands in the same order gives the same state at every replica: it reads no
//! clock and draws no random numbers.

use crate::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One run of a process's front end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The front end's configured name.
    pub name: String,
    /// Increases with each run under that name.
    pub incarnation: u64,
}

/// Whether a front end continues to serve a function when it cannot know whether the function is retired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetirementMode {
    /// Rejects calls once the view's lease has expired.
    Strict,
    /// Continues to serve calls; the state file lists the front ends that have not confirmed the retirement.
    Available,
}

/// The permanent removal of a function from service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Retirement {
    /// The retired function.
    pub function: String,
    /// Counts the uses of a function name from 1. Retiring a generation retires all earlier ones too.
    pub generation: u32,
    /// The function that replaces it, for information only: no call is forwarded to it.
    pub successor: Option<String>,
    /// The reason, for logs and responses.
    pub reason: String,
    /// Whether a front end with a stale view continues to serve the function.
    pub mode: RetirementMode,
    /// When the retirement was requested, in milliseconds since 1970; for information only.
    pub requested_ms: i64,
}

/// The progress of a retirement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TombstoneState {
    /// The view with the retirement is being sent to the front ends.
    Proposed,
    /// No front end can serve the function any more, except those in `but_for`.
    InForce {
        /// Runs that may still serve the function because they have not confirmed the retirement.
        but_for: BTreeSet<Member>,
    },
}

/// A retired function, retained until no message for it can be delivered any more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tombstone {
    /// The retirement that created this tombstone.
    pub retirement: Retirement,
    /// The progress of the retirement.
    pub state: TombstoneState,
    /// The change that added the tombstone.
    pub proposed: Version,
    /// The change that put it in force; `None` before that.
    pub in_force: Option<Version>,
}

/// A set of permits that several functions share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's configured name.
    pub name: String,
    /// Function names, or name prefixes followed by `*`.
    pub functions: Vec<String>,
    /// The number of permits.
    pub size: PoolSize,
    /// Permits reserved for individual tenants.
    pub reservations: Vec<Reservation>,
}

/// The number of permits in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PoolSize {
    /// A fixed number of permits.
    Permits(u32),
    /// The capacity of ready workers, as reported by the members.
    ByWorkers,
}

/// Permits of a pool that are reserved for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// The tenant that owns the reservation.
    pub tenant: String,
    /// The number of reserved permits.
    pub permits: u32,
}

/// The part of the cluster state that front ends receive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterView {
    /// The last change of the view.
    pub version: Version,
    /// Tombstones by function, each for the highest retired generation.
    pub tombstones: BTreeMap<String, Tombstone>,
    /// The edition of the pool configuration; a higher edition replaces a lower one.
    pub edition: u64,
    /// All pools.
    pub pools: Vec<Pool>,
}

/// A change of the cluster state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A run of a front end joins.
    Join {
        /// The front end's name.
        name: String,
        /// The last incarnation that the front end remembers; the new run gets a higher one.
        at_least: u64,
    },
    /// A run ended: it shut down gracefully, or all leases of a replaced run have expired.
    Leave(Member),
    /// Retires a function.
    Retire(Retirement),
    /// Marks a retirement as in force at all members except those in `but_for`.
    InForce {
        /// The retired function.
        function: String,
        /// The retired generation of that function.
        generation: u32,
        /// Runs that may still serve the function because they have not confirmed the retirement.
        but_for: BTreeSet<Member>,
    },
    /// Removes a tombstone that is no longer needed.
    Forget {
        /// The retired function.
        function: String,
        /// The retired generation of that function.
        generation: u32,
    },
    /// Sets the configured pools.
    Pools {
        /// The edition of the configuration; ignored unless higher than the present one.
        edition: u64,
        /// All pools.
        pools: Vec<Pool>,
    },
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The run joined with this incarnation.
    Joined(Member),
    /// The state changed.
    Changed,
    /// The command was already applied or has been superseded.
    Unchanged,
    /// The command exceeds a bound. A retry would be rejected again, unless the command is a retirement without a
    /// [`Retirement::permanent_rejection`].
    Rejected {
        /// The reason, for logs.
        reason: String,
    },
}

/// The last run under a name. Its versions are comparable with those of a tombstone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRun {
    /// Increases with each run under the name.
    pub incarnation: u64,
    /// The change with which the run joined.
    pub joined: Version,
    /// The change with which the run left; `None` while it is a member.
    pub left: Option<Version>,
}

/// The cluster state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterState {
    /// The last command that changed the state.
    pub version: Version,
    /// The present or last run under each name.
    pub members: BTreeMap<String, MemberRun>,
    /// Replaced runs (a newer run joined under the same name) with the version at which each had joined. The process of
    /// such a run may be stopped and resume later, so the run counts as in progress until every lease granted to it has
    /// expired. Then the leader removes it with [`Command::Leave`].
    pub replaced: BTreeMap<Member, Version>,
    /// The highest incarnation of all names that were forgotten.
    pub forgotten: u64,
    /// The view that is sent to front ends.
    pub view: ClusterView,
}

impl ClusterState {
    /// Returns the present members: the last run under each name, unless it has left.
    pub fn present(&self) -> impl Iterator<Item = Member> + '_ {
        let present = self.members.iter().filter(|(_, run)| run.left.is_none());
        present.map(|(name, run)| Member { name: name.clone(), incarnation: run.incarnation })
    }

    /// Returns whether this run is the last under its name and has not left.
    pub fn is_present(&self, member: &Member) -> bool {
        let run = self.members.get(&member.name);
        run.is_some_and(|run| run.incarnation == member.incarnation && run.left.is_none())
    }
}

impl ClusterView {
    /// Returns the tombstone that covers this generation of a function, if it is retired.
    pub fn retired(&self, function: &str, generation: u32) -> Option<&Tombstone> {
        self.tombstones.get(function).filter(|t| generation <= t.retirement.generation)
    }
}

impl Tombstone {
    /// Returns the runs excepted from an in-force retirement; none while it is only proposed.
    pub fn excepted(&self) -> impl Iterator<Item = &Member> {
        let but_for = match &self.state {
            TombstoneState::InForce { but_for } => Some(but_for),
            TombstoneState::Proposed => None,
        };
        but_for.into_iter().flatten()
    }
}
