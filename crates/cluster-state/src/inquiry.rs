//! Inquiries between front ends, by way of the leader, about redelivered messages.

use crate::{Member, Micros, SessionRequest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of messages in one inquiry.
pub const MAX_KEYS: usize = 256;
/// Maximum number of open inquiries of one front end.
pub const MAX_OPEN_INQUIRIES: usize = 64;
/// Interval at which an inquiry is sent again to the front ends that have not answered, as they may be about to join.
const RETRY_INTERVAL: Micros = 100_000;
/// A leader's list of members is accepted only if it arrives within this time after the request. This time plus the time
/// for which a leader trusts its majority ([`crate::LeaseTerms::quorum`], at least 250 ms) ends before another leader can
/// be elected (400 ms).
const MEMBERS_VALID_FOR: Micros = 100_000;
/// An open inquiry is discarded after this time; its sender has given up by then.
const INQUIRY_TIMEOUT: Micros = 5_000_000;

/// Identifies a message, by the properties that its caller set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageKey {
    /// The queue from which the caller consumes its replies.
    pub reply_to: String,
    /// The caller's correlation id.
    pub correlation: String,
    /// The message id.
    pub message: String,
}

/// What a front end knows about attempts of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageKnowledge {
    /// No attempt was sent, and none will be.
    None,
    /// An attempt may have been sent, or may still be sent.
    MayHaveRun,
    /// The front end cannot determine whether an attempt was sent.
    NotKnown,
}

/// Messages from a front end to its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InquiryMessage {
    /// Asks all other front ends about messages.
    Inquire {
        /// Number of the inquiry; increases within the run that asks.
        number: u64,
        /// The messages.
        keys: Vec<MessageKey>,
    },
    /// Answers another front end's inquiry.
    Answer {
        /// The run that asked.
        to: Member,
        /// Number of the inquiry, assigned by the run that asks.
        number: u64,
        /// One entry for each message, in order.
        known: Vec<MessageKnowledge>,
    },
}

/// Events from a session to its front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InquiryEvent {
    /// This run has joined.
    Joined {
        /// The incarnation of this run.
        run: u64,
        /// The incarnation of the last run under its name, if the cluster state knew one.
        before: Option<u64>,
    },
    /// Another front end asks about messages.
    Inquired {
        /// The run that asks.
        from: Member,
        /// Number of its inquiry.
        number: u64,
        /// The messages.
        keys: Vec<MessageKey>,
    },
    /// The combined knowledge of all other front ends about each message.
    Answered {
        /// Number of the inquiry.
        number: u64,
        /// One entry for each message; `None`: answers are still missing.
        known: Vec<Option<MessageKnowledge>>,
    },
}

struct OpenInquiry {
    keys: Vec<MessageKey>,
    since: Micros,
    sent_at: Micros,
    round: u32,
    /// Names of the members that have to answer, once received from the leader.
    members: Option<BTreeSet<String>>,
    answered: BTreeSet<String>,
    known: Vec<MessageKnowledge>,
}

/// A front end's open inquiries. Every name in the cluster state has to answer: a front end that is not connected keeps
/// the inquiry open until it times out.
#[derive(Default)]
pub struct InquiryRounds {
    open: BTreeMap<u64, OpenInquiry>,
}

impl InquiryRounds {
    /// Opens an inquiry. Returns false if too many inquiries are open, or if it has no messages or too many.
    pub fn start(&mut self, number: u64, keys: Vec<MessageKey>, now: Micros) -> bool {
        self.open.retain(|_, open| now - open.since < INQUIRY_TIMEOUT);
        if self.open.len() >= MAX_OPEN_INQUIRIES || keys.is_empty() || keys.len() > MAX_KEYS {
            return false;
        }
        let known = vec![MessageKnowledge::None; keys.len()];
        let (no_members, no_answers, never_sent) = (None, BTreeSet::new(), Micros::MIN / 2);
        self.open.insert(
            number,
            OpenInquiry {
                keys,
                since: now,
                sent_at: never_sent,
                round: 0,
                members: no_members,
                answered: no_answers,
                known,
            },
        );
        true
    }

    /// Returns when [`InquiryRounds::next_request`] next has a request.
    pub fn next_due(&self) -> Option<Micros> {
        self.open.values().map(|o| o.sent_at + RETRY_INTERVAL).min()
    }

    /// Returns the next request to send, if one is due.
    pub fn next_request(&mut self, now: Micros) -> Option<SessionRequest> {
        self.open.retain(|_, open| now - open.since < INQUIRY_TIMEOUT);
        let (number, open) = self.open.iter_mut().find(|(_, o)| now >= o.sent_at + RETRY_INTERVAL)?;
        (open.sent_at, open.round) = (now, open.round + 1);
        let unanswered = open.members.iter().flatten().filter(|name| !open.answered.contains(*name));
        let to = unanswered.cloned().collect();
        Some(SessionRequest::Inquire { number: *number, round: open.round, to, keys: open.keys.clone() })
    }

    /// Handles the leader's list of the members that have to answer.
    pub fn on_members(
        &mut self,
        number: u64,
        round: u32,
        names: Vec<String>,
        now: Micros,
    ) -> Option<InquiryEvent> {
        let open = self.open.get_mut(&number)?;
        if round == open.round && now - open.sent_at <= MEMBERS_VALID_FOR {
            open.members.get_or_insert_with(|| names.into_iter().collect());
        }
        self.conclude(number)
    }

    /// Handles the answer of one member.
    pub fn on_answer(
        &mut self,
        number: u64,
        from: String,
        known: &[MessageKnowledge],
    ) -> Option<InquiryEvent> {
        let open = self.open.get_mut(&number)?;
        for (index, merged) in open.known.iter_mut().enumerate() {
            match known.get(index) {
                Some(MessageKnowledge::None) => {}
                other if *merged == MessageKnowledge::None => {
                    *merged = other.copied().unwrap_or(MessageKnowledge::NotKnown)
                }
                _ => {}
            }
        }
        open.answered.insert(from);
        self.conclude(number)
    }

    fn conclude(&mut self, number: u64) -> Option<InquiryEvent> {
        let open = self.open.get(&number)?;
        let is_complete = open.members.as_ref().is_some_and(|members| members.is_subset(&open.answered));
        let conclusive = |k: &MessageKnowledge| (is_complete || *k != MessageKnowledge::None).then_some(*k);
        let known: Vec<Option<MessageKnowledge>> = open.known.iter().map(conclusive).collect();
        if is_complete || known.iter().all(Option::is_some) {
            self.open.remove(&number);
        }
        known.iter().any(Option::is_some).then_some(InquiryEvent::Answered { number, known })
    }
}
