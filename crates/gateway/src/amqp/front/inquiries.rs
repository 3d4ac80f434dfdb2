//! Redelivered messages that are unknown here: they wait while the members that may have received them before are
//! asked.

use super::*;
use stagehoist_recovery::inquiry::{AttemptKnowledge, Inquiries, InquiryLimits, Outcome};
use stagehoist_recovery::Identity;

/// A question to a member that may have received a message: the ticket for the answer, the message's identity, and
/// the member.
pub type Question = (Ticket, Identity, Rc<str>);

/// The inquiry state of a front that records intents.
pub(super) struct PendingInquiries {
    /// Members that may have received a redelivered message before: this front end, by its intent log, and others.
    members: Vec<Rc<str>>,
    inquiries: Inquiries<Rc<str>>,
    waiting: HashMap<Ticket, (Micros, Arrival)>,
    questions: Vec<Question>,
    /// Whether this run is known to the members that may be asked about it. While it is unknown to them,
    /// non-idempotent calls are refused, because nobody could find out later what became of these calls.
    known: bool,
}

impl PendingInquiries {
    pub(super) fn due(&self) -> Option<Micros> {
        self.inquiries.next_deadline()
    }
}

impl Front {
    /// Enables inquiries: attempts are recorded on disk, and redelivered messages that are unknown here wait for the
    /// answers of these members, which include this front end's own intent log. Questions are returned by
    /// [`Front::take_questions`].
    pub fn set_inquiry(&mut self, members: Vec<Rc<str>>, patience: InquiryLimits) {
        self.memory.enable_inquiries(true);
        let inquiries = Inquiries::new(patience);
        let (waiting, questions) = (HashMap::new(), Vec::new());
        self.inquiries = Some(PendingInquiries { members, inquiries, waiting, questions, known: true });
    }

    /// Replaces the members to be asked.
    pub fn set_members(&mut self, members: Vec<Rc<str>>) {
        if let Some(pending) = self.inquiries.as_mut() {
            pending.members = members;
        }
    }

    /// Sets whether the members that may be asked about this run know it.
    pub fn set_known(&mut self, known: bool) {
        if let Some(pending) = self.inquiries.as_mut() {
            pending.known = known;
        }
    }

    pub(super) fn is_unknown(&self) -> bool {
        self.inquiries.as_ref().is_some_and(|a| !a.known)
    }

    /// Returns the key of a message that an inquiry is about.
    pub fn key_of(&self, ticket: Ticket) -> Option<&Key> {
        self.deliveries.get(&ticket)?.key.as_ref()
    }

    /// Answers another member's question; see [`DeliveryCache::answer_inquiry`].
    pub fn on_peer_inquiry(&mut self, key: &Key, marks: AttemptKnowledge, now: Micros) -> AttemptKnowledge {
        self.memory.answer_inquiry(key, marks, now)
    }

    /// Returns the questions to be sent now. There are few, and only after a restart of some front end.
    pub fn take_questions(&mut self) -> Vec<Question> {
        self.inquiries.as_mut().map(|a| std::mem::take(&mut a.questions)).unwrap_or_default()
    }

    pub(super) fn inquire(&mut self, arrival: Arrival, now: Micros) {
        let ticket = arrival.ticket;
        let Some((pending, identity)) = self.inquiries.as_mut().zip(arrival.identity) else {
            return self.fail_unknown(ticket, now);
        };
        self.counters.inquired += 1;
        match pending.inquiries.start(ticket, identity, pending.members.clone(), arrival.budget, now) {
            Ok(()) => {
                let questions = pending.members.iter().map(|m| (ticket, identity, m.clone()));
                pending.questions.extend(questions);
                pending.waiting.insert(ticket, (now, arrival));
            }
            Err(why) => {
                tracing::info!(
                    correlation = &*arrival.correlation,
                    ?why,
                    "redelivered message failed: members can't be asked about it"
                );
                self.fail_unknown(ticket, now);
            }
        }
    }

    /// Handles a member's answer; `None` if the member could not be asked.
    pub fn on_inquiry_answer(
        &mut self,
        ticket: Ticket,
        member: &Rc<str>,
        told: Option<AttemptKnowledge>,
        now: Micros,
    ) {
        let told = told.unwrap_or(AttemptKnowledge::NotKnown);
        let Some(pending) = self.inquiries.as_mut() else { return };
        match pending.inquiries.on_answer(ticket, member, told) {
            None => {}
            Some(Outcome::Fail) => {
                tracing::info!(
                    ticket,
                    ?told,
                    member = &**member,
                    "redelivered message failed: its call may have run"
                );
                self.fail_unknown(ticket, now);
            }
            Some(Outcome::Run) => {
                let Some((since, arrival)) = pending.waiting.remove(&ticket) else { return };
                self.counters.run_by_intents += 1;
                tracing::info!(
                    ticket,
                    waited_us = now - since,
                    "redelivered message accepted: no member has sent an attempt for it"
                );
                // The time spent waiting is deducted from its budget, which counts from now on.
                let budget = arrival.budget - (now - since);
                self.arrivals.push(Arrival { budget, read_at: now, ..arrival });
            }
        }
    }

    /// Fails the calls whose inquiries have timed out.
    pub(super) fn expire_inquiries(&mut self, now: Micros) {
        let expired = self.inquiries.as_mut().map(|a| a.inquiries.take_expired(now)).unwrap_or_default();
        for ticket in expired {
            tracing::info!(ticket, "redelivered message failed: not all members answered in time");
            self.fail_unknown(ticket, now);
        }
    }

    pub(super) fn fail_unknown(&mut self, ticket: Ticket, now: Micros) {
        if let Some(pending) = self.inquiries.as_mut() {
            pending.waiting.remove(&ticket);
        }
        self.counters.failed_unknown += 1;
        self.answer(ticket, Answer::Failed { reason: "delivered-before" }, now);
    }
}
