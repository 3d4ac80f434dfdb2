//! A link's end of intents: questions of its front go to this member's store and to others, answers come back; and others'
//! questions are answered from store and front.

use super::front::Question;
use super::Front;
use crate::clock::Clock;
use crate::fleet::PeerInquiry;
use crate::state::Ticket;
use stagehoist_cluster_state::inquiry::{MAX_KEYS, MAX_OPEN_INQUIRIES};
use stagehoist_cluster_state::{InquiryEvent, InquiryMessage, Member, MessageKey, MessageKnowledge};
use stagehoist_intent_log::{EventSender, IntentLog, LastRun, LogEvent};
use stagehoist_recovery::inquiry::{AttemptKnowledge, InquiryLimits};
use stagehoist_recovery::Key;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;

/// This member and all others, among those that the front asks.
const LOCAL_STORE: &str = "own";
const PEERS: &str = "others";
/// Numbers of questions to the store that others asked; the front's own are below.
const FOREIGN: u64 = 1 << 63;

/// A front end's intents, and its way to the others' where there are others.
pub struct InquirySettings {
    pub intent_log: IntentLog,
    pub peers: Option<PeerInquiry>,
}

/// Another member's question, while the store looks.
struct PeerQuestion {
    from: Member,
    number: u64,
    keys: Vec<Key>,
    known: Vec<Option<MessageKnowledge>>,
}

pub(super) enum InquiryInput {
    Log(LogEvent),
    Inquiry(InquiryEvent),
}

/// The intents of this member, where there are any.
pub(super) struct Inquiries {
    log: Option<(IntentLog, EventSender)>,
    answers: mpsc::UnboundedReceiver<LogEvent>,
    peers: Option<PeerInquiry>,
    names: (Rc<str>, Rc<str>),
    /// Questions to others by number, with the calls that wait.
    local: BTreeMap<u64, Vec<Ticket>>,
    of_peers: BTreeMap<u64, PeerQuestion>,
    next: u64,
}

impl Inquiries {
    /// Turns the front's questions on, where there are intents.
    pub(super) fn new(marking: Option<InquirySettings>, front: &mut Front) -> Inquiries {
        let (reply, answers) = mpsc::unbounded_channel();
        let (marks, others) = marking.map_or((None, None), |m| (Some((m.intent_log, reply)), m.peers));
        let names: (Rc<str>, Rc<str>) = (LOCAL_STORE.into(), PEERS.into());
        if marks.is_some() {
            let members = [Some(names.0.clone()), others.as_ref().map(|_| names.1.clone())];
            front.set_inquiry(members.into_iter().flatten().collect(), InquiryLimits::default());
            front.set_known(others.is_none());
        }
        let (out, asked) = (BTreeMap::new(), BTreeMap::new());
        Inquiries { log: marks, answers, peers: others, names, local: out, of_peers: asked, next: 0 }
    }

    pub(super) fn are_on(&self) -> bool {
        self.log.is_some()
    }

    /// Asks what the front wants to know. One that can't be reached from here is known not to tell.
    pub(super) fn put(&mut self, front: &mut Front, clock: Clock) {
        while let Some(heard) = self.peers.as_mut().and_then(|o| o.events.try_recv().ok()) {
            self.on_inquiry_event(heard, front, clock);
        }
        let (own, others): (Vec<Question>, Vec<Question>) =
            front.take_questions().into_iter().partition(|q| q.2 == self.names.0);
        for (ticket, identity, member) in own {
            if !self.log.as_ref().is_some_and(|(marks, reply)| marks.query(ticket, identity, reply)) {
                front.on_inquiry_answer(ticket, &member, None, clock.now());
            }
        }
        for part in others.chunks(MAX_KEYS) {
            let tickets: Vec<Ticket> = part.iter().map(|q| q.0).collect();
            let keys: Vec<MessageKey> =
                tickets.iter().filter_map(|t| front.key_of(*t)).map(message).collect();
            self.next += 1;
            let said = InquiryMessage::Inquire { number: self.next, keys };
            let whole = matches!(&said, InquiryMessage::Inquire { keys, .. } if keys.len() == tickets.len());
            if !whole || self.peers.as_ref().is_none_or(|o| o.requests.try_send(said).is_err()) {
                let name = self.names.1.clone();
                tickets.iter().for_each(|t| front.on_inquiry_answer(*t, &name, None, clock.now()));
                continue;
            }
            self.local.insert(self.next, tickets);
            while self.local.len() > MAX_OPEN_INQUIRIES {
                // Nobody answers so late.
                self.local.pop_first();
            }
        }
    }

    /// The next word.
    pub(super) async fn next(&mut self) -> InquiryInput {
        let heard = async {
            match self.peers.as_mut() {
                Some(others) => others.events.recv().await,
                None => None,
            }
        };
        tokio::select! {
            // Only where there are no intents nothing can come.
            Some(done) = self.answers.recv() => InquiryInput::Log(done),
            Some(heard) = heard => InquiryInput::Inquiry(heard),
            else => std::future::pending().await,
        }
    }

    pub(super) fn take(&mut self, came: InquiryInput, front: &mut Front, clock: Clock) {
        match came {
            InquiryInput::Inquiry(heard) => self.on_inquiry_event(heard, front, clock),
            InquiryInput::Log(LogEvent::Recorded(..)) => {}
            InquiryInput::Log(LogEvent::Answered(number, convert_knowledge)) if number >= FOREIGN => {
                let (id, at) = split(number);
                self.on_local_answer(id, at, convert_knowledge, front, clock);
            }
            InquiryInput::Log(LogEvent::Answered(ticket, convert_knowledge)) => {
                let own = self.names.0.clone();
                front.on_inquiry_answer(ticket, &own, Some(convert_knowledge), clock.now());
            }
        }
    }

    fn on_inquiry_event(&mut self, heard: InquiryEvent, front: &mut Front, clock: Clock) {
        let Some((marks, reply)) = self.log.as_ref() else { return };
        match heard {
            InquiryEvent::Joined { run, before } => {
                // No report tells commits: a store that was set back within the last run is not noticed.
                let witness = before.map(|run| LastRun { run, commits: 0 });
                if marks.begin(run, witness) {
                    front.set_known(true);
                } else {
                    tracing::error!(run, "the intent log can't begin this run");
                }
            }
            InquiryEvent::Inquired { from, number, keys } => {
                if keys.len() > MAX_KEYS || self.of_peers.len() >= MAX_OPEN_INQUIRIES {
                    return;
                }
                self.next += 1;
                let id = self.next;
                let keys: Vec<Key> = keys.into_iter().filter_map(key).collect();
                let known = vec![None; keys.len()];
                for (at, key) in keys.iter().enumerate() {
                    if !marks.query(joined(id, at), key.identity(), reply) {
                        // What can't be asked is left out, and whoever asked times out.
                        return;
                    }
                }
                self.of_peers.insert(id, PeerQuestion { from, number, keys, known });
            }
            InquiryEvent::Answered { number, known } => {
                let Some(tickets) = self.local.get(&number).cloned() else { return };
                if known.iter().all(Option::is_some) {
                    self.local.remove(&number);
                }
                for (ticket, known) in tickets.into_iter().zip(known) {
                    if let Some(known) = known {
                        let name = self.names.1.clone();
                        front.on_inquiry_answer(ticket, &name, Some(convert_knowledge(known)), clock.now());
                    }
                }
            }
        }
    }

    /// The store looked for one message of another's question.
    fn on_local_answer(
        &mut self,
        id: u64,
        at: usize,
        marks: AttemptKnowledge,
        front: &mut Front,
        clock: Clock,
    ) {
        let Some(asked) = self.of_peers.get_mut(&id) else { return };
        let (Some(key), Some(place)) = (asked.keys.get(at), asked.known.get_mut(at)) else { return };
        *place = Some(match front.on_peer_inquiry(key, marks, clock.now()) {
            AttemptKnowledge::None => MessageKnowledge::None,
            AttemptKnowledge::MayHaveRun => MessageKnowledge::MayHaveRun,
            AttemptKnowledge::NotKnown => MessageKnowledge::NotKnown,
        });
        let Some(known) = asked.known.iter().copied().collect::<Option<Vec<MessageKnowledge>>>() else {
            return;
        };
        if let (Some(asked), Some(others)) = (self.of_peers.remove(&id), self.peers.as_ref()) {
            // What finds no room is asked again.
            let _ = others.requests.try_send(InquiryMessage::Answer {
                to: asked.from,
                number: asked.number,
                known,
            });
        }
    }
}

fn joined(id: u64, at: usize) -> u64 {
    FOREIGN | (id * MAX_KEYS as u64 + at as u64)
}

fn split(number: u64) -> (u64, usize) {
    let number = number & !FOREIGN;
    (number / MAX_KEYS as u64, (number % MAX_KEYS as u64) as usize)
}

fn message(key: &Key) -> MessageKey {
    MessageKey {
        reply_to: key.reply_to.clone(),
        correlation: key.correlation.clone(),
        message: key.message.clone(),
    }
}

fn key(message: MessageKey) -> Option<Key> {
    Key::new(&message.reply_to, &message.correlation, &message.message)
}

fn convert_knowledge(known: MessageKnowledge) -> AttemptKnowledge {
    match known {
        MessageKnowledge::None => AttemptKnowledge::None,
        MessageKnowledge::MayHaveRun => AttemptKnowledge::MayHaveRun,
        MessageKnowledge::NotKnown => AttemptKnowledge::NotKnown,
    }
}
