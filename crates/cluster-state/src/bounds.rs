//! Maximum sizes of the cluster state. If a command exceeds one of them, every replica rejects it with the same reason.

use crate::{ClusterState, Command, Member, MemberRun, Pool, PoolSize, Retirement, Tombstone};
use std::collections::BTreeSet;

/// Maximum number of names of members, present and left. Beyond it, the names that left longest ago are forgotten.
pub const MAX_MEMBERS: usize = 4096;
/// Maximum number of replaced runs that may still be in progress.
pub const MAX_REPLACED: usize = 1024;
/// Maximum number of tombstones of retired functions.
pub const MAX_TOMBSTONES: usize = 4096;
/// Maximum number of pools of one fleet.
pub const MAX_POOLS: usize = 256;
/// Maximum number of function patterns of one pool, and maximum number of its reservations.
pub const MAX_PATTERNS: usize = 256;
/// Maximum length of a name in bytes.
pub const MAX_NAME_LENGTH: usize = 256;
/// Maximum length of a retirement's reason in bytes.
pub const MAX_REASON_LENGTH: usize = 1024;
/// Upper limit (exclusive) of the incarnation that a front end may present when joining. This or a higher value means that the
/// front end's remembered incarnation is corrupt.
pub const MAX_INCARNATION: u64 = 1 << 48;

impl ClusterState {
    /// Returns the reason to reject a command that exceeds a bound, regardless of what it would change.
    pub(crate) fn rejection(&self, command: &Command) -> Option<String> {
        match command {
            Command::Join { name, at_least } => name_rejection("member", name).or_else(|| {
                (*at_least >= MAX_INCARNATION).then(|| format!("incarnation {at_least} is too high"))
            }),
            Command::Retire(retirement) => {
                let tombstones = &self.view.tombstones;
                let full =
                    tombstones.len() >= MAX_TOMBSTONES && !tombstones.contains_key(&retirement.function);
                retirement
                    .permanent_rejection()
                    .or_else(|| full.then(|| format!("{MAX_TOMBSTONES} functions are retired already")))
            }
            Command::InForce { but_for, .. } => {
                too_many("members excepted", but_for.len(), MAX_MEMBERS + MAX_REPLACED)
            }
            Command::Pools { pools, .. } => {
                too_many("pools", pools.len(), MAX_POOLS).or_else(|| pools.iter().find_map(pool_rejection))
            }
            Command::Leave(_) | Command::Forget { .. } => None,
        }
    }

    /// Ensures room for one more name. If full, forgets the name that left longest ago and that no tombstone excepts.
    /// Returns false if all names are still needed.
    pub(crate) fn ensure_name_slot(&mut self) -> bool {
        if self.members.len() < MAX_MEMBERS {
            return true;
        }
        let excepted: BTreeSet<_> = self.view.tombstones.values().flat_map(Tombstone::excepted).collect();
        let named = |name: &str, run: &MemberRun| {
            !excepted.is_empty()
                && excepted.contains(&Member { name: name.into(), incarnation: run.incarnation })
        };
        let left = self.members.iter().filter_map(|(name, run)| Some((run.left?, name, run)));
        let Some((_, name, run)) = left.filter(|(_, name, run)| !named(name, run)).min_by_key(|(at, ..)| *at)
        else {
            return false;
        };
        // A forgotten name that joins again continues from this incarnation, so that no two runs share an incarnation.
        self.forgotten = self.forgotten.max(run.incarnation);
        let name = name.clone();
        self.members.remove(&name);
        true
    }
}

impl Retirement {
    /// Returns the reason why the cluster state will always reject this retirement. Any other rejection is temporary, until
    /// older retirements are forgotten.
    pub fn permanent_rejection(&self) -> Option<String> {
        name_rejection("function", &self.function)
            .or_else(|| self.successor.as_ref().and_then(|name| name_rejection("successor", name)))
            .or_else(|| (self.generation == 0).then(|| "generations count from 1".into()))
            .or_else(|| too_many("bytes of reason", self.reason.len(), MAX_REASON_LENGTH))
    }
}

fn pool_rejection(pool: &Pool) -> Option<String> {
    let names = pool.functions.iter().map(|name| ("pattern", name));
    let mut names = names.chain(pool.reservations.iter().map(|r| ("tenant", &r.tenant)));
    let reserved: u64 = pool.reservations.iter().map(|r| u64::from(r.permits)).sum();
    let is_oversubscribed = matches!(pool.size, PoolSize::Permits(permits) if reserved > u64::from(permits));
    name_rejection("pool", &pool.name)
        .or_else(|| too_many("patterns of a pool", pool.functions.len(), MAX_PATTERNS))
        .or_else(|| too_many("reservations of a pool", pool.reservations.len(), MAX_PATTERNS))
        .or_else(|| names.find_map(|(what, name)| name_rejection(what, name)))
        .or_else(|| {
            is_oversubscribed
                .then(|| format!("pool {}: {reserved} lanes reserved, more than it has", pool.name))
        })
}

fn name_rejection(what: &str, name: &str) -> Option<String> {
    if name.is_empty() {
        return Some(format!("the name of a {what} is empty"));
    }
    (name.len() > MAX_NAME_LENGTH)
        .then(|| format!("the name of a {what} has {} bytes, more than {MAX_NAME_LENGTH}", name.len()))
}

fn too_many(what: &str, count: usize, max: usize) -> Option<String> {
    (count > max).then(|| format!("{count} {what}, more than {max}"))
}
