//! A link's end of its member's marks: questions of its front go there, answers come back.

use super::Front;
use crate::clock::Clock;
use stagehoist_marks::{Done, Marks, Reply};
use std::rc::Rc;
use tokio::sync::mpsc;

/// The marks of this member, where there are any.
pub(super) struct Asks {
    marks: Option<(Marks, Reply)>,
    answers: mpsc::UnboundedReceiver<Done>,
    own: Rc<str>,
}

impl Asks {
    /// `own` is this member's name among those that the front asks.
    pub(super) fn new(marks: Option<Marks>, own: &str) -> Asks {
        let (reply, answers) = mpsc::unbounded_channel();
        Asks { marks: marks.map(|m| (m, reply)), answers, own: own.into() }
    }

    pub(super) fn are_on(&self) -> bool {
        self.marks.is_some()
    }

    /// Asks what the front wants to know. A member that can't be reached from here is known not to tell.
    pub(super) fn put(&self, front: &mut Front, clock: Clock) {
        for (ticket, identity, member) in front.take_questions() {
            let own = self.marks.as_ref().filter(|_| member == self.own);
            if !own.is_some_and(|(marks, reply)| marks.ask(ticket, identity, reply)) {
                front.told(ticket, &member, None, clock.now());
            }
        }
    }

    /// The next answer.
    pub(super) async fn next(&mut self) -> Done {
        match self.answers.recv().await {
            Some(done) => done,
            // Only where there are no marks.
            None => std::future::pending().await,
        }
    }

    pub(super) fn take(&self, done: Done, front: &mut Front, clock: Clock) {
        if let Done::Told(ticket, told) = done {
            front.told(ticket, &self.own, Some(told), clock.now());
        }
    }
}
