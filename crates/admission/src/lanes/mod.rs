//! Whether a call may start a run in a pool now: by the lanes that this front end was dealt and its floor
//! there.
//!
//! A tenant with a reservation goes by the lanes dealt to it (of its own or borrowed), the others share those
//! dealt to all without one, in turns by tenant. The floor is anybody's, owners first. All runs of a pool
//! together stay within its floor and lanes when one is started; runs that are left over from larger leases
//! keep counting until they end.

mod class;
mod queue;

use class::Pool;
use queue::Turns;
use stagehoist::Micros;
use std::collections::{BTreeSet, HashMap};

pub use class::{PoolRules, Wanted};

/// The word for the reply of a call that is refused here.
pub const NO_LANE: &str = "no-lane";

/// A lane in use; to be given back by [`Lanes::leave`] once all attempts of its call are known to have ended.
#[derive(Debug, PartialEq, Eq, Hash)]
#[must_use]
pub struct Lane {
    pool: usize,
    class: usize,
}

/// What becomes of a call that asks for a lane.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Enter {
    Go(Lane),
    /// Until [`Lanes::ready`] names it.
    Wait,
    /// With the reason [`NO_LANE`], and how long the caller had better stay away.
    Refuse {
        retry_after: Micros,
    },
}

/// A call that waits no longer.
#[derive(Debug, PartialEq, Eq)]
pub enum Woken {
    Go { call: u64, lane: Lane },
    Refuse { call: u64, retry_after: Micros },
}

#[derive(Clone, Copy, Debug)]
struct Waits {
    pool: usize,
    class: usize,
    tenant: u32,
    place: u64,
    latest: Micros,
}

/// The gate of one front end.
#[derive(Debug)]
pub struct Lanes {
    /// Calls that may wait in one pool.
    most: usize,
    retry_most: Micros,
    seed: u64,
    /// Until then runs of an earlier run of this front end may go on at workers, on its floor.
    rests_until: Micros,
    pools: Vec<Pool>,
    until: Micros,
    applied: u64,
    waiting: HashMap<u64, Waits>,
    deadlines: BTreeSet<(Micros, u64)>,
    places: u64,
}

impl Lanes {
    /// A gate without pools. `most` calls may wait in each pool, advice is at most `retry_most` microseconds.
    /// `rests_until`: see [`Lanes::demand`]; the moment of start where workers end a run with its connection,
    /// else the longest run after it.
    pub fn new(most: usize, retry_most: Micros, rests_until: Micros, seed: u64) -> Lanes {
        Lanes {
            most,
            retry_most,
            seed,
            rests_until,
            pools: Vec::new(),
            until: Micros::MIN,
            applied: 0,
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            places: 0,
        }
    }

    /// The pools as they stand now, each with this front end's floor. One that is not told any more keeps its
    /// place, without a floor, for the runs under way. Whoever is not seated in the fleet tells floors of 0.
    pub fn told(&mut self, pools: &[PoolRules], now: Micros) {
        for pool in &mut self.pools {
            pool.close();
        }
        for rules in pools {
            let place = self.pool(&rules.name).unwrap_or_else(|| {
                self.seed = self.seed.wrapping_add(1);
                self.pools.push(Pool::new(&rules.name));
                self.pools.len() - 1
            });
            self.pools[place].told(rules, self.retry_most, self.seed, now);
        }
    }

    /// Lanes dealt by grant `number`, by names of pool and tenant (empty: those without a reservation), until
    /// that time; they take the place of all dealt before.
    pub fn granted<'a>(
        &mut self,
        number: u64,
        until: Micros,
        lanes: impl IntoIterator<Item = (&'a str, &'a str, u32)>,
    ) {
        (self.applied, self.until) = (number, until);
        for pool in &mut self.pools {
            pool.clear();
        }
        for (pool, tenant, lanes) in lanes {
            if let Some(pool) = self.pools.iter_mut().find(|p| p.name() == pool) {
                pool.grant(tenant, lanes);
            }
        }
    }

    /// The number of a pool, for [`Lanes::enter`].
    pub fn pool(&self, name: &str) -> Option<usize> {
        self.pools.iter().position(|p| p.name() == name)
    }

    /// A call wants to run in a pool, and can be answered in its time only if it starts before `latest`.
    pub fn enter(&mut self, pool: usize, tenant: u32, call: u64, latest: Micros, now: Micros) -> Enter {
        self.expire(now);
        let floored = now >= self.rests_until;
        let Some(of) = self.pools.get_mut(pool) else {
            return Enter::Refuse { retry_after: self.retry_most };
        };
        let class = of.class(tenant);
        if of.may_pass(class, floored) {
            of.start(class);
            return Enter::Go(Lane { pool, class });
        }
        if latest <= now || of.waiting() >= self.most || of.is_hopeless(class, latest, now) {
            return Enter::Refuse { retry_after: of.retry_after(class) };
        }
        self.places += 1;
        let place = self.places;
        of.wait(class, tenant, place, call, now);
        self.waiting.insert(call, Waits { pool, class, tenant, place, latest });
        self.deadlines.insert((latest, call));
        Enter::Wait
    }

    /// A call that waits was answered otherwise; false where it does not wait.
    pub fn cancel(&mut self, call: u64) -> bool {
        let Some(waits) = self.waiting.remove(&call) else { return false };
        self.deadlines.remove(&(waits.latest, call));
        self.pools[waits.pool].unwait(waits.class, waits.tenant, waits.place);
        true
    }

    /// All attempts of a call are known to have ended.
    pub fn leave(&mut self, lane: Lane, now: Micros) {
        if let Some(pool) = self.pools.get_mut(lane.pool) {
            pool.leave(lane.class, now);
        }
    }

    /// Calls that need wait no longer, in order, appended to `woken`. To be asked after any change and at
    /// [`Lanes::next`].
    pub fn ready(&mut self, now: Micros, woken: &mut Vec<Woken>) {
        self.expire(now);
        while let Some((_, call)) = self.deadlines.first().copied().filter(|(latest, _)| *latest <= now) {
            let Some(waits) = self.waiting.get(&call).copied() else { break };
            self.cancel(call);
            let retry_after = self.pools[waits.pool].retry_after(waits.class);
            woken.push(Woken::Refuse { call, retry_after });
        }
        let floored = now >= self.rests_until;
        for (place, pool) in self.pools.iter_mut().enumerate() {
            while let Some((class, call)) = pool.next(floored) {
                if let Some(waits) = self.waiting.remove(&call) {
                    self.deadlines.remove(&(waits.latest, call));
                }
                woken.push(Woken::Go { call, lane: Lane { pool: place, class } });
            }
        }
    }

    /// When [`Lanes::ready`] has something though nothing changes.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let deadline = self.deadlines.first().map(|(latest, _)| *latest);
        let rested = Some(self.rests_until).filter(|t| *t > now && !self.waiting.is_empty());
        deadline.into_iter().chain(rested).min()
    }

    /// What to report. While runs of an earlier run may go on the grant in force is not named, so that a
    /// leader that deals anew counts on nothing yet.
    pub fn demand(&self, now: Micros) -> impl Iterator<Item = Wanted<'_>> {
        let applied = if now < self.rests_until { 0 } else { self.applied };
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
