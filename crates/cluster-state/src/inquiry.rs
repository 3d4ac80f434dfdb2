//! What front ends ask each other about messages that are delivered again, by way of the leader.

use crate::{Member, Micros, SessionRequest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Messages in one question, and questions of one front end that are open at a time.
pub const MAX_KEYS: usize = 256;
/// Inquiries of one front end that wait for answers.
pub const MAX_OPEN_INQUIRIES: usize = 64;
/// How often those who have not answered are asked again: they may be about to join.
const RETRY_INTERVAL: Micros = 100_000;
/// A leader's word of who is to be asked counts if it comes so soon after the question. With the time that a leader trusts
/// its majority ([`crate::LeaseTerms::quorum`], 250 ms at least) it ends before another leader can be elected (400 ms).
const MEMBERS_VALID_FOR: Micros = 100_000;
/// Whoever asks has abandoned by then.
const INQUIRY_TIMEOUT: Micros = 5_000_000;

/// What a message is known by, as its caller wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageKey {
    /// The queue that the caller takes its answers from.
    pub reply_to: String,
    /// The caller's correlation id.
    pub correlation: String,
    /// The message id.
    pub message: String,
}

/// What a front end knows of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageKnowledge {
    /// No attempt left, and none will.
    None,
    /// An attempt may have left, or may leave.
    MayHaveRun,
    /// It can't tell.
    NotKnown,
}

/// From a front end to its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InquiryMessage {
    /// Numbers count up in a run.
    Inquire {
        /// Number of the inquiry, counted by the run that asks.
        number: u64,
        /// The messages.
        keys: Vec<MessageKey>,
    },
    /// What this front end knows of messages that another asked about.
    Answer {
        /// The run that asked.
        to: Member,
        /// Number of the inquiry, counted by the run that asks.
        number: u64,
        /// One for each message, in order.
        known: Vec<MessageKnowledge>,
    },
}

/// From a session to its front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InquiryEvent {
    /// This run has joined.
    Joined {
        /// The number of this run.
        run: u64,
        /// The number of the last run under its name, where the cluster state knew one.
        before: Option<u64>,
    },
    /// Another front end asks.
    Inquired {
        /// The run that asks.
        from: Member,
        /// Number of its inquiry.
        number: u64,
        /// The messages.
        keys: Vec<MessageKey>,
    },
    /// What all others together know of each message.
    Answered {
        /// Number of the inquiry.
        number: u64,
        /// One for each message; None: some are still to answer.
        known: Vec<Option<MessageKnowledge>>,
    },
}

struct OpenInquiry {
    keys: Vec<MessageKey>,
    since: Micros,
    sent_at: Micros,
    round: u32,
    /// Who is to say, once the leader told it.
    members: Option<BTreeSet<String>>,
    answered: BTreeSet<String>,
    known: Vec<MessageKnowledge>,
}

/// A front end's open questions. Nobody is left out: each name that the cluster state holds has to say, so that one which is not
/// connected leaves the question open until whoever asked times out.
#[derive(Default)]
pub struct InquiryRounds {
    open: BTreeMap<u64, OpenInquiry>,
}

impl InquiryRounds {
    /// False: too many are open, or it asks for too much.
    pub fn start(&mut self, number: u64, keys: Vec<MessageKey>, now: Micros) -> bool {
        self.open.retain(|_, o| now - o.since < INQUIRY_TIMEOUT);
        if self.open.len() >= MAX_OPEN_INQUIRIES || keys.is_empty() || keys.len() > MAX_KEYS {
            return false;
        }
        let known = vec![MessageKnowledge::None; keys.len()];
        let (of, heard, asked) = (None, BTreeSet::new(), Micros::MIN / 2);
        self.open.insert(
            number,
            OpenInquiry { keys, since: now, sent_at: asked, round: 0, members: of, answered: heard, known },
        );
        true
    }

    /// When [`InquiryRounds::next_request`] has something.
    pub fn next_due(&self) -> Option<Micros> {
        self.open.values().map(|o| o.sent_at + RETRY_INTERVAL).min()
    }

    /// The next question to send.
    pub fn next_request(&mut self, now: Micros) -> Option<SessionRequest> {
        self.open.retain(|_, o| now - o.since < INQUIRY_TIMEOUT);
        let (number, open) = self.open.iter_mut().find(|(_, o)| now >= o.sent_at + RETRY_INTERVAL)?;
        (open.sent_at, open.round) = (now, open.round + 1);
        let told = open.members.iter().flatten().filter(|name| !open.answered.contains(*name));
        let to = told.cloned().collect();
        Some(SessionRequest::Inquire { number: *number, round: open.round, to, keys: open.keys.clone() })
    }

    /// The leader tells who has to say.
    pub fn on_members(
        &mut self,
        number: u64,
        turn: u32,
        names: Vec<String>,
        now: Micros,
    ) -> Option<InquiryEvent> {
        let open = self.open.get_mut(&number)?;
        if turn == open.round && now - open.sent_at <= MEMBERS_VALID_FOR {
            open.members.get_or_insert_with(|| names.into_iter().collect());
        }
        self.conclude(number)
    }

    /// One of them said.
    pub fn on_answer(
        &mut self,
        number: u64,
        from: String,
        known: &[MessageKnowledge],
    ) -> Option<InquiryEvent> {
        let open = self.open.get_mut(&number)?;
        for (at, mine) in open.known.iter_mut().enumerate() {
            match known.get(at) {
                Some(MessageKnowledge::None) => {}
                other if *mine == MessageKnowledge::None => {
                    *mine = other.copied().unwrap_or(MessageKnowledge::NotKnown)
                }
                _ => {}
            }
        }
        open.answered.insert(from);
        self.conclude(number)
    }

    fn conclude(&mut self, number: u64) -> Option<InquiryEvent> {
        let open = self.open.get(&number)?;
        let whole = open.members.as_ref().is_some_and(|of| of.is_subset(&open.answered));
        let told = |k: &MessageKnowledge| (whole || *k != MessageKnowledge::None).then_some(*k);
        let known: Vec<Option<MessageKnowledge>> = open.known.iter().map(told).collect();
        if whole || known.iter().all(Option::is_some) {
            self.open.remove(&number);
        }
        known.iter().any(Option::is_some).then_some(InquiryEvent::Answered { number, known })
    }
}
