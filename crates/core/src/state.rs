//! What the module keeps of workers and calls: plain state without judgement; what follows from it the module decides.

use crate::interface::*;
use std::collections::BTreeMap;

/// A belief that a worker holds loaded copies of a function, from `ready` (a load under way) to `until`.
pub(crate) struct Warm {
    pub ready: Micros,
    pub until: Micros,
    pub used: Micros,
    pub copies: u32,
}

impl Warm {
    /// No copy stands, nor is one taken to stand for half the keep-alive.
    pub fn gone(now: Micros, keep: Micros) -> Warm {
        Warm { ready: now + keep / 2, until: now, used: now, copies: 0 }
    }
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub request: RequestId,
    pub number: u16,
    pub function: FunctionId,
    /// Its class's work as a share of the mean, when it was sent.
    pub weight: f64,
    pub sent: Micros,
    pub predicted: Prediction,
    pub noticed: bool,
}

pub(crate) struct Prediction {
    pub finish: Micros,
    /// Finish with what prices, others' work and placement add; the choice goes by it.
    pub cost: f64,
    pub factor: f64,
    pub base: f64,
    pub warm: bool,
    pub home: bool,
    pub load: Micros,
    pub room: bool,
    pub index: usize,
}

/// What is believed of the process behind a worker; void when it restarts.
#[derive(Default)]
pub(crate) struct Beliefs {
    pub pace: f64,
    pub pace_at: Micros,
    pub others: Option<f64>,
    pub others_at: Micros,
    pub errors: f64,
    pub strikes: u32,
    pub broke: u32,
    pub ejected_until: Micros,
    pub full_until: Micros,
    pub loading_until: Micros,
    pub heard: Micros,
    pub loads: BTreeMap<FunctionId, Micros>,
    pub warm: BTreeMap<FunctionId, Warm>,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Run {
    Out,
    Never,
    Perhaps,
}
