//! A model of one fleet around the production code of [`Leader`], [`ClusterState`] and [`LeaseHolder`]. It simulates true time,
//! clocks at two rates, a network that delays, duplicates, reorders and drops messages, and a replicated log with two
//! leaders. A stopped process does nothing while its clock keeps running, and may resume at any time.

mod step;

use stagehoist_cluster_state::{
    ClusterState, Command, CommandOutcome, Leader, LeaseHolder, LeaseTerms, Member, Micros, RetirementMode,
    TombstoneState, Version,
};
use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::sync::Arc;

pub const FUNCTION: &str = "f";

/// Rules on which the guarantee depends; the model can disable each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The holder and the leader allow for the configured drift.
    Drift,
    /// A new leader assumes that leases of earlier leaders are valid.
    TakeoverWait,
    /// A leader grants leases only while a majority follows it.
    Quorum,
    /// A grant confirms only the view version that it contains.
    LocalVersion,
    /// A run serves nothing before its first grant.
    FirstGrant,
    /// A replaced run still counts as in progress.
    Replaced,
    /// A new leader grants no leases before it has applied the first entry of its term.
    CaughtUp,
}

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub members: usize,
    pub mode: RetirementMode,
    pub ticks: Micros,
    /// Maximum reports that all runs together send.
    pub max_reports: u8,
    /// Maximum deliveries of each report.
    pub max_deliveries: u8,
    pub restarts: u8,
    pub elections: usize,
    /// Whether due commands are committed at any later time, under any leader; else at once.
    pub late_commits: bool,
    /// Whether the leaders' clocks are fast, so that they count leases for the shortest time; else all rates are explored.
    pub fast_leader_clocks: bool,
    pub disabled_guard: Option<Guard>,
}

/// One run of a front end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    pub member: Member,
    pub rate: Micros,
    pub holder: LeaseHolder,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    pub rate: Micros,
    pub acked: Micros,
    pub leader_state: Leader,
    /// Index in [`World::history`] of the last change it has applied.
    pub applied: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Report { run: usize, replica: usize, number: u64, confirmed: Version, deliveries: u8 },
    Grant { run: usize, number: u64, version: Version },
    View { run: usize, applied: usize },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub time: Micros,
    pub runs: Vec<Process>,
    /// The last one is the leader; the earlier ones do not know that they were replaced.
    pub replicas: Vec<Replica>,
    /// The cluster state after each committed change.
    pub history: Vec<Arc<ClusterState>>,
    pub network: BTreeSet<Message>,
    /// Commands returned by a leader and not committed yet.
    pub pending: Vec<Command>,
    pub restarts: u8,
    pub reports_sent: u8,
    pub next_rate: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Tick,
    SendReport { run: usize, replica: usize },
    Deliver(Message),
    Retire,
    Restart { run: usize },
    Elect { lag: usize },
    Commit,
    CatchUp,
}

/// Clock rates: 2 and 3 units per tick.
pub const RATES: [Micros; 2] = [2, 3];

impl Fleet {
    pub fn terms(&self) -> LeaseTerms {
        let drift_ppm = if self.disabled_guard == Some(Guard::Drift) { 0 } else { 500_000 };
        LeaseTerms { lease: 8, drift_ppm, quorum: 2, tombstone_retention: 1000 }
    }

    fn world(&self, rates: &[Micros]) -> World {
        // The first leader was elected long ago and has granted no leases.
        let terms = self.terms();
        let leader_state = Leader::new(terms, -terms.takeover_wait());
        let first = Replica { rate: rates[0], acked: 0, leader_state, applied: 0 };
        let mut world = World {
            time: 0,
            runs: Vec::new(),
            replicas: vec![first],
            history: vec![Arc::default()],
            network: BTreeSet::new(),
            pending: Vec::new(),
            restarts: 0,
            reports_sent: 0,
            next_rate: rates[1],
        };
        for (index, rate) in rates[2..].iter().enumerate() {
            self.join(&mut world, &format!("m{index}"), *rate);
        }
        world
    }

    fn join(&self, world: &mut World, name: &str, rate: Micros) {
        let CommandOutcome::Joined(member) =
            self.commit(world, Command::Join { name: name.into(), at_least: 0 })
        else {
            panic!("the member could not join");
        };
        let holder = LeaseHolder::new(self.terms());
        world.runs.push(Process { member, rate, holder });
    }

    fn commit(&self, world: &mut World, command: Command) -> CommandOutcome {
        let mut state = ClusterState::clone(world.committed());
        let outcome = state.apply(world.history.len() as Version, &command);
        if self.disabled_guard == Some(Guard::Replaced) {
            state.replaced.clear();
        }
        world.history.push(Arc::new(state));
        let applied = world.history.len() - 1;
        world.leader().applied = applied;
        outcome
    }

    /// Returns whether a run, resumed now, would serve a call to the retired function, by its own clock and view.
    pub fn may_serve(&self, world: &World, run: &Process) -> bool {
        let status = run.holder.status();
        let has_lease = status.fresh_until != Micros::MIN || self.disabled_guard == Some(Guard::FirstGrant);
        let is_fresh = !status.is_stale(run.now(world)) || status.fresh_until == Micros::MIN;
        let replaced = world.committed().members[&run.member.name].incarnation != run.member.incarnation;
        let serves_unretired = is_fresh || (self.mode == RetirementMode::Available && !replaced);
        status.view.retired(FUNCTION, 1).is_none() && has_lease && serves_unretired
    }

    fn holds(&self, world: &World) -> bool {
        let tombstone = world.committed().view.tombstones.get(FUNCTION);
        let Some(TombstoneState::InForce { but_for }) = tombstone.map(|t| &t.state) else { return true };
        world.runs.iter().all(|run| but_for.contains(&run.member) || !self.may_serve(world, run))
    }
}

impl Process {
    pub fn now(&self, world: &World) -> Micros {
        1000 + self.rate * world.time
    }
}

impl World {
    pub fn committed(&self) -> &ClusterState {
        &self.history[self.history.len() - 1]
    }

    pub fn leader(&mut self) -> &mut Replica {
        self.replicas.last_mut().expect("there is a leader")
    }

    pub fn tombstone(&self) -> Option<&TombstoneState> {
        self.committed().view.tombstones.get(FUNCTION).map(|t| &t.state)
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let clocks = 2 + self.members;
        let rate_choices =
            (0..1 << clocks).map(|bits| (0..clocks).map(|c| RATES[bits >> c & 1]).collect::<Vec<_>>());
        let rate_choices =
            rate_choices.filter(|rates| !self.fast_leader_clocks || rates[..2] == [RATES[1]; 2]);
        rate_choices.map(|rates| self.world(&rates)).collect()
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        self.choices(world, actions);
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        self.step(&mut next, action);
        self.due(&mut next);
        next.drop_ineffective_messages();
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always("in force: no run serves it", |fleet: &Fleet, world| fleet.holds(world)),
            Property::sometimes(
                "a run without the retirement in its view serves",
                |fleet: &Fleet, world: &World| world.runs.iter().any(|run| fleet.may_serve(world, run)),
            ),
            Property::sometimes("in force by confirmation", |_, world: &World| {
                world.tombstone().is_some_and(|s| *s != TombstoneState::Proposed)
                    && world.runs.iter().all(|run| run.holder.version() > 0)
            }),
            Property::sometimes("in force by the end of a promise", |_, world: &World| {
                let late = |run: &Process| run.holder.version() == 0 && run.holder.status().fresh_until > 0;
                world.tombstone().is_some_and(|s| *s != TombstoneState::Proposed)
                    && world.runs.iter().any(late)
            }),
        ]
    }
}
