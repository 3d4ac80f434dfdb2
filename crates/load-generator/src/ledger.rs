//! What became of every call.

use hdrhistogram::Histogram;
use serde::Serialize;
use stagehoist::Micros;
use std::collections::{BTreeMap, HashMap};

/// How a message was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused { reason: String, retry_after: Micros },
    Failed { reason: String },
}

/// Percentiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

/// The account of a run. A message is one attempt of a caller; a call is its first message with all that repeat it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    pub seconds: f64,
    pub calls: u64,
    pub messages: u64,
    pub served_in_aim: u64,
    /// Past the aim, before the caller gave up.
    pub served_late: u64,
    /// Answers of any kind after the caller gave up.
    pub after_give_up: u64,
    pub refused: BTreeMap<String, u64>,
    pub failed: BTreeMap<String, u64>,
    pub no_answer: u64,
    pub answered_twice: u64,
    pub unasked: u64,
    /// Calls of which any message was served in its aim, and those a second.
    pub calls_in_aim: u64,
    pub goodput: f64,
    /// From the intended send to the answer.
    pub served_ms: Times,
    pub refused_ms: Times,
    /// How far behind its plan the sender was.
    pub sent_behind_ms: Times,
    /// Served in aim by whole second of the intended send.
    pub in_aim_by_second: Vec<u64>,
}

struct Open {
    call: u64,
    function: u32,
    meant: Micros,
    answered: u32,
    repeats: u32,
}

fn histogram() -> Histogram<u64> {
    // Microseconds up to ten minutes, two digits.
    Histogram::new_with_bounds(1, 600_000_000, 2)
        .unwrap_or_else(|_| Histogram::new(2).expect("two digits are allowed"))
}

fn times(h: &Histogram<u64>) -> Times {
    let at = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    match h.len() {
        0 => Times::default(),
        _ => Times {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            most: h.max() as f64 / 1000.0,
        },
    }
}

/// Takes down sends and answers.
pub struct Ledger {
    aim: Micros,
    give_up: Micros,
    open: HashMap<u64, Open>,
    next: u64,
    in_aim: std::collections::HashSet<u64>,
    report: Report,
    served: Histogram<u64>,
    refused: Histogram<u64>,
    behind: Histogram<u64>,
}

impl Ledger {
    /// Calls answered within `aim` count in full, and none after `give_up` counts.
    pub fn new(aim: Micros, give_up: Micros) -> Ledger {
        Ledger {
            aim,
            give_up,
            open: HashMap::new(),
            next: 0,
            in_aim: Default::default(),
            report: Report::default(),
            served: histogram(),
            refused: histogram(),
            behind: histogram(),
        }
    }

    /// A call's first message leaves now; returns the message's number.
    pub fn sent(&mut self, function: u32, meant: Micros, now: Micros) -> u64 {
        self.report.calls += 1;
        let call = self.next;
        self.message(call, function, 0, meant, now)
    }

    /// A caller repeats a message that was answered; returns the number of the repeat.
    pub fn repeated(&mut self, message: u64, now: Micros) -> Option<u64> {
        let old = self.open.get(&message)?;
        let (call, function, repeats) = (old.call, old.function, old.repeats + 1);
        Some(self.message(call, function, repeats, now, now))
    }

    fn message(&mut self, call: u64, function: u32, repeats: u32, meant: Micros, now: Micros) -> u64 {
        let number = self.next;
        self.next += 1;
        self.report.messages += 1;
        self.behind.saturating_record((now - meant).max(1) as u64);
        self.open.insert(number, Open { call, function, meant, answered: 0, repeats });
        number
    }

    /// How often the call of a message was repeated when it was sent.
    pub fn repeats(&self, message: u64) -> Option<u32> {
        self.open.get(&message).map(|o| o.repeats)
    }

    /// The function of a message, as it was given to [`Ledger::sent`].
    pub fn function(&self, message: u64) -> Option<u32> {
        self.open.get(&message).map(|o| o.function)
    }

    /// An answer came. True for the first one of a message that was sent.
    pub fn answered(&mut self, message: u64, outcome: &Outcome, now: Micros) -> bool {
        let Some(open) = self.open.get_mut(&message) else {
            self.report.unasked += 1;
            return false;
        };
        open.answered += 1;
        if open.answered > 1 {
            self.report.answered_twice += u64::from(open.answered == 2);
            return false;
        }
        let took = (now - open.meant).max(1);
        self.report.after_give_up += u64::from(took > self.give_up);
        match outcome {
            Outcome::Served => {
                self.served.saturating_record(took as u64);
                if took <= self.aim {
                    self.report.served_in_aim += 1;
                    let second = (open.meant / 1_000_000).clamp(0, 100_000) as usize;
                    let by_second = &mut self.report.in_aim_by_second;
                    if by_second.len() <= second {
                        by_second.resize(second + 1, 0);
                    }
                    by_second[second] += 1;
                    self.in_aim.insert(open.call);
                } else if took <= self.give_up {
                    self.report.served_late += 1;
                }
            }
            Outcome::Refused { reason, .. } => {
                self.refused.saturating_record(took as u64);
                *self.report.refused.entry(reason.clone()).or_default() += 1;
            }
            Outcome::Failed { reason } => *self.report.failed.entry(reason.clone()).or_default() += 1,
        }
        true
    }

    /// Messages without an answer so far.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| o.answered == 0).count()
    }

    /// Messages sent, and served in their aim, so far.
    pub fn so_far(&self) -> (u64, u64) {
        (self.report.messages, self.report.served_in_aim)
    }

    /// The account after `seconds` of sending.
    pub fn report(&self, seconds: f64) -> Report {
        Report {
            seconds,
            no_answer: self.unanswered() as u64,
            calls_in_aim: self.in_aim.len() as u64,
            goodput: self.in_aim.len() as f64 / seconds.max(1e-9),
            served_ms: times(&self.served),
            refused_ms: times(&self.refused),
            sent_behind_ms: times(&self.behind),
            ..self.report.clone()
        }
    }
}
