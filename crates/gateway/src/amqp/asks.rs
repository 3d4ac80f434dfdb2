//! A link's end of marks: questions of its front go to this member's store and to others, answers come back; and others'
//! questions are answered from store and front.

use super::front::Question;
use super::Front;
use crate::clock::Clock;
use crate::fleet::Others;
use crate::state::Ticket;
use stagehoist_cluster_state::marks::{KEYS_MOST, OPEN_MOST};
use stagehoist_cluster_state::{Heard, Known, Member, MessageKey, Said};
use stagehoist_intent_log::{Done, Marks, Reply, Witness};
use stagehoist_recovery::inquiry::{Patience, Told};
use stagehoist_recovery::Key;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;

/// This member and all others, among those that the front asks.
const OWN: &str = "own";
const OTHERS: &str = "others";
/// Numbers of questions to the store that others asked; the front's own are below.
const FOREIGN: u64 = 1 << 63;

/// A front end's marks, and its way to the others' where there are others.
pub struct Marking {
    pub marks: Marks,
    pub others: Option<Others>,
}

/// Another member's question, while the store looks.
struct Asked {
    from: Member,
    number: u64,
    keys: Vec<Key>,
    known: Vec<Option<Known>>,
}

pub(super) enum Came {
    Store(Done),
    Heard(Heard),
}

/// The marks of this member, where there are any.
pub(super) struct Asks {
    marks: Option<(Marks, Reply)>,
    answers: mpsc::UnboundedReceiver<Done>,
    others: Option<Others>,
    names: (Rc<str>, Rc<str>),
    /// Questions to others by number, with the calls that wait.
    out: BTreeMap<u64, Vec<Ticket>>,
    asked: BTreeMap<u64, Asked>,
    next: u64,
}

impl Asks {
    /// Turns the front's questions on, where there are marks.
    pub(super) fn new(marking: Option<Marking>, front: &mut Front) -> Asks {
        let (reply, answers) = mpsc::unbounded_channel();
        let (marks, others) = marking.map_or((None, None), |m| (Some((m.marks, reply)), m.others));
        let names: (Rc<str>, Rc<str>) = (OWN.into(), OTHERS.into());
        if marks.is_some() {
            let members = [Some(names.0.clone()), others.as_ref().map(|_| names.1.clone())];
            front.ask(members.into_iter().flatten().collect(), Patience::default());
            front.known(others.is_none());
        }
        let (out, asked) = (BTreeMap::new(), BTreeMap::new());
        Asks { marks, answers, others, names, out, asked, next: 0 }
    }

    pub(super) fn are_on(&self) -> bool {
        self.marks.is_some()
    }

    /// Asks what the front wants to know. One that can't be reached from here is known not to tell.
    pub(super) fn put(&mut self, front: &mut Front, clock: Clock) {
        while let Some(heard) = self.others.as_mut().and_then(|o| o.heard.try_recv().ok()) {
            self.hear(heard, front, clock);
        }
        let (own, others): (Vec<Question>, Vec<Question>) =
            front.take_questions().into_iter().partition(|q| q.2 == self.names.0);
        for (ticket, identity, member) in own {
            if !self.marks.as_ref().is_some_and(|(marks, reply)| marks.ask(ticket, identity, reply)) {
                front.told(ticket, &member, None, clock.now());
            }
        }
        for part in others.chunks(KEYS_MOST) {
            let tickets: Vec<Ticket> = part.iter().map(|q| q.0).collect();
            let keys: Vec<MessageKey> =
                tickets.iter().filter_map(|t| front.key_of(*t)).map(message).collect();
            self.next += 1;
            let said = Said::Ask { number: self.next, keys };
            let whole = matches!(&said, Said::Ask { keys, .. } if keys.len() == tickets.len());
            if !whole || self.others.as_ref().is_none_or(|o| o.said.try_send(said).is_err()) {
                let name = self.names.1.clone();
                tickets.iter().for_each(|t| front.told(*t, &name, None, clock.now()));
                continue;
            }
            self.out.insert(self.next, tickets);
            while self.out.len() > OPEN_MOST {
                // Nobody answers so late.
                self.out.pop_first();
            }
        }
    }

    /// The next word.
    pub(super) async fn next(&mut self) -> Came {
        let heard = async {
            match self.others.as_mut() {
                Some(others) => others.heard.recv().await,
                None => None,
            }
        };
        tokio::select! {
            // Only where there are no marks nothing can come.
            Some(done) = self.answers.recv() => Came::Store(done),
            Some(heard) = heard => Came::Heard(heard),
            else => std::future::pending().await,
        }
    }

    pub(super) fn take(&mut self, came: Came, front: &mut Front, clock: Clock) {
        match came {
            Came::Heard(heard) => self.hear(heard, front, clock),
            Came::Store(Done::Marked(..)) => {}
            Came::Store(Done::Told(number, told)) if number >= FOREIGN => {
                let (id, at) = split(number);
                self.looked(id, at, told, front, clock);
            }
            Came::Store(Done::Told(ticket, told)) => {
                let own = self.names.0.clone();
                front.told(ticket, &own, Some(told), clock.now());
            }
        }
    }

    fn hear(&mut self, heard: Heard, front: &mut Front, clock: Clock) {
        let Some((marks, reply)) = self.marks.as_ref() else { return };
        match heard {
            Heard::Joined { run, before } => {
                // No report tells commits: a store that was set back within the last run is not noticed.
                let witness = before.map(|run| Witness { run, commits: 0 });
                if marks.begin(run, witness) {
                    front.known(true);
                } else {
                    tracing::error!(run, "marks can't begin this run");
                }
            }
            Heard::Asked { from, number, keys } => {
                if keys.len() > KEYS_MOST || self.asked.len() >= OPEN_MOST {
                    return;
                }
                self.next += 1;
                let id = self.next;
                let keys: Vec<Key> = keys.into_iter().filter_map(key).collect();
                let known = vec![None; keys.len()];
                for (at, key) in keys.iter().enumerate() {
                    if !marks.ask(joined(id, at), key.identity(), reply) {
                        // What can't be asked is left out, and whoever asked gives up.
                        return;
                    }
                }
                self.asked.insert(id, Asked { from, number, keys, known });
            }
            Heard::Told { number, known } => {
                let Some(tickets) = self.out.get(&number).cloned() else { return };
                if known.iter().all(Option::is_some) {
                    self.out.remove(&number);
                }
                for (ticket, known) in tickets.into_iter().zip(known) {
                    if let Some(known) = known {
                        let name = self.names.1.clone();
                        front.told(ticket, &name, Some(told(known)), clock.now());
                    }
                }
            }
        }
    }

    /// The store looked for one message of another's question.
    fn looked(&mut self, id: u64, at: usize, marks: Told, front: &mut Front, clock: Clock) {
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let (Some(key), Some(place)) = (asked.keys.get(at), asked.known.get_mut(at)) else { return };
        *place = Some(match front.asked(key, marks, clock.now()) {
            Told::None => Known::None,
            Told::MayHaveRun => Known::MayHaveRun,
            Told::NotKnown => Known::NotKnown,
        });
        let Some(known) = asked.known.iter().copied().collect::<Option<Vec<Known>>>() else { return };
        if let (Some(asked), Some(others)) = (self.asked.remove(&id), self.others.as_ref()) {
            // What finds no room is asked again.
            let _ = others.said.try_send(Said::Answer { to: asked.from, number: asked.number, known });
        }
    }
}

fn joined(id: u64, at: usize) -> u64 {
    FOREIGN | (id * KEYS_MOST as u64 + at as u64)
}

fn split(number: u64) -> (u64, usize) {
    let number = number & !FOREIGN;
    (number / KEYS_MOST as u64, (number % KEYS_MOST as u64) as usize)
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

fn told(known: Known) -> Told {
    match known {
        Known::None => Told::None,
        Known::MayHaveRun => Told::MayHaveRun,
        Known::NotKnown => Told::NotKnown,
    }
}
