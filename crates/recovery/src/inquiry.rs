//! Messages that wait while former holders are asked whether an attempt for them may have left.
//!
//! A message runs only if each one asked says [`Told::None`], in time. That word is a promise too: who gives it takes the
//! message up no more (see [`crate::Memory::asked`]), though a delivery of it may still lie in its socket. One that is out of
//! reach, or does not know, makes the message fail as if none had been asked.

use crate::Identity;
use stagehoist::Micros;
use std::collections::{BTreeSet, HashMap};

/// What a member says of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// No attempt left, and none will.
    None,
    /// An attempt may have left, or may leave.
    MayHaveRun,
    /// It can't tell.
    NotKnown,
}

/// What becomes of a message that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is known not to have run.
    Run,
    Fail,
}

/// Why a message is not asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unasked {
    /// As many wait as may.
    Full,
    /// Nobody is known who could tell.
    Nobody,
    /// Too little of the caller's time is left for question and run.
    TooLate,
}

/// Bounds of the questions.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Messages that wait at once.
    pub most: usize,
    /// Longest wait.
    pub longest: Micros,
    /// Part of the caller's remaining time that may go into waiting.
    pub share: f64,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience { most: 10_000, longest: 2_000_000, share: 0.3 }
    }
}

struct Open<M> {
    identity: Identity,
    left: BTreeSet<M>,
    by: Micros,
}

/// The questions that are out, by the number of the call that waits.
pub struct Inquiries<M> {
    patience: Patience,
    open: HashMap<u64, Open<M>>,
    by: BTreeSet<(Micros, u64)>,
}

impl<M: Ord + Clone> Inquiries<M> {
    pub fn new(patience: Patience) -> Inquiries<M> {
        Inquiries { patience, open: HashMap::new(), by: BTreeSet::new() }
    }

    /// Messages that wait.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Begins a question about a message to all who may have held it. `budget` is what is left of the caller's time.
    pub fn ask(
        &mut self,
        number: u64,
        identity: Identity,
        members: impl IntoIterator<Item = M>,
        budget: Micros,
        now: Micros,
    ) -> Result<(), Unasked> {
        let left: BTreeSet<M> = members.into_iter().collect();
        let wait = self.patience.longest.min((budget as f64 * self.patience.share) as Micros);
        if left.is_empty() {
            return Err(Unasked::Nobody);
        }
        if wait <= 0 {
            return Err(Unasked::TooLate);
        }
        if self.open.len() >= self.patience.most || self.open.contains_key(&number) {
            return Err(Unasked::Full);
        }
        let by = now + wait;
        self.by.insert((by, number));
        self.open.insert(number, Open { identity, left, by });
        Ok(())
    }

    /// What is to be asked of a member, for a session that stands anew.
    pub fn of<'a>(&'a self, member: &'a M) -> impl Iterator<Item = (u64, Identity)> + 'a {
        let waiting = self.open.iter().filter(move |(_, open)| open.left.contains(member));
        waiting.map(|(number, open)| (*number, open.identity))
    }

    /// A member's answer. Nothing while others are still to say.
    pub fn told(&mut self, number: u64, member: &M, told: Told) -> Option<Outcome> {
        let open = self.open.get_mut(&number)?;
        if !open.left.remove(member) {
            // Not asked, or it has answered: a word that comes twice says no more than the first.
            return None;
        }
        let outcome = match told {
            Told::None if !open.left.is_empty() => return None,
            Told::None => Outcome::Run,
            Told::MayHaveRun | Told::NotKnown => Outcome::Fail,
        };
        self.end(number);
        Some(outcome)
    }

    /// A message needs no more answers.
    pub fn end(&mut self, number: u64) {
        if let Some(open) = self.open.remove(&number) {
            self.by.remove(&(open.by, number));
        }
    }

    /// When [`Inquiries::expired`] is due.
    pub fn due(&self) -> Option<Micros> {
        self.by.first().map(|(at, _)| *at)
    }

    /// Messages whose wait is over; each fails.
    pub fn expired(&mut self, now: Micros) -> Vec<u64> {
        let over: Vec<u64> = self.by.range(..=(now, u64::MAX)).map(|(_, number)| *number).collect();
        over.iter().for_each(|number| self.end(*number));
        over
    }
}
