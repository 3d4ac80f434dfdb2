//! From one division to another, in stages that settings tell.

use crate::division::{Division, DivisionError};

/// How far a change has come. Front ends may differ by one stage and no more: then every queue is consumed,
/// and what is divided by the number of front ends keeps its sum ([`crate::Serving`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TransitionPhase {
    /// Only the old division is served; what is divided is divided for both.
    Announced,
    /// Both are served; callers go over to the new one.
    Both,
    /// Only the new one is served; what is divided is still divided for both.
    Closing,
}

/// The division in force, or two of which one replaces the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Divisions {
    first: Division,
    change: Option<(Division, TransitionPhase)>,
}

impl Divisions {
    /// One division, with no change under way.
    pub fn only(division: Division) -> Divisions {
        Divisions { first: division, change: None }
    }

    /// A change from one division to another.
    pub fn changing(
        old: Division,
        new: Division,
        stage: TransitionPhase,
    ) -> Result<Divisions, DivisionError> {
        if new.generation() <= old.generation() {
            return Err(DivisionError::GenerationBack { new: new.generation(), old: old.generation() });
        }
        Ok(Divisions { first: old, change: Some((new, stage)) })
    }

    /// How far the change has come; `None` without one.
    pub fn phase(&self) -> Option<TransitionPhase> {
        self.change.as_ref().map(|c| c.1)
    }

    /// The one in force before the change, or at all.
    pub fn old(&self) -> &Division {
        &self.first
    }

    /// The one that comes in force.
    pub fn next(&self) -> Option<&Division> {
        self.change.as_ref().map(|c| &c.0)
    }

    /// Both, or the only one.
    pub fn each(&self) -> impl Iterator<Item = &Division> {
        [Some(&self.first), self.next()].into_iter().flatten()
    }

    /// Those whose queues a front end consumes and whose workers it uses.
    pub fn served(&self) -> impl Iterator<Item = &Division> {
        let old = self.phase() != Some(TransitionPhase::Closing);
        let new = self.phase().is_some_and(|s| s >= TransitionPhase::Both);
        [Some(&self.first).filter(|_| old), self.next().filter(|_| new)].into_iter().flatten()
    }

    /// Where a caller sends: to the new one from [`TransitionPhase::Both`] on.
    pub fn addressed(&self) -> &Division {
        match &self.change {
            Some((new, stage)) if *stage >= TransitionPhase::Both => new,
            _ => &self.first,
        }
    }
}
