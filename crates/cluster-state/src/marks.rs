//! What front ends ask each other about messages that are delivered again, by way of the keeper that leads.

use crate::{Member, Micros, ToKeeper};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Messages in one question, and questions of one front end that are open at a time.
pub const KEYS_MOST: usize = 256;
pub const OPEN_MOST: usize = 64;
/// How often those who have not answered are asked again: they may be about to join.
const AGAIN: Micros = 100_000;
/// A leader's word of who is to be asked counts if it comes so soon after the question. With the time that a leader trusts
/// its majority ([`crate::Terms::quorum`], 250 ms at least) it ends before another leader can be elected (400 ms).
const FRESH: Micros = 100_000;
/// Whoever asks has given up by then.
const LONGEST: Micros = 5_000_000;

/// What a message is known by, as its caller wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageKey {
    pub reply_to: String,
    pub correlation: String,
    pub message: String,
}

/// What a front end knows of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Known {
    /// No attempt left, and none will.
    None,
    /// An attempt may have left, or may leave.
    MayHaveRun,
    NotKnown,
}

/// From a front end to its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// Numbers count up in a run.
    Ask {
        number: u64,
        keys: Vec<MessageKey>,
    },
    Answer {
        to: Member,
        number: u64,
        known: Vec<Known>,
    },
}

/// From a session to its front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The number of this run, and of the last run under its name where the record knew one before.
    Joined { run: u64, before: Option<u64> },
    /// Another front end asks.
    Asked { from: Member, number: u64, keys: Vec<MessageKey> },
    /// What all others together know, for each message; None: some are still to say.
    Told { number: u64, known: Vec<Option<Known>> },
}

struct Open {
    keys: Vec<MessageKey>,
    since: Micros,
    asked: Micros,
    turn: u32,
    /// Who is to say, once the leader told it.
    of: Option<BTreeSet<String>>,
    heard: BTreeSet<String>,
    known: Vec<Known>,
}

/// A front end's open questions. Nobody is left out: each name that the record holds has to say, so that one which is not
/// connected leaves the question open until whoever asked gives up.
#[derive(Default)]
pub struct Rounds {
    open: BTreeMap<u64, Open>,
}

impl Rounds {
    /// False: too many are open, or it asks for too much.
    pub fn ask(&mut self, number: u64, keys: Vec<MessageKey>, now: Micros) -> bool {
        self.open.retain(|_, o| now - o.since < LONGEST);
        if self.open.len() >= OPEN_MOST || keys.is_empty() || keys.len() > KEYS_MOST {
            return false;
        }
        let known = vec![Known::None; keys.len()];
        let (of, heard, asked) = (None, BTreeSet::new(), Micros::MIN / 2);
        self.open.insert(number, Open { keys, since: now, asked, turn: 0, of, heard, known });
        true
    }

    /// When [`Rounds::next`] has something.
    pub fn due(&self) -> Option<Micros> {
        self.open.values().map(|o| o.asked + AGAIN).min()
    }

    /// The next question to send.
    pub fn next(&mut self, now: Micros) -> Option<ToKeeper> {
        self.open.retain(|_, o| now - o.since < LONGEST);
        let (number, open) = self.open.iter_mut().find(|(_, o)| now >= o.asked + AGAIN)?;
        (open.asked, open.turn) = (now, open.turn + 1);
        let told = open.of.iter().flatten().filter(|name| !open.heard.contains(*name));
        let to = told.cloned().collect();
        Some(ToKeeper::Ask { number: *number, turn: open.turn, to, keys: open.keys.clone() })
    }

    /// The leader tells who has to say.
    pub fn of(&mut self, number: u64, turn: u32, names: Vec<String>, now: Micros) -> Option<Heard> {
        let open = self.open.get_mut(&number)?;
        if turn == open.turn && now - open.asked <= FRESH {
            open.of.get_or_insert_with(|| names.into_iter().collect());
        }
        self.settle(number)
    }

    /// One of them said.
    pub fn told(&mut self, number: u64, from: String, known: &[Known]) -> Option<Heard> {
        let open = self.open.get_mut(&number)?;
        for (at, mine) in open.known.iter_mut().enumerate() {
            match known.get(at) {
                Some(Known::None) => {}
                other if *mine == Known::None => *mine = other.copied().unwrap_or(Known::NotKnown),
                _ => {}
            }
        }
        open.heard.insert(from);
        self.settle(number)
    }

    fn settle(&mut self, number: u64) -> Option<Heard> {
        let open = self.open.get(&number)?;
        let whole = open.of.as_ref().is_some_and(|of| of.is_subset(&open.heard));
        let told = |k: &Known| (whole || *k != Known::None).then_some(*k);
        let known: Vec<Option<Known>> = open.known.iter().map(told).collect();
        if whole || known.iter().all(Option::is_some) {
            self.open.remove(&number);
        }
        known.iter().any(Option::is_some).then_some(Heard::Told { number, known })
    }
}
