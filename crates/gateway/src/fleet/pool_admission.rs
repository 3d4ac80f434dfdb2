//! Pool permits at a front end: which calls need one before they enter the decision module, the calls that wait for
//! one, and the demand reported to the replicas. Without I/O.

use super::names::parse_internal_name;
use stagehoist::{Micros, Request, RequestId};
use stagehoist_admission::permits::{Permit, PermitDecision, PermitPools, PoolRules, WaitOutcome};
use stagehoist_cluster_state::{
    guaranteed_permits, AllocationLimits, ClusterStatus, Demand, Pool, PoolSize, Reservation,
    GUARANTEED_SHARE,
};
use stagehoist_config::Config;
use std::collections::HashMap;
use std::rc::Rc;

/// The result of a call's request to enter.
#[derive(Debug)]
pub enum Entry {
    /// The function is in no pool: no permit is needed.
    Free,
    Admitted(Permit),
    Wait,
    Rejected {
        retry_after: Micros,
    },
}

/// The decision on a call that was waiting.
#[derive(Debug)]
pub enum PoolDecision {
    Admitted(Request, Permit),
    Rejected(RequestId, Micros),
}

/// Pool admission of a front end; exists only if there are pools.
pub struct PoolAdmission {
    config: Rc<Config>,
    permits: PermitPools,
    pools: Vec<Pool>,
    edition: u64,
    limits: AllocationLimits,
    ready_capacity: u32,
    waiting: HashMap<RequestId, (Request, Micros)>,
    /// Permits of finished calls that are not yet returned.
    released: Vec<Permit>,
    outcomes: Vec<WaitOutcome>,
    applied: u64,
    checked_at: Micros,
}

impl PoolAdmission {
    /// Returns `None` if the configuration has no pool. The guaranteed minimums apply from the start.
    pub fn new(config: &Rc<Config>, seed: u64, now: Micros) -> Option<PoolAdmission> {
        let fleet = config.fleet.as_ref().filter(|f| !f.pools.is_empty())?;
        // If closing a connection cancels the run at its worker, no run of an earlier process is still in progress.
        let earlier_runs_until = if config.cancel { now } else { now + config.longest_attempt() };
        let max_waiting = usize::try_from(config.max_held_calls).unwrap_or(usize::MAX);
        let limits = AllocationLimits {
            front_ends: config.fleet_front_ends,
            guaranteed_share: GUARANTEED_SHARE,
            longest_run: 0,
            interval: 0,
        };
        let mut admission = PoolAdmission {
            config: config.clone(),
            permits: PermitPools::new(max_waiting, config.max_retry_after, earlier_runs_until, seed),
            pools: fleet.pools.iter().map(pool).collect(),
            edition: fleet.pools_edition,
            limits,
            ready_capacity: 0,
            waiting: HashMap::new(),
            released: Vec::new(),
            outcomes: Vec::new(),
            applied: 0,
            checked_at: now,
        };
        admission.configure(now);
        Some(admission)
    }

    /// Applies a cluster status: pools of a newer edition, and permits.
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

    /// Sets the capacity of the ready workers, which determines some pools' guaranteed minimums.
    pub fn on_capacity(&mut self, ready_capacity: u32, now: Micros) {
        if std::mem::replace(&mut self.ready_capacity, ready_capacity) != ready_capacity
            && self.pools.iter().any(|p| p.size == PoolSize::ByWorkers)
        {
            self.configure(now);
        }
    }

    fn configure(&mut self, now: Micros) {
        let tenants = &self.config.tenants;
        let tenant_index = |name: &str| tenants.iter().position(|t| t.name == name).map(|n| n as u32);
        let rules = self.pools.iter().map(|pool| {
            let size = match pool.size {
                PoolSize::Permits(permits) => permits,
                PoolSize::ByWorkers => self.ready_capacity,
            };
            let reserved = pool.reservations.iter();
            PoolRules {
                name: pool.name.clone(),
                guaranteed: guaranteed_permits(size, &self.limits),
                reserved: reserved
                    .filter_map(|r| Some((tenant_index(&r.tenant)?, r.tenant.clone())))
                    .collect(),
            }
        });
        let rules: Vec<PoolRules> = rules.collect();
        self.permits.configure(&rules, now);
    }

    /// Returns the pool of a function, given by its internal name. If several patterns match, an exact name wins over
    /// patterns with `*`, and the longest of these wins otherwise.
    fn pool(&self, inner: &str) -> Option<usize> {
        let (name, _) = parse_internal_name(inner);
        let match_rank = |pattern: &String| match pattern.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix).then_some((false, prefix.len())),
            None => (name == pattern).then_some((true, name.len())),
        };
        let of = |pool: &Pool| pool.functions.iter().filter_map(match_rank).max();
        let (_, pool) =
            self.pools.iter().filter_map(|p| Some((of(p)?, p))).max_by_key(|(match_rank, _)| *match_rank)?;
        self.permits.pool(&pool.name)
    }

    /// A call requests to enter the decision module; its caller waits until the deadline.
    pub fn enter(&mut self, request: &Request, inner: &str, deadline: Micros, now: Micros) -> Entry {
        let Some(pool) = self.pool(inner) else { return Entry::Free };
        let latest = deadline - request.work.unwrap_or(0);
        match self.permits.enter(pool, request.tenant, u64::from(request.id), latest, now) {
            PermitDecision::Granted(permit) => Entry::Admitted(permit),
            PermitDecision::Wait => {
                self.waiting.insert(request.id, (request.clone(), deadline));
                Entry::Wait
            }
            PermitDecision::Rejected { retry_after } => Entry::Rejected { retry_after },
        }
    }

    /// Returns whether a call waits here and has not entered the decision module.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        self.waiting.contains_key(&request)
    }

    /// Removes a waiting call that was answered, or whose caller disconnected.
    pub fn forget(&mut self, request: RequestId) {
        if self.waiting.remove(&request).is_some() {
            self.permits.cancel(u64::from(request));
        }
    }

    /// Returns the permit of a call that is finished and whose attempts are all known to have ended.
    pub fn release(&mut self, permit: Permit) {
        self.released.push(permit);
    }

    /// Returns the decisions on calls that wait no longer, in order. An admitted call has its remaining budget.
    pub fn take_decisions(&mut self, now: Micros) -> Vec<PoolDecision> {
        self.checked_at = now;
        for permit in self.released.drain(..) {
            self.permits.leave(permit, now);
        }
        self.permits.take_ready(now, &mut self.outcomes);
        let mut decisions = Vec::with_capacity(self.outcomes.len());
        for outcome in self.outcomes.drain(..) {
            match outcome {
                WaitOutcome::Granted { call, permit: granted } => {
                    match self.waiting.remove(&(call as RequestId)) {
                        Some((request, deadline)) => {
                            let budget = (deadline - now).max(0);
                            decisions.push(PoolDecision::Admitted(Request { budget, ..request }, granted));
                        }
                        None => self.released.push(granted),
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

    /// Returns when [`PoolAdmission::take_decisions`] is to be called even without an event.
    pub fn due(&self) -> Option<Micros> {
        if self.released.is_empty() {
            self.permits.next(self.checked_at)
        } else {
            Some(Micros::MIN)
        }
    }

    /// Returns the demand to report to the replicas.
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

/// Converts a configured pool to the cluster state's type.
fn pool(configured: &stagehoist_config::Pool) -> Pool {
    let reservation =
        |(tenant, permits): &(String, u32)| Reservation { tenant: tenant.clone(), permits: *permits };
    Pool {
        name: configured.name.clone(),
        functions: configured.functions.clone(),
        size: configured.permits.map_or(PoolSize::ByWorkers, PoolSize::Permits),
        reservations: configured.reservations.iter().map(reservation).collect(),
    }
}
