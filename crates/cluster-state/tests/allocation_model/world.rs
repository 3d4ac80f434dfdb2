//! Two front ends, an old and a new leader, what is under way between them, and clocks that run apart.

use stagehoist_cluster_state::allocation::{AllocationLimits, Guards, PermitAllocator};
use stagehoist_cluster_state::{
    guaranteed_permits, ClusterState, Command, Demand, Grant, LeaseHolder, LeaseTerms, Member, Micros, Pool,
    PoolSize, Report,
};
use stateright::{Model, Property};
use std::sync::Arc;

const POOL: &str = "p";
const PERMITS: u32 = 4;
/// What a clock that is right, and one that is slow, gains in a tick.
const TICK: Micros = 100;
const SLOW: Micros = 60;
const TERMS: LeaseTerms =
    LeaseTerms { lease: TICK, drift_ppm: 666_667, quorum: TICK, tombstone_retention: 0 };
const LIMITS: AllocationLimits =
    AllocationLimits { front_ends: 2, guaranteed_share: 500, longest_run: 2 * TICK, interval: 0 };

/// How far a model goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub ticks: u8,
    /// Reports that each front end may send.
    pub reports: [u64; 2],
    pub doubled: u8,
    pub elections: u8,
    pub restarts: u8,
    /// What the second front end says is answered and applied at once; else both links are late alike.
    pub prompt: bool,
    pub least_states: usize,
}

impl Bounds {
    pub const ONE_LEADER: Bounds = Bounds {
        ticks: 6,
        reports: [2, 2],
        doubled: 1,
        elections: 0,
        restarts: 0,
        prompt: true,
        least_states: 10_000,
    };
    pub const ONE_WORD: Bounds = Bounds { reports: [1, 1], least_states: 10_000, ..Bounds::ONE_LEADER };
    pub const ONE_WORD_NEW_LEADER: Bounds = Bounds { ticks: 7, doubled: 0, elections: 1, ..Bounds::ONE_WORD };
    pub const BOTH_LATE: Bounds =
        Bounds { ticks: 3, doubled: 0, prompt: false, reports: [2, 1], ..Bounds::ONE_LEADER };
    pub const NEW_LEADER: Bounds = Bounds { ticks: 7, doubled: 0, elections: 1, ..Bounds::ONE_LEADER };
    pub const RESTART: Bounds = Bounds { restarts: 1, doubled: 0, ..Bounds::ONE_LEADER };
}

#[derive(Clone, Debug)]
pub struct World {
    pub name: &'static str,
    pub bounds: Bounds,
    guards: Guards,
    terms: LeaseTerms,
    rest: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    slow: bool,
    member: Member,
    holder: LeaseHolder,
    /// When runs began by its clock; of the run before it too, with the flag set.
    runs: Vec<(Micros, bool)>,
    rests_until: Micros,
    /// At most one report and one answer are under way.
    report: Option<(u8, Report)>,
    grant: Option<Grant>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    tick: u8,
    fronts: [Front; 2],
    slow_leader: bool,
    leaders: Vec<(PermitAllocator, u8)>,
    record: Arc<ClusterState>,
    doubled: u8,
    restarts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Before the clocks go on each front end has as many runs as it may, each begun as late as it can be;
    /// what may not be begun anew goes on. So no other choice of runs has more of them later.
    Tick,
    /// Asks for all permits with all runs in progress, or ends them and asks for nothing. A report that was under
    /// way still is lost, as is an answer when the next one is given.
    Report(usize, u8, bool),
    ReportArrives(usize, bool),
    GrantArrives(usize),
    Elect,
    Restart(usize),
}

fn clock(slow: bool, tick: u8) -> Micros {
    Micros::from(tick) * if slow { SLOW } else { TICK }
}

impl Front {
    fn new(name: &str, incarnation: u64, slow: bool, terms: LeaseTerms) -> Front {
        Front {
            slow,
            member: Member { name: name.into(), incarnation },
            holder: LeaseHolder::new(terms),
            runs: Vec::new(),
            rests_until: Micros::MIN,
            report: None,
            grant: None,
        }
    }

    fn own(&self) -> u32 {
        self.runs.iter().filter(|(_, before)| !before).count() as u32
    }

    fn may_start(&self, now: Micros) -> bool {
        let standing = self.holder.status();
        let lanes = if now < standing.permits_until { standing.permits.values().sum() } else { 0 };
        let guaranteed_permits =
            if now < self.rests_until { 0 } else { guaranteed_permits(PERMITS, &LIMITS) };
        self.own() < lanes + guaranteed_permits
    }

    fn fill(&mut self, now: Micros) {
        let (before, own): (Vec<_>, Vec<_>) = self.runs.drain(..).partition(|(_, before)| *before);
        self.runs = before;
        while self.may_start(now) {
            self.runs.push((now, false));
        }
        // Beyond what may start now: the youngest of those under way go on.
        let begun = self.own() as usize;
        self.runs.extend(own.into_iter().rev().skip(begun));
        self.runs.sort_unstable();
    }

    fn granted(&mut self, grant: Grant, now: Micros) {
        self.holder.on_grant(grant);
        self.fill(now);
    }

    fn report(&mut self, leader: u8, wants: bool, now: Micros) {
        let number = self.holder.begin_report(now);
        let applied = if now < self.rests_until { 0 } else { self.holder.status().permits_grant };
        let waiting = if wants { PERMITS } else { 0 };
        let (pool, tenant) = (POOL.into(), String::new());
        let demand = vec![Demand { pool, tenant, in_use: self.own(), waiting, applied }];
        self.report = Some((leader, Report { number, demand, ..Report::default() }));
    }
}

impl World {
    pub fn new(name: &'static str, bounds: Bounds) -> World {
        World { name, bounds, guards: Guards::default(), terms: TERMS, rest: true }
    }

    pub fn with(self, guards: Guards) -> World {
        World { guards, ..self }
    }

    pub fn without_drift(self) -> World {
        World { terms: LeaseTerms { drift_ppm: 0, ..TERMS }, ..self }
    }

    pub fn without_rest(self) -> World {
        World { rest: false, ..self }
    }

    /// A leader that another has followed gives promises for a while yet.
    fn gives(&self, state: &State, leader: u8) -> bool {
        let next = state.leaders.get(usize::from(leader) + 1);
        let elected = next.map(|(_, tick)| clock(state.slow_leader, state.tick - tick));
        elected.is_none_or(|passed| passed <= self.terms.quorum)
    }

    fn arrive(&self, state: &mut State, n: usize, doubled: bool) -> Option<()> {
        let now = clock(state.slow_leader, state.tick);
        let front = &mut state.fronts[n];
        let (leader, report) = front.report.clone()?;
        if !doubled {
            front.report = None;
        }
        state.doubled += u8::from(doubled);
        let dealer = &mut state.leaders[usize::from(leader)].0;
        let lanes = dealer.report(&state.record, &front.member, &report, now);
        front.grant =
            Some(Grant { number: report.number, version: 0, lease: self.terms.lease, permits: lanes });
        Some(())
    }

    fn lead(&self, state: &mut State) {
        let began = clock(state.slow_leader, state.tick);
        let dealer = PermitAllocator::new(self.terms, LIMITS, began).with_guards(self.guards);
        state.leaders.push((dealer, state.tick));
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut record = ClusterState::default();
        let size = PoolSize::Permits(PERMITS);
        record.view.pools = vec![Pool { name: POOL.into(), functions: vec![], size, reservations: vec![] }];
        for (n, name) in (1..).zip(["a", "b"]) {
            record.apply(n, &Command::Join { name: name.into(), at_least: 0 });
        }
        let speeds = [(false, true, false), (true, false, false), (false, false, true)];
        let states = speeds.into_iter().map(|(a, b, leader)| State {
            tick: 0,
            fronts: [Front::new("a", 1, a, self.terms), Front::new("b", 1, b, self.terms)],
            slow_leader: leader,
            leaders: Vec::new(),
            record: Arc::new(record.clone()),
            doubled: 0,
            restarts: 0,
        });
        let mut states: Vec<State> = states.collect();
        for state in &mut states {
            self.lead(state);
            // The first leader knows that none was before it.
            state.leaders[0].0 =
                PermitAllocator::new(self.terms, LIMITS, -100 * TICK).with_guards(self.guards);
        }
        states
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.bounds.ticks {
            actions.push(Action::Tick);
        }
        for (n, front) in state.fronts.iter().enumerate() {
            let now = clock(front.slow, state.tick);
            if let Some((leader, _)) = &front.report {
                if self.gives(state, *leader) {
                    actions.push(Action::ReportArrives(n, false));
                    if state.doubled < self.bounds.doubled {
                        actions.push(Action::ReportArrives(n, true));
                    }
                }
            }
            if front.holder.clone().begin_report(now) <= self.bounds.reports[n] {
                for leader in (0..state.leaders.len() as u8).filter(|l| self.gives(state, *l)) {
                    actions.extend([true, false].map(|wants| Action::Report(n, leader, wants)));
                }
            }
            if front.grant.is_some() {
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
                for front in &mut state.fronts {
                    front.fill(clock(front.slow, last.tick));
                }
                state.tick += 1;
                for front in &mut state.fronts {
                    let now = clock(front.slow, state.tick);
                    front.runs.retain(|(began, _)| now - began < LIMITS.longest_run);
                }
            }
            Action::Report(n, leader, wants) => {
                let front = &mut state.fronts[n];
                let now = clock(front.slow, last.tick);
                if wants {
                    front.fill(now);
                } else {
                    front.runs.retain(|(_, before)| *before);
                }
                front.report(leader, wants, now);
                if n == 1 && self.bounds.prompt {
                    self.arrive(&mut state, n, false)?;
                    let grant = state.fronts[n].grant.take()?;
                    state.fronts[n].granted(grant, now);
                }
            }
            Action::ReportArrives(n, doubled) => self.arrive(&mut state, n, doubled)?,
            Action::GrantArrives(n) => {
                let grant = state.fronts[n].grant.take()?;
                let front = &mut state.fronts[n];
                front.granted(grant, clock(front.slow, last.tick));
            }
            Action::Elect => self.lead(&mut state),
            Action::Restart(n) => {
                let record = Arc::make_mut(&mut state.record);
                let name = last.fronts[n].member.name.clone();
                record.apply(10, &Command::Join { name: name.clone(), at_least: 0 });
                let mut front = Front::new(&name, 2, last.fronts[n].slow, self.terms);
                front.runs = last.fronts[n].runs.iter().map(|(began, _)| (*began, true)).collect();
                if self.rest {
                    front.rests_until = clock(front.slow, last.tick) + LIMITS.longest_run;
                }
                state.fronts[n] = front;
                state.restarts += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<World>> {
        vec![Property::always("runs stay within the pool", |_, state: &State| {
            state.fronts.iter().map(|f| f.runs.len()).sum::<usize>() <= PERMITS as usize
        })]
    }
}
