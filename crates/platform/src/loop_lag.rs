//! How far the loop of this process is behind: for how long what is ready has to wait until it is handled, because the
//! process computes, was stopped, or gets less of a core than it needs. Time in which a request waits so is taken from its
//! own before decisions are made, so that what can't be done in time is refused in time.

use crate::completion_rate::CompletionRate;
use crate::poll_times::{PollTimes, TaskKind};
use hdrhistogram::Histogram;
use stagehoist::Micros;
use std::fmt;

#[cfg(test)]
mod tests;

/// A lag up to this is that of a loop which keeps its time.
const USUAL_LAG: Micros = 25_000;
/// The expected lag falls to half within this time, unless another is seen.
const HALF_LIFE: Micros = 250_000;
/// A request is not taken by a loop that is behind where the expected lag, or the time that those in progress take, is
/// more than this part of its time.
const MAX_LAG_DIVISOR: Micros = 3;
const MAX_PROGRESS_DIVISOR: Micros = 2;
/// So many requests in progress are never too many.
const MIN_IN_PROGRESS: usize = 6;
/// The log tells of a loop that is behind as often at most, and from this lag on.
const REPORT_INTERVAL: Micros = 1_000_000;
const REPORTED_LAG: Micros = 200_000;
/// References of refused requests that a line of the log names.
const MAX_NAMED: usize = 8;
/// Greatest lag that the histogram tells apart, and the digits that it keeps.
const MAX_RECORDED: u64 = 60_000_000;
const DIGITS: u8 = 2;

/// Observations of one second.
#[derive(Debug, Default)]
struct Second {
    began_at: Micros,
    worst: Micros,
    refused: u64,
    /// The first requests that were refused.
    named: Vec<u64>,
    turns: PollTimes,
}

/// How far the loop is behind.
pub struct LoopLag {
    last: Micros,
    last_at: Micros,
    histogram: Histogram<u32>,
    second: Second,
    /// Requests refused because of it.
    pub refused: u64,
    /// Requests that were taken and are over.
    pub completions: CompletionRate,
}

/// A second in which the loop was far behind.
#[derive(Debug)]
pub struct LagReport {
    /// The longest lag.
    pub worst: Micros,
    /// Requests that were refused because of it.
    pub refused: u64,
    /// The first of them, by reference.
    pub named: Vec<String>,
    /// What the loop spent this second on.
    pub turns: PollTimes,
}

/// Percentiles of the lag since the start, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LagSummary {
    pub median: u64,
    pub percentile_99: u64,
    pub longest: u64,
}

impl fmt::Display for LagSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.median, self.percentile_99, self.longest)
    }
}

impl LoopLag {
    /// A loop that has not been seen to be behind.
    pub fn new(now: Micros) -> LoopLag {
        let histogram = Histogram::new_with_max(MAX_RECORDED, DIGITS);
        LoopLag {
            last: 0,
            last_at: 0,
            histogram: histogram.expect("the bounds of the histogram are constants that it takes"),
            second: Second::default(),
            refused: 0,
            completions: CompletionRate::new(now),
        }
    }

    /// A lag was seen. Gives a report once a second in which the loop was far behind is over.
    pub fn record(&mut self, lag: Micros, now: Micros) -> Option<LagReport> {
        self.histogram.saturating_record(lag.max(0) as u64);
        if lag > USUAL_LAG && lag >= self.expected(now) {
            (self.last, self.last_at) = (lag, now);
        }
        self.second.worst = self.second.worst.max(lag);
        if now - self.second.began_at < REPORT_INTERVAL {
            return None;
        }
        let second = std::mem::replace(&mut self.second, Second { began_at: now, ..Second::default() });
        (second.worst >= REPORTED_LAG || second.refused > 0).then(|| LagReport {
            worst: second.worst,
            refused: second.refused,
            turns: second.turns,
            named: second.named.iter().map(|reference| format!("{reference:016x}")).collect(),
        })
    }

    /// How long what comes now is expected to wait; 0 for a loop that keeps its time.
    pub fn expected(&self, now: Micros) -> Micros {
        let half_lives = (now - self.last_at).max(0) as f64 / HALF_LIFE as f64;
        let lag = (self.last as f64 * (-half_lives).exp2()) as Micros;
        if lag > USUAL_LAG {
            lag
        } else {
            0
        }
    }

    /// Whether a request that has so much time left is refused at once: the loop is behind, and its lag or those in progress
    /// would eat too much of that time. What is refused early leaves time for the others.
    pub fn refuses(&self, remaining: Micros, in_progress: usize, now: Micros) -> bool {
        let lag = self.expected(now);
        let is_crowded = || {
            let time = self.completions.time_for(in_progress, now);
            in_progress >= MIN_IN_PROGRESS && time > remaining / MAX_PROGRESS_DIVISOR
        };
        lag > 0 && (lag > remaining / MAX_LAG_DIVISOR || is_crowded())
    }

    /// A task had a turn of this length.
    pub fn record_turn(&mut self, kind: TaskKind, elapsed: Micros) {
        self.second.turns.record(kind, elapsed);
    }

    /// A request was refused because of the lag.
    pub fn note_refused(&mut self, reference: u64) {
        self.refused += 1;
        self.second.refused += 1;
        if self.second.named.len() < MAX_NAMED {
            self.second.named.push(reference);
        }
    }

    /// Percentiles since the start.
    pub fn summary(&self) -> LagSummary {
        LagSummary {
            median: self.histogram.value_at_quantile(0.5),
            percentile_99: self.histogram.value_at_quantile(0.99),
            longest: self.histogram.max(),
        }
    }
}
