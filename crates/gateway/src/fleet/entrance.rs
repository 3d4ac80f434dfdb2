//! Lanes of pools at a front end: which calls need one before they enter the module, those that wait for one, and what the
//! keepers are told of it. Without I/O.

use super::names::outer_name;
use stagehoist::{Micros, Request, RequestId};
use stagehoist_admission::lanes::{Enter, Lane, Lanes, PoolRules, Woken};
use stagehoist_cluster_state::{floor, Demand, Limits, Pool, Reservation, Size, Standing, FLOOR_SHARE};
use stagehoist_config::Config;
use std::collections::HashMap;
use std::rc::Rc;

/// What becomes of a call.
#[derive(Debug)]
pub enum Entry {
    /// Its function is in no pool.
    Free,
    Go(Lane),
    Wait,
    Refuse {
        retry_after: Micros,
    },
}

/// A call that waits no longer.
#[derive(Debug)]
pub enum LetIn {
    Go(Request, Lane),
    Refuse(RequestId, Micros),
}

/// The entrance of one front end; there is none without pools.
pub struct Entrance {
    config: Rc<Config>,
    lanes: Lanes,
    pools: Vec<Pool>,
    edition: u64,
    limits: Limits,
    ready_lanes: u32,
    waiting: HashMap<RequestId, (Request, Micros)>,
    /// Lanes of calls that are over, not yet given back.
    freed: Vec<Lane>,
    woken: Vec<Woken>,
    applied: u64,
    looked: Micros,
}

impl Entrance {
    /// None where the configuration has no pool. Floors count from the first moment.
    pub fn new(config: &Rc<Config>, seed: u64, now: Micros) -> Option<Entrance> {
        let fleet = config.fleet.as_ref().filter(|f| !f.pools.is_empty())?;
        // Where closing a connection ends the run at its worker, nothing of an earlier run goes on.
        let rests_until = if config.cancel { now } else { now + config.longest_run() };
        let most = usize::try_from(config.held_most).unwrap_or(usize::MAX);
        let limits =
            Limits { fleet: config.fleet_front_ends, floor_share: FLOOR_SHARE, longest: 0, every: 0 };
        let mut entrance = Entrance {
            config: config.clone(),
            lanes: Lanes::new(most, config.retry_after_most, rests_until, seed),
            pools: fleet.pools.iter().map(pool).collect(),
            edition: fleet.pools_edition,
            limits,
            ready_lanes: 0,
            waiting: HashMap::new(),
            freed: Vec::new(),
            woken: Vec::new(),
            applied: 0,
            looked: now,
        };
        entrance.tell(now);
        Some(entrance)
    }

    /// The keepers' word: pools of a newer edition, and lanes.
    pub fn standing(&mut self, standing: &Standing, now: Micros) {
        let view = &standing.view;
        if view.edition >= self.edition && view.pools != self.pools {
            self.edition = view.edition;
            self.pools.clone_from(&view.pools);
            self.tell(now);
        }
        if standing.lanes_of > self.applied {
            self.applied = standing.lanes_of;
            let lanes = standing.lanes.iter().map(|((pool, tenant), n)| (pool.as_str(), tenant.as_str(), *n));
            self.lanes.granted(standing.lanes_of, standing.lanes_until, lanes);
        }
    }

    /// Lanes of the ready workers, by which some pools' floors go.
    pub fn workers(&mut self, ready_lanes: u32, now: Micros) {
        if std::mem::replace(&mut self.ready_lanes, ready_lanes) != ready_lanes
            && self.pools.iter().any(|p| p.size == Size::ByWorkers)
        {
            self.tell(now);
        }
    }

    fn tell(&mut self, now: Micros) {
        let tenants = &self.config.tenants;
        let number = |name: &str| tenants.iter().position(|t| t.name == name).map(|n| n as u32);
        let rules = self.pools.iter().map(|pool| {
            let size = match pool.size {
                Size::Lanes(lanes) => lanes,
                Size::ByWorkers => self.ready_lanes,
            };
            let reserved = pool.reservations.iter();
            PoolRules {
                name: pool.name.clone(),
                floor: floor(size, &self.limits),
                reserved: reserved.filter_map(|r| Some((number(&r.tenant)?, r.tenant.clone()))).collect(),
            }
        });
        let rules: Vec<PoolRules> = rules.collect();
        self.lanes.told(&rules, now);
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
        self.lanes.pool(&pool.name)
    }

    /// A call wants to enter the module; its caller waits until the deadline.
    pub fn enter(&mut self, request: &Request, inner: &str, deadline: Micros, now: Micros) -> Entry {
        let Some(pool) = self.pool(inner) else { return Entry::Free };
        let latest = deadline - request.work.unwrap_or(0);
        match self.lanes.enter(pool, request.tenant, u64::from(request.id), latest, now) {
            Enter::Go(lane) => Entry::Go(lane),
            Enter::Wait => {
                self.waiting.insert(request.id, (request.clone(), deadline));
                Entry::Wait
            }
            Enter::Refuse { retry_after } => Entry::Refuse { retry_after },
        }
    }

    /// Whether a call waits here, unknown to the module.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        self.waiting.contains_key(&request)
    }

    /// A call was answered, or its caller left.
    pub fn forget(&mut self, request: RequestId) {
        if self.waiting.remove(&request).is_some() {
            self.lanes.cancel(u64::from(request));
        }
    }

    /// A call is over and all its attempts are known to have ended.
    pub fn free(&mut self, lane: Lane) {
        self.freed.push(lane);
    }

    /// Calls that wait no longer, in their order, each with what is left of its time.
    pub fn let_in(&mut self, now: Micros) -> Vec<LetIn> {
        self.looked = now;
        for lane in self.freed.drain(..) {
            self.lanes.leave(lane, now);
        }
        self.lanes.ready(now, &mut self.woken);
        let mut let_in = Vec::with_capacity(self.woken.len());
        for woken in self.woken.drain(..) {
            match woken {
                Woken::Go { call, lane } => match self.waiting.remove(&(call as RequestId)) {
                    Some((request, deadline)) => {
                        let budget = (deadline - now).max(0);
                        let_in.push(LetIn::Go(Request { budget, ..request }, lane));
                    }
                    None => self.freed.push(lane),
                },
                Woken::Refuse { call, retry_after } => {
                    self.waiting.remove(&(call as RequestId));
                    let_in.push(LetIn::Refuse(call as RequestId, retry_after));
                }
            }
        }
        let_in
    }

    /// When [`Entrance::let_in`] is due though nothing came.
    pub fn due(&self) -> Option<Micros> {
        if self.freed.is_empty() {
            self.lanes.next(self.looked)
        } else {
            Some(Micros::MIN)
        }
    }

    /// What the keepers are to be told.
    pub fn demand(&self) -> Vec<Demand> {
        let demand = self.lanes.demand(self.looked).map(|wanted| Demand {
            pool: wanted.pool.to_owned(),
            tenant: wanted.tenant.to_owned(),
            in_use: wanted.in_use,
            waiting: wanted.waiting,
            applied: wanted.applied,
        });
        demand.collect()
    }
}

/// A pool in the record's words.
fn pool(told: &stagehoist_config::Pool) -> Pool {
    let reservation = |(tenant, lanes): &(String, u32)| Reservation { tenant: tenant.clone(), lanes: *lanes };
    Pool {
        name: told.name.clone(),
        functions: told.functions.clone(),
        size: told.lanes.map_or(Size::ByWorkers, Size::Lanes),
        reservations: told.reservations.iter().map(reservation).collect(),
    }
}
