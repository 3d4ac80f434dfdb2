//! What a scene came to.

use hdrhistogram::Histogram;

/// Counts are the same in every run of one seed; times are this machine's.
pub struct Outcome {
    pub calls: u64,
    /// Simulated, in which they came.
    pub seconds: f64,
    pub served: u64,
    pub given_up: u64,
    pub attempts: u64,
    /// Processor time of the decision module, in seconds, all front ends together.
    pub module: f64,
    /// Processor time of each batch that brought a call, in nanoseconds.
    pub batches: Histogram<u64>,
    /// The longest batch, in seconds of processor time.
    pub longest: f64,
    /// Bytes that the first front end keeps at the end.
    pub kept_bytes: f64,
    /// Workers and functions that it keeps.
    pub kept: (usize, usize),
    /// Names of functions that it keeps.
    pub names: usize,
    /// Connections to workers that the first front end has open at the end.
    pub connections: usize,
    /// Workers that a call went to without an open connection, all front ends together.
    pub handshakes: u64,
    /// Calls that began on no standing copy.
    pub cold: u64,
    /// Calls of functions that no front end had called within the keep-alive.
    pub unavoidable: u64,
    /// Calls of functions that their own front end had not called within the keep-alive.
    pub strange: u64,
    /// From a cold call's coming to the begin of its run, in microseconds.
    pub cold_wait: Histogram<u64>,
    /// Calls of rare functions, and those of them that began on no standing copy.
    pub rare: (u64, u64),
    /// As `cold_wait`, of rare functions.
    pub rare_wait: Histogram<u64>,
    /// Processor time that changes of the list took, in seconds, all front ends together; and how many there were.
    pub list: (f64, u64),
    /// The longest of them.
    pub longest_list: f64,
}

pub fn histogram() -> Histogram<u64> {
    // Three digits hold for any value; only a width beyond five is refused.
    Histogram::new(3).unwrap_or_else(|e| unreachable!("{e}"))
}

impl Default for Outcome {
    fn default() -> Outcome {
        Outcome {
            calls: 0,
            seconds: 0.0,
            served: 0,
            given_up: 0,
            attempts: 0,
            module: 0.0,
            batches: histogram(),
            longest: 0.0,
            kept_bytes: 0.0,
            kept: (0, 0),
            names: 0,
            connections: 0,
            handshakes: 0,
            cold: 0,
            unavoidable: 0,
            strange: 0,
            cold_wait: histogram(),
            rare: (0, 0),
            rare_wait: histogram(),
            list: (0.0, 0),
            longest_list: 0.0,
        }
    }
}

impl Outcome {
    /// Mean processor time of the module for a call, in seconds.
    pub fn each(&self) -> f64 {
        self.module / self.calls.max(1) as f64
    }
}
