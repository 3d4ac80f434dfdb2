//! Measures how far the event loop of this process is behind: how long ready work waits until it is handled, because
//! the process computes, was stopped, or gets less CPU time than it needs. The time for which a request waits is
//! subtracted from its deadline before decisions are made, so that requests that can't be completed in time are
//! rejected early.

use crate::completion_rate::CompletionRate;
use crate::poll_times::{PollTimes, TaskKind};
use hdrhistogram::Histogram;
use stagehoist::Micros;
use std::fmt;

#[cfg(test)]
mod tests;

/// Lag up to which the loop counts as on time.
const USUAL_LAG: Micros = 25_000;
/// Half-life of the expected lag, unless a greater one is observed.
const HALF_LIFE: Micros = 250_000;
/// While the loop is behind, a request is rejected if the expected lag exceeds its remaining time divided by the
/// first constant, or if the time to complete the requests in progress exceeds its remaining time divided by the
/// second.
const MAX_LAG_DIVISOR: Micros = 3;
const MAX_PROGRESS_DIVISOR: Micros = 2;
/// Fewer requests in progress than this never lead to a rejection.
const MIN_IN_PROGRESS: usize = 6;
/// Minimum interval between log lines about a loop that is behind, and the lag from which it is logged.
const REPORT_INTERVAL: Micros = 1_000_000;
const REPORTED_LAG: Micros = 200_000;
/// Maximum number of rejected requests named in a log line.
const MAX_NAMED: usize = 8;
/// Maximum lag that the histogram records, and its number of significant digits.
const MAX_RECORDED: u64 = 60_000_000;
const DIGITS: u8 = 2;

/// Observations of one report interval.
#[derive(Debug, Default)]
struct LagWindow {
    began_at: Micros,
    worst: Micros,
    refused: u64,
    /// References of the first rejected requests.
    named: Vec<u64>,
    turns: PollTimes,
}

/// Measures how far the event loop is behind.
pub struct LoopLag {
    last: Micros,
    last_at: Micros,
    histogram: Histogram<u32>,
    window: LagWindow,
    /// Number of requests rejected because of the lag.
    pub refused: u64,
    /// Rate at which accepted requests are completed.
    pub completions: CompletionRate,
}

/// Report on an interval in which the loop was far behind.
#[derive(Debug)]
pub struct LagReport {
    /// The longest lag.
    pub worst: Micros,
    /// Number of requests that were rejected because of the lag.
    pub refused: u64,
    /// References of the first rejected requests.
    pub named: Vec<String>,
    /// The poll times of the loop's tasks in this interval.
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
    /// Creates a meter without any observed lag.
    pub fn new(now: Micros) -> LoopLag {
        let histogram = Histogram::new_with_max(MAX_RECORDED, DIGITS);
        LoopLag {
            last: 0,
            last_at: 0,
            histogram: histogram.expect("the constant bounds of the histogram are valid"),
            window: LagWindow::default(),
            refused: 0,
            completions: CompletionRate::new(now),
        }
    }

    /// Records an observed lag. Returns a report at the end of an interval in which the loop was far behind.
    pub fn record(&mut self, lag: Micros, now: Micros) -> Option<LagReport> {
        self.histogram.saturating_record(lag.max(0) as u64);
        if lag > USUAL_LAG && lag >= self.expected(now) {
            (self.last, self.last_at) = (lag, now);
        }
        self.window.worst = self.window.worst.max(lag);
        if now - self.window.began_at < REPORT_INTERVAL {
            return None;
        }
        let window = std::mem::replace(&mut self.window, LagWindow { began_at: now, ..LagWindow::default() });
        (window.worst >= REPORTED_LAG || window.refused > 0).then(|| LagReport {
            worst: window.worst,
            refused: window.refused,
            turns: window.turns,
            named: window.named.iter().map(|reference| format!("{reference:016x}")).collect(),
        })
    }

    /// Returns how long a request that arrives now is expected to wait; 0 if the loop is on time.
    pub fn expected(&self, now: Micros) -> Micros {
        let half_lives = (now - self.last_at).max(0) as f64 / HALF_LIFE as f64;
        let lag = (self.last as f64 * (-half_lives).exp2()) as Micros;
        if lag > USUAL_LAG {
            lag
        } else {
            0
        }
    }

    /// Whether a request with this remaining time is to be rejected at once: the loop is behind, and its lag or the
    /// requests in progress would use up too much of that time. Early rejections leave time for the other requests.
    pub fn should_reject(&self, remaining: Micros, in_progress: usize, now: Micros) -> bool {
        let lag = self.expected(now);
        let has_too_many = || {
            let time = self.completions.time_for(in_progress, now);
            in_progress >= MIN_IN_PROGRESS && time > remaining / MAX_PROGRESS_DIVISOR
        };
        lag > 0 && (lag > remaining / MAX_LAG_DIVISOR || has_too_many())
    }

    /// Records the time of one poll of a task.
    pub fn record_poll(&mut self, kind: TaskKind, elapsed: Micros) {
        self.window.turns.record(kind, elapsed);
    }

    /// Records that a request was rejected because of the lag.
    pub fn record_rejected(&mut self, reference: u64) {
        self.refused += 1;
        self.window.refused += 1;
        if self.window.named.len() < MAX_NAMED {
            self.window.named.push(reference);
        }
    }

    /// Returns the percentiles since the start.
    pub fn summary(&self) -> LagSummary {
        LagSummary {
            median: self.histogram.value_at_quantile(0.5),
            percentile_99: self.histogram.value_at_quantile(0.99),
            longest: self.histogram.max(),
        }
    }
}
