//! Allocation of leased permits by the leader, in addition to the guaranteed minimums.
//!
//! A front end starts a run in a pool only while it has fewer runs there than the sum of its guaranteed minimum and the
//! permits it holds. Runs may continue after the lease under which they started has expired. Consider a report with
//! `in_use` and `applied` (the grant that the front end had applied when it sent the report). From that report on, the
//! front end never has more runs than the greater of two values: `in_use`, and its guaranteed minimum plus the largest grant
//! numbered `applied` or later. The allocator counts that many permits, less the guaranteed minimum, as outstanding, until a
//! later report lowers the value, or until the lease and the longest run have passed. A member is granted only what remains
//! of the pool after all guaranteed minimums and the outstanding permits of the other members.

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

/// Allocates the permits of every pool. Its state is lost when the leadership ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitAllocator {
    terms: LeaseTerms,
    limits: AllocationLimits,
    guards: Guards,
    elected_at: Micros,
    /// Members that may hold permits from an earlier leader.
    earlier_members: BTreeSet<Member>,
    accounts: BTreeMap<Member, Account>,
    pools: Vec<Pool>,
    /// Guaranteed minimums of earlier editions, each kept until every member has applied the change that ended it.
    earlier_guarantees: Vec<EditionGuarantees>,
    has_observed: bool,
    /// Whether permits granted by earlier leaders can no longer be in use.
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

/// The allocation of all pools, computed at one time. Within a round only the reporting member is recounted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct AllocationRound {
    computed_at: Micros,
    pools: BTreeMap<String, PoolAllocation>,
}

/// The computed allocation of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PoolAllocation {
    permits: u32,
    guaranteed: u32,
    outstanding: u32,
    targets: Targets,
}

impl PermitAllocator {
    /// Creates the allocator of a newly elected leader.
    pub fn new(terms: LeaseTerms, limits: AllocationLimits, now: Micros) -> PermitAllocator {
        PermitAllocator {
            terms,
            limits,
            guards: Guards::default(),
            elected_at: now,
            earlier_members: BTreeSet::new(),
            accounts: BTreeMap::new(),
            pools: Vec::new(),
            earlier_guarantees: Vec::new(),
            has_observed: false,
            may_allocate_all: false,
            round: None,
        }
    }

    /// Replaces the guards; for tests that disable some of them.
    #[doc(hidden)]
    pub fn with_guards(self, guards: Guards) -> PermitAllocator {
        PermitAllocator { guards, ..self }
    }

    /// Returns whether a front end with this name may join. A front end beyond [`AllocationLimits::front_ends`] would have
    /// no guaranteed minimum, and could not learn that while it is disconnected; so its hello is rejected.
    pub fn admits(&self, state: &ClusterState, name: &str) -> bool {
        self.admits_with(state, name, 0)
    }

    /// Same as [`PermitAllocator::admits`], with a number of other front ends that were admitted but have not yet joined
    /// the cluster state.
    pub fn admits_with(&self, state: &ClusterState, name: &str, others: usize) -> bool {
        state.present().filter(|m| m.name != name).count() + others < self.limits.front_ends as usize
    }

    /// Handles the report of a present member while the leader may grant leases. Returns the permits of the grant, by pool
    /// and tenant. An outdated or duplicate report changes nothing and gets no permits.
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

    /// Returns whether all permits granted by earlier leaders can no longer be in use: their leases have expired, and
    /// either every earlier member has applied a grant of this leader, or so much time has passed that the runs
    /// started under these leases have ended.
    pub fn may_allocate(&self, now: Micros) -> bool {
        let leases_end = self.elected_at + self.terms.takeover_wait();
        let is_known = |m: &Member| self.accounts.get(m).is_some_and(Account::is_known);
        !self.guards.takeover_wait
            || now >= leases_end
                && (now >= leases_end + self.max_run_duration() || self.earlier_members.iter().all(is_known))
    }

    /// Returns the outstanding permits of a pool beyond the guaranteed minimums, as last computed, and the number that may
    /// be allocated.
    pub fn outstanding(&self, pool: &str) -> (u32, u32) {
        let round = self.round.as_ref().and_then(|round| round.pools.get(pool));
        round.map_or((0, 0), |r| (r.outstanding, r.permits))
    }

    /// Updates the earlier members and the pools from the cluster state.
    fn observe(&mut self, state: &ClusterState, now: Micros) {
        // Members seen during the takeover wait, or at the first observation even if that is later, may hold permits
        // from an earlier leader, and so may replaced runs.
        if !self.has_observed || now < self.elected_at + self.terms.takeover_wait() {
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

    /// Recounts outstanding permits and recomputes targets, at most once per [`AllocationLimits::interval`].
    fn recompute(&mut self, state: &ClusterState, now: Micros) {
        if self.round.as_ref().is_some_and(|round| now - round.computed_at < self.limits.interval) {
            return;
        }
        let span = self.terms.grantor_span() + self.max_run_duration();
        self.accounts.retain(|m, a| {
            a.drop_expired_grants(now - span);
            // Runs of a member that has left may continue at workers.
            state.is_present(m) || now < a.reported_at() + span
        });
        // Guaranteed minimums of an earlier edition are dropped once all members have applied a later edition.
        let accounts = &self.accounts;
        let applied =
            |v: Version| state.present().all(|m| accounts.get(&m).is_some_and(|a| a.confirmed() >= v));
        self.earlier_guarantees.retain(|edition| !applied(edition.ended_by));
        let mut pools = BTreeMap::new();
        for pool in &self.pools {
            let guaranteed = self.guaranteed(&pool.name, now);
            let total_guaranteed =
                if self.guards.guarantees { self.limits.front_ends.saturating_mul(guaranteed) } else { 0 };
            let permits = self.size(pool, now, false).saturating_sub(total_guaranteed);
            let members: Vec<_> = self.recent_accounts(now).map(|(m, a)| (m, a.wanted(&pool.name))).collect();
            let targets = Targets::compute(permits, &pool.reservations, &members);
            pools.insert(pool.name.clone(), PoolAllocation { permits, guaranteed, outstanding: 0, targets });
        }
        let (lease, longest) = (self.terms.grantor_span(), self.max_run_duration());
        for account in self.accounts.values_mut() {
            for (pool, round) in &mut pools {
                round.outstanding = round
                    .outstanding
                    .saturating_add(account.count(pool, round.guaranteed, now, lease, longest).1);
            }
        }
        self.round = Some(AllocationRound { computed_at: now, pools });
    }

    /// Recounts one member.
    fn count(&mut self, member: &Member, now: Micros) {
        let (lease, longest) = (self.terms.grantor_span(), self.max_run_duration());
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
            let granted = round.targets.of(member, round.permits.saturating_sub(others)).into_iter();
            permits.extend(granted.map(|(tenant, permits)| PermitGrant {
                pool: pool.clone(),
                tenant,
                permits,
            }));
        }
        permits
    }

    fn max_run_duration(&self) -> Micros {
        if self.guards.runs {
            self.limits.longest_run + self.terms.drift(self.limits.longest_run)
        } else {
            0
        }
    }

    /// Returns the accounts with a report within the last lease.
    fn recent_accounts(&self, now: Micros) -> impl Iterator<Item = (&Member, &Account)> {
        let cutoff = now - self.terms.grantor_span();
        self.accounts.iter().filter(move |(_, a)| a.reported_at() > cutoff)
    }

    /// Returns a pool's size. For allocation, the size of a pool sized by workers is the lower median of the recently
    /// reported capacities: one front end that sees no workers does not empty the pool, and one that still counts workers
    /// that are gone does not enlarge it. For guaranteed minimums it is the maximum, as each member computes its own
    /// minimum from its own count.
    fn size(&self, pool: &Pool, now: Micros, for_guarantees: bool) -> u32 {
        if let PoolSize::Permits(permits) = pool.size {
            return permits;
        }
        let mut ready: Vec<u32> = self.recent_accounts(now).map(|(_, a)| a.ready_capacity()).collect();
        ready.sort_unstable();
        let index = ready.len().saturating_sub(1) / if for_guarantees { 1 } else { 2 };
        ready.get(index).copied().unwrap_or(0)
    }

    /// Returns the highest guaranteed minimum that any member may currently use in a pool.
    fn guaranteed(&self, pool: &str, now: Micros) -> u32 {
        let pool_config = self.pools.iter().find(|p| p.name == pool);
        let new = pool_config.map_or(0, |p| guaranteed_permits(self.size(p, now, true), &self.limits));
        let old = self.earlier_guarantees.iter().filter_map(|edition| edition.guaranteed.get(pool)).copied();
        old.fold(new, u32::max)
    }
}
