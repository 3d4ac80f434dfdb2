//! Retirements as the file beside front end 0's list tells them, by the recorder's clock.
//!
//! What is read is later than what was written, so nothing is held against a front end too early.

use crate::fleet::front_end;
use serde::Serialize;
use stagehoist_checker::rules::Retired;
use stagehoist_checker::Micros;
use std::collections::BTreeMap;

/// Front ends that are not yet known to have confirmed are not held to a retirement at all.
pub const NEVER: Micros = Micros::MAX;

/// What was seen of one function's retirement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Seen {
    pub generation: u64,
    /// When the day asked for it.
    pub asked: Option<Micros>,
    pub proposed: Option<Micros>,
    /// When it was first read to be in force.
    pub in_force: Option<Micros>,
    /// Front ends that it was in force but for at first: from when each was left out no more; [`NEVER`] while it is named.
    pub confirmed_from: BTreeMap<u32, Micros>,
}

/// All retirements of a day, by function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Retirements {
    pub seen: BTreeMap<String, Seen>,
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

    /// What the judge is told: one that is not in force is held against nobody.
    pub fn charter(&self) -> Vec<Retired> {
        let retired = |(function, seen): (&String, &Seen)| Retired {
            function: function.clone(),
            in_force: seen.in_force,
            confirmed_from: seen.confirmed_from.clone(),
        };
        self.seen.iter().map(retired).collect()
    }

    /// When each came in force after it was asked for, in milliseconds; none where it did not.
    pub fn after_ms(&self) -> BTreeMap<String, Option<f64>> {
        let after = |seen: &Seen| Some((seen.in_force? - seen.asked?) as f64 / 1000.0);
        self.seen.iter().filter(|s| s.1.asked.is_some()).map(|(f, seen)| (f.clone(), after(seen))).collect()
    }
}

impl Seen {
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_retirement_is_followed_from_proposed_to_in_force_for_all() {
        let mut retirements = Retirements::default();
        retirements.asked("clashes", 1_000);
        retirements.read("clashes 1 proposed 12\n", 2_000);
        assert_eq!(retirements.seen["clashes"].in_force, None);
        retirements.read("clashes 1 in-force 30 but-for fe-2/0,fe-4\n# version 9\n", 5_000);
        let seen = &retirements.seen["clashes"];
        assert_eq!((seen.proposed, seen.in_force), (Some(2_000), Some(5_000)));
        assert_eq!(seen.confirmed_from, BTreeMap::from([(2, NEVER), (4, NEVER)]));
        retirements.read("clashes 1 in-force 30 but-for fe-4\n", 7_000);
        retirements.read("clashes 1 in-force 30\n", 9_000);
        let seen = &retirements.seen["clashes"];
        assert_eq!(seen.in_force, Some(5_000));
        assert_eq!(seen.confirmed_from, BTreeMap::from([(2, 7_000), (4, 9_000)]));
        let told = &retirements.charter()[0];
        assert_eq!((told.function.as_str(), told.in_force), ("clashes", Some(5_000)));
        assert_eq!(told.confirmed_from, seen.confirmed_from);
        assert_eq!(retirements.after_ms(), BTreeMap::from([("clashes".to_string(), Some(4.0))]));
    }

    #[test]
    fn a_front_end_that_was_held_to_it_is_not_let_off_by_a_later_file() {
        let mut retirements = Retirements::default();
        retirements.read("a 1 in-force 3 but-for fe-1\n", 10);
        retirements.read("a 1 in-force 3\n", 20);
        retirements.read("a 1 in-force 3 but-for fe-0,fe-1\n", 30);
        assert_eq!(retirements.seen["a"].confirmed_from, BTreeMap::from([(1, 20)]));
        retirements.read("a 1 proposed 3\n", 40);
        retirements.read("", 50);
        assert_eq!(retirements.seen["a"].in_force, Some(10));
    }

    #[test]
    fn half_lines_and_strange_lines_are_passed_over() {
        let mut retirements = Retirements::default();
        let text = "# in force\n\na x in-force 3\nb 1 asked 3\nc 1\nd 1 in-force 3 but-for fe-1\ne 1 in-force 3 but-for fe-";
        retirements.read(text, 10);
        assert_eq!(retirements.seen["d"].confirmed_from, BTreeMap::from([(1, NEVER)]));
        assert!(!retirements.seen.contains_key("e") && !retirements.seen.contains_key("a"));
        assert_eq!(retirements.seen["b"].in_force, None);
    }
}
