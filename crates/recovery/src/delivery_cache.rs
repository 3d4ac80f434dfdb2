//! Cache of recent messages: which are in progress, which are answered, and the known state of their replies. With it a
//! redelivered message is answered without running it again.

use crate::{AttemptKnowledge, Key};
use stagehoist::{Effect, Micros};
use std::collections::{HashMap, VecDeque};

/// The known state of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyState {
    /// Its last byte was never sent: the caller can't have received it.
    NotSent,
    /// It was sent completely but not confirmed: the caller may have received it.
    Doubtful,
    /// The broker confirmed it.
    Confirmed,
}

/// What to do with a delivery.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict<A> {
    /// Run the message as a call.
    Run,
    /// The message is in progress under this number; this delivery gets the same answer.
    Join(u64),
    /// The answer is known and did not arrive: send it again, run nothing.
    Resend(A),
    /// The answer arrived or may have arrived: acknowledge the delivery, send nothing, run nothing.
    Settle {
        /// Whether the arrival of the answer is unknown.
        doubtful: bool,
    },
    /// The message was delivered before and is unknown here: ask its possible former holders. Until they answer, the
    /// message waits as if it were in progress under its number. Returned only while inquiries are enabled by
    /// [`DeliveryCache::enable_inquiries`].
    Inquire,
    /// The message was delivered before and is unknown: answer `failed`, run nothing.
    Fail,
}

#[derive(Clone, Debug)]
enum MessageState<A> {
    Running(u64),
    Answered(A, ReplyState),
    /// The message is being answered `failed` under this number; nothing else is known about it.
    Failing(u64),
    /// Another member was promised that no attempt is sent from here.
    Ceded,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    known: MessageState<A>,
    created_at: Micros,
}

impl<A: Clone> Entry<A> {
    /// Returns the verdict on a redelivery of a message in progress or answered; None in the other states.
    fn on_redelivery(&mut self, resend_doubtful: bool) -> Option<Verdict<A>> {
        match &mut self.known {
            MessageState::Running(ticket) => Some(Verdict::Join(*ticket)),
            MessageState::Answered(_, ReplyState::Confirmed) => Some(Verdict::Settle { doubtful: false }),
            MessageState::Answered(_, ReplyState::Doubtful) if !resend_doubtful => {
                Some(Verdict::Settle { doubtful: true })
            }
            MessageState::Answered(answer, reply_state) => {
                // The answer is sent again, so its arrival is unknown until the broker reports it.
                *reply_state = ReplyState::Doubtful;
                Some(Verdict::Resend(answer.clone()))
            }
            MessageState::Failing(_) | MessageState::Ceded => None,
        }
    }
}

/// When the entry of a message was created.
#[derive(Clone, Debug)]
struct Created {
    at: Micros,
    key: Key,
}

/// The recent messages, limited in number and age.
#[derive(Clone, Debug)]
pub struct DeliveryCache<A> {
    max_entries: usize,
    retention: Micros,
    resend_doubtful: bool,
    entries: HashMap<Key, Entry<A>>,
    /// In order of creation; a replaced entry leaves a stale element here, which its time identifies.
    creation_order: VecDeque<Created>,
    inquiries_enabled: bool,
    /// A message in progress was evicted, so until this time an unknown message may be in progress here.
    unknown_until: Micros,
}

impl<A: Clone> DeliveryCache<A> {
    /// Creates a cache of at most `capacity` messages, each retained for `max_age`. With `resend_doubtful`, a reply whose
    /// arrival is unknown is sent again on redelivery, so that a caller may get two answers; without it the reply is
    /// withheld, so that a caller may get none.
    pub fn new(capacity: usize, max_age: Micros, resend_doubtful: bool) -> DeliveryCache<A> {
        DeliveryCache {
            max_entries: capacity,
            retention: max_age,
            resend_doubtful,
            entries: HashMap::new(),
            creation_order: VecDeque::new(),
            inquiries_enabled: false,
            unknown_until: 0,
        }
    }

    /// Enables or disables inquiries about unknown messages. They require that attempts of non-idempotent calls are recorded
    /// on disk, so that former holders can answer.
    pub fn enable_inquiries(&mut self, is_enabled: bool) {
        self.inquiries_enabled = is_enabled;
    }

    /// Returns the number of messages.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Processes a delivery. `ticket` is the number under which it runs if the verdict is [`Verdict::Run`].
    ///
    /// A delivery that is not flagged as redelivered is a new message, even if a caller uses an id twice. An unknown
    /// message that is flagged was delivered to another front end, or to this one before a restart. It may have run
    /// there, so only idempotent calls run; for other calls the former holders are asked if that is possible, otherwise
    /// the call fails. If the message was ceded to another member, only idempotent calls run.
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
        let ceded = matches!(entry, Some(Entry { known: MessageState::Ceded, .. }));
        if let Some(verdict) =
            entry.filter(|_| redelivered).and_then(|e| e.on_redelivery(self.resend_doubtful))
        {
            return verdict;
        }
        let can_inquire = self.inquiries_enabled && key.is_some() && now >= self.unknown_until;
        let verdict = match effect {
            Effect::Idempotent => Verdict::Run,
            _ if redelivered && can_inquire => Verdict::Inquire,
            _ if redelivered => Verdict::Fail,
            // The delivery was unread in the socket when another member was promised that no attempt is sent from here.
            _ if ceded => Verdict::Fail,
            _ => Verdict::Run,
        };
        if let (Some(key), Verdict::Run | Verdict::Inquire) = (key, &verdict) {
            self.insert(key, MessageState::Running(ticket), now);
        }
        verdict
    }

    /// Records that an unknown message is being answered `failed` under this number. The arrival of this answer may become
    /// unknown like that of any other, and it is not sent twice. A ceded message stays ceded.
    pub fn on_failing(&mut self, key: &Key, ticket: u64, now: Micros) {
        if !self.entries.contains_key(key) {
            self.insert(key, MessageState::Failing(ticket), now);
        }
    }

    /// Answers another member's inquiry about a message that was delivered to it. `intents` is the knowledge from this
    /// member's intents, which the caller has looked up before.
    ///
    /// After [`AttemptKnowledge::None`], a first delivery of the message is not run here while the entry is retained.
    pub fn answer_inquiry(&mut self, key: &Key, intents: AttemptKnowledge, now: Micros) -> AttemptKnowledge {
        self.expire(now);
        match self.entries.get(key).map(|e| &e.known) {
            Some(MessageState::Running(_) | MessageState::Answered(..)) => AttemptKnowledge::MayHaveRun,
            _ if intents != AttemptKnowledge::None => intents,
            Some(MessageState::Failing(_)) => AttemptKnowledge::NotKnown,
            _ if now < self.unknown_until => AttemptKnowledge::NotKnown,
            _ => {
                self.insert(key, MessageState::Ceded, now);
                AttemptKnowledge::None
            }
        }
    }

    fn insert(&mut self, key: &Key, known: MessageState<A>, now: Micros) {
        while self.entries.len() >= self.max_entries.max(1) {
            let Some(oldest) = self.creation_order.pop_front() else { break };
            self.evict(&oldest, now);
        }
        self.creation_order.push_back(Created { at: now, key: key.clone() });
        self.entries.insert(key.clone(), Entry { known, created_at: now });
    }

    fn expire(&mut self, now: Micros) {
        while self.creation_order.front().is_some_and(|created| now - created.at > self.retention) {
            let Some(oldest) = self.creation_order.pop_front() else { break };
            self.evict(&oldest, now);
        }
    }

    fn evict(&mut self, created: &Created, now: Micros) {
        if self.entries.get(&created.key).is_some_and(|entry| entry.created_at == created.at) {
            let removed = self.entries.remove(&created.key);
            if removed.is_some_and(|e| matches!(e.known, MessageState::Running(_))) {
                // The message's call may not have had its first attempt yet, so the intent log may hold no intent that
                // shows that the message is in progress here.
                self.unknown_until = now + self.retention;
            }
        }
    }

    /// Records the answer of a message's call; later states of the reply are reported by [`DeliveryCache::on_reply_state`].
    pub fn on_answer(&mut self, key: &Key, ticket: u64, answer: A, reply_state: ReplyState) {
        if let Some(entry) = self.entries.get_mut(key) {
            if matches!(entry.known, MessageState::Running(t) | MessageState::Failing(t) if t == ticket) {
                entry.known = MessageState::Answered(answer, reply_state);
            }
        }
    }

    /// Updates the state of a message's reply. A confirmed reply stays confirmed.
    pub fn on_reply_state(&mut self, key: &Key, new_state: ReplyState) {
        if let Some(Entry { known: MessageState::Answered(_, reply_state), .. }) = self.entries.get_mut(key) {
            if *reply_state != ReplyState::Confirmed {
                *reply_state = new_state;
            }
        }
    }
}
