//! Permits allocated by lease beside the guaranteed minimums, at the leader.
//!
//! A front end starts a run in a pool only while its runs there are fewer than its guaranteed minimum and the permits it
//! holds together. Runs go on after the lease that they began under. So from any account of itself on
//! (`in_use`, and `applied`: the grant that it went by then) it never has more runs than the greater of
//! `in_use` and its guaranteed minimum with the largest grant numbered `applied` or later. That is what the allocator counts
//! as out, until a later account tells less, or until the lease and the longest run have passed. A member is
//! given only what is left of the pool after all guaranteed minimums and what the others have out.

mod account;
mod guards;
mod limits;
mod targets;

pub use guards::Guards;
pub use limits::{guaranteed_permits, AllocationLimits, GUARANTEED_SHARE};

use crate::{ClusterState, LeaseTerms, Member, Micros, PermitGrant, Pool, PoolSize, Report, Version};
use account::Account;
use std::collections::{BTreeMap, BTreeSet};
use targets::Targets;

/// Allocates the permits of every pool; forgotten with the leadership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitAllocator {
    terms: LeaseTerms,
    limits: AllocationLimits,
    guards: Guards,
    began: Micros,
    /// Members that an earlier leader may have promised something.
    earlier_members: BTreeSet<Member>,
    accounts: BTreeMap<Member, Account>,
    pools: Vec<Pool>,
    /// Guaranteed minimums by pool of earlier editions, and the change that ended each, until every member has applied
    /// that.
    earlier_guarantees: Vec<EditionGuarantees>,
    has_observed: bool,
    /// No promise of an earlier leader stands any more.
    may_allocate_all: bool,
    round: Option<AllocationRound>,
}

/// Guaranteed minimums of an edition of the pools.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EditionGuarantees {
    /// The change that ended the edition.
    ended_by: Version,
    /// By pool.
    guaranteed: BTreeMap<String, u32>,
}

/// What was computed of all pools at a time; within a round only the member that reports is counted anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct AllocationRound {
    computed_at: Micros,
    pools: BTreeMap<String, PoolAllocation>,
}

/// What was computed of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PoolAllocation {
    permits: u32,
    guaranteed: u32,
    outstanding: u32,
    targets: Targets,
}

impl PermitAllocator {
    /// A leadership begins.
    pub fn new(terms: LeaseTerms, limits: AllocationLimits, now: Micros) -> PermitAllocator {
        PermitAllocator {
            terms,
            limits,
            guards: Guards::default(),
            began: now,
            earlier_members: BTreeSet::new(),
            accounts: BTreeMap::new(),
            pools: Vec::new(),
            earlier_guarantees: Vec::new(),
            has_observed: false,
            may_allocate_all: false,
            round: None,
        }
    }

    /// For tests: an allocator without some of its guards.
    #[doc(hidden)]
    pub fn with(self, guards: Guards) -> PermitAllocator {
        PermitAllocator { guards, ..self }
    }

    /// Whether a front end of this name may join. One beyond the told number would have no guaranteed minimum, and could
    /// not know it while it is cut off; so it is rejected at its hello.
    pub fn admits(&self, state: &ClusterState, name: &str) -> bool {
        self.admits_with(state, name, 0)
    }

    /// The same where so many others, not yet in the cluster state, were admitted before.
    pub fn admits_with(&self, state: &ClusterState, name: &str, others: usize) -> bool {
        state.present().filter(|m| m.name != name).count() + others < self.limits.front_ends as usize
    }

    /// A present member reported, and promises may be given: the permits of the grant that answers, by pool and
    /// tenant. A report that is late or came twice changes nothing and gets none.
    pub fn report(
        &mut self,
        state: &ClusterState,
        member: &Member,
        report: &Report,
        now: Micros,
    ) -> Vec<PermitGrant> {
        self.observe(state, now);
        let account = self.accounts.entry(member.clone()).or_default();
        if !account.on_report(report, now, self.guards) {
            return Vec::new();
        }
        self.may_allocate_all = self.may_allocate_all || self.may_allocate(now);
        self.recompute(state, now);
        self.count(member, now);
        let permits = if self.may_allocate_all { self.allocate(member) } else { Vec::new() };
        if let Some(account) = self.accounts.get_mut(member) {
            account.on_grant(report.number, now, &permits);
        }
        self.count(member, now);
        permits
    }

    /// Whether no permits that this leader does not know of can be in use: promises of earlier ones have run
    /// out, and every member of before was heard since, or the runs that they began have ended.
    pub fn may_allocate(&self, now: Micros) -> bool {
        let quiet = self.began + self.terms.takeover_wait();
        let known = |m: &Member| self.accounts.get(m).is_some_and(Account::is_known);
        !self.guards.takeover_wait
            || now >= quiet && (now >= quiet + self.longest() || self.earlier_members.iter().all(known))
    }

    /// Permits of a pool that are counted as out beyond the guaranteed minimums, as last reckoned; and those that may be
    /// allocated.
    pub fn outstanding(&self, pool: &str) -> (u32, u32) {
        let round = self.round.as_ref().and_then(|round| round.pools.get(pool));
        round.map_or((0, 0), |r| (r.outstanding, r.permits))
    }

    /// Follows members and pools.
    fn observe(&mut self, state: &ClusterState, now: Micros) {
        // The first look may come late: who is there then may have been given permits by an earlier leader, and
        // so may a run in whose place another joined.
        if !self.has_observed || now < self.began + self.terms.takeover_wait() {
            self.has_observed = true;
            self.earlier_members.extend(state.present());
            self.earlier_members.extend(state.replaced.keys().cloned());
        }
        if self.pools != state.view.pools {
            let guarantees =
                self.pools.iter().map(|p| (p.name.clone(), self.guaranteed(&p.name, now))).collect();
            self.earlier_guarantees
                .push(EditionGuarantees { ended_by: state.view.version, guaranteed: guarantees });
            self.pools = state.view.pools.clone();
            self.round = None;
        }
    }

    /// Counts and shares out anew, at most once in [`AllocationLimits::interval`].
    fn recompute(&mut self, state: &ClusterState, now: Micros) {
        if self.round.as_ref().is_some_and(|round| now - round.computed_at < self.limits.interval) {
            return;
        }
        let span = self.terms.grantor_span() + self.longest();
        self.accounts.retain(|m, a| {
            a.forget(now - span);
            // Runs of one that is gone may go on at workers.
            state.is_present(m) || now < a.reported_at() + span
        });
        // Guaranteed minimums of earlier editions end once all have applied a later one.
        let accounts = &self.accounts;
        let applied =
            |v: Version| state.present().all(|m| accounts.get(&m).is_some_and(|a| a.confirmed() >= v));
        self.earlier_guarantees.retain(|edition| !applied(edition.ended_by));
        let mut pools = BTreeMap::new();
        for pool in &self.pools {
            let guaranteed = self.guaranteed(&pool.name, now);
            let all =
                if self.guards.guarantees { self.limits.front_ends.saturating_mul(guaranteed) } else { 0 };
            let permits = self.size(pool, now, false).saturating_sub(all);
            let members: Vec<_> = self.fresh(now).map(|(m, a)| (m, a.wanted(&pool.name))).collect();
            let targets = Targets::reckon(permits, &pool.reservations, &members);
            pools.insert(pool.name.clone(), PoolAllocation { permits, guaranteed, outstanding: 0, targets });
        }
        let (lease, longest) = (self.terms.grantor_span(), self.longest());
        for account in self.accounts.values_mut() {
            for (pool, round) in &mut pools {
                round.outstanding = round
                    .outstanding
                    .saturating_add(account.count(pool, round.guaranteed, now, lease, longest).1);
            }
        }
        self.round = Some(AllocationRound { computed_at: now, pools });
    }

    /// Counts one member anew.
    fn count(&mut self, member: &Member, now: Micros) {
        let (lease, longest) = (self.terms.grantor_span(), self.longest());
        let Some((account, round)) = self.accounts.get_mut(member).zip(self.round.as_mut()) else {
            return;
        };
        for (pool, round) in &mut round.pools {
            let (before, after) = account.count(pool, round.guaranteed, now, lease, longest);
            round.outstanding = round.outstanding.saturating_sub(before).saturating_add(after);
        }
    }

    fn allocate(&self, member: &Member) -> Vec<PermitGrant> {
        let Some((account, round)) = self.accounts.get(member).zip(self.round.as_ref()) else {
            return Vec::new();
        };
        let mut permits = Vec::new();
        for (pool, round) in &round.pools {
            let others = round.outstanding.saturating_sub(account.counted(pool));
            let of = round.targets.of(member, round.permits.saturating_sub(others)).into_iter();
            permits.extend(of.map(|(tenant, permits)| PermitGrant { pool: pool.clone(), tenant, permits }));
        }
        permits
    }

    fn longest(&self) -> Micros {
        if self.guards.runs {
            self.limits.longest_run + self.terms.drift(self.limits.longest_run)
        } else {
            0
        }
    }

    /// Accounts that are not old.
    fn fresh(&self, now: Micros) -> impl Iterator<Item = (&Member, &Account)> {
        let late = now - self.terms.grantor_span();
        self.accounts.iter().filter(move |(_, a)| a.reported_at() > late)
    }

    /// A pool's size. Where it goes by workers, for allocation the lower median of what members told of late:
    /// one front end that sees no workers does not empty the pool, and one that still counts workers that are
    /// gone does not widen it. For guaranteed minimums the greatest, as each member reckons its own by its own count.
    fn size(&self, pool: &Pool, now: Micros, for_floors: bool) -> u32 {
        if let PoolSize::Permits(permits) = pool.size {
            return permits;
        }
        let mut ready: Vec<u32> = self.fresh(now).map(|(_, a)| a.ready_capacity()).collect();
        ready.sort_unstable();
        let place = ready.len().saturating_sub(1) / if for_floors { 1 } else { 2 };
        ready.get(place).copied().unwrap_or(0)
    }

    /// The greatest guaranteed minimum in a pool that any member may go by.
    fn guaranteed(&self, pool: &str, now: Micros) -> u32 {
        let of = self.pools.iter().find(|p| p.name == pool);
        let new = of.map_or(0, |p| guaranteed_permits(self.size(p, now, true), &self.limits));
        let old = self.earlier_guarantees.iter().filter_map(|edition| edition.guaranteed.get(pool)).copied();
        old.fold(new, u32::max)
    }
}
