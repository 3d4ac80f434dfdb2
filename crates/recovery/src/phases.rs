//! The way back to service after a start, by stages. Each ends by itself: a limit that passes is a stated way on.
//!
//! | after a start | trusted | why |
//! | --- | --- | --- |
//! | incarnation | as the cluster state tells; its own file until then, as "at least" | every run has a number of its own |
//! | the cluster state | as far as replicas agreed, through a session of this run | a view kept on disk may be old |
//! | intents of attempts | where the store shows that it is whole | see the `marks` package |
//! | leases on views and permits | never | they count from a clock that is gone |
//! | beliefs about copies, loads, lateness of workers | never | the workers may have started anew too |
//! | clock readings of before | never | a monotonic clock begins anew |
//!
//! | stage | waits for | when its limit passes |
//! | --- | --- | --- |
//! | waking | own store opened, or quarantined | goes on without intents: messages delivered again fail, calls that need an intent are held back by the intent's own limit |
//! | asking | a session with the cluster state, and answers of former members | goes on without: strict functions and borrowed permits stay shut by their own rules; messages asked about fail |
//! | reserved | evidence that the fleet is warm | opens by steps, as much each as the evidence allows, at least the guaranteed minimum of it |
//! | open | - | - |
//!
//! In waking and asking calls wait, as far as their time allows, and are refused with a time to come back where it does not.
//! A lone survivor, whose replicas and former members are all out of reach, goes by the limits: it serves with its guaranteed minimums,
//! calls inside reservations (counted by its guaranteed minimums) first.

use crate::Backoff;
use stagehoist::Micros;

/// How far this front end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryPhase {
    /// The own store is not open yet, or the cluster state has not been read.
    OpeningStorage,
    /// Former members are asked about messages that were delivered before.
    ResolvingInDoubt,
    /// A growing part of the calls is admitted, those inside reservations first.
    Ramping,
    /// Every call is admitted.
    Serving,
}

impl RecoveryPhase {
    /// The word for logs and reasons.
    pub fn word(self) -> &'static str {
        match self {
            RecoveryPhase::OpeningStorage => "waking",
            RecoveryPhase::ResolvingInDoubt => "asking",
            RecoveryPhase::Ramping => "reserved",
            RecoveryPhase::Serving => "open",
        }
    }
}

/// Times and shares, told.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time in `waking`, in microseconds.
    pub opening_storage: Micros,
    /// Longest time in `asking`, in microseconds.
    pub resolving_in_doubt: Micros,
    /// After this long in `reserved` the part admitted grows by time too, over as long again.
    pub ramping: Micros,
    /// Time that a call needs beside its wait, to be let wait at all.
    pub admission_wait: Micros,
    /// Share of calls served in time at which the fleet counts as warm.
    pub served: f64,
    /// Part of the others' calls that is admitted at least, so that there is evidence to see.
    pub least: f64,
    /// Fewest calls that make evidence.
    pub calls: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            opening_storage: 2_000_000,
            resolving_in_doubt: 3_000_000,
            ramping: 20_000_000,
            admission_wait: 300_000,
            served: 0.9,
            least: 0.05,
            calls: 20,
        }
    }
}

/// What is seen, whenever it changes. Counts are of the last second or so.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecoveryEvidence {
    /// Own store: opened, or quarantined and begun anew. Where no intents are told, true.
    pub store: bool,
    /// A session with the cluster state stands and its view came. Where no replicas are told, true.
    pub record: bool,
    /// Former members that are still to say what they know of messages delivered again.
    pub open_inquiries: u32,
    /// Admitted calls that ended.
    pub ended: u32,
    /// Those served in time.
    pub in_time: u32,
    /// Ready workers.
    pub workers: u32,
    /// Those with a warm copy of something.
    pub warm_workers: u32,
    /// Room for cold workers, loads under the ration, that stands unused, as a part of all of it; 1 where nothing is cold.
    pub unused_capacity: f64,
}

impl RecoveryEvidence {
    /// How warm the fleet shows itself, from 0 to 1: the least of what each sign allows.
    fn warmth(&self, limits: &Limits) -> f64 {
        if self.workers == 0 {
            return 0.0;
        }
        let copies = f64::from(self.warm_workers) / f64::from(self.workers);
        let served = match self.ended {
            n if n < limits.calls => 0.0,
            n => (f64::from(self.in_time) / f64::from(n) / limits.served).min(1.0),
        };
        // Half of the allowance unused is as good as all of it.
        copies.min(served).min((2.0 * self.unused_capacity).min(1.0)).clamp(0.0, 1.0)
    }
}

/// What is decided about a call that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Enter,
    /// It waits for a change of phase.
    Wait {
        /// When to ask again where no change came.
        until: Micros,
    },
    /// It is rejected.
    Refuse {
        /// The reason in the answer.
        reason: &'static str,
        /// How long the caller had better stay away, in microseconds.
        retry_after: Micros,
    },
}

/// The stages of one front end.
#[derive(Clone, Debug)]
pub struct RecoveryPhases {
    limits: Limits,
    phase: RecoveryPhase,
    since: Micros,
    /// Part of the calls outside reservations that is admitted.
    admitted_share: f64,
    reported_at: Micros,
    random: Backoff,
}

/// Time in which the part admitted may double.
const STEP: Micros = 500_000;

impl RecoveryPhases {
    /// A front end starts. One with no fleet configured serves from the start.
    pub fn new(limits: Limits, seed: u64, now: Micros) -> RecoveryPhases {
        let random = Backoff::new(1, 1, seed);
        RecoveryPhases {
            limits,
            phase: RecoveryPhase::OpeningStorage,
            since: now,
            admitted_share: limits.least,
            reported_at: now,
            random,
        }
    }

    /// Without stages: everyone is admitted.
    pub fn open(now: Micros) -> RecoveryPhases {
        RecoveryPhases { phase: RecoveryPhase::Serving, ..RecoveryPhases::new(Limits::default(), 0, now) }
    }

    /// The present phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// Part of the calls outside reservations that is admitted now.
    pub fn admitted_share(&self) -> f64 {
        match self.phase {
            RecoveryPhase::OpeningStorage | RecoveryPhase::ResolvingInDoubt => 0.0,
            RecoveryPhase::Ramping => self.admitted_share,
            RecoveryPhase::Serving => 1.0,
        }
    }

    /// When [`RecoveryPhases::observe`] is due though nothing changed.
    pub fn due(&self) -> Option<Micros> {
        match self.phase {
            RecoveryPhase::OpeningStorage => Some(self.since + self.limits.opening_storage),
            RecoveryPhase::ResolvingInDoubt => Some(self.since + self.limits.resolving_in_doubt),
            RecoveryPhase::Ramping => Some(self.reported_at + STEP),
            RecoveryPhase::Serving => None,
        }
    }

    /// What is seen now. True where the harness changed: calls that wait are asked for again.
    pub fn observe(&mut self, seen: &RecoveryEvidence, now: Micros) -> bool {
        let before = self.phase;
        let passed = |limit: Micros| now - self.since >= limit;
        match self.phase {
            RecoveryPhase::OpeningStorage if seen.store || passed(self.limits.opening_storage) => {
                self.enter(RecoveryPhase::ResolvingInDoubt, now)
            }
            RecoveryPhase::ResolvingInDoubt
                if (seen.record && seen.open_inquiries == 0) || passed(self.limits.resolving_in_doubt) =>
            {
                self.enter(RecoveryPhase::Ramping, now);
            }
            RecoveryPhase::Ramping => self.grow(seen, now),
            _ => {}
        }
        // A stage that has nothing to wait for is passed at once.
        if self.phase != before && self.phase < RecoveryPhase::Ramping {
            self.observe(seen, now);
        }
        self.phase != before
    }

    fn enter(&mut self, stage: RecoveryPhase, now: Micros) {
        (self.phase, self.since, self.reported_at) = (stage, now, now);
    }

    /// The part admitted doubles at most in each step, up to what the evidence allows; it falls at once where that falls.
    fn grow(&mut self, seen: &RecoveryEvidence, now: Micros) {
        let limits = self.limits;
        let late = (now - self.since - limits.ramping) as f64 / limits.ramping.max(1) as f64;
        // Evidence may never come: nobody calls, or nothing gets warm. Then time opens, slowly.
        let allowed = seen.warmth(&limits).max(late).max(limits.least);
        let steps = (now - self.reported_at).max(0) as f64 / STEP as f64;
        self.admitted_share = allowed.min(self.admitted_share * 2f64.powf(steps.min(8.0))).min(1.0);
        self.reported_at = now;
        if self.admitted_share >= 1.0 {
            self.enter(RecoveryPhase::Serving, now);
        }
    }

    /// A call comes. `reserved`: its tenant has a permit by its reservation. `budget` is what is left of the caller's time.
    pub fn admit(&mut self, reserved: bool, budget: Micros, now: Micros) -> Admission {
        let (ends, reason) = match self.phase {
            RecoveryPhase::Serving => return Admission::Enter,
            RecoveryPhase::Ramping if reserved || self.random.next_fraction() < self.admitted_share => {
                return Admission::Enter
            }
            RecoveryPhase::Ramping => (now + STEP, "fleet-warming"),
            RecoveryPhase::OpeningStorage => {
                (self.since + self.limits.opening_storage + self.limits.resolving_in_doubt, "waking")
            }
            RecoveryPhase::ResolvingInDoubt => (self.since + self.limits.resolving_in_doubt, "asking"),
        };
        // Waiting is for calls that can still be served after the longest wait.
        let wait = (ends - now).max(1);
        if budget >= wait + self.limits.admission_wait {
            return Admission::Wait { until: now + wait };
        }
        let spread = (wait as f64 * (1.0 + self.random.next_fraction())) as Micros;
        let retry_after = match self.phase {
            // As many as are admitted a step come back within a step.
            RecoveryPhase::Ramping => {
                (spread as f64 / self.admitted_share.max(0.05)).min(30.0 * STEP as f64) as Micros
            }
            _ => spread,
        };
        Admission::Refuse { reason, retry_after: retry_after.max(1) }
    }
}
