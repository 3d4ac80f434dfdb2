//! A fleet in simulated time: front ends with the production permit pools and lease holder, links that drop, duplicate and
//! delay messages, clocks with different rates, leader changes, and runs that continue at workers after their front end has
//! stopped.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stagehoist_admission::permits::{Permit, PermitDecision, PermitPools, PoolRules, WaitOutcome};
use stagehoist_cluster_state::{
    guaranteed_permits, AllocationLimits, ClusterState, Command, Demand, Grant, LeaseHolder, LeaseTerms,
    Member, Micros, PermitAllocator, Pool, PoolSize, Report, Reservation,
};

pub const MS: Micros = 1000;
pub const STEP: Micros = 5 * MS;
pub const OWNER: u32 = 1;
const DRIFT: u32 = 50_000;
pub const TERMS: LeaseTerms =
    LeaseTerms { lease: 400 * MS, drift_ppm: DRIFT, quorum: 200 * MS, tombstone_retention: 0 };
pub const LIMITS: AllocationLimits =
    AllocationLimits { front_ends: 5, guaranteed_share: 200, longest_run: 300 * MS, interval: 10 * MS };
const REPORT_INTERVAL: Micros = 50 * MS;

/// Fault probabilities in thousandths, for each message or step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    pub delayed: u32,
    pub restart: u32,
    pub elect: u32,
}

struct FrontEnd {
    member: Member,
    rate: f64,
    holder: LeaseHolder,
    gate: PermitPools,
    /// Runs: their end in true time, whether they are the owner's, and their permit.
    runs: Vec<(Micros, bool, Permit)>,
    /// Calls that run or wait at the gate, of others and of the owner.
    pub load: [usize; 2],
    waiting: [usize; 2],
    reported_at: Micros,
}

enum Message {
    Report(usize, Member, Report),
    Grant(Member, Grant),
}

pub struct World {
    pub now: Micros,
    rng: ChaCha8Rng,
    faults: Faults,
    pub state: ClusterState,
    front_ends: Vec<FrontEnd>,
    leaders: Vec<(PermitAllocator, Micros, f64)>,
    links: Vec<(Micros, Message)>,
    /// End times of runs whose front end has stopped.
    orphans: Vec<Micros>,
    version: u64,
    calls: u64,
}

fn rules(pool: &Pool) -> PoolRules {
    let PoolSize::Permits(size) = pool.size else { panic!("the pool has no fixed size") };
    let reserved = pool.reservations.iter().map(|r| (OWNER, r.tenant.clone())).collect();
    PoolRules { name: pool.name.clone(), guaranteed: guaranteed_permits(size, &LIMITS), reserved }
}

pub fn pool(size: u32, reserved: u32) -> Pool {
    let reservations = vec![Reservation { tenant: "owner".into(), permits: reserved }];
    Pool { name: "p".into(), functions: vec![], size: PoolSize::Permits(size), reservations }
}

impl World {
    pub fn new(seed: u64, members: usize, size: u32, reserved: u32, faults: Faults) -> World {
        let mut world = World {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            state: ClusterState::default(),
            front_ends: Vec::new(),
            leaders: Vec::new(),
            links: Vec::new(),
            orphans: Vec::new(),
            version: 0,
            calls: 0,
        };
        world.pools(size, reserved);
        for n in 0..members {
            let front_end = world.front_end(&format!("f{n}"), false);
            world.front_ends.push(front_end);
        }
        world.elect();
        world
    }

    pub fn pools(&mut self, size: u32, reserved: u32) {
        self.version += 1;
        let (edition, pools) = (self.version, vec![pool(size, reserved)]);
        self.state.apply(self.version, &Command::Pools { edition, pools });
    }

    fn front_end(&mut self, name: &str, is_restart: bool) -> FrontEnd {
        self.version += 1;
        let join = Command::Join { name: name.into(), at_least: 0 };
        let joined = self.state.apply(self.version, &join);
        let stagehoist_cluster_state::CommandOutcome::Joined(member) = joined else { panic!("joins") };
        let rate = 1.0 + f64::from(self.rng.random_range(0..DRIFT)) / 1e6;
        let now = (self.now as f64 * rate) as Micros;
        let idle_until = if is_restart { now + LIMITS.longest_run + LIMITS.longest_run / 10 } else { now };
        let mut gate = PermitPools::new(1000, 1_000_000, idle_until, 1);
        gate.configure(&self.state.view.pools.iter().map(rules).collect::<Vec<_>>(), now);
        let holder = LeaseHolder::new(TERMS);
        FrontEnd {
            member,
            rate,
            holder,
            gate,
            runs: vec![],
            load: [0; 2],
            waiting: [0; 2],
            reported_at: Micros::MIN / 2,
        }
    }

    /// Sets the calls at a front end from now on, of others and of the owner.
    pub fn load(&mut self, front_end: usize, others: usize, owner: usize) {
        self.front_ends[front_end].load = [others, owner];
    }

    /// Returns the runs at one front end, of others and of the owner.
    pub fn runs_at(&self, front_end: usize) -> (usize, usize) {
        let owner = self.front_ends[front_end].runs.iter().filter(|(_, owner, _)| *owner).count();
        (self.front_ends[front_end].runs.len() - owner, owner)
    }

    pub fn runs(&self) -> usize {
        self.orphans.len() + self.front_ends.iter().map(|f| f.runs.len()).sum::<usize>()
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    pub fn draw(&mut self, most: usize) -> usize {
        self.rng.random_range(0..most)
    }

    fn elect(&mut self) {
        let rate = 1.0 + f64::from(self.rng.random_range(0..DRIFT)) / 1e6;
        let allocator = PermitAllocator::new(TERMS, LIMITS, (self.now as f64 * rate) as Micros);
        self.leaders.push((allocator, self.now, rate));
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        if self.chance(self.faults.lost) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.faults.duplicated));
        for _ in 0..copies {
            let max_delay = if self.chance(self.faults.delayed) { 600 } else { 5 };
            let at = self.now + MS + self.draw(max_delay) as Micros * MS;
            self.links.push((at, message()));
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        if self.chance(self.faults.elect) {
            self.elect();
        }
        let due: Vec<_> = self.links.extract_if(.., |(at, _)| *at <= self.now).collect();
        for (_, message) in due {
            self.deliver(message);
        }
        self.orphans.retain(|end| *end > self.now);
        for n in 0..self.front_ends.len() {
            if self.chance(self.faults.restart) {
                let (name, load) = (self.front_ends[n].member.name.clone(), self.front_ends[n].load);
                let front_end = self.front_end(&name, true);
                let stopped = std::mem::replace(&mut self.front_ends[n], front_end);
                self.front_ends[n].load = load;
                self.orphans.extend(stopped.runs.iter().map(|(end, _, _)| *end));
            }
            self.advance(n);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Grant(member, grant) => {
                let Some(front_end) = self.front_ends.iter_mut().find(|f| f.member == member) else { return };
                front_end.holder.on_grant(grant);
                let status = front_end.holder.status();
                let granted_permits =
                    status.permits.iter().map(|((pool, tenant), n)| (pool.as_str(), tenant.as_str(), *n));
                front_end.gate.apply_grant(status.permits_grant, status.permits_until, granted_permits);
                // The view arrives on the same connection.
                let pools: Vec<_> = self.state.view.pools.iter().map(rules).collect();
                front_end.gate.configure(&pools, (self.now as f64 * front_end.rate) as Micros);
            }
            Message::Report(leader, member, report) => {
                let next = self.leaders.get(leader + 1).map(|(_, elected, _)| *elected);
                let (allocator, _, rate) = &mut self.leaders[leader];
                // A replaced leader grants no lease later than the quorum time after the next election.
                let stale = next
                    .is_some_and(|elected| ((self.now - elected) as f64 * *rate) as Micros > TERMS.quorum);
                if stale || !self.state.present().any(|m| m == member) {
                    return;
                }
                let granted_permits =
                    allocator.report(&self.state, &member, &report, (self.now as f64 * *rate) as Micros);
                let grant =
                    Grant { number: report.number, version: 0, lease: TERMS.lease, permits: granted_permits };
                self.send(|| Message::Grant(member.clone(), grant.clone()));
            }
        }
    }

    fn advance(&mut self, n: usize) {
        let now = (self.now as f64 * self.front_ends[n].rate) as Micros;
        let ended: Vec<_> = self.front_ends[n].runs.extract_if(.., |(end, _, _)| *end <= self.now).collect();
        let changed = !ended.is_empty();
        for (_, _, held_permit) in ended {
            self.front_ends[n].gate.leave(held_permit, now);
        }
        let mut started = Vec::new();
        let mut woken = Vec::new();
        self.front_ends[n].gate.take_ready(now, &mut woken);
        for woken in woken {
            let (call, held_permit) = match woken {
                WaitOutcome::Granted { call, permit: held_permit } => (call, Some(held_permit)),
                WaitOutcome::Rejected { call, .. } => (call, None),
            };
            let owner = call % 2 == 1;
            self.front_ends[n].waiting[usize::from(owner)] -= 1;
            started.extend(held_permit.map(|held_permit| (owner, held_permit)));
        }
        for owner in [true, false] {
            let (others_runs, owner_runs) = self.runs_at(n);
            let runs = if owner { owner_runs } else { others_runs };
            let started_count = started.iter().filter(|(o, _)| *o == owner).count();
            let front_end = &mut self.front_ends[n];
            let existing = runs + started_count + front_end.waiting[usize::from(owner)];
            for _ in existing..front_end.load[usize::from(owner)] {
                self.calls += 2;
                let call = self.calls + u64::from(owner);
                let tenant = if owner { OWNER } else { 10 + (call % 6) as u32 };
                match front_end.gate.enter(0, tenant, call, now + 2_000_000, now) {
                    PermitDecision::Granted(held_permit) => started.push((owner, held_permit)),
                    PermitDecision::Wait => front_end.waiting[usize::from(owner)] += 1,
                    PermitDecision::Rejected { .. } => {}
                }
            }
        }
        for (owner, held_permit) in started {
            // By this front end's clock, no run lasts longer than the configured maximum.
            let longest = (LIMITS.longest_run as f64 / self.front_ends[n].rate) as usize;
            let run = (10 * MS as usize) + self.draw(longest - 10 * MS as usize);
            self.front_ends[n].runs.push((self.now + run as Micros, owner, held_permit));
        }
        if now - self.front_ends[n].reported_at >= if changed { REPORT_INTERVAL / 5 } else { REPORT_INTERVAL }
        {
            self.report(n, now);
        }
    }

    fn report(&mut self, n: usize, now: Micros) {
        let front_end = &mut self.front_ends[n];
        front_end.reported_at = now;
        let demand = front_end.gate.demand(now).map(|w| Demand {
            pool: w.pool.into(),
            tenant: w.tenant.into(),
            in_use: w.in_use,
            waiting: w.waiting,
            applied: w.applied,
        });
        let demand = demand.collect();
        let (number, confirmed) = (front_end.holder.begin_report(now), self.state.view.version);
        let report = Report { number, confirmed, ready_capacity: 0, demand };
        let (leader, member) = (self.leaders.len() - 1, front_end.member.clone());
        self.send(|| Message::Report(leader, member.clone(), report.clone()));
    }
}
