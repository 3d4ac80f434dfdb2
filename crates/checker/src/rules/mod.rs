//! The verdict on the rules: five always, two more where the charter tells of retired functions or of pools.

mod answers;
mod charter;
mod effects;
mod pools;
mod retired;
mod workers;

pub use charter::{ClassRule, Effect, PoolRule, Retired, RuleSet, WorkerStart};

use crate::capture::Micros;
use crate::story::{Call, Story};
use answers::one_answer;
use effects::no_effect_twice;
use pools::reservations;
use retired::retired_stays;
use serde::Serialize;
use workers::{drains_kept, loads_rationed, no_cold_worker_pushed_over};

/// One rule's verdict.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Rule {
    pub rule: u8,
    pub name: &'static str,
    pub kept: bool,
    pub checks: u64,
    /// The first breaches, in words.
    pub breaches: Vec<String>,
    pub breach_count: u64,
}

/// All verdicts, and the calls counted as callers saw them.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Verdict {
    pub rules: Vec<Rule>,
    pub sent: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub unanswered: u64,
    pub answered_twice: u64,
    pub late: u64,
    /// Unanswered calls that no front end held when their time ended, or whose reply left and was lost with its connection.
    pub not_owed: u64,
}

impl Verdict {
    /// Whether every rule was kept.
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|r| r.kept)
    }
}

/// Time for a process, or a line of replies, to get going again.
const WAKE: Micros = 250_000;

/// A byte that a front end wrote in time, or a connection that it ended, is seen by its tap a little later; what the machine was
/// seen late is added.
const TRANSIT: Micros = 5_000;

struct Tally(Rule);

impl Tally {
    fn new(rule: u8, name: &'static str) -> Tally {
        Tally(Rule { rule, name, kept: true, checks: 0, breaches: Vec::new(), breach_count: 0 })
    }
    fn check(&mut self, kept: bool, breach: impl FnOnce() -> String) {
        self.0.checks += 1;
        if !kept {
            self.0.kept = false;
            self.0.breach_count += 1;
            if self.0.breaches.len() < 20 {
                self.0.breaches.push(breach());
            }
        }
    }
}

fn ms(at: Micros) -> f64 {
    at as f64 / 1000.0
}

/// Judges a story by a charter.
pub fn check(story: &Story, charter: &RuleSet) -> Verdict {
    let mut verdict = Verdict::default();
    let answers = one_answer(story, charter, &mut verdict);
    verdict.rules.push(answers);
    verdict.rules.push(no_effect_twice(story, charter));
    verdict.rules.push(drains_kept(story, charter));
    verdict.rules.push(no_cold_worker_pushed_over(story, charter));
    verdict.rules.push(loads_rationed(story, charter));
    if !charter.retired.is_empty() {
        verdict.rules.push(retired_stays(story, charter));
    }
    if !charter.pools.is_empty() {
        verdict.rules.push(reservations(story, charter));
    }
    verdict
}

/// Times from publish to answer of the served calls, in microseconds.
pub fn served_times(story: &Story) -> Vec<Micros> {
    let served = |c: &&Call| c.answers.first().is_some_and(|a| a.1 == "served");
    story.calls.values().filter(served).map(|c| c.answers[0].0 - c.published).collect()
}
