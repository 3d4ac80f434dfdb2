//! The memory of messages: which are in progress, which are answered, and what is known of their replies. It answers a message
//! that is delivered again without running it again.

use crate::{AttemptKnowledge, Key};
use stagehoist::{Effect, Micros};
use std::collections::{HashMap, VecDeque};

/// What is known of a reply that was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyState {
    /// Its last byte never left: no caller can have it.
    Never,
    /// It left whole and nothing came back: the caller may have it.
    Doubtful,
    /// The broker answers for it.
    Confirmed,
}

/// What to do with a delivery.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict<A> {
    /// Take it as a call.
    Run,
    /// It is in progress under this number; its answer goes to this delivery.
    Join(u64),
    /// Its answer is known and did not arrive: send it, run nothing.
    Resend(A),
    /// Its answer arrived, or may have: acknowledge it, send nothing, run nothing.
    Settle {
        /// Whether the answer arrived is not known.
        doubtful: bool,
    },
    /// It was delivered before and nothing is known of it here: whoever may have held it is asked, and until then it waits
    /// as if it were in progress under its number. Given only after [`DeliveryCache::inquires`].
    Inquire,
    /// It was delivered before and nothing is known of it: answer `failed`, run nothing.
    Fail,
}

#[derive(Clone, Debug)]
enum Known<A> {
    Running(u64),
    Answered(A, ReplyState),
    /// Nothing is known but that it is being answered `failed` under this number.
    Failing(u64),
    /// Another member was informed that no attempt leaves from here.
    Ceded,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    known: Known<A>,
    created_at: Micros,
}

impl<A: Clone> Entry<A> {
    /// What a second delivery of a message in progress, or answered, becomes; None for the others.
    fn on_redelivery(&mut self, resend_doubtful: bool) -> Option<Verdict<A>> {
        match &mut self.known {
            Known::Running(ticket) => Some(Verdict::Join(*ticket)),
            Known::Answered(_, ReplyState::Confirmed) => Some(Verdict::Settle { doubtful: false }),
            Known::Answered(_, ReplyState::Doubtful) if !resend_doubtful => {
                Some(Verdict::Settle { doubtful: true })
            }
            Known::Answered(answer, reply_state) => {
                // Sent anew, it is out of our hands until told otherwise.
                *reply_state = ReplyState::Doubtful;
                Some(Verdict::Resend(answer.clone()))
            }
            Known::Failing(_) | Known::Ceded => None,
        }
    }
}

/// When a message became known.
#[derive(Clone, Debug)]
struct Created {
    at: Micros,
    key: Key,
}

/// The messages of late, bounded in number and age.
#[derive(Clone, Debug)]
pub struct DeliveryCache<A> {
    max_entries: usize,
    retention: Micros,
    resend_doubtful: bool,
    entries: HashMap<Key, Entry<A>>,
    /// In order of creation; an entry that was replaced leaves a stale one, known by its time.
    order: VecDeque<Created>,
    inquires: bool,
    /// A message in progress was forgotten: what is not known may be in progress here, until then.
    unproven_until: Micros,
}

impl<A: Clone> DeliveryCache<A> {
    /// At most `most` messages, each for `keep`. Where `resend_doubtful`, a reply in doubt is sent again on redelivery,
    /// which may give a caller two answers; else it is withheld, which may give it none.
    pub fn new(most: usize, keep: Micros, resend_doubtful: bool) -> DeliveryCache<A> {
        DeliveryCache {
            max_entries: most,
            retention: keep,
            resend_doubtful,
            entries: HashMap::new(),
            order: VecDeque::new(),
            inquires: false,
            unproven_until: 0,
        }
    }

    /// Messages of which nothing is known are asked about from now on: attempts of calls that are not idempotent
    /// are recorded on disk, and somebody can tell.
    pub fn inquires(&mut self, asks: bool) {
        self.inquires = asks;
    }

    /// Messages held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A delivery came. `ticket` is the number it will run under if the verdict is [`Verdict::Run`].
    ///
    /// A delivery that is not recorded as redelivered is a message of its own, even where a caller uses an id twice. One
    /// that is and of which nothing is known was with another front end, or with this one before a restart: it may have
    /// run there, so that only idempotent calls run.
    pub fn on_delivery(
        &mut self,
        key: Option<&Key>,
        redelivered: bool,
        effect: Effect,
        ticket: u64,
        now: Micros,
    ) -> Verdict<A> {
        self.expire(now);
        let entry = key.and_then(|key| self.entries.get_mut(key));
        let ceded = matches!(entry, Some(Entry { known: Known::Ceded, .. }));
        if let Some(verdict) =
            entry.filter(|_| redelivered).and_then(|e| e.on_redelivery(self.resend_doubtful))
        {
            return verdict;
        }
        let can_inquire = self.inquires && key.is_some() && now >= self.unproven_until;
        let verdict = match effect {
            Effect::Idempotent => Verdict::Run,
            _ if redelivered && can_inquire => Verdict::Inquire,
            _ if redelivered => Verdict::Fail,
            // It lay in the socket while another member was informed that nothing leaves from here.
            _ if ceded => Verdict::Fail,
            _ => Verdict::Run,
        };
        if let (Some(key), Verdict::Run | Verdict::Inquire) = (key, &verdict) {
            self.insert(key, Known::Running(ticket), now);
        }
        verdict
    }

    /// A message of which nothing is known is answered `failed` under this number: an answer that may be in doubt as
    /// another, and is not given twice. What was ceded stays so.
    pub fn on_failing(&mut self, key: &Key, ticket: u64, now: Micros) {
        if !self.entries.contains_key(key) {
            self.insert(key, Known::Failing(ticket), now);
        }
    }

    /// Another member asks about a message that was delivered to it. `marks` is what this one's intents tell, asked before.
    ///
    /// After [`AttemptKnowledge::None`] no first delivery of the message is taken up here while this is remembered.
    pub fn combine(&mut self, key: &Key, marks: AttemptKnowledge, now: Micros) -> AttemptKnowledge {
        self.expire(now);
        match self.entries.get(key).map(|e| &e.known) {
            Some(Known::Running(_) | Known::Answered(..)) => AttemptKnowledge::MayHaveRun,
            _ if marks != AttemptKnowledge::None => marks,
            Some(Known::Failing(_)) => AttemptKnowledge::NotKnown,
            _ if now < self.unproven_until => AttemptKnowledge::NotKnown,
            _ => {
                self.insert(key, Known::Ceded, now);
                AttemptKnowledge::None
            }
        }
    }

    fn insert(&mut self, key: &Key, known: Known<A>, now: Micros) {
        while self.entries.len() >= self.max_entries.max(1) {
            let Some(oldest) = self.order.pop_front() else { break };
            self.forget(&oldest, now);
        }
        self.order.push_back(Created { at: now, key: key.clone() });
        self.entries.insert(key.clone(), Entry { known, created_at: now });
    }

    fn expire(&mut self, now: Micros) {
        while self.order.front().is_some_and(|created| now - created.at > self.retention) {
            let Some(oldest) = self.order.pop_front() else { break };
            self.forget(&oldest, now);
        }
    }

    fn forget(&mut self, created: &Created, now: Micros) {
        if self.entries.get(&created.key).is_some_and(|entry| entry.created_at == created.at) {
            let gone = self.entries.remove(&created.key);
            if gone.is_some_and(|e| matches!(e.known, Known::Running(_))) {
                // It may still have its first attempt before it, and no intent yet.
                self.unproven_until = now + self.retention;
            }
        }
    }

    /// A message's call has its answer; what becomes of the reply is reported by [`DeliveryCache::on_reply_state`].
    pub fn on_answer(&mut self, key: &Key, ticket: u64, answer: A, sent: ReplyState) {
        if let Some(entry) = self.entries.get_mut(key) {
            if matches!(entry.known, Known::Running(t) | Known::Failing(t) if t == ticket) {
                entry.known = Known::Answered(answer, sent);
            }
        }
    }

    /// More is known of a message's reply. Nothing undoes a confirm.
    pub fn on_reply_state(&mut self, key: &Key, now_known: ReplyState) {
        if let Some(Entry { known: Known::Answered(_, sent), .. }) = self.entries.get_mut(key) {
            if *sent != ReplyState::Confirmed {
                *sent = now_known;
            }
        }
    }
}
