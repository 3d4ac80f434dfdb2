//! Detects a start after a loss of the whole fleet, and drives the recovery phases that follow it. Without I/O.
//!
//! A start counts as one after a loss if both hold: the last run of this front end did not shut down in order, and
//! the worker list contains no worker that is older than this start by more than the configured time (or no ready
//! worker at all). A front end that is killed or replaced in a warm fleet finds older workers and delays no calls;
//! one whose last run shut down in order has no recovery phases. Calls are admitted until the first list is received:
//! without workers the decision module holds them anyway.

use super::priority;
use stagehoist::{EndpointUpdate, Lifecycle, Micros, Outcome, WorkerId};
use stagehoist_config::{Config, RecoverySettings};
use stagehoist_endpoints::Update;
use stagehoist_recovery::phases::{Admission, Limits, RecoveryEvidence, RecoveryPhase};
use stagehoist_recovery::RecoveryPhases;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Evidence is collected over the last `SLOTS` slots of `SLOT` microseconds each.
const SLOTS: usize = 4;
const SLOT: Micros = 500_000;
/// Minimum number of finished calls in these slots that counts as evidence.
const MIN_CALLS: u32 = 5;
/// Value with which a worker reports that a call found its copy loaded.
const COPY_WARM: u8 = 1;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    ended: u32,
    in_time: u32,
    /// Attempts whose worker reported the state of the copy; `cold` counts those for which it had to be loaded.
    found: u32,
    cold: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// No endpoint list was received yet.
    Unknown,
    Lost,
    Warm,
}

/// The recovery of one front end.
#[derive(Debug)]
pub struct FleetRecovery {
    start: Start,
    phases: RecoveryPhases,
    limits: Limits,
    seed: u64,
    started_at: Micros,
    new: Micros,
    warm_up: Micros,
    /// Tenants with reservations, with the functions of the pool; their calls are admitted first.
    reservations: Vec<(u32, Vec<String>)>,
    /// Ready workers and when they started; `None` before the first list.
    workers: Option<BTreeMap<WorkerId, Micros>>,
    /// Workers that served a call of this run.
    served: BTreeSet<WorkerId>,
    slots: VecDeque<(Micros, Counts)>,
}

impl FleetRecovery {
    /// Creates the recovery. `was_unclean` is set if the last run of this front end did not shut down in order.
    pub fn new(
        config: &Config,
        recover: &RecoverySettings,
        was_unclean: bool,
        seed: u64,
        now: Micros,
    ) -> FleetRecovery {
        let limits = Limits {
            opening_storage: recover.waking,
            resolving_in_doubt: recover.asking,
            ramping: recover.reserved,
            min_share: recover.share,
            min_calls: MIN_CALLS,
            ..Limits::default()
        };
        let start = if was_unclean { Start::Unknown } else { Start::Warm };
        if !was_unclean {
            tracing::info!(
                stage = "open",
                why = "the last run shut down in order, or there was none",
                "recovery phase set at start"
            );
        }
        FleetRecovery {
            start,
            phases: RecoveryPhases::open(now),
            limits,
            seed,
            started_at: now,
            new: recover.new,
            warm_up: config.warm_up,
            reservations: priority::of(config),
            workers: None,
            served: BTreeSet::new(),
            slots: VecDeque::new(),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phases.phase()
    }

    /// Returns when the phase may change without an event.
    pub fn due(&self) -> Option<Micros> {
        self.phases.next_update()
    }

    /// Applies an update of the endpoint list.
    pub fn on_endpoints(&mut self, update: &Update) {
        if self.is_finished() || update.kind == EndpointUpdate::Failed {
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

    /// An admitted call was answered.
    pub fn ended(&mut self, in_time: bool, now: Micros) {
        if let Some(slot) = self.slot(now) {
            slot.ended += 1;
            slot.in_time += u32::from(in_time);
        }
    }

    /// An attempt ended; `copy` is the state in which its worker found the copy.
    pub fn attempt(&mut self, worker: WorkerId, outcome: Outcome, copy: u8, now: Micros) {
        let Some(slot) = self.slot(now) else { return };
        let missed = outcome == Outcome::Miss;
        slot.found += u32::from(missed || copy > 0);
        slot.cold += u32::from(missed || copy > COPY_WARM);
        if outcome == Outcome::Ok {
            self.served.insert(worker);
        }
    }

    /// Evaluates the evidence. Returns true if waiting calls are to be submitted for admission again.
    pub fn update(&mut self, record: bool, now: Micros) -> bool {
        if self.is_finished() {
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
                    "no local storage to wait for"
                }
                RecoveryPhase::Ramping if record => "cluster status received",
                RecoveryPhase::Ramping => "the limit passed without the cluster status",
                RecoveryPhase::Serving => "the fleet is warm, or the time limit of the phase passed",
            };
            tracing::info!(stage = self.phase().name(), why, ?seen, "recovery phase changed");
        }
        self.phase() != before
    }

    /// Decides about the admission of a tenant's call.
    pub fn admit(&mut self, call: (u32, &str), left: Micros, now: Micros) -> Admission {
        if self.phase() == RecoveryPhase::Serving {
            return Admission::Admit;
        }
        let has_priority = priority::has_priority(&self.reservations, call.0, call.1);
        self.phases.admit(has_priority, left, now)
    }

    fn is_finished(&self) -> bool {
        self.start == Start::Warm || (self.start == Start::Lost && self.phase() == RecoveryPhase::Serving)
    }

    /// Decides from the listed workers whether this is a start after a loss.
    fn evaluate(&mut self, now: Micros) {
        let Some(workers) = &self.workers else { return };
        // A worker without a start time is not evidence of a new worker.
        let old = workers.values().filter(|started| **started < self.started_at - self.new).count();
        let listed = workers.len();
        match self.start {
            Start::Unknown | Start::Lost if old > 0 => {
                tracing::info!(
                    stage = "open",
                    why = "workers are older than this start",
                    old,
                    listed,
                    "recovery phase changed"
                );
                (self.start, self.phases) = (Start::Warm, RecoveryPhases::open(now));
            }
            Start::Unknown => {
                let why = "the last run did not shut down in order, and no worker is older than this start";
                tracing::info!(stage = "waking", why, listed, "recovery phase changed");
                (self.start, self.phases) = (Start::Lost, RecoveryPhases::new(self.limits, self.seed, now));
            }
            _ => {}
        }
    }

    fn evidence(&mut self, record: bool, now: Micros) -> RecoveryEvidence {
        let oldest = now - SLOT * SLOTS as Micros;
        self.slots.retain(|(at, _)| *at > oldest);
        let mut total = Counts::default();
        for (_, slot) in &self.slots {
            total.ended += slot.ended;
            total.in_time += slot.in_time;
            total.found += slot.found;
            total.cold += slot.cold;
        }
        let none = BTreeMap::new();
        let workers = self.workers.as_ref().unwrap_or(&none);
        // A worker whose warm-up time has passed counts as warm, as far as overload is concerned.
        let warm = |(worker, started): &(&WorkerId, &Micros)| {
            self.served.contains(worker) || now - **started >= self.warm_up
        };
        RecoveryEvidence {
            store: true,
            record,
            open_inquiries: 0,
            ended: total.ended,
            in_time: total.in_time,
            workers: workers.len() as u32,
            warm_workers: workers.iter().filter(warm).count() as u32,
            unused_capacity: if total.found == 0 {
                1.0
            } else {
                1.0 - f64::from(total.cold) / f64::from(total.found)
            },
        }
    }

    fn slot(&mut self, now: Micros) -> Option<&mut Counts> {
        if self.start != Start::Lost || self.is_finished() {
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
