//! The division of a day's front ends into shards, as front ends are notified of it and as callers compute their queues from it.

use crate::day::Day;
use crate::layout::QUEUE;
use stagehoist_sharding as sharding;
use stagehoist_sharding::{DivisionError, HomeShards, HotFunction, Key, Shard, TransitionPhase};
use std::sync::Arc;

/// Functions with much traffic and their part of all calls, as [`crate::Layout::function`] draws them.
pub const HOT: [(&str, f64); 3] = [("free-times", 0.45), ("clashes", 0.30), ("recurring", 0.17)];

/// Words of the configuration's directive for the stages of a change, in their order.
const PHASES: [(TransitionPhase, &str); 3] = [
    (TransitionPhase::Announced, "announced"),
    (TransitionPhase::Both, "both"),
    (TransitionPhase::Closing, "closing"),
];

/// What front ends are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    pub shards: u32,
    pub generation: u32,
    /// The number of shards that it changes to, and how far that has come.
    pub next: Option<(u32, TransitionPhase)>,
}

impl Division {
    pub fn new(shards: u32) -> Division {
        Division { shards, generation: 1, next: None }
    }

    /// One stage further on the way to so many shards; None where they are in force alone.
    pub fn further(self, to: u32) -> Option<Division> {
        let next = |stage| Some(Division { next: Some((to, stage)), ..self });
        match self.next {
            None if self.shards == to => None,
            None => next(TransitionPhase::Announced),
            Some((_, TransitionPhase::Announced)) => next(TransitionPhase::Both),
            Some((_, TransitionPhase::Both)) => next(TransitionPhase::Closing),
            Some((_, TransitionPhase::Closing)) => {
                Some(Division { shards: to, generation: self.generation + 1, next: None })
            }
        }
    }

    /// The word of its stage.
    pub fn stage(&self) -> Option<&'static str> {
        let (_, stage) = self.next?;
        PHASES.iter().find(|s| s.0 == stage).map(|s| s.1)
    }

    /// The configuration's directive for one front end.
    pub fn line(&self, day: &Day, front_end: u32) -> String {
        let next = self.next.map_or(String::new(), |(to, _)| format!(" next {to} stage"));
        let (Division { shards, generation, .. }, stage) = (self, self.stage().unwrap_or_default());
        let (calls, workers) = (day.rate, day.workers);
        format!("shards {shards} generation {generation}{next} {stage} calls {calls}/s workers {workers} first {front_end}\n")
    }

    /// What it adds to a function's line.
    pub fn of_function(name: &str, day: &Day) -> String {
        let hot = HOT.iter().find(|h| h.0 == name);
        hot.map_or(String::new(), |(_, part)| format!(" calls {}/s", part * day.rate))
    }

    fn divisions(&self) -> Result<sharding::Divisions, DivisionError> {
        let first = sharding::Division::new(self.shards, self.generation)?;
        match self.next {
            None => Ok(sharding::Divisions::only(first)),
            Some((to, stage)) => {
                let next = sharding::Division::new(to, self.generation + 1)?;
                sharding::Divisions::changing(first, next, stage)
            }
        }
    }
}

/// Where callers send.
#[derive(Clone, Debug)]
pub enum Addresses {
    /// All to one queue.
    One,
    Shards {
        homes: Arc<HomeShards>,
        shards: u32,
        generation: u32,
    },
}

impl Addresses {
    /// As callers compute them from what all are told; nothing is asked of a front end.
    pub fn of(day: &Day) -> Result<Addresses, DivisionError> {
        let Some(told) = day.division else { return Ok(Addresses::One) };
        let hot = |(name, part): (&str, f64)| HotFunction {
            name: name.to_string(),
            calls: part * day.rate,
            spread: None,
        };
        let divisions = told.divisions()?;
        let division = divisions.addressed();
        let homes = HomeShards::new(division, day.rate, &HOT.map(hot))?;
        let (shards, generation) = (division.shards(), division.generation());
        Ok(Addresses::Shards { homes: Arc::new(homes), shards, generation })
    }

    /// The queue of a call; a call has one number whenever it is sent.
    pub fn queue(&self, function: &str, call: u64) -> String {
        match self {
            Addresses::One => QUEUE.into(),
            Addresses::Shards { homes, generation, .. } => {
                shard_queue(*generation, homes.for_call(Key::of(function), call))
            }
        }
    }

    /// All queues that calls may go to.
    pub fn queues(&self) -> Vec<String> {
        match self {
            Addresses::One => vec![QUEUE.into()],
            Addresses::Shards { shards, generation, .. } => {
                (0..*shards).map(|s| shard_queue(*generation, s)).collect()
            }
        }
    }
}

/// The queue of a shard of a division.
pub fn shard_queue(generation: u32, shard: Shard) -> String {
    format!("{QUEUE}.division-{generation}.shard-{shard}")
}

#[cfg(test)]
mod tests;
