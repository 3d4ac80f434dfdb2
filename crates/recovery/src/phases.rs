//! The phases from process start to normal service. Every phase but the last has a time limit, after which the next starts.
//!
//! | state after a start | trusted | reason |
//! | --- | --- | --- |
//! | incarnation | as reported by the cluster state; before that the process's own file gives a lower bound | every run has its own number |
//! | cluster state | as far as replicas agreed, through a session of this run | a view stored on disk may be old |
//! | intents of attempts | if the store proves to be complete | see the intent log package |
//! | leases on views and permits | never | they are relative to a clock that no longer exists |
//! | estimates of workers' copies, loads and lateness | never | the workers may have restarted too |
//! | clock readings from before the start | never | a monotonic clock starts again |
//!
//! | phase | name in logs | waits for | after the time limit |
//! | --- | --- | --- | --- |
//! | opening storage | waking | own store opened or quarantined | continues without intents: redelivered messages fail, calls that need an intent are held back by the limit on waits for intents |
//! | resolving in-doubt | asking | a session with the cluster state, and the answers of former members | continues without them: strict functions and borrowed permits stay closed by their own rules; messages under inquiry fail |
//! | ramping | reserved | evidence that the fleet is warm | the admitted share of the calls also grows with time; before, it grows in steps from a minimum as the evidence allows |
//! | serving | open | - | - |
//!
//! While storage is opening and in-doubt messages are resolved, calls wait if their remaining time allows it; otherwise they
//! are rejected with a retry delay. A lone survivor, whose replicas and former members are all unreachable, continues by the
//! time limits: it serves with its guaranteed minimums, and calls within reservations (counted by its guaranteed minimums)
//! first.

use crate::Backoff;
use stagehoist::Micros;

/// The recovery phase of this front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryPhase {
    /// The process's own store is not open yet.
    OpeningStorage,
    /// A session with the cluster state is awaited, and former members are asked about redelivered messages.
    ResolvingInDoubt,
    /// A growing share of the calls is admitted, and all calls within reservations.
    Ramping,
    /// Every call is admitted.
    Serving,
}

impl RecoveryPhase {
    /// Returns the name of the phase in logs and reason codes.
    pub fn name(self) -> &'static str {
        match self {
            RecoveryPhase::OpeningStorage => "waking",
            RecoveryPhase::ResolvingInDoubt => "asking",
            RecoveryPhase::Ramping => "reserved",
            RecoveryPhase::Serving => "open",
        }
    }
}

/// Time limits and thresholds of the phases.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum duration of [`RecoveryPhase::OpeningStorage`], in microseconds.
    pub opening_storage: Micros,
    /// Maximum duration of [`RecoveryPhase::ResolvingInDoubt`], in microseconds.
    pub resolving_in_doubt: Micros,
    /// After this time in [`RecoveryPhase::Ramping`] the admitted share also grows with time, to 1 over the same time again.
    pub ramping: Micros,
    /// Time that a call must have left after its wait to be allowed to wait.
    pub admission_wait: Micros,
    /// Fraction of calls served in time at which the fleet counts as warm.
    pub warm_threshold: f64,
    /// Minimum share of the calls outside reservations that is admitted, so that there is evidence to observe.
    pub min_share: f64,
    /// Minimum number of ended calls that counts as evidence.
    pub min_calls: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            opening_storage: 2_000_000,
            resolving_in_doubt: 3_000_000,
            ramping: 20_000_000,
            admission_wait: 300_000,
            warm_threshold: 0.9,
            min_share: 0.05,
            min_calls: 20,
        }
    }
}

/// The observations that the phases depend on. Counts cover about the last second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecoveryEvidence {
    /// The own store was opened, or quarantined and recreated. True if no intents are configured.
    pub store: bool,
    /// A session with the cluster state is open and its view was received. True if no replicas are configured.
    pub record: bool,
    /// Number of open inquiries to former members about redelivered messages.
    pub open_inquiries: u32,
    /// Number of admitted calls that ended.
    pub ended: u32,
    /// Number of ended calls that were served in time.
    pub in_time: u32,
    /// Number of ready workers.
    pub workers: u32,
    /// Number of ready workers with at least one warm copy.
    pub warm_workers: u32,
    /// Unused fraction of the capacity for cold workers (loads within the load budget); 1 if nothing is cold.
    pub unused_capacity: f64,
}

impl RecoveryEvidence {
    /// Returns how warm the fleet is, from 0 to 1: the minimum over all signals.
    fn warmth(&self, limits: &Limits) -> f64 {
        if self.workers == 0 {
            return 0.0;
        }
        let copies = f64::from(self.warm_workers) / f64::from(self.workers);
        let served = match self.ended {
            n if n < limits.min_calls => 0.0,
            n => (f64::from(self.in_time) / f64::from(n) / limits.warm_threshold).min(1.0),
        };
        // An allowance that is half unused counts as much as one that is entirely unused.
        copies.min(served).min((2.0 * self.unused_capacity).min(1.0)).clamp(0.0, 1.0)
    }
}

/// The admission decision about a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call is admitted.
    Admit,
    /// The call waits for a change of phase.
    Wait {
        /// When to request admission again if the phase has not changed.
        until: Micros,
    },
    /// The call is rejected.
    Reject {
        /// Reason code for the answer.
        reason: &'static str,
        /// Advised retry delay, in microseconds.
        retry_after: Micros,
    },
}

/// The recovery phases of one front end.
#[derive(Clone, Debug)]
pub struct RecoveryPhases {
    limits: Limits,
    phase: RecoveryPhase,
    since: Micros,
    /// Share of the calls outside reservations that is admitted.
    admitted_share: f64,
    reported_at: Micros,
    random: Backoff,
}

/// Minimum time in which the admitted share doubles.
const STEP: Micros = 500_000;

impl RecoveryPhases {
    /// Creates the phases of a front end that starts now. Without a configured fleet use [`RecoveryPhases::open`].
    pub fn new(limits: Limits, seed: u64, now: Micros) -> RecoveryPhases {
        let random = Backoff::new(1, 1, seed);
        RecoveryPhases {
            limits,
            phase: RecoveryPhase::OpeningStorage,
            since: now,
            admitted_share: limits.min_share,
            reported_at: now,
            random,
        }
    }

    /// Skips the recovery phases: every call is admitted.
    pub fn open(now: Micros) -> RecoveryPhases {
        RecoveryPhases { phase: RecoveryPhase::Serving, ..RecoveryPhases::new(Limits::default(), 0, now) }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// Returns the share of the calls outside reservations that is admitted now.
    pub fn admitted_share(&self) -> f64 {
        match self.phase {
            RecoveryPhase::OpeningStorage | RecoveryPhase::ResolvingInDoubt => 0.0,
            RecoveryPhase::Ramping => self.admitted_share,
            RecoveryPhase::Serving => 1.0,
        }
    }

    /// Returns when [`RecoveryPhases::observe`] must be called next if nothing changes.
    pub fn next_update(&self) -> Option<Micros> {
        match self.phase {
            RecoveryPhase::OpeningStorage => Some(self.since + self.limits.opening_storage),
            RecoveryPhase::ResolvingInDoubt => Some(self.since + self.limits.resolving_in_doubt),
            RecoveryPhase::Ramping => Some(self.reported_at + STEP),
            RecoveryPhase::Serving => None,
        }
    }

    /// Processes the current evidence. Returns true if the phase changed; admission of the waiting calls must then be
    /// retried.
    pub fn observe(&mut self, evidence: &RecoveryEvidence, now: Micros) -> bool {
        let previous = self.phase;
        let has_elapsed = |limit: Micros| now - self.since >= limit;
        match self.phase {
            RecoveryPhase::OpeningStorage if evidence.store || has_elapsed(self.limits.opening_storage) => {
                self.enter(RecoveryPhase::ResolvingInDoubt, now)
            }
            RecoveryPhase::ResolvingInDoubt
                if (evidence.record && evidence.open_inquiries == 0)
                    || has_elapsed(self.limits.resolving_in_doubt) =>
            {
                self.enter(RecoveryPhase::Ramping, now);
            }
            RecoveryPhase::Ramping => self.update_share(evidence, now),
            _ => {}
        }
        // Leave the new phase at once if it has nothing to wait for.
        if self.phase != previous && self.phase < RecoveryPhase::Ramping {
            self.observe(evidence, now);
        }
        self.phase != previous
    }

    fn enter(&mut self, new_phase: RecoveryPhase, now: Micros) {
        (self.phase, self.since, self.reported_at) = (new_phase, now, now);
    }

    /// Updates the admitted share. It at most doubles per [`STEP`], up to the share that the evidence allows or, after
    /// the time limit, the share that grows with time. If less is allowed, it falls at once.
    fn update_share(&mut self, evidence: &RecoveryEvidence, now: Micros) {
        let limits = self.limits;
        let time_share = (now - self.since - limits.ramping) as f64 / limits.ramping.max(1) as f64;
        // Evidence may never appear, without calls or if no worker gets warm. Then the share grows slowly with time.
        let allowed = evidence.warmth(&limits).max(time_share).max(limits.min_share);
        let elapsed_steps = (now - self.reported_at).max(0) as f64 / STEP as f64;
        self.admitted_share = allowed.min(self.admitted_share * 2f64.powf(elapsed_steps.min(8.0))).min(1.0);
        self.reported_at = now;
        if self.admitted_share >= 1.0 {
            self.enter(RecoveryPhase::Serving, now);
        }
    }

    /// Decides about a new call. `reserved`: its tenant has a permit by its reservation. `budget` is the caller's remaining
    /// time.
    pub fn admit(&mut self, reserved: bool, budget: Micros, now: Micros) -> Admission {
        let (phase_end, reason) = match self.phase {
            RecoveryPhase::Serving => return Admission::Admit,
            RecoveryPhase::Ramping if reserved || self.random.next_fraction() < self.admitted_share => {
                return Admission::Admit
            }
            RecoveryPhase::Ramping => (now + STEP, "fleet-warming"),
            RecoveryPhase::OpeningStorage => {
                (self.since + self.limits.opening_storage + self.limits.resolving_in_doubt, "waking")
            }
            RecoveryPhase::ResolvingInDoubt => (self.since + self.limits.resolving_in_doubt, "asking"),
        };
        // Only calls that can still be served after the longest wait may wait.
        let wait = (phase_end - now).max(1);
        if budget >= wait + self.limits.admission_wait {
            return Admission::Wait { until: now + wait };
        }
        let jittered = (wait as f64 * (1.0 + self.random.next_fraction())) as Micros;
        let retry_after = match self.phase {
            // Spread retries so that about as many callers retry per step as are admitted per step.
            RecoveryPhase::Ramping => {
                (jittered as f64 / self.admitted_share.max(0.05)).min(30.0 * STEP as f64) as Micros
            }
            _ => jittered,
        };
        Admission::Reject { reason, retry_after: retry_after.max(1) }
    }
}
