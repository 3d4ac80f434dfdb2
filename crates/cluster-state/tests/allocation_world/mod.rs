//! A fleet in simulated time: front ends with the gate and holder as they are, links that lose, double and
//! delay, clocks that run apart, leaders that follow each other, runs that end at workers after their front
//! end is gone.

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
const EACH: Micros = 50 * MS;

/// Troubles: chances in a thousand for each message or step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
    pub restart: u32,
    pub elect: u32,
}

struct Front {
    member: Member,
    rate: f64,
    holder: LeaseHolder,
    gate: PermitPools,
    /// Runs with their end, in true time, and whether they are the owner's.
    runs: Vec<(Micros, bool, Permit)>,
    /// Calls of others and of the owner that are kept at the gate.
    pub load: [usize; 2],
    waiting: [usize; 2],
    reported: Micros,
}

enum Message {
    Report(usize, Member, Report),
    Grant(Member, Grant),
}

pub struct World {
    pub now: Micros,
    random: ChaCha8Rng,
    faults: Faults,
    pub record: ClusterState,
    fronts: Vec<Front>,
    leaders: Vec<(PermitAllocator, Micros, f64)>,
    links: Vec<(Micros, Message)>,
    /// Runs of front ends that are gone.
    orphans: Vec<Micros>,
    version: u64,
    calls: u64,
}

fn rules(pool: &Pool) -> PoolRules {
    let PoolSize::Permits(size) = pool.size else { panic!("sized by lanes") };
    let reserved = pool.reservations.iter().map(|r| (OWNER, r.tenant.clone())).collect();
    PoolRules { name: pool.name.clone(), guaranteed: guaranteed_permits(size, &LIMITS), reserved }
}

pub fn pool(lanes: u32, reserved: u32) -> Pool {
    let reservations = vec![Reservation { tenant: "owner".into(), permits: reserved }];
    Pool { name: "p".into(), functions: vec![], size: PoolSize::Permits(lanes), reservations }
}

impl World {
    pub fn new(seed: u64, members: usize, lanes: u32, reserved: u32, faults: Faults) -> World {
        let mut world = World {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            faults,
            record: ClusterState::default(),
            fronts: Vec::new(),
            leaders: Vec::new(),
            links: Vec::new(),
            orphans: Vec::new(),
            version: 0,
            calls: 0,
        };
        world.pools(lanes, reserved);
        for n in 0..members {
            let front = world.front(&format!("f{n}"), false);
            world.fronts.push(front);
        }
        world.elect();
        world
    }

    pub fn pools(&mut self, lanes: u32, reserved: u32) {
        self.version += 1;
        let (edition, pools) = (self.version, vec![pool(lanes, reserved)]);
        self.record.apply(self.version, &Command::Pools { edition, pools });
    }

    fn front(&mut self, name: &str, again: bool) -> Front {
        self.version += 1;
        let join = Command::Join { name: name.into(), at_least: 0 };
        let joined = self.record.apply(self.version, &join);
        let stagehoist_cluster_state::CommandOutcome::Joined(member) = joined else { panic!("joins") };
        let rate = 1.0 + f64::from(self.random.random_range(0..DRIFT)) / 1e6;
        let now = (self.now as f64 * rate) as Micros;
        let rests = if again { now + LIMITS.longest_run + LIMITS.longest_run / 10 } else { now };
        let mut gate = PermitPools::new(1000, 1_000_000, rests, 1);
        gate.configure(&self.record.view.pools.iter().map(rules).collect::<Vec<_>>(), now);
        let holder = LeaseHolder::new(TERMS);
        Front {
            member,
            rate,
            holder,
            gate,
            runs: vec![],
            load: [0; 2],
            waiting: [0; 2],
            reported: Micros::MIN / 2,
        }
    }

    /// Calls of others and of the owner that want to run at a front end, from now on.
    pub fn load(&mut self, front: usize, others: usize, owner: usize) {
        self.fronts[front].load = [others, owner];
    }

    /// Runs of others and of the owner at one front end.
    pub fn runs_at(&self, front: usize) -> (usize, usize) {
        let owner = self.fronts[front].runs.iter().filter(|(_, owner, _)| *owner).count();
        (self.fronts[front].runs.len() - owner, owner)
    }

    pub fn runs(&self) -> usize {
        self.orphans.len() + self.fronts.iter().map(|f| f.runs.len()).sum::<usize>()
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.random.random_range(0..1000) < thousandths
    }

    pub fn draw(&mut self, most: usize) -> usize {
        self.random.random_range(0..most)
    }

    fn elect(&mut self) {
        let rate = 1.0 + f64::from(self.random.random_range(0..DRIFT)) / 1e6;
        let dealer = PermitAllocator::new(TERMS, LIMITS, (self.now as f64 * rate) as Micros);
        self.leaders.push((dealer, self.now, rate));
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        if self.chance(self.faults.lost) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.faults.doubled));
        for _ in 0..copies {
            let late = if self.chance(self.faults.late) { 600 } else { 5 };
            let at = self.now + MS + self.draw(late) as Micros * MS;
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
            self.arrive(message);
        }
        self.orphans.retain(|end| *end > self.now);
        for n in 0..self.fronts.len() {
            if self.chance(self.faults.restart) {
                let (name, load) = (self.fronts[n].member.name.clone(), self.fronts[n].load);
                let front = self.front(&name, true);
                let gone = std::mem::replace(&mut self.fronts[n], front);
                self.fronts[n].load = load;
                self.orphans.extend(gone.runs.iter().map(|(end, _, _)| *end));
            }
            self.turn(n);
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Grant(member, grant) => {
                let Some(front) = self.fronts.iter_mut().find(|f| f.member == member) else { return };
                front.holder.on_grant(grant);
                let standing = front.holder.status();
                let lanes =
                    standing.permits.iter().map(|((pool, tenant), n)| (pool.as_str(), tenant.as_str(), *n));
                front.gate.apply_grant(standing.permits_grant, standing.permits_until, lanes);
                // The view comes on the same connection.
                let pools: Vec<_> = self.record.view.pools.iter().map(rules).collect();
                front.gate.configure(&pools, (self.now as f64 * front.rate) as Micros);
            }
            Message::Report(leader, member, report) => {
                let next = self.leaders.get(leader + 1).map(|(_, elected, _)| *elected);
                let (dealer, _, rate) = &mut self.leaders[leader];
                // One that was followed gives no promise later than the quorum's time after that.
                let stale = next
                    .is_some_and(|elected| ((self.now - elected) as f64 * *rate) as Micros > TERMS.quorum);
                if stale || !self.record.present().any(|m| m == member) {
                    return;
                }
                let lanes =
                    dealer.report(&self.record, &member, &report, (self.now as f64 * *rate) as Micros);
                let grant = Grant { number: report.number, version: 0, lease: TERMS.lease, permits: lanes };
                self.send(|| Message::Grant(member.clone(), grant.clone()));
            }
        }
    }

    fn turn(&mut self, n: usize) {
        let now = (self.now as f64 * self.fronts[n].rate) as Micros;
        let ended: Vec<_> = self.fronts[n].runs.extract_if(.., |(end, _, _)| *end <= self.now).collect();
        let changed = !ended.is_empty();
        for (_, _, lane) in ended {
            self.fronts[n].gate.leave(lane, now);
        }
        let mut started = Vec::new();
        let mut woken = Vec::new();
        self.fronts[n].gate.take_ready(now, &mut woken);
        for woken in woken {
            let (call, lane) = match woken {
                WaitOutcome::Granted { call, permit: lane } => (call, Some(lane)),
                WaitOutcome::Rejected { call, .. } => (call, None),
            };
            let owner = call % 2 == 1;
            self.fronts[n].waiting[usize::from(owner)] -= 1;
            started.extend(lane.map(|lane| (owner, lane)));
        }
        for owner in [true, false] {
            let (others_runs, owner_runs) = self.runs_at(n);
            let runs = if owner { owner_runs } else { others_runs };
            let begun = started.iter().filter(|(o, _)| *o == owner).count();
            let front = &mut self.fronts[n];
            let have = runs + begun + front.waiting[usize::from(owner)];
            for _ in have..front.load[usize::from(owner)] {
                self.calls += 2;
                let call = self.calls + u64::from(owner);
                let tenant = if owner { OWNER } else { 10 + (call % 6) as u32 };
                match front.gate.enter(0, tenant, call, now + 2_000_000, now) {
                    PermitDecision::Granted(lane) => started.push((owner, lane)),
                    PermitDecision::Wait => front.waiting[usize::from(owner)] += 1,
                    PermitDecision::Rejected { .. } => {}
                }
            }
        }
        for (owner, lane) in started {
            // By this front end's clock a run takes no longer than is configured.
            let longest = (LIMITS.longest_run as f64 / self.fronts[n].rate) as usize;
            let run = (10 * MS as usize) + self.draw(longest - 10 * MS as usize);
            self.fronts[n].runs.push((self.now + run as Micros, owner, lane));
        }
        if now - self.fronts[n].reported >= if changed { EACH / 5 } else { EACH } {
            self.report(n, now);
        }
    }

    fn report(&mut self, n: usize, now: Micros) {
        let front = &mut self.fronts[n];
        front.reported = now;
        let demand = front.gate.demand(now).map(|w| Demand {
            pool: w.pool.into(),
            tenant: w.tenant.into(),
            in_use: w.in_use,
            waiting: w.waiting,
            applied: w.applied,
        });
        let demand = demand.collect();
        let (number, confirmed) = (front.holder.begin_report(now), self.record.view.version);
        let report = Report { number, confirmed, ready_capacity: 0, demand };
        let (leader, member) = (self.leaders.len() - 1, front.member.clone());
        self.send(|| Message::Report(leader, member.clone(), report.clone()));
    }
}
