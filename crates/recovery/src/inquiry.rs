//! Messages that wait while their former holders are asked whether an attempt may have been sent for them.
//!
//! A message runs only if every member asked answers [`AttemptKnowledge::None`] in time. This answer is also a promise: the
//! member that gives it no longer runs the message (see [`crate::DeliveryCache::answer_inquiry`]), even if a delivery of
//! it is still unread in the member's socket. If a member is unreachable or does not know, the message fails, as it would
//! without an inquiry.

use crate::Identity;
use stagehoist::Micros;
use std::collections::{BTreeSet, HashMap};

/// What a member knows about the attempts of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKnowledge {
    /// No attempt was sent, and none will be.
    None,
    /// An attempt may have been sent, or may still be sent.
    MayHaveRun,
    /// The member does not know.
    NotKnown,
}

/// The result of an inquiry about a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message has not run and may run now.
    Run,
    /// The message may have run, or no member knows: its caller is answered `failed`.
    Fail,
}

/// Why no inquiry about a message is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InquiryRejection {
    /// The maximum number of inquiries is open.
    Full,
    /// No member is known that could answer.
    Nobody,
    /// The caller's remaining time is too short for an inquiry and a run.
    TooLate,
}

/// Limits on inquiries.
#[derive(Clone, Copy, Debug)]
pub struct InquiryLimits {
    /// Maximum number of messages that wait at the same time.
    pub max_open: usize,
    /// Maximum wait.
    pub max_wait: Micros,
    /// Maximum fraction of the caller's remaining time spent waiting.
    pub share: f64,
}

impl Default for InquiryLimits {
    fn default() -> InquiryLimits {
        InquiryLimits { max_open: 10_000, max_wait: 2_000_000, share: 0.3 }
    }
}

struct OpenInquiry<M> {
    identity: Identity,
    unanswered: BTreeSet<M>,
    deadline: Micros,
}

/// The open inquiries, by the number of the waiting call.
pub struct Inquiries<M> {
    limits: InquiryLimits,
    open: HashMap<u64, OpenInquiry<M>>,
    deadlines: BTreeSet<(Micros, u64)>,
}

impl<M: Ord + Clone> Inquiries<M> {
    /// Creates an instance without open inquiries.
    pub fn new(bounds: InquiryLimits) -> Inquiries<M> {
        Inquiries { limits: bounds, open: HashMap::new(), deadlines: BTreeSet::new() }
    }

    /// Returns the number of open inquiries.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no inquiry is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Starts an inquiry about a message to all members that may have held it. `budget` is the caller's remaining time.
    pub fn start(
        &mut self,
        number: u64,
        identity: Identity,
        members: impl IntoIterator<Item = M>,
        budget: Micros,
        now: Micros,
    ) -> Result<(), InquiryRejection> {
        let unanswered: BTreeSet<M> = members.into_iter().collect();
        let wait = self.limits.max_wait.min((budget as f64 * self.limits.share) as Micros);
        if unanswered.is_empty() {
            return Err(InquiryRejection::Nobody);
        }
        if wait <= 0 {
            return Err(InquiryRejection::TooLate);
        }
        if self.open.len() >= self.limits.max_open || self.open.contains_key(&number) {
            return Err(InquiryRejection::Full);
        }
        let deadline = now + wait;
        self.deadlines.insert((deadline, number));
        self.open.insert(number, OpenInquiry { identity, unanswered, deadline });
        Ok(())
    }

    /// Returns the inquiries that a member has not answered, to be resent on a new session with it.
    pub fn awaiting<'a>(&'a self, member: &'a M) -> impl Iterator<Item = (u64, Identity)> + 'a {
        let waiting = self.open.iter().filter(move |(_, open)| open.unanswered.contains(member));
        waiting.map(|(number, open)| (*number, open.identity))
    }

    /// Processes a member's answer. Returns the outcome if it is decided, None while other answers are still needed.
    pub fn on_answer(&mut self, number: u64, member: &M, knowledge: AttemptKnowledge) -> Option<Outcome> {
        let open = self.open.get_mut(&number)?;
        if !open.unanswered.remove(member) {
            // The member was not asked or has already answered; a repeated answer is ignored.
            return None;
        }
        let outcome = match knowledge {
            AttemptKnowledge::None if !open.unanswered.is_empty() => return None,
            AttemptKnowledge::None => Outcome::Run,
            AttemptKnowledge::MayHaveRun | AttemptKnowledge::NotKnown => Outcome::Fail,
        };
        self.close(number);
        Some(outcome)
    }

    /// Closes the inquiry about a message.
    pub fn close(&mut self, number: u64) {
        if let Some(open) = self.open.remove(&number) {
            self.deadlines.remove(&(open.deadline, number));
        }
    }

    /// Returns when [`Inquiries::take_expired`] must be called next.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Closes and returns the inquiries whose wait has expired; each of these messages fails.
    pub fn take_expired(&mut self, now: Micros) -> Vec<u64> {
        let expired: Vec<u64> = self.deadlines.range(..=(now, u64::MAX)).map(|(_, number)| *number).collect();
        expired.iter().for_each(|number| self.close(*number));
        expired
    }
}
