//! Messages delivered again of which nothing is known here: they wait while whoever may have held them is asked.

use super::*;
use stagehoist_recovery::inquiry::{AttemptKnowledge, Inquiries, InquiryLimits, Outcome};
use stagehoist_recovery::Identity;

/// A question to one who may have held a message: the number of the answer, the message, who is asked.
pub type Question = (Ticket, Identity, Rc<str>);

/// What a front with intents keeps.
pub(super) struct PendingInquiries {
    /// Who may have held a message that comes again: this member, by its intents, and others.
    members: Vec<Rc<str>>,
    inquiries: Inquiries<Rc<str>>,
    waiting: HashMap<Ticket, (Micros, Arrival)>,
    questions: Vec<Question>,
    /// This run is known to those who may be asked about it. Until then nothing is taken that is not idempotent:
    /// nobody could ask here what became of it.
    known: bool,
}

impl PendingInquiries {
    pub(super) fn due(&self) -> Option<Micros> {
        self.inquiries.next_deadline()
    }
}

impl Front {
    /// From now on attempts are recorded on disk, and messages delivered again of which nothing is known wait for the word of
    /// these members, this one's intents among them. Questions are to be asked from [`Front::take_questions`].
    pub fn set_inquiry(&mut self, members: Vec<Rc<str>>, patience: InquiryLimits) {
        self.memory.enable_inquiries(true);
        let inquiries = Inquiries::new(patience);
        let (waiting, questions) = (HashMap::new(), Vec::new());
        self.inquiries = Some(PendingInquiries { members, inquiries, waiting, questions, known: true });
    }

    /// Others are to be asked from now on.
    pub fn set_members(&mut self, members: Vec<Rc<str>>) {
        if let Some(asking) = self.inquiries.as_mut() {
            asking.members = members;
        }
    }

    /// Whether this run is known to others who may ask it.
    pub fn set_known(&mut self, known: bool) {
        if let Some(asking) = self.inquiries.as_mut() {
            asking.known = known;
        }
    }

    pub(super) fn is_unknown(&self) -> bool {
        self.inquiries.as_ref().is_some_and(|a| !a.known)
    }

    /// What a message that is asked about is known by.
    pub fn key_of(&self, ticket: Ticket) -> Option<&Key> {
        self.deliveries.get(&ticket)?.key.as_ref()
    }

    /// Another member asks; see [`DeliveryCache::answer_inquiry`].
    pub fn on_peer_inquiry(&mut self, key: &Key, marks: AttemptKnowledge, now: Micros) -> AttemptKnowledge {
        self.memory.answer_inquiry(key, marks, now)
    }

    /// Questions to be asked now; few and seldom, beside a restart none.
    pub fn take_questions(&mut self) -> Vec<Question> {
        self.inquiries.as_mut().map(|a| std::mem::take(&mut a.questions)).unwrap_or_default()
    }

    pub(super) fn inquire(&mut self, arrival: Arrival, now: Micros) {
        let ticket = arrival.ticket;
        let Some((asking, identity)) = self.inquiries.as_mut().zip(arrival.identity) else {
            return self.fail_unknown(ticket, now);
        };
        self.counters.inquired += 1;
        match asking.inquiries.start(ticket, identity, asking.members.clone(), arrival.budget, now) {
            Ok(()) => {
                let questions = asking.members.iter().map(|m| (ticket, identity, m.clone()));
                asking.questions.extend(questions);
                asking.waiting.insert(ticket, (now, arrival));
            }
            Err(why) => {
                tracing::info!(correlation = &*arrival.correlation, ?why, "not asked about");
                self.fail_unknown(ticket, now);
            }
        }
    }

    /// A member answered; None: it could not be asked.
    pub fn on_inquiry_answer(
        &mut self,
        ticket: Ticket,
        member: &Rc<str>,
        told: Option<AttemptKnowledge>,
        now: Micros,
    ) {
        let told = told.unwrap_or(AttemptKnowledge::NotKnown);
        let Some(asking) = self.inquiries.as_mut() else { return };
        match asking.inquiries.on_answer(ticket, member, told) {
            None => {}
            Some(Outcome::Fail) => {
                tracing::info!(ticket, ?told, member = &**member, "asked about; it may have run");
                self.fail_unknown(ticket, now);
            }
            Some(Outcome::Run) => {
                let Some((since, arrival)) = asking.waiting.remove(&ticket) else { return };
                self.counters.run_by_intents += 1;
                tracing::info!(ticket, waited_us = now - since, "asked about; it runs");
                // What it waited is gone from its time, which runs from here on.
                let budget = arrival.budget - (now - since);
                self.arrivals.push(Arrival { budget, read_at: now, ..arrival });
            }
        }
    }

    /// Questions whose time is over.
    pub(super) fn expire_inquiries(&mut self, now: Micros) {
        let over = self.inquiries.as_mut().map(|a| a.inquiries.take_expired(now)).unwrap_or_default();
        for ticket in over {
            tracing::info!(ticket, "asked about; not all have said in time");
            self.fail_unknown(ticket, now);
        }
    }

    pub(super) fn fail_unknown(&mut self, ticket: Ticket, now: Micros) {
        if let Some(asking) = self.inquiries.as_mut() {
            asking.waiting.remove(&ticket);
        }
        self.counters.failed_unknown += 1;
        self.answer(ticket, Answer::Failed { reason: "delivered-before" }, now);
    }
}
