//! The change from one division to another, in phases set by the configuration.

use crate::division::{Division, DivisionError};

/// The phase of a change. Front ends may differ by at most one phase: then every queue has a consumer, and
/// limits divided by the number of front ends keep their sum ([`crate::Serving`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TransitionPhase {
    /// Only the old division is served; limits and quotas are already divided for both divisions.
    Announced,
    /// Both divisions are served; callers switch to the new one.
    Both,
    /// Only the new division is served; limits and quotas are still divided for both.
    Closing,
}

/// The division in force or, during a change, the old and the new division.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Divisions {
    current: Division,
    change: Option<(Division, TransitionPhase)>,
}

impl Divisions {
    /// Creates a single division with no change in progress.
    pub fn only(division: Division) -> Divisions {
        Divisions { current: division, change: None }
    }

    /// Creates a change from one division to another; the new generation must be greater.
    pub fn changing(
        old: Division,
        new: Division,
        phase: TransitionPhase,
    ) -> Result<Divisions, DivisionError> {
        if new.generation() <= old.generation() {
            return Err(DivisionError::GenerationNotIncreasing {
                new: new.generation(),
                old: old.generation(),
            });
        }
        Ok(Divisions { current: old, change: Some((new, phase)) })
    }

    /// Returns the phase of the change; `None` if there is none.
    pub fn phase(&self) -> Option<TransitionPhase> {
        self.change.as_ref().map(|c| c.1)
    }

    /// Returns the division in force before the change, or the only one.
    pub fn old(&self) -> &Division {
        &self.current
    }

    /// Returns the division that replaces the old one.
    pub fn next(&self) -> Option<&Division> {
        self.change.as_ref().map(|c| &c.0)
    }

    /// Iterates over the old and the new division, or the only one.
    pub fn each(&self) -> impl Iterator<Item = &Division> {
        [Some(&self.current), self.next()].into_iter().flatten()
    }

    /// Iterates over the divisions whose queues a front end consumes and whose workers it uses.
    pub fn served(&self) -> impl Iterator<Item = &Division> {
        let old = self.phase() != Some(TransitionPhase::Closing);
        let new = self.phase().is_some_and(|s| s >= TransitionPhase::Both);
        [Some(&self.current).filter(|_| old), self.next().filter(|_| new)].into_iter().flatten()
    }

    /// Returns the division that callers send to: the new one from [`TransitionPhase::Both`] on.
    pub fn addressed(&self) -> &Division {
        match &self.change {
            Some((new, phase)) if *phase >= TransitionPhase::Both => new,
            _ => &self.current,
        }
    }
}
