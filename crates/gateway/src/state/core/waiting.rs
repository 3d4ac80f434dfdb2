//! Calls that wait for admission outside the decision module. Each is checked again at its `until` time at the latest,
//! which the code that queues the call chooses within the caller's time budget.

use super::super::{Arrival, FunctionProperties, Ticket};
use stagehoist::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A waiting call.
pub(super) struct WaitingCall {
    /// The position in the order of arrival, kept when the call is requeued.
    order: u64,
    until: Micros,
    /// Its `read_at` is set, so that the waiting time counts against the call's budget.
    pub arrival: Arrival,
    pub properties: FunctionProperties,
}

/// The waiting calls, by order of arrival and by time of the next check. The caller limits their number together
/// with that of the calls in the decision module.
#[derive(Default)]
pub(super) struct WaitingCalls {
    next_order: u64,
    calls: BTreeMap<u64, WaitingCall>,
    by_ticket: HashMap<Ticket, u64>,
    by_time: BTreeSet<(Micros, u64)>,
}

impl WaitingCalls {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Queues a call until its next check.
    pub fn insert(&mut self, until: Micros, arrival: Arrival, function: FunctionProperties) {
        let order = self.next_order;
        self.next_order += 1;
        self.requeue(until, WaitingCall { order, until, arrival, properties: function });
    }

    /// Queues a removed call again, in its old position.
    pub fn requeue(&mut self, until: Micros, mut waiting: WaitingCall) {
        waiting.until = until;
        self.by_time.insert((until, waiting.order));
        self.by_ticket.insert(waiting.arrival.ticket, waiting.order);
        self.calls.insert(waiting.order, waiting);
    }

    /// Returns when the next call must be checked.
    pub fn due(&self) -> Option<Micros> {
        self.by_time.first().map(|t| t.0)
    }

    /// Removes the call of a caller that left. Returns whether it was waiting here.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let order = self.by_ticket.get(&ticket).copied();
        order.and_then(|order| self.take(order)).is_some()
    }

    /// Removes and returns the calls that match a predicate, in the order of arrival.
    pub fn take_if(&mut self, matches: impl Fn(&WaitingCall) -> bool) -> Vec<WaitingCall> {
        let matching: Vec<u64> = self.calls.values().filter(|w| matches(w)).map(|w| w.order).collect();
        matching.into_iter().filter_map(|order| self.take(order)).collect()
    }

    /// Removes and returns the calls whose next check is due, in the order of arrival.
    pub fn take_due(&mut self, now: Micros) -> Vec<WaitingCall> {
        let mut due: Vec<u64> = self.by_time.iter().take_while(|t| t.0 <= now).map(|t| t.1).collect();
        due.sort_unstable();
        due.into_iter().filter_map(|order| self.take(order)).collect()
    }

    fn take(&mut self, order: u64) -> Option<WaitingCall> {
        let waiting = self.calls.remove(&order)?;
        self.by_time.remove(&(waiting.until, order));
        self.by_ticket.remove(&waiting.arrival.ticket);
        Some(waiting)
    }
}
