//! Whether a call may start a run in a pool now: by the permits that this front end was allocated and its guaranteed minimum
//! there.
//!
//! A tenant with a reservation goes by the permits allocated to it (of its own or borrowed), the others share those
//! allocated to all without one, in turns by tenant. The guaranteed minimum is anybody's, owners first. All runs of a pool
//! together stay within its guaranteed minimum and permits when one is started; runs that are left over from larger leases
//! keep counting until they end.

mod class;
mod tenant_queue;

use class::Pool;
use stagehoist::Micros;
use std::collections::{BTreeSet, HashMap};
use tenant_queue::TenantQueue;

pub use class::{PoolDemand, PoolRules};

/// The word for the reply of a call that is refused here.
pub const NO_PERMIT: &str = "no-lane";

/// A permit in use; to be given back by [`PermitPools::leave`] once all attempts of its call are known to have ended.
#[derive(Debug, PartialEq, Eq, Hash)]
#[must_use]
pub struct Permit {
    pool: usize,
    class: usize,
}

/// What becomes of a call that asks for a permit.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum PermitDecision {
    /// It starts now.
    Granted(Permit),
    /// Until [`PermitPools::take_ready`] names it.
    Wait,
    /// With the reason [`NO_PERMIT`].
    Rejected {
        /// How long the caller had better stay away, in microseconds.
        retry_after: Micros,
    },
}

/// A call that waits no longer.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// It starts now.
    Granted {
        /// The call.
        call: u64,
        /// Its permit.
        permit: Permit,
    },
    /// With the reason [`NO_PERMIT`].
    Rejected {
        /// The call.
        call: u64,
        /// How long the caller had better stay away, in microseconds.
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

/// The gate of one front end.
#[derive(Debug)]
pub struct PermitPools {
    /// Calls that may wait in one pool.
    max_waiting: usize,
    max_retry_after: Micros,
    seed: u64,
    /// Until then runs of an earlier run of this front end may go on at workers, on its guaranteed minimum.
    quiet_until: Micros,
    pools: Vec<Pool>,
    until: Micros,
    applied: u64,
    waiting: HashMap<u64, WaitingCall>,
    deadlines: BTreeSet<(Micros, u64)>,
    next_position: u64,
}

impl PermitPools {
    /// A gate without pools. `most` calls may wait in each pool, advice is at most `retry_most` microseconds.
    /// `rests_until`: see [`PermitPools::demand`]; the moment of start where workers end a run with its connection,
    /// else the longest run after it.
    pub fn new(most: usize, retry_most: Micros, rests_until: Micros, seed: u64) -> PermitPools {
        PermitPools {
            max_waiting: most,
            max_retry_after: retry_most,
            seed,
            quiet_until: rests_until,
            pools: Vec::new(),
            until: Micros::MIN,
            applied: 0,
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_position: 0,
        }
    }

    /// The pools as they stand now, each with this front end's guaranteed minimum. One that is not told any more keeps its
    /// place, without a guaranteed minimum, for the runs under way. Whoever is not seated in the fleet tells guaranteed minimums of 0.
    pub fn configure(&mut self, pools: &[PoolRules], now: Micros) {
        for pool in &mut self.pools {
            pool.close();
        }
        for rules in pools {
            let place = self.pool(&rules.name).unwrap_or_else(|| {
                self.seed = self.seed.wrapping_add(1);
                self.pools.push(Pool::new(&rules.name));
                self.pools.len() - 1
            });
            self.pools[place].configure(rules, self.max_retry_after, self.seed, now);
        }
    }

    /// Permits allocated by grant `number`, by names of pool and tenant (empty: those without a reservation), until
    /// that time; they take the place of all allocated before.
    pub fn apply_grant<'a>(
        &mut self,
        number: u64,
        until: Micros,
        permits: impl IntoIterator<Item = (&'a str, &'a str, u32)>,
    ) {
        (self.applied, self.until) = (number, until);
        for pool in &mut self.pools {
            pool.clear();
        }
        for (pool, tenant, permits) in permits {
            if let Some(pool) = self.pools.iter_mut().find(|p| p.name() == pool) {
                pool.grant(tenant, permits);
            }
        }
    }

    /// The number of a pool, for [`PermitPools::enter`].
    pub fn pool(&self, name: &str) -> Option<usize> {
        self.pools.iter().position(|p| p.name() == name)
    }

    /// A call wants to run in a pool, and can be answered in its time only if it starts before `latest`.
    pub fn enter(
        &mut self,
        pool: usize,
        tenant: u32,
        call: u64,
        latest: Micros,
        now: Micros,
    ) -> PermitDecision {
        self.expire(now);
        let floored = now >= self.quiet_until;
        let Some(of) = self.pools.get_mut(pool) else {
            return PermitDecision::Rejected { retry_after: self.max_retry_after };
        };
        let class = of.class(tenant);
        if of.may_pass(class, floored) {
            of.start(class);
            return PermitDecision::Granted(Permit { pool, class });
        }
        if latest <= now || of.waiting() >= self.max_waiting || of.is_hopeless(class, latest, now) {
            return PermitDecision::Rejected { retry_after: of.retry_after(class) };
        }
        self.next_position += 1;
        let place = self.next_position;
        of.wait(class, tenant, place, call, now);
        self.waiting.insert(call, WaitingCall { pool, class, tenant, position: place, latest_start: latest });
        self.deadlines.insert((latest, call));
        PermitDecision::Wait
    }

    /// A call that waits was answered otherwise; false where it does not wait.
    pub fn cancel(&mut self, call: u64) -> bool {
        let Some(waits) = self.waiting.remove(&call) else { return false };
        self.deadlines.remove(&(waits.latest_start, call));
        self.pools[waits.pool].cancel_wait(waits.class, waits.tenant, waits.position);
        true
    }

    /// All attempts of a call are known to have ended.
    pub fn leave(&mut self, permit: Permit, now: Micros) {
        if let Some(pool) = self.pools.get_mut(permit.pool) {
            pool.leave(permit.class, now);
        }
    }

    /// Calls that need wait no longer, in order, appended to `woken`. To be asked after any change and at
    /// [`PermitPools::next`].
    pub fn take_ready(&mut self, now: Micros, outcomes: &mut Vec<WaitOutcome>) {
        self.expire(now);
        while let Some((_, call)) = self.deadlines.first().copied().filter(|(latest, _)| *latest <= now) {
            let Some(waits) = self.waiting.get(&call).copied() else { break };
            self.cancel(call);
            let retry_after = self.pools[waits.pool].retry_after(waits.class);
            outcomes.push(WaitOutcome::Rejected { call, retry_after });
        }
        let floored = now >= self.quiet_until;
        for (place, pool) in self.pools.iter_mut().enumerate() {
            while let Some((class, call)) = pool.next(floored) {
                if let Some(waits) = self.waiting.remove(&call) {
                    self.deadlines.remove(&(waits.latest_start, call));
                }
                outcomes.push(WaitOutcome::Granted { call, permit: Permit { pool: place, class } });
            }
        }
    }

    /// When [`PermitPools::take_ready`] has something though nothing changes.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let deadline = self.deadlines.first().map(|(latest, _)| *latest);
        let rested = Some(self.quiet_until).filter(|t| *t > now && !self.waiting.is_empty());
        deadline.into_iter().chain(rested).min()
    }

    /// What to report. While runs of an earlier run may go on the grant in force is not named, so that a
    /// leader that allocates anew counts on nothing yet.
    pub fn demand(&self, now: Micros) -> impl Iterator<Item = PoolDemand<'_>> {
        let applied = if now < self.quiet_until { 0 } else { self.applied };
        self.pools.iter().flat_map(move |pool| pool.wanted(applied))
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn expire(&mut self, now: Micros) {
        if now >= self.until && self.until > Micros::MIN {
            self.until = Micros::MIN;
            for pool in &mut self.pools {
                pool.clear();
            }
        }
    }
}
