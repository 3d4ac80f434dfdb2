//! Permits of pools at a front end: which calls need one before they enter the module, those that wait for one, and what the
//! replicas are notified of it. Without I/O.

use super::names::outer_name;
use stagehoist::{Micros, Request, RequestId};
use stagehoist_admission::permits::{Permit, PermitDecision, PermitPools, PoolRules, WaitOutcome};
use stagehoist_cluster_state::{
    guaranteed_permits, AllocationLimits, ClusterStatus, Demand, Pool, PoolSize, Reservation,
    GUARANTEED_SHARE,
};
use stagehoist_config::Config;
use std::collections::HashMap;
use std::rc::Rc;

/// What becomes of a call.
#[derive(Debug)]
pub enum Entry {
    /// Its function is in no pool.
    Free,
    Admitted(Permit),
    Wait,
    Rejected {
        retry_after: Micros,
    },
}

/// A call that waits no longer.
#[derive(Debug)]
pub enum PoolDecision {
    Admitted(Request, Permit),
    Rejected(RequestId, Micros),
}

/// The entrance of one front end; there is none without pools.
pub struct PoolAdmission {
    config: Rc<Config>,
    permits: PermitPools,
    pools: Vec<Pool>,
    edition: u64,
    limits: AllocationLimits,
    ready_capacity: u32,
    waiting: HashMap<RequestId, (Request, Micros)>,
    /// Permits of calls that are over, not yet given back.
    freed: Vec<Permit>,
    outcomes: Vec<WaitOutcome>,
    applied: u64,
    checked_at: Micros,
}

impl PoolAdmission {
    /// None where the configuration has no pool. Guaranteed minimums count from the first moment.
    pub fn new(config: &Rc<Config>, seed: u64, now: Micros) -> Option<PoolAdmission> {
        let fleet = config.fleet.as_ref().filter(|f| !f.pools.is_empty())?;
        // Where closing a connection ends the run at its worker, nothing of an earlier run goes on.
        let rests_until = if config.cancel { now } else { now + config.longest_run() };
        let most = usize::try_from(config.held_most).unwrap_or(usize::MAX);
        let limits = AllocationLimits {
            front_ends: config.fleet_front_ends,
            guaranteed_share: GUARANTEED_SHARE,
            longest_run: 0,
            interval: 0,
        };
        let mut entrance = PoolAdmission {
            config: config.clone(),
            permits: PermitPools::new(most, config.retry_after_most, rests_until, seed),
            pools: fleet.pools.iter().map(pool).collect(),
            edition: fleet.pools_edition,
            limits,
            ready_capacity: 0,
            waiting: HashMap::new(),
            freed: Vec::new(),
            outcomes: Vec::new(),
            applied: 0,
            checked_at: now,
        };
        entrance.configure(now);
        Some(entrance)
    }

    /// The cluster status: pools of a newer edition, and permits.
    pub fn on_cluster_status(&mut self, status: &ClusterStatus, now: Micros) {
        let view = &status.view;
        if view.edition >= self.edition && view.pools != self.pools {
            self.edition = view.edition;
            self.pools.clone_from(&view.pools);
            self.configure(now);
        }
        if status.permits_grant > self.applied {
            self.applied = status.permits_grant;
            let permits =
                status.permits.iter().map(|((pool, tenant), n)| (pool.as_str(), tenant.as_str(), *n));
            self.permits.apply_grant(status.permits_grant, status.permits_until, permits);
        }
    }

    /// Permits of the ready workers, by which some pools' guaranteed minimums go.
    pub fn on_capacity(&mut self, ready_lanes: u32, now: Micros) {
        if std::mem::replace(&mut self.ready_capacity, ready_lanes) != ready_lanes
            && self.pools.iter().any(|p| p.size == PoolSize::ByWorkers)
        {
            self.configure(now);
        }
    }

    fn configure(&mut self, now: Micros) {
        let tenants = &self.config.tenants;
        let number = |name: &str| tenants.iter().position(|t| t.name == name).map(|n| n as u32);
        let rules = self.pools.iter().map(|pool| {
            let size = match pool.size {
                PoolSize::Permits(permits) => permits,
                PoolSize::ByWorkers => self.ready_capacity,
            };
            let reserved = pool.reservations.iter();
            PoolRules {
                name: pool.name.clone(),
                guaranteed: guaranteed_permits(size, &self.limits),
                reserved: reserved.filter_map(|r| Some((number(&r.tenant)?, r.tenant.clone()))).collect(),
            }
        });
        let rules: Vec<PoolRules> = rules.collect();
        self.permits.configure(&rules, now);
    }

    /// The pool of a function, by its inner name: of the patterns that take it the name itself, else the longest.
    fn pool(&self, inner: &str) -> Option<usize> {
        let (name, _) = outer_name(inner);
        let weight = |pattern: &String| match pattern.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix).then_some((false, prefix.len())),
            None => (name == pattern).then_some((true, name.len())),
        };
        let of = |pool: &Pool| pool.functions.iter().filter_map(weight).max();
        let (_, pool) =
            self.pools.iter().filter_map(|p| Some((of(p)?, p))).max_by_key(|(weight, _)| *weight)?;
        self.permits.pool(&pool.name)
    }

    /// A call wants to enter the module; its caller waits until the deadline.
    pub fn enter(&mut self, request: &Request, inner: &str, deadline: Micros, now: Micros) -> Entry {
        let Some(pool) = self.pool(inner) else { return Entry::Free };
        let latest = deadline - request.work.unwrap_or(0);
        match self.permits.enter(pool, request.tenant, u64::from(request.id), latest, now) {
            PermitDecision::Granted(lane) => Entry::Admitted(lane),
            PermitDecision::Wait => {
                self.waiting.insert(request.id, (request.clone(), deadline));
                Entry::Wait
            }
            PermitDecision::Rejected { retry_after } => Entry::Rejected { retry_after },
        }
    }

    /// Whether a call waits here, unknown to the module.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        self.waiting.contains_key(&request)
    }

    /// A call was answered, or its caller left.
    pub fn forget(&mut self, request: RequestId) {
        if self.waiting.remove(&request).is_some() {
            self.permits.cancel(u64::from(request));
        }
    }

    /// A call is over and all its attempts are known to have ended.
    pub fn release(&mut self, lane: Permit) {
        self.freed.push(lane);
    }

    /// Calls that wait no longer, in their order, each with what is left of its time.
    pub fn take_decisions(&mut self, now: Micros) -> Vec<PoolDecision> {
        self.checked_at = now;
        for lane in self.freed.drain(..) {
            self.permits.leave(lane, now);
        }
        self.permits.take_ready(now, &mut self.outcomes);
        let mut decisions = Vec::with_capacity(self.outcomes.len());
        for outcomes in self.outcomes.drain(..) {
            match outcomes {
                WaitOutcome::Granted { call, permit: lane } => {
                    match self.waiting.remove(&(call as RequestId)) {
                        Some((request, deadline)) => {
                            let budget = (deadline - now).max(0);
                            decisions.push(PoolDecision::Admitted(Request { budget, ..request }, lane));
                        }
                        None => self.freed.push(lane),
                    }
                }
                WaitOutcome::Rejected { call, retry_after } => {
                    self.waiting.remove(&(call as RequestId));
                    decisions.push(PoolDecision::Rejected(call as RequestId, retry_after));
                }
            }
        }
        decisions
    }

    /// When [`PoolAdmission::take_decisions`] is due though nothing came.
    pub fn due(&self) -> Option<Micros> {
        if self.freed.is_empty() {
            self.permits.next(self.checked_at)
        } else {
            Some(Micros::MIN)
        }
    }

    /// What the replicas are to be told.
    pub fn demand(&self) -> Vec<Demand> {
        let demand = self.permits.demand(self.checked_at).map(|wanted| Demand {
            pool: wanted.pool.to_owned(),
            tenant: wanted.tenant.to_owned(),
            in_use: wanted.in_use,
            waiting: wanted.waiting,
            applied: wanted.applied,
        });
        demand.collect()
    }
}

/// A pool in the cluster state's words.
fn pool(told: &stagehoist_config::Pool) -> Pool {
    let reservation =
        |(tenant, permits): &(String, u32)| Reservation { tenant: tenant.clone(), permits: *permits };
    Pool {
        name: told.name.clone(),
        functions: told.functions.clone(),
        size: told.permits.map_or(PoolSize::ByWorkers, PoolSize::Permits),
        reservations: told.reservations.iter().map(reservation).collect(),
    }
}
