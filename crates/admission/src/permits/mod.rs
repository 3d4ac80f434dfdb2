//! Decides whether a call may start a run in a pool now, by the permits allocated to this front end and its guaranteed
//! minimum in that pool.
//!
//! A tenant with a reservation uses the permits allocated to it (its own or borrowed). All other tenants share the
//! permits allocated to tenants without a reservation, in round-robin order. The guaranteed minimum is open to every
//! tenant, those with a reservation first. A run starts only if all runs of the pool stay within its guaranteed minimum
//! plus its permits; runs that remain from larger leases count until they end.

mod class;
mod tenant_queue;

use class::Pool;
use stagehoist::Micros;
use std::collections::{BTreeSet, HashMap};
use tenant_queue::TenantQueue;

pub use class::{PoolDemand, PoolRules};

/// Reason code in the reply to a call that is rejected here.
pub const NO_PERMIT: &str = "no-lane";

/// A permit in use; must be returned by [`PermitPools::leave`] once all attempts of its call are known to have ended.
#[derive(Debug, PartialEq, Eq, Hash)]
#[must_use]
pub struct Permit {
    pool: usize,
    class: usize,
}

/// The decision about a call that requests a permit.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum PermitDecision {
    /// The call starts now.
    Granted(Permit),
    /// The call waits until [`PermitPools::take_ready`] returns it.
    Wait,
    /// The call is rejected with the reason [`NO_PERMIT`].
    Rejected {
        /// Advised retry delay, in microseconds.
        retry_after: Micros,
    },
}

/// How a call's wait for a permit ended.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The call starts now.
    Granted {
        /// The call.
        call: u64,
        /// Its permit.
        permit: Permit,
    },
    /// The call is rejected with the reason [`NO_PERMIT`].
    Rejected {
        /// The call.
        call: u64,
        /// Advised retry delay, in microseconds.
        retry_after: Micros,
    },
}

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    pool: usize,
    class: usize,
    tenant: u32,
    position: u64,
    latest_start: Micros,
}

/// The pools of one front end, with the permits in use and the calls that wait for one.
#[derive(Debug)]
pub struct PermitPools {
    /// Maximum number of calls that wait in one pool.
    max_waiting: usize,
    max_retry_after: Micros,
    seed: u64,
    /// Until this time, runs started by an earlier incarnation of this front end may still use its guaranteed minimum at
    /// workers.
    guaranteed_from: Micros,
    pools: Vec<Pool>,
    grant_until: Micros,
    applied_grant: u64,
    waiting: HashMap<u64, WaitingCall>,
    deadlines: BTreeSet<(Micros, u64)>,
    next_position: u64,
}

impl PermitPools {
    /// Creates an instance without pools. At most `wait_limit` calls may wait in each pool, and advised retry delays
    /// are at most `delay_limit` microseconds. The guaranteed minimum is not used before `unused_until` (see also
    /// [`PermitPools::demand`]). Callers pass the start time if workers end a run together with its connection,
    /// otherwise the start time plus the longest run.
    pub fn new(wait_limit: usize, delay_limit: Micros, unused_until: Micros, seed: u64) -> PermitPools {
        PermitPools {
            max_waiting: wait_limit,
            max_retry_after: delay_limit,
            seed,
            guaranteed_from: unused_until,
            pools: Vec::new(),
            grant_until: Micros::MIN,
            applied_grant: 0,
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_position: 0,
        }
    }

    /// Replaces the rules of the pools, each with this front end's guaranteed minimum. A pool that is no longer configured
    /// keeps its index, without a guaranteed minimum, for the runs in progress. For a front end that is not a member of
    /// the fleet the guaranteed minimums are 0.
    pub fn configure(&mut self, pools: &[PoolRules], now: Micros) {
        for pool in &mut self.pools {
            pool.close();
        }
        for rules in pools {
            let index = self.pool(&rules.name).unwrap_or_else(|| {
                self.seed = self.seed.wrapping_add(1);
                self.pools.push(Pool::new(&rules.name));
                self.pools.len() - 1
            });
            self.pools[index].configure(rules, self.max_retry_after, self.seed, now);
        }
    }

    /// Applies grant `number`: permits by names of pool and tenant (empty: the tenants without a reservation), valid until
    /// `until`. They replace all permits allocated before.
    pub fn apply_grant<'a>(
        &mut self,
        number: u64,
        until: Micros,
        permits: impl IntoIterator<Item = (&'a str, &'a str, u32)>,
    ) {
        (self.applied_grant, self.grant_until) = (number, until);
        for pool in &mut self.pools {
            pool.clear();
        }
        for (pool, tenant, permits) in permits {
            if let Some(pool) = self.pools.iter_mut().find(|p| p.name() == pool) {
                pool.grant(tenant, permits);
            }
        }
    }

    /// Returns the index of a pool, for [`PermitPools::enter`].
    pub fn pool(&self, name: &str) -> Option<usize> {
        self.pools.iter().position(|p| p.name() == name)
    }

    /// Requests a permit for a call, which can be answered in time only if it starts before `latest`.
    pub fn enter(
        &mut self,
        pool: usize,
        tenant: u32,
        call: u64,
        latest: Micros,
        now: Micros,
    ) -> PermitDecision {
        self.expire(now);
        let use_guaranteed = now >= self.guaranteed_from;
        let Some(state) = self.pools.get_mut(pool) else {
            return PermitDecision::Rejected { retry_after: self.max_retry_after };
        };
        let class = state.class(tenant);
        if state.can_start_now(class, use_guaranteed) {
            state.start(class);
            return PermitDecision::Granted(Permit { pool, class });
        }
        if latest <= now
            || state.waiting() >= self.max_waiting
            || state.would_wait_too_long(class, latest, now)
        {
            return PermitDecision::Rejected { retry_after: state.retry_after(class) };
        }
        self.next_position += 1;
        let queue_position = self.next_position;
        state.wait(class, tenant, queue_position, call, now);
        self.waiting.insert(
            call,
            WaitingCall { pool, class, tenant, position: queue_position, latest_start: latest },
        );
        self.deadlines.insert((latest, call));
        PermitDecision::Wait
    }

    /// Removes a waiting call that was answered otherwise; returns false if it was not waiting.
    pub fn cancel(&mut self, call: u64) -> bool {
        let Some(waiting_call) = self.waiting.remove(&call) else { return false };
        self.deadlines.remove(&(waiting_call.latest_start, call));
        self.pools[waiting_call.pool].cancel_wait(
            waiting_call.class,
            waiting_call.tenant,
            waiting_call.position,
        );
        true
    }

    /// Returns the permit of a call whose attempts are all known to have ended.
    pub fn leave(&mut self, permit: Permit, now: Micros) {
        if let Some(pool) = self.pools.get_mut(permit.pool) {
            pool.leave(permit.class, now);
        }
    }

    /// Appends the calls whose wait has ended to `outcomes`, in order. Must be called after any change and at the time
    /// given by [`PermitPools::next`].
    pub fn take_ready(&mut self, now: Micros, outcomes: &mut Vec<WaitOutcome>) {
        self.expire(now);
        while let Some((_, call)) = self.deadlines.first().copied().filter(|(latest, _)| *latest <= now) {
            let Some(waiting_call) = self.waiting.get(&call).copied() else { break };
            self.cancel(call);
            let retry_after = self.pools[waiting_call.pool].retry_after(waiting_call.class);
            outcomes.push(WaitOutcome::Rejected { call, retry_after });
        }
        let use_guaranteed = now >= self.guaranteed_from;
        for (index, pool) in self.pools.iter_mut().enumerate() {
            while let Some((class, call)) = pool.next(use_guaranteed) {
                if let Some(waiting_call) = self.waiting.remove(&call) {
                    self.deadlines.remove(&(waiting_call.latest_start, call));
                }
                outcomes.push(WaitOutcome::Granted { call, permit: Permit { pool: index, class } });
            }
        }
    }

    /// Returns when [`PermitPools::take_ready`] must be called next if nothing changes.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let deadline = self.deadlines.first().map(|(latest, _)| *latest);
        let guaranteed_start = Some(self.guaranteed_from).filter(|t| *t > now && !self.waiting.is_empty());
        deadline.into_iter().chain(guaranteed_start).min()
    }

    /// Returns the demand to report. While runs of an earlier incarnation may still be in progress, the number of the
    /// grant in force is reported as 0, so that the leader does not yet rely on this front end having applied it.
    pub fn demand(&self, now: Micros) -> impl Iterator<Item = PoolDemand<'_>> {
        let applied = if now < self.guaranteed_from { 0 } else { self.applied_grant };
        self.pools.iter().flat_map(move |pool| pool.demand(applied))
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn expire(&mut self, now: Micros) {
        if now >= self.grant_until && self.grant_until > Micros::MIN {
            self.grant_until = Micros::MIN;
            for pool in &mut self.pools {
                pool.clear();
            }
        }
    }
}
