//! Whether a start is one after a loss of everything, and what the stages of the way back are shown. Without I/O.
//!
//! A start counts as one after a loss where both hold: the last run of this front end did not leave in order, and the list
//! of workers names none that is older than this start by more than a told time (or none that is ready at all). A front end
//! that is killed or replaced in a warm fleet meets old workers and holds nobody up; one whose last run ended in order has
//! no stages at all. Until the first list is here calls go in: the module holds them without workers anyway.

use super::priority;
use stagehoist::{EndpointUpdate, Lifecycle, Micros, Outcome, WorkerId};
use stagehoist_config::{Config, Recover};
use stagehoist_endpoints::Update;
use stagehoist_recovery::phases::{Admission, Limits, RecoveryEvidence, RecoveryPhase};
use stagehoist_recovery::RecoveryPhases;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Evidence is of the last so many slots of so long.
const SLOTS: usize = 4;
const SLOT: Micros = 500_000;
/// Fewest ends of calls in them that are evidence.
const CALLS: u32 = 5;
/// How the worker told that a call found its copy: it stood.
const COPY_WARM: u8 = 1;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    ended: u32,
    in_time: u32,
    /// Attempts whose worker told how it found the copy, and those for which it had to be loaded.
    found: u32,
    cold: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// No endpoint list came yet.
    Unheard,
    Lost,
    Warm,
}

/// One front end's way back to service.
#[derive(Debug)]
pub struct FleetRecovery {
    start: Start,
    phases: RecoveryPhases,
    limits: Limits,
    seed: u64,
    began: Micros,
    new: Micros,
    warm_up: Micros,
    /// Tenants with reservations, and the functions of the pool.
    first: Vec<(u32, Vec<String>)>,
    /// Ready workers and when they started; None: no list came.
    workers: Option<BTreeMap<WorkerId, Micros>>,
    /// Those that served a call of this run.
    served: BTreeSet<WorkerId>,
    slots: VecDeque<(Micros, Counts)>,
}

impl FleetRecovery {
    /// `unordered`: the last run of this front end did not leave in order.
    pub fn new(config: &Config, told: &Recover, unordered: bool, seed: u64, now: Micros) -> FleetRecovery {
        let limits = Limits {
            opening_storage: told.waking,
            resolving_in_doubt: told.asking,
            ramping: told.reserved,
            min_share: told.share,
            min_calls: CALLS,
            ..Limits::default()
        };
        let start = if unordered { Start::Unheard } else { Start::Warm };
        if !unordered {
            tracing::info!(stage = "open", why = "the last run left in order, or there was none", "recovery");
        }
        FleetRecovery {
            start,
            phases: RecoveryPhases::open(now),
            limits,
            seed,
            began: now,
            new: told.new,
            warm_up: config.warm_up,
            first: priority::of(config),
            workers: None,
            served: BTreeSet::new(),
            slots: VecDeque::new(),
        }
    }

    /// The present phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phases.phase()
    }

    /// When the phase may change though nothing happens.
    pub fn due(&self) -> Option<Micros> {
        self.phases.next_update()
    }

    /// What the endpoint list says.
    pub fn roster(&mut self, update: &Update) {
        if self.is_over() || update.kind == EndpointUpdate::Failed {
            return;
        }
        let workers = self.workers.get_or_insert_default();
        if update.kind != EndpointUpdate::Delta {
            workers.clear();
        }
        for row in &update.endpoints {
            match row.lifecycle {
                Lifecycle::Ready => workers.insert(row.worker, row.started),
                _ => workers.remove(&row.worker),
            };
        }
    }

    /// A call that was admitted is answered.
    pub fn ended(&mut self, in_time: bool, now: Micros) {
        if let Some(slot) = self.slot(now) {
            slot.ended += 1;
            slot.in_time += u32::from(in_time);
        }
    }

    /// An attempt ended; `copy` is how its worker found the copy.
    pub fn attempt(&mut self, worker: WorkerId, outcome: Outcome, copy: u8, now: Micros) {
        let Some(slot) = self.slot(now) else { return };
        let missed = outcome == Outcome::Miss;
        slot.found += u32::from(missed || copy > 0);
        slot.cold += u32::from(missed || copy > COPY_WARM);
        if outcome == Outcome::Ok {
            self.served.insert(worker);
        }
    }

    /// Looks at what is known. True where calls that wait are to be asked for again.
    pub fn update(&mut self, record: bool, now: Micros) -> bool {
        if self.is_over() {
            return false;
        }
        let before = self.phase();
        self.evaluate(now);
        if self.start != Start::Lost {
            return self.phase() != before;
        }
        let seen = self.evidence(record, now);
        if self.phases.observe(&seen, now) {
            let why = match self.phase() {
                RecoveryPhase::OpeningStorage | RecoveryPhase::ResolvingInDoubt => {
                    "nothing of its own store is waited for"
                }
                RecoveryPhase::Ramping if record => "cluster status received",
                RecoveryPhase::Ramping => "the limit passed without the cluster status",
                RecoveryPhase::Serving => "the fleet is warm, or time opened it",
            };
            tracing::info!(stage = self.phase().name(), why, ?seen, "recovery");
        }
        self.phase() != before
    }

    /// What is decided about a call of a tenant.
    pub fn admit(&mut self, call: (u32, &str), left: Micros, now: Micros) -> Admission {
        if self.phase() == RecoveryPhase::Serving {
            return Admission::Admit;
        }
        let first = priority::is_first(&self.first, call.0, call.1);
        self.phases.admit(first, left, now)
    }

    fn is_over(&self) -> bool {
        self.start == Start::Warm || (self.start == Start::Lost && self.phase() == RecoveryPhase::Serving)
    }

    /// Whether this is a start after a loss, by the workers that are listed.
    fn evaluate(&mut self, now: Micros) {
        let Some(workers) = &self.workers else { return };
        // A start that is not told is no sign of a new worker.
        let old = workers.values().filter(|started| **started < self.began - self.new).count();
        let listed = workers.len();
        match self.start {
            Start::Unheard | Start::Lost if old > 0 => {
                tracing::info!(
                    stage = "open",
                    why = "workers are older than this start",
                    old,
                    listed,
                    "recovery"
                );
                (self.start, self.phases) = (Start::Warm, RecoveryPhases::open(now));
            }
            Start::Unheard => {
                let why = "the last run did not leave in order, and no worker is older than this start";
                tracing::info!(stage = "waking", why, listed, "recovery");
                (self.start, self.phases) = (Start::Lost, RecoveryPhases::new(self.limits, self.seed, now));
            }
            _ => {}
        }
    }

    fn evidence(&mut self, record: bool, now: Micros) -> RecoveryEvidence {
        let from = now - SLOT * SLOTS as Micros;
        self.slots.retain(|(at, _)| *at > from);
        let mut all = Counts::default();
        for (_, slot) in &self.slots {
            all.ended += slot.ended;
            all.in_time += slot.in_time;
            all.found += slot.found;
            all.cold += slot.cold;
        }
        let none = BTreeMap::new();
        let workers = self.workers.as_ref().unwrap_or(&none);
        // One that is past its time of warming up is warm as far as its falling over goes.
        let warm = |(worker, started): &(&WorkerId, &Micros)| {
            self.served.contains(worker) || now - **started >= self.warm_up
        };
        RecoveryEvidence {
            store: true,
            record,
            open_inquiries: 0,
            ended: all.ended,
            in_time: all.in_time,
            workers: workers.len() as u32,
            warm_workers: workers.iter().filter(warm).count() as u32,
            unused_capacity: if all.found == 0 {
                1.0
            } else {
                1.0 - f64::from(all.cold) / f64::from(all.found)
            },
        }
    }

    fn slot(&mut self, now: Micros) -> Option<&mut Counts> {
        if self.start != Start::Lost || self.is_over() {
            return None;
        }
        let at = now - now % SLOT;
        if self.slots.back().is_none_or(|last| last.0 < at) {
            self.slots.push_back((at, Counts::default()));
            if self.slots.len() > SLOTS {
                self.slots.pop_front();
            }
        }
        self.slots.back_mut().map(|slot| &mut slot.1)
    }
}
