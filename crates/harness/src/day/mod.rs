//! A scripted day of trouble, as a text file: what stands, what callers send, and what goes wrong when.
//!
//! ```text
//! halls 3
//! workers 12
//! front-ends 3
//! rate 150/s
//! length 60s
//! at 5s worker w3 drain for 6s list-lag 2s
//! at 9s hall hall-b vanish for 5s
//! at 12s store slow 600% for 6s
//! ```

mod check;
mod draw;
mod fleet;
mod grammar;
mod pick;
mod trouble;
mod words;

pub use draw::Planned;
pub use fleet::{Calls, Fleet, Pool, Reserve};
pub use trouble::{LinkFault, Pick, ScenarioFault, StoreFault};

use crate::division::Division;
use grammar::trouble;
use stagehoist_config::Position;
use std::time::Duration;
use words::{Step, Words};

/// A day.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub halls: u32,
    pub workers: u32,
    pub front_ends: u32,
    /// Calls a second.
    pub rate: f64,
    pub length: Duration,
    pub seed: u64,
    /// Workers load a missing function when a call finds it so; else only a front end's order brings it.
    pub load_on_miss: bool,
    /// Replies and acknowledgements in transactions, in place of publisher confirms.
    pub transactions: bool,
    /// The broker stamps messages with the time at which it takes them.
    pub stamps: bool,
    /// Front ends that are killed, stopped and restarted together: so many groups of them, one after the other by number.
    pub machines: u32,
    /// The shards that the fleet is divided into as it begins; None: not divided.
    pub division: Option<Division>,
    /// Front ends own shards by a list of those that live, and not by their numbers.
    pub owners_listed: bool,
    /// What the processes share.
    pub fleet: Fleet,
    /// In the order of the moments from which they may come.
    pub troubles: Vec<Planned>,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            halls: 3,
            workers: 12,
            front_ends: 3,
            rate: 150.0,
            length: Duration::from_secs(60),
            seed: 7,
            load_on_miss: true,
            transactions: false,
            stamps: true,
            machines: 0,
            division: None,
            owners_listed: false,
            fleet: Fleet::default(),
            troubles: Vec::new(),
        }
    }
}

/// What is wrong with a day file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{at}: {what}; expected {expected}")]
pub struct DayFault {
    pub at: Position,
    pub what: String,
    pub expected: String,
}

impl Day {
    /// Reads a day file; all faults at once.
    pub fn parse(file: &str, text: &str) -> Result<Day, Vec<DayFault>> {
        let mut day = Day::default();
        let mut faults = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let mut words = Words::new(line);
            if words.words.is_empty() {
                continue;
            }
            if let Err((column, what, expected)) = day.line(number + 1, &mut words).and_then(|()| words.end())
            {
                let at = Position { file: file.into(), line: number + 1, column };
                faults.push(DayFault { at, what, expected: expected.into() });
            }
        }
        day.troubles.sort_by_key(|t| t.from);
        day.check(file, &mut faults);
        if faults.is_empty() {
            Ok(day)
        } else {
            Err(faults)
        }
    }

    fn line(&mut self, number: usize, w: &mut Words<'_>) -> Step<()> {
        match w.word("a directive")? {
            "halls" => self.halls = w.number("", "a number of halls")?,
            "workers" => self.workers = w.number("", "a number of workers")?,
            "front-ends" => self.front_ends = w.number("", "a number of front ends")?,
            "machines" => self.machines = w.number("", "a number of machines")?,
            "shards" => self.division = Some(Division::new(w.number("", "a number of shards")?)),
            "owners" => {
                self.owners_listed = match w.word("list or number")? {
                    "list" => true,
                    "number" => false,
                    _ => return w.wrong("list or number"),
                };
            }
            "seed" => self.seed = w.number("", "a whole number")?,
            "rate" => self.rate = w.number("/s", "a rate such as 150/s")?,
            "on-miss" => {
                self.load_on_miss = match w.word("load or miss")? {
                    "load" => true,
                    "miss" => false,
                    _ => return w.wrong("load or miss"),
                };
            }
            "replies" => {
                self.transactions = match w.word("confirm or transaction")? {
                    "confirm" => false,
                    "transaction" => true,
                    _ => return w.wrong("confirm or transaction"),
                };
            }
            "stamps" => {
                self.stamps = match w.word("yes or no")? {
                    "yes" => true,
                    "no" => false,
                    _ => return w.wrong("yes or no"),
                };
            }
            "length" => self.length = w.duration()?,
            "at" => {
                let (from, to) = w.moments()?;
                let text = w.rest();
                self.troubles.push(Planned { from, to, trouble: trouble(w)?, text, line: number });
            }
            _ if self.fleet.line(w)? => {}
            _ => {
                return w.wrong(
                    "halls, workers, front-ends, machines, shards, owners, seed, rate, on-miss, replies, stamps, length, keepers, view-lease, \
                     remember, retire-mode, pool, reserve, tenant, marks, recover or at",
                )
            }
        }
        Ok(())
    }

    /// How many machines there are: without any told each front end is one.
    pub fn machines(&self) -> u32 {
        if self.machines == 0 {
            self.front_ends
        } else {
            self.machines
        }
    }

    /// The front ends of a machine.
    pub fn of_machine(&self, machine: u32) -> std::ops::Range<u32> {
        let each = self.front_ends.div_ceil(self.machines().max(1));
        (machine * each).min(self.front_ends)..((machine + 1) * each).min(self.front_ends)
    }

    /// Whether some calls are for this front end only.
    pub fn has_own_queue(&self, front_end: u32) -> bool {
        let is_own = |pick: Pick| pick == Pick::Any || pick.number() == front_end;
        let mut troubles = self.troubles.iter();
        troubles.any(|t| matches!(t.trouble, ScenarioFault::Surge { only: Some(pick), .. } if is_own(pick)))
    }

    /// The same day in a fraction of its time: moments and spans shrink alike, but no span under 400 ms, as shorter ones
    /// would pass between two calls.
    pub fn shortened(mut self, to: Duration) -> Day {
        const LEAST: Duration = Duration::from_millis(400);
        let part = to.as_secs_f64() / self.length.as_secs_f64();
        self.length = to;
        for planned in &mut self.troubles {
            planned.from = planned.from.mul_f64(part);
            planned.to = planned.to.mul_f64(part);
            if let Some(span) = planned.trouble.span_mut() {
                *span = span.mul_f64(part.min(1.0)).max(LEAST.min(*span));
            }
        }
        self
    }
}

#[cfg(test)]
mod tests;
