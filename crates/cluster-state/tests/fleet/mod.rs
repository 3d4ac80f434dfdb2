//! A model of one fleet around the code that decides in it: [`Leader`], [`ClusterState`] and [`LeaseHolder`] as they are,
//! and around them true time, clocks at two rates, a network that delivers late, twice, in any order or
//! never, and an agreed log with two leaders. A stopped process is one that does nothing while its clock goes on; it may wake at any moment.

mod step;

use stagehoist_cluster_state::{
    ClusterState, Command, CommandOutcome, Leader, LeaseHolder, LeaseTerms, Member, Micros, RetirementMode,
    TombstoneState, Version,
};
use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::sync::Arc;

pub const FUNCTION: &str = "f";

/// What a promise rests on; each can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The told drift between holder and giver.
    Drift,
    /// A new leader counts promises that it does not know of.
    Silence,
    /// A leader promises only while a majority follows it.
    Quorum,
    /// A grant vouches for its own version only.
    LocalVersion,
    /// A run serves nothing before its first word.
    FirstWord,
    /// A run in whose place another joined still counts.
    Replaced,
    /// A new leader promises nothing before its record has come as far as its term.
    CaughtUp,
}

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub members: usize,
    pub mode: RetirementMode,
    pub ticks: Micros,
    /// Reports that all runs together send.
    pub asks: u8,
    /// How often each report may come.
    pub deliveries: u8,
    pub restarts: u8,
    pub elections: usize,
    /// What is due is agreed on at some later moment, under whichever leader; else at once.
    pub late_commits: bool,
    /// The leaders' clocks are the fast ones, so that their promises end soonest; else all are drawn.
    pub hasty: bool,
    pub off: Option<Guard>,
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
    pub lead: Leader,
    /// How far its record has come.
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
    /// The last one leads; one before it does not know that.
    pub replicas: Vec<Replica>,
    /// The cluster state after each agreed change.
    pub history: Vec<Arc<ClusterState>>,
    pub network: BTreeSet<Message>,
    /// Handed out by a leader and not agreed on yet.
    pub pending: Vec<Command>,
    pub restarts: u8,
    pub asks: u8,
    pub next_rate: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Tick,
    Ask { run: usize, replica: usize },
    Deliver(Message),
    Retire,
    Restart { run: usize },
    Elect { lag: usize },
    Commit,
    CatchUp,
}

/// Clocks run at two rates, 2 and 3 units a tick.
pub const RATES: [Micros; 2] = [2, 3];

impl Fleet {
    pub fn terms(&self) -> LeaseTerms {
        let drift_ppm = if self.off == Some(Guard::Drift) { 0 } else { 500_000 };
        LeaseTerms { lease: 8, drift_ppm, quorum: 2, tombstone_retention: 1000 }
    }

    fn world(&self, rates: &[Micros]) -> World {
        // Its first leader has led for long and has promised nothing.
        let terms = self.terms();
        let lead = Leader::new(terms, -terms.takeover_wait());
        let first = Replica { rate: rates[0], acked: 0, lead, applied: 0 };
        let mut world = World {
            time: 0,
            runs: Vec::new(),
            replicas: vec![first],
            history: vec![Arc::default()],
            network: BTreeSet::new(),
            pending: Vec::new(),
            restarts: 0,
            asks: 0,
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
            panic!("a name joins");
        };
        let holder = LeaseHolder::new(self.terms());
        world.runs.push(Process { member, rate, holder });
    }

    fn commit(&self, world: &mut World, command: Command) -> CommandOutcome {
        let mut record = ClusterState::clone(world.committed());
        let done = record.apply(world.history.len() as Version, &command);
        if self.off == Some(Guard::Replaced) {
            record.replaced.clear();
        }
        world.history.push(Arc::new(record));
        let applied = world.history.len() - 1;
        world.leader().applied = applied;
        done
    }

    /// Whether a run, woken now, would answer a call for the retired function, by its own clock and view.
    pub fn may_serve(&self, world: &World, run: &Process) -> bool {
        let standing = run.holder.status();
        let told = standing.fresh_until != Micros::MIN || self.off == Some(Guard::FirstWord);
        let fresh = !standing.is_stale(run.now(world)) || standing.fresh_until == Micros::MIN;
        let replaced = world.committed().members[&run.member.name].incarnation != run.member.incarnation;
        let goes_on = fresh || (self.mode == RetirementMode::Available && !replaced);
        standing.view.retired(FUNCTION, 1).is_none() && told && goes_on
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
        self.replicas.last_mut().expect("one leads")
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
        let drawn =
            (0..1 << clocks).map(|bits| (0..clocks).map(|c| RATES[bits >> c & 1]).collect::<Vec<_>>());
        let drawn = drawn.filter(|rates| !self.hasty || rates[..2] == [RATES[1]; 2]);
        drawn.map(|rates| self.world(&rates)).collect()
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        self.choices(world, actions);
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        self.step(&mut next, action);
        self.due(&mut next);
        next.forget_spent();
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always("in force: nobody serves it", |fleet: &Fleet, world| fleet.holds(world)),
            Property::sometimes(
                "a run that was told of nothing yet serves",
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
