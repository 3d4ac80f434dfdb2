//! Messages that wait while former holders are asked whether an attempt for them may have left.
//!
//! A message runs only if each one asked says [`AttemptKnowledge::None`], in time. That word is a promise too: who gives it takes the
//! message up no more (see [`crate::DeliveryCache::combine`]), though a delivery of it may still lie in its socket. One that is out of
//! reach, or does not know, makes the message fail as if none had been asked.

use crate::Identity;
use stagehoist::Micros;
use std::collections::{BTreeSet, HashMap};

/// What a member says of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKnowledge {
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
    /// It may have run, or nobody can tell: its caller is answered `failed`.
    Fail,
}

/// Why a message is not asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InquiryRejection {
    /// As many wait as may.
    Full,
    /// Nobody is known who could tell.
    Nobody,
    /// Too little of the caller's time is left for question and run.
    TooLate,
}

/// Bounds of the questions.
#[derive(Clone, Copy, Debug)]
pub struct InquiryLimits {
    /// Messages that wait at once.
    pub max_open: usize,
    /// Longest wait.
    pub max_wait: Micros,
    /// Part of the caller's remaining time that may go into waiting.
    pub share: f64,
}

impl Default for InquiryLimits {
    fn default() -> InquiryLimits {
        InquiryLimits { max_open: 10_000, max_wait: 2_000_000, share: 0.3 }
    }
}

struct Open<M> {
    identity: Identity,
    left: BTreeSet<M>,
    by: Micros,
}

/// The questions that are out, by the number of the call that waits.
pub struct Inquiries<M> {
    limits: InquiryLimits,
    open: HashMap<u64, Open<M>>,
    deadlines: BTreeSet<(Micros, u64)>,
}

impl<M: Ord + Clone> Inquiries<M> {
    /// No inquiries yet.
    pub fn new(patience: InquiryLimits) -> Inquiries<M> {
        Inquiries { limits: patience, open: HashMap::new(), deadlines: BTreeSet::new() }
    }

    /// Messages that wait.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Begins a question about a message to all who may have held it. `budget` is what is left of the caller's time.
    pub fn start(
        &mut self,
        number: u64,
        identity: Identity,
        members: impl IntoIterator<Item = M>,
        budget: Micros,
        now: Micros,
    ) -> Result<(), InquiryRejection> {
        let left: BTreeSet<M> = members.into_iter().collect();
        let wait = self.limits.max_wait.min((budget as f64 * self.limits.share) as Micros);
        if left.is_empty() {
            return Err(InquiryRejection::Nobody);
        }
        if wait <= 0 {
            return Err(InquiryRejection::TooLate);
        }
        if self.open.len() >= self.limits.max_open || self.open.contains_key(&number) {
            return Err(InquiryRejection::Full);
        }
        let by = now + wait;
        self.deadlines.insert((by, number));
        self.open.insert(number, Open { identity, left, by });
        Ok(())
    }

    /// What is to be asked of a member, for a session that stands anew.
    pub fn awaiting<'a>(&'a self, member: &'a M) -> impl Iterator<Item = (u64, Identity)> + 'a {
        let waiting = self.open.iter().filter(move |(_, open)| open.left.contains(member));
        waiting.map(|(number, open)| (*number, open.identity))
    }

    /// A member's answer. Nothing while others are still to say.
    pub fn on_answer(&mut self, number: u64, member: &M, told: AttemptKnowledge) -> Option<Outcome> {
        let open = self.open.get_mut(&number)?;
        if !open.left.remove(member) {
            // Not asked, or it has answered: a word that comes twice says no more than the first.
            return None;
        }
        let outcome = match told {
            AttemptKnowledge::None if !open.left.is_empty() => return None,
            AttemptKnowledge::None => Outcome::Run,
            AttemptKnowledge::MayHaveRun | AttemptKnowledge::NotKnown => Outcome::Fail,
        };
        self.end(number);
        Some(outcome)
    }

    /// A message needs no more answers.
    pub fn end(&mut self, number: u64) {
        if let Some(open) = self.open.remove(&number) {
            self.deadlines.remove(&(open.by, number));
        }
    }

    /// When [`Inquiries::take_expired`] is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Messages whose wait is over; each fails.
    pub fn take_expired(&mut self, now: Micros) -> Vec<u64> {
        let over: Vec<u64> = self.deadlines.range(..=(now, u64::MAX)).map(|(_, number)| *number).collect();
        over.iter().for_each(|number| self.end(*number));
        over
    }
}
