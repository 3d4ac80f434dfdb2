//! The rules' figures, and what a day's script knows that no socket shows.

use super::WAKE;
use crate::capture::Micros;
use std::collections::BTreeMap;

/// What may be done with a call that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    NonIdempotent,
    /// Repeats within the window, at workers of one scope, are dropped by the workers. A worker's group is looked up in
    /// [`RuleSet::groups`]; `None` groups all.
    IdempotentWithKey {
        grouped: bool,
        window: Micros,
    },
}

#[derive(Clone, Debug)]
pub struct ClassRule {
    pub effect: Effect,
    pub give_up: Micros,
}

/// A worker's process that started cold.
#[derive(Clone, Debug)]
pub struct WorkerStart {
    pub worker: String,
    pub at: Micros,
    /// Calls a second that it serves when warm.
    pub capacity: f64,
}

/// A function's retirement, as the script told it and the state file showed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Retired {
    pub function: String,
    /// From when it counts everywhere but where `confirmed_from` says otherwise; None: never within the capture.
    pub in_force: Option<Micros>,
    /// Front ends that the state file named in `but for` at first: from when it counts at each. One without a time here is not
    /// bound by it, which is said by a time after the end of the capture (`Micros::MAX`).
    pub confirmed_from: BTreeMap<u32, Micros>,
}

/// A pool of permits and who has permits of it reserved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolRule {
    pub name: String,
    /// Function patterns (`rare-*`).
    pub functions: Vec<String>,
    pub lanes: u32,
    /// Tenant and its permits.
    pub reservations: Vec<(String, u32)>,
    /// Time in which a reservation's lent permits come back, in microseconds.
    pub within: Micros,
}

/// The rules' figures, and the facts of a day that no socket shows.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    /// Function patterns (`rare-*`), each with its class.
    pub functions: Vec<(String, ClassRule)>,
    /// Time past a caller's patience in which an answer still counts.
    pub answer_grace: Micros,
    pub drain_grace: Micros,
    pub second_copies: bool,
    /// Window, free loads, loads for each call taken.
    pub ration: Option<(Micros, f64, f64)>,
    pub groups: BTreeMap<String, String>,
    /// Window, multiple, share at the start, time until warm.
    pub cold: Option<(Micros, f64, f64, Micros)>,
    pub starts: Vec<WorkerStart>,
    /// Front ends that were stopped: from, to.
    pub frozen: Vec<(u32, Micros, Micros)>,
    /// Front ends whose process started anew: when. A new process knows nothing of what the old one was given.
    pub begun: Vec<(u32, Micros)>,
    pub retired: Vec<Retired>,
    pub pools: Vec<PoolRule>,
    /// Times in which a thread of the machine that the day was played on was not run: from, to, in order.
    pub gaps: Vec<(Micros, Micros)>,
}

/// Whether a function pattern takes a name.
fn takes(pattern: &str, function: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => function.starts_with(prefix),
        None => pattern == function,
    }
}

impl Retired {
    /// From when the retirement counts at a front end; None: not within the capture.
    pub(super) fn counts_from(&self, front_end: u32) -> Option<Micros> {
        self.confirmed_from.get(&front_end).copied().or(self.in_force)
    }
}

impl PoolRule {
    pub(super) fn takes(&self, function: &str) -> bool {
        self.functions.iter().any(|pattern| takes(pattern, function))
    }
    /// Permits reserved for a tenant.
    pub(super) fn reserved(&self, tenant: &str) -> usize {
        self.reservations.iter().filter(|r| r.0 == tenant).map(|r| r.1 as usize).sum()
    }
}

impl RuleSet {
    pub(super) fn class(&self, function: &str) -> Option<&ClassRule> {
        self.functions.iter().find(|(pattern, _)| takes(pattern, function)).map(|(_, class)| class)
    }

    /// Time in a span that the machine was seen not to run a thread.
    pub(super) fn seen(&self, from: Micros, to: Micros) -> Micros {
        self.gaps.iter().map(|gap| (gap.1.min(to) - gap.0.max(from)).max(0)).sum()
    }

    /// Whether a front end ran at a time and a little before.
    pub(super) fn ran(&self, front_end: u32, at: Micros) -> bool {
        !self.frozen.iter().any(|f| f.0 == front_end && f.1 <= at && at <= f.2 + WAKE)
    }

    /// When the process that a front end had at a time started; nought for the first.
    pub(super) fn process_began(&self, front_end: u32, at: Micros) -> Micros {
        self.begun.iter().filter(|b| b.0 == front_end && b.1 <= at).map(|b| b.1).max().unwrap_or(0)
    }

    /// When a front end could know what reached it at a time.
    pub(super) fn knew(&self, front_end: u32, at: Micros) -> Micros {
        self.frozen
            .iter()
            .filter(|f| f.0 == front_end && f.1 <= at && at <= f.2)
            .map(|f| f.2)
            .max()
            .unwrap_or(at)
    }
}
