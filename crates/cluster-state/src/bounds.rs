//! How much the cluster state holds at most; a command beyond it is refused with the reason, alike at every replica.

use crate::{ClusterState, Command, Member, MemberRun, Pool, PoolSize, Retirement, Tombstone};
use std::collections::BTreeSet;

/// Names of members, present and left; beyond it the longest-left are forgotten.
pub const MAX_MEMBERS: usize = 4096;
/// Runs that another took the place of and that may still be in progress.
pub const MAX_REPLACED: usize = 1024;
/// Tombstones of retired functions.
pub const MAX_TOMBSTONES: usize = 4096;
/// Pools of one fleet.
pub const MAX_POOLS: usize = 256;
/// Patterns of one pool, and reservations of one.
pub const MAX_PATTERNS: usize = 256;
/// Bytes of a name, and of the reason of a retirement.
pub const MAX_NAME_LENGTH: usize = 256;
/// Bytes of a retirement's reason.
pub const MAX_REASON_LENGTH: usize = 1024;
/// Runs under one name; beyond it somebody remembers nonsense.
pub const MAX_INCARNATION: u64 = 1 << 48;

impl ClusterState {
    /// Why a command can't be taken, whatever it would change.
    pub(crate) fn refusal(&self, command: &Command) -> Option<String> {
        match command {
            Command::Join { name, at_least } => name_refusal("member", name).or_else(|| {
                (*at_least >= MAX_INCARNATION).then(|| format!("incarnation {at_least} is too high"))
            }),
            Command::Retire(retirement) => {
                let tombstones = &self.view.tombstones;
                let full =
                    tombstones.len() >= MAX_TOMBSTONES && !tombstones.contains_key(&retirement.function);
                retirement
                    .fault()
                    .or_else(|| full.then(|| format!("{MAX_TOMBSTONES} functions are retired already")))
            }
            Command::InForce { but_for, .. } => {
                too_many("members excepted", but_for.len(), MAX_MEMBERS + MAX_REPLACED)
            }
            Command::Pools { pools, .. } => {
                too_many("pools", pools.len(), MAX_POOLS).or_else(|| pools.iter().find_map(pool_refusal))
            }
            Command::Leave(_) | Command::Forget { .. } => None,
        }
    }

    /// Makes place for one more name: forgets the one that left longest ago and that no tombstone names.
    /// False where all are needed.
    pub(crate) fn make_place(&mut self) -> bool {
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
        // A name that comes back counts on from here, so that no two runs are ever taken for one.
        self.forgotten = self.forgotten.max(run.incarnation);
        let name = name.clone();
        self.members.remove(&name);
        true
    }
}

impl Retirement {
    /// Why no record ever takes it; any other refusal passes once older retirements are forgotten.
    pub fn fault(&self) -> Option<String> {
        name_refusal("function", &self.function)
            .or_else(|| self.successor.as_ref().and_then(|name| name_refusal("successor", name)))
            .or_else(|| (self.generation == 0).then(|| "generations count from 1".into()))
            .or_else(|| too_many("bytes of reason", self.reason.len(), MAX_REASON_LENGTH))
    }
}

fn pool_refusal(pool: &Pool) -> Option<String> {
    let names = pool.functions.iter().map(|name| ("pattern", name));
    let mut names = names.chain(pool.reservations.iter().map(|r| ("tenant", &r.tenant)));
    let reserved: u64 = pool.reservations.iter().map(|r| u64::from(r.permits)).sum();
    let beyond = matches!(pool.size, PoolSize::Permits(permits) if reserved > u64::from(permits));
    name_refusal("pool", &pool.name)
        .or_else(|| too_many("patterns of a pool", pool.functions.len(), MAX_PATTERNS))
        .or_else(|| too_many("reservations of a pool", pool.reservations.len(), MAX_PATTERNS))
        .or_else(|| names.find_map(|(what, name)| name_refusal(what, name)))
        .or_else(|| {
            beyond.then(|| format!("pool {}: {reserved} lanes reserved, more than it has", pool.name))
        })
}

fn name_refusal(what: &str, name: &str) -> Option<String> {
    if name.is_empty() {
        return Some(format!("the name of a {what} is empty"));
    }
    (name.len() > MAX_NAME_LENGTH)
        .then(|| format!("the name of a {what} has {} bytes, more than {MAX_NAME_LENGTH}", name.len()))
}

fn too_many(what: &str, count: usize, most: usize) -> Option<String> {
    (count > most).then(|| format!("{count} {what}, more than {most}"))
}
