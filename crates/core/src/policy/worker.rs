//! A worker as one front end knows it: state without decisions.

use super::attempt_counter::AttemptCounter;
use super::beliefs::Beliefs;
use super::confirmation::Confirmation;
use super::fleet::Contribution;
use super::numbers::{decay, DecayingSum};
use super::prediction::Prediction;
use crate::interface::*;

/// An attempt in flight.
pub(super) struct Attempt {
    pub request: RequestId,
    pub number: u16,
    pub function: FunctionId,
    /// Its class's work relative to the mean of all, when it was sent.
    pub relative_work: f64,
    pub sent_at: Micros,
    pub predicted: Prediction,
    /// That it is overdue has had its consequence.
    pub overdue_handled: bool,
}

/// Work sent to a warming worker within one slot of the window over which its load is limited.
#[derive(Clone, Copy, Default)]
pub(super) struct SlotUsage {
    /// Number of the slot since time 0.
    pub slot: Micros,
    /// Relative work that was sent in it, or was in flight when it began.
    pub work: f64,
}

#[derive(Default)]
pub(super) struct Worker {
    pub endpoint: Endpoint,
    /// It takes requests by the endpoint list.
    pub ready: bool,
    /// When it began to warm up; `None` once it counts as established.
    pub warming_since: Option<Micros>,
    pub slot_usage: SlotUsage,
    /// When the endpoint list first told of it.
    pub first_listed_at: Micros,
    /// When the endpoint list last told of it.
    pub listed_at: Micros,
    pub in_flight: Vec<Attempt>,
    /// When it was last health-checked.
    pub checked_at: Micros,
    /// This front end's recent requests in flight here, in the mean.
    pub recent_load: DecayingSum,
    pub attempts: AttemptCounter,
    pub beliefs: Beliefs,
    pub confirmation: Confirmation,
    /// What the sums over the fleet hold of it.
    pub contribution: Contribution,
    /// When it changes by itself.
    pub due_at: Option<Micros>,
    /// It changed since it was last counted.
    pub is_touched: bool,
}

impl Worker {
    /// This front end's recent requests in flight here, decaying over half of the retention time.
    pub fn recent_load_at(&self, now: Micros, idle_retention: Micros) -> f64 {
        self.recent_load.value * decay(2 * (now - self.recent_load.updated_at), idle_retention)
    }

    /// Requests for a function that this front end has in flight here.
    pub fn in_flight_of(&self, function: FunctionId) -> usize {
        self.in_flight.iter().filter(|attempt| attempt.function == function).count()
    }

    /// Whether it is past its ejection. After one, a single request at a time tries it until an answer clears it.
    pub fn is_healthy(&self, now: Micros) -> bool {
        self.beliefs.ejected_until <= now
            && (self.beliefs.consecutive_ejections == 0 || self.in_flight.is_empty())
    }

    /// Whether it has its full capacity and may be used.
    pub fn is_established(&self, now: Micros) -> bool {
        self.ready && self.warming_since.is_none() && self.beliefs.ejected_until <= now
    }
}
