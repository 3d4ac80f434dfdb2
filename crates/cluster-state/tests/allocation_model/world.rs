//! The model: two front ends, an old and a new leader, the messages in transit between them, and clocks with different rates.

use stagehoist_cluster_state::allocation::{AllocationLimits, Guards, PermitAllocator};
use stagehoist_cluster_state::{
    guaranteed_permits, ClusterState, Command, Demand, Grant, LeaseHolder, LeaseTerms, Member, Micros, Pool,
    PoolSize, Report,
};
use stateright::{Model, Property};
use std::sync::Arc;

const POOL: &str = "p";
const PERMITS: u32 = 4;
/// Microseconds that an accurate clock advances per tick; `SLOW` is the same for a slow clock.
const TICK: Micros = 100;
const SLOW: Micros = 60;
const TERMS: LeaseTerms =
    LeaseTerms { lease: TICK, drift_ppm: 666_667, quorum: TICK, tombstone_retention: 0 };
const LIMITS: AllocationLimits =
    AllocationLimits { front_ends: 2, guaranteed_share: 500, longest_run: 2 * TICK, interval: 0 };

/// Bounds of a model.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub ticks: u8,
    /// Reports that each front end may send.
    pub reports: [u64; 2],
    pub duplicated: u8,
    pub elections: u8,
    pub restarts: u8,
    /// If true, reports of the second front end are answered and the grants applied at once; else both links may be delayed.
    pub prompt: bool,
    pub min_state_count: usize,
}

impl Bounds {
    pub const ONE_LEADER: Bounds = Bounds {
        ticks: 6,
        reports: [2, 2],
        duplicated: 1,
        elections: 0,
        restarts: 0,
        prompt: true,
        min_state_count: 10_000,
    };
    pub const ONE_REPORT: Bounds = Bounds { reports: [1, 1], min_state_count: 10_000, ..Bounds::ONE_LEADER };
    pub const ONE_REPORT_NEW_LEADER: Bounds =
        Bounds { ticks: 7, duplicated: 0, elections: 1, ..Bounds::ONE_REPORT };
    pub const BOTH_DELAYED: Bounds =
        Bounds { ticks: 3, duplicated: 0, prompt: false, reports: [2, 1], ..Bounds::ONE_LEADER };
    pub const NEW_LEADER: Bounds = Bounds { ticks: 7, duplicated: 0, elections: 1, ..Bounds::ONE_LEADER };
    pub const RESTART: Bounds = Bounds { restarts: 1, duplicated: 0, ..Bounds::ONE_LEADER };
}

#[derive(Clone, Debug)]
pub struct World {
    pub name: &'static str,
    pub bounds: Bounds,
    guards: Guards,
    terms: LeaseTerms,
    waits_after_restart: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FrontEnd {
    slow: bool,
    member: Member,
    holder: LeaseHolder,
    /// Start times of runs, by its clock. The flag marks runs that were started before a restart.
    runs: Vec<(Micros, bool)>,
    idle_until: Micros,
    /// At most one report and one grant are in transit.
    report: Option<(u8, Report)>,
    grant: Option<Grant>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    tick: u8,
    front_ends: [FrontEnd; 2],
    slow_leader: bool,
    leaders: Vec<(PermitAllocator, u8)>,
    cluster: Arc<ClusterState>,
    duplicated: u8,
    restarts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Advances the clocks. Before that, each front end replaces its runs by as many new ones as it may start, each started as
    /// late as possible; runs that it may not start again continue. So no other choice of runs leads to more runs later.
    Tick,
    /// Requests all permits with all runs in progress, or ends the runs and requests none. A report still in transit is lost,
    /// as is a grant in transit when the next one is sent.
    Report(usize, u8, bool),
    ReportArrives(usize, bool),
    GrantArrives(usize),
    Elect,
    Restart(usize),
}

fn clock(slow: bool, tick: u8) -> Micros {
    Micros::from(tick) * if slow { SLOW } else { TICK }
}

impl FrontEnd {
    fn new(name: &str, incarnation: u64, slow: bool, terms: LeaseTerms) -> FrontEnd {
        FrontEnd {
            slow,
            member: Member { name: name.into(), incarnation },
            holder: LeaseHolder::new(terms),
            runs: Vec::new(),
            idle_until: Micros::MIN,
            report: None,
            grant: None,
        }
    }

    fn current_runs(&self) -> u32 {
        self.runs.iter().filter(|(_, before)| !before).count() as u32
    }

    fn may_start(&self, now: Micros) -> bool {
        let status = self.holder.status();
        let leased = if now < status.permits_until { status.permits.values().sum() } else { 0 };
        let guaranteed_permits = if now < self.idle_until { 0 } else { guaranteed_permits(PERMITS, &LIMITS) };
        self.current_runs() < leased + guaranteed_permits
    }

    fn fill(&mut self, now: Micros) {
        let (before, current): (Vec<_>, Vec<_>) = self.runs.drain(..).partition(|(_, before)| *before);
        self.runs = before;
        while self.may_start(now) {
            self.runs.push((now, false));
        }
        // Beyond the runs that may start now, the most recent runs in progress continue.
        let started = self.current_runs() as usize;
        self.runs.extend(current.into_iter().rev().skip(started));
        self.runs.sort_unstable();
    }

    fn apply_grant(&mut self, grant: Grant, now: Micros) {
        self.holder.on_grant(grant);
        self.fill(now);
    }

    fn report(&mut self, leader: u8, wants: bool, now: Micros) {
        let number = self.holder.begin_report(now);
        let applied = if now < self.idle_until { 0 } else { self.holder.status().permits_grant };
        let waiting = if wants { PERMITS } else { 0 };
        let (pool, tenant) = (POOL.into(), String::new());
        let demand = vec![Demand { pool, tenant, in_use: self.current_runs(), waiting, applied }];
        self.report = Some((leader, Report { number, demand, ..Report::default() }));
    }
}

impl World {
    pub fn new(name: &'static str, bounds: Bounds) -> World {
        World { name, bounds, guards: Guards::default(), terms: TERMS, waits_after_restart: true }
    }

    pub fn with_guards(self, guards: Guards) -> World {
        World { guards, ..self }
    }

    pub fn without_drift(self) -> World {
        World { terms: LeaseTerms { drift_ppm: 0, ..TERMS }, ..self }
    }

    pub fn without_restart_wait(self) -> World {
        World { waits_after_restart: false, ..self }
    }

    /// Returns whether a leader may still grant leases: a replaced leader does so for the quorum time.
    fn may_grant(&self, state: &State, leader: u8) -> bool {
        let next = state.leaders.get(usize::from(leader) + 1);
        let elected = next.map(|(_, tick)| clock(state.slow_leader, state.tick - tick));
        elected.is_none_or(|passed| passed <= self.terms.quorum)
    }

    fn deliver_report(&self, state: &mut State, n: usize, duplicated: bool) -> Option<()> {
        let now = clock(state.slow_leader, state.tick);
        let front_end = &mut state.front_ends[n];
        let (leader, report) = front_end.report.clone()?;
        if !duplicated {
            front_end.report = None;
        }
        state.duplicated += u8::from(duplicated);
        let allocator = &mut state.leaders[usize::from(leader)].0;
        let granted_permits = allocator.report(&state.cluster, &front_end.member, &report, now);
        front_end.grant = Some(Grant {
            number: report.number,
            version: 0,
            lease: self.terms.lease,
            permits: granted_permits,
        });
        Some(())
    }

    fn add_leader(&self, state: &mut State) {
        let began = clock(state.slow_leader, state.tick);
        let allocator = PermitAllocator::new(self.terms, LIMITS, began).with_guards(self.guards);
        state.leaders.push((allocator, state.tick));
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut cluster = ClusterState::default();
        let size = PoolSize::Permits(PERMITS);
        cluster.view.pools = vec![Pool { name: POOL.into(), functions: vec![], size, reservations: vec![] }];
        for (n, name) in (1..).zip(["a", "b"]) {
            cluster.apply(n, &Command::Join { name: name.into(), at_least: 0 });
        }
        let speeds = [(false, true, false), (true, false, false), (false, false, true)];
        let states = speeds.into_iter().map(|(a, b, leader)| State {
            tick: 0,
            front_ends: [FrontEnd::new("a", 1, a, self.terms), FrontEnd::new("b", 1, b, self.terms)],
            slow_leader: leader,
            leaders: Vec::new(),
            cluster: Arc::new(cluster.clone()),
            duplicated: 0,
            restarts: 0,
        });
        let mut states: Vec<State> = states.collect();
        for state in &mut states {
            self.add_leader(state);
            // The first leader has no earlier leader to wait for.
            state.leaders[0].0 =
                PermitAllocator::new(self.terms, LIMITS, -100 * TICK).with_guards(self.guards);
        }
        states
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.bounds.ticks {
            actions.push(Action::Tick);
        }
        for (n, front_end) in state.front_ends.iter().enumerate() {
            let now = clock(front_end.slow, state.tick);
            if let Some((leader, _)) = &front_end.report {
                if self.may_grant(state, *leader) {
                    actions.push(Action::ReportArrives(n, false));
                    if state.duplicated < self.bounds.duplicated {
                        actions.push(Action::ReportArrives(n, true));
                    }
                }
            }
            if front_end.holder.clone().begin_report(now) <= self.bounds.reports[n] {
                for leader in (0..state.leaders.len() as u8).filter(|l| self.may_grant(state, *l)) {
                    actions.extend([true, false].map(|wants| Action::Report(n, leader, wants)));
                }
            }
            if front_end.grant.is_some() {
                actions.push(Action::GrantArrives(n));
            }
            if state.restarts < self.bounds.restarts {
                actions.push(Action::Restart(n));
            }
        }
        if state.leaders.len() <= usize::from(self.bounds.elections) {
            actions.push(Action::Elect);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => {
                for front_end in &mut state.front_ends {
                    front_end.fill(clock(front_end.slow, last.tick));
                }
                state.tick += 1;
                for front_end in &mut state.front_ends {
                    let now = clock(front_end.slow, state.tick);
                    front_end.runs.retain(|(began, _)| now - began < LIMITS.longest_run);
                }
            }
            Action::Report(n, leader, wants) => {
                let front_end = &mut state.front_ends[n];
                let now = clock(front_end.slow, last.tick);
                if wants {
                    front_end.fill(now);
                } else {
                    front_end.runs.retain(|(_, before)| *before);
                }
                front_end.report(leader, wants, now);
                if n == 1 && self.bounds.prompt {
                    self.deliver_report(&mut state, n, false)?;
                    let grant = state.front_ends[n].grant.take()?;
                    state.front_ends[n].apply_grant(grant, now);
                }
            }
            Action::ReportArrives(n, duplicated) => self.deliver_report(&mut state, n, duplicated)?,
            Action::GrantArrives(n) => {
                let grant = state.front_ends[n].grant.take()?;
                let front_end = &mut state.front_ends[n];
                front_end.apply_grant(grant, clock(front_end.slow, last.tick));
            }
            Action::Elect => self.add_leader(&mut state),
            Action::Restart(n) => {
                let cluster = Arc::make_mut(&mut state.cluster);
                let name = last.front_ends[n].member.name.clone();
                cluster.apply(10, &Command::Join { name: name.clone(), at_least: 0 });
                let mut front_end = FrontEnd::new(&name, 2, last.front_ends[n].slow, self.terms);
                front_end.runs = last.front_ends[n].runs.iter().map(|(began, _)| (*began, true)).collect();
                if self.waits_after_restart {
                    front_end.idle_until = clock(front_end.slow, last.tick) + LIMITS.longest_run;
                }
                state.front_ends[n] = front_end;
                state.restarts += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<World>> {
        vec![Property::always("runs stay within the pool", |_, state: &State| {
            state.front_ends.iter().map(|f| f.runs.len()).sum::<usize>() <= PERMITS as usize
        })]
    }
}
