//! Retirements as the file beside front end 0's list tells them, by the recorder's clock.
//!
//! What is read is later than what was written, so nothing is held against a front end too early.

use crate::fleet::front_end;
use serde::Serialize;
use stagehoist_checker::rules::Retired;
use stagehoist_checker::Micros;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Front ends that are not yet known to have confirmed are not held to a retirement at all.
pub const NEVER: Micros = Micros::MAX;

/// What was seen of one function's retirement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ObservedRetirement {
    pub generation: u64,
    /// When the day asked for it.
    pub asked: Option<Micros>,
    pub proposed: Option<Micros>,
    /// When it was first read to be in force.
    pub in_force: Option<Micros>,
    /// Front ends that it was in force but for at first: from when each was left out no more; `NEVER` while it is named.
    pub confirmed_from: BTreeMap<u32, Micros>,
}

/// All retirements of a day, by function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Retirements {
    pub seen: BTreeMap<String, ObservedRetirement>,
    text: String,
}

impl Retirements {
    /// The day asked for a function to be retired.
    pub fn asked(&mut self, function: &str, now: Micros) {
        let seen = self.seen.entry(function.to_string()).or_default();
        seen.asked.get_or_insert(now);
    }

    /// Reads the state file as it is at a time. Lines that are not whole or not understood are passed over; a line that is
    /// gone takes nothing back.
    pub fn read(&mut self, text: &str, now: Micros) {
        if self.text == text {
            return;
        }
        self.text = text.to_string();
        // A last line without its end may be half of one.
        for line in text.split_inclusive('\n').filter_map(|line| line.strip_suffix('\n')) {
            let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
            let [function, generation, state, _since, rest @ ..] = words.as_slice() else { continue };
            let Ok(generation) = generation.parse::<u64>() else { continue };
            let but_for: Vec<u32> = match rest {
                ["but-for", names, ..] => names.split(',').filter_map(front_end).collect(),
                _ => Vec::new(),
            };
            let seen = self.seen.entry(function.to_string()).or_default();
            if generation < seen.generation {
                continue;
            }
            seen.generation = generation;
            match *state {
                "proposed" => drop(seen.proposed.get_or_insert(now)),
                "in-force" => seen.in_force(&but_for, now),
                _ => {}
            }
        }
    }

    /// What the checker is given: one that is not in force is held against nobody.
    pub fn charter(&self) -> Vec<Retired> {
        let retired = |(function, seen): (&String, &ObservedRetirement)| Retired {
            function: function.clone(),
            in_force: seen.in_force,
            confirmed_from: seen.confirmed_from.clone(),
        };
        self.seen.iter().map(retired).collect()
    }

    /// When each came in force after it was asked for, in milliseconds; none where it did not.
    pub fn after_ms(&self) -> BTreeMap<String, Option<f64>> {
        let after = |seen: &ObservedRetirement| Some((seen.in_force? - seen.asked?) as f64 / 1000.0);
        self.seen.iter().filter(|s| s.1.asked.is_some()).map(|(f, seen)| (f.clone(), after(seen))).collect()
    }
}

impl ObservedRetirement {
    fn in_force(&mut self, but_for: &[u32], now: Micros) {
        if self.in_force.is_none() {
            self.in_force = Some(now);
            self.confirmed_from = but_for.iter().map(|f| (*f, NEVER)).collect();
        }
        for (front_end, from) in &mut self.confirmed_from {
            if !but_for.contains(front_end) {
                *from = (*from).min(now);
            }
        }
    }
}
