//! Routes inquiries about redelivered messages for one link: questions of its front go to the local intent log and to
//! peers, and questions of peers are answered from the intent log and the front.

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

/// Names under which the front asks the local intent log and all peers together.
const LOCAL_LOG: &str = "own";
const PEERS: &str = "others";
/// Set in the numbers of intent log queries that peers asked for; numbers of the front's own queries are below it.
const PEER_QUERY_BIT: u64 = 1 << 63;

/// The intent log of a front end, and its connection to its peers if it has any.
pub struct InquirySettings {
    pub intent_log: IntentLog,
    pub peers: Option<PeerInquiry>,
}

/// A peer's inquiry whose keys are being looked up in the intent log.
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

/// The inquiries of this front end; inactive without an intent log.
pub(super) struct Inquiries {
    log: Option<(IntentLog, EventSender)>,
    log_events: mpsc::UnboundedReceiver<LogEvent>,
    peers: Option<PeerInquiry>,
    member_names: (Rc<str>, Rc<str>),
    /// Inquiries sent to peers, by number, with the calls that wait for the answer.
    local: BTreeMap<u64, Vec<Ticket>>,
    of_peers: BTreeMap<u64, PeerQuestion>,
    next: u64,
}

impl Inquiries {
    /// Enables the front's inquiries if there is an intent log.
    pub(super) fn new(settings: Option<InquirySettings>, front: &mut Front) -> Inquiries {
        let (reply, log_events) = mpsc::unbounded_channel();
        let (intents, peer_inquiry) =
            settings.map_or((None, None), |s| (Some((s.intent_log, reply)), s.peers));
        let member_names: (Rc<str>, Rc<str>) = (LOCAL_LOG.into(), PEERS.into());
        if intents.is_some() {
            let members =
                [Some(member_names.0.clone()), peer_inquiry.as_ref().map(|_| member_names.1.clone())];
            front.set_inquiry(members.into_iter().flatten().collect(), InquiryLimits::default());
            front.set_known(peer_inquiry.is_none());
        }
        let (local_inquiries, peer_questions) = (BTreeMap::new(), BTreeMap::new());
        Inquiries {
            log: intents,
            log_events,
            peers: peer_inquiry,
            member_names,
            local: local_inquiries,
            of_peers: peer_questions,
            next: 0,
        }
    }

    pub(super) fn are_on(&self) -> bool {
        self.log.is_some()
    }

    /// Sends the front's questions. A member that can't be reached is reported to the front as unable to answer.
    pub(super) fn send_questions(&mut self, front: &mut Front, clock: Clock) {
        while let Some(event) = self.peers.as_mut().and_then(|o| o.events.try_recv().ok()) {
            self.on_inquiry_event(event, front, clock);
        }
        let (local, remote): (Vec<Question>, Vec<Question>) =
            front.take_questions().into_iter().partition(|q| q.2 == self.member_names.0);
        for (ticket, identity, member) in local {
            if !self.log.as_ref().is_some_and(|(intents, reply)| intents.query(ticket, identity, reply)) {
                front.on_inquiry_answer(ticket, &member, None, clock.now());
            }
        }
        for chunk in remote.chunks(MAX_KEYS) {
            let tickets: Vec<Ticket> = chunk.iter().map(|q| q.0).collect();
            let keys: Vec<MessageKey> =
                tickets.iter().filter_map(|t| front.key_of(*t)).map(message_key).collect();
            self.next += 1;
            let inquiry = InquiryMessage::Inquire { number: self.next, keys };
            let is_complete =
                matches!(&inquiry, InquiryMessage::Inquire { keys, .. } if keys.len() == tickets.len());
            if !is_complete || self.peers.as_ref().is_none_or(|o| o.requests.try_send(inquiry).is_err()) {
                let name = self.member_names.1.clone();
                tickets.iter().for_each(|t| front.on_inquiry_answer(*t, &name, None, clock.now()));
                continue;
            }
            self.local.insert(self.next, tickets);
            while self.local.len() > MAX_OPEN_INQUIRIES {
                // The oldest inquiries have timed out: no answer is expected for them any more.
                self.local.pop_first();
            }
        }
    }

    /// Waits for the next event of the intent log or of the peers.
    pub(super) async fn next(&mut self) -> InquiryInput {
        let event = async {
            match self.peers.as_mut() {
                Some(peers) => peers.events.recv().await,
                None => None,
            }
        };
        tokio::select! {
            // Without an intent log its sender is dropped and this branch is disabled.
            Some(log_event) = self.log_events.recv() => InquiryInput::Log(log_event),
            Some(event) = event => InquiryInput::Inquiry(event),
            else => std::future::pending().await,
        }
    }

    pub(super) fn on_input(&mut self, input: InquiryInput, front: &mut Front, clock: Clock) {
        match input {
            InquiryInput::Inquiry(event) => self.on_inquiry_event(event, front, clock),
            InquiryInput::Log(LogEvent::Recorded(..)) => {}
            InquiryInput::Log(LogEvent::Answered(number, knowledge)) if number >= PEER_QUERY_BIT => {
                let (id, index) = split_peer_query(number);
                self.on_log_answer(id, index, knowledge, front, clock);
            }
            InquiryInput::Log(LogEvent::Answered(ticket, knowledge)) => {
                let local = self.member_names.0.clone();
                front.on_inquiry_answer(ticket, &local, Some(knowledge), clock.now());
            }
        }
    }

    fn on_inquiry_event(&mut self, event: InquiryEvent, front: &mut Front, clock: Clock) {
        let Some((intents, reply)) = self.log.as_ref() else { return };
        match event {
            InquiryEvent::Joined { run, before } => {
                // The number of commits is not reported, so an intent log that was reset to an earlier state within
                // the last run is not detected.
                let witness = before.map(|run| LastRun { run, commits: 0 });
                if intents.begin(run, witness) {
                    front.set_known(true);
                } else {
                    tracing::error!(run, "intent log did not accept the new run");
                }
            }
            InquiryEvent::Inquired { from, number, keys } => {
                if keys.len() > MAX_KEYS || self.of_peers.len() >= MAX_OPEN_INQUIRIES {
                    return;
                }
                self.next += 1;
                let id = self.next;
                let keys: Vec<Key> = keys.into_iter().filter_map(log_key).collect();
                let known = vec![None; keys.len()];
                for (index, key) in keys.iter().enumerate() {
                    if !intents.query(peer_query_number(id, index), key.identity(), reply) {
                        // Without a complete lookup no answer is sent, and the asking peer's inquiry times out.
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
                        let name = self.member_names.1.clone();
                        front.on_inquiry_answer(ticket, &name, Some(convert_knowledge(known)), clock.now());
                    }
                }
            }
        }
    }

    /// Handles the intent log's result for one key of a peer's inquiry.
    fn on_log_answer(
        &mut self,
        id: u64,
        i: usize,
        intents: AttemptKnowledge,
        front: &mut Front,
        clock: Clock,
    ) {
        let Some(query) = self.of_peers.get_mut(&id) else { return };
        let (Some(key), Some(slot)) = (query.keys.get(i), query.known.get_mut(i)) else { return };
        *slot = Some(match front.on_peer_inquiry(key, intents, clock.now()) {
            AttemptKnowledge::None => MessageKnowledge::None,
            AttemptKnowledge::MayHaveRun => MessageKnowledge::MayHaveRun,
            AttemptKnowledge::NotKnown => MessageKnowledge::NotKnown,
        });
        let Some(known) = query.known.iter().copied().collect::<Option<Vec<MessageKnowledge>>>() else {
            return;
        };
        if let (Some(query), Some(peers)) = (self.of_peers.remove(&id), self.peers.as_ref()) {
            // If the channel is full, the answer is dropped and the peer asks again.
            let _ = peers.requests.try_send(InquiryMessage::Answer {
                to: query.from,
                number: query.number,
                known,
            });
        }
    }
}

fn peer_query_number(id: u64, index: usize) -> u64 {
    PEER_QUERY_BIT | (id * MAX_KEYS as u64 + index as u64)
}

fn split_peer_query(number: u64) -> (u64, usize) {
    let number = number & !PEER_QUERY_BIT;
    (number / MAX_KEYS as u64, (number % MAX_KEYS as u64) as usize)
}

fn message_key(key: &Key) -> MessageKey {
    MessageKey {
        reply_to: key.reply_to.clone(),
        correlation: key.correlation.clone(),
        message: key.message.clone(),
    }
}

fn log_key(message: MessageKey) -> Option<Key> {
    Key::new(&message.reply_to, &message.correlation, &message.message)
}

fn convert_knowledge(known: MessageKnowledge) -> AttemptKnowledge {
    match known {
        MessageKnowledge::None => AttemptKnowledge::None,
        MessageKnowledge::MayHaveRun => AttemptKnowledge::MayHaveRun,
        MessageKnowledge::NotKnown => AttemptKnowledge::NotKnown,
    }
}
