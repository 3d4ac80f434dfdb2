//! The verdict on the five rules.

use crate::capture::Micros;
use crate::story::{Call, Story, Told};
use serde::Serialize;
use std::collections::BTreeMap;

/// What may be done with a call that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Unsafe,
    /// Repeats within the window, at workers of one group, are dropped by the workers. A worker's group is looked up in
    /// [`Charter::groups`]; `None` groups all.
    Keyed {
        grouped: bool,
        window: Micros,
    },
}

#[derive(Clone, Debug)]
pub struct ClassRule {
    pub effect: Effect,
    pub give_up: Micros,
}

/// A worker's process that started cold.
#[derive(Clone, Debug)]
pub struct WorkerStart {
    pub worker: String,
    pub at: Micros,
    /// Calls a second that it serves when warm.
    pub capacity: f64,
}

/// The rules' figures, and the facts of a day that no socket shows.
#[derive(Clone, Debug, Default)]
pub struct Charter {
    /// Function patterns (`rare-*`), each with its class.
    pub functions: Vec<(String, ClassRule)>,
    /// Time past a caller's patience in which an answer still counts.
    pub answer_grace: Micros,
    pub drain_grace: Micros,
    pub second_copies: bool,
    /// Window, free loads, loads for each call taken.
    pub ration: Option<(Micros, f64, f64)>,
    pub groups: BTreeMap<String, String>,
    /// Window, multiple, share at the start, time until warm.
    pub cold: Option<(Micros, f64, f64, Micros)>,
    pub starts: Vec<WorkerStart>,
    /// Front ends that were stopped: from, to.
    pub frozen: Vec<(u32, Micros, Micros)>,
    /// Front ends whose process started anew: when. A new process knows nothing of what the old one was told.
    pub begun: Vec<(u32, Micros)>,
}

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

/// Words of a list or worker shown with a breach, the last ones.
const TOLD_SHOWN: usize = 12;

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

impl Charter {
    fn class(&self, function: &str) -> Option<&ClassRule> {
        let takes = |pattern: &str| match pattern.strip_suffix('*') {
            Some(prefix) => function.starts_with(prefix),
            None => pattern == function,
        };
        self.functions.iter().find(|(pattern, _)| takes(pattern)).map(|(_, class)| class)
    }

    /// Whether a front end ran at a time and a little before.
    fn ran(&self, front_end: u32, at: Micros) -> bool {
        !self.frozen.iter().any(|f| f.0 == front_end && f.1 <= at && at <= f.2 + WAKE)
    }

    /// When the process that a front end had at a time started; nought for the first.
    fn process_began(&self, front_end: u32, at: Micros) -> Micros {
        self.begun.iter().filter(|b| b.0 == front_end && b.1 <= at).map(|b| b.1).max().unwrap_or(0)
    }

    /// When a front end could know what reached it at a time.
    fn knew(&self, front_end: u32, at: Micros) -> Micros {
        self.frozen
            .iter()
            .filter(|f| f.0 == front_end && f.1 <= at && at <= f.2)
            .map(|f| f.2)
            .max()
            .unwrap_or(at)
    }
}

/// Judges a story by a charter.
pub fn judge(story: &Story, charter: &Charter) -> Verdict {
    let mut verdict = Verdict::default();
    let answers = one_answer(story, charter, &mut verdict);
    verdict.rules.push(answers);
    verdict.rules.push(no_effect_twice(story, charter));
    verdict.rules.push(drains_kept(story, charter));
    verdict.rules.push(no_cold_worker_pushed_over(story, charter));
    verdict.rules.push(loads_rationed(story, charter));
    verdict
}

fn one_answer(story: &Story, charter: &Charter, verdict: &mut Verdict) -> Rule {
    let mut tally = Tally::new(1, "one final answer in time");
    for (id, call) in story.calls.iter().filter(|(_, c)| !c.function.is_empty()) {
        let give_up = charter.class(&call.function).map_or(Micros::MAX / 4, |c| c.give_up);
        let patience = call.patience.unwrap_or(give_up).min(give_up);
        let by = call.published.saturating_add(patience).saturating_add(charter.answer_grace);
        verdict.sent += 1;
        match call.answers.first().map(|a| a.1.as_str()) {
            Some("served") => verdict.served += 1,
            Some("refused") => verdict.refused += 1,
            Some("failed") => verdict.failed += 1,
            Some(_) => {}
            None => verdict.unanswered += 1,
        }
        let twice = call.answers.len() > 1;
        verdict.answered_twice += u64::from(twice);
        let late = call.answers.first().is_some_and(|a| a.0 > by);
        verdict.late += u64::from(late);
        let known = call.answers.iter().all(|a| matches!(a.1.as_str(), "served" | "refused" | "failed"));
        let Some(last) = call.deliveries.last() else {
            // No front end took it; an answer all the same would come from nowhere.
            verdict.not_owed += u64::from(call.answers.is_empty());
            if !call.answers.is_empty() {
                tally.check(false, || format!("{id}: answered, but never delivered to a front end"));
            }
            continue;
        };
        if twice {
            tally.check(false, || format!("{id}: {} answers", call.answers.len()));
        } else if !known {
            tally.check(false, || format!("{id}: an answer without an outcome: {:?}", call.answers));
        } else if late {
            // A reply can't leave while the broker takes none, nor a call be answered by a process that does not run.
            let shut = story.blocked.get(&last.front_end).into_iter().flatten();
            let excused =
                !charter.ran(last.front_end, by) || shut.clone().any(|b| b.0 <= by && by <= b.1 + WAKE);
            let at = call.answers[0].0;
            tally.check(excused, || {
                let deliveries: Vec<String> =
                    call.deliveries.iter().map(|d| format!("{} at {} ms", d.front_end, ms(d.at))).collect();
                let replies: Vec<String> = call.replies.iter().map(|r| format!("{} ms", ms(r.at))).collect();
                format!(
                    "{id}: answered at {} ms, its time ended at {} ms; to front end {}; replies left at {}",
                    ms(at),
                    ms(by),
                    deliveries.join(", "),
                    replies.join(", ")
                )
            });
        } else if call.answers.is_empty() {
            let left = !call.replies.is_empty();
            let went_back = last.lost.is_some_and(|t| t <= by);
            let stopped = !charter.ran(last.front_end, by) || !charter.ran(last.front_end, last.at);
            let open = by > story.end;
            verdict.not_owed += u64::from(left || went_back || stopped || open);
            tally.check(left || went_back || stopped || open, || {
                format!("{id}: taken by front end {} at {} ms, never answered", last.front_end, ms(last.at))
            });
        } else {
            tally.check(true, String::new);
        }
    }
    tally.0
}

fn no_effect_twice(story: &Story, charter: &Charter) -> Rule {
    let mut tally = Tally::new(2, "no effect twice");
    for (id, call) in &story.calls {
        let Some(class) = charter.class(&call.function) else { continue };
        let attempts: Vec<_> = call.attempts.iter().map(|i| &story.attempts[*i]).collect();
        for (n, attempt) in attempts.iter().enumerate() {
            let earlier = &attempts[..n];
            if !charter.second_copies {
                // Two front ends know nothing of each other; within one, no two at a time.
                let doubled = earlier
                    .iter()
                    .any(|e| e.front_end == attempt.front_end && e.ended.is_none_or(|t| t > attempt.asked));
                tally.check(!doubled, || {
                    format!("{id}: attempt {n} at {} ms while an earlier one was out", ms(attempt.asked))
                });
            }
            let proven = |e: &&&crate::story::Attempt| e.never && e.ended.is_some_and(|t| t <= attempt.asked);
            let perhaps: Vec<_> = earlier.iter().filter(|e| !proven(e)).collect();
            let kept = match &class.effect {
                Effect::Safe => true,
                Effect::Unsafe => perhaps.is_empty(),
                Effect::Keyed { grouped, window } => perhaps.iter().all(|e| {
                    let same =
                        !grouped || charter.groups.get(&e.worker) == charter.groups.get(&attempt.worker);
                    same && attempt.asked - e.asked <= *window
                }),
            };
            tally.check(kept, || {
                format!(
                    "{id}: attempt {n} to {} at {} ms though one to {} may have run",
                    attempt.worker,
                    ms(attempt.asked),
                    perhaps.first().map_or("?", |p| p.worker.as_str())
                )
            });
        }
        let bound = match &class.effect {
            Effect::Safe => false,
            Effect::Unsafe => true,
            Effect::Keyed { grouped, .. } => *grouped,
        };
        for reply in call.replies.iter().filter(|r| bound && r.outcome == "refused") {
            let perhaps = attempts
                .iter()
                .find(|a| a.asked <= reply.at && !(a.never && a.ended.is_some_and(|t| t <= reply.at)));
            tally.check(perhaps.is_none(), || {
                let worker = perhaps.map_or("?", |p| p.worker.as_str());
                format!("{id}: refused at {} ms though an attempt to {worker} may have run", ms(reply.at))
            });
        }
    }
    tally.0
}

/// Since when a front end has been told without a break that a worker takes nothing new; None where it was not.
fn shut_since(told: &[Told], at: Micros) -> Option<Micros> {
    let (mut by_list, mut by_itself): (Option<Micros>, Option<Micros>) = (None, None);
    let mut started = 0;
    for t in told.iter().take_while(|t| t.at <= at) {
        match (t.by_list, t.ready) {
            (true, true) => {
                // The list took it back, or shows a new process: what the old one said of itself is void.
                if by_list.take().is_some() || t.started > started {
                    by_itself = None;
                }
                started = started.max(t.started);
            }
            (true, false) => drop(by_list.get_or_insert(t.at)),
            (false, true) => by_itself = None,
            (false, false) => drop(by_itself.get_or_insert(t.at)),
        }
    }
    match (by_list, by_itself) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn drains_kept(story: &Story, charter: &Charter) -> Rule {
    let mut tally = Tally::new(3, "nothing new to a worker that drains or is gone");
    let calls = story.attempts.iter().map(|a| (a.front_end, &a.worker, a.asked, "call"));
    let loads = story.loads.iter().map(|l| (l.front_end, &l.worker, l.at, "load"));
    for (front_end, worker, at, what) in calls.chain(loads) {
        let began = charter.process_began(front_end, at);
        let told = story.told.get(&(front_end, worker.clone()));
        let told = told.map(|t| &t[t.partition_point(|t| t.at < began)..]);
        let shut = told.and_then(|t| shut_since(t, at)).map(|t| charter.knew(front_end, t));
        let kept = shut.is_none_or(|t| at - t <= charter.drain_grace);
        tally.check(kept, || {
            let since = shut.map_or(0.0, ms);
            let words: Vec<String> =
                told.into_iter().flatten().filter(|t| t.at <= at).map(Told::to_string).collect();
            let last = words.get(words.len().saturating_sub(TOLD_SHOWN)..).unwrap_or_default().join(", ");
            format!("front end {front_end}: {what} to {worker} at {} ms, told at {since} ms ({last})", ms(at))
        });
    }
    tally.0
}

fn no_cold_worker_pushed_over(story: &Story, charter: &Charter) -> Rule {
    let mut tally = Tally::new(4, "no cold worker pushed over");
    let Some((window, multiple, share, warm_up)) = charter.cold else { return tally.0 };
    for start in &charter.starts {
        let until = start.at + warm_up;
        let sent: Vec<(Micros, u32)> = story
            .attempts
            .iter()
            .filter(|a| a.worker == start.worker && (start.at..until).contains(&a.asked))
            .map(|a| (a.asked, a.front_end))
            .collect();
        for (first, (from, _)) in sent.iter().enumerate() {
            let inside: Vec<_> = sent[first..].iter().take_while(|s| s.0 < from + window).collect();
            // Capacity in the middle of the span, rising evenly; slack for chance in small counts.
            let passed = (from + window / 2 - start.at) as f64 / warm_up.max(1) as f64;
            let part = (share + (1.0 - share) * passed).clamp(share, 1.0);
            let capacity = start.capacity * part * window as f64 / 1e6;
            let budget = multiple * capacity + 3.0 + capacity.sqrt();
            let over = inside.len() as f64 > budget;
            let informed = inside.iter().filter(|s| {
                let told = story.told.get(&(s.1, start.worker.clone()));
                told.is_some_and(|t| {
                    t.iter().any(|t| t.by_list && t.ready && t.at >= start.at && t.at <= s.0)
                })
            });
            let breach = over && informed.count() * 3 >= inside.len() * 2;
            tally.check(!breach, || {
                let (n, at) = (inside.len(), ms(*from));
                format!(
                    "{}: {n} calls within {} ms from {at} ms, budget {budget:.0}",
                    start.worker,
                    ms(window)
                )
            });
        }
    }
    tally.0
}

fn loads_rationed(story: &Story, charter: &Charter) -> Rule {
    let mut tally = Tally::new(5, "loads rationed");
    let Some((window, free, share)) = charter.ration else { return tally.0 };
    let none = Vec::new();
    for load in &story.loads {
        let within = |at: Micros| at > load.at - window && at <= load.at;
        let same = story.loads.iter().filter(|l| l.front_end == load.front_end);
        let loads = same.filter(|l| within(l.at)).count();
        let taken = story.taken.get(&load.front_end).unwrap_or(&none);
        let taken =
            taken.partition_point(|t| *t <= load.at) - taken.partition_point(|t| *t <= load.at - window);
        let ration = free + share * taken as f64;
        tally.check(loads as f64 <= ration, || {
            let (at, f) = (ms(load.at), load.front_end);
            format!("front end {f}: {loads} loads within the window at {at} ms, ration {ration:.1}")
        });
    }
    tally.0
}

/// Times from publish to answer of the served calls, in microseconds.
pub fn served_times(story: &Story) -> Vec<Micros> {
    let served = |c: &&Call| c.answers.first().is_some_and(|a| a.1 == "served");
    story.calls.values().filter(served).map(|c| c.answers[0].0 - c.published).collect()
}
