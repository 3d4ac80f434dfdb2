//! The state of a worker as known to one front end; holds no decisions.

use super::attempt_counter::AttemptCounter;
use super::confirmation::Confirmation;
use super::estimates::Estimates;
use super::fleet::Contribution;
use super::math::{decay, DecayingSum};
use super::prediction::Prediction;
use crate::interface::*;

/// An attempt in flight.
pub(super) struct Attempt {
    pub request: RequestId,
    pub number: u16,
    pub function: FunctionId,
    /// Work of its class relative to the mean of all classes, when it was sent.
    pub relative_work: f64,
    pub sent_at: Micros,
    pub predicted: Prediction,
    /// Whether the attempt was already handled as overdue.
    pub overdue_handled: bool,
}

/// Work sent to a warming worker within one slot of the window over which its load is limited.
#[derive(Clone, Copy, Default)]
pub(super) struct SlotUsage {
    /// Number of the slot since time 0.
    pub slot: Micros,
    /// Relative work that was sent in the slot or was in flight at its start.
    pub work: f64,
}

#[derive(Default)]
pub(super) struct Worker {
    pub endpoint: Endpoint,
    /// Whether the endpoint list names it as ready for requests.
    pub ready: bool,
    /// Start of its warm-up; `None` once it counts as established.
    pub warming_since: Option<Micros>,
    pub slot_usage: SlotUsage,
    /// When the endpoint list first contained it.
    pub first_listed_at: Micros,
    /// Since when the endpoint list has named it continuously.
    pub listed_since: Micros,
    /// Once it is gone: the list named it up to this time.
    pub listed_until: Micros,
    /// When the list last reported a start of its process.
    pub start_reported_at: Micros,
    /// Time of the last list update that named it, or of the last full list that omitted it.
    pub list_updated_at: Micros,
    pub in_flight: Vec<Attempt>,
    /// When it was last health-checked.
    pub checked_at: Micros,
    /// Recent mean number of this front end's requests in flight at the worker.
    pub recent_load: DecayingSum,
    pub attempts: AttemptCounter,
    pub estimates: Estimates,
    pub confirmation: Confirmation,
    /// Its contribution to the sums over the fleet.
    pub contribution: Contribution,
    /// Next time at which its state changes without an event.
    pub refresh_at: Option<Micros>,
    /// Whether it changed since it was last counted.
    pub is_dirty: bool,
}

impl Worker {
    /// Returns the recent load by this front end, which decays over half of the retention time.
    pub fn recent_load_at(&self, now: Micros, idle_retention: Micros) -> f64 {
        self.recent_load.value * decay(2 * (now - self.recent_load.updated_at), idle_retention)
    }

    /// Returns the number of this front end's requests for a function in flight at the worker.
    pub fn in_flight_of(&self, function: FunctionId) -> usize {
        self.in_flight.iter().filter(|attempt| attempt.function == function).count()
    }

    /// Whether it is not ejected. After an ejection it gets a single request at a time until one succeeds.
    pub fn is_healthy(&self, now: Micros) -> bool {
        self.estimates.ejected_until <= now
            && (self.estimates.consecutive_ejections == 0 || self.in_flight.is_empty())
    }

    /// Whether it is ready, not ejected and past its warm-up.
    pub fn is_established(&self, now: Micros) -> bool {
        self.ready && self.warming_since.is_none() && self.estimates.ejected_until <= now
    }
}
